"""Explore usage counting, sealing and reporting under seeded failures."""

import collections

import pytest
import trio

from gentianstair import errors
from gentianstair import verdict
from gentianstair.control import lease
from gentianstair.control import usage_sealer as control_usage
from gentianstair.entry import usage as entry_usage
from gentianstair.store import store as stores
from standins import chaos
from standins import checkers
from standins import memory_store

WINDOW_S = 10.0
ENTRY_TERMS = entry_usage.Terms(WINDOW_S, 1.0, 500)
CONTROL_TERMS = control_usage.SealTiming(WINDOW_S, 0.0, 0.5)
RUN_S = 200.0
SETTLE_S = 150.0
CHANCES = chaos.Chances(pause=0.003, pause_s=25.0)
SEALER_CHANCES = CHANCES._replace(pause=0.05, pause_s=15.0, lose_answer=0.2)
CUSTOMERS = ('burlwood', 'bluebonnet')
KINDS = ('reserved', 'spot')


class Reports:
    """The platform's interface for reports, over a bad network."""

    def __init__(self, process):
        self.process = process

    async def send(self, body, check):
        await self.process.step()
        check()
        lost = self.process.chance(0.05)
        if not lost:
            self.process.world.add('platform', 'usage-report', **body)
        await self.process.step()
        if lost or self.process.chance(0.1):
            raise errors.UpstreamError('lost', verdict.Verdict.MAY_HAVE_RUN)


def total(rows):
    counts = collections.Counter()
    for row in rows:
        key = (row['customer'], row['upstream_kind'])
        counts[key] += row['prompt_tokens'] + row['output_tokens']
    return counts


async def serve(world, name, served, lost):
    """Run an entry that counts, kill it, and so on; note what it lost."""
    while True:
        with trio.move_on_after(world.random.uniform(5.0, 90.0)):
            async with trio.open_nursery() as nursery:
                process = chaos.Process(world, name, CHANCES)
                counts = entry_usage.make_usage(
                    chaos.ChaosStore(process),
                    name,
                    trio.current_time,
                    ENTRY_TERMS,
                )
                nursery.start_soon(counts.run)
                nursery.start_soon(count, world, counts, served)
                await trio.sleep_forever()
        lost.append(counts)
        if trio.current_time() > RUN_S:
            return


async def count(world, counts, served):
    while trio.current_time() < RUN_S:
        await trio.sleep(world.random.uniform(0.0, 0.2))
        customer = world.random.choice(CUSTOMERS)
        kind = world.random.choice(KINDS)
        tokens = world.random.randint(1, 50)
        counts.count(customer, kind, requests=1, output_tokens=tokens)
        served[(customer, kind)] += tokens


async def seal(world, name, epoch):
    """Seal and report, sure of being in charge as others are too."""
    while True:
        with trio.move_on_after(world.random.uniform(10.0, 100.0)):
            process = chaos.Process(world, name, SEALER_CHANCES)
            sealer = control_usage.make_sealer(
                chaos.ChaosStore(process),
                Reports(process),
                trio.current_time,
                process.clock,
                CONTROL_TERMS,
            )
            authority = lease.Authority('usage', name, epoch, process.clock)
            authority.valid_until_s = float('inf')
            while True:
                await trio.sleep(1.0)
                try:
                    await sealer.run_once(authority)
                except (errors.StoreError, errors.UpstreamError):
                    continue


async def explore(seed):
    """Return the world, what was served, and the entries that were killed."""
    served = collections.Counter()
    killed = []
    async with trio.open_nursery() as nursery:
        world = chaos.World(seed, nursery)
        for name in ('c-1', 'c-2'):
            nursery.start_soon(seal, world, name, 1)
        async with trio.open_nursery() as entries:
            for name in ('vm-1', 'vm-2', 'vm-3'):
                entries.start_soon(serve, world, name, served, killed)
        await trio.sleep(SETTLE_S)
        nursery.cancel_scope.cancel()
    return world, served, killed


def billed(events):
    """Return what all reports bill, each window once."""
    first = {}
    for event in events:
        if event.type == 'usage-report':
            first.setdefault(event.data['window'], event.data)
    counts = collections.Counter()
    for data in first.values():
        counts += total(data['rows']) + total(data['late'])
    return counts


def stored(world):
    """Return what the entries' objects in the store count."""
    counts = collections.Counter()
    for item in world.table.list(entry_usage.KIND).objects:
        counts += total(item.value['rows'])
    return counts


def lost_tokens(killed):
    return sum(counts.unflushed_tokens for counts in killed)


def check(world, served, killed):
    """Return what is wrong with the bill."""
    wrong = checkers.check_double_reports(world.events)
    bill = billed(world.events)
    wrong += [f'{key} billed too much' for key in bill - served]
    missing = sum((served - bill).values())
    if missing > lost_tokens(killed):
        wrong.append(f'{missing} unbilled, {lost_tokens(killed)} unflushed')
    return wrong


@pytest.mark.promise
@pytest.mark.parametrize('seed', range(8))
async def test_usage_is_billed_once_and_nothing_kept_is_lost(
    seed, autojump_clock
):
    """Entries are killed and paused while two sealers both feel in charge.

    Late counts come after their window was sealed, reports are lost and
    repeated. No window has two figures, no token is billed twice, and what
    is not billed was never flushed by an entry that was killed.
    """
    world, served, killed = await explore(seed)
    assert check(world, served, killed) == []
    reports = [e for e in world.events if e.type == 'usage-report']
    assert len({e.data['window'] for e in reports}) > 15
    assert any(e.data['late'] for e in reports)


@pytest.mark.promise
async def test_late_count_is_marked_late(autojump_clock):
    """An entry is paused, its window is sealed, then its counts arrive."""
    store = memory_store.MemoryStore()
    table = store.table

    def row(window, tokens):
        return {
            'window': window,
            'customer': 'c',
            'upstream_kind': 'spot',
            'requests': 1,
            'prompt_tokens': 0,
            'output_tokens': tokens,
        }

    def listing(*rows):
        value = {'vm': 'v', 'nonce': 'n', 'rows': list(rows)}
        item = stores.StoredObject('usage', 'v.1', 1, value)
        return stores.Listing(table.revision + 1, [item])

    first = control_usage.make_seal(1, None, listing(row(1, 5)))
    second = control_usage.make_seal(
        2, first, listing(row(1, 9), row(2, 3), row(3, 1))
    )
    assert [r['output_tokens'] for r in first['rows']] == [5]
    assert [r['output_tokens'] for r in second['rows']] == [3]
    assert [(r['window'], r['output_tokens']) for r in second['late']] == [
        (1, 4)
    ]


@pytest.mark.promise
async def test_silent_entry_goes_on_under_a_new_name(autojump_clock):
    """An entry is paused for hours; its object is sealed and deleted.

    When it wakes, its next write conflicts. It goes on under a new name
    with what it had not written, and bills nothing a second time.
    """
    store = memory_store.MemoryStore()
    counts = entry_usage.make_usage(
        store, 'vm', trio.current_time, ENTRY_TERMS
    )
    counts.count('c', 'spot', output_tokens=5)
    await counts.flush()
    before = counts.incarnation
    item = store.table.get('usage', before)
    store.table.write('usage', before, None, item.version)
    counts.count('c', 'spot', output_tokens=2)
    with pytest.raises(errors.StoreError):
        await counts.flush()
    await counts.flush()
    assert counts.incarnation != before
    found = store.table.get('usage', counts.incarnation)
    assert total(found.value['rows']) == {('c', 'spot'): 2}


async def test_what_runs_is_counted_before_each_write(autojump_clock):
    # A long stream's part was lost with the process that relayed it.
    store = memory_store.MemoryStore()
    counts = entry_usage.make_usage(
        store, 'vm', trio.current_time, ENTRY_TERMS
    )

    def part():
        counts.count('c', 'spot', output_tokens=3)

    def kept():
        found = store.table.get('usage', counts.incarnation)
        return total(found.value['rows']) if found.value else {}

    with counts.relaying(part):
        await counts.flush()
        assert kept() == {('c', 'spot'): 3}
        await counts.flush()
        assert kept() == {('c', 'spot'): 6}
        assert counts.unflushed_tokens == 0
    await counts.flush()
    assert kept() == {('c', 'spot'): 6}
