"""Speak a small part of HTTP/1.1 for the stand-ins of this review."""

import asyncio
import contextlib
import typing

LINE_LIMIT = 1 << 20
REASONS = {
    200: 'OK',
    201: 'Created',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
    421: 'Misdirected Request',
    429: 'Too Many Requests',
    503: 'Service Unavailable',
}


class Message(typing.NamedTuple):
    """A request or a response: its first line, headers and body."""

    first: tuple[str, str, str]
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str, default: str = '') -> str:
        """Return the first value of a header, its name in lower case."""
        for found, value in self.headers:
            if found == name:
                return value
        return default


class Closed(Exception):
    """Tell that the other side closed or reset the channel."""


async def _line(reader: asyncio.StreamReader) -> bytes:
    try:
        line = await reader.readline()
    except (OSError, ValueError, asyncio.LimitOverrunError) as error:
        raise Closed(repr(error)) from error
    if not line.endswith(b'\n'):
        raise Closed('end of channel')
    return line.rstrip(b'\r\n')


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[tuple[str, str, str], list[tuple[str, str]]]:
    """Return the first line and the headers of a message."""
    parts = (await _line(reader)).decode('latin-1').split(' ', 2)
    first = (*parts, '', '')[:3]
    headers = []
    while line := await _line(reader):
        name, _, value = line.decode('latin-1').partition(':')
        headers.append((name.strip().lower(), value.strip()))
    return first, headers


async def _exactly(reader: asyncio.StreamReader, size: int) -> bytes:
    try:
        return await reader.readexactly(size)
    except (OSError, asyncio.IncompleteReadError) as error:
        raise Closed(repr(error)) from error


async def read_message(
    reader: asyncio.StreamReader, is_request: bool
) -> Message:
    """Return one whole message; raise Closed."""
    first, headers = await read_head(reader)
    message = Message(first, headers, b'')
    if message.header('transfer-encoding').lower() == 'chunked':
        body = b''
        while size := int((await _line(reader)).split(b';')[0], 16):
            body += await _exactly(reader, size)
            await _line(reader)
        while await _line(reader):
            pass
        return message._replace(body=body)
    length = message.header('content-length')
    if length:
        return message._replace(body=await _exactly(reader, int(length)))
    if is_request:
        return message
    try:
        return message._replace(body=await reader.read())
    except OSError as error:
        raise Closed(repr(error)) from error


def encode_response(
    status: int, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Other")}']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


LAST_CHUNK = b'0\r\n\r\n'


def encode_chunked_head(status: int, headers: list[tuple[str, str]]) -> bytes:
    """Return the head of a response whose body comes in chunks."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Other")}']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append('Transfer-Encoding: chunked')
    return '\r\n'.join([*lines, '', '']).encode('latin-1')


def encode_chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b'%x\r\n%b\r\n' % (len(data), data)


def encode_request(
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b'',
) -> bytes:
    """Return the bytes of a request."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers]
    if body or method in ('POST', 'PUT'):
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


Handler = typing.Callable[
    [Message, asyncio.StreamWriter], typing.Awaitable[bytes | None]
]


class Server:
    """Serves one request at a time on each channel.

    The handler returns the bytes to send, or None to close the channel. It
    is cancelled when the caller closes the channel meanwhile.
    """

    def __init__(self, handle: Handler) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self.address = ''

    async def start(self, host: str = '127.0.0.1') -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, host, 0, limit=LINE_LIMIT, backlog=512
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Close the listener and all channels, as a process that exits."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve_channel(reader, writer)
        except (Closed, OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(Exception):
                writer.close()

    async def _serve_channel(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            request = await read_message(reader, True)
            work = asyncio.ensure_future(self._handle(request, writer))
            ended = asyncio.ensure_future(_wait_end(reader))
            try:
                await asyncio.wait(
                    {work, ended}, return_when=asyncio.FIRST_COMPLETED
                )
                if not work.done():
                    return
                answer = work.result()
            finally:
                for one in (work, ended):
                    one.cancel()
                    with contextlib.suppress(
                        asyncio.CancelledError, Exception
                    ):
                        await one
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()


async def _wait_end(reader: asyncio.StreamReader) -> None:
    """Return once the other side has closed the channel."""
    while not reader.at_eof():
        if reader.exception() is not None:
            return
        await asyncio.sleep(0.01)


class Channel:
    """A channel of a requester, used for one request after the other."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address: str, limit_s: float = 1.0) -> 'Channel':
        """Connect; raise Closed."""
        host, _, port = address.rpartition(':')
        try:
            return cls(
                *await asyncio.wait_for(
                    asyncio.open_connection(host, int(port), limit=LINE_LIMIT),
                    limit_s,
                )
            )
        except (TimeoutError, OSError) as error:
            raise Closed(repr(error)) from error

    async def call(self, data: bytes, limit_s: float) -> Message:
        """Send a request and return its answer; raise Closed."""
        try:
            self.writer.write(data)
            return await asyncio.wait_for(
                read_message(self.reader, False), limit_s
            )
        except (TimeoutError, OSError) as error:
            raise Closed(repr(error)) from error

    def close(self) -> None:
        """Close the channel."""
        with contextlib.suppress(Exception):
            self.writer.close()
