"""Pass connections on over the loopback, and misbehave as told."""

import enum

import trio

from gentianstair.util import batch_listener
from gentianstair.util import serving
from standins.soak import link_record
from standins.soak import odd_answers

READ_BYTES = 65536
REQUEST_BEGINNINGS = (b'POST ', b'GET ')
DELAY_S = 0.3


class Mode(enum.Enum):
    """What happens to connections and to what they carry."""

    PASS = 'pass'
    DELAY = 'delay'
    # Open connections are reset, and new ones at once.
    RESET = 'reset'
    # Nothing passes either way; connections stay open.
    SILENT = 'silent'
    # Requests pass, answers do not.
    ONE_WAY = 'one way'


class Proxy:
    """One address before another; all its connections share a mode."""

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.port = 0
        self.record = link_record.LinkRecord()
        # Sent before the answers to some requests.
        self.added = b''
        # Whether answers of unknown length come without chunks, and end with
        # their connection.
        self.is_unframed = False
        self._requests = 0
        self._mode = Mode.PASS
        self._changed = trio.Event()
        self._streams: set[trio.SocketStream] = set()

    @property
    def mode(self) -> Mode:
        """Return the mode in force."""
        return self._mode

    def set(self, mode: Mode) -> None:
        """Change the mode, also of open connections."""
        self._mode = mode
        self._changed.set()
        self._changed = trio.Event()
        if mode is Mode.RESET:
            for stream in list(self._streams):
                _reset(stream)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        sock = serving.listen('127.0.0.1:0', send_buffer_bytes=None)
        self.port = sock.getsockname()[1]
        task_status.started()
        listener = batch_listener.BatchListener(sock)
        await trio.serve_listeners(self._serve, [listener])

    async def _serve(self, near: trio.SocketStream) -> None:
        if self._mode is Mode.RESET:
            _reset(near)
            return
        try:
            far = await trio.open_tcp_stream('127.0.0.1', self.target_port)
        except OSError:
            _reset(near)
            return
        self._streams |= {near, far}
        answering = trio.Lock()
        try:
            async with near, far, trio.open_nursery() as nursery:
                nursery.start_soon(self._copy_requests, near, far, answering)
                nursery.start_soon(self._copy_answers, near, far, answering)
        except* (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # Either end broke off, or the mode did; both ends see it.
            _reset(near)
            _reset(far)
        finally:
            self._streams -= {near, far}

    async def _copy_requests(
        self,
        near: trio.SocketStream,
        far: trio.SocketStream,
        answering: trio.Lock,
    ) -> None:
        while data := await near.receive_some(READ_BYTES):
            # Those that are held up here come to the replica later.
            if self._mode is Mode.PASS:
                self.record.note_requests(data, near)
            await self._hold(Mode.SILENT)
            if self._takes_added(data):
                async with answering:
                    await near.send_all(self.added)
            if self.is_unframed and data.startswith(REQUEST_BEGINNINGS):
                data = data.replace(b' HTTP/1.1\r\n', b' HTTP/1.0\r\n', 1)
            await far.send_all(data)
        await self._hold(Mode.SILENT)
        await far.send_eof()

    def _takes_added(self, data: bytes) -> bool:
        """Return whether a request begins here that an answer is added to."""
        if not self.added or not data.startswith(REQUEST_BEGINNINGS):
            return False
        self._requests += 1
        return self._requests % odd_answers.ADDED_EACH == 0

    async def _copy_answers(
        self,
        near: trio.SocketStream,
        far: trio.SocketStream,
        answering: trio.Lock,
    ) -> None:
        while data := await far.receive_some(READ_BYTES):
            await self._hold(Mode.ONE_WAY)
            async with answering:
                await near.send_all(data)
            self.record.note_answers(data, near)
        await self._hold(Mode.ONE_WAY)
        async with answering:
            await near.send_eof()

    async def _hold(self, stops_at: Mode) -> None:
        """Return when bytes may pass: not while SILENT or stops_at."""
        while self._mode in (Mode.SILENT, stops_at):
            await self._changed.wait()
        if self._mode is Mode.DELAY:
            await trio.sleep(DELAY_S)


def _reset(stream: trio.SocketStream) -> None:
    """Close a connection so that its other end sees a reset."""
    linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
    sock = stream.socket
    try:
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, linger)
    except OSError:
        # Closed already.
        return
    sock.close()
