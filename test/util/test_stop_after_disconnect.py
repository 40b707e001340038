"""Test that a stop does not wait for connections reset by callers."""

import pytest
import trio

from gentianstair.core import asgi
from gentianstair.core import exchange as exchanges
from gentianstair.util import serving

GRACE_S = 8.0
PROMPT_S = 3.0
REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
UPGRADE = (
    b'GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n'
)


async def stream_until_disconnected(exchange, writes):
    await exchange.read_body(1000, 5.0)
    await exchange.start(200, [])
    disconnected = trio.Event()

    async def watch():
        await exchange.wait_disconnected()
        disconnected.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        while not disconnected.is_set():
            await exchange.write(b'x' * 1000)
            writes.append(1)
            await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    raise exchanges.CallerDisconnectedError('gone')


@pytest.mark.parametrize('request_data', [REQUEST, REQUEST + REQUEST, UPGRADE])
async def test_stop_does_not_wait_for_disconnected_callers(request_data):
    writes = []
    stop = trio.Event()
    ended = trio.Event()
    sock = serving.listen('127.0.0.1:0')
    app = asgi.make_app(
        lambda exchange: stream_until_disconnected(exchange, writes)
    )

    async def serve():
        await serving.serve(app, sock, stop.wait, GRACE_S)
        ended.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        stream = await trio.open_tcp_stream(*sock.getsockname())
        await stream.send_all(request_data)
        while len(writes) < 3:
            await trio.sleep(0.01)
        # SO_LINGER of 0 s makes the close a reset.
        stream.setsockopt(1, 13, b'\1\0\0\0\0\0\0\0')
        stream.socket.close()
        await trio.sleep(0.3)
        stop.set()
        with trio.fail_after(PROMPT_S):
            await ended.wait()
