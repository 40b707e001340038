"""Test that a gateway cuts off no request of a kept connection."""

import re
import socket
import time

import pytest
import trio

from gentianstair.gateway import handler
from gentianstair.gateway import main
from gentianstair.util import serving
from standins.site import replica as replicas
from standins.site import site as sites
from test.gateway import gateways
from test.util import kept

# Turns of the event loop from the stop, with one caller each.
TURNS = 20
CALLERS = 10
# How long the event loop is held up, to the end of the idle time.
HOLD_S = 0.3
SETTLE_S = 0.05
WAIT_S = 10.0
DONE = re.compile(rb'done by (i-desk-\d)')
TRANSPORT = kept.Transport(socket.AF_INET)


def _request(gateway, request_id):
    headers = gateway.headers(request_id).items()
    lines = [f'{name}: {value}\r\n' for name, value in headers]
    return f'GET /lookup/entry HTTP/1.1\r\n{"".join(lines)}\r\n'.encode()


async def _connect_kept(gateway, names):
    """Return callers that had an answer at the same time, by name.

    So the gateway has connections to replicas that it can use at once.
    """
    address = ('127.0.0.1', gateway.values['front'])
    callers = {name: await TRANSPORT.connect(address) for name in names}
    for name, caller in callers.items():
        caller.send(_request(gateway, f'first-{name}'))
    for caller in callers.values():
        while not DONE.search(caller.data):
            assert await caller.read()
    return callers


def _note_requests(monkeypatch, module, name):
    """Return the ids of the requests that the module's application gets."""
    ids = []
    make_app = getattr(module, name)

    def make_noting_app(*args):
        app = make_app(*args)

        async def note(scope, receive, send):
            headers = dict(scope.get('headers', []))
            ids.append(headers.get(b'x-request-id', b'').decode())
            await app(scope, receive, send)

        return note

    monkeypatch.setattr(module, name, make_noting_app)
    return ids


async def _send_by_turns(gateway, callers):
    for name, caller in callers.items():
        caller.send(_request(gateway, name))
        TRANSPORT.wait_arrival()
        await trio.lowlevel.checkpoint()


class Play:
    """Callers of a gateway, and which requests it got and passed on."""

    def __init__(self, monkeypatch):
        self.given = _note_requests(monkeypatch, handler, 'make_app')
        self.passed_on = _note_requests(monkeypatch, replicas, 'create_app')
        self.callers = {}

    async def read_to_end(self):
        with trio.fail_after(WAIT_S):
            for caller in self.callers.values():
                await caller.read_to_end()

    def check(self):
        cut_off = {
            name
            for name, caller in self.callers.items()
            if len(DONE.findall(caller.data)) < 2
        }
        assert not cut_off.intersection(self.passed_on)
        assert not cut_off.intersection(self.given)


orders = pytest.mark.parametrize('last_first', [False, True])


@orders
async def test_a_stop_cuts_off_no_request_that_was_passed_on(
    tmp_path, monkeypatch, last_first
):
    stop = trio.Event()
    monkeypatch.setattr(serving, 'catch_stop', lambda: stop)
    monkeypatch.setattr(main, 'BALANCER_DRAIN_S', 0.0)
    play = Play(monkeypatch)
    names = [f'turn-{turn}' for turn in range(TURNS)]
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            play.callers = await _connect_kept(gateway, names)
            kept.set_order(monkeypatch, [last_first])
            stop.set()
            await _send_by_turns(gateway, play.callers)
            await play.read_to_end()
    play.check()


@orders
async def test_the_idle_time_cuts_off_no_request_that_was_passed_on(
    tmp_path, monkeypatch, last_first
):
    play = Play(monkeypatch)
    names = [f'caller-{number}' for number in range(CALLERS)]
    # Connections are kept for the longer of this limit and our own time.
    limits = sites.CONFIG['limits']
    monkeypatch.setitem(limits, 'idle_timeout_ms', 1000 * HOLD_S)
    async with sites.running() as site:
        # Replicas keep their connections to the gateway.
        monkeypatch.setattr(serving, 'KEEP_ALIVE_S', HOLD_S)
        async with gateways.running(site, tmp_path) as (gateway,):
            play.callers = await _connect_kept(gateway, names)
            await trio.sleep(SETTLE_S)
            kept.set_order(monkeypatch, [last_first])
            for name, caller in play.callers.items():
                caller.send(_request(gateway, name))
            time.sleep(HOLD_S)
            await play.read_to_end()
    play.check()
