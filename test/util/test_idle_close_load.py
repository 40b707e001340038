"""Test closing idle connections under a load of late requests."""

import random
import time

import pytest
import trio
import trio.testing

from gentianstair.util import serving
from test.util import keep_alive_harness

ROUNDS = 4
CALLERS = 60
# Range of the send times, in seconds after the close.
EARLIEST_SEND_S = -0.02
LATEST_SEND_S = 0.06
# A stop takes longer to close connections while the event loop is blocked.
LATEST_BLOCKED_SEND_S = 0.26
BLOCK_S = 0.025
KEEP_ALIVE_S = 0.15
TIMEOUT_S = 10.0


def _send_late(callers, close_s, latest_s, rng):
    """Send from a thread, so that data arrives while the loop is blocked."""
    due_s = {
        name: close_s + rng.uniform(EARLIEST_SEND_S, latest_s)
        for name in callers
    }
    for name in sorted(due_s, key=due_s.get):
        time.sleep(max(0.0, due_s[name] - time.monotonic()))
        callers[name].send(keep_alive_harness.request(f'/second/{name}'))


async def _block_loop(block_s):
    while True:
        time.sleep(block_s)
        await trio.lowlevel.checkpoint()


async def _run_round(server, rng, cause, block_s, latest_s):
    callers = {n: await server.connect() for n in range(CALLERS)}
    for name, caller in callers.items():
        caller.send(keep_alive_harness.request(f'/first/{name}'))
    for caller in callers.values():
        while not caller.answered_paths():
            assert await caller.read()
    wait_s = KEEP_ALIVE_S if cause == 'idle time' else -2 * EARLIEST_SEND_S
    close_s = time.monotonic() + wait_s
    async with trio.open_nursery() as nursery:
        if block_s:
            nursery.start_soon(_block_loop, block_s)
        async with trio.open_nursery() as sending:
            send_args = (callers, close_s, latest_s, rng)
            sending.start_soon(trio.to_thread.run_sync, _send_late, *send_args)
            if cause == 'stop':
                await trio.sleep(close_s - time.monotonic())
                server.stop.set()
        nursery.cancel_scope.cancel()
    with trio.fail_after(TIMEOUT_S):
        await keep_alive_harness.stop_and_read(server, callers.values())
    answered = {p for c in callers.values() for p in c.answered_paths()}
    return set(server.app.received) - answered


@pytest.mark.parametrize(
    ('cause', 'block_s', 'latest_s'),
    [
        ('stop', BLOCK_S, LATEST_BLOCKED_SEND_S),
        ('idle time', BLOCK_S, LATEST_SEND_S),
        ('stop', 0.0, LATEST_SEND_S),
        ('idle time', 0.0, LATEST_SEND_S),
    ],
)
async def test_late_requests_are_not_cut_off(
    cause, block_s, latest_s, monkeypatch, tmp_path
):
    if cause == 'idle time':
        monkeypatch.setattr(serving, 'KEEP_ALIVE_S', KEEP_ALIVE_S)
    rng = random.Random(7)
    lost = []
    for _ in range(ROUNDS):
        transport = keep_alive_harness.make_transport('tcp', tmp_path)
        async with keep_alive_harness.running(transport) as server:
            lost += await _run_round(server, rng, cause, block_s, latest_s)
    assert not lost
