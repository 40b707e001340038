"""Test that a connection stays usable or is closed after a response."""

import contextlib
import time

import pytest
import trio

from gentianstair import errors
from gentianstair.core import asgi
from gentianstair.core import grace_period
from gentianstair.core import request_lifetime
from gentianstair.util import serving

REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
RESPONSE_TIMEOUT_S = 5.0
DEADLINE_S = 0.05


@contextlib.asynccontextmanager
async def connection_to(serve):
    """Yield a connection to an application that is served here."""
    sock = serving.listen('127.0.0.1:0')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            serving.serve, asgi.make_app(serve), sock, trio.sleep_forever, 1.0
        )
        stream = await trio.open_tcp_stream(*sock.getsockname())
        async with stream:
            with trio.fail_after(RESPONSE_TIMEOUT_S):
                yield stream
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    'headers',
    [[(b'content-length', b'4')], []],
    ids=['content-length', 'chunked'],
)
async def test_response_at_the_deadline_leaves_its_connection_open(headers):
    # Guards against a connection that is neither read from nor closed after
    # a response that ends at the deadline.
    reasons = []

    async def respond(exchange):
        await exchange.start(200, headers)
        await exchange.end(b'done')

    async def respond_late(exchange):
        async def work():
            # Blocks the event loop, so that the response and the deadline
            # come in the same iteration.
            time.sleep(DEADLINE_S)
            await trio.lowlevel.cancel_shielded_checkpoint()
            await respond(exchange)

        await exchange.read_body(1000, 1.0)
        if exchange.path == '/late':
            reasons.append(
                await request_lifetime.run_until_ended(
                    exchange, work, DEADLINE_S, grace_period.GracePeriod()
                )
            )
        else:
            await respond(exchange)

    async with connection_to(respond_late) as stream:
        await stream.send_all(REQUEST.replace(b'/ ', b'/late '))
        assert b'200' in await stream.receive_some()
        await trio.sleep(2 * DEADLINE_S)
        await stream.send_all(REQUEST)
        assert b'200' in await stream.receive_some()
    assert reasons == [request_lifetime.EndReason.DONE]


async def test_refused_body_does_not_keep_its_connection_open():
    # Guards against unread parts of the body that keep the connection from
    # being closed.
    async def refuse_body(exchange):
        try:
            await exchange.read_body(1000, 1.0)
        except errors.RequestError as error:
            # Lets the server's queue of body parts fill up.
            await trio.sleep(0.1)
            await exchange.send_error(error, 'r1')

    head = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 100000000\r\n\r\n'
    async with connection_to(refuse_body) as stream:
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(head + b'x' * 100000000)
        with contextlib.suppress(trio.BrokenResourceError):
            while await stream.receive_some():
                pass
