"""Answer the questions of other VMs on a link, and take their answers."""

import collections.abc
import typing

import loguru

from gentianstair import errors
from gentianstair.gateway import node as nodes
from gentianstair.generated import events
from gentianstair.peers import link

_Answer = collections.abc.Callable[
    [typing.Any], collections.abc.Awaitable[typing.Any]
]
_TakeAnswer = collections.abc.Callable[[typing.Any], None]


class PeerQuestions:
    """What answers each kind of question, and takes each kind of answer."""

    def __init__(self, node: nodes.Node) -> None:
        self._tasks = node.tasks
        self._answers: dict[str, _Answer] = {
            'permit_ask': node.permit_keepers.answer,
            'stream_ask': node.origin_keepers.answer,
            'part_trial_ask': node.part_trials.answer,
        }
        self._takers: dict[str, _TakeAnswer] = {
            'permit': node.permit_keepers.handle_answer,
            'stream_answer': node.origin_keepers.handle_answer,
            'part_trial': node.part_trials.handle_answer,
        }

    def handle(self, channel: link.Channel, message: link.Message) -> bool:
        """Handle a message; return false if it is no question or answer.

        Raise DecodeError for an answer that can't be read.
        """
        kind = message['type']
        if kind in self._takers:
            self._takers[kind](message)
            return True
        if kind not in self._answers:
            return False
        self._tasks.start_soon(
            f'answer-{kind}', _answer, channel, self._answers[kind], message
        )
        return True


async def _answer(
    channel: link.Channel, answer: _Answer, question: link.Message
) -> None:
    """Answer a question, which may have to be passed on."""
    try:
        await link.send_in_time(channel, await answer(question))
    except link.LinkClosedError as error:
        loguru.logger.bind(event=events.LINK_LOST).debug('{}', error)
    except errors.DecodeError as error:
        loguru.logger.bind(event=events.PEER_UNREADABLE).warning('{}', error)
