"""Test signals that arrive while a process is being stopped."""

import signal

import httpx
import pytest
import trio

from standins.site import processes
from standins.site import site as sites

HEADERS = {
    'host': 'judging.example',
    'authorization': 'Bearer club-key-1',
    'x-request-id': 'r1',
    'x-request-deadline-ms': '3000',
}
SIGNAL_GAP_S = 0.3


@pytest.fixture
def gateway(tmp_path):
    found = processes.Gateway(tmp_path, 0)
    yield found
    found.signal(signal.SIGKILL)


async def post_request(gateway, statuses):
    async with httpx.AsyncClient(trust_env=False) as client:
        url = f'{gateway.url}/register/bowl'
        answer = await client.post(url, headers=HEADERS, timeout=10.0)
    statuses.append(answer.status_code)


@pytest.mark.process
@pytest.mark.parametrize('again', ['SIGTERM', 'SIGHUP'])
async def test_second_signal_cuts_off_no_request(gateway, again):
    # Guards against a second signal that ends the process with requests in
    # flight.
    statuses = []
    async with sites.running() as site:
        for replica in site.replicas:
            replica.faults.silent = True
        control = gateway.ports['control']
        gateway.start(site.store_port, site.cloud_port, control)
        await gateway.ready()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(post_request, gateway, statuses)
            with trio.fail_after(processes.START_S):
                while not sum(len(r.runs) for r in site.replicas):
                    await trio.sleep(0.01)
            for number in ('SIGTERM', again, again):
                gateway.signal(signal.Signals[number])
                await trio.sleep(SIGNAL_GAP_S)
        assert await gateway.wait() == 0
    assert statuses == [504]


@pytest.mark.process
async def test_sigterm_right_after_the_start_stops_cleanly(gateway):
    # Guards against a SIGTERM that arrives before its handler is installed.
    async with sites.running() as site:
        control = gateway.ports['control']
        gateway.start(site.store_port, site.cloud_port, control)
        with trio.fail_after(processes.START_S):
            while not gateway.has_started():
                await trio.sleep(0)
        gateway.signal(signal.SIGTERM)
        assert await gateway.wait() == 0


@pytest.mark.process
@pytest.mark.parametrize('again', ['SIGTERM', 'SIGHUP'])
async def test_signals_after_the_last_line_do_not_end_the_process(
    gateway, again
):
    # A planned stop would look like a crash.
    async with sites.running() as site:
        control = gateway.ports['control']
        gateway.start(site.store_port, site.cloud_port, control)
        await gateway.ready()
        gateway.signal(signal.SIGTERM)
        with trio.fail_after(processes.START_S):
            while b'"event": "stopped"' not in gateway.log.read_bytes():
                await trio.sleep(0.001)
            while gateway.is_running():
                gateway.signal(signal.Signals[again])
                await trio.sleep(0.0005)
        assert await gateway.wait() == 0
