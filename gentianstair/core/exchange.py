"""Hold one caller's request and answer, on the server's ASGI interface.

Relayed answers bypass Quart's response objects, which cost more than the
relay itself for each chunk; see docs/design/relay.md.
"""

import collections.abc
import email.message
import json
import math
import typing

import trio

from gentianstair import errors
from gentianstair.util import connections

Headers = list[tuple[bytes, bytes]]
TIMEOUT_HEADER = 'x-request-timeout-s'
MAX_HEADERS_BYTES = 32768
HTTP_HEADERS_TOO_LARGE = 431
HTTP_CONTENT_TOO_LARGE = 413
HTTP_TIMEOUT = 408
MAX_ID_LENGTH = 128
# Status, in logs and metrics alone, of requests that have no whole answer:
# their callers left, or this process closed their connections.
HTTP_CALLER_DISCONNECTED = 499
HTTP_CLOSED_BY_SERVER = 444


class CallerDisconnectedError(errors.GentianstairError):
    """Report that an answer can't reach its caller any more.

    The caller hung up or stopped reading, or this process closed the
    connection; ``Exchange.connection`` knows which.
    """


class Exchange:
    """One request of a caller and the answer to it.

    ``started`` tells whether the answer's status has been sent, after which
    a failure can only be told inside the body.
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
        # Asked when the answer starts: whether its connection is to close.
        self.should_close: collections.abc.Callable[[], bool] | None = None
        self._body_read = False
        self._is_http1 = scope.get('http_version', '1.1').startswith('1')
        self._receive = receive
        self._send = send

    def check_header_size(self) -> None:
        """Raise RequestError when the headers are too long together.

        The server's own limit holds for headers that come in parts only.
        """
        size = sum(len(key) + len(value) for key, value in self.raw_headers)
        if size > MAX_HEADERS_BYTES:
            raise errors.RequestError(
                HTTP_HEADERS_TOO_LARGE,
                'headers-too-long',
                f'headers may have {MAX_HEADERS_BYTES} bytes',
            )

    def header(self, name: str) -> str | None:
        """Return a header's value, or None.

        Raise RequestError when it is there twice: two readers could
        otherwise take different ones.
        """
        wanted = name.encode()
        found = [value for key, value in self.raw_headers if key == wanted]
        if len(found) > 1:
            raise errors.RequestError(
                400, 'duplicate-header', f'{name} is given more than once'
            )
        return found[0].decode('latin-1') if found else None

    def request_timeout_s(self, limit_s: float) -> float:
        """Return how long the caller waits for its whole answer."""
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

        Raise RequestError as soon as it is known to be too long, and when
        the caller takes longer than timeout_s to send it.
        """
        too_long = errors.RequestError(
            HTTP_CONTENT_TOO_LARGE,
            'body-too-long',
            f'a body may have {limit_bytes} bytes',
        )
        if self._declared_bytes() > limit_bytes:
            raise too_long
        parts: list[bytes] = []
        size = 0
        with trio.move_on_after(timeout_s) as scope:
            more = True
            while more:
                message = await self._receive()
                if message['type'] == 'http.disconnect':
                    raise CallerDisconnectedError('hung up while sending')
                parts.append(message.get('body', b''))
                size += len(parts[-1])
                if size > limit_bytes:
                    raise too_long
                more = message.get('more_body', False)
            self._body_read = True
        if scope.cancelled_caught:
            raise errors.RequestError(
                HTTP_TIMEOUT,
                'body-timeout',
                f'the body did not arrive within {timeout_s:g} s',
            )
        return b''.join(parts)

    def disconnect_status(self) -> int:
        """Return the status of a request whose connection has ended."""
        if self.connection.is_closed_here:
            return HTTP_CLOSED_BY_SERVER
        return HTTP_CALLER_DISCONNECTED

    async def wait_disconnected(self) -> None:
        """Return when the connection has ended; drop what is left to read."""
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                return

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""
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
        """Send a part of the body; waits while the caller reads slowly."""
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def end(self, data: bytes = b'') -> None:
        """Send the last part of the body.

        What the server does after it is not cancelled half way, or the
        connection would neither be read on nor be closed. It waits no
        longer than the server has a caller take what it sends.
        """
        if data:
            await self.write(data)
        self.ended = True
        with trio.CancelScope(shield=self._is_http1):
            await self._send_last()

    async def _send_last(self) -> None:
        last = {'type': 'http.response.body', 'body': b''}
        if self._body_read:
            await self._send(last)
            return
        async with trio.open_nursery() as nursery:
            # The server tells the end of the request behind the parts of
            # its body, in a queue that may be full.
            nursery.start_soon(self.wait_disconnected)
            await self._send(last)
            nursery.cancel_scope.cancel()

    async def respond(
        self, status: int, content_type: str, body: bytes, extra: Headers = ()
    ) -> None:
        """Send a whole answer."""
        headers = [
            (b'content-type', content_type.encode()),
            (b'content-length', b'%d' % len(body)),
            *extra,
        ]
        await self.start(status, headers)
        await self.end(body)

    async def send_error(
        self, error: errors.RequestError, request_id: str
    ) -> None:
        """Send a problem body that carries the verdict."""
        body, extra = problem_response(error, request_id)
        await self.respond(
            error.status, 'application/problem+json', body, extra
        )


def problem_response(
    error: errors.RequestError, request_id: str
) -> tuple[bytes, Headers]:
    """Return body and headers of a refusal (RFC 9457)."""
    content = {**error.to_problem(), 'request_id': request_id}
    headers = [
        (b'x-request-id', request_id.encode()),
        (b'x-verdict', error.verdict.name.encode()),
    ]
    if error.retry_after_s is not None:
        # The header takes whole seconds; rounding up keeps it honest.
        after = math.ceil(error.retry_after_s)
        headers.append((b'retry-after', b'%d' % max(after, 1)))
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
