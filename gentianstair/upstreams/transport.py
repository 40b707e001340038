"""Send HTTP requests to upstreams over trio, with little CPU per chunk.

It is an httpx transport that parses responses with httptools, which costs
much less per relayed chunk than httpx's own transport; see
docs/design/relay.md.
"""

import collections
import collections.abc
import math
import os
import re
import typing
import weakref

import httpx
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.upstreams import connector as connectors
from gentianstair.upstreams import foreign_responses
from gentianstair.upstreams import response_parser
from gentianstair.util import moments

# Bounds the idle connections to one address.
MAX_IDLE_CONNECTIONS = 256
# Longest body that is sent in one piece with its head.
COPIED_BYTES = 65536
# How long the answer to a connection's first question is waited for.
QUESTION_LIMIT_S = 0.25
# Nine digits are more than any timeout.
_KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout=(\d{1,9})(?!\d)')


class Connection(typing.NamedTuple):
    """A connection to an upstream."""

    stream: trio.abc.Stream
    # The moment just before it was opened, None if that is not known.
    opened_at: int | None


class Question(typing.NamedTuple):
    """A request without a body that is sent on each new connection first."""

    request: httpx.Request
    # Called before it is sent; may raise, and then nothing is sent.
    check: collections.abc.Callable[[], None]
    # Called with the connection, and the status and body of the answer.
    record: collections.abc.Callable[[Connection, int, bytes], None]


Accepts = collections.abc.Callable[[Connection], bool]


def accept_all(_: Connection) -> bool:
    """Accept any idle connection."""
    return True


class _IdleConnection(typing.NamedTuple):
    """An idle connection, since when it is idle, and when it expires."""

    stream: trio.abc.Stream
    kept_at_s: float
    expires_at_s: float


class ResponseBody(httpx.AsyncByteStream):
    """The body of one response, streamed.

    Each item holds the data of one read. If the upstream closes too early,
    iterating raises UpstreamError with MAY_HAVE_RUN.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        parser: response_parser.ResponseParser,
        release: collections.abc.Callable[[trio.abc.Stream], None],
    ) -> None:
        self._stream = stream
        self._parser = parser
        self._release = release
        self._closed = False

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        parser = self._parser
        while True:
            if parser.body_parts:
                data = b''.join(parser.body_parts)
                parser.body_parts.clear()
                yield data
            if parser.done:
                return
            await _receive_into(self._stream, parser)

    async def aclose(self) -> None:
        """Keep the connection if the body is whole, else close it.

        Closing it tells the upstream that the request is cancelled. A
        second call does nothing.
        """
        if self._closed:
            return
        self._closed = True
        if self._parser.done and self._parser.keep_alive:
            self._release(self._stream)
        else:
            await trio.aclose_forcefully(self._stream)


async def _receive(stream: trio.abc.Stream) -> bytes:
    """Return the next bytes, or none at the end of the stream.

    Trio's receive reads the socket before it waits. The next token has
    rarely arrived by then, so this waits first and saves a system call.
    """
    if not isinstance(stream, trio.SocketStream):
        return await stream.receive_some(response_parser.READ_BYTES)
    while True:
        await trio.lowlevel.wait_readable(stream.socket)
        try:
            return os.read(stream.socket.fileno(), response_parser.READ_BYTES)
        except BlockingIOError:
            continue


async def _receive_into(
    stream: trio.abc.Stream, parser: response_parser.ResponseParser
) -> None:
    """Read once from the stream and parse what came."""
    try:
        data = await _receive(stream)
    except (OSError, trio.BrokenResourceError) as error:
        raise errors.ConnectionBrokenError(
            f'{type(error).__name__} while reading'
        ) from error
    if not data and not parser.on_close():
        raise errors.ConnectionBrokenError(
            'the upstream closed the connection'
        )
    if data:
        parser.feed(data)


async def _receive_headers(
    stream: trio.abc.Stream, parser: response_parser.ResponseParser
) -> None:
    while not parser.headers_done:
        await _receive_into(stream, parser)


def _encode_head(request: httpx.Request) -> bytes:
    # A relayed target is sent as received, not normalized by httpx.
    target = request.extensions.get('target', request.url.raw_path)
    lines = [b'%s %s HTTP/1.1' % (request.method.encode(), target)]
    lines += [b'%s: %s' % pair for pair in request.headers.raw]
    return b'\r\n'.join(lines) + b'\r\n\r\n'


async def _send_request(
    stream: trio.abc.Stream, request: httpx.Request
) -> None:
    """Send a request; a long body is sent without a copy of it."""
    if len(request.content) <= COPIED_BYTES:
        await stream.send_all(_encode_head(request) + request.content)
        return
    await stream.send_all(_encode_head(request))
    await stream.send_all(request.content)


def _make_parser(
    answer_id: bytes | None, was_kept: bool
) -> response_parser.ResponseParser:
    """Return the parser of what comes on a connection from now on."""
    if answer_id is None:
        return response_parser.ResponseParser()
    watch = foreign_responses.Watch(answer_id, was_kept)
    return response_parser.ResponseParser(answer_id, watch.record)


class Transport(httpx.AsyncBaseTransport):
    """An httpx transport with a pool of idle connections for each address.

    Request extensions:

    - ``fresh``: open a new connection. Requests that must not be repeated
      need it, as an idle connection may close just after the send.
    - ``accepts``: called with an idle Connection; one for which it returns
      False is closed.
    - ``ask_first``: a Question for a new connection. Without an answer in
      QUESTION_LIMIT_S another connection is opened.
    - ``before_send``: called before the first byte is sent, with no await
      in between. It may raise, and then nothing is sent.
    - ``record_send``: called after that, as the first byte is written.
    - ``connect_s``: the time limit for connecting.
    - ``answer_id``: the request's id; a response without it is dropped.
    - ``target``: the request target, sent as it is.
    - ``silence_s``: the time without a response after which the connector
      is asked about the path.
    - ``ends_with_path``: whether the request is given up if its path is
      lost.

    The response's extension ``connection`` is the one that it came on, and
    ``was_kept`` says whether that had carried another request before, and
    ``opened_at`` gives the moment just before it was opened, None if that is
    not known.
    ``ends_with_connection`` says whether the body has neither a length nor
    chunks.
    """

    def __init__(self, connector: connectors.Connector, idle_s: float) -> None:
        self._connector = connector
        self._idle_s = idle_s
        self._idle: dict[
            tuple[str, int], collections.deque[_IdleConnection]
        ] = {}
        self._opened_at: weakref.WeakKeyDictionary[trio.abc.Stream, int] = (
            weakref.WeakKeyDictionary()
        )

    def _take_idle(
        self, url: httpx.URL, accepts: Accepts
    ) -> trio.abc.Stream | None:
        """Remove and return an open idle connection, or None."""
        idle = self._idle.get((url.host, url.port or 0))
        now_s = trio.current_time()
        while idle:
            stream, _, expires_at_s = idle.pop()
            if (
                now_s < expires_at_s
                and not connectors.is_unusable(stream)
                and accepts(self._connection(stream))
            ):
                return stream
            connectors.discard(stream)
        return None

    async def _connect(self, request: httpx.Request) -> trio.abc.Stream:
        opened_at = moments.next_moment()
        stream = await self._connector.connect(
            request.url, request.extensions.get('connect_s')
        )
        self._opened_at[stream] = opened_at
        return stream

    async def _open(self, request: httpx.Request) -> trio.abc.Stream:
        """Return a new connection, after the question for it, if any."""
        stream = await self._connect(request)
        question = request.extensions.get('ask_first')
        if question is None:
            return stream
        if await self._ask(stream, question) and not connectors.is_unusable(
            stream
        ):
            return stream
        await trio.aclose_forcefully(stream)
        return await self._connect(request)

    async def _ask(self, stream: trio.abc.Stream, question: Question) -> bool:
        """Ask a question; return whether the connection can be used on."""
        parser = response_parser.ResponseParser()
        body = ResponseBody(stream, parser, lambda _: None)
        try:
            question.check()
        except BaseException:
            await trio.aclose_forcefully(stream)
            raise
        try:
            with trio.move_on_after(QUESTION_LIMIT_S):
                await stream.send_all(_encode_head(question.request))
                await _receive_headers(stream, parser)
                data = b''.join([part async for part in body])
                question.record(self._connection(stream), parser.status, data)
                return parser.keep_alive
        except (errors.UpstreamError, trio.BrokenResourceError):
            # Nothing of the request was sent; it goes on another connection.
            return False
        except BaseException:
            await trio.aclose_forcefully(stream)
            raise
        return False

    def _connection(self, stream: trio.abc.Stream) -> Connection:
        return Connection(stream, self._opened_at.get(stream))

    def _keep_idle(
        self,
        url: httpx.URL,
        stream: trio.abc.Stream,
        parser: response_parser.ResponseParser,
    ) -> None:
        """Add a connection to the pool; close the oldest one if it is full."""
        self._add_idle(
            (url.host, url.port or 0), stream, self._idle_limit_s(parser)
        )

    def _add_idle(
        self, address: tuple[str, int], stream: trio.abc.Stream, limit_s: float
    ) -> None:
        idle = self._idle.setdefault(address, collections.deque())
        now_s = trio.current_time()
        idle.append(_IdleConnection(stream, now_s, now_s + limit_s))
        if len(idle) > MAX_IDLE_CONNECTIONS:
            connectors.discard(idle.popleft().stream)

    def _idle_limit_s(self, parser: response_parser.ResponseParser) -> float:
        """Return how long a connection may be idle before its reuse."""
        match = _KEEP_ALIVE_TIMEOUT.search(parser.header(b'keep-alive') or b'')
        if match is None:
            return self._idle_s
        # Half, so that the request arrives before the upstream closes.
        return min(self._idle_s, int(match[1]) / 2)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address (HOST:PORT)."""
        host, _, port = address.rpartition(':')
        for idle in self._idle.pop((host, int(port)), ()):
            connectors.discard(idle.stream)

    async def check_reachable(self, url: httpx.URL, limit_s: float) -> None:
        """Raise UnreachableError if no new connection opens in time.

        It is closed at once, as some upstreams serve one at a time.
        """
        stream = await self._connector.connect(url, limit_s)
        await trio.aclose_forcefully(stream)

    def add_idle(self, address: str, stream: trio.abc.Stream) -> None:
        """Keep a new connection to an address (HOST:PORT) for a request."""
        host, _, port = address.rpartition(':')
        self._add_idle((host, int(port)), stream, self._idle_s)

    def close_idle_where(
        self,
        is_obsolete: collections.abc.Callable[
            [str, trio.abc.Stream, float], bool
        ],
    ) -> None:
        """Close the idle connections for which is_obsolete returns True.

        It is given their address (HOST:PORT), the connection, and since when
        that has been idle, by Trio's clock.
        """
        for (host, port), idle in self._idle.items():
            for one in list(idle):
                if is_obsolete(f'{host}:{port}', one.stream, one.kept_at_s):
                    idle.remove(one)
                    connectors.discard(one.stream)

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request and return once the response headers are complete.

        The request body must be in memory. Raise UnreachableError if no
        connection opens, and UpstreamError with MAY_HAVE_RUN for a failure
        after the send began.
        """
        stream = None
        if not request.extensions.get('fresh'):
            stream = self._take_idle(
                request.url, request.extensions.get('accepts', accept_all)
            )
        was_kept = stream is not None
        if stream is None:
            stream = await self._open(request)
        try:
            return await self._exchange(stream, request, was_kept)
        except BaseException:
            await trio.aclose_forcefully(stream)
            raise

    async def _exchange(
        self, stream: trio.abc.Stream, request: httpx.Request, was_kept: bool
    ) -> httpx.Response:
        check = request.extensions.get('before_send')
        if check is not None:
            check()
        record_send = request.extensions.get('record_send')
        if record_send is not None:
            record_send()
        try:
            await _send_request(stream, request)
        except trio.BrokenResourceError as error:
            raise errors.ConnectionBrokenError(
                'the connection broke while sending'
            ) from error
        parser = _make_parser(request.extensions.get('answer_id'), was_kept)
        await self._receive_headers(stream, parser, request)
        if request.method == 'HEAD':
            # Its headers may give a length, but no body follows.
            parser.done = True
        body = ResponseBody(
            stream,
            parser,
            lambda idle: self._keep_idle(request.url, idle, parser),
        )
        return httpx.Response(
            parser.status,
            headers=parser.headers,
            stream=body,
            extensions={
                'connection': stream,
                'was_kept': was_kept,
                'opened_at': self._opened_at.get(stream),
                'ends_with_connection': parser.body_ends_at_close
                and not parser.done,
            },
        )

    async def _receive_headers(
        self,
        stream: trio.abc.Stream,
        parser: response_parser.ResponseParser,
        request: httpx.Request,
    ) -> None:
        """Read the headers; have the path checked while nothing comes."""
        silence_s = request.extensions.get('silence_s')
        with trio.move_on_after(
            math.inf if silence_s is None else silence_s
        ) as silence:
            await _receive_headers(stream, parser)
        if silence.cancelled_caught:
            await self._receive_unless_lost(stream, parser, request)
        self._connector.record_heard(stream)

    async def _receive_unless_lost(
        self,
        stream: trio.abc.Stream,
        parser: response_parser.ResponseParser,
        request: httpx.Request,
    ) -> None:
        """Read the headers of a silent connection.

        Raise UpstreamError if its path is lost and the request ends with it.
        """
        failure: errors.UpstreamError | None = None

        async def watch_path(scope: trio.CancelScope) -> None:
            nonlocal failure
            await self._connector.wait_path_lost(request.url, stream)
            if request.extensions.get('ends_with_path'):
                failure = response_parser.may_have_run(
                    'the path to the upstream is lost'
                )
                scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_path, nursery.cancel_scope)
            try:
                await _receive_headers(stream, parser)
                failure = None
            except errors.UpstreamError as error:
                # The nursery would wrap it in an exception group.
                failure = error
            nursery.cancel_scope.cancel()
        if failure is not None and not parser.headers_done:
            raise failure

    async def aclose(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            while idle:
                await trio.aclose_forcefully(idle.pop().stream)


def _hold_nothing(_: int) -> None:
    pass


async def read_all(
    response: httpx.Response,
    limit_bytes: int,
    hold: collections.abc.Callable[[int], None] = _hold_nothing,
) -> bytes:
    """Return the whole body; raise UpstreamError if it is too long.

    hold is called with the size of each part, and may raise.
    """
    body_parts = []
    size = 0
    async for part in response.stream:
        body_parts.append(part)
        size += len(part)
        hold(len(part))
        if size > limit_bytes:
            raise errors.UpstreamError(
                'the answer is too long', verdicts.Verdict.RAN
            )
    return b''.join(body_parts)


def make_transport(
    connector: connectors.Connector | None = None, idle_s: float = math.inf
) -> Transport:
    """Return a transport that has no connections yet.

    A connection is reused if it was idle for less than idle_s and for less
    than half of the timeout in the upstream's Keep-Alive header.
    """
    return Transport(connector or connectors.DirectConnector(), idle_s)
