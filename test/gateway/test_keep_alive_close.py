"""Test that closing keep-alive connections drops no accepted request."""

import re
import socket
import time

import pytest
import trio

from gentianstair.gateway import handler
from gentianstair.gateway import main
from gentianstair.util import serving
from gentianstair.util import stop_signals
from standins.site import replica_app
from standins.site import site as sites
from test.gateway import gateways
from test.util import keep_alive_harness

# Turns of the event loop after the stop, with one request each.
TURNS = 20
CALLERS = 10
# How long the event loop is blocked, to the end of the idle timeout.
BLOCK_S = 0.3
SETTLE_S = 0.05
WAIT_S = 10.0
DONE = re.compile(rb'done by (i-desk-\d)')
TRANSPORT = keep_alive_harness.Transport(socket.AF_INET)


def _request(gateway, request_id):
    headers = gateway.headers(request_id).items()
    lines = [f'{name}: {value}\r\n' for name, value in headers]
    return f'GET /lookup/entry HTTP/1.1\r\n{"".join(lines)}\r\n'.encode()


async def _connect_idle(gateway, names):
    """Return callers by name, each with one completed request.

    The requests run concurrently, so the gateway has as many idle connections
    to replicas.
    """
    address = ('127.0.0.1', gateway.values['front'])
    callers = {name: await TRANSPORT.connect(address) for name in names}
    for name, caller in callers.items():
        caller.send(_request(gateway, f'first-{name}'))
    for caller in callers.values():
        while not DONE.search(caller.data):
            assert await caller.read()
    return callers


def _track_requests(monkeypatch, module, name):
    """Return a list to which the module's app adds its requests' ids."""
    ids = []
    make_app = getattr(module, name)

    def make_tracking_app(*args):
        app = make_app(*args)

        async def track(scope, receive, send):
            headers = dict(scope.get('headers', []))
            ids.append(headers.get(b'x-request-id', b'').decode())
            await app(scope, receive, send)

        return track

    monkeypatch.setattr(module, name, make_tracking_app)
    return ids


async def _send_one_per_turn(gateway, callers):
    for name, caller in callers.items():
        caller.send(_request(gateway, name))
        TRANSPORT.wait_delivered()
        await trio.lowlevel.checkpoint()


class RequestTracker:
    """Track which requests reach the gateway's app and the replicas."""

    def __init__(self, monkeypatch):
        self.received = _track_requests(monkeypatch, handler, 'make_app')
        self.forwarded = _track_requests(
            monkeypatch, replica_app, 'create_app'
        )
        self.callers = {}

    async def read_to_end(self):
        with trio.fail_after(WAIT_S):
            for caller in self.callers.values():
                await caller.read_to_end()

    def check_none_dropped(self):
        dropped = {
            name
            for name, caller in self.callers.items()
            if len(DONE.findall(caller.data)) < 2
        }
        assert not dropped.intersection(self.forwarded)
        assert not dropped.intersection(self.received)


orders = pytest.mark.parametrize(
    'last_first', [False, True], ids=['woken-first', 'woken-last']
)


@orders
async def test_stop_drops_no_received_request(
    tmp_path, monkeypatch, last_first
):
    stop = trio.Event()
    monkeypatch.setattr(stop_signals, 'watch_stop_signals', lambda: stop)
    monkeypatch.setattr(main, 'BALANCER_DRAIN_S', 0.0)
    tracker = RequestTracker(monkeypatch)
    names = [f'turn-{turn}' for turn in range(TURNS)]
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            tracker.callers = await _connect_idle(gateway, names)
            keep_alive_harness.set_task_order(monkeypatch, [last_first])
            stop.set()
            await _send_one_per_turn(gateway, tracker.callers)
            await tracker.read_to_end()
    tracker.check_none_dropped()


@orders
async def test_idle_timeout_drops_no_received_request(
    tmp_path, monkeypatch, last_first
):
    tracker = RequestTracker(monkeypatch)
    names = [f'caller-{number}' for number in range(CALLERS)]
    # Connections are kept for the longer of this limit and KEEP_ALIVE_S.
    limits = sites.CONFIG['limits']
    monkeypatch.setitem(limits, 'idle_timeout_ms', 1000 * BLOCK_S)
    async with sites.running() as site:
        # Patched once the replicas run, which keep their connections.
        monkeypatch.setattr(serving, 'KEEP_ALIVE_S', BLOCK_S)
        async with gateways.running(site, tmp_path) as (gateway,):
            tracker.callers = await _connect_idle(gateway, names)
            await trio.sleep(SETTLE_S)
            keep_alive_harness.set_task_order(monkeypatch, [last_first])
            for name, caller in tracker.callers.items():
                caller.send(_request(gateway, name))
            time.sleep(BLOCK_S)
            await tracker.read_to_end()
    tracker.check_none_dropped()
