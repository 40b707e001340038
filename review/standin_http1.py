"""Speak just enough HTTP/1.1 for stand-ins, on asyncio."""

import asyncio
import contextlib
import typing


class Request(typing.NamedTuple):
    """A request as a stand-in read it; names of headers in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the fields of the query."""
        pairs = self.target.partition('?')[2].split('&')
        found = (pair.partition('=') for pair in pairs if pair)
        return {name: value for name, _, value in found}


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers; raise EOFError at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        raise EOFError(f'{len(error.partial)} bytes of a head') from error
    first, *lines = raw.decode('latin-1').split('\r\n')[:-2]
    pairs = (line.partition(':') for line in lines)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_chunks(
    reader: asyncio.StreamReader,
) -> typing.AsyncIterator[bytes]:
    """Yield the chunks of a body, up to its end."""
    while True:
        line = await reader.readline()
        if not line.endswith(b'\n'):
            raise EOFError('in the size of a chunk')
        size = int(line.split(b';')[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Return a whole body with a length or in chunks; raise EOFError."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        return b''.join([part async for part in read_chunks(reader)])
    return await reader.readexactly(int(headers.get('content-length', 0)))


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Return the next request; raise EOFError at the end."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(' ')
    return Request(method, target, headers, await read_body(reader, headers))


def encode(
    status: int, headers: dict[str, str], body: bytes, reason: str = 'Told'
) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status} {reason}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


# Answers one request on a channel; returns whether to keep the channel.
Handler = typing.Callable[
    [Request, asyncio.StreamWriter], typing.Awaitable[bool]
]


class Server:
    """Listens at a loopback address and can be ended like a process.

    The address is none that connections come from, so that its port stays
    free while nothing listens there.
    """

    def __init__(self, handler: Handler, ip: str = '127.0.9.1') -> None:
        self._handler = handler
        self._ip = ip
        self._port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return where it listens, or did last."""
        return f'{self._ip}:{self._port}'

    async def start(self) -> None:
        """Listen at a free port, the same one at each start."""
        self._server = await asyncio.start_server(
            self._serve, self._ip, self._port, backlog=1000
        )
        self._port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """End at once: all channels are reset, new ones refused."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while await self._handler(await read_request(reader), writer):
                await writer.drain()
        except (EOFError, OSError, ValueError, asyncio.CancelledError):
            # The other side is gone, or this server was ended.
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()


class Answer(typing.NamedTuple):
    """What a caller got; status 0 is a closed channel with no answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    # Why it isn't whole; empty if it is.
    fault: str = ''


class Channel:
    """A caller's channel, kept for many requests."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self._host, self._port = host, int(port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        # Whole answers on the channel that is open now.
        self.answers = 0

    async def _open(self) -> None:
        self.answers = 0
        self._reader, self._writer = await asyncio.wait_for(
            asyncio.open_connection(self._host, self._port), 1.0
        )

    def close(self) -> None:
        """Close the channel, if one is open."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def call(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b'',
        limit_s: float = 6.0,
    ) -> Answer:
        """Send a request, on a new channel if none is open."""
        status, found, parts = 0, {}, []
        try:
            if self._writer is None:
                await self._open()
            assert self._writer is not None and self._reader is not None
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {value}' for name, value in headers.items()]
            if method == 'POST':
                lines.append(f'Content-Length: {len(body)}')
            head = '\r\n'.join(lines) + '\r\n\r\n'
            async with asyncio.timeout(limit_s):
                self._writer.write(head.encode() + body)
                await self._writer.drain()
                first, found = await read_head(self._reader)
                status = int(first.split(' ')[1])
                if 'chunked' in found.get('transfer-encoding', ''):
                    async for part in read_chunks(self._reader):
                        parts.append(part)
                else:
                    parts.append(await read_body(self._reader, found))
        except TimeoutError:
            self.close()
            return Answer(status, found, b''.join(parts), 'no answer in time')
        except (OSError, EOFError) as error:
            self.close()
            reason = f'closed: {type(error).__name__}'
            return Answer(status, found, b''.join(parts), reason)
        self.answers += 1
        if found.get('connection', '').lower() == 'close':
            self.close()
        return Answer(status, found, b''.join(parts))
