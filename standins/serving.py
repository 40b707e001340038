"""Serve a stand-in's HTTP on a listening socket until it is stopped."""

import signal
import socket
import typing

import hypercorn.config
import hypercorn.trio
import quart_trio
import trio


def listen(address: str) -> socket.socket:
    """Return a listening socket; port 0 takes a free port."""
    host, _, port = address.rpartition(':')
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, int(port)))
    sock.listen(1024)
    return sock


async def wait_for_stop() -> None:
    """Return when this process is asked to stop."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as stops:
        async for _ in stops:
            return


async def serve(
    app: quart_trio.QuartTrio,
    sock: socket.socket,
    shutdown: typing.Callable[[], typing.Awaitable[None]] = wait_for_stop,
    graceful_timeout_s: float = 5.0,
) -> None:
    """Serve app on sock until shutdown returns; print the address first."""
    host, port = sock.getsockname()[:2]
    config = hypercorn.config.Config()
    # Hypercorn closes the descriptor it is given. Detached, it is not closed
    # a second time when sock is collected, by when it may be another socket.
    config.bind = [f'fd://{sock.detach()}']
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = graceful_timeout_s
    print(f'listening {host}:{port}', flush=True)
    await hypercorn.trio.serve(app, config, shutdown_trigger=shutdown)
