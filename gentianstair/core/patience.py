"""Work on a request for as long as its caller waits for the answer."""

import collections.abc
import enum

import trio

from gentianstair import errors
from gentianstair.core import exchange as exchanges
from gentianstair.core import grace as graces


class End(enum.Enum):
    """Why the work on a request ended."""

    DONE = 'done'
    # The caller hung up before the answer was whole.
    GONE = 'gone'
    LATE = 'late'
    # The process ends before the caller's deadline.
    STOPPED = 'stopped'


async def run(
    exchange: exchanges.Exchange,
    work: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    left_s: float,
    grace: graces.Grace,
) -> End:
    """Do the work until it is done, its caller hangs up or time is over.

    It has left_s, or what is left of the grace where that is less.

    Raise what the work raises of RequestError and CallerGoneError.
    """
    gone = False
    failure: Exception | None = None

    async def watch(scope: trio.CancelScope) -> None:
        nonlocal gone
        await exchange.wait_gone()
        if exchange.ended:
            # The server reports the end of a whole answer so, too.
            return
        gone = True
        scope.cancel()

    with trio.move_on_after(left_s) as late, grace.bound(late):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, nursery.cancel_scope)
            try:
                await work()
            except (errors.RequestError, exchanges.CallerGoneError) as error:
                # Raised out of the nursery it would come in a group.
                failure = error
            nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if exchange.ended:
        return End.DONE
    if gone:
        return End.GONE
    if not late.cancelled_caught:
        return End.DONE
    return End.LATE if grace.left_s() else End.STOPPED
