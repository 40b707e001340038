"""Cancel the work on a request at its deadline or when its caller leaves."""

import collections.abc
import enum

import trio

from gentianstair import errors
from gentianstair.core import exchange as exchanges
from gentianstair.core import grace_period


class EndReason(enum.Enum):
    """Why the work on a request ended."""

    DONE = 'done'
    # The caller disconnected before the response was complete.
    DISCONNECTED = 'gone'
    TIMED_OUT = 'late'
    # The process shut down before the caller's deadline.
    SHUT_DOWN = 'stopped'


async def run_until_ended(
    exchange: exchanges.Exchange,
    work: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    timeout_s: float,
    grace: grace_period.GracePeriod,
) -> EndReason:
    """Run the work until it ends, its caller disconnects or time is up.

    The time limit is timeout_s or the rest of the grace period, whichever is
    shorter. A RequestError or CallerDisconnectedError of the work is raised.
    """
    disconnected = False
    failure: Exception | None = None

    async def watch_connection(scope: trio.CancelScope) -> None:
        nonlocal disconnected
        await exchange.wait_disconnected()
        if exchange.ended:
            # The server reports the end of a complete response likewise.
            return
        disconnected = True
        scope.cancel()

    with trio.move_on_after(timeout_s) as time_limit, grace.limit(time_limit):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_connection, nursery.cancel_scope)
            try:
                await work()
            except (
                errors.RequestError,
                exchanges.CallerDisconnectedError,
            ) as error:
                # The nursery would wrap it in an exception group.
                failure = error
            nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    if exchange.ended:
        return EndReason.DONE
    if disconnected:
        return EndReason.DISCONNECTED
    if not time_limit.cancelled_caught:
        return EndReason.DONE
    return EndReason.TIMED_OUT if grace.remaining_s() else EndReason.SHUT_DOWN
