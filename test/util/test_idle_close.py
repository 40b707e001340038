"""Test that no request is lost when its kept connection is closed."""

import random
import time
import typing

from hypercorn.trio import worker_context
import pytest
import trio
import trio.testing

from gentianstair.util import serving
from test.util import keep_alive_harness

# Turns of the event loop from the moment of closing to a sending.
FIRST_TURN = -3
LAST_TURN = 9
WAIT_S = 10.0
BODY = b'body'
AT_END = 1000
CALLERS = 60
HOLD_S = 0.1


class Part(typing.NamedTuple):
    """Bytes, and how many turns after a request's first they are sent."""

    data: bytes
    turns: int = 0


class Shape(typing.NamedTuple):
    """How the requests of one connection arrive."""

    parts: list[Part]
    # Sent well before the moment.
    early: bytes = b''
    kept: bool = True


PATH = '/second'
WHOLE = keep_alive_harness.request(PATH)
NEXT = keep_alive_harness.request('/third')
LONG = keep_alive_harness.request(PATH, BODY)
HEAD = LONG[: -len(BODY)]
SHAPES = {
    'whole': Shape([Part(WHOLE)]),
    'new connection': Shape([Part(WHOLE)], kept=False),
    'end of head': Shape([Part(WHOLE[9:])], early=WHOLE[:9]),
    'head in parts': Shape([Part(WHOLE[:9]), Part(WHOLE[9:], 1)]),
    'pipelined': Shape([Part(WHOLE + NEXT)]),
    'pipelined later': Shape([Part(WHOLE), Part(NEXT, 2)]),
    'with body': Shape([Part(LONG)]),
    'body soon': Shape([Part(HEAD), Part(BODY, 2)]),
    'body at the end': Shape([Part(HEAD), Part(BODY, AT_END)]),
}


class Outcome(typing.NamedTuple):
    """What became of the requests of one round."""

    given: list[str]
    answered: list[str]


@pytest.fixture
def transport(request, tmp_path):
    return keep_alive_harness.make_transport(request.param, tmp_path)


class Player:
    """Play rounds that differ in turns and order alone."""

    def __init__(self, transport, moment, clock, monkeypatch):
        self._transport = transport
        self._moment = moment
        self._clock = clock
        self._monkeypatch = monkeypatch
        clock.rate = 1.0

    async def play(self, shape, order, at):
        """Send the first part so many turns after the moment."""
        self._monkeypatch.undo()
        async with keep_alive_harness.running(self._transport) as server:
            connect = server.connect_kept if shape.kept else server.connect
            caller = await connect()
            caller.send(shape.early)
            self._transport.wait_arrival()
            await trio.testing.wait_all_tasks_blocked()
            keep_alive_harness.set_order(self._monkeypatch, order)
            await self._pass_moment(server, caller, shape.parts, at)
            with trio.fail_after(WAIT_S):
                await keep_alive_harness.end(server, [caller])
        return Outcome(server.app.given, caller.answered())

    async def _pass_moment(self, server, caller, parts, at):
        for turn in range(FIRST_TURN, LAST_TURN + 1):
            for part in parts:
                if turn == at + part.turns:
                    caller.send(part.data)
                    self._transport.wait_arrival()
            if turn == 0:
                keep_alive_harness.begin(server, self._moment, self._clock)
            await trio.lowlevel.checkpoint()
        for part in parts:
            if at + part.turns > LAST_TURN:
                caller.send(part.data)

    async def play_unread(self, order):
        """Send a request right before the server decides to close."""
        self._monkeypatch.undo()
        async with keep_alive_harness.running(self._transport) as server:
            caller = await server.connect_kept()
            if self._moment == 'stop':
                self._send_before_stop(server, caller)
            else:
                caller.send(WHOLE)
                self._transport.wait_arrival()
            keep_alive_harness.set_order(self._monkeypatch, order)
            keep_alive_harness.begin(server, self._moment, self._clock)
            await keep_alive_harness.pass_turns(LAST_TURN)
            with trio.fail_after(WAIT_S):
                await keep_alive_harness.end(server, [caller])
        return Outcome(server.app.given, caller.answered())

    def _send_before_stop(self, server, caller):
        set_event = worker_context.EventWrapper.set

        async def send_and_set(event):
            if server.stop.is_set():
                self._monkeypatch.setattr(
                    worker_context.EventWrapper, 'set', set_event
                )
                caller.send(WHOLE)
                self._transport.wait_arrival()
            await set_event(event)

        self._monkeypatch.setattr(
            worker_context.EventWrapper, 'set', send_and_set
        )

    async def sweep(self, shape):
        """Return the outcomes by order and turn."""
        found = {}
        for order in keep_alive_harness.ORDERS:
            for at in range(FIRST_TURN, LAST_TURN + 1):
                found[order, at] = await self.play(shape, order, at)
        return found


@pytest.fixture
def player(transport, moment, mock_clock, monkeypatch):
    return Player(transport, moment, mock_clock, monkeypatch)


@pytest.mark.parametrize(
    ('order', 'seen'),
    [
        ((False,), 'abababab'),
        ((True,), 'abbaabba'),
        ((False, True), 'babaabab'),
        ((True, False), 'baababba'),
    ],
)
async def test_turns_are_not_played_by_chance(order, seen, monkeypatch):
    noted = []

    async def note(name):
        await trio.lowlevel.checkpoint()
        for _ in range(4):
            noted.append(name)
            await trio.lowlevel.checkpoint()

    keep_alive_harness.set_order(monkeypatch, order)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(note, 'a')
        nursery.start_soon(note, 'b')
    assert ''.join(noted) == seen


both_moments = pytest.mark.parametrize('moment', keep_alive_harness.MOMENTS)
# Only where the kernel delivers within a send is each turn the same again.
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


@both_moments
@shapes
async def test_a_close_cuts_off_no_request_that_was_handed_over(
    player, shape, mock_clock
):
    found = await player.sweep(SHAPES[shape])
    lost = {
        key: sorted(set(outcome.given) - set(outcome.answered))
        for key, outcome in found.items()
    }
    assert not {key: paths for key, paths in lost.items() if paths}


@both_moments
@transports
async def test_a_close_drops_no_request_that_lies_unread(player, mock_clock):
    found = {
        order: await player.play_unread(order)
        for order in keep_alive_harness.ORDERS
    }
    assert not {
        order
        for order, outcome in found.items()
        if PATH not in outcome.answered
    }


@both_moments
@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('transport', ['unix', 'tcp'], indirect=True)
async def test_a_close_of_many_connections_cuts_off_no_request(
    transport, seed, moment, mock_clock, monkeypatch
):
    mock_clock.rate = 1.0
    order = random.Random(seed).choices([False, True], k=100)
    turns = range(FIRST_TURN, LAST_TURN + 1)
    async with keep_alive_harness.running(transport) as server:
        callers = [await server.connect_kept(f'/{n}') for n in range(CALLERS)]
        keep_alive_harness.set_order(monkeypatch, order)
        for turn in turns:
            for number in range(turn - FIRST_TURN, CALLERS, len(turns)):
                callers[number].send(
                    keep_alive_harness.request(f'{PATH}/{number}')
                )
            transport.wait_arrival()
            if turn == 0:
                keep_alive_harness.begin(server, moment, mock_clock)
            await trio.lowlevel.checkpoint()
        with trio.fail_after(WAIT_S):
            await keep_alive_harness.end(server, callers)
    answered = {path for caller in callers for path in caller.answered()}
    assert not set(server.app.given) - answered


@pytest.mark.parametrize('transport', ['unix', 'tcp', 'tls'], indirect=True)
async def test_a_held_up_event_loop_cuts_off_no_request(
    transport, monkeypatch
):
    lost = {}
    for order in keep_alive_harness.ORDERS:
        monkeypatch.undo()
        monkeypatch.setattr(serving, 'KEEP_ALIVE_S', HOLD_S)
        async with keep_alive_harness.running(transport) as server:
            caller = await server.connect_kept()
            keep_alive_harness.set_order(monkeypatch, order)
            caller.send(WHOLE)
            time.sleep(HOLD_S)
            await keep_alive_harness.pass_turns(LAST_TURN)
            with trio.fail_after(WAIT_S):
                await keep_alive_harness.end(server, [caller])
        lost[order] = set(server.app.given) - set(caller.answered())
    assert not {order: paths for order, paths in lost.items() if paths}
