"""Give up a late attempt at a replica only for a retry that may replace it."""

import collections.abc
import typing

import trio

from gentianstair import errors
from gentianstair.util import overrun

# How often it is checked whether a retry has become possible.
RETRY_CHECK_S = 0.1


class Attempt(typing.NamedTuple):
    """What is asked about an attempt in flight."""

    # Returns the time until it counts as late, 0 or less once it does.
    late_in_s: collections.abc.Callable[[], float]
    # Pays for a retry in its place; returns False if none is possible.
    reserve_retry: collections.abc.Callable[[], bool]
    # Called once if it is late and goes on.
    record_late: collections.abc.Callable[[], None]


async def run_unless_replaced(
    work: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    attempt: Attempt,
) -> bool:
    """Run an attempt; return False if it was cancelled for a retry.

    A late attempt goes on while no retry is possible: its answer may still
    come, and cancelling it would only turn it into a failure. Errors of
    gentianstair that work raises are raised as they are.
    """
    done = False
    failure: errors.GentianstairError | None = None

    async def cancel_if_late(scope: trio.CancelScope) -> None:
        recorded = False
        while True:
            wait_s = attempt.late_in_s()
            if wait_s > 0:
                due_s = trio.current_time() + wait_s
                await trio.sleep(wait_s)
                if overrun.was_held_up(due_s, trio.current_time()):
                    # The answer may be there, and has not been read yet.
                    await trio.sleep(RETRY_CHECK_S)
                continue
            if done:
                return
            if attempt.reserve_retry():
                scope.cancel()
                return
            if not recorded:
                attempt.record_late()
                recorded = True
            await trio.sleep(RETRY_CHECK_S)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(cancel_if_late, nursery.cancel_scope)
        try:
            await work()
        except errors.GentianstairError as error:
            # The nursery would wrap it in an exception group.
            failure = error
        done = True
        nursery.cancel_scope.cancel()
    if failure is not None:
        raise failure
    return done
