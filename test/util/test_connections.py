"""Test that each connection is told to have ended by what did end it."""

import contextlib
import functools
import socket
import ssl
import struct

import h2.connection
import loguru
import prometheus_client
import pytest
import trio

from gentianstair import errors
from gentianstair.generated import events
from gentianstair.util import connections
from gentianstair.util import serving

PROMPT_S = 10.0
KEEP_ALIVE_S = 0.2
GRACE_S = 0.3
STALL_S = 0.3
# Of 100,000 bytes; more than kernels hold.
FLOOD_PARTS = 300
GET = b'GET %s HTTP/1.1\r\nhost: x\r\n\r\n'
POST = b'POST %s HTTP/1.1\r\nhost: x\r\n%s\r\n\r\n'
EndReason = connections.EndReason


class Server:
    """A server under test, and what it has told."""

    def __init__(self, port):
        self.port = port
        self.stop = trio.Event()
        self.release = trio.Event()
        self.scope = trio.CancelScope()
        self.lines = []
        self._before = self._counts()

    @staticmethod
    def _counts():
        return {
            (end, under_way): prometheus_client.REGISTRY.get_sample_value(
                'gentianstair_connections_ended_total',
                {'end': end.value, 'under_way': under_way},
            )
            or 0
            for end in EndReason
            for under_way in ('yes', 'no')
        }

    def counted(self):
        """Return how many connections ended by what since the start."""
        found = {
            (end, under_way == 'yes'): count - self._before[end, under_way]
            for (end, under_way), count in self._counts().items()
        }
        return {key: count for key, count in found.items() if count}

    async def serve_one(self, scope, receive, send):
        """Answer as the path of a request says."""
        if scope['type'] == 'lifespan':
            while True:
                message = await receive()
                await send({'type': message['type'] + '.complete'})
        path = scope['path']
        if path == '/fault':
            raise RuntimeError('planted')
        if path == '/held':
            connections.of_scope(scope).request_id = 'r1'
            await self._gone(receive)
        if path == '/slow':
            await self.release.wait()
        head = {'type': 'http.response.start', 'status': 200, 'headers': []}
        body = {'type': 'http.response.body', 'body': b'done'}
        await send(head)
        if path in ('/cut', '/fault-midway'):
            await send({**body, 'more_body': True})
            kind = RuntimeError if 'fault' in path else errors.StoreError
            raise kind('planted')
        for _ in range(FLOOD_PARTS if path == '/flood' else 0):
            await send({**body, 'body': bytes(100000), 'more_body': True})
        await send(body)

    @staticmethod
    async def _gone(receive):
        while (await receive())['type'] != 'http.disconnect':
            pass
        # As an application does that gives its request up.
        raise errors.GentianstairError('gone')

    async def open(self, data=b''):
        """Return a connection that has sent data."""
        stream = await trio.open_tcp_stream('127.0.0.1', self.port)
        await stream.send_all(data)
        return stream

    async def ended(self, count=1):
        """Return when so many connections have been counted."""
        with trio.fail_after(PROMPT_S):
            while sum(self.counted().values()) < count:
                await trio.sleep(0.01)


async def drain(stream):
    with (
        trio.fail_after(PROMPT_S),
        contextlib.suppress(trio.BrokenResourceError),
    ):
        while await stream.receive_some():
            pass


async def answered(stream):
    data = b''
    with trio.fail_after(PROMPT_S):
        while b'done' not in data:
            data += await stream.receive_some()


async def arrived(stream):
    """Wait until the server must have read what was sent."""
    await trio.sleep(0.1)


@contextlib.asynccontextmanager
async def running(context=None):
    sock = serving.listen('127.0.0.1:0')
    server = Server(sock.getsockname()[1])

    def keep(message):
        extra = message.record['extra']
        if extra.get('event') == events.CONNECTION_CUT:
            server.lines.append(extra)

    sink = loguru.logger.add(keep, level='INFO')
    try:
        async with trio.open_nursery() as nursery:

            async def run():
                with server.scope:
                    await serving.serve(
                        server.serve_one,
                        sock,
                        server.stop.wait,
                        GRACE_S,
                        context,
                        send_stall_s=STALL_S,
                    )

            nursery.start_soon(run)
            yield server
            nursery.cancel_scope.cancel()
    finally:
        loguru.logger.remove(sink)


async def keep_idle(server):
    stream = await server.open(GET % b'/')
    await drain(stream)


async def never_ask(server):
    await drain(await server.open())


async def be_idle_at_a_stop(server):
    stream = await server.open(GET % b'/')
    await answered(stream)
    server.stop.set()
    await drain(stream)


async def be_answered_after_a_stop(server):
    stream = await server.open(GET % b'/slow')
    await arrived(stream)
    server.stop.set()
    await trio.sleep(GRACE_S / 3)
    server.release.set()
    await answered(stream)
    await drain(stream)


async def outlast_the_grace(server):
    stream = await server.open(GET % b'/slow')
    await arrived(stream)
    server.stop.set()
    await drain(stream)


async def be_under_way_when_all_ends(server):
    stream = await server.open(GET % b'/slow')
    await arrived(stream)
    server.scope.cancel()
    await drain(stream)


async def be_idle_when_all_ends(server):
    stream = await server.open(GET % b'/')
    await answered(stream)
    server.scope.cancel()
    await drain(stream)


async def stop_sending(server, path=b'/'):
    stream = await server.open(GET % path)
    if path == b'/':
        await answered(stream)
    await stream.send_eof()
    await drain(stream)


async def reset(server, path=b'/'):
    stream = await server.open(GET % path)
    if path == b'/':
        await answered(stream)
    else:
        await arrived(stream)
    off = struct.pack('ii', 1, 0)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, off)
    await stream.aclose()


async def read_nothing(server):
    stream = await server.open(GET % b'/flood')
    await server.ended()
    await stream.aclose()


async def speak_http2(server, path=None, then=None):
    """Ask in HTTP/2, do something with the request, and say goodbye."""
    client = h2.connection.H2Connection()
    client.initiate_connection()
    if path is not None:
        head = {':method': 'GET', ':path': path, ':authority': 'x'}
        head[':scheme'] = 'http'
        client.send_headers(1, head.items(), end_stream=True)
    stream = await server.open(client.data_to_send())
    await arrived(stream)
    if then is not None:
        then(client, 1)
        await stream.send_all(client.data_to_send())
        await arrived(stream)
    client.close_connection()
    await stream.send_all(client.data_to_send())
    await drain(stream)


async def send(server, data):
    await drain(await server.open(data))


CASES = {
    'keep-alive': (keep_idle, EndReason.KEEP_ALIVE_EXPIRED, False),
    'never-asked': (never_ask, EndReason.KEEP_ALIVE_EXPIRED, False),
    'stop-idle': (be_idle_at_a_stop, EndReason.STOP, False),
    'stop-answered': (be_answered_after_a_stop, EndReason.STOP, False),
    'grace': (outlast_the_grace, EndReason.GRACE_EXPIRED, True),
    'process-busy': (
        be_under_way_when_all_ends,
        EndReason.PROCESS_ENDED,
        True,
    ),
    'process-idle': (be_idle_when_all_ends, EndReason.PROCESS_ENDED, False),
    'half-close-idle': (stop_sending, EndReason.CALLER_CLOSED, False),
    'half-close-busy': (
        functools.partial(stop_sending, path=b'/held'),
        EndReason.CALLER_CLOSED,
        True,
    ),
    'reset-idle': (reset, EndReason.CALLER_RESET, False),
    'reset-busy': (
        functools.partial(reset, path=b'/held'),
        EndReason.CALLER_RESET,
        True,
    ),
    'stall': (read_nothing, EndReason.SEND_STALL, True),
    'no-http': (b'\x16\x03\x01 what\r\n\r\n', EndReason.INVALID_HTTP, False),
    'no-http-in-body': (
        POST % (b'/held', b'transfer-encoding: chunked') + b'zz\r\nxx\r\n',
        EndReason.INVALID_HTTP,
        True,
    ),
    'asked-to-close': (
        POST % (b'/', b'content-length: 0\r\nconnection: close'),
        EndReason.CLOSE_ANNOUNCED,
        False,
    ),
    'http-1.0': (b'GET / HTTP/1.0\r\n\r\n', EndReason.CLOSE_ANNOUNCED, False),
    'last-request': (GET % b'/last', EndReason.CLOSE_ANNOUNCED, False),
    'body-unread': (
        POST % (b'/', b'content-length: 9'),
        EndReason.BODY_UNREAD,
        False,
    ),
    'answer-cut': (GET % b'/cut', EndReason.RESPONSE_ABORTED, True),
    'fault': (GET % b'/fault', EndReason.FAULT, True),
    'fault-midway': (GET % b'/fault-midway', EndReason.FAULT, True),
    'http-2-unasked': (speak_http2, EndReason.HTTP2_CLOSED, False),
    'http-2-answered': (
        functools.partial(speak_http2, path='/'),
        EndReason.HTTP2_CLOSED,
        False,
    ),
    'http-2-busy': (
        functools.partial(speak_http2, path='/held'),
        EndReason.HTTP2_CLOSED,
        True,
    ),
    'http-2-reset': (
        functools.partial(
            speak_http2,
            path='/held',
            then=h2.connection.H2Connection.reset_stream,
        ),
        EndReason.HTTP2_CLOSED,
        False,
    ),
    'http-2-fault': (
        functools.partial(speak_http2, path='/fault-midway'),
        EndReason.HTTP2_CLOSED,
        False,
    ),
}


@pytest.mark.parametrize(
    ('drive', 'end', 'under_way'), CASES.values(), ids=CASES
)
async def test_what_ended_a_connection_is_told(
    drive, end, under_way, monkeypatch
):
    # Guards against a close of our own that is taken for the caller's.
    make_config = serving._make_config

    def make_short(*args):
        config = make_config(*args)
        if drive is CASES['last-request'][0]:
            config.keep_alive_max_requests = 1
        if drive in (keep_idle, never_ask):
            config.keep_alive_timeout = KEEP_ALIVE_S
        return config

    monkeypatch.setattr(serving, '_make_config', make_short)
    async with running() as server:
        if isinstance(drive, bytes):
            await send(server, drive)
        else:
            await drive(server)
        await server.ended()
    assert server.counted() == {(end, under_way): 1}
    told = [(line['end'], line['closed_by']) for line in server.lines]
    assert told == [(end.value, end.closed_by.value)] * under_way


@pytest.mark.parametrize('own', [True, False])
async def test_a_fault_of_a_connection_is_told_apart_from_the_rest(
    own, monkeypatch
):
    # Guards against a fault that ends others, or shows as a hang-up.
    handle = serving._ConnectionServer._receive

    async def receive(self):
        data = await handle(self)
        if data == b'fault':
            raise RuntimeError('planted')
        return data

    monkeypatch.setattr(serving._ConnectionServer, '_receive', receive)
    async with running() as server:
        async with await server.open(GET % b'/held') as stream:
            await arrived(stream)
            async with await server.open() as other:
                await (stream if own else other).send_all(b'fault')
                await server.ended()
                assert server.counted() == {(EndReason.FAULT, own): 1}
        await server.ended(2)
    assert server.counted() == {
        (EndReason.FAULT, own): 1,
        (EndReason.CALLER_CLOSED, not own): 1,
    }


async def test_a_close_of_our_own_under_a_request_names_it(monkeypatch):
    # Guards against a request that is lost with nothing to find it by.
    servers = []
    made = serving._ConnectionServer.__init__

    def make(self, *args):
        made(self, *args)
        servers.append(self)

    monkeypatch.setattr(serving._ConnectionServer, '__init__', make)
    async with running() as server:
        stream = await server.open(GET % b'/')
        await answered(stream)
        await trio.sleep(0.2)
        await stream.send_all(GET % b'/held')
        await arrived(stream)
        servers[0].connection.note_end(EndReason.KEEP_ALIVE_EXPIRED)
        await servers[0].stream.aclose()
        await drain(stream)
        await server.ended()
    assert server.counted() == {(EndReason.KEEP_ALIVE_EXPIRED, True): 1}
    (line,) = server.lines
    assert line['request_id'] == 'r1'
    assert line['closed_by'] == 'this process'
    assert line['requests'] == 2
    assert 0.15 < line['idle_s'] < line['age_s']
    assert 0.05 < line['under_way_s'] < line['age_s']


@pytest.mark.parametrize('data', [b'', GET % b'/'])
async def test_a_failed_handshake_is_told(data):
    # Guards against callers without TLS that show as callers' resets.
    async with running(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)) as server:
        async with await server.open(data):
            pass
        await server.ended()
    assert server.counted() == {(EndReason.HANDSHAKE_FAILED, False): 1}


def noted(*ends):
    found = connections.Connection()
    for end in ends:
        found.note_end(end)
    return found.end_reason


@pytest.mark.parametrize('first', EndReason)
async def test_the_first_end_stands(first):
    assert noted(first, *EndReason) is first


async def test_a_scope_without_a_connection_has_one_of_its_own():
    # Guards against a failure under another server, which sets no state.
    assert connections.of_scope({'type': 'http'}).end_reason is None
