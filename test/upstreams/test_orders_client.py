"""Test what a client of orders takes an engine's response for."""

import httpx
import pytest

from gentianstair import errors
from gentianstair import verdict
from gentianstair.upstreams import orders_client
from gentianstair.util import leased_call

ORDER = orders_client.Order(1, 1, 'c-1', 'drain', '')
Outcome = orders_client.Outcome


async def send(monkeypatch, status, body):
    """Return the outcome of an order that is answered so."""

    async def call(*_, **__):
        return leased_call.Response(status, body)

    monkeypatch.setattr(leased_call, 'call', call)
    async with httpx.AsyncClient() as client:
        orders = orders_client.OrdersClient(client, 1.0, 1.0)
        return await orders.send('http://e', ORDER, lambda: 1.0)


@pytest.mark.parametrize(
    ('status', 'body', 'expected'),
    [
        (200, {'state': 'accepted'}, Outcome.ACCEPTED),
        (409, {'reason': 'busy'}, Outcome.BUSY),
        (409, {'reason': 'stale_epoch'}, Outcome.STALE_EPOCH),
        (400, {'reason': 'unknown_type'}, Outcome.REFUSED),
        (404, None, Outcome.REFUSED),
    ],
)
async def test_what_an_engine_says_is_the_outcome(
    monkeypatch, status, body, expected
):
    assert await send(monkeypatch, status, body) is expected


@pytest.mark.parametrize(
    ('status', 'body'),
    [(500, None), (502, None), (504, None), (200, None), (200, {'state': 7})],
)
async def test_order_may_have_been_taken_unless_the_engine_denies_it(
    monkeypatch, status, body
):
    # Guards against an order that is recorded as refused, and carried out.
    with pytest.raises(errors.UpstreamError) as caught:
        await send(monkeypatch, status, body)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN
