"""A server and callers whose requests race the close of a connection."""

import contextlib
import itertools
import re
import socket
import ssl
import time
import typing

import trio
import trio.testing

from gentianstair.util import serving
from test.util import test_tls

FIRST_PATH = '/first'
GRACE_S = 10.0
# Turns of the event loop that a response takes, so that a close can interrupt
# it.
RESPONSE_TURNS = 5
# Longest delay of delivery over loopback TCP.
DELIVERY_S = 0.005
RECEIVE_BYTES = 65536
RESPONSE_PATTERN = re.compile(rb'<(/[^<>]*)>')
CLOSE_CAUSES = ('stop', 'idle time')
# Whether a turn of the event loop runs the tasks that were woken last first;
# the values apply to successive turns in a cycle.
TASK_ORDERS = ((False,), (True,), (False, True), (True, False))


class RecordingApp:
    """Records each request and responds to it in two parts.

    Like the gateway, it stops once its caller has disconnected.
    """

    def __init__(self):
        self.received = []
        self.gate = trio.Event()
        self.gate.set()

    async def __call__(self, scope, receive, send):
        if scope['type'] == 'lifespan':
            while True:
                message = await receive()
                await send({'type': message['type'] + '.complete'})
        self.received.append(scope['path'])
        while (await receive()).get('more_body'):
            pass
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, receive, nursery.cancel_scope)
            await self._answer(f'<{scope["path"]}>'.encode(), send)
            nursery.cancel_scope.cancel()

    async def _watch(self, receive, scope):
        while (await receive())['type'] != 'http.disconnect':
            pass
        scope.cancel()

    async def _answer(self, body, send):
        await self.gate.wait()
        length = (b'content-length', b'%d' % len(body))
        head = {'type': 'http.response.start', 'status': 200}
        await send({**head, 'headers': [length]})
        part = {'type': 'http.response.body', 'body': body[:1]}
        await send({**part, 'more_body': True})
        await pass_turns(RESPONSE_TURNS)
        await send({**part, 'body': body[1:]})


class Caller:
    """One keep-alive connection; sending does not yield to the event loop."""

    def __init__(self, sock):
        self.data = b''
        self._sock = sock
        self._tls: ssl.SSLObject | None = None

    async def shake_hands(self, context):
        self._incoming, self._outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._tls = context.wrap_bio(
            self._incoming, self._outgoing, server_hostname='127.0.0.1'
        )
        while True:
            try:
                self._tls.do_handshake()
                break
            except ssl.SSLWantReadError:
                self._send_raw(self._outgoing.read())
                await trio.lowlevel.wait_readable(self._sock)
                self._incoming.write(self._sock.recv(RECEIVE_BYTES))
        self._send_raw(self._outgoing.read())

    def send(self, data):
        """Send data without waiting; do nothing if the server has closed."""
        if self._tls is not None:
            self._tls.write(data)
            data = self._outgoing.read()
        self._send_raw(data)

    def _send_raw(self, data):
        with contextlib.suppress(ConnectionError):
            self._sock.sendall(data)

    async def read(self):
        """Read available data; return whether the connection is still open."""
        await trio.lowlevel.wait_readable(self._sock)
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except ConnectionError:
            return False
        if self._tls is not None and data:
            self._incoming.write(data)
            data = self._decrypt()
        self.data += data
        return bool(data)

    def _decrypt(self):
        data = b''
        with contextlib.suppress(ssl.SSLWantReadError):
            while part := self._tls.read(RECEIVE_BYTES):
                data += part
        return data

    async def read_to_end(self):
        while await self.read():
            pass

    async def ask(self, path):
        """Send a request and read its complete response."""
        self.send(request(path))
        while path not in self.answered_paths():
            assert await self.read()

    def answered_paths(self):
        return [path.decode() for path in RESPONSE_PATTERN.findall(self.data)]

    def close(self):
        self._sock.close()


class Transport(typing.NamedTuple):
    """The socket family and TLS contexts between callers and server."""

    family: int
    server: ssl.SSLContext | None = None
    client: ssl.SSLContext | None = None

    def listen(self):
        if self.family != socket.AF_UNIX:
            return serving.listen('127.0.0.1:0')
        sock = socket.socket(socket.AF_UNIX)
        # An empty name makes the kernel choose a free one.
        sock.bind('')
        sock.listen()
        return sock

    async def connect(self, address):
        sock = socket.socket(self.family)
        sock.connect(address)
        if self.family != socket.AF_UNIX:
            # Otherwise a second write waits for the acknowledgement.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)
        sock.setblocking(False)
        caller = Caller(sock)
        if self.client is not None:
            await caller.shake_hands(self.client)
        return caller

    def wait_delivered(self):
        """Block the event loop until the data sent has been delivered."""
        if self.family != socket.AF_UNIX:
            time.sleep(DELIVERY_S)


def make_transport(name, folder):
    """Return a transport: unix, tcp, or tls on a unix socket."""
    if name == 'unix':
        return Transport(socket.AF_UNIX)
    if name == 'tcp':
        return Transport(socket.AF_INET)
    files = test_tls.Authority(folder).issue(folder, 'server')
    server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    server.load_cert_chain(files.cert, files.key)
    client = ssl.create_default_context(cafile=files.ca)
    return Transport(socket.AF_UNIX, server, client)


class Server:
    """A server that runs inside a test."""

    def __init__(self, app, transport):
        self.app = app
        self.ended = trio.Event()
        self.stop = trio.Event()
        self._transport = transport
        self._sock = transport.listen()
        self._address = self._sock.getsockname()

    async def run(self, grace_s):
        transport = self._transport
        limits = (self.stop.wait, grace_s, transport.server)
        await serving.serve(self.app, self._sock, *limits)
        self.ended.set()

    async def connect(self):
        return await self._transport.connect(self._address)

    async def connect_idle(self, path=FIRST_PATH):
        """Return a caller whose connection is idle after one response."""
        caller = await self.connect()
        await caller.ask(path)
        await trio.testing.wait_all_tasks_blocked()
        return caller


@contextlib.asynccontextmanager
async def running(transport, app=None, grace_s=GRACE_S):
    """Run a server and yield it; cancel it at the end."""
    server = Server(app or RecordingApp(), transport)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run, grace_s)
        yield server
        nursery.cancel_scope.cancel()


def request(path, body=b''):
    head = f'POST {path} HTTP/1.1\r\nhost: x\r\n'
    return f'{head}content-length: {len(body)}\r\n\r\n'.encode() + body


async def pass_turns(count):
    for _ in range(count):
        await trio.lowlevel.checkpoint()


def set_task_order(monkeypatch, order):
    """Run the tasks of each turn in the given orders, in a cycle."""
    draws = itertools.cycle(1.0 if last_first else 0.0 for last_first in order)
    loop = trio._core._run
    monkeypatch.setattr(loop, '_ALLOW_DETERMINISTIC_SCHEDULING', False)
    monkeypatch.setattr(loop._r, 'random', lambda: next(draws))


def trigger_close(server, cause, clock):
    """Trigger the close of idle connections."""
    if cause == 'stop':
        server.stop.set()
    else:
        clock.jump(serving.KEEP_ALIVE_S)


async def stop_and_read(server, callers):
    """Stop the server and read the remaining data of the callers."""
    server.stop.set()
    for caller in callers:
        await caller.read_to_end()
        caller.close()
    await trio.testing.wait_all_tasks_blocked()
