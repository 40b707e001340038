"""Test what a VM believes while the store misbehaves."""

import pytest
import trio

from gentianstair import errors
from gentianstair.gateway import hub_client
from gentianstair.gateway import replicas
from gentianstair.gateway import store_watch
from gentianstair.platform import configuration
from gentianstair.platform import objects
from gentianstair.platform import registry as decoding
from gentianstair.util import clock
from standins import memory_store
from standins.site import site


def entry(name, **changed):
    replica = site.replicas.Replica(name, 'desk', 'a')
    replica.address = '10.0.0.1:80'
    return {**replica.entry(), **changed}


class Watched:
    """A registry and catalogs that follow a store in memory."""

    def __init__(self):
        self.store = memory_store.MemoryStore()
        self.registry = replicas.Registry(clock.trio_time_s)
        self.versions = []
        self.store_health = store_watch.StoreHealth(clock.trio_time_s)

    def write(self, name, value):
        table = self.store.table
        current = table.get('servers', name)
        version = current.version if current.value is not None else 0
        table.write('servers', name, value, version)

    def names(self):
        return sorted(r.name for r in self.registry.usable('desk'))

    async def run(self):
        sources = [
            store_watch.replica_source(
                decoding.decode, decoding.KIND, self.registry
            ),
            store_watch.config_source(
                configuration.decode,
                configuration.NAME,
                configuration.KIND,
                lambda found: self.versions.append(found.version),
            ),
        ]
        async with trio.open_nursery() as nursery:
            for source in sources:
                nursery.start_soon(
                    store_watch.follow, self.store, source, self.store_health
                )


@pytest.fixture
async def watched(autojump_clock, nursery):
    found = Watched()
    found.write('i-1', entry('i-1'))
    found.write('i-2', entry('i-2'))
    nursery.start_soon(found.run)
    await trio.sleep(1)
    return found


async def test_entries_come_drain_and_go(watched, autojump_clock):
    assert watched.names() == ['i-1', 'i-2']
    watched.write('i-1', entry('i-1', state='draining'))
    watched.write('i-3', entry('i-3'))
    await trio.sleep(1)
    assert watched.names() == ['i-2', 'i-3']
    watched.write('i-2', None)
    watched.write('i-3', {'garbage': True})
    await trio.sleep(1)
    assert watched.names() == []


async def test_entries_that_lapse_in_an_outage_are_kept_for_a_while(
    watched, autojump_clock
):
    """The store is down for long, and all entries lapse meanwhile.

    Right after its return nothing is listed; a VM that believed it would
    refuse everybody although all replicas live. Those that come back stay,
    the others count as gone after two seconds.
    """
    watched.store.faults.down = True
    watched.write('i-1', None)
    watched.write('i-2', None)
    await trio.sleep(8)
    assert watched.names() == ['i-1', 'i-2']
    watched.store.faults.down = False
    await trio.sleep(1)
    assert watched.names() == ['i-1', 'i-2']
    watched.write('i-1', entry('i-1'))
    await trio.sleep(2)
    assert watched.names() == ['i-1']


async def test_what_went_while_only_this_vm_was_cut_off_is_gone(
    watched, autojump_clock
):
    """A VM is cut off from the store for long; its peers are not.

    A replica leaves meanwhile. The VM took its missing entry for one that
    had lapsed with the store, and sent it work three seconds after it left.
    """
    watched.store.faults.down = True
    await trio.sleep(4)
    watched.store_health.record_peer_answer(0.1)
    await trio.sleep(4)
    watched.write('i-1', None)
    watched.store.faults.down = False
    await trio.sleep(1.3)
    assert watched.names() == ['i-2']


async def test_what_a_peer_saw_just_now_says_little(watched, autojump_clock):
    """The store is back and a peer has seen it a moment sooner."""
    watched.store.faults.down = True
    watched.write('i-1', None)
    await trio.sleep(8)
    watched.store_health.record_peer_answer(0.0)
    watched.store.faults.down = False
    await trio.sleep(1)
    assert watched.names() == ['i-1', 'i-2']


async def test_a_draining_replica_is_not_kept(watched, autojump_clock):
    watched.write('i-1', entry('i-1', state='draining'))
    await trio.sleep(1)
    watched.store.faults.down = True
    watched.write('i-1', None)
    await trio.sleep(3)
    watched.store.faults.down = False
    await trio.sleep(1)
    assert watched.names() == ['i-2']
    assert watched.registry.get('i-1') is None


async def test_dropped_history_is_read_anew(watched, autojump_clock):
    """The store drops its history while a replica leaves unseen."""
    real = watched.store.watch

    async def gone(*args, **kwargs):
        raise errors.WatchTooOldError('gone')

    watched.store.watch = gone
    watched.write('i-1', entry('i-1', state='draining'))
    await trio.sleep(2)
    watched.store.watch = real
    assert watched.names() == ['i-2']


async def test_a_listing_from_the_past_is_not_taken(watched, autojump_clock):
    """After a failed call a listing comes from before what was seen."""
    watched.write('i-1', entry('i-1', state='draining'))
    await trio.sleep(1)
    real = watched.store.list
    stale = [True]

    async def list_(kind, **kwargs):
        listing = await real(kind, **kwargs)
        if stale[0]:
            return listing._replace(revision=1, objects=[])
        return listing

    watched.store.list = list_
    watched.store.faults.down = True
    await trio.sleep(2)
    watched.store.faults.down = False
    await trio.sleep(2)
    assert watched.names() == ['i-2']
    stale[0] = False
    await trio.sleep(2)
    assert watched.names() == ['i-2']


async def test_an_unreadable_configuration_changes_nothing(
    watched, autojump_clock
):
    table = watched.store.table
    version = table.write('config', 'main', site.CONFIG, 0)
    await trio.sleep(1)
    version = table.write('config', 'main', {'version': 'x'}, version)
    await trio.sleep(1)
    table.write('config', 'main', {**site.CONFIG, 'version': 8}, version)
    await trio.sleep(1)
    assert watched.versions == [7, 8]


async def test_the_age_of_the_last_answer(watched, autojump_clock):
    assert watched.store_health.age_s < 2
    watched.store.faults.down = True
    await trio.sleep(5)
    assert watched.store_health.age_s > 3


@pytest.mark.parametrize(
    'written', [entry('i-1', state='draining'), None], ids=['drains', 'gone']
)
async def test_a_silent_watch_is_noticed_within_the_drain_bound(
    watched, autojump_clock, written
):
    """A cut heals, but the watch goes out on a connection of before it.

    Nothing comes back on it. A replica says at that moment that it leaves,
    or its entry is removed; two seconds later it must get no more work, so
    the change must be seen by then although the watch is silent. A watch
    alone that fails is no outage in which entries of the living lapse.
    """
    real = watched.store.watch

    async def silent(kinds, after_revision, timeout_s, *, purpose):
        if kinds != [decoding.KIND]:
            return await real(
                kinds, after_revision, timeout_s, purpose=purpose
            )
        watched.store.watch = real
        watched.write('i-1', written)
        await trio.sleep(timeout_s + objects.WATCH_GRACE_S)
        raise errors.StoreUnavailableError('no answer in time')

    watched.store.watch = silent
    while watched.store.watch is silent:
        await trio.sleep(0.01)
    await trio.sleep(1.9)
    assert watched.names() == ['i-2']


async def test_a_store_without_history_is_not_asked_without_end(
    watched, autojump_clock
):
    """The store drops its history each time before a watch begins.

    Every watch is answered at once that it comes too late. A VM that lists
    and watches without a pause spends all that the fleet may read.
    """

    async def gone(*args, **kwargs):
        raise errors.WatchTooOldError('gone')

    watched.store.watch = gone
    before = sum(watched.store.calls.values())
    await trio.sleep(5)
    # Two sources, each some ten listings a second at the most.
    assert sum(watched.store.calls.values()) - before < 2 * 10 * 5


@pytest.mark.parametrize('phase', range(16))
async def test_a_held_watch_makes_nobody_current(
    watched, autojump_clock, phase
):
    # Leaves of a hub that is turned away gave a leaving replica work.
    await trio.sleep(phase * store_watch.WATCH_TIMEOUT_S / 16)
    assert watched.store_health.reported_age_s < hub_client.MAX_STORE_AGE_S
    store = watched.store
    real = store.list, store.watch

    async def refuse(*_, **__):
        raise errors.StoreUnavailableError('refused')

    store.list = store.watch = refuse
    # Only what a held watch of the replicas still told may count.
    await trio.sleep(
        store_watch.REPLICA_WATCH_TIMEOUT_S
        + hub_client.MAX_STORE_AGE_S
        + 0.001
    )
    assert watched.store_health.reported_age_s > hub_client.MAX_STORE_AGE_S
    store.list, store.watch = real
    await trio.sleep(2.0)
    assert watched.store_health.reported_age_s < hub_client.MAX_STORE_AGE_S
