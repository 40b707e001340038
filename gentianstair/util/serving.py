"""Serve an ASGI application on a listening socket until shutdown."""

import collections.abc
import functools
import socket
import ssl
import typing

from hypercorn import app_wrappers
import hypercorn.config
from hypercorn.trio import lifespan
from hypercorn.trio import worker_context
import loguru
import trio

from gentianstair import errors
from gentianstair.generated import events as log_events
from gentianstair.util import addresses
from gentianstair.util import batch_listener
from gentianstair.util import connection_server
from gentianstair.util import connection_table
from gentianstair.util import connections
from gentianstair.util import end_reasons
from gentianstair.util import short_reads

BACKLOG = 4096
MAX_HEADER_BYTES = 32768
KEEP_ALIVE_S = 75.0
# How long a caller may take for the head of a request, without another limit.
HEAD_TIMEOUT_S = 20.0
# A head's names and values are measured exactly by the application; this
# bounds the bytes of it that are read, with what separates them.
RAW_HEAD_SHARE = 2
HANDSHAKE_TIMEOUT_S = 10.0
# Parts of a body, and its ends, that may wait for the application.
APP_QUEUE_EVENTS = 4
# Share of the keep-alive time that responses advertise. The rest leaves time
# for a request to arrive that was sent just before the advertised end.
ADVERTISED_KEEP_ALIVE_SHARE = 0.9
# With a large kernel buffer a slow caller would have to read megabytes before
# the next chunk fits, and would look stalled.
SEND_BUFFER_BYTES = 131072


def listen(
    address: str,
    reuse_port: bool = False,
    send_buffer_bytes: int | None = SEND_BUFFER_BYTES,
    receive_buffer_bytes: int | None = None,
) -> socket.socket:
    """Return a listening socket; raise UserError if binding fails.

    With reuse_port several processes on a VM can share the address. Without
    send_buffer_bytes or receive_buffer_bytes the kernel sizes those buffers
    of accepted connections.
    """
    host, port = addresses.parse(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if send_buffer_bytes is not None:
        # Accepted connections inherit it.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)
    if receive_buffer_bytes is not None:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
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


async def _run_isolated(server: connection_server.ConnectionServer) -> None:
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
    listener = batch_listener.BatchListener(sock)
    if context is None:
        return listener
    return trio.SSLListener(
        short_reads.ShortReadListener(listener), context, https_compatible=True
    )


class HeadLimits(typing.NamedTuple):
    """How long a request's head may be, and how long it may take."""

    raw_bytes: int
    timeout_s: float


class _Config(hypercorn.config.Config):
    """Hypercorn settings that add a keep-alive header to responses."""

    min_keep_alive_s: collections.abc.Callable[[], float] | None = None
    head_limits: collections.abc.Callable[[], HeadLimits] | None = None

    def current_head_limits(self) -> HeadLimits:
        """Return the limits of a request's head at present."""
        if self.head_limits is None:
            return HeadLimits(MAX_HEADER_BYTES, HEAD_TIMEOUT_S)
        return self.head_limits()

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
    config.max_app_queue_size = APP_QUEUE_EVENTS
    config.ssl_handshake_timeout = HANDSHAKE_TIMEOUT_S
    config.graceful_timeout = graceful_timeout_s
    return config


async def serve(
    app: typing.Any,
    sock: socket.socket,
    shutdown: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    graceful_timeout_s: float,
    context: ssl.SSLContext | None = None,
    send_stall_s: float = connection_server.SEND_STALL_S,
    keep_alive_s: float | None = None,
    min_keep_alive_s: collections.abc.Callable[[], float] | None = None,
    max_connections: int | None = None,
    head_limits: collections.abc.Callable[[], HeadLimits] | None = None,
) -> None:
    """Serve until shutdown returns, then finish the responses in flight.

    After graceful_timeout_s the remaining connections are closed. So are,
    at any time, connections whose caller takes no data for send_stall_s,
    and connections that are idle for keep_alive_s. Without keep_alive_s its
    default applies, or the result of min_keep_alive_s if that is longer.
    Beyond max_connections the least useful one gives way to a new one.
    """
    config = _make_config(graceful_timeout_s, keep_alive_s or KEEP_ALIVE_S)
    if keep_alive_s is None:
        config.min_keep_alive_s = min_keep_alive_s
    config.head_limits = head_limits
    table = None
    if max_connections is not None:
        table = connection_table.ConnectionTable(max_connections)
    # Covers all connections; its deadline ends the grace period.
    grace = trio.CancelScope()
    wrapped = app_wrappers.ASGIWrapper(end_reasons.track_requests(app, grace))
    state: dict[str, typing.Any] = {}
    app_lifespan = lifespan.Lifespan(wrapped, config, state)
    worker = worker_context.WorkerContext(None)
    servers: set[connection_server.ConnectionServer] = set()

    async def serve_connection(stream: trio.abc.Stream) -> None:
        server = connection_server.ConnectionServer(
            wrapped, config, worker, state, stream, grace
        )
        server.send_stall_s = send_stall_s
        if table is not None and not table.admit(
            server.connection, server.give_way
        ):
            server.connection.note_end(connections.EndReason.GAVE_WAY)
            server.connection.report()
            return
        if worker.terminated.is_set():
            server.stop()
        servers.add(server)
        try:
            await _run_isolated(server)
        finally:
            servers.discard(server)
            if table is not None:
                table.remove(server.connection)

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


async def serve_again(
    app: typing.Any,
    address: str,
    sock: socket.socket,
    shutdown: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    graceful_timeout_s: float,
    max_connections: int | None = None,
) -> None:
    """Serve on a socket, or on a new one if a server that failed closed it."""
    if sock.fileno() < 0:
        sock = listen(address)
    await serve(
        app,
        sock,
        shutdown,
        graceful_timeout_s,
        max_connections=max_connections,
    )
