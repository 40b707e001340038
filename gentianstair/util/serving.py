"""Serve an application on listening sockets until it is stopped."""

import collections.abc
import signal
import socket
import ssl
import typing

import hypercorn.config
import hypercorn.events
import hypercorn.trio
from hypercorn.trio import run as hypercorn_run
from hypercorn.trio import tcp_server
import trio

from gentianstair import errors
from gentianstair import settings

BACKLOG = 4096
MAX_HEADER_BYTES = 32768
KEEP_ALIVE_S = 75.0
# Longest wait of one part of an answer for a caller to take it.
SEND_STALL_S = 10.0
SEND_PART_BYTES = 65536
# Kept small, or a caller that reads slowly would have megabytes to take
# before the kernel lets the next part in, and look as if it had stopped.
SEND_BUFFER_BYTES = 131072


class _Config(hypercorn.config.Config):
    """A configuration with a TLS context of ours, which can be reloaded."""

    context: ssl.SSLContext | None = None
    send_stall_s = SEND_STALL_S

    def create_ssl_context(self) -> ssl.SSLContext | None:
        return self.context

    @property
    def ssl_enabled(self) -> bool:
        return self.context is not None


class _Connection(tcp_server.TCPServer):
    """A connection that a caller which stops reading cannot hold.

    The library shields its sends from cancellation. A caller that no longer
    reads then holds the task that sends to it, with its engine, until its
    TCP connection dies, and a planned stop never ends: neither a deadline
    nor a cancelled scope gets through. Each part of an answer gets a time
    limit here, and the connection is closed when it passes, which ends the
    send and tells the application that the caller has gone.
    """

    async def protocol_send(self, event: hypercorn.events.Event) -> None:
        """Send an event to the caller; close if it does not read."""
        if not isinstance(event, hypercorn.events.RawData):
            await super().protocol_send(event)
            return
        async with self.send_lock:
            try:
                read = await self._send_parts(event.data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                read = False
            if not read:
                await trio.aclose_forcefully(self.stream)
                await self.protocol.handle(hypercorn.events.Closed())

    async def _send_parts(self, data: bytes) -> bool:
        """Return whether the caller took each part in time."""
        limit_s = typing.cast(_Config, self.config).send_stall_s
        for start in range(0, len(data), SEND_PART_BYTES):
            part = data[start : start + SEND_PART_BYTES]
            until_s = trio.current_time() + limit_s
            with trio.CancelScope(deadline=until_s, shield=True) as scope:
                await self.stream.send_all(part)
            if scope.cancelled_caught:
                return False
        return True


# The library names its class in the function that accepts connections and
# offers no other way to give it one.
hypercorn_run.TCPServer = _Connection


def listen(address: str, reuse_port: bool = False) -> socket.socket:
    """Return a listening socket; raise UserError if it can't be had.

    With reuse_port several processes of a VM share the address.
    """
    host, port = settings.parse_address(address)
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


async def serve(
    app: typing.Any,
    sock: socket.socket,
    shutdown: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    graceful_timeout_s: float,
    context: ssl.SSLContext | None = None,
    send_stall_s: float = SEND_STALL_S,
) -> None:
    """Serve until shutdown returns, then until running answers ended."""
    config = _Config()
    # Hypercorn closes the descriptor it is given. Detached, it is not closed
    # a second time when sock is collected, by when it may be another socket.
    config.bind = [f'fd://{sock.detach()}']
    config.context = context
    config.send_stall_s = send_stall_s
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = graceful_timeout_s
    await hypercorn.trio.serve(app, config, shutdown_trigger=shutdown)


async def wait_for_stop() -> None:
    """Return when this process is asked to stop."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as stops:
        async for _ in stops:
            return
