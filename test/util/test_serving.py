"""Test half-closed connections, closes and the keep-alive header."""

import re

import pytest
import quart_trio
import trio

from gentianstair.util import serving

REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
TIMEOUT_S = 10.0


async def respond(scope, receive, send):
    """Respond to every request with the same body."""
    if scope['type'] != 'http':
        while True:
            message = await receive()
            await send({'type': message['type'] + '.complete'})
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    await send({'type': 'http.response.body', 'body': b'done'})


@pytest.mark.parametrize('requests', [1, 2])
async def test_half_closed_connection_is_closed_after_its_responses(requests):
    # Guards against keeping a half-closed connection until its idle timeout.
    sock = serving.listen('127.0.0.1:0')
    port = sock.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            serving.serve, respond, sock, trio.sleep_forever, 1.0
        )
        stream = await trio.open_tcp_stream('127.0.0.1', port)
        await stream.send_all(REQUEST * requests)
        data = b''
        with trio.fail_after(TIMEOUT_S):
            while data.count(b'done') < requests:
                data += await stream.receive_some()
            await stream.send_eof()
            while part := await stream.receive_some():
                data += part
        assert data.count(b'done') == requests
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('close', [True, False])
async def test_connections_close_after_quart_responses(close, monkeypatch):
    # Guards against connections that stay open because Quart cancels the
    # request's task, and with it the close or the start of the idle period.
    monkeypatch.setattr(serving, 'KEEP_ALIVE_S', 0.2)
    app = quart_trio.QuartTrio('test')

    @app.get('/')
    async def get():
        return {}

    sock = serving.listen('127.0.0.1:0')
    port = sock.getsockname()[1]
    request = REQUEST
    if close:
        request = REQUEST.replace(b'host', b'connection: close\r\nhost')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serving.serve, app, sock, trio.sleep_forever, 1.0)
        for _ in range(20):
            stream = await trio.open_tcp_stream('127.0.0.1', port)
            async with stream:
                await stream.send_all(request)
                with trio.fail_after(TIMEOUT_S):
                    while await stream.receive_some(65536):
                        pass
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('close', [True, False])
async def test_responses_advertise_the_keep_alive_time(close):
    # Guards against callers that reuse a connection as it is being closed.
    sock = serving.listen('127.0.0.1:0')
    request = REQUEST
    if close:
        request = REQUEST.replace(b'host', b'connection: close\r\nhost')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            serving.serve, respond, sock, trio.sleep_forever, 1.0
        )
        stream = await trio.open_tcp_stream(*sock.getsockname())
        await stream.send_all(request)
        data = b''
        with trio.fail_after(TIMEOUT_S):
            while b'\r\n\r\n' not in data:
                data += await stream.receive_some()
        nursery.cancel_scope.cancel()
    advertised_s = int(re.search(rb'keep-alive: timeout=(\d+)', data, re.I)[1])
    assert 0 < advertised_s < serving.KEEP_ALIVE_S
    assert (b'connection: close' in data.lower()) == close
