"""Serve one connection of a caller, with bounded writes and an idle limit."""

import contextlib
import os
import select
import socket
import struct
import typing

import h11
from hypercorn import events
import hypercorn.config
from hypercorn.protocol import h2 as h2_protocol
from hypercorn.protocol import h11 as h11_protocol
from hypercorn.trio import tcp_server
from hypercorn.trio import worker_context
import trio

from gentianstair.util import connections
from gentianstair.util import end_reasons
from gentianstair.util import http1
from gentianstair.util import idle_timeout
from gentianstair.util import partial_head

# Longest wait for a caller to take one chunk of a response.
SEND_STALL_S = 10.0
SEND_CHUNK_BYTES = 65536
# Read at a time; each connection may hold some such pieces.
READ_BYTES = 16384
# Closing a socket with this option resets its connection.
LINGER_0_S = struct.pack('ii', 1, 0)


def _is_readable(sock: trio.socket.SocketType) -> bool:
    """Return whether there is unread data or an unread end of stream."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


class ConnectionServer(tcp_server.TCPServer):
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
        self._run_scope = trio.CancelScope()
        self._gives_way = False
        self._head = partial_head.PartialHead(config.current_head_limits)
        self.connection.abort = self._abort

    def give_way(self) -> None:
        """Close, as another connection needs the place."""
        self.connection.note_end(connections.EndReason.GAVE_WAY)
        # At once, as its descriptor is needed.
        self._raw_socket().close()
        if not hasattr(self, 'protocol'):
            # Still in its TLS handshake.
            self._run_scope.cancel()

    def _abort(self) -> None:
        """Close at once, as what is under way gives way to others."""
        self._gives_way = True
        self._send_scope.cancel()

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
                self._head.look(self.protocol.protocol, trio.current_time())
                if self._head.is_too_long:
                    self.connection.note_end(
                        connections.EndReason.INVALID_HTTP
                    )
                    await self._head.refuse(
                        self.protocol.protocol,
                        partial_head.HTTP_HEADERS_TOO_LARGE,
                    )
                    break
        await self.protocol.handle(events.Closed())

    async def _receive(self) -> bytes | None:
        """Return data, b'' at the end of the stream, None if closed."""
        while True:
            self._receive_scope = trio.CancelScope(
                deadline=min(
                    self._idle_timer.deadline_s, self._head.deadline_s
                )
            )
            with self._receive_scope:
                return await self._receive_some()
            if trio.current_time() >= self._head.deadline_s:
                self.connection.note_end(connections.EndReason.HEAD_TIMEOUT)
                await self._head.refuse(
                    self.protocol.protocol, partial_head.HTTP_TIMEOUT
                )
                return None
            if (
                self._idle_timer.has_expired(trio.current_time())
                and self._end_reading_if_idle()
            ):
                return None

    async def _receive_some(self) -> bytes | None:
        try:
            data = await self.stream.receive_some(READ_BYTES)
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
            with self._run_scope:
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
            await self._close_forcefully()
            await self.protocol.handle(events.Closed())
            self._reader_scope.cancel()

    async def _close(self) -> None:
        """Close, by a reset if the caller could take a part for the whole."""
        if self._is_cut_without_frame():
            await self._close_forcefully()
        else:
            await super()._close()

    async def _close_forcefully(self) -> None:
        if self._is_cut_without_frame():
            with contextlib.suppress(OSError):
                self._raw_socket().setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_0_S
                )
        await trio.aclose_forcefully(self.stream)

    def _is_cut_without_frame(self) -> bool:
        """Return whether the connection's end would end a body cut short.

        In HTTP/1.0 there are no chunks.
        """
        # There is none if the caller is gone before the first read.
        wrapper = getattr(self, 'protocol', None)
        connection = wrapper and getattr(wrapper.protocol, 'connection', None)
        return (
            isinstance(connection, h11.Connection)
            and connection.their_http_version == b'1.0'
            and connection.our_state is h11.SEND_BODY
        )

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
            if self._gives_way:
                self.connection.note_end(connections.EndReason.GAVE_WAY)
                return False
            with self._send_scope:
                await self.stream.send_all(
                    data[start : start + SEND_CHUNK_BYTES]
                )
            if self._send_scope.cancelled_caught:
                if self._gives_way:
                    self.connection.note_end(connections.EndReason.GAVE_WAY)
                return False
        return True
