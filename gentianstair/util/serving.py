"""Serve an ASGI application on a listening socket until shutdown."""

import collections.abc
import contextlib
import functools
import os
import select
import signal
import socket
import ssl
import types
import typing

import h11
from hypercorn import app_wrappers
from hypercorn import events
import hypercorn.config
from hypercorn.protocol import h2 as h2_protocol
from hypercorn.protocol import h11 as h11_protocol
from hypercorn.trio import lifespan
from hypercorn.trio import tcp_server
from hypercorn.trio import worker_context
import loguru
import trio

from gentianstair import errors
from gentianstair.generated import events as log_events
from gentianstair.util import addresses
from gentianstair.util import connections
from gentianstair.util import end_reasons
from gentianstair.util import http1
from gentianstair.util import idle_timeout

BACKLOG = 4096
MAX_HEADER_BYTES = 32768
KEEP_ALIVE_S = 75.0
# Share of the keep-alive time that responses advertise. The rest leaves time
# for a request to arrive that was sent just before the advertised end.
ADVERTISED_KEEP_ALIVE_SHARE = 0.9
# Longest wait for a caller to take one chunk of a response.
SEND_STALL_S = 10.0
SEND_CHUNK_BYTES = 65536
# With a large kernel buffer a slow caller would have to read megabytes before
# the next chunk fits, and would look stalled.
SEND_BUFFER_BYTES = 131072


def listen(address: str, reuse_port: bool = False) -> socket.socket:
    """Return a listening socket; raise UserError if binding fails.

    With reuse_port several processes on a VM can share the address.
    """
    host, port = addresses.parse(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit it.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    if reuse_port:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    try:
        sock.bind((host, port))
    except OSError as error:
        sock.close()
        raise errors.UserError(f'cannot listen on {address}: {error}')
    sock.listen(BACKLOG)
    return sock


def is_loopback(sock: socket.socket) -> bool:
    """Return whether only this VM can reach the socket."""
    host = sock.getsockname()[0]
    return host.startswith('127.') or host == '::1'


def _is_readable(sock: trio.socket.SocketType) -> bool:
    """Return whether there is unread data or an unread end of stream."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


class _ConnectionServer(tcp_server.TCPServer):
    """Serves one connection; it bounds writes and closes when idle.

    Hypercorn's own write takes a lock and a shielded cancel scope each
    time, which is costly per relayed token. It also waits without limit for
    a caller that has stopped reading, which would keep an engine slot busy.
    """

    send_stall_s = SEND_STALL_S
    _fd: int | None = None

    def __init__(
        self,
        app: typing.Any,
        config: hypercorn.config.Config,
        worker: worker_context.WorkerContext,
        state: dict[str, typing.Any],
        stream: trio.abc.Stream,
        grace: trio.CancelScope,
    ) -> None:
        self.connection = connections.Connection()
        state = {**state, connections.STATE_KEY: self.connection}
        super().__init__(app, config, worker, state, stream)
        self._grace = grace
        self._idle_timer = idle_timeout.IdleTimeout(
            config.idle_timeout_s, trio.current_time()
        )
        self._reader_scope = trio.CancelScope()
        self._receive_scope = trio.CancelScope()
        self._send_scope = trio.CancelScope()

    def stop(self) -> None:
        """Close once no request is in flight, or when the grace expires."""
        self._idle_timer.stop(trio.current_time())
        self._receive_scope.deadline = self._idle_timer.deadline_s
        self._send_scope.deadline = min(
            self._send_scope.deadline, self._grace.deadline
        )

    async def _idle_timeout(self) -> None:
        """Disable Hypercorn's idle timeout; the reader task handles it.

        A separate task could close the connection in the same turn of the
        event loop in which a request is read and passed to the application.
        """

    async def _read_data(self) -> None:
        """Read until the caller closes or the idle timeout expires."""
        protocol = self.protocol.protocol
        if isinstance(protocol, h11_protocol.H11Protocol):
            protocol.connection = http1.ServerConnection(
                h11.SERVER, self.config.h11_max_incomplete_size
            )
        with self._reader_scope:
            while (data := await self._receive()) is not None:
                await self.protocol.handle(events.RawData(data))
                if not data:
                    break
                self._note_idle_http2()
        await self.protocol.handle(events.Closed())

    async def _receive(self) -> bytes | None:
        """Return data, b'' at the end of the stream, None if closed."""
        while True:
            self._receive_scope = trio.CancelScope(
                deadline=self._idle_timer.deadline_s
            )
            with self._receive_scope:
                return await self._receive_some()
            if (
                self._idle_timer.has_expired(trio.current_time())
                and self._end_reading_if_idle()
            ):
                return None

    async def _receive_some(self) -> bytes | None:
        try:
            data = await self.stream.receive_some(tcp_server.MAX_RECV)
        except trio.BrokenResourceError:
            self.connection.note_end(connections.EndReason.CALLER_RESET)
            return None
        except trio.ClosedResourceError:
            # Closed by this process, which has noted the reason.
            return None
        if not data:
            self.connection.note_end(connections.EndReason.CALLER_CLOSED)
        return bytes(data)

    def _end_reading_if_idle(self) -> bool:
        """Stop reading if there is no unread data; return whether stopped.

        Must not await: data that arrives after the test would be lost.
        """
        sock = self._raw_socket()
        if _is_readable(sock):
            self._idle_timer.expect_request(trio.current_time())
            return False
        self.connection.note_end(
            connections.EndReason.STOP
            if self.context.terminated.is_set()
            else connections.EndReason.KEEP_ALIVE_EXPIRED
        )
        with contextlib.suppress(OSError):
            # Tells the caller at once that the connection is closed.
            sock.shutdown(socket.SHUT_WR)
        return True

    def _raw_socket(self) -> trio.socket.SocketType:
        if isinstance(self.stream, trio.SSLStream):
            return self.stream.transport_stream.socket
        return self.stream.socket

    async def run(self) -> None:
        if isinstance(self.stream, trio.SocketStream):
            self._fd = self.stream.socket.fileno()
        try:
            await super().run()
        except BaseException as error:
            self.connection.note_failure(
                end_reasons.reason_for_error(error, self._grace)
            )
            raise
        else:
            # Applies if the connection broke before the first read.
            self.connection.note_end(
                connections.EndReason.HANDSHAKE_FAILED
                if self._fd is None
                else connections.EndReason.CALLER_RESET
            )
        finally:
            self.connection.report()

    def _note_progress(self, event: events.Updated) -> None:
        """Note a new request or a complete response."""
        if event.idle:
            self.connection.note_responses_sent()
            self._idle_timer.response_sent(trio.current_time())
        else:
            self.connection.note_head()
            self._idle_timer.request_started()
        self._receive_scope.deadline = self._idle_timer.deadline_s

    def _note_idle_http2(self) -> None:
        """Start the idle period if no HTTP/2 stream is open.

        Hypercorn reports completed responses, but not reset streams.
        """
        protocol = self.protocol.protocol
        if isinstance(protocol, h2_protocol.H2Protocol) and protocol.idle:
            self._idle_timer.response_sent(trio.current_time())
            self._receive_scope.deadline = self._idle_timer.deadline_s

    def _note_closing(self) -> None:
        """Note why the protocol closes the connection."""
        end = end_reasons.reason_for_close(self.protocol.protocol)
        if end in end_reasons.AFTER_RESPONSE:
            self.connection.note_responses_sent()
        self.connection.note_end(end)

    async def protocol_send(self, event: events.Event) -> None:
        if isinstance(event, events.Updated):
            self._note_progress(event)
            return
        if isinstance(event, events.Closed):
            self._note_closing()
            # Quart cancels a request's task once the response is sent.
            # Without the shield this close would be cancelled with it, and
            # the connection would stay open.
            deadline_s = self._send_deadline_s()
            with trio.CancelScope(deadline=deadline_s, shield=True):
                await super().protocol_send(event)
            # The reader may be waiting for this response to be complete.
            self._reader_scope.cancel()
            return
        data = event.data
        if self._fd is not None and not self.send_lock.locked():
            data = data[self._write_now(data) :]
        if data:
            await self._write_all(data)

    def _write_now(self, data: bytes) -> int:
        """Write without waiting; return the number of bytes taken."""
        if self.stream.socket.fileno() < 0:
            # Already closed; the descriptor may belong to another socket.
            return 0
        try:
            return os.write(self._fd, data)
        except OSError:
            # Full or broken: ``_write_all`` waits for it or notes the error.
            return 0

    async def _write_all(self, data: bytes) -> None:
        async with self.send_lock:
            end = connections.EndReason.SEND_STALL
            try:
                is_taken = await self._write_chunks(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                # If this process closed it, the reason is already noted.
                is_taken = False
                end = connections.EndReason.CALLER_RESET
        if not is_taken:
            self.connection.note_abort(end)
            # A partly written response cannot be continued. The Closed
            # event tells the application that the caller has disconnected.
            await trio.aclose_forcefully(self.stream)
            await self.protocol.handle(events.Closed())
            self._reader_scope.cancel()

    def _send_deadline_s(self) -> float:
        """Return the deadline for the caller to take the next chunk."""
        deadline_s = trio.current_time() + self.send_stall_s
        return min(deadline_s, self._grace.deadline)

    async def _write_chunks(self, data: bytes) -> bool:
        """Return whether the caller took each chunk in time."""
        for start in range(0, len(data), SEND_CHUNK_BYTES):
            deadline_s = self._send_deadline_s()
            self._send_scope = trio.CancelScope(
                deadline=deadline_s, shield=True
            )
            with self._send_scope:
                await self.stream.send_all(
                    data[start : start + SEND_CHUNK_BYTES]
                )
            if self._send_scope.cancelled_caught:
                return False
        return True


async def _run_isolated(server: _ConnectionServer) -> None:
    """Serve a connection, and log its errors instead of raising them.

    Hypercorn raises on some unexpected input. All connections share a
    nursery, so a raised error would cancel every response in flight.
    """
    try:
        await server.run()
    except* Exception:
        loguru.logger.bind(event=log_events.FAULT).exception(
            'unexpected error while serving a connection'
        )


def _make_listener(
    sock: socket.socket, context: ssl.SSLContext | None
) -> trio.abc.Listener:
    listener = trio.SocketListener(trio.socket.from_stdlib_socket(sock))
    if context is None:
        return listener
    return trio.SSLListener(listener, context, https_compatible=True)


class _Config(hypercorn.config.Config):
    """Hypercorn settings that add a keep-alive header to responses."""

    min_keep_alive_s: collections.abc.Callable[[], float] | None = None

    def idle_timeout_s(self) -> float:
        """Return how long an idle connection is kept at present."""
        if self.min_keep_alive_s is None:
            return self.keep_alive_timeout
        return max(self.keep_alive_timeout, self.min_keep_alive_s())

    def response_headers(self, protocol: str) -> list[tuple[bytes, bytes]]:
        """Return the headers that the server adds to each response."""
        headers = super().response_headers(protocol)
        advertised_s = int(ADVERTISED_KEEP_ALIVE_SHARE * self.idle_timeout_s())
        if protocol == 'h11' and advertised_s:
            # Callers that reuse a connection in time avoid a racing close.
            headers.append((b'keep-alive', b'timeout=%d' % advertised_s))
        return headers


def _make_config(
    graceful_timeout_s: float, keep_alive_s: float
) -> hypercorn.config.Config:
    config = _Config()
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.keep_alive_timeout = keep_alive_s
    config.graceful_timeout = graceful_timeout_s
    return config


async def serve(
    app: typing.Any,
    sock: socket.socket,
    shutdown: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    graceful_timeout_s: float,
    context: ssl.SSLContext | None = None,
    send_stall_s: float = SEND_STALL_S,
    keep_alive_s: float | None = None,
    min_keep_alive_s: collections.abc.Callable[[], float] | None = None,
) -> None:
    """Serve until shutdown returns, then finish the responses in flight.

    After graceful_timeout_s the remaining connections are closed. So are,
    at any time, connections whose caller takes no data for send_stall_s,
    and connections that are idle for keep_alive_s. Without keep_alive_s its
    default applies, or the result of min_keep_alive_s if that is longer.
    """
    config = _make_config(graceful_timeout_s, keep_alive_s or KEEP_ALIVE_S)
    if keep_alive_s is None:
        config.min_keep_alive_s = min_keep_alive_s
    # Covers all connections; its deadline ends the grace period.
    grace = trio.CancelScope()
    wrapped = app_wrappers.ASGIWrapper(end_reasons.track_requests(app, grace))
    state: dict[str, typing.Any] = {}
    app_lifespan = lifespan.Lifespan(wrapped, config, state)
    worker = worker_context.WorkerContext(None)
    servers: set[_ConnectionServer] = set()

    async def serve_connection(stream: trio.abc.Stream) -> None:
        server = _ConnectionServer(
            wrapped, config, worker, state, stream, grace
        )
        server.send_stall_s = send_stall_s
        if worker.terminated.is_set():
            server.stop()
        servers.add(server)
        try:
            await _run_isolated(server)
        finally:
            servers.discard(server)

    async with trio.open_nursery() as lifespan_nursery:
        await lifespan_nursery.start(app_lifespan.handle_lifespan)
        await app_lifespan.wait_for_startup()
        with grace:
            async with trio.open_nursery() as connection_nursery:
                listener = _make_listener(sock, context)
                async with trio.open_nursery() as accept_nursery:
                    accept_nursery.start_soon(
                        functools.partial(
                            trio.serve_listeners,
                            serve_connection,
                            [listener],
                            handler_nursery=connection_nursery,
                        )
                    )
                    await shutdown()
                    accept_nursery.cancel_scope.cancel()
                # Idle connections close now, others after their response.
                await worker.terminated.set()
                grace.deadline = trio.current_time() + graceful_timeout_s
                for server in servers:
                    server.stop()
        await app_lifespan.wait_for_shutdown()
        lifespan_nursery.cancel_scope.cancel()


def watch_stop_signals() -> trio.Event:
    """Return an event that SIGTERM or SIGINT sets.

    A second SIGTERM has no effect, as the process is already draining. A
    second SIGINT ends the process at once.
    """
    stop_requested = trio.Event()
    token = trio.lowlevel.current_trio_token()

    def on_signal(signum: int, _: types.FrameType | None) -> None:
        if signum == signal.SIGINT:
            signal.signal(signal.SIGINT, signal.SIG_DFL)
        with contextlib.suppress(trio.RunFinishedError):
            token.run_sync_soon(stop_requested.set, idempotent=True)

    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, on_signal)
    return stop_requested


async def wait_for_stop_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    await watch_stop_signals().wait()
