"""Test that a caller that reads late can go on using its connection."""

import pytest
import trio

from gentianstair.core import asgi
from gentianstair.util import serving

PROMPT_S = 5.0
REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
LAST = b'0\r\n\r\n'


async def answer(exchange):
    await exchange.read_body(1000, PROMPT_S)
    await exchange.start(200, [])
    await exchange.end(b'x')


@pytest.mark.parametrize('wait_s', [0.5, 1.5])
async def test_a_late_last_part_leaves_a_usable_connection(
    wait_s, monkeypatch
):
    # Its caller's next request was read by nobody and never answered.
    write_now = serving._Server._write_now
    write_parts = serving._Server._write_parts

    def hold_last(server, data):
        return 0 if data == LAST else write_now(server, data)

    async def write_late(server, data):
        with trio.CancelScope(shield=True):
            # As long as a caller may take to read on.
            await trio.sleep(wait_s)
            return await write_parts(server, data)

    monkeypatch.setattr(serving._Server, '_write_now', hold_last)
    monkeypatch.setattr(serving._Server, '_write_parts', write_late)
    sock = serving.listen('127.0.0.1:0')
    app = asgi.make_app(answer)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serving.serve, app, sock, trio.sleep_forever, 1.0)
        with trio.fail_after(PROMPT_S):
            stream = await trio.open_tcp_stream(*sock.getsockname())
            for _ in range(2):
                await stream.send_all(REQUEST)
                data = b''
                while not data.endswith(LAST):
                    data += await stream.receive_some()
        nursery.cancel_scope.cancel()
