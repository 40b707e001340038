"""A table of answers by which a replica denies a run, as it should or not."""

import collections
import contextlib
import itertools
import typing

import trio

READ_BYTES = 16384
WORK_S = 0.002
STATUSES = (200, 400, 408, 421, 429, 500, 502, 503, 504)
# Where the mark stands, and how often, by a name for each.
MARKS: dict[str, tuple[bytes, ...]] = {
    'none': (),
    'one': (b'1',),
    'zero': (b'0',),
    'no': (b'false',),
    'empty': (b'',),
    'list': (b'1, 1',),
    'twice': (b'1', b'1'),
    'both': (b'1', b'0'),
    'interim': (),
    'trailer': (),
}
CARRIES = ('nothing', 'signature', 'events')
MOMENTS = ('early', 'at-once', 'after-work')
CONNECTIONS = ('kept', 'closed')
BODIES = ('length', 'chunks')
MARK_LINE = b'X-Not-Executed: %s\r\n'


class Cell(typing.NamedTuple):
    """One answer, and whether its replica ran the request."""

    status: int
    mark: str
    carries: str
    moment: str
    connection: str
    body: str
    ran: bool

    @property
    def name(self) -> str:
        """Return a name of the cell in which an id can be written."""
        return '-'.join(map(str, self))

    @property
    def is_proof(self) -> bool:
        """Return whether a VM may tell by it that nothing has run."""
        if self.carries != 'nothing':
            return False
        if self.status == 421:
            return self.mark in ('none', 'one', 'interim', 'trailer')
        return self.status in (429, 503) and self.mark == 'one'


def table(**fixed: typing.Any) -> list[Cell]:
    """Return all cells that have these fields, and can be sent."""
    cells = itertools.starmap(
        Cell,
        itertools.product(
            STATUSES,
            MARKS,
            CARRIES,
            MOMENTS,
            CONNECTIONS,
            BODIES,
            (True, False),
        ),
    )
    return [cell for cell in cells if _can_be(cell) and _has(cell, fixed)]


def _can_be(cell: Cell) -> bool:
    if cell.mark == 'trailer' and cell.body != 'chunks':
        return False
    if cell.status == 200:
        # Without a mark it is an answer like any other.
        return cell.mark not in ('none', 'interim', 'trailer')
    return True


def _has(cell: Cell, fixed: dict[str, typing.Any]) -> bool:
    return all(getattr(cell, name) == fixed[name] for name in fixed)


def answer_of(cell: Cell, request_id: bytes) -> bytes:
    """Return the bytes of a cell's answer to a request."""
    lines = [b'HTTP/1.1 %d Said\r\n' % cell.status]
    lines += [MARK_LINE % value for value in MARKS[cell.mark]]
    lines.append(b'X-Request-Id: %s\r\n' % request_id)
    if cell.carries == 'signature':
        lines.append(b'X-Response-Signature: signed\r\n')
    if cell.carries == 'events':
        lines.append(b'Content-Type: text/event-stream\r\n')
    if cell.connection == 'closed':
        lines.append(b'Connection: close\r\n')
    interim = b''
    if cell.mark == 'interim':
        interim = b'HTTP/1.1 103 Early Hints\r\n%s\r\n' % (MARK_LINE % b'1')
    return interim + b''.join(lines) + _body_of(cell)


def _body_of(cell: Cell) -> bytes:
    body = b'id: 1\ndata: x\n\n' if cell.carries == 'events' else b'said'
    if cell.body == 'length':
        return b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
    trailer = MARK_LINE % b'1' if cell.mark == 'trailer' else b''
    return b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n' % (
        len(body),
        body,
        trailer,
    )


class Denier:
    """Stands before a replica; answers requests of some ids by their cells.

    All else it passes on.
    """

    def __init__(self, address: str, cells: dict[str, Cell]) -> None:
        host, _, port = address.partition(':')
        self._behind = (host, int(port))
        self._cells = cells
        # Arrivals and runs, by id.
        self.came: collections.Counter[str] = collections.Counter()
        self.runs: collections.Counter[str] = collections.Counter()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        behind = await trio.open_tcp_stream(*self._behind)
        async with stream, behind, trio.open_nursery() as nursery:
            nursery.start_soon(_copy, behind, stream)
            # A VM may reset a connection; its nursery would hide which error.
            with contextlib.suppress(
                trio.BrokenResourceError, trio.ClosedResourceError
            ):
                await self._serve(stream, behind)
            nursery.cancel_scope.cancel()

    async def _serve(
        self, stream: trio.SocketStream, behind: trio.SocketStream
    ) -> None:
        # VMs send the head of a request in one piece.
        while data := await stream.receive_some(READ_BYTES):
            head, _, rest = data.partition(b'\r\n\r\n')
            request_id = _header(head, b'x-request-id').decode()
            cell = self._cells.get(request_id)
            if cell is None:
                await behind.send_all(data)
                continue
            length = int(_header(head, b'content-length') or 0)
            await self._answer(stream, cell, request_id, length - len(rest))
            if cell.connection == 'closed':
                return

    async def _answer(
        self,
        stream: trio.SocketStream,
        cell: Cell,
        request_id: str,
        unread_bytes: int,
    ) -> None:
        self.came[request_id] += 1
        answer = answer_of(cell, request_id.encode())
        if cell.moment == 'early':
            await stream.send_all(answer)
        while unread_bytes > 0:
            unread_bytes -= len(await stream.receive_some(unread_bytes))
        self.runs[request_id] += cell.ran
        if cell.moment == 'after-work':
            await trio.sleep(WORK_S)
        if cell.moment != 'early':
            await stream.send_all(answer)


def _header(head: bytes, wanted: bytes) -> bytes:
    for line in head.split(b'\r\n'):
        name, _, value = line.partition(b':')
        if name.lower() == wanted:
            return value.strip()
    return b''


async def _copy(source: trio.abc.Stream, target: trio.abc.Stream) -> None:
    with contextlib.suppress(
        trio.BrokenResourceError, trio.ClosedResourceError
    ):
        while data := await source.receive_some(READ_BYTES):
            await target.send_all(data)


@contextlib.asynccontextmanager
async def before(
    site: typing.Any, cells: dict[str, Cell]
) -> typing.AsyncIterator[list[Denier]]:
    """Yield what VMs reach in place of each replica of a site."""
    found = []
    async with trio.open_nursery() as nursery:
        for replica in site.replicas:
            denier = Denier(replica.address, cells)
            (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
            port = listener.socket.getsockname()[1]
            replica.address = f'127.0.0.1:{port}'
            site.register(replica)
            nursery.start_soon(trio.serve_listeners, denier.serve, [listener])
            found.append(denier)
        yield found
        nursery.cancel_scope.cancel()
