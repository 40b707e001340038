"""Test that work on a request is cancelled in time and only then."""

import math

import pytest
import trio

from gentianstair import errors
from gentianstair.core import exchange as exchanges
from gentianstair.core import grace_period
from gentianstair.core import request_lifetime

SCOPE = {'path': '/', 'method': 'GET', 'headers': []}


def make_exchange(disconnect_after_s):
    async def receive():
        await trio.sleep(disconnect_after_s)
        return {'type': 'http.disconnect'}

    async def send(message):
        pass

    return exchanges.Exchange(SCOPE, receive, send)


async def shut_down(grace, grace_s):
    await trio.sleep(0.5)
    grace.expire_in(grace_s - 0.5)


@pytest.mark.parametrize(
    'shut_down_first',
    [True, False],
    ids=['shutdown-before-work', 'shutdown-during-work'],
)
@pytest.mark.parametrize(
    ('work_s', 'disconnect_s', 'timeout_s', 'grace_s', 'reason', 'end_s'),
    [
        (1.0, math.inf, 5.0, math.inf, request_lifetime.EndReason.DONE, 1.0),
        (
            3.0,
            2.0,
            5.0,
            math.inf,
            request_lifetime.EndReason.DISCONNECTED,
            2.0,
        ),
        (
            9.0,
            math.inf,
            5.0,
            math.inf,
            request_lifetime.EndReason.TIMED_OUT,
            5.0,
        ),
        (9.0, math.inf, 5.0, 4.0, request_lifetime.EndReason.SHUT_DOWN, 4.0),
        (9.0, math.inf, 5.0, 6.0, request_lifetime.EndReason.TIMED_OUT, 5.0),
        (1.0, math.inf, 5.0, 4.0, request_lifetime.EndReason.DONE, 1.0),
    ],
    ids=[
        'work-done',
        'caller-disconnected',
        'timed-out',
        'shut-down-before-timeout',
        'timed-out-before-shutdown',
        'work-done-before-shutdown',
    ],
)
async def test_work_ends_at_the_first_of_its_limits(
    autojump_clock,
    work_s,
    disconnect_s,
    timeout_s,
    grace_s,
    reason,
    end_s,
    shut_down_first,
):
    async def work():
        await trio.sleep(work_s)

    grace = grace_period.GracePeriod()
    if shut_down_first:
        grace.expire_in(grace_s)
    started_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        if not shut_down_first:
            nursery.start_soon(shut_down, grace, grace_s)
        found = await request_lifetime.run_until_ended(
            make_exchange(disconnect_s), work, timeout_s, grace
        )
        assert found is reason
        assert trio.current_time() - started_s == pytest.approx(end_s)


async def test_end_of_response_is_not_taken_for_a_disconnect(autojump_clock):
    """The server reports the end of a response like a disconnect."""
    exchange = make_exchange(1.0)

    async def work():
        await exchange.end()
        await trio.sleep(2.0)

    found = await request_lifetime.run_until_ended(
        exchange, work, 5.0, grace_period.GracePeriod()
    )
    assert found is request_lifetime.EndReason.DONE


async def test_error_of_the_work_is_raised_without_a_group(autojump_clock):
    async def work():
        raise errors.RequestError(503, 'full', 'no room')

    with pytest.raises(errors.RequestError, match='no room'):
        await request_lifetime.run_until_ended(
            make_exchange(math.inf), work, 5.0, grace_period.GracePeriod()
        )
