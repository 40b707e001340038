"""Test what follows the last request of a connection."""

import functools

import pytest
import trio
import trio.testing

from gentianstair.util import serving

LAST = b'GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'
MORE = {
    'nothing': b'',
    'a line end': b'\r\n',
    'no HTTP': b'\x16\x03\x01 what\r\n\r\n',
    'a request': b'GET /next HTTP/1.1\r\nhost: x\r\n\r\n',
    'as much as a connection may bring': b'x' * serving.MAX_HEADER_BYTES * 9,
}
ROUNDS = 20
# Without any task's doing, after which all that was sent has been read.
READ_S = 0.01
PROMPT_S = 10.0


async def answer(scope, receive, send, release):
    if scope['type'] != 'http':
        while True:
            message = await receive()
            await send({'type': message['type'] + '.complete'})
    await release.receive()
    length = (b'content-length', b'4')
    start = {'type': 'http.response.start', 'status': 200}
    await send({**start, 'headers': [length]})
    await send({'type': 'http.response.body', 'body': b'done'})


async def read_all(stream):
    data = b''
    while part := await stream.receive_some():
        data += part
    return data


@pytest.mark.parametrize('apart', [False, True], ids=['with it', 'later'])
@pytest.mark.parametrize('more', MORE.values(), ids=MORE)
async def test_bytes_behind_the_last_request_cut_no_answer(more, apart):
    # The answer under way was replaced by a 400 or lost its body.
    sock = serving.listen('127.0.0.1:0')
    begin, release = trio.open_memory_channel(1)
    app = functools.partial(answer, release=release)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serving.serve, app, sock, trio.sleep_forever, 1.0)
        with trio.fail_after(PROMPT_S):
            for _ in range(ROUNDS):
                stream = await trio.open_tcp_stream(*sock.getsockname())
                parts = [LAST, more] if apart else [LAST + more]
                for part in parts:
                    await stream.send_all(part)
                await trio.testing.wait_all_tasks_blocked(READ_S)
                await begin.send(None)
                data = await read_all(stream)
                assert data.startswith(b'HTTP/1.1 200')
                assert data.endswith(b'\r\n\r\ndone')
                await stream.aclose()
        nursery.cancel_scope.cancel()
