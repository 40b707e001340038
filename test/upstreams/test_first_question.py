"""Test what is asked on a new connection before a request goes there."""

import httpx
import pytest
import trio

from gentianstair import errors
from gentianstair.upstreams import transport as transports

TELLS = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'
TELLS_AND_CLOSES = TELLS.replace(b'\r\n\r\n', b'\r\nconnection: close\r\n\r\n')
READ_BYTES = 4096


class Upstream:
    """Answers the question in one way, and requests as they come."""

    def __init__(self, answer):
        self.answer = answer
        # By connection, the paths that came on it.
        self.came = []

    async def serve(self, stream):
        paths = []
        self.came.append(paths)
        async with stream:
            while data := await stream.receive_some(READ_BYTES):
                path = data.split()[1].decode()
                paths.append(path)
                answer = self.answer if path == '/who' else TELLS
                if answer is None:
                    await trio.sleep_forever()
                if not answer:
                    return
                await stream.send_all(answer)


async def play(answer, check=lambda: None):
    """Send two requests; return what came, and what was recorded."""
    upstream, told = Upstream(answer), []
    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        nursery.start_soon(trio.serve_listeners, upstream.serve, [listener])
        port = listener.socket.getsockname()[1]
        base = f'http://127.0.0.1:{port}'
        question = transports.Question(
            httpx.Request('GET', f'{base}/who'),
            check,
            lambda connection, status, body: told.append((status, body)),
        )
        transport = transports.make_transport()
        try:
            for path in ('/one', '/two'):
                request = httpx.Request(
                    'GET', base + path, extensions={'ask_first': question}
                )
                response = await transport.handle_async_request(request)
                await transports.read_all(response, READ_BYTES)
                await response.stream.aclose()
        finally:
            nursery.cancel_scope.cancel()
    return upstream.came, told


@pytest.mark.parametrize(
    ('answer', 'came', 'told'),
    [
        (TELLS, [['/who', '/one', '/two']], [(200, b'{}')]),
        (TELLS_AND_CLOSES, [['/who'], ['/one', '/two']], [(200, b'{}')]),
        (b'', [['/who'], ['/one', '/two']], []),
        (b'no response', [['/who'], ['/one', '/two']], []),
        (None, [['/who'], ['/one', '/two']], []),
    ],
    ids=['tells', 'tells-and-closes', 'closes', 'odd', 'silent'],
)
async def test_request_follows_the_question_of_its_connection(
    answer, came, told
):
    assert await play(answer) == (came, told)


async def test_upstream_that_is_to_be_left_alone_is_asked_nothing():
    # Guards against a question to a replica that asked for a pause.
    def refuse():
        raise errors.UpstreamBackoffError('it asked for a pause')

    with pytest.raises(ExceptionGroup) as caught:
        await play(TELLS, refuse)
    assert caught.group_contains(errors.UpstreamBackoffError)
