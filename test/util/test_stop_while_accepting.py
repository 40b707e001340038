"""Test connections that arrive while a server stops accepting."""

import collections
import contextlib

import trio

from gentianstair.core import asgi
from gentianstair.util import serving

REQUEST = b'GET /%d HTTP/1.1\r\nhost: x\r\n\r\n'
ROUNDS = 30
CALLERS = 40
# Time over which the connections are spread, around the stop.
SPREAD_S = 0.02
TIMEOUT_S = 5.0


async def send_request(address, number, answered):
    """Send a request; record its number if the response is complete."""
    with contextlib.suppress(OSError, trio.BrokenResourceError):
        async with await trio.open_tcp_stream(*address) as stream:
            await stream.send_all(REQUEST % number)
            data = b''
            with trio.fail_after(TIMEOUT_S):
                while part := await stream.receive_some():
                    data += part
            if data.endswith(b'done'):
                answered.add(number)


async def stop_while_connecting(outcomes):
    """Stop a server while callers connect, and count the outcomes."""
    handled, answered = set(), set()

    async def serve(exchange):
        number = int(exchange.path[1:])
        handled.add(number)
        await exchange.read_body(1000, 1.0)
        await trio.sleep(0.01)
        await exchange.respond(200, 'text/plain', b'done')

    sock = serving.listen('127.0.0.1:0')
    address = sock.getsockname()
    stop = trio.Event()
    app = asgi.make_app(serve)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serving.serve, app, sock, stop.wait, TIMEOUT_S)
        for number in range(CALLERS):
            nursery.start_soon(send_request, address, number, answered)
            if number == CALLERS // 2:
                stop.set()
            await trio.sleep(SPREAD_S / CALLERS)
    outcomes['answered'] += len(answered)
    outcomes['not handled'] += CALLERS - len(handled)
    outcomes['handled, no response'] += len(handled - answered)


async def test_stop_does_not_close_new_connections_with_a_request():
    # Guards against closing a new connection as idle while its request is
    # being read.
    outcomes = collections.Counter()
    for _ in range(ROUNDS):
        await stop_while_connecting(outcomes)
    assert outcomes['answered']
    assert outcomes['not handled']
    assert not outcomes['handled, no response'], outcomes
