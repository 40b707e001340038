"""Test that work ends with its answer, its caller or its time."""

import math

import pytest
import trio

from gentianstair import errors
from gentianstair.core import exchange as exchanges
from gentianstair.core import grace as graces
from gentianstair.core import patience

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
    grace.end_in(grace_s - 0.5)


@pytest.mark.parametrize('stopped_first', [True, False])
@pytest.mark.parametrize(
    ('work_s', 'gone_s', 'left_s', 'grace_s', 'end', 'at_s'),
    [
        (1.0, math.inf, 5.0, math.inf, patience.End.DONE, 1.0),
        (3.0, 2.0, 5.0, math.inf, patience.End.GONE, 2.0),
        (9.0, math.inf, 5.0, math.inf, patience.End.LATE, 5.0),
        (9.0, math.inf, 5.0, 4.0, patience.End.STOPPED, 4.0),
        (9.0, math.inf, 5.0, 6.0, patience.End.LATE, 5.0),
        (1.0, math.inf, 5.0, 4.0, patience.End.DONE, 1.0),
    ],
)
async def test_what_ends_the_work(
    autojump_clock, work_s, gone_s, left_s, grace_s, end, at_s, stopped_first
):
    async def work():
        await trio.sleep(work_s)

    grace = graces.Grace()
    if stopped_first:
        grace.end_in(grace_s)
    started_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        if not stopped_first:
            nursery.start_soon(stop, grace, grace_s)
        found = await patience.run(exchange_of(gone_s), work, left_s, grace)
        assert found is end
        assert trio.current_time() - started_s == pytest.approx(at_s)


async def test_an_answer_that_ended_is_no_hang_up(autojump_clock):
    """The server reports the end of an answer as it does a hang-up."""
    exchange = exchange_of(1.0)

    async def work():
        await exchange.end()
        await trio.sleep(2.0)

    found = await patience.run(exchange, work, 5.0, graces.Grace())
    assert found is patience.End.DONE


async def test_a_failure_comes_out_as_it_is(autojump_clock):
    async def work():
        raise errors.RequestError(503, 'full', 'no room')

    with pytest.raises(errors.RequestError, match='no room'):
        await patience.run(exchange_of(math.inf), work, 5.0, graces.Grace())
