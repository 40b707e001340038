"""Test that a connection is read on, or closed, after each answer."""

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
PROMPT_S = 5.0
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
            with trio.fail_after(PROMPT_S):
                yield stream
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('length', [[(b'content-length', b'4')], []])
async def test_an_answer_at_the_deadline_leaves_its_connection_open(length):
    # The next request on it was not read, and the channel was not closed.
    ends = []

    async def answer(exchange):
        await exchange.start(200, length)
        await exchange.end(b'done')

    async def answer_late(exchange):
        async def work():
            # A replica's answer and the deadline come in one turn of a loop
            # that was held up.
            time.sleep(DEADLINE_S)
            await trio.lowlevel.cancel_shielded_checkpoint()
            await answer(exchange)

        await exchange.read_body(1000, 1.0)
        if exchange.path == '/late':
            ends.append(
                await request_lifetime.run_until_ended(
                    exchange, work, DEADLINE_S, grace_period.GracePeriod()
                )
            )
        else:
            await answer(exchange)

    async with connection_to(answer_late) as stream:
        await stream.send_all(REQUEST.replace(b'/ ', b'/late '))
        assert b'200' in await stream.receive_some()
        await trio.sleep(2 * DEADLINE_S)
        await stream.send_all(REQUEST)
        assert b'200' in await stream.receive_some()
    assert ends == [request_lifetime.EndReason.DONE]


async def test_a_refused_body_does_not_hold_its_connection():
    # Parts of it that waited to be read kept the channel from being closed.
    async def refuse(exchange):
        try:
            await exchange.read_body(1000, 1.0)
        except errors.RequestError as error:
            # Held up, so that the server's queue of parts is full.
            await trio.sleep(0.1)
            await exchange.send_error(error, 'r1')

    head = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 100000000\r\n\r\n'
    async with connection_to(refuse) as stream:
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(head + b'x' * 100000000)
        with contextlib.suppress(trio.BrokenResourceError):
            while await stream.receive_some():
                pass
