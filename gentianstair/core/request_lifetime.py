"""Work on a request for as long as its caller waits for the answer."""

import collections.abc
import enum

import trio

from gentianstair import errors
from gentianstair.core import exchange as exchanges
from gentianstair.core import grace_period as graces


class EndReason(enum.Enum):
    """Why the work on a request ended."""

    DONE = 'done'
    # The caller hung up before the answer was whole.
    DISCONNECTED = 'gone'
    TIMED_OUT = 'late'
    # The process ends before the caller's deadline.
    SHUT_DOWN = 'stopped'


async def run_until_ended(
    exchange: exchanges.Exchange,
    work: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    left_s: float,
    grace: graces.GracePeriod,
) -> EndReason:
    """Do the work until it is done, its caller hangs up or time is over.

    It has left_s, or what is left of the grace where that is less.

    Raise what the work raises of RequestError and CallerDisconnectedError.
    """
    gone = False
    failure: Exception | None = None

    async def watch(scope: trio.CancelScope) -> None:
        nonlocal gone
        await exchange.wait_disconnected()
        if exchange.ended:
            # The server reports the end of a whole answer so, too.
            return
        gone = True
        scope.cancel()

    with trio.move_on_after(left_s) as late, grace.limit(late):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, nursery.cancel_scope)
            try:
                await work()
            except (
                errors.RequestError,
                exchanges.CallerDisconnectedError,
            ) as error:
                # Raised out of the nursery it would come in a group.
                failure = error
            nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if exchange.ended:
        return EndReason.DONE
    if gone:
        return EndReason.DISCONNECTED
    if not late.cancelled_caught:
        return EndReason.DONE
    return EndReason.TIMED_OUT if grace.remaining_s() else EndReason.SHUT_DOWN
