"""Serve an application on listening sockets until it is stopped."""

import collections.abc
import signal
import socket
import ssl
import typing

import hypercorn.config
import hypercorn.trio
import trio

from gentianstair import errors
from gentianstair import settings

BACKLOG = 4096
MAX_HEADER_BYTES = 32768
KEEP_ALIVE_S = 75.0


class _Config(hypercorn.config.Config):
    """A configuration with a TLS context of ours, which can be reloaded."""

    context: ssl.SSLContext | None = None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        return self.context

    @property
    def ssl_enabled(self) -> bool:
        return self.context is not None


def listen(address: str, reuse_port: bool = False) -> socket.socket:
    """Return a listening socket; raise UserError if it can't be had.

    With reuse_port several processes of a VM share the address.
    """
    host, port = settings.parse_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
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
) -> None:
    """Serve until shutdown returns, then until running answers ended."""
    config = _Config()
    # Hypercorn closes the descriptor it is given. Detached, it is not closed
    # a second time when sock is collected, by when it may be another socket.
    config.bind = [f'fd://{sock.detach()}']
    config.context = context
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
