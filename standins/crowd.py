"""Be a crowd of callers that do not behave, and look at what that costs.

Each caller is a task with a connection of its own, which it keeps open until
the crowd is told to leave.
"""

import collections.abc
import contextlib
import pathlib
import ssl
import subprocess
import typing

import h2.config
import h2.connection
import h2.events
import h2.exceptions
import h2.settings
import trio

KEY = 'club-key-1'
PIECE_BYTES = 4096
# Longest wait for one write, or for an answer.
STEP_S = 3.0
SAMPLE_S = 0.02
MEGABYTE = 1_000_000

Connect = collections.abc.Callable[
    [], collections.abc.Awaitable[trio.abc.Stream]
]
# What one caller of a crowd does with its connection.
Caller = collections.abc.Callable[
    [trio.abc.Stream, int], collections.abc.Awaitable[None]
]

# Returns the process that runs at present; it may be started again.
Current = collections.abc.Callable[[], subprocess.Popen]


def head(
    number: int,
    *lines: str,
    path: str = '/register/x',
    version: str = '1.1',
    deadline_ms: int = 20_000,
) -> bytes:
    """Return the head of a request that may run once."""
    return '\r\n'.join(
        [
            f'POST {path} HTTP/{version}',
            'host: judging.example',
            f'x-request-id: crowd{number}',
            f'x-request-deadline-ms: {deadline_ms}',
            f'authorization: Bearer {KEY}',
            *lines,
            '\r\n',
        ]
    ).encode()


def announced(
    body_bytes: int, missing: int = 1, piece_bytes: int = 0, **request: str
) -> Caller:
    """Announce a body, and stop short of its end."""

    async def call(stream: trio.abc.Stream, number: int) -> None:
        lines = [f'content-length: {body_bytes}']
        await stream.send_all(head(number, *lines, **request))
        left = body_bytes - missing
        while left > 0:
            size = min(left, piece_bytes or left)
            await stream.send_all(bytes(size))
            left -= size

    return call


def chunked(
    body_bytes: int,
    chunk_bytes: int,
    missing: int = 1,
    size_line: str = '{:x}',
    ends: bool = False,
    **request: str,
) -> Caller:
    """Send a body in chunks, and stop short of the end of the last one."""

    async def call(stream: trio.abc.Stream, number: int) -> None:
        await stream.send_all(
            head(number, 'transfer-encoding: chunked', **request)
        )
        line = f'{size_line.format(chunk_bytes)}\r\n'.encode()
        chunk = line + bytes(chunk_bytes) + b'\r\n'
        whole = max(1, body_bytes // chunk_bytes)
        at_once = max(1, PIECE_BYTES // len(chunk))
        for sent in range(0, whole - 1, at_once):
            await stream.send_all(chunk * min(at_once, whole - 1 - sent))
        last = chunk[: len(chunk) - 2 - missing] if not ends else chunk
        await stream.send_all(last + (b'0\r\n\r\n' if ends else b''))

    return call


def endless_chunks(
    chunk_bytes: int, limit_bytes: int, **request: str
) -> Caller:
    """Send chunks on and on, far over any limit."""

    async def call(stream: trio.abc.Stream, number: int) -> None:
        await stream.send_all(
            head(number, 'transfer-encoding: chunked', **request)
        )
        chunk = f'{chunk_bytes:x}\r\n'.encode() + bytes(chunk_bytes) + b'\r\n'
        for _ in range(limit_bytes // chunk_bytes):
            await stream.send_all(chunk)

    return call


def expecting(body_bytes: int) -> Caller:
    """Ask to go on, and go on but for the last byte."""

    async def call(stream: trio.abc.Stream, number: int) -> None:
        lines = [f'content-length: {body_bytes}', 'expect: 100-continue']
        await stream.send_all(head(number, *lines))
        with trio.move_on_after(STEP_S):
            await stream.receive_some(PIECE_BYTES)
        await stream.send_all(bytes(body_bytes - 1))

    return call


def unread(requests: int, body_bytes: int = 0, **request: str) -> Caller:
    """Send whole requests one behind the other, and read no answer."""

    async def call(stream: trio.abc.Stream, number: int) -> None:
        for place in range(requests):
            name = number * 1_000_000 + place
            lines = [f'content-length: {body_bytes}']
            whole = head(name, *lines, **request) + bytes(body_bytes)
            await stream.send_all(whole)

    return call


def whole(body: bytes, **request: str) -> Caller:
    """Send one whole request, and read no answer."""

    async def call(stream: trio.abc.Stream, number: int) -> None:
        line = f'content-length: {len(body)}'
        await stream.send_all(head(number, line, **request) + body)

    return call


def begun_handshake(sent_bytes: int) -> Caller:
    """Begin a TLS handshake, and stop short of its end."""

    async def call(stream: trio.abc.Stream, _: int) -> None:
        outgoing = ssl.MemoryBIO()
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False
        context.verify_mode = ssl.CERT_NONE
        shaking = context.wrap_bio(ssl.MemoryBIO(), outgoing)
        with contextlib.suppress(ssl.SSLWantReadError):
            shaking.do_handshake()
        await stream.send_all(outgoing.read()[:sent_bytes])

    return call


async def silent(_: trio.abc.Stream, __: int) -> None:
    """Send nothing."""


def endless_head(sent_bytes: int, drips: bool = False) -> Caller:
    """Send a head that never ends, to its limit at once or byte by byte."""

    async def call(stream: trio.abc.Stream, number: int) -> None:
        begun = head(number)[:-2]
        filler = b'x-more: ' + b'y' * sent_bytes
        await stream.send_all((begun + filler)[: max(sent_bytes, 20)])
        while drips:
            await stream.send_all(b'y')
            await trio.sleep(0.2)

    return call


def _http2() -> h2.connection.H2Connection:
    return h2.connection.H2Connection(
        h2.config.H2Configuration(header_encoding='utf-8')
    )


def _http2_headers(
    number: int, path: str = '/register/x'
) -> list[tuple[str, str]]:
    return [
        (':method', 'POST'),
        (':path', path),
        (':scheme', 'http'),
        (':authority', 'judging.example'),
        ('host', 'judging.example'),
        ('x-request-id', f'crowd{number}'),
        ('x-request-deadline-ms', '20000'),
        ('authorization', f'Bearer {KEY}'),
    ]


def http2_bodies(streams: int, body_bytes: int, **request: str) -> Caller:
    """Send a body short of its end on each of many HTTP/2 streams."""

    async def call(stream: trio.abc.Stream, number: int) -> None:
        protocol = _http2()
        protocol.initiate_connection()
        left = {}
        for place in range(streams):
            name = protocol.get_next_available_stream_id()
            headers = _http2_headers(1000 * number + place, **request)
            protocol.send_headers(name, headers)
            left[name] = body_bytes - 1
        await stream.send_all(protocol.data_to_send())
        while left:
            if not _send_windows(protocol, left):
                data = await stream.receive_some(65536)
                if not data:
                    return
                for event in protocol.receive_data(data):
                    if isinstance(event, h2.events.StreamReset):
                        left.pop(event.stream_id, None)
                    if isinstance(event, h2.events.StreamEnded):
                        left.pop(event.stream_id, None)
            await stream.send_all(protocol.data_to_send())

    return call


def _send_windows(
    protocol: h2.connection.H2Connection, left: dict[int, int]
) -> bool:
    """Queue what the windows allow; return whether anything was."""
    sent = False
    for name in list(left):
        size = min(
            protocol.local_flow_control_window(name),
            protocol.max_outbound_frame_size,
            left[name],
        )
        if size <= 0:
            continue
        protocol.send_data(name, bytes(size))
        left[name] -= size
        sent = True
        if not left[name]:
            del left[name]
    return sent


def http2_resets(times: int) -> Caller:
    """Open streams and reset them at once, again and again."""

    async def call(stream: trio.abc.Stream, number: int) -> None:
        protocol = _http2()
        protocol.initiate_connection()
        for place in range(times):
            name = protocol.get_next_available_stream_id()
            protocol.send_headers(name, _http2_headers(1000 * number + place))
            protocol.reset_stream(name)
            await stream.send_all(protocol.data_to_send())

    return call


def http2_endless_head(
    frames: int, frame_bytes: int, beside: bool = False
) -> Caller:
    """Send a header block that CONTINUATION frames never end.

    With beside, a request is begun on the connection before.
    """

    def frame(kind: int, payload: bytes) -> bytes:
        size = len(payload).to_bytes(3, 'big')
        stream_id = 3 if beside else 1
        return size + bytes([kind, 0]) + stream_id.to_bytes(4, 'big') + payload

    async def call(stream: trio.abc.Stream, number: int) -> None:
        protocol = _http2()
        protocol.initiate_connection()
        if beside:
            protocol.send_headers(1, _http2_headers(number))
        # A literal field whose value is long, without its end.
        block = b'\x00\x01x\x7f\xff\xff\xff\x07' + b'y' * frame_bytes
        await stream.send_all(
            protocol.data_to_send() + frame(1, block[:frame_bytes])
        )
        for _ in range(frames):
            await stream.send_all(frame(9, b'y' * frame_bytes))

    return call


def http2_pings(times: int) -> Caller:
    """Send pings and settings, and read no answer."""

    async def call(stream: trio.abc.Stream, _: int) -> None:
        protocol = _http2()
        protocol.initiate_connection()
        for number in range(times):
            protocol.ping(number.to_bytes(8, 'big'))
            if number % 8 == 0:
                protocol.update_settings(
                    {h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 65535}
                )
            await stream.send_all(protocol.data_to_send())

    return call


class Crowd:
    """A crowd that stays until it is told to leave."""

    def __init__(self, connect: Connect, caller: Caller) -> None:
        self._connect = connect
        self._caller = caller
        self._leaves = trio.Event()
        self._busy = 0

    async def run(self, size: int, task_status: typing.Any) -> None:
        """Report once each caller has done its part, or was turned away."""
        async with trio.open_nursery() as nursery:
            for number in range(size):
                self._busy += 1
                nursery.start_soon(self._call, number)
            while self._busy:
                await trio.sleep(0.02)
            task_status.started(self)
            await self._leaves.wait()
            nursery.cancel_scope.cancel()

    def leave(self) -> None:
        """Close all connections."""
        self._leaves.set()

    async def _call(self, number: int) -> None:
        stream = None
        try:
            with contextlib.suppress(
                OSError,
                trio.BrokenResourceError,
                trio.ClosedResourceError,
                h2.exceptions.ProtocolError,
            ):
                with trio.move_on_after(STEP_S):
                    stream = await self._connect()
                    await self._caller(stream, number)
        finally:
            self._busy -= 1
        try:
            await self._leaves.wait()
        finally:
            if stream is not None:
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(stream)


def connector(port: int, context: ssl.SSLContext | None = None) -> Connect:
    """Return what opens connections to a port of the loopback."""

    async def connect() -> trio.abc.Stream:
        stream = await trio.open_tcp_stream('127.0.0.1', port)
        if context is None:
            return stream
        return trio.SSLStream(stream, context, https_compatible=True)

    return connect


class Cost(typing.NamedTuple):
    """What a process holds."""

    # The most memory so far.
    peak_mb: float
    sockets: int


def cost(pid: int) -> Cost:
    """Return what a process holds now; raise OSError if it is gone."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    peaks_kb = [
        int(line.split()[1])
        for line in status.splitlines()
        if line.startswith('VmHWM:')
    ]
    if not peaks_kb:
        raise ProcessLookupError(f'{pid} has ended')
    sockets = 0
    for entry in pathlib.Path(f'/proc/{pid}/fd').iterdir():
        with contextlib.suppress(OSError):
            sockets += str(entry.readlink()).startswith(('socket:', 'pipe:'))
    return Cost(peaks_kb[0] * 1024 / MEGABYTE, sockets)


class Watch:
    """The most that a process holds, and whether it lives on."""

    def __init__(self, current: Current) -> None:
        self._current = current
        self.peak_mb = 0.0
        self.sockets = 0

    async def run(self) -> None:
        """Look at it again and again."""
        while True:
            self.look()
            await trio.sleep(SAMPLE_S)

    def look(self) -> bool:
        """Look once; return whether the process is there."""
        process = self._current()
        if process.poll() is not None:
            return False
        try:
            found = cost(process.pid)
        except OSError:
            # It ended just now.
            return False
        self.peak_mb = max(self.peak_mb, found.peak_mb)
        self.sockets = max(self.sockets, found.sockets)
        return True


__all__ = ['Cost', 'Crowd', 'Watch', 'connector', 'cost']
