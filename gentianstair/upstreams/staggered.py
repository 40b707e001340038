"""Open a connection in several ways, each begun a little after the last."""

import collections.abc
import typing

import trio

from gentianstair import errors
from gentianstair.upstreams import connector


class Way(typing.NamedTuple):
    """A way to open a connection."""

    # Raises UnreachableError.
    open: collections.abc.Callable[
        [], collections.abc.Awaitable[trio.abc.Stream]
    ]
    # How long after the way before it begins, unless that has failed.
    delay_s: float = 0.0


class Opened(typing.NamedTuple):
    """The connection that was opened first, and the index of its way."""

    stream: trio.abc.Stream
    way: int


class _Race:
    """The ways that have begun, and the first that succeeded."""

    def __init__(self, scope: trio.CancelScope) -> None:
        self.opened: Opened | None = None
        self.failures: list[errors.UnreachableError] = []
        self._scope = scope

    async def run(self, index: int, way: Way, failed: trio.Event) -> None:
        """Open one way; cancel the others if it is the first."""
        try:
            stream = await way.open()
        except errors.UnreachableError as error:
            self.failures.append(error)
            failed.set()
            return
        if self.opened is not None:
            connector.discard(stream)
            return
        self.opened = Opened(stream, index)
        self._scope.cancel()


async def open_first(ways: collections.abc.Sequence[Way]) -> Opened:
    """Return the first connection that opens; raise UnreachableError.

    The error is that of the first way that failed.
    """
    try:
        async with trio.open_nursery() as nursery:
            race = _Race(nursery.cancel_scope)
            failed = trio.Event()
            for index, way in enumerate(ways):
                if index:
                    with trio.move_on_after(way.delay_s):
                        await failed.wait()
                failed = trio.Event()
                nursery.start_soon(race.run, index, way, failed)
    except BaseException:
        # Cancelled from outside, after a connection had been opened.
        if race.opened is not None:
            connector.discard(race.opened.stream)
        raise
    if race.opened is None:
        raise race.failures[0]
    return race.opened


__all__ = ['Opened', 'Way', 'open_first']
