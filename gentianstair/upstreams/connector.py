"""Open connections to upstreams, and check those that were kept idle."""

import abc
import contextlib
import functools
import select
import ssl

import httpx
import trio

from gentianstair import errors
from gentianstair.util import overrun

# Attempts to connect while this process is held up at each.
CONNECT_ATTEMPTS = 2
HTTPS_PORT = 443
HTTP_PORT = 80


def port_of(url: httpx.URL) -> int:
    """Return the port of a URL, or the usual one of its scheme."""
    return url.port or (HTTPS_PORT if url.scheme == 'https' else HTTP_PORT)


class Connector(abc.ABC):
    """Opens the connections on which requests are sent."""

    async def connect(
        self, url: httpx.URL, limit_s: float | None
    ) -> trio.abc.Stream:
        """Return a connection; raise UnreachableError.

        Try twice if this process was held up: the kernel may have connected
        in time while it did not run.
        """
        if limit_s is None:
            return await self.open(url)
        for _ in range(CONNECT_ATTEMPTS):
            due_s = trio.current_time() + limit_s
            with trio.move_on_after(limit_s):
                return await self.open(url)
            if not overrun.was_held_up(due_s, trio.current_time()):
                break
        raise errors.UnreachableError(f'no connection within {limit_s:g} s')

    @abc.abstractmethod
    async def open(self, url: httpx.URL) -> trio.abc.Stream:
        """Return a connection, without a time limit of its own.

        Raise UnreachableError.
        """

    @abc.abstractmethod
    def record_heard(self, stream: trio.abc.Stream) -> None:
        """Record that a response has begun to arrive on a connection."""

    @abc.abstractmethod
    async def wait_path_lost(
        self, url: httpx.URL, stream: trio.abc.Stream
    ) -> None:
        """Return when the path of a silent connection is known to be lost."""


class DirectConnector(Connector):
    """Connects to the upstream itself, with TLS for an https URL."""

    def __init__(self, ssl_context: ssl.SSLContext | None = None) -> None:
        self._ssl_context = ssl_context

    async def open(self, url: httpx.URL) -> trio.abc.Stream:
        """See Connector.open."""
        secure = url.scheme == 'https'
        port = port_of(url)
        try:
            if secure:
                stream = await trio.open_ssl_over_tcp_stream(
                    url.host, port, ssl_context=self._ssl_context
                )
                await stream.do_handshake()
                return stream
            return await trio.open_tcp_stream(url.host, port)
        except (OSError, trio.BrokenResourceError) as error:
            raise errors.UnreachableError(
                f'cannot connect: {error}'
            ) from error

    def record_heard(self, stream: trio.abc.Stream) -> None:
        """See Connector.record_heard; nothing is concluded from it."""

    async def wait_path_lost(
        self, url: httpx.URL, stream: trio.abc.Stream
    ) -> None:
        """See Connector.wait_path_lost; without another way none is."""
        await trio.sleep_forever()


@functools.singledispatch
def is_unusable(stream: trio.abc.Stream) -> bool:
    """Return whether the upstream closed an idle connection or sent bytes.

    A request sent on a closed connection would count as one that may have
    run.
    """
    raise TypeError(f'not a connection: {type(stream)}')


@is_unusable.register
def _(stream: trio.SocketStream) -> bool:
    # Both make the socket readable.
    poller = select.poll()
    poller.register(stream.socket.fileno(), select.POLLIN)
    return bool(poller.poll(0))


@is_unusable.register
def _(stream: trio.SSLStream) -> bool:
    return is_unusable(stream.transport_stream)


@functools.singledispatch
def discard(stream: trio.abc.Stream) -> None:
    """Close an idle connection at once."""
    raise TypeError(f'not a connection: {type(stream)}')


@discard.register
def _(stream: trio.SocketStream) -> None:
    with contextlib.suppress(OSError):
        stream.socket.close()


@discard.register
def _(stream: trio.SSLStream) -> None:
    discard(stream.transport_stream)
