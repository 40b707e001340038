"""Test how failed background work is restarted."""

import pytest
import trio

from gentianstair import errors
from gentianstair.gateway import background


async def test_unexpected_error_restarts_background_work(autojump_clock):
    """Guard against an unexpected error that ends the whole process.

    Such an error, for example from a peer's malformed message, must only
    restart the work after a pause.
    """
    starts_s = []

    async def work():
        starts_s.append(trio.current_time())
        if len(starts_s) < 3:
            raise OSError('unexpected')

    with trio.fail_after(60):
        await background.restart_on_fault(work)
    assert len(starts_s) == 3
    assert starts_s[2] - starts_s[0] == pytest.approx(
        2 * background.FAULT_BACKOFF_S
    )


async def test_lost_lease_ends_duty_without_restart(autojump_clock):
    async def work():
        raise errors.LeaseLostError('lapsed')

    with pytest.raises(errors.LeaseLostError):
        await background.restart_on_fault(work)
