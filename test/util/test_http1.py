"""Test that data after the last request is ignored."""

import functools

import pytest
import trio
import trio.testing

from gentianstair.util import serving

LAST_REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'
TRAILING_DATA = {
    'nothing': b'',
    'line feed': b'\r\n',
    'invalid HTTP': b'\x16\x03\x01 what\r\n\r\n',
    'request': b'GET /next HTTP/1.1\r\nhost: x\r\n\r\n',
    'more than the parser buffers': b'x' * serving.MAX_HEADER_BYTES * 9,
}
ROUNDS = 20
# Time without a runnable task after which all data sent has been read.
QUIET_S = 0.01
TIMEOUT_S = 10.0


async def respond(scope, receive, send, release):
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


@pytest.mark.parametrize(
    'is_separate', [False, True], ids=['same packet', 'separate packet']
)
@pytest.mark.parametrize('trailing', TRAILING_DATA.values(), ids=TRAILING_DATA)
async def test_data_after_the_last_request_keeps_the_response(
    trailing, is_separate
):
    # Guards against replacing the response in flight by a 400, or losing its
    # body.
    sock = serving.listen('127.0.0.1:0')
    release_response, release = trio.open_memory_channel(1)
    app = functools.partial(respond, release=release)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serving.serve, app, sock, trio.sleep_forever, 1.0)
        with trio.fail_after(TIMEOUT_S):
            for _ in range(ROUNDS):
                stream = await trio.open_tcp_stream(*sock.getsockname())
                parts = (
                    [LAST_REQUEST, trailing]
                    if is_separate
                    else [LAST_REQUEST + trailing]
                )
                for part in parts:
                    await stream.send_all(part)
                await trio.testing.wait_all_tasks_blocked(QUIET_S)
                await release_response.send(None)
                data = await read_all(stream)
                assert data.startswith(b'HTTP/1.1 200')
                assert data.endswith(b'\r\n\r\ndone')
                await stream.aclose()
        nursery.cancel_scope.cancel()
