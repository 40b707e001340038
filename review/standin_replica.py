"""Stand in for replicas: plain ones, and ones that run a model."""

import asyncio
import json
import secrets
import time
import typing

import standin_http1 as http1
import standin_store as stores

HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3
PREFILL_TOKENS_PER_S = 36700.0


class Arrival(typing.NamedTuple):
    """A request of a caller that reached a replica, and what came of it."""

    at_s: float
    request_id: str
    replica: str
    # 'runs', 'full', 'no memory', '421' or 'prefill'.
    outcome: str


class Replica:
    """One replica, which registers itself, and runs what reaches it."""

    def __init__(
        self,
        store: stores.Store,
        service: str,
        zone: str,
        slots: int = 6,
        queue: int = 24,
        work_s: float = 0.09,
        stage: str = '',
    ) -> None:
        self.store = store
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.stage = stage
        self.state = 'ready'
        # Of a stream, and the time to its first event.
        self.pieces, self.piece_s, self.first_s = 8, 0.05, 0.2
        self.arrivals: list[Arrival] = []
        # When a request ended its work in order.
        self.done_s: dict[str, float] = {}
        self.active = 0
        # Called for each request; returns bytes to send in place of the
        # answer, after which the channel is closed, or None.
        self.spoil: typing.Callable[[http1.Request], bytes | None] = (
            lambda request: None
        )
        # Called after each answer; returns bytes that follow it late, when
        # the next answer on the channel is due, or None.
        self.add: typing.Callable[[http1.Request], bytes | None] = (
            lambda request: None
        )
        self._added: dict[asyncio.StreamWriter, bytes] = {}
        self.answers = 0
        self.is_up = False
        # The others of its service, by address, to fetch from.
        self.others: dict[str, Replica] = {}
        self._free = asyncio.Semaphore(slots)
        self.server = http1.Server(self._handle)
        self._begin()

    def _begin(self) -> None:
        self.name = f'i-{secrets.token_hex(4)}'
        self.born_ms = int(time.time() * 1000)
        self.active = 0
        self._free = asyncio.Semaphore(self.slots)
        self._changes: list[list] = []
        # The request of each handle that is kept.
        self.handles: dict[str, str] = {}

    async def start(self) -> None:
        """Listen and register, under a new name."""
        self._begin()
        await self.server.start()
        self.is_up = True
        self.register()

    def crash(self) -> str:
        """End at once; return the name, whose entry has yet to lapse."""
        self.is_up = False
        self.server.crash()
        return self.name

    async def lapse(self, name: str) -> None:
        """Remove an entry after three heartbeats of silence."""
        await asyncio.sleep(MISSED_HEARTBEATS * HEARTBEAT_S)
        self.store.delete('servers', name)

    def entry(self) -> dict[str, typing.Any]:
        """Return what the replica registers of itself."""
        entry: dict[str, typing.Any] = {
            'service': self.service,
            'address': self.server.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': 0,
            'born': self.born_ms,
        }
        if self.stage:
            entry['stage'] = self.stage
            entry['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        return entry

    def register(self) -> float:
        """Write the entry; return when the store acknowledged it."""
        return self.store.put('servers', self.name, json.dumps(self.entry()))

    def remove(self) -> float:
        """Take the entry away, as a replica that leaves."""
        return self.store.delete('servers', self.name)

    async def _handle(
        self, request: http1.Request, writer: asyncio.StreamWriter
    ) -> bool:
        added = self._added.pop(writer, None)
        if added is not None:
            writer.write(added)
            await writer.drain()
        keeps = await self._answer(request, writer)
        added = self.add(request)
        if keeps and added is not None:
            self._added[writer] = added
        return keeps

    async def _answer(
        self, request: http1.Request, writer: asyncio.StreamWriter
    ) -> bool:
        self.answers += 1
        spoiled = self.spoil(request)
        if spoiled is not None:
            writer.write(spoiled)
            await writer.drain()
            return False
        if request.path.startswith('/api/') or request.path == '/health':
            await self._handle_own(request, writer)
            return True
        expected = request.headers.get('x-expect-instance', self.name)
        if expected != self.name:
            self._note(request, '421')
            told = {'X-Instance-Id': self.name}
            writer.write(http1.encode(421, told, b''))
            return True
        is_prefill = request.headers.get('x-stage') == 'prefill'
        if is_prefill != (self.stage == 'prefill'):
            self._note(request, '421')
            told = {'X-Instance-Id': self.name}
            writer.write(http1.encode(421, told, b''))
            return True
        if is_prefill:
            await self._prefill(request, writer)
            return True
        if not self._takes_source(request):
            self._note(request, 'no memory')
            writer.write(http1.encode(503, {'X-Not-Executed': '1'}, b''))
            return True
        if self.active >= self.slots + self.queue:
            self._note(request, 'full')
            writer.write(http1.encode(503, {'X-Not-Executed': '1'}, b''))
            return True
        self.active += 1
        name = self.name
        try:
            async with self._free:
                return await self._run(request, writer)
        finally:
            if name == self.name:
                self.active -= 1

    async def _prefill(
        self, request: http1.Request, writer: asyncio.StreamWriter
    ) -> None:
        self._note(request, 'prefill')
        tokens = int(request.headers['x-token-count'].split(',')[0])
        await asyncio.sleep(tokens / PREFILL_TOKENS_PER_S)
        self._keep_parts(request)
        handle = secrets.token_hex(6)
        self.handles[handle] = request.headers['x-request-id']
        told = {'kv_handle': handle, 'tokens': tokens, 'version': 1}
        headers = {
            'Content-Type': 'application/json',
            'X-Request-Id': request.headers['x-request-id'],
        }
        writer.write(http1.encode(200, headers, json.dumps(told).encode()))

    def _takes_source(self, request: http1.Request) -> bool:
        """Fetch the memory that a request names; say whether it is there."""
        source = request.headers.get('x-kv-source')
        if source is None:
            return True
        address, _, handle = source.partition('/')
        other = self.others.get(address)
        return other is not None and (
            other.handles.pop(handle, None) is not None
        )

    def _note(self, request: http1.Request, outcome: str) -> None:
        request_id = request.headers.get('x-request-id', '')
        self.arrivals.append(
            Arrival(time.monotonic(), request_id, self.name, outcome)
        )

    async def _run(
        self, request: http1.Request, writer: asyncio.StreamWriter
    ) -> bool:
        self._note(request, 'runs')
        request_id = request.headers.get('x-request-id', '')
        signed = {
            'X-Request-Id': request_id,
            'X-Response-Signature': f'{self.name}.{request_id}',
        }
        if self.stage:
            await self._stream(request, writer, signed)
        else:
            await asyncio.sleep(self.work_s)
            self.done_s[request_id] = time.monotonic()
            body = f'done by {self.name}'.encode()
            writer.write(http1.encode(200, signed, body))
        return True

    async def _stream(
        self,
        request: http1.Request,
        writer: asyncio.StreamWriter,
        signed: dict[str, str],
    ) -> None:
        await asyncio.sleep(self.first_s)
        self._keep_parts(request)
        head = {
            **signed,
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
            'X-Weight-Versions': '1',
        }
        lines = [f'{name}: {value}' for name, value in head.items()]
        text = 'HTTP/1.1 200 OK\r\n' + '\r\n'.join(lines) + '\r\n\r\n'
        writer.write(text.encode())
        last = int(request.headers.get('last-event-id', 0))
        for number in range(last + 1, self.pieces + 1):
            event = f'id: {number}\ndata: word{number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.piece_s)
        writer.write(b'0\r\n\r\n')
        self.done_s[request.headers['x-request-id']] = time.monotonic()

    def _keep_parts(self, request: http1.Request) -> None:
        for part in request.headers.get('x-prefix-hash', '').split(','):
            name, _, tokens = part.partition(':')
            if tokens:
                number = len(self._changes) + 1
                self._changes.append([number, '+', '', name, int(tokens), 'm'])

    async def _handle_own(
        self, request: http1.Request, writer: asyncio.StreamWriter
    ) -> None:
        headers = {'Content-Type': 'application/json'}
        if request.path == '/health':
            ready = self.state == 'ready'
            told = {'X-Instance-Id': self.name}
            writer.write(http1.encode(200 if ready else 503, told, b''))
            return
        if request.path.startswith('/api/kv-handle/'):
            self.handles.pop(request.path.rpartition('/')[2], None)
        if request.path == '/api/kv-events':
            answer = await self._kv_events(request)
        elif request.path == '/api/report':
            answer = {
                'stage': self.stage,
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'busy': False,
                'sequence': 0,
                'queued': 0,
                'active': self.active,
                'kv_used': 0,
                'kv_total': 400000,
                'kv_handles': 0,
                'born': self.born_ms,
            }
        elif request.path == '/api/kv-list':
            held = [['', row[3], row[4], 'm'] for row in self._changes]
            answer = {
                'epoch': self.name,
                'next': len(self._changes),
                'held': held,
            }
        else:
            answer = {}
        writer.write(http1.encode(200, headers, json.dumps(answer).encode()))

    async def _kv_events(self, request: http1.Request) -> dict:
        since = int(request.query.get('since', '0'))
        wait_s = int(request.headers.get('wait-ms', '0')) / 1000
        end_s = time.monotonic() + wait_s
        while time.monotonic() < end_s and len(self._changes) <= since:
            await asyncio.sleep(0.05)
        return {
            'epoch': self.name,
            'next': len(self._changes),
            'lost': False,
            'events': self._changes[since:],
        }
