"""Test verdicts for upstreams that fail at any byte of a response."""

import contextlib
import functools
import socket
import time

import httpx
import pytest
import trio

from gentianstair import errors
from gentianstair import verdict
from gentianstair.upstreams import connector
from gentianstair.upstreams import transport

NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN
WHOLE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'


class Upstream:
    """A server that sends one response to each request, byte by byte."""

    def __init__(self, responses, close):
        self.responses = list(responses)
        self.close = close
        self.requests = []
        self.connections = 0

    async def serve(self, stream):
        self.connections += 1
        with contextlib.suppress(trio.BrokenResourceError):
            while data := await stream.receive_some():
                self.requests.append(data)
                response = self.responses.pop(0)
                step = 1 if len(response) < 1000 else len(response)
                for start in range(0, len(response), step):
                    await stream.send_all(response[start : start + step])
                if self.close:
                    await stream.aclose()
                    return


@contextlib.asynccontextmanager
async def open_upstream(responses, close=False):
    """Yield an upstream, its URL and a transport."""
    upstream = Upstream(responses, close)
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            functools.partial(
                trio.serve_tcp, upstream.serve, 0, host='127.0.0.1'
            )
        )
        port = listeners[0].socket.getsockname()[1]
        client = transport.make_transport()
        yield upstream, f'http://127.0.0.1:{port}/x', client
        await client.aclose()
        nursery.cancel_scope.cancel()


async def send(client, url, **extensions):
    """Send a request; return the status and the whole body."""
    request = httpx.Request('POST', url, content=b'b', extensions=extensions)
    response = await client.handle_async_request(request)
    try:
        body = b''.join([part async for part in response.stream])
    finally:
        await response.stream.aclose()
    return response.status_code, body


@pytest.mark.parametrize(
    ('response', 'expected'),
    [
        (WHOLE, (200, b'ok')),
        (CHUNKED + b'1\r\no\r\n1\r\nk\r\n0\r\n\r\n', (200, b'ok')),
        # Interim responses are skipped.
        (b'HTTP/1.1 100 Continue\r\n\r\n' + WHOLE, (200, b'ok')),
        (b'HTTP/1.1 103 Early\r\nlink: x\r\n\r\n' + WHOLE, (200, b'ok')),
        (b'HTTP/1.1 204 No Content\r\n\r\n', (204, b'')),
    ],
    ids=['length', 'chunked', 'after 100', 'after 103', 'no body'],
)
async def test_a_whole_response_is_read(response, expected):
    async with open_upstream([response]) as (_, url, client):
        assert await send(client, url) == expected


@pytest.mark.promise
@pytest.mark.parametrize(
    'response',
    [
        b'',
        b'HTTP/1.1 200',
        b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\no',
        CHUNKED,
        CHUNKED + b'5\r\nok',
        CHUNKED + b'1\r\no\r\n',
        CHUNKED + b'zz\r\no\r\n',
        b'no http at all\r\n\r\n',
        b'HTTP/1.1 200 OK\r\n' + b'x: yyyyyyyy\r\n' * 9000,
    ],
    ids=[
        'empty',
        'in status line',
        'in body',
        'no chunk',
        'in chunk',
        'no last chunk',
        'bad chunk size',
        'not HTTP',
        'headers too long',
    ],
)
async def test_a_broken_response_counts_as_may_have_run(response):
    # The request was sent. A verdict of not run would repeat it, or tell
    # the caller that a registration which happened did not.
    async with open_upstream([response], close=True) as (_, url, client):
        with pytest.raises(errors.UpstreamError) as caught:
            await send(client, url)
        assert caught.value.verdict is MAY_HAVE_RUN


@pytest.mark.promise
async def test_an_unsent_request_counts_as_not_run():
    # The check before the send fails, or no connection opens.
    async with open_upstream([WHOLE]) as (upstream, url, client):

        def reject():
            raise errors.RequestError(503, 'too-old', 'too old')

        with pytest.raises(errors.RequestError) as rejected:
            await send(client, url, before_send=reject)
        assert rejected.value.verdict is NOT_RUN
        assert upstream.requests == []
    with pytest.raises(errors.UpstreamError) as caught:
        await send(client, url)
    assert caught.value.verdict is NOT_RUN


@pytest.mark.parametrize(
    ('close', 'fresh', 'connections'),
    [
        (False, False, 1),
        # A connection that the upstream closed is not reused: the request
        # would fail with MAY_HAVE_RUN although it did not run.
        (True, False, 2),
        # An unrepeatable request always uses a new connection.
        (False, True, 2),
    ],
    ids=['open', 'closed by upstream', 'fresh'],
)
async def test_only_an_open_connection_is_reused(close, fresh, connections):
    responses = [WHOLE, WHOLE]
    async with open_upstream(responses, close) as (upstream, url, client):
        assert await send(client, url) == (200, b'ok')
        await trio.sleep(0.05)
        assert await send(client, url, fresh=fresh) == (200, b'ok')
        assert upstream.connections == connections


@pytest.mark.parametrize('turn', range(10))
async def test_process_that_is_held_up_does_not_lose_its_connection(turn):
    # Guards against a replica that counts as unreachable, and is left out,
    # because this process was frozen or had no processor.
    limit_s = 0.1
    with socket.create_server(('127.0.0.1', 0)) as server:
        url = httpx.URL(f'http://127.0.0.1:{server.getsockname()[1]}')
        client = connector.DirectConnector()
        found = []

        async def connect():
            found.append(await client.connect(url, limit_s))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(connect)
            for _ in range(turn):
                await trio.lowlevel.checkpoint()
            time.sleep(4 * limit_s)
        assert found
        await found[0].aclose()
