"""Test that background work cannot end the process."""

import pytest
import trio

from gentianstair import errors
from gentianstair.gateway import main


async def test_work_that_fails_is_begun_anew(autojump_clock):
    """A peer's odd message raises an error that nobody foresaw.

    It ended the process, and with it all requests that it served. The work
    must go on instead, after a pause.
    """
    begun = []

    async def work():
        begun.append(trio.current_time())
        if len(begun) < 3:
            raise OSError('unforeseen')

    with trio.fail_after(60):
        await main.restart_on_fault(work)
    assert len(begun) == 3
    assert begun[2] - begun[0] == pytest.approx(2 * main.FAULT_BACKOFF_S)


async def test_lost_authority_ends_a_duty(autojump_clock):
    async def work():
        raise errors.LeaseLostError('lapsed')

    with pytest.raises(errors.LeaseLostError):
        await main.restart_on_fault(work)
