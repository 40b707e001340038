"""Test how a VM follows the store through outages and stale answers."""

import pytest
import trio

from gentianstair import errors
from gentianstair.gateway import hub_client
from gentianstair.gateway import replicas
from gentianstair.gateway import store_watch
from gentianstair.platform import configuration
from gentianstair.platform import object_store
from gentianstair.platform import registry_entries
from gentianstair.util import clock
from standins import memory_store
from standins.site import site


def entry(name, **changed):
    replica = site.replicas.Replica(name, 'desk', 'a')
    replica.address = '10.0.0.1:80'
    return {**replica.entry(), **changed}


class Follower:
    """A registry and configuration versions that follow a store in memory."""

    def __init__(self, bound_s=2.0, policy=store_watch.ALWAYS_READ):
        self.bound_s = bound_s
        self.policy = policy
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
                registry_entries.decode,
                registry_entries.KIND,
                self.registry,
                self.bound_s,
            ),
            store_watch.config_source(
                configuration.decode,
                configuration.NAME,
                configuration.KIND,
                lambda found: self.versions.append(found.version),
                self.bound_s,
            ),
        ]
        async with trio.open_nursery() as nursery:
            for source in sources:
                nursery.start_soon(
                    store_watch.follow,
                    self.store,
                    source,
                    self.store_health,
                    self.policy,
                )


@pytest.fixture
async def follower(autojump_clock, nursery):
    found = Follower()
    found.write('i-1', entry('i-1'))
    found.write('i-2', entry('i-2'))
    nursery.start_soon(found.run)
    await trio.sleep(1)
    return found


async def test_replicas_are_added_drained_and_removed(
    follower, autojump_clock
):
    assert follower.names() == ['i-1', 'i-2']
    follower.write('i-1', entry('i-1', state='draining'))
    follower.write('i-3', entry('i-3'))
    await trio.sleep(1)
    assert follower.names() == ['i-2', 'i-3']
    follower.write('i-2', None)
    follower.write('i-3', {'garbage': True})
    await trio.sleep(1)
    assert follower.names() == []


async def test_live_replicas_survive_an_outage_of_the_store(
    follower, autojump_clock
):
    """All entries lapse during a long outage of the store.

    The first listings after it are empty. A VM that trusted them would
    refuse all requests; entries that do not return are dropped later.
    """
    follower.store.faults.down = True
    follower.write('i-1', None)
    follower.write('i-2', None)
    await trio.sleep(8)
    assert follower.names() == ['i-1', 'i-2']
    follower.store.faults.down = False
    await trio.sleep(1)
    assert follower.names() == ['i-1', 'i-2']
    follower.write('i-1', entry('i-1'))
    await trio.sleep(2)
    assert follower.names() == ['i-1']


async def test_replica_that_left_during_a_partition_is_dropped(
    follower, autojump_clock
):
    """Only this VM is cut off from the store while a replica leaves.

    Its missing entry must not count as lapsed in an outage, which would
    send it work after it left.
    """
    follower.store.faults.down = True
    await trio.sleep(4)
    follower.store_health.record_peer_answer(0.1)
    await trio.sleep(4)
    follower.write('i-1', None)
    follower.store.faults.down = False
    await trio.sleep(1.3)
    assert follower.names() == ['i-2']


async def test_recent_answer_to_a_peer_does_not_rule_out_an_outage(
    follower, autojump_clock
):
    """A peer reaches the store just before this VM after an outage."""
    follower.store.faults.down = True
    follower.write('i-1', None)
    await trio.sleep(8)
    follower.store_health.record_peer_answer(0.0)
    follower.store.faults.down = False
    await trio.sleep(1)
    assert follower.names() == ['i-1', 'i-2']


async def test_draining_replica_is_not_kept_after_an_outage(
    follower, autojump_clock
):
    follower.write('i-1', entry('i-1', state='draining'))
    await trio.sleep(1)
    follower.store.faults.down = True
    follower.write('i-1', None)
    await trio.sleep(3)
    follower.store.faults.down = False
    await trio.sleep(1)
    assert follower.names() == ['i-2']
    assert follower.registry.get('i-1') is None


async def test_dropped_history_causes_a_new_listing(follower, autojump_clock):
    """The history with a replica's drain is dropped before it is read."""
    real = follower.store.watch

    async def refuse_watch(*args, **kwargs):
        raise errors.WatchTooOldError('gone')

    follower.store.watch = refuse_watch
    follower.write('i-1', entry('i-1', state='draining'))
    await trio.sleep(2)
    follower.store.watch = real
    assert follower.names() == ['i-2']


async def test_stale_listing_is_ignored(follower, autojump_clock):
    """A listing after a failed call is older than the changes seen."""
    follower.write('i-1', entry('i-1', state='draining'))
    await trio.sleep(1)
    real = follower.store.list
    is_stale = [True]

    async def list_(kind, **kwargs):
        listing = await real(kind, **kwargs)
        if is_stale[0]:
            return listing._replace(revision=1, objects=[])
        return listing

    follower.store.list = list_
    follower.store.faults.down = True
    await trio.sleep(2)
    follower.store.faults.down = False
    await trio.sleep(2)
    assert follower.names() == ['i-2']
    is_stale[0] = False
    await trio.sleep(2)
    assert follower.names() == ['i-2']


async def test_invalid_configuration_is_skipped(follower, autojump_clock):
    table = follower.store.table
    version = table.write('config', 'main', site.CONFIG, 0)
    await trio.sleep(1)
    version = table.write('config', 'main', {'version': 'x'}, version)
    await trio.sleep(1)
    table.write('config', 'main', {**site.CONFIG, 'version': 8}, version)
    await trio.sleep(1)
    assert follower.versions == [7, 8]


async def test_age_of_the_last_answer_grows_in_an_outage(
    follower, autojump_clock
):
    assert follower.store_health.age_s < 2
    follower.store.faults.down = True
    await trio.sleep(5)
    assert follower.store_health.age_s > 3


@pytest.mark.parametrize(
    'written', [entry('i-1', state='draining'), None], ids=['drains', 'gone']
)
async def test_drain_behind_a_silent_watch_is_seen_in_time(
    follower, autojump_clock, written
):
    """A watch gets no answer on a broken connection.

    A replica that drains or is removed meanwhile must get no work two
    seconds later, and a failed watch must not count as an outage.
    """
    real = follower.store.watch

    async def silent(kinds, after_revision, timeout_s, *, purpose):
        if kinds != [registry_entries.KIND]:
            return await real(
                kinds, after_revision, timeout_s, purpose=purpose
            )
        follower.store.watch = real
        follower.write('i-1', written)
        await trio.sleep(timeout_s + object_store.WATCH_GRACE_S)
        raise errors.StoreUnavailableError('no answer in time')

    follower.store.watch = silent
    while follower.store.watch is silent:
        await trio.sleep(0.01)
    await trio.sleep(1.9)
    assert follower.names() == ['i-2']


async def test_store_without_history_is_not_polled_in_a_tight_loop(
    follower, autojump_clock
):
    """Every watch fails at once, as the store keeps no history.

    Listing and watching without a pause would use up the fleet's reads.
    """

    async def refuse_watch(*args, **kwargs):
        raise errors.WatchTooOldError('gone')

    follower.store.watch = refuse_watch
    before = sum(follower.store.calls.values())
    await trio.sleep(5)
    # Two sources, each at most about ten calls a second.
    assert sum(follower.store.calls.values()) - before < 2 * 10 * 5


@pytest.mark.parametrize('bound_s', [2.0, 4.0])
@pytest.mark.parametrize('phase', range(16))
async def test_answer_to_a_pending_watch_does_not_hide_refusals(
    nursery, autojump_clock, phase, bound_s
):
    # Otherwise leaves of a hub that the store refuses keep sending work to
    # a draining replica.
    follower = Follower(bound_s)
    follower.write('i-1', entry('i-1'))
    nursery.start_soon(follower.run)
    max_age_s = hub_client.max_store_age_s(bound_s)
    await trio.sleep(1 + phase * max_age_s / 16)
    assert follower.store_health.reported_age_s < max_age_s
    store = follower.store
    real = store.list, store.watch

    async def refuse(*_, **__):
        raise errors.StoreUnavailableError('refused')

    store.list = store.watch = refuse
    # Only the pending watch of the replicas may still count.
    await trio.sleep(
        store_watch.replica_watch_timeout_s(bound_s) + max_age_s + 0.001
    )
    assert follower.store_health.reported_age_s > max_age_s
    store.list, store.watch = real
    await trio.sleep(2.0)
    assert follower.store_health.reported_age_s < max_age_s


@pytest.mark.parametrize('bound_s', [0.5, 2.0, 4.0, 60.0])
def test_silent_hub_and_watch_leave_time_before_a_replica_is_gone(bound_s):
    # A leaf must see within that time that its hub's data are old.
    watch_s = store_watch.replica_watch_timeout_s(bound_s)
    age_s = hub_client.max_store_age_s(bound_s)
    assert watch_s < age_s < bound_s / 2


@pytest.mark.parametrize('phase', range(8))
async def test_silent_watch_does_not_cost_a_hub_its_leaves(
    nursery, autojump_clock, phase
):
    # All leaves of all hubs would leave them at once and read the store.
    bound_s, hub_count = 4.0, 9
    follower = Follower(
        bound_s, store_watch.ReadPolicy(lambda: False, lambda: hub_count)
    )
    follower.write('i-1', entry('i-1'))
    nursery.start_soon(follower.run)
    await trio.sleep(2 + phase / 8)
    store = follower.store
    real = store.watch
    silent_until_s = trio.current_time() + 1.0

    async def silent(kinds, after_revision, timeout_s, *, purpose):
        if trio.current_time() > silent_until_s:
            store.watch = real
        await trio.sleep(timeout_s + object_store.WATCH_GRACE_S)
        raise errors.StoreUnavailableError('no answer in time')

    store.watch = silent
    ages_s = []
    for _ in range(400):
        await trio.sleep(0.01)
        ages_s.append(follower.store_health.reported_age_s)
    assert max(ages_s) < hub_client.max_store_age_s(bound_s)


@pytest.mark.parametrize(
    ('refused', 'is_old'), [(True, True), (False, False)], ids=['yes', 'no']
)
async def test_process_that_the_store_refuses_from_its_start_has_no_data(
    nursery, autojump_clock, refused, is_old
):
    # Its leaves would wait for it, and it would not ask its peers.
    follower = Follower()
    follower.store.faults.down = refused
    nursery.start_soon(follower.run)
    await trio.sleep(0.2)
    max_age_s = hub_client.max_store_age_s(follower.bound_s)
    assert (follower.store_health.reported_age_s > max_age_s) == is_old
    follower.store.faults.down = False
    await trio.sleep(0.5)
    assert follower.store_health.reported_age_s < max_age_s
