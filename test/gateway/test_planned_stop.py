"""Test responses of a process that is being stopped."""

import pytest
import trio

from gentianstair.gateway import main
from gentianstair.util import stop_signals
from standins.site import site as sites
from test.gateway import gateways

GRACE_S = 2.4
# Too short for the prefill of the prompt.
TOO_SHORT_S = 0.35


@pytest.fixture
def stop(monkeypatch):
    found = trio.Event()
    monkeypatch.setattr(stop_signals, 'watch_stop_signals', lambda: found)
    monkeypatch.setattr(main, 'BALANCER_DRAIN_S', 0.2)
    return found


@pytest.mark.parametrize('grace_s', [3.0, 4.0, 6.0, 7.4, 8.0, 30.0])
def test_requests_run_until_the_last_sixth_of_the_grace_period(grace_s):
    # Guards against ending requests too early in a short grace period.
    request_grace_s = main.request_grace_s(grace_s)
    assert request_grace_s > grace_s * 5 / 6
    assert request_grace_s < main.connection_grace_s(grace_s) < grace_s


@pytest.mark.parametrize(
    ('method', 'path', 'more'),
    [
        ('GET', '/lookup/entry', {}),
        ('POST', '/register/entry', {}),
        ('POST', '/ask/rule', gateways.PROMPT),
        ('POST', '/draft/rule', gateways.PROMPT),
    ],
    ids=['idempotent', 'at-most-once', 'stream', 'unresumable-stream'],
)
async def test_request_that_outlasts_the_grace_period_gets_504(
    tmp_path, stop, method, path, more
):
    # Guards against a 500 without a request id or a reason.
    async with sites.running() as site:
        async with gateways.running(site, tmp_path, grace_s=GRACE_S) as (
            gateway,
        ):
            for replica in site.replicas:
                replica.faults.silent = True
            # Open a keep-alive connection.
            await gateway.call('GET', '/none/', 'r0')
            stop.set()
            await trio.sleep(0.05)
            answer = await gateway.call(method, path, 'r1', **more)
    assert answer.status_code == 504
    assert answer.headers['x-request-id'] == 'r1'
    assert answer.headers['connection'] == 'close'


async def test_request_that_fits_in_the_grace_period_completes(tmp_path, stop):
    async with sites.running() as site:
        async with gateways.running(site, tmp_path, grace_s=GRACE_S) as (
            gateway,
        ):
            stop.set()
            await trio.sleep(0.05)
            answer = await gateway.call(
                'POST', '/ask/rule', 'r1', **gateways.PROMPT
            )
    assert answer.status_code == 200
    assert answer.text.count('data: word') == 5


@pytest.mark.parametrize(
    ('stopping', 'status'),
    [(False, 200), (True, 503)],
    ids=['serving', 'stopping'],
)
async def test_request_too_long_for_the_grace_period_is_refused_at_once(
    tmp_path, stop, stopping, status, monkeypatch
):
    # Guards against a request that waits for the end of the grace period
    # although another VM has time to serve it.
    monkeypatch.setattr(
        main, 'BALANCER_DRAIN_S', main.request_grace_s(GRACE_S)
    )
    more = {**gateways.PROMPT, 'x-token-count': '30000,80'}
    async with sites.running() as site:
        async with gateways.running(site, tmp_path, grace_s=GRACE_S) as (
            gateway,
        ):
            if stopping:
                stop.set()
                await trio.sleep(main.request_grace_s(GRACE_S) - TOO_SHORT_S)
            started_s = trio.current_time()
            answer = await gateway.call('POST', '/ask/rule', 'r1', **more)
            took_s = trio.current_time() - started_s
    assert answer.status_code == status
    assert not stopping or took_s < 0.2
