"""Test that connections which wait for a server are accepted together."""

import contextlib
import socket

import pytest
import trio

from gentianstair.core import asgi
from gentianstair.util import batch_listener
from gentianstair.util import serving

REQUEST = b'GET /%d HTTP/1.1\r\nhost: x\r\n\r\n'
CALLERS = 120
# Turns for the batches of CALLERS, and for the start and a request's way.
MOST_TURNS = CALLERS // batch_listener.MAX_BATCH + 40
TIMEOUT_S = 5.0


async def serve_http(sock, note):
    """Serve requests on sock; note each one."""

    async def serve(exchange):
        note(exchange.path)
        await exchange.respond(200, 'text/plain', b'done')

    await serving.serve(asgi.make_app(serve), sock, trio.sleep_forever, 1.0)


async def serve_streams(sock, note):
    """Accept connections on sock; note each one."""

    async def serve(stream):
        note(stream)
        await trio.sleep_forever()

    listener = batch_listener.BatchListener(sock)
    await trio.serve_listeners(serve, [listener])


@contextlib.contextmanager
def callers_of(sock):
    """Connect callers to sock, which send requests and wait."""
    with contextlib.ExitStack() as stack:
        for number in range(CALLERS):
            caller = stack.enter_context(socket.socket())
            caller.connect(sock.getsockname())
            caller.sendall(REQUEST % number)
        yield


@pytest.mark.parametrize('serve', [serve_http, serve_streams])
async def test_waiting_callers_are_not_served_one_a_turn(serve):
    # Guards against a busy process that takes one connection in each turn of
    # its event loop, and so reads only requests that were given up.
    sock = serving.listen('127.0.0.1:0')
    served = []
    with callers_of(sock):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, sock, served.append)
            turns = 0
            with trio.fail_after(TIMEOUT_S):
                while len(served) < CALLERS:
                    turns += 1
                    await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()
    assert turns <= MOST_TURNS
