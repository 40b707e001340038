"""Test that configuration never reverts to an older version."""

import random

import pytest
import trio

from gentianstair.config import view as view_module
from gentianstair.peers import store_watcher
from gentianstair.store import store
from gentianstair.util import clock
from standins import memory_store
from standins.platform import objects
from test.peers import fleet as fleet_module


class StaleStore(memory_store.MemoryStore):
    """A store that answers from stale_table while it is set."""

    def __init__(self, table):
        super().__init__(table)
        self.stale_table = None

    async def list(self, kind, *, purpose, prefix=''):
        """See Store.list."""
        await self._enter(purpose)
        return (self.stale_table or self.table).list(kind, prefix)

    async def watch(self, kinds, after_revision, timeout_s, *, purpose):
        """See Store.watch."""
        await self._enter(purpose)
        table = self.stale_table or self.table
        return await table.watch(kinds, after_revision, timeout_s)


def copy_table(table):
    copy = objects.ObjectTable()
    copy.revision = table.revision
    copy.objects = dict(table.objects)
    copy.changes = list(table.changes)
    return copy


def bundle(number):
    return {
        'number': number,
        'models': {},
        'settings': {},
        'note': f'content {number}',
        'signature': '',
    }


def accept(fleet, number):
    fleet.write('bundle', str(number), bundle(number))
    return fleet.write('accepted', 'current', {'number': number})


@pytest.mark.promise
@pytest.mark.parametrize('seed', [1, 2, 3])
async def test_accepted_bundle_never_reverts(autojump_clock, seed):
    """A VM serves an old bundle again after a rollout.

    Bundles are accepted while VMs restart and lose their peers or the
    store. No VM that serves may go back, and in the end all have the newest.
    """
    rng = random.Random(seed)
    async with fleet_module.open_fleet(6, seed=seed) as fleet:
        served = {}
        numbers = iter(range(1, 1000))

        def check():
            for name, vm in fleet.running.items():
                served_bundle = vm.view.active_bundle()
                if not vm.node.is_fresh() or served_bundle is None:
                    continue
                assert (
                    served_bundle['note']
                    == f'content {served_bundle["number"]}'
                )
                assert served_bundle['number'] >= served.get(name, 0)
                served[name] = served_bundle['number']

        accept(fleet, next(numbers))
        for _ in range(40):
            name = rng.choice(sorted(fleet.running))
            action = rng.choice(['restart', 'cut', 'store', 'accept', 'heal'])
            if action == 'restart':
                fleet.kill(name)
                fleet.start(name, 'abc'[int(name[1:]) % 3])
            elif action == 'cut':
                other = rng.choice(sorted(set(fleet.running) - {name}))
                fleet.hub.cut(f'{name}:1', f'{other}:1', rng.random() < 0.5)
            elif action == 'store':
                fleet.set_store_down(rng.random() < 0.5, [name])
            elif action == 'accept':
                accept(fleet, next(numbers))
            else:
                fleet.hub.heal()
            for _ in range(rng.randrange(1, 40)):
                await trio.sleep(0.1)
                check()
        fleet.hub.heal()
        fleet.set_store_down(False)
        revision = accept(fleet, next(numbers))
        newest = next(numbers) - 1
        await fleet.wait(
            lambda vm: (
                vm.node.is_fresh()
                and vm.view.active_bundle()['number'] == newest
            )
        )
        assert all(vm.view.revision == revision for vm in fleet.select())


def make_watcher(table):
    view = view_module.View()
    stale_store = StaleStore(table)
    watcher = store_watcher.Watcher(
        view, stale_store, clock.trio_time_s, 2.0, random.Random(1)
    )
    return view, stale_store, watcher


@pytest.mark.promise
async def test_lagging_store_replica_restores_no_revoked_key(autojump_clock):
    """A revoked key works again when a replica of the store lags.

    A watcher that saw the revocation then reads from before it. The answer
    must neither change the view nor count as fresh.
    """
    table = objects.ObjectTable()
    first = table.write('key', 'k1', fleet_module.key(), 0)
    view, stale_store, watcher = make_watcher(table)
    assert (await watcher.step())[1] is not None
    stale_store.stale_table = copy_table(table)
    table.write('key', 'k1', fleet_module.key(revoked=True), first)
    stale_store.stale_table, old_table = None, stale_store.stale_table
    await watcher.step()
    assert view.key('k1')['revoked']
    stale_store.stale_table = old_table
    for restarted in (False, True):
        if restarted:
            watcher._cursor = None
        applied, as_of_s = await watcher.step()
        assert applied == [] and as_of_s is None
        assert view.key('k1')['revoked']


async def test_listing_removes_keys_deleted_while_not_watching(autojump_clock):
    """A key deleted while a watcher did not watch works there for ever.

    The store no longer keeps the changes, so the watcher lists, and a
    listing has no entry for a deleted key.
    """
    table = objects.ObjectTable()
    first = table.write('key', 'k1', fleet_module.key(), 0)
    view, _, watcher = make_watcher(table)
    await watcher.step()
    table.write('key', 'k1', None, first)
    table.write('customer', 'acme', fleet_module.CUSTOMER, 0)
    table.changes.clear()
    table._first_kept = table.revision + 1
    await watcher.step()
    await watcher.step()
    assert view.key('k1') is None
    assert view.customer('acme') is not None


def test_objects_of_older_versions_are_ignored():
    view = view_module.View()
    newer = store.StoredObject('key', 'k', 5, fleet_module.key(True))
    older = store.StoredObject('key', 'k', 4, fleet_module.key())
    assert view.apply([newer]) == [newer]
    assert view.apply([older, newer]) == []
    assert view.key('k')['revoked']


def test_pointer_to_an_older_bundle_is_ignored():
    """A pointer written back to an older number reverts the bundle."""
    view = view_module.View()
    for version, number in ((1, 1), (2, 2)):
        view.apply(
            [
                store.StoredObject(
                    'bundle', str(number), version, bundle(number)
                )
            ]
        )
    for version, number in ((3, 2), (4, 1)):
        pointer = {'number': number}
        view.apply(
            [store.StoredObject('accepted', 'current', version, pointer)]
        )
    assert view.active_bundle()['number'] == 2


def test_value_that_fails_its_schema_is_kept_but_not_used():
    view = view_module.View()
    view.apply([store.StoredObject('key', 'k', 1, {'customer': 7})])
    assert view.key('k') is None
    assert view.objects[('key', 'k')].value == {'customer': 7}
