"""Serve the platform's object interface from a table, with faults."""

import collections
import json
import typing

import quart
import quart_trio
import trio

from gentianstair import errors
from gentianstair.store import store
from standins.platform import objects

PAGE_ITEMS = 50


class Faults(objects.Faults):
    """What may go wrong with the store; all off at first."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        # Status with which calls of some VMs are refused; the test has each
        # VM name itself in a header, as all share the loopback's address.
        self.refused_status = 0
        self.refused_vms: set[str] = set()
        # Addresses of replicas, by name, that some VMs see in their entries.
        self.addresses: dict[str, dict[str, str]] = {}
        # Watches from before this revision are told that it is gone.
        self.compacted_revision = 0
        # Whether answers name the era; a platform of before does not.
        self.names_era = True
        # Seconds after which a write takes effect though its answer is lost.
        self.late_s = 0.0
        # Calls by the VM that made them and the kind that they were about.
        self.calls: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )


def _error(status: int) -> tuple[dict, int]:
    return {'error': 'refused'}, status


def _calling_vm() -> str:
    return quart.request.headers.get('user-agent', '')


class _Calls:
    """The calls of one store."""

    def __init__(self, table: objects.ObjectTable, faults: Faults) -> None:
        self.table = table
        self.faults = faults

    def _shown(self, item: store.StoredObject) -> dict[str, typing.Any]:
        """Return an object as the calling VM sees it."""
        meta = {'name': item.name, 'revision': item.version, 'finalizers': []}
        addresses = self.faults.addresses.get(_calling_vm(), {})
        value = item.value
        if item.kind == 'servers' and value and item.name in addresses:
            value = {**value, 'address': addresses[item.name]}
        return {'metadata': meta, 'spec': value, 'status': None}

    async def watch(self, kind: str, args: typing.Mapping) -> typing.Any:
        since = int(args['watch'])
        if since < self.faults.compacted_revision:
            return _error(410)
        wait_s = int(args.get('wait_ms', 0)) / 1000
        try:
            found = await self.table.watch([kind], since, wait_s)
        except errors.WatchTooOldError:
            return _error(410)
        events = [
            {'object': self._shown(item), 'tombstone': item.value is None}
            for item in found.objects
        ]
        return {'events': events, 'store_revision': found.revision}

    def list(self, kind: str, after: str) -> typing.Any:
        listing = self.table.list(kind)
        items = [item for item in listing.objects if item.name > after]
        return {
            'items': [self._shown(item) for item in items[:PAGE_ITEMS]],
            'truncated': len(items) > PAGE_ITEMS,
            'store_revision': listing.revision,
        }

    def get(self, kind: str, name: str) -> typing.Any:
        item = self.table.get(kind, name)
        return _error(404) if item.value is None else self._shown(item)

    async def write(
        self, kind: str, name: str, value: typing.Any, version: int | None
    ) -> typing.Any:
        """Apply a write; its answer may be lost, and it may come late."""
        lost = self.faults.random.random() < self.faults.lose_answers
        if lost and self.faults.late_s:
            await trio.sleep(self.faults.late_s)
        current = self.table.get(kind, name)
        if version is None:
            version = current.version if current.value is not None else 0
        try:
            self.table.write(kind, name, value, version)
        except errors.StoreConflictError:
            shown = self._shown(self.table.get(kind, name))
            return shown, 409
        if lost:
            await trio.sleep_forever()
        return self._shown(self.table.get(kind, name))


def _name_era(
    app: quart_trio.QuartTrio, table: objects.ObjectTable, faults: Faults
) -> None:
    """Have all answers name the store's era."""

    @app.after_request
    async def name_era(response: quart.Response) -> quart.Response:
        if faults.names_era:
            response.headers['store-era'] = str(table.era)
        return response


def create_app(
    table: objects.ObjectTable, faults: Faults
) -> quart_trio.QuartTrio:
    """Return the application of one store."""
    app = quart_trio.QuartTrio('standins.site.store')
    calls = _Calls(table, faults)

    @app.before_request
    async def refuse():
        if faults.down:
            await trio.sleep_forever()
        await trio.sleep(faults.delay_s)
        vm = _calling_vm()
        kind = quart.request.path.split('/')[3]
        faults.calls[vm, kind] += 1
        if faults.refused_status and vm in faults.refused_vms:
            return _error(faults.refused_status)
        return None

    _name_era(app, table, faults)

    @app.get('/api/objects/<kind>')
    async def many(kind: str):
        args = quart.request.args
        if 'watch' in args:
            return await calls.watch(kind, args)
        return calls.list(kind, args.get('after', ''))

    @app.post('/api/objects/<kind>')
    async def create(kind: str):
        body = json.loads(await quart.request.get_data())
        name = body['metadata']['name']
        return await calls.write(kind, name, body['spec'], 0)

    @app.get('/api/objects/<kind>/<name>')
    async def one(kind: str, name: str):
        return calls.get(kind, name)

    @app.put('/api/objects/<kind>/<name>')
    async def replace(kind: str, name: str):
        body = json.loads(await quart.request.get_data())
        version = body['metadata'].get('revision')
        return await calls.write(kind, name, body['spec'], version)

    @app.delete('/api/objects/<kind>/<name>')
    async def remove(kind: str, name: str):
        text = quart.request.args.get('revision')
        version = int(text) if text else None
        return await calls.write(kind, name, None, version)

    return app
