"""Hold one HTTP request and its response, on the server's ASGI interface.

Relayed responses bypass Quart's response objects, whose cost per chunk
exceeds that of the relay; see docs/design/relay.md.
"""

import collections.abc
import email.message
import json
import math
import typing

import trio

from gentianstair import errors
from gentianstair.core import byte_account
from gentianstair.util import connections

Headers = list[tuple[bytes, bytes]]
TIMEOUT_HEADER = 'x-request-timeout-s'
MAX_HEADERS_BYTES = 32768
HTTP_HEADERS_TOO_LARGE = 431
HTTP_CONTENT_TOO_LARGE = 413
HTTP_TIMEOUT = 408
# Status, only in logs and metrics, of requests without a complete response:
# the caller disconnected, or this process closed the connection.
HTTP_CALLER_DISCONNECTED = 499
HTTP_CLOSED_BY_SERVER = 444
# Most of a body that is given to the server at once, which copies it.
WRITE_BYTES = 32768


class CallerDisconnectedError(errors.GentianstairError):
    """The response can no longer reach its caller.

    The caller disconnected or stopped reading, or this process closed the
    connection; ``Exchange.connection`` tells which.
    """


class Exchange:
    """One HTTP request and its response.

    ``started`` is true once the response's status was sent; a later failure
    can only be reported in the body. ``ended`` is true from the sending of
    its last part on.
    """

    def __init__(
        self,
        scope: dict[str, typing.Any],
        receive: collections.abc.Callable,
        send: collections.abc.Callable,
    ) -> None:
        self.path: str = scope['path']
        self.method: str = scope['method']
        self.raw_path: bytes = scope.get('raw_path', self.path.encode())
        self.query: bytes = scope.get('query_string', b'')
        self.raw_headers: Headers = list(scope['headers'])
        self.connection = connections.of_scope(scope)
        self.started = False
        self.ended = False
        # Called when the response starts; returns whether to close the
        # connection after it.
        self.should_close: collections.abc.Callable[[], bool] | None = None
        # What is held of the request and its answer, if that is bounded.
        self.holding: byte_account.Holding | None = None
        self._progress = connections.progress_of_scope(scope)
        self._body_read = False
        self._is_http1 = scope.get('http_version', '1.1').startswith('1')
        self._receive = receive
        self._send = send

    def check_header_size(self, limit_bytes: int = MAX_HEADERS_BYTES) -> None:
        """Raise RequestError if the headers together are too long.

        The server's own limit only applies to headers received in parts.
        """
        size_bytes = sum(
            len(key) + len(value) for key, value in self.raw_headers
        )
        if size_bytes > limit_bytes:
            raise errors.RequestError(
                HTTP_HEADERS_TOO_LARGE,
                'headers-too-long',
                f'headers may have {limit_bytes} bytes',
            )

    def header(self, name: str) -> str | None:
        """Return a header's value, or None.

        Raise RequestError if it is given more than once, as two parsers
        could use different values.
        """
        wanted_name = name.encode()
        values = [
            value for key, value in self.raw_headers if key == wanted_name
        ]
        if len(values) > 1:
            raise errors.RequestError(
                400, 'duplicate-header', f'{name} is given more than once'
            )
        return values[0].decode('latin-1') if values else None

    def request_timeout_s(self, limit_s: float) -> float:
        """Return how long the caller waits for the complete response."""
        text = self.header(TIMEOUT_HEADER)
        if text is None:
            return limit_s
        try:
            value_s = float(text)
        except ValueError:
            value_s = math.nan
        if not 0 < value_s <= limit_s:
            raise errors.RequestError(
                400,
                'impossible-deadline',
                f'{TIMEOUT_HEADER} must be above 0 and at most {limit_s:g}',
            )
        return value_s

    def _declared_bytes(self) -> int:
        text = self.header('content-length')
        return int(text) if text and text.isdigit() else 0

    async def read_body(self, limit_bytes: int, timeout_s: float) -> bytes:
        """Return the whole body.

        Raise RequestError as soon as it is known to be too long, or if the
        caller takes longer than timeout_s to send it.
        """
        too_long = errors.RequestError(
            HTTP_CONTENT_TOO_LARGE,
            'body-too-long',
            f'a body may have {limit_bytes} bytes',
        )
        if self._declared_bytes() > limit_bytes:
            raise too_long
        body = bytearray()
        holding = self.holding
        with trio.move_on_after(timeout_s) as scope:
            if holding is not None:
                holding.wait_for_caller(scope.cancel)
            more = True
            while more:
                message = await self._receive()
                if message['type'] == 'http.disconnect':
                    raise CallerDisconnectedError(
                        'the caller disconnected while sending its body'
                    )
                part = message.get('body', b'')
                if len(body) + len(part) > limit_bytes:
                    raise too_long
                self._hold(len(part))
                body += part
                more = message.get('more_body', False)
            self._body_read = True
            self._progress.note_whole()
            if holding is not None:
                holding.settle()
        if holding is not None and holding.is_evicted:
            raise byte_account.no_room_for_body()
        if scope.cancelled_caught:
            raise errors.RequestError(
                HTTP_TIMEOUT,
                'body-timeout',
                f'the body did not arrive within {timeout_s:g} s',
            )
        return bytes(body)

    def _hold(self, size_bytes: int) -> None:
        """Hold more bytes of the body; raise RequestError without room."""
        if self.holding is None:
            return
        self.holding.record_bytes(size_bytes)
        if not self.holding.grow(size_bytes):
            raise byte_account.no_room_for_body()

    def disconnect_status(self) -> int:
        """Return the logged status of a request whose connection ended."""
        if self.connection.is_closed_here:
            return HTTP_CLOSED_BY_SERVER
        return HTTP_CALLER_DISCONNECTED

    async def wait_disconnected(self) -> None:
        """Wait for the connection to end, discarding the rest of the body."""
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                return

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and the headers."""
        self.started = True
        if self.should_close is not None and self.should_close():
            headers = [*headers, (b'connection', b'close')]
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the body, waiting while the caller reads slowly."""
        for begin in range(0, len(data), WRITE_BYTES):
            part = data[begin : begin + WRITE_BYTES]
            await self._send(
                {'type': 'http.response.body', 'body': part, 'more_body': True}
            )
            if self.holding is not None:
                self.holding.record_bytes(len(part))

    async def end(self, data: bytes = b'') -> None:
        """Send the last part of the body.

        On HTTP/1 the last part is shielded from cancellation: the server
        would otherwise neither read the next request nor close the
        connection. The server's send timeout bounds the wait.
        """
        if data:
            await self.write(data)
        self.ended = True
        with trio.CancelScope(shield=self._is_http1):
            await self._send_last()

    async def _send_last(self) -> None:
        last_part = {'type': 'http.response.body', 'body': b''}
        if self._body_read:
            await self._send(last_part)
            return
        async with trio.open_nursery() as nursery:
            # The server queues the end of the request behind the parts of
            # its body, so a full queue must be drained.
            nursery.start_soon(self.wait_disconnected)
            await self._send(last_part)
            nursery.cancel_scope.cancel()

    async def respond(
        self,
        status: int,
        content_type: str,
        body: bytes,
        extra_headers: Headers = (),
    ) -> None:
        """Send a complete response."""
        headers = [
            (b'content-type', content_type.encode()),
            (b'content-length', b'%d' % len(body)),
            *extra_headers,
        ]
        await self.start(status, headers)
        await self.end(body)

    async def send_error(
        self, error: errors.RequestError, request_id: str
    ) -> None:
        """Send an error as a problem response with its verdict."""
        body, headers = problem_response(error, request_id)
        await self.respond(
            error.status, 'application/problem+json', body, headers
        )


def problem_response(
    error: errors.RequestError, request_id: str
) -> tuple[bytes, Headers]:
    """Return the body and headers of a problem response (RFC 9457)."""
    content = {**error.to_problem(), 'request_id': request_id}
    headers = [
        (b'x-request-id', request_id.encode()),
        (b'x-verdict', error.verdict.name.encode()),
    ]
    if error.retry_after_s is not None:
        # The header takes whole seconds; rounded down, the caller would retry
        # too early.
        after_s = math.ceil(error.retry_after_s)
        headers.append((b'retry-after', b'%d' % max(after_s, 1)))
    if error.status == 401:
        headers.append((b'www-authenticate', b'Bearer'))
    return json.dumps(content).encode(), headers


def media_type(content_type: str | None) -> str:
    """Return the media type without parameters, in lower case.

    >>> media_type('application/JSON; charset=utf-8')
    'application/json'
    """
    message = email.message.Message()
    message['content-type'] = content_type or ''
    return message.get_content_type()
