"""Test that an error in one connection affects no other one."""

import contextlib
import functools

import loguru
import pytest
import trio

from gentianstair.core import asgi
from gentianstair.generated import events
from gentianstair.util import connection_server
from gentianstair.util import serving

TIMEOUT_S = 10.0
REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
UPGRADE = b'GET / HTTP/1.1\r\nhost: x\r\nconnection: upgrade\r\nupgrade: '
WEBSOCKET = b'websocket\r\nsec-websocket-version: 13\r\n'
HTTP2 = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0'
# HPACK header blocks: method, and in part scheme, path and host.
CONNECT = b'\x02\x07CONNECT\x41\x01x'
NON_ASCII_PATH = b'\x82\x86\x04\x01\xff\x41\x01x'
GET = b'\x82\x86\x84\x41\x01x'


def frame(kind, flags, stream, payload):
    head = len(payload).to_bytes(3) + bytes([kind, flags])
    return head + stream.to_bytes(4) + payload


UNEXPECTED_INPUT = {
    'h2c with invalid settings': UPGRADE
    + b'h2c\r\nhttp2-settings: AAAA\r\n\r\n',
    'websocket protocol not in ASCII': UPGRADE
    + WEBSOCKET
    + b'sec-websocket-key: a\r\nsec-websocket-protocol: \xff\r\n\r\n',
    'h2 without a path': HTTP2 + frame(1, 5, 1, CONNECT),
    'h2 with a path not in ASCII': HTTP2 + frame(1, 5, 1, NON_ASCII_PATH),
    'h2 with too many priorities': HTTP2
    + b''.join(
        frame(2, 0, 2 * number + 1, b'\0\0\0\0\5') for number in range(1200)
    ),
    'h2 with data after its response': HTTP2
    + frame(1, 4, 1, GET)
    + frame(0, 0, 1, b'x') * 30,
}


async def respond_slowly(exchange, received, release):
    received.set()
    if exchange.header('slow'):
        await release.wait()
    await exchange.respond(200, 'text/plain', b'done')


@pytest.fixture
def faults():
    found = []
    handle = loguru.logger.add(
        lambda line: found.append(line.record),
        filter=lambda record: record['extra'].get('event') == events.FAULT,
    )
    yield found
    loguru.logger.remove(handle)


@pytest.mark.parametrize(
    'data', UNEXPECTED_INPUT.values(), ids=UNEXPECTED_INPUT
)
async def test_unexpected_input_ends_no_other_connection(data, faults):
    # Guards against an error that ends the process and all connections.
    sock = serving.listen('127.0.0.1:0')
    port = sock.getsockname()[1]
    received, release = trio.Event(), trio.Event()
    app = asgi.make_app(
        functools.partial(respond_slowly, received=received, release=release)
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serving.serve, app, sock, trio.sleep_forever, 1.0)
        with trio.fail_after(TIMEOUT_S):
            other = await trio.open_tcp_stream('127.0.0.1', port)
            await other.send_all(REQUEST.replace(b'host', b'slow: 1\r\nhost'))
            await received.wait()
            stream = await trio.open_tcp_stream('127.0.0.1', port)
            await stream.send_all(data)
            while not faults:
                await trio.sleep(0.01)
            release.set()
            assert (await other.receive_some()).startswith(b'HTTP/1.1 200')
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('place', ['_close', '_read_data'])
async def test_error_in_a_connection_does_not_end_the_server(
    place, faults, monkeypatch
):
    # Guards against an error in reading or closing that ends the process.
    async def fail(server):
        raise RuntimeError('a fault')

    monkeypatch.setattr(connection_server.ConnectionServer, place, fail)
    sock = serving.listen('127.0.0.1:0')
    app = asgi.make_app(respond_slowly)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serving.serve, app, sock, trio.sleep_forever, 1.0)
        with trio.fail_after(TIMEOUT_S):
            for _ in range(2):
                stream = await trio.open_tcp_stream(*sock.getsockname())
                with contextlib.suppress(trio.BrokenResourceError):
                    await stream.send_eof()
                    assert await stream.receive_some() == b''
            while len(faults) < 2:
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
