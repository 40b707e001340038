"""Test that no request is lost when its idle connection is closed."""

import random
import time
import typing

from hypercorn.trio import worker_context
import pytest
import trio
import trio.testing

from gentianstair.util import serving
from test.util import keep_alive_harness

# Turns of the event loop from the close to the first sent part.
FIRST_TURN = -3
LAST_TURN = 9
TIMEOUT_S = 10.0
BODY = b'body'
AFTER_LAST_TURN = 1000
CALLERS = 60
BLOCK_S = 0.1


class Part(typing.NamedTuple):
    """Bytes, and how many turns after the first part they are sent."""

    data: bytes
    turns: int = 0


class Shape(typing.NamedTuple):
    """How the requests of one connection arrive."""

    parts: list[Part]
    # Sent well before the close.
    early: bytes = b''
    is_reused: bool = True


PATH = '/second'
REQUEST = keep_alive_harness.request(PATH)
NEXT_REQUEST = keep_alive_harness.request('/third')
REQUEST_WITH_BODY = keep_alive_harness.request(PATH, BODY)
HEAD = REQUEST_WITH_BODY[: -len(BODY)]
SHAPES = {
    'whole': Shape([Part(REQUEST)]),
    'new connection': Shape([Part(REQUEST)], is_reused=False),
    'end of head': Shape([Part(REQUEST[9:])], early=REQUEST[:9]),
    'head in parts': Shape([Part(REQUEST[:9]), Part(REQUEST[9:], 1)]),
    'pipelined': Shape([Part(REQUEST + NEXT_REQUEST)]),
    'pipelined later': Shape([Part(REQUEST), Part(NEXT_REQUEST, 2)]),
    'with body': Shape([Part(REQUEST_WITH_BODY)]),
    'body soon': Shape([Part(HEAD), Part(BODY, 2)]),
    'body at the end': Shape([Part(HEAD), Part(BODY, AFTER_LAST_TURN)]),
}


class Outcome(typing.NamedTuple):
    """The requests received and answered in one round."""

    received: list[str]
    answered: list[str]


@pytest.fixture
def transport(request, tmp_path):
    return keep_alive_harness.make_transport(request.param, tmp_path)


class RoundRunner:
    """Runs rounds that differ only in timing and task order."""

    def __init__(self, transport, cause, clock, monkeypatch):
        self._transport = transport
        self._cause = cause
        self._clock = clock
        self._monkeypatch = monkeypatch
        clock.rate = 1.0

    async def run_round(self, shape, order, at):
        """Run a round; send the first part ``at`` turns after the close."""
        self._monkeypatch.undo()
        async with keep_alive_harness.running(self._transport) as server:
            connect = (
                server.connect_idle if shape.is_reused else server.connect
            )
            caller = await connect()
            caller.send(shape.early)
            self._transport.wait_delivered()
            await trio.testing.wait_all_tasks_blocked()
            keep_alive_harness.set_task_order(self._monkeypatch, order)
            await self._run_turns(server, caller, shape.parts, at)
            with trio.fail_after(TIMEOUT_S):
                await keep_alive_harness.stop_and_read(server, [caller])
        return Outcome(server.app.received, caller.answered_paths())

    async def _run_turns(self, server, caller, parts, at):
        for turn in range(FIRST_TURN, LAST_TURN + 1):
            for part in parts:
                if turn == at + part.turns:
                    caller.send(part.data)
                    self._transport.wait_delivered()
            if turn == 0:
                keep_alive_harness.trigger_close(
                    server, self._cause, self._clock
                )
            await trio.lowlevel.checkpoint()
        for part in parts:
            if at + part.turns > LAST_TURN:
                caller.send(part.data)

    async def run_round_unread(self, order):
        """Run a round; send a request right before the server closes."""
        self._monkeypatch.undo()
        async with keep_alive_harness.running(self._transport) as server:
            caller = await server.connect_idle()
            if self._cause == 'stop':
                self._send_before_stop(server, caller)
            else:
                caller.send(REQUEST)
                self._transport.wait_delivered()
            keep_alive_harness.set_task_order(self._monkeypatch, order)
            keep_alive_harness.trigger_close(server, self._cause, self._clock)
            await keep_alive_harness.pass_turns(LAST_TURN)
            with trio.fail_after(TIMEOUT_S):
                await keep_alive_harness.stop_and_read(server, [caller])
        return Outcome(server.app.received, caller.answered_paths())

    def _send_before_stop(self, server, caller):
        set_event = worker_context.EventWrapper.set

        async def send_and_set(event):
            if server.stop.is_set():
                self._monkeypatch.setattr(
                    worker_context.EventWrapper, 'set', set_event
                )
                caller.send(REQUEST)
                self._transport.wait_delivered()
            await set_event(event)

        self._monkeypatch.setattr(
            worker_context.EventWrapper, 'set', send_and_set
        )

    async def sweep(self, shape):
        """Run all rounds; return the outcomes by task order and turn."""
        found = {}
        for order in keep_alive_harness.TASK_ORDERS:
            for at in range(FIRST_TURN, LAST_TURN + 1):
                found[order, at] = await self.run_round(shape, order, at)
        return found


@pytest.fixture
def runner(transport, cause, mock_clock, monkeypatch):
    return RoundRunner(transport, cause, mock_clock, monkeypatch)


@pytest.mark.parametrize(
    ('order', 'seen'),
    [
        ((False,), 'abababab'),
        ((True,), 'abbaabba'),
        ((False, True), 'babaabab'),
        ((True, False), 'baababba'),
    ],
)
async def test_task_order_is_deterministic(order, seen, monkeypatch):
    noted = []

    async def note(name):
        await trio.lowlevel.checkpoint()
        for _ in range(4):
            noted.append(name)
            await trio.lowlevel.checkpoint()

    keep_alive_harness.set_task_order(monkeypatch, order)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(note, 'a')
        nursery.start_soon(note, 'b')
    assert ''.join(noted) == seen


close_causes = pytest.mark.parametrize(
    'cause', keep_alive_harness.CLOSE_CAUSES
)
# Rounds are repeatable only if the kernel delivers data within the send, as
# Unix sockets do.
shapes = pytest.mark.parametrize(
    ('transport', 'shape'),
    [
        *((name, shape) for name in ('unix', 'tls') for shape in SHAPES),
        ('tcp', 'whole'),
    ],
    indirect=['transport'],
)
transports = pytest.mark.parametrize(
    'transport', ['unix', 'tcp', 'tls'], indirect=True
)


@close_causes
@shapes
async def test_close_does_not_cut_off_requests_in_flight(
    runner, shape, mock_clock
):
    found = await runner.sweep(SHAPES[shape])
    lost = {
        key: sorted(set(outcome.received) - set(outcome.answered))
        for key, outcome in found.items()
    }
    assert not {key: paths for key, paths in lost.items() if paths}


@close_causes
@transports
async def test_close_does_not_drop_unread_requests(runner, mock_clock):
    found = {
        order: await runner.run_round_unread(order)
        for order in keep_alive_harness.TASK_ORDERS
    }
    assert not {
        order
        for order, outcome in found.items()
        if PATH not in outcome.answered
    }


@close_causes
@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('transport', ['unix', 'tcp'], indirect=True)
async def test_close_of_many_connections_cuts_off_no_request(
    transport, seed, cause, mock_clock, monkeypatch
):
    mock_clock.rate = 1.0
    order = random.Random(seed).choices([False, True], k=100)
    turns = range(FIRST_TURN, LAST_TURN + 1)
    async with keep_alive_harness.running(transport) as server:
        callers = [await server.connect_idle(f'/{n}') for n in range(CALLERS)]
        keep_alive_harness.set_task_order(monkeypatch, order)
        for turn in turns:
            for number in range(turn - FIRST_TURN, CALLERS, len(turns)):
                callers[number].send(
                    keep_alive_harness.request(f'{PATH}/{number}')
                )
            transport.wait_delivered()
            if turn == 0:
                keep_alive_harness.trigger_close(server, cause, mock_clock)
            await trio.lowlevel.checkpoint()
        with trio.fail_after(TIMEOUT_S):
            await keep_alive_harness.stop_and_read(server, callers)
    answered = {path for caller in callers for path in caller.answered_paths()}
    assert not set(server.app.received) - answered


@pytest.mark.parametrize('transport', ['unix', 'tcp', 'tls'], indirect=True)
async def test_blocked_event_loop_cuts_off_no_request(transport, monkeypatch):
    lost = {}
    for order in keep_alive_harness.TASK_ORDERS:
        monkeypatch.undo()
        monkeypatch.setattr(serving, 'KEEP_ALIVE_S', BLOCK_S)
        async with keep_alive_harness.running(transport) as server:
            caller = await server.connect_idle()
            keep_alive_harness.set_task_order(monkeypatch, order)
            caller.send(REQUEST)
            time.sleep(BLOCK_S)
            await keep_alive_harness.pass_turns(LAST_TURN)
            with trio.fail_after(TIMEOUT_S):
                await keep_alive_harness.stop_and_read(server, [caller])
        lost[order] = set(server.app.received) - set(caller.answered_paths())
    assert not {order: paths for order, paths in lost.items() if paths}
