"""Serve a stand-in's HTTP on a listening socket until it is stopped."""

import collections.abc
import socket

import quart_trio

from gentianstair.util import serving
from gentianstair.util import stop_signals

listen = serving.listen


async def serve(
    app: quart_trio.QuartTrio,
    sock: socket.socket,
    shutdown: collections.abc.Callable[
        [], collections.abc.Awaitable[None]
    ] = stop_signals.wait_for_stop_signal,
    graceful_timeout_s: float = 5.0,
) -> None:
    """Serve app on sock until shutdown returns; print the address first."""
    host, port = sock.getsockname()[:2]
    print(f'listening {host}:{port}', flush=True)
    await serving.serve(app, sock, shutdown, graceful_timeout_s)
