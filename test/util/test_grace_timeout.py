"""Test that the grace period bounds the time that serving takes."""

import pytest
import trio

from gentianstair.core import asgi
from gentianstair.util import connection_server
from gentianstair.util import serving

GRACE_S = 1.0
TOLERANCE_S = 1.0
REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'


async def respond_at_length(exchange):
    await exchange.read_body(1000, 5.0)
    await exchange.start(200, [])
    for _ in range(100):
        await exchange.write(b'x' * 1_000_000)
    await exchange.end()


async def test_stalled_caller_does_not_outlast_the_grace_period():
    # Guards against waiting for a write to a caller that reads nothing.
    stop, ended = trio.Event(), trio.Event()
    sock = serving.listen('127.0.0.1:0')

    async def serve():
        await serving.serve(
            asgi.make_app(respond_at_length), sock, stop.wait, GRACE_S
        )
        ended.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        stream = await trio.open_tcp_stream(*sock.getsockname())
        await stream.send_all(REQUEST)
        await trio.sleep(0.5)
        stop.set()
        with trio.fail_after(GRACE_S + TOLERANCE_S):
            await ended.wait()


@pytest.mark.parametrize('place', ['_close', '_read_data'])
async def test_fault_at_the_end_of_the_grace_does_not_end_serving(
    place, monkeypatch
):
    # Guards against raising an error that is grouped with a cancellation.
    entered = trio.Event()
    original = getattr(connection_server.ConnectionServer, place)

    async def fail(server):
        entered.set()
        try:
            await original(server)
        finally:
            raise RuntimeError('a fault')

    async def hang(exchange):
        await exchange.read_body(1000, 5.0)
        try:
            await trio.sleep_forever()
        finally:
            await trio.lowlevel.cancel_shielded_checkpoint()

    monkeypatch.setattr(connection_server.ConnectionServer, place, fail)
    stop = trio.Event()
    sock = serving.listen('127.0.0.1:0')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            serving.serve, asgi.make_app(hang), sock, stop.wait, 0.3
        )
        stream = await trio.open_tcp_stream(*sock.getsockname())
        await stream.send_all(REQUEST)
        await trio.sleep(0.2)
        stop.set()
        with trio.fail_after(3.0):
            while await stream.receive_some():
                pass
