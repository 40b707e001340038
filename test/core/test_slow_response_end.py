"""Test that a caller that reads slowly can reuse its connection."""

import pytest
import trio

from gentianstair.core import asgi
from gentianstair.util import connection_server
from gentianstair.util import serving

RESPONSE_TIMEOUT_S = 5.0
REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
LAST_CHUNK = b'0\r\n\r\n'


async def respond(exchange):
    await exchange.read_body(1000, RESPONSE_TIMEOUT_S)
    await exchange.start(200, [])
    await exchange.end(b'x')


@pytest.mark.parametrize('read_delay_s', [0.5, 1.5])
async def test_slowly_read_last_part_leaves_a_usable_connection(
    read_delay_s, monkeypatch
):
    # Guards against a next request that is never read.
    write_now = connection_server.ConnectionServer._write_now
    write_chunks = connection_server.ConnectionServer._write_chunks

    def refuse_last_chunk(server, data):
        return 0 if data == LAST_CHUNK else write_now(server, data)

    async def write_chunks_late(server, data):
        with trio.CancelScope(shield=True):
            # The time the caller takes to read the last part.
            await trio.sleep(read_delay_s)
            return await write_chunks(server, data)

    monkeypatch.setattr(
        connection_server.ConnectionServer, '_write_now', refuse_last_chunk
    )
    monkeypatch.setattr(
        connection_server.ConnectionServer, '_write_chunks', write_chunks_late
    )
    sock = serving.listen('127.0.0.1:0')
    app = asgi.make_app(respond)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serving.serve, app, sock, trio.sleep_forever, 1.0)
        with trio.fail_after(RESPONSE_TIMEOUT_S):
            stream = await trio.open_tcp_stream(*sock.getsockname())
            for _ in range(2):
                await stream.send_all(REQUEST)
                data = b''
                while not data.endswith(LAST_CHUNK):
                    data += await stream.receive_some()
        nursery.cancel_scope.cancel()
