"""Test upstreams that send bytes without end in place of an answer."""

import contextlib
import functools
import tracemalloc

import httpx
import pytest
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.upstreams import transport

MAX_MEMORY_BYTES = 4 * 1024 * 1024
MAX_READ_BYTES = 1024 * 1024
LIMIT_S = 5.0
PIECE = b'x' * 65536
HEAD = b'HTTP/1.1 200 OK\r\n'
OK = HEAD + b'x-request-id: r1\r\n'
CHUNKED = OK + b'transfer-encoding: chunked\r\n\r\n'
OTHER = HEAD + b'x-request-id: r0\r\ncontent-length: 2\r\n\r\nno'

PLACES = [
    pytest.param(b'', PIECE, id='no-status-line'),
    pytest.param(b'HTTP/1.1 200 ', PIECE, id='status-line'),
    pytest.param(OK + b'a', PIECE, id='header-name'),
    pytest.param(OK + b'a: ', PIECE, id='header-value'),
    pytest.param(OK, b'a: b\r\n' * 10000, id='headers'),
    pytest.param(b'', b'HTTP/1.1 100 Go on\r\n\r\n' * 3000, id='interim'),
    pytest.param(b'', OTHER * 1000, id='answers-to-others'),
    pytest.param(
        HEAD + b'x-request-id: r0\r\ncontent-length: 999999999\r\n\r\n',
        PIECE,
        id='answer-to-another',
    ),
    pytest.param(
        HEAD + b'content-length: 999999999\r\n\r\n',
        PIECE,
        id='answer-to-nobody',
    ),
    pytest.param(OK + b'\r\n', PIECE, id='body-without-length'),
    pytest.param(CHUNKED, b'1' * 65536, id='chunk-size'),
    pytest.param(CHUNKED + b'2;a=', PIECE, id='chunk-extension'),
    pytest.param(CHUNKED, b'10000\r\n' + PIECE + b'\r\n', id='chunks'),
    pytest.param(CHUNKED + b'0\r\na: ', PIECE, id='trailer'),
    pytest.param(CHUNKED + b'0\r\n', b'a: b\r\n' * 10000, id='trailers'),
]


class Endless:
    """A server that answers with a beginning and then the same for ever."""

    def __init__(self, beginning, piece):
        self.beginning = beginning
        self.piece = piece
        self.sent_bytes = 0

    async def serve(self, stream):
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.receive_some()
            await stream.send_all(self.beginning)
            while True:
                await stream.send_all(self.piece)
                self.sent_bytes += len(self.piece)


@pytest.mark.parametrize(('beginning', 'piece'), PLACES)
async def test_bytes_without_end_end_the_attempt(beginning, piece):
    # Guards against an upstream whose bytes fill a VM's memory, or hold a
    # request until its deadline, as they are no answer.
    server = Endless(beginning, piece)
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            functools.partial(
                trio.serve_tcp, server.serve, 0, host='127.0.0.1'
            )
        )
        port = listeners[0].socket.getsockname()[1]
        client = transport.make_transport()
        request = httpx.Request(
            'GET',
            f'http://127.0.0.1:{port}/x',
            extensions={'answer_id': b'r1'},
        )
        tracemalloc.start()
        try:
            with trio.fail_after(LIMIT_S):
                with pytest.raises(errors.UpstreamError) as caught:
                    response = await client.handle_async_request(request)
                    try:
                        await transport.read_all(response, MAX_READ_BYTES)
                    finally:
                        await response.stream.aclose()
            _, most_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
            nursery.cancel_scope.cancel()
    assert caught.value.verdict is not verdicts.Verdict.NOT_RUN
    assert most_bytes < MAX_MEMORY_BYTES
