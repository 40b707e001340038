"""Carry HTTP requests to upstreams over trio, at little cost per chunk.

It is an httpx transport: httpx gives the request and response types, the
httptools library parses. Measured against httpx's own transport it spends
about a quarter of the processor time on each relayed chunk; see
docs/design/relay.md.
"""

import collections
import collections.abc
import contextlib
import math
import os
import re
import select
import ssl
import typing

import httptools
import httpx
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts

MAX_READ_BYTES = 65536
FINAL_STATUS = 200
# Responses that have no body, whatever their headers say.
BODYLESS = (204, 304)
# An upstream echoes the request's id in its answer.
ANSWER_ID_HEADER = b'x-request-id'
MAX_HEADER_BYTES = 65536
IDLE_CONNECTIONS = 256
HTTPS_PORT = 443
HTTP_PORT = 80
_KEEP_ALIVE = re.compile(rb'timeout=(\d+)')


class _Idle(typing.NamedTuple):
    """A connection that waits for a request, and until when it may."""

    stream: trio.abc.Stream
    until_s: float


class _Message:
    """Collect what the parser finds in one response.

    Interim responses (1xx) may come before it, also in the same read; they
    are forgotten when they end. So is a whole response that bears another
    request's id: an upstream that answered an earlier request twice sends
    the second answer late, where this one's is due. What follows the
    response belongs to no request and ends the connection's use.
    """

    def __init__(self, answer_id: bytes | None = None) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.parts: list[bytes] = []
        self._answer_id = answer_id
        self._header_bytes = 0
        self._foreign = False
        self.done = False
        # Without a length the body ends with the connection.
        self.ends_at_close = False
        # Only known until the parser turns to what follows.
        self.keep_alive = False

    @property
    def head_done(self) -> bool:
        """Return whether the final response's headers are here."""
        return self.status >= FINAL_STATUS and not self._foreign

    def on_message_begin(self) -> None:
        if self.done:
            # Bytes after the end: nothing on this connection can be
            # trusted to answer what is asked next.
            self.keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.done:
            return
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            # The parser reports it as an error of the upstream's.
            raise ValueError('the headers are too long')
        self.headers.append((name, value))

    def header(self, wanted: bytes) -> bytes | None:
        """Return a header's value, or None; wanted is in lower case."""
        for name, value in self.headers:
            if name.lower() == wanted:
                return value
        return None

    def on_headers_complete(self) -> None:
        if self.done:
            return
        self.status = self.parser.get_status_code()
        found = self.header(ANSWER_ID_HEADER)
        wanted = self._answer_id
        self._foreign = None not in (found, wanted) and found != wanted
        self.ends_at_close = (
            self.status not in BODYLESS
            and self.header(b'content-length') is None
            and self.header(b'transfer-encoding') is None
        )

    def on_body(self, body: bytes) -> None:
        if self.head_done and not self.done:
            self.parts.append(body)

    def on_message_complete(self) -> None:
        if self.done:
            return
        if self.head_done:
            self.done = True
            self.keep_alive = self.parser.should_keep_alive()
            return
        self.headers.clear()
        self.status = 0
        self._foreign = False

    def on_close(self) -> bool:
        """Note the connection's end; say whether it ends the response."""
        if self.head_done and self.ends_at_close:
            self.done = True
        return self.done


class ResponseBody(httpx.AsyncByteStream):
    """The body of one response, read as it comes.

    Each item is all that one read brought. An upstream that closes too
    early raises UpstreamError with MAY_HAVE_RUN.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        message: _Message,
        give_back: collections.abc.Callable[[trio.abc.Stream], None],
    ) -> None:
        self._stream = stream
        self._message = message
        self._give_back = give_back
        self._closed = False

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        message = self._message
        while True:
            if message.parts:
                found = b''.join(message.parts)
                message.parts.clear()
                yield found
            if message.done:
                return
            await _feed(self._stream, message)

    async def aclose(self) -> None:
        """Keep the connection if the body is whole, else cut it.

        Cutting it is how the upstream learns that the work is cancelled.
        A second call does nothing.
        """
        if self._closed:
            return
        self._closed = True
        if self._message.done and self._message.keep_alive:
            self._give_back(self._stream)
        else:
            await trio.aclose_forcefully(self._stream)


async def _receive(stream: trio.abc.Stream) -> bytes:
    """Return what comes next, or nothing at the end.

    A token is hardly ever there yet when it is waited for. Trio's own
    receive tries the socket first, in vain, and once more after the wait.
    """
    if not isinstance(stream, trio.SocketStream):
        return await stream.receive_some(MAX_READ_BYTES)
    while True:
        await trio.lowlevel.wait_readable(stream.socket)
        try:
            return os.read(stream.socket.fileno(), MAX_READ_BYTES)
        except BlockingIOError:
            continue


async def _feed(stream: trio.abc.Stream, message: _Message) -> None:
    try:
        data = await _receive(stream)
    except (OSError, trio.BrokenResourceError) as error:
        raise _lost(f'{type(error).__name__} while reading') from error
    if not data and not message.on_close():
        raise _lost('the upstream closed the connection')
    try:
        if data:
            message.parser.feed_data(data)
    except httptools.HttpParserError as error:
        # Garbage behind a whole response does not spoil the response.
        message.keep_alive = False
        if not message.done:
            raise _lost(f'{type(error).__name__} while reading') from error


def _lost(message: str) -> errors.UpstreamError:
    return errors.UpstreamError(message, verdicts.Verdict.MAY_HAVE_RUN)


def _head(request: httpx.Request) -> bytes:
    # A target that is passed on must not be normalized on the way.
    target = request.extensions.get('target', request.url.raw_path)
    lines = [b'%s %s HTTP/1.1' % (request.method.encode(), target)]
    lines += [b'%s: %s' % pair for pair in request.headers.raw]
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def _socket(stream: trio.abc.Stream) -> trio.socket.SocketType:
    if isinstance(stream, trio.SSLStream):
        return stream.transport_stream.socket
    return stream.socket


def _is_closed(stream: trio.abc.Stream) -> bool:
    """Return whether an idle connection has been closed or written to.

    An upstream that stopped while the connection was idle shows as a
    readable socket; sending on it would lose a request that never ran.
    """
    poller = select.poll()
    poller.register(_socket(stream).fileno(), select.POLLIN)
    return bool(poller.poll(0))


class Transport(httpx.AsyncBaseTransport):
    """Connections to upstreams, kept open by address.

    With the request extension ``fresh`` a new connection is opened, as an
    unrepeatable request needs: a kept one may die after the first byte, for
    reasons that have nothing to do with the request. The extension
    ``before_send`` is called with no await between it and the first byte.
    ``connect_s`` bounds the time to connect.
    ``answer_id`` is the id that the answer must bear if it bears one, and
    ``target`` the request's target as it is sent.
    """

    def __init__(
        self, ssl_context: ssl.SSLContext | None, idle_s: float
    ) -> None:
        self._ssl_context = ssl_context
        self._idle_s = idle_s
        self._idle: dict[tuple[str, int], collections.deque[_Idle]] = {}

    async def _connect(self, url: httpx.URL) -> trio.abc.Stream:
        secure = url.scheme == 'https'
        port = url.port or (HTTPS_PORT if secure else HTTP_PORT)
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

    async def _connect_in_time(
        self, url: httpx.URL, limit_s: float | None
    ) -> trio.abc.Stream:
        with trio.move_on_after(math.inf if limit_s is None else limit_s):
            return await self._connect(url)
        raise errors.UnreachableError(f'no connection within {limit_s:g} s')

    def _take(self, url: httpx.URL) -> trio.abc.Stream | None:
        idle = self._idle.get((url.host, url.port or 0))
        now_s = trio.current_time()
        while idle:
            stream, until_s = idle.pop()
            if now_s < until_s and not _is_closed(stream):
                return stream
            with contextlib.suppress(OSError):
                _socket(stream).close()
        return None

    def _keep(
        self, url: httpx.URL, stream: trio.abc.Stream, message: _Message
    ) -> None:
        address = (url.host, url.port or 0)
        idle = self._idle.setdefault(address, collections.deque())
        until_s = trio.current_time() + self._idle_limit_s(message)
        idle.append(_Idle(stream, until_s))
        if len(idle) > IDLE_CONNECTIONS:
            _socket(idle.popleft().stream).close()

    def _idle_limit_s(self, message: _Message) -> float:
        """Return for how long the upstream keeps an idle connection."""
        found = _KEEP_ALIVE.search(message.header(b'keep-alive') or b'')
        if found is None:
            return self._idle_s
        # Half: the request must be there before the upstream's timer ends.
        return min(self._idle_s, int(found[1]) / 2)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address, HOST:PORT."""
        host, _, port = address.rpartition(':')
        for idle in self._idle.pop((host, int(port)), ()):
            with contextlib.suppress(OSError):
                _socket(idle.stream).close()

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request whose body is in memory; return at the headers.

        Raise UpstreamError: UnreachableError while there is no connection,
        NOT_RUN until the first byte was handed to the kernel, MAY_HAVE_RUN
        from then on.
        """
        stream = None
        if not request.extensions.get('fresh'):
            stream = self._take(request.url)
        if stream is None:
            stream = await self._connect_in_time(
                request.url, request.extensions.get('connect_s')
            )
        try:
            return await self._exchange(stream, request)
        except BaseException:
            await trio.aclose_forcefully(stream)
            raise

    async def _exchange(
        self, stream: trio.abc.Stream, request: httpx.Request
    ) -> httpx.Response:
        check = request.extensions.get('before_send')
        if check is not None:
            check()
        try:
            await stream.send_all(_head(request) + request.content)
        except trio.BrokenResourceError as error:
            raise _lost('the connection broke while sending') from error
        message = _Message(request.extensions.get('answer_id'))
        while not message.head_done:
            await _feed(stream, message)
        if request.method == 'HEAD':
            # The head names the length of a body that never comes.
            message.done = True
        body = ResponseBody(
            stream,
            message,
            lambda kept: self._keep(request.url, kept, message),
        )
        return httpx.Response(
            message.status, headers=message.headers, stream=body
        )

    async def aclose(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            while idle:
                await trio.aclose_forcefully(idle.pop().stream)


async def read_all(response: httpx.Response, limit_bytes: int) -> bytes:
    """Return a whole body; raise UpstreamError for one that is too long."""
    parts = []
    size = 0
    async for part in response.stream:
        parts.append(part)
        size += len(part)
        if size > limit_bytes:
            raise errors.UpstreamError(
                'the answer is too long', verdicts.Verdict.RAN
            )
    return b''.join(parts)


def make_transport(
    ssl_context: ssl.SSLContext | None = None, idle_s: float = math.inf
) -> Transport:
    """Return a transport without connections.

    idle_s bounds how long a connection is kept for the next request; what
    an upstream's Keep-Alive header says bounds it, too.
    """
    return Transport(ssl_context, idle_s)
