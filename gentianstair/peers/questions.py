"""Ask a peer on a link that others use as well, and wait for its answer.

Several questions may be under way on one link; answers may come in any order.
"""

import itertools
import typing

import loguru
import trio

from gentianstair.generated import events
from gentianstair.peers import link

# How long an answer is waited for, unless the asker says.
ANSWER_TIMEOUT_S = 0.2

Answer = typing.TypeVar('Answer')


class _Pending(typing.Generic[Answer]):
    """A question that was sent, and its answer."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.answer: Answer | None = None


class Questions(typing.Generic[Answer]):
    """The questions of this VM that have no answer yet."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._pending: dict[int, _Pending[Answer]] = {}

    async def ask(
        self,
        channel: link.Channel,
        make_message: typing.Callable[[int], typing.Any],
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> Answer | None:
        """Send the message for a number; return None without an answer."""
        number = next(self._numbers)
        pending = self._pending[number] = _Pending()
        try:
            with trio.move_on_after(timeout_s):
                await channel.send(link.encode(make_message(number)))
                await pending.done.wait()
        except link.LinkClosedError as error:
            loguru.logger.bind(event=events.LINK_LOST).debug('{}', error)
        finally:
            del self._pending[number]
        return pending.answer

    def handle(self, number: int, answer: Answer) -> None:
        """Take an answer; one that comes too late is passed over."""
        pending = self._pending.get(number)
        if pending is not None:
            pending.answer = answer
            pending.done.set()
