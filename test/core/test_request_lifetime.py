"""Test that work ends with its answer, its caller or its time."""

import math

import pytest
import trio

from gentianstair import errors
from gentianstair.core import exchange as exchanges
from gentianstair.core import grace_period as graces
from gentianstair.core import request_lifetime

SCOPE = {'path': '/', 'method': 'GET', 'headers': []}


def exchange_of(gone_after_s):
    async def receive():
        await trio.sleep(gone_after_s)
        return {'type': 'http.disconnect'}

    async def send(message):
        pass

    return exchanges.Exchange(SCOPE, receive, send)


async def stop(grace, grace_s):
    await trio.sleep(0.5)
    grace.expire_in(grace_s - 0.5)


@pytest.mark.parametrize('stopped_first', [True, False])
@pytest.mark.parametrize(
    ('work_s', 'gone_s', 'left_s', 'grace_s', 'end', 'at_s'),
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
)
async def test_what_ends_the_work(
    autojump_clock, work_s, gone_s, left_s, grace_s, end, at_s, stopped_first
):
    async def work():
        await trio.sleep(work_s)

    grace = graces.GracePeriod()
    if stopped_first:
        grace.expire_in(grace_s)
    started_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        if not stopped_first:
            nursery.start_soon(stop, grace, grace_s)
        found = await request_lifetime.run_until_ended(
            exchange_of(gone_s), work, left_s, grace
        )
        assert found is end
        assert trio.current_time() - started_s == pytest.approx(at_s)


async def test_an_answer_that_ended_is_no_hang_up(autojump_clock):
    """The server reports the end of an answer as it does a hang-up."""
    exchange = exchange_of(1.0)

    async def work():
        await exchange.end()
        await trio.sleep(2.0)

    found = await request_lifetime.run_until_ended(
        exchange, work, 5.0, graces.GracePeriod()
    )
    assert found is request_lifetime.EndReason.DONE


async def test_a_failure_comes_out_as_it_is(autojump_clock):
    async def work():
        raise errors.RequestError(503, 'full', 'no room')

    with pytest.raises(errors.RequestError, match='no room'):
        await request_lifetime.run_until_ended(
            exchange_of(math.inf), work, 5.0, graces.GracePeriod()
        )
