"""Test connections that come as a server stops accepting."""

import collections
import contextlib

import trio

from gentianstair.core import asgi
from gentianstair.util import serving

REQUEST = b'GET /%d HTTP/1.1\r\nhost: x\r\n\r\n'
ROUNDS = 30
CALLERS = 40
# Around the end of accepting.
SPREAD_S = 0.02
PROMPT_S = 5.0


async def call(address, number, answered):
    """Connect and ask; note a whole answer."""
    with contextlib.suppress(OSError, trio.BrokenResourceError):
        async with await trio.open_tcp_stream(*address) as stream:
            await stream.send_all(REQUEST % number)
            data = b''
            with trio.fail_after(PROMPT_S):
                while part := await stream.receive_some():
                    data += part
            if data.endswith(b'done'):
                answered.add(number)


async def play(outcomes):
    """Stop a server while callers connect to it."""
    seen, answered = set(), set()

    async def serve(exchange):
        number = int(exchange.path[1:])
        seen.add(number)
        await exchange.read_body(1000, 1.0)
        await trio.sleep(0.01)
        await exchange.respond(200, 'text/plain', b'done')

    sock = serving.listen('127.0.0.1:0')
    address = sock.getsockname()
    stop = trio.Event()
    app = asgi.make_app(serve)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serving.serve, app, sock, stop.wait, PROMPT_S)
        for number in range(CALLERS):
            nursery.start_soon(call, address, number, answered)
            if number == CALLERS // 2:
                stop.set()
            await trio.sleep(SPREAD_S / CALLERS)
    outcomes['answered'] += len(answered)
    outcomes['closed unread'] += CALLERS - len(seen)
    outcomes['taken, no answer'] += len(seen - answered)


async def test_what_was_taken_as_accepting_ends_is_answered():
    # A new connection was closed as idle while its request was being taken.
    outcomes = collections.Counter()
    for _ in range(ROUNDS):
        await play(outcomes)
    assert outcomes['answered']
    assert outcomes['closed unread']
    assert not outcomes['taken, no answer'], outcomes
