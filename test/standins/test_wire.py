"""Test that a cut wire holds what the cut says, and only that."""

import functools

import pytest
import trio
import trio.testing

from standins import wire

LIMIT_S = 10.0
# Long enough for bytes on loopback that are not held.
QUIET_S = 0.2


@pytest.mark.parametrize(
    ('cut', 'arrived'),
    [
        (None, [b'ping']),
        # One way: the request arrives and has its effect, its answer not.
        (True, [b'ping']),
        (False, []),
    ],
)
async def test_a_cut_holds_and_a_heal_delivers_late(cut, arrived):
    seen = []

    async def echo(stream):
        while data := await stream.receive_some():
            seen.append(data)
            await stream.send_all(data)

    async with trio.open_nursery() as nursery:
        serve = functools.partial(trio.serve_tcp, host='127.0.0.1')
        target = await nursery.start(serve, echo, 0)
        made = wire.Wire(target[0].socket.getsockname()[:2])
        ports = await nursery.start(serve, made.carry, 0)
        address = ports[0].socket.getsockname()[:2]
        stream = await trio.open_tcp_stream(*address)
        if cut is not None:
            made.cut(back_only=cut)
        await stream.send_all(b'ping')
        answer = None
        with trio.move_on_after(QUIET_S):
            answer = await stream.receive_some()
        assert seen == arrived
        assert (answer is None) == (cut is not None)
        if answer is None:
            made.heal()
            with trio.fail_after(LIMIT_S):
                answer = await stream.receive_some()
        assert answer == b'ping'
        nursery.cancel_scope.cancel()
