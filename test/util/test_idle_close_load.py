"""Hammer a server that closes idle connections with late requests."""

import random
import time

import pytest
import trio
import trio.testing

from gentianstair.util import serving
from test.util import keep_alive_harness

ROUNDS = 4
CALLERS = 60
EARLIEST_S = -0.02
LATEST_S = 0.06
# Where each turn is held up, a stop takes longer to close connections.
LATEST_HELD_S = 0.26
HOLD_S = 0.025
KEEP_ALIVE_S = 0.15
WAIT_S = 10.0


def _send_late(callers, moment_s, latest_s, chance):
    """Send from a thread, as other processes do while the loop is held."""
    due_s = {
        name: moment_s + chance.uniform(EARLIEST_S, latest_s)
        for name in callers
    }
    for name in sorted(due_s, key=due_s.get):
        time.sleep(max(0.0, due_s[name] - time.monotonic()))
        callers[name].send(keep_alive_harness.request(f'/second/{name}'))


async def _hold(hold_s):
    while True:
        time.sleep(hold_s)
        await trio.lowlevel.checkpoint()


async def _play(server, chance, moment, hold_s, latest_s):
    callers = {n: await server.connect() for n in range(CALLERS)}
    for name, caller in callers.items():
        caller.send(keep_alive_harness.request(f'/first/{name}'))
    for caller in callers.values():
        while not caller.answered():
            assert await caller.read()
    wait_s = KEEP_ALIVE_S if moment == 'idle time' else -2 * EARLIEST_S
    moment_s = time.monotonic() + wait_s
    async with trio.open_nursery() as nursery:
        if hold_s:
            nursery.start_soon(_hold, hold_s)
        async with trio.open_nursery() as sending:
            late = (callers, moment_s, latest_s, chance)
            sending.start_soon(trio.to_thread.run_sync, _send_late, *late)
            if moment == 'stop':
                await trio.sleep(moment_s - time.monotonic())
                server.stop.set()
        nursery.cancel_scope.cancel()
    with trio.fail_after(WAIT_S):
        await keep_alive_harness.end(server, callers.values())
    answered = {p for c in callers.values() for p in c.answered()}
    return set(server.app.given) - answered


@pytest.mark.parametrize(
    ('moment', 'hold_s', 'latest_s'),
    [
        ('stop', HOLD_S, LATEST_HELD_S),
        ('idle time', HOLD_S, LATEST_S),
        ('stop', 0.0, LATEST_S),
        ('idle time', 0.0, LATEST_S),
    ],
)
async def test_late_requests_are_not_cut_off(
    moment, hold_s, latest_s, monkeypatch, tmp_path
):
    if moment == 'idle time':
        monkeypatch.setattr(serving, 'KEEP_ALIVE_S', KEEP_ALIVE_S)
    chance = random.Random(7)
    lost = []
    for _ in range(ROUNDS):
        transport = keep_alive_harness.make_transport('tcp', tmp_path)
        async with keep_alive_harness.running(transport) as server:
            lost += await _play(server, chance, moment, hold_s, latest_s)
    assert not lost
