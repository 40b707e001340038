"""Test the server under connections that end in odd ways."""

import re

import pytest
import quart_trio
import trio

from gentianstair.util import serving

REQUEST = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
PROMPT_S = 10.0


async def answer(scope, receive, send):
    """Answer every request."""
    if scope['type'] != 'http':
        while True:
            message = await receive()
            await send({'type': message['type'] + '.complete'})
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    await send({'type': 'http.response.body', 'body': b'done'})


@pytest.mark.parametrize('requests', [1, 2])
async def test_connection_ends_when_its_caller_sends_no_more(requests):
    # A caller closes its sending side after it has its answers. The end of
    # the connection came only 75 s later: the server went on to count idle
    # time for a connection that could bring nothing more.
    sock = serving.listen('127.0.0.1:0')
    port = sock.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            serving.serve, answer, sock, trio.sleep_forever, 1.0
        )
        stream = await trio.open_tcp_stream('127.0.0.1', port)
        await stream.send_all(REQUEST * requests)
        data = b''
        with trio.fail_after(PROMPT_S):
            while data.count(b'done') < requests:
                data += await stream.receive_some()
            await stream.send_eof()
            while part := await stream.receive_some():
                data += part
        assert data.count(b'done') == requests
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('close', [True, False])
async def test_quart_answers_leave_no_connection_behind(close, monkeypatch):
    # A health check that asks to close waits for the end of the connection
    # until its own time limit, about every second time. Quart cancels its
    # request as soon as the answer has been sent, and so the server's steps
    # after it: closing the connection, or starting to count its idle time.
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
                with trio.fail_after(PROMPT_S):
                    while await stream.receive_some(65536):
                        pass
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('close', [True, False])
async def test_callers_are_told_how_long_a_connection_is_kept(close):
    # A request that crosses the close of its idle connection is not answered.
    sock = serving.listen('127.0.0.1:0')
    request = REQUEST
    if close:
        request = REQUEST.replace(b'host', b'connection: close\r\nhost')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            serving.serve, answer, sock, trio.sleep_forever, 1.0
        )
        stream = await trio.open_tcp_stream(*sock.getsockname())
        await stream.send_all(request)
        data = b''
        with trio.fail_after(PROMPT_S):
            while b'\r\n\r\n' not in data:
                data += await stream.receive_some()
        nursery.cancel_scope.cancel()
    told_s = int(re.search(rb'keep-alive: timeout=(\d+)', data, re.I)[1])
    assert 0 < told_s < serving.KEEP_ALIVE_S
    assert (b'connection: close' in data.lower()) == close
