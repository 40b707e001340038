"""Test the server under connections that end in odd ways."""

import pytest
import trio

from gentianstair.util import serving

REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
PROMPT_S = 10.0


async def answer_late(scope, receive, send):
    """Answer a request after the caller's end of sending was read."""
    if scope['type'] != 'http':
        while True:
            message = await receive()
            await send({'type': message['type'] + '.complete'})
    await trio.sleep(0.1)
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    await send({'type': 'http.response.body', 'body': b'late'})


@pytest.mark.parametrize('requests', [1, 2])
async def test_half_closed_connection_ends_with_its_answer(requests):
    # A caller closes its sending side after its last request. The answer
    # came, but the end of the connection only 75 s later: the server went
    # on to count idle time for a connection that could bring nothing more.
    sock = serving.listen('127.0.0.1:0')
    port = sock.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            serving.serve, answer_late, sock, trio.sleep_forever, 1.0
        )
        stream = await trio.open_tcp_stream('127.0.0.1', port)
        await stream.send_all(REQUEST * requests)
        await stream.send_eof()
        data = b''
        with trio.fail_after(PROMPT_S):
            async for part in stream:
                data += part
        assert data.count(b'late') == requests
        nursery.cancel_scope.cancel()
