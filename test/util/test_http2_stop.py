"""Test that a stop closes HTTP/2 connections without a request."""

import h2.config
import h2.connection
import h2.events
import pytest
import trio

from gentianstair.core import asgi
from gentianstair.util import serving

GRACE_S = 8.0
PROMPT_S = 3.0
HEADERS = [
    (':method', 'GET'),
    (':path', '/'),
    (':scheme', 'http'),
    (':authority', 'x'),
]


async def respond(exchange):
    await exchange.read_body(1000, 5.0)
    if exchange.header('slow'):
        await exchange.wait_disconnected()
        return
    await exchange.respond(200, 'text/plain', b'x')


@pytest.mark.parametrize('case', ['no stream', 'answered', 'reset'])
async def test_stop_does_not_wait_for_idle_http2_connections(case):
    stop, ended = trio.Event(), trio.Event()
    sock = serving.listen('127.0.0.1:0')

    async def serve():
        await serving.serve(asgi.make_app(respond), sock, stop.wait, GRACE_S)
        ended.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        stream = await trio.open_tcp_stream(*sock.getsockname())
        conn = h2.connection.H2Connection(
            h2.config.H2Configuration(client_side=True)
        )
        conn.initiate_connection()
        if case != 'no stream':
            more = [('slow', '1')] if case == 'reset' else []
            conn.send_headers(1, HEADERS + more, end_stream=True)
        await stream.send_all(conn.data_to_send())
        await trio.sleep(0.2)
        if case == 'reset':
            conn.reset_stream(1)
            await stream.send_all(conn.data_to_send())
        await trio.sleep(1.2)
        stop.set()
        with trio.fail_after(PROMPT_S):
            await ended.wait()
        nursery.cancel_scope.cancel()
