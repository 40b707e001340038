"""Stand in for the platform: its object store and the API for duties."""

import asyncio
import bisect
import json
import time
import typing
import urllib.parse

import standin_http1 as http1

PAGE_ITEMS = 500
PAGE_BYTES = 1024 * 1024
HISTORY_S = 20.0
ANSWER_S = 0.004


class _Object(typing.NamedTuple):
    name: str
    revision: int
    created: int
    # JSON text, as another writer's may be odd.
    spec: str
    status: str = 'null'

    def shown(self) -> str:
        """Return the object as JSON."""
        meta = {
            'name': self.name,
            'revision': self.revision,
            'created': self.created,
            'finalizers': [],
            'deleting': False,
        }
        return (
            f'{{"metadata":{json.dumps(meta)},"spec":{self.spec},'
            f'"status":{self.status}}}'
        )


class _Event(typing.NamedTuple):
    revision: int
    at_s: float
    kind: str
    shown: str
    tombstone: bool


class Store:
    """Objects by kind and name, with one revision counter."""

    def __init__(self) -> None:
        self.revision = 1
        self._objects: dict[tuple[str, str], _Object] = {}
        self._events: list[_Event] = []
        self._first_kept = 1
        self._changed = asyncio.Event()
        self.calls = 0
        self.server = http1.Server(self._handle)

    async def move(self) -> None:
        """Listen at another address; the old server goes on meanwhile."""
        self.server = http1.Server(self._handle)
        await self.server.start()

    def put(self, kind: str, name: str, spec: str) -> float:
        """Write an object as its owner; return when that was acknowledged."""
        old = self._objects.get((kind, name))
        if old is None or old.spec != spec:
            self._write(kind, name, spec, old)
        return time.monotonic()

    def delete(self, kind: str, name: str) -> float:
        """Remove an object as its owner; return when that was done."""
        old = self._objects.pop((kind, name), None)
        if old is not None:
            self._note(kind, old._replace(revision=self.revision + 1), True)
        return time.monotonic()

    def _write(
        self, kind: str, name: str, spec: str, old: _Object | None
    ) -> _Object:
        revision = self.revision + 1
        created = old.created if old else revision
        new = _Object(name, revision, created, spec)
        self._objects[kind, name] = new
        self._note(kind, new, False)
        return new

    def _note(self, kind: str, item: _Object, tombstone: bool) -> None:
        now_s = time.monotonic()
        self.revision = item.revision
        self._events.append(
            _Event(item.revision, now_s, kind, item.shown(), tombstone)
        )
        while self._events[0].at_s < now_s - HISTORY_S:
            self._first_kept = self._events.pop(0).revision + 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(
        self, request: http1.Request, writer: asyncio.StreamWriter
    ) -> bool:
        self.calls += 1
        await asyncio.sleep(ANSWER_S)
        status, text = await self._answer(request)
        headers = {'Content-Type': 'application/json'}
        writer.write(http1.encode(status, headers, text.encode()))
        return True

    async def _answer(self, request: http1.Request) -> tuple[int, str]:
        _, _, area, kind, *names = request.path.split('/')
        if area != 'objects':
            return 404, '{}'
        if not names and request.method == 'GET':
            if 'watch' in request.query:
                return await self._watch(kind, request.query)
            return 200, self._list(kind, request.query.get('after', ''))
        name = urllib.parse.unquote(names[0]) if names else ''
        old = self._objects.get((kind, name))
        if request.method == 'GET':
            return (200, old.shown()) if old else (404, '{}')
        if request.method == 'DELETE':
            return self._remove(kind, old, request.query.get('revision'))
        return self._take(request, kind, name, old)

    def _take(
        self, request: http1.Request, kind: str, name: str, old: _Object | None
    ) -> tuple[int, str]:
        """Create or replace an object, as a call asks."""
        body = json.loads(request.body)
        meta, spec = body['metadata'], json.dumps(body['spec'])
        if request.method == 'POST':
            old = self._objects.get((kind, meta['name']))
            if old is not None:
                return 409, old.shown()
            return 201, self._write(kind, meta['name'], spec, None).shown()
        if old is None:
            return 404, '{}'
        if meta.get('revision', old.revision) != old.revision:
            return 409, old.shown()
        if spec == old.spec:
            return 200, old.shown()
        return 200, self._write(kind, name, spec, old).shown()

    def _remove(
        self, kind: str, old: _Object | None, revision: str | None
    ) -> tuple[int, str]:
        if old is None:
            return 404, '{}'
        if revision is not None and int(revision) != old.revision:
            return 409, old.shown()
        self.delete(kind, old.name)
        return 200, old.shown()

    def _list(self, kind: str, after: str) -> str:
        names = sorted(name for k, name in self._objects if k == kind)
        names = names[bisect.bisect_right(names, after) :]
        items: list[str] = []
        size = 0
        for name in names[:PAGE_ITEMS]:
            items.append(self._objects[kind, name].shown())
            size += len(items[-1])
            if size > PAGE_BYTES:
                break
        truncated = json.dumps(len(items) < len(names))
        return (
            f'{{"items":[{",".join(items)}],"truncated":{truncated},'
            f'"store_revision":{self.revision}}}'
        )

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, str]:
        since = int(query['watch'])
        end_s = time.monotonic() + int(query.get('wait_ms', '0')) / 1000
        if since + 1 < self._first_kept:
            return 410, '{}'
        while True:
            found = [
                event
                for event in self._events
                if event.revision > since and event.kind == kind
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
        shown = ','.join(
            f'{{"tombstone":{json.dumps(event.tombstone)},'
            f'"object":{event.shown}}}'
            for event in found
        )
        return 200, (
            f'{{"events":[{shown}],"store_revision":{self.revision}}}'
        )


class Cloud:
    """Accepts the calls that are the duty of one machine."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str, bytes]] = []
        self.server = http1.Server(self._handle)

    async def _handle(
        self, request: http1.Request, writer: asyncio.StreamWriter
    ) -> bool:
        holder = request.headers.get('x-lease-holder', '')
        self.calls.append((request.path, holder, request.body))
        await asyncio.sleep(ANSWER_S)
        writer.write(http1.encode(200, {}, b'{}'))
        return request.headers.get('connection', '') != 'close'
