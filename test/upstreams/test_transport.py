"""Test what the transport makes of upstreams that fail at any byte."""

import contextlib
import functools

import httpx
import pytest
import trio

from gentianstair import errors
from gentianstair import verdict
from gentianstair.upstreams import transport

NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN
WHOLE = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'


class Upstream:
    """A server that sends one answer to each request, byte for byte."""

    def __init__(self, answers, close):
        self.answers = list(answers)
        self.close = close
        self.requests = []
        self.connections = 0

    async def serve(self, stream):
        self.connections += 1
        with contextlib.suppress(trio.BrokenResourceError):
            while data := await stream.receive_some():
                self.requests.append(data)
                answer = self.answers.pop(0)
                step = 1 if len(answer) < 1000 else len(answer)
                for start in range(0, len(answer), step):
                    await stream.send_all(answer[start : start + step])
                if self.close:
                    await stream.aclose()
                    return


@contextlib.asynccontextmanager
async def open_upstream(answers, close=False):
    """Yield an upstream, its URL and a transport."""
    upstream = Upstream(answers, close)
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            functools.partial(
                trio.serve_tcp, upstream.serve, 0, host='127.0.0.1'
            )
        )
        port = listeners[0].socket.getsockname()[1]
        made = transport.make_transport()
        yield upstream, f'http://127.0.0.1:{port}/x', made
        await made.aclose()
        nursery.cancel_scope.cancel()


async def ask(made, url, **extensions):
    """Return status and whole body of one request."""
    request = httpx.Request('POST', url, content=b'b', extensions=extensions)
    response = await made.handle_async_request(request)
    try:
        body = b''.join([part async for part in response.stream])
    finally:
        await response.stream.aclose()
    return response.status_code, body


@pytest.mark.parametrize(
    ('answer', 'found'),
    [
        (WHOLE, (200, b'ok')),
        (CHUNKED + b'1\r\no\r\n1\r\nk\r\n0\r\n\r\n', (200, b'ok')),
        # An interim answer is not the answer.
        (b'HTTP/1.1 100 Continue\r\n\r\n' + WHOLE, (200, b'ok')),
        (b'HTTP/1.1 103 Early\r\nlink: x\r\n\r\n' + WHOLE, (200, b'ok')),
        (b'HTTP/1.1 204 No Content\r\n\r\n', (204, b'')),
    ],
)
async def test_whole_answers(answer, found):
    async with open_upstream([answer]) as (_, url, made):
        assert await ask(made, url) == found


@pytest.mark.promise
@pytest.mark.parametrize(
    'answer',
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
)
async def test_a_broken_answer_may_have_run(answer):
    # An engine dies at some byte of its answer. Whatever came, the request
    # was sent: told as "not run" it would be repeated, or the caller told
    # that a registration did not happen which did.
    async with open_upstream([answer], close=True) as (_, url, made):
        with pytest.raises(errors.UpstreamError) as caught:
            await ask(made, url)
        assert caught.value.verdict is MAY_HAVE_RUN


@pytest.mark.promise
async def test_what_was_never_sent_is_not_run():
    # The upstream is gone, or the claim of the request is too old at the
    # moment of the send. No byte may leave, and the verdict says so.
    async with open_upstream([WHOLE]) as (upstream, url, made):

        def refuse():
            raise errors.RequestError(503, 'too-old', 'too old')

        with pytest.raises(errors.RequestError) as refused:
            await ask(made, url, before_send=refuse)
        assert refused.value.verdict is NOT_RUN
        assert upstream.requests == []
    with pytest.raises(errors.UpstreamError) as caught:
        await ask(made, url)
    assert caught.value.verdict is NOT_RUN


@pytest.mark.parametrize(
    ('close', 'fresh', 'connections'),
    [
        (False, False, 1),
        # A kept connection that the upstream closed is not used again, or
        # a request that never ran would count as one that may have.
        (True, False, 2),
        # An unrepeatable request never goes on a kept connection.
        (False, True, 2),
    ],
)
async def test_kept_connections(close, fresh, connections):
    answers = [WHOLE, WHOLE]
    async with open_upstream(answers, close) as (upstream, url, made):
        assert await ask(made, url) == (200, b'ok')
        await trio.sleep(0.05)
        assert await ask(made, url, fresh=fresh) == (200, b'ok')
        assert upstream.connections == connections
