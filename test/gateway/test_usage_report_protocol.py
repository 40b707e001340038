"""Explore usage reports under the leader lease with seeded failures.

The real lease, counting, sealing and reporting code runs in four processes
that are paused, killed and restarted. The store refuses, delays and loses
calls, and executes some of them late.
"""

import collections

import pytest
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.control import lease
from gentianstair.gateway import leader_tasks
from gentianstair.gateway import members as memberships
from gentianstair.gateway import usage_counter
from standins import chaos

LEASE_S = 3.0
WINDOW_S = 5.0
LIFETIME_S = 0.6
RUN_S = 240.0
PROCESSES = 4
CHANCES = chaos.Chances(pause=0.004, pause_s=8.0, late_s=6.0)


class Cloud:
    """The calls of a process to the platform, which may pause at steps."""

    def __init__(self, process, vm, has_deadman):
        self.process = process
        self.vm = vm
        self.has_deadman = has_deadman

    async def report_usage(self, authority, window, counts):
        process = self.process
        await process.step()
        left_s = authority.check(LIFETIME_S)
        checked_s = trio.current_time()
        await process.step()
        if self.has_deadman and trio.current_time() - checked_s > left_s:
            raise chaos.KilledError(process.name)
        arrived = trio.Event()
        process.world.nursery.start_soon(
            self.deliver, authority.epoch, window, dict(counts), arrived
        )
        with trio.move_on_after(0.8):
            await arrived.wait()
            await process.step()
            if not process.chance(CHANCES.lose_answer):
                return
        raise errors.UpstreamError('no answer', verdicts.Verdict.MAY_HAVE_RUN)

    async def deliver(self, epoch, window, counts, arrived):
        world = self.process.world
        if self.process.chance(CHANCES.lose_request):
            return
        await trio.sleep(world.random.uniform(0, LIFETIME_S))
        world.add(
            'platform',
            'report',
            vm=self.vm,
            epoch=epoch,
            window=window,
            counts=counts,
        )
        arrived.set()


class Vm:
    """A VM whose process is killed and restarted."""

    def __init__(self, world, number, timing, has_deadman, chances):
        self.world = world
        self.chances = chances
        self.name = f'vm-{number}'
        self.timing = timing
        self.has_deadman = has_deadman

    async def run(self):
        starts = 0
        while True:
            starts += 1
            try:
                await self.run_process(f'{self.name}.{starts}', starts == 1)
            except* chaos.KilledError:
                self.world.add(self.name, 'killed')
            await trio.sleep(1.0)

    async def run_process(self, name, is_first_run):
        process = chaos.Process(self.world, name, self.chances)
        store = chaos.ChaosStore(process)
        counts = usage_counter.UsageCounter(trio.current_time, WINDOW_S)
        record = memberships.Record(self.name, 'a', '', 0, {})
        members = memberships.Members(
            store, name, record, counts, process.clock, 400
        )
        lease_manager = lease.make_lease_manager(
            store, name, process.clock, self.timing
        )
        cloud = Cloud(process, self.name, self.has_deadman)
        reporter = leader_tasks.UsageReporter(
            store,
            members,
            cloud,
            counts,
            leader_tasks.ReportTiming(WINDOW_S, 10.0),
            trio.current_time,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(members.run)
            nursery.start_soon(self.count, counts)
            nursery.start_soon(self.update_candidates, members, lease_manager)
            if not is_first_run:
                await trio.sleep(self.timing.cooldown_s)
            nursery.start_soon(
                lease_manager.run, lambda: {leader_tasks.SCOPE: reporter.run}
            )
            await trio.sleep(self.world.random.uniform(20, 120))
            raise chaos.KilledError(name)

    async def count(self, counts):
        while True:
            await trio.sleep(self.world.random.uniform(0, 0.5))
            counts.count_start(self.world.random.choice(('club', 'guild')))

    async def update_candidates(self, members, lease_manager):
        while True:
            alive = sorted(member.name for member in members.alive())
            lease_manager.candidates = tuple(alive) or (members.name,)
            await trio.sleep(0.5)


async def explore(seed, timing=None, has_deadman=True, chances=CHANCES):
    """Return the reports of one run, in the order of their arrival."""
    timing = timing or leader_tasks.lease_timing(LEASE_S)
    async with trio.open_nursery() as nursery:
        world = chaos.World(seed, nursery)
        for number in range(PROCESSES):
            nursery.start_soon(
                Vm(world, number, timing, has_deadman, chances).run
            )
        await trio.sleep(RUN_S)
        nursery.cancel_scope.cancel()
    return [event for event in world.events if event.type == 'report']


def violations(reports):
    """Return the number of violations of each kind."""
    found = collections.Counter()
    first_counts = {}
    holders = {}
    highest = 0
    for event in reports:
        data = event.data
        first = first_counts.setdefault(data['window'], data['counts'])
        found['figures'] += first != data['counts']
        holder = holders.setdefault(data['epoch'], data['vm'])
        found['one epoch, two holders'] += holder != data['vm']
        found['lower epoch'] += data['epoch'] < highest
        highest = max(highest, data['epoch'])
    turns = [(event.at_s, event.data['vm']) for event in reports]
    for number, (at_s, vm) in enumerate(turns):
        between = False
        for later_s, other in turns[number + 1 :]:
            if later_s - at_s > LEASE_S:
                break
            found['turns'] += other == vm and between
            between = between or other != vm
    return +found


@pytest.mark.promise
@pytest.mark.parametrize('seed', range(12))
async def test_reports_come_from_one_leader_at_a_time(seed, autojump_clock):
    reports = await explore(seed)
    assert violations(reports) == {}
    windows = {event.data['window'] for event in reports}
    # Most windows are reported despite the failures.
    assert len(windows) > 0.6 * RUN_S / WINDOW_S


@pytest.mark.parametrize(
    ('history', 'kind'),
    [
        ([('a', 1, 7, 1), ('b', 2, 7, 2)], 'figures'),
        ([('a', 1, 7, 1), ('b', 1, 8, 1)], 'one epoch, two holders'),
        ([('a', 2, 7, 1), ('b', 1, 8, 1)], 'lower epoch'),
        ([('a', 1, 7, 1), ('b', 2, 8, 1), ('a', 3, 9, 1)], 'turns'),
    ],
)
def test_checker_finds_each_kind_of_violation(history, kind):
    reports = [
        chaos.history.Event(
            float(number),
            'platform',
            'report',
            {'vm': vm, 'epoch': e, 'window': w, 'counts': {'club': count}},
        )
        for number, (vm, e, w, count) in enumerate(history)
    ]
    assert violations(reports)[kind] == 1


PAUSED = CHANCES._replace(pause=0.03)


async def count_unsealed(self, window):
    """Return the current counts without sealing them."""
    records = await self._members.records()
    parts = [memberships.usage_windows(record) for record in records]
    return usage_counter.window_total(parts, window)


@pytest.mark.parametrize(
    ('has_deadman', 'sealed', 'kind'),
    [
        # A leader that is paused after its check sends without its lease.
        (False, True, 'lower epoch'),
        # Counts are not sealed before they are sent.
        (True, False, 'figures'),
    ],
)
async def test_exploration_finds_a_removed_safeguard(
    has_deadman, sealed, kind, autojump_clock, monkeypatch
):
    if not sealed:
        monkeypatch.setattr(
            leader_tasks.UsageReporter, '_seal', count_unsealed
        )
    found = collections.Counter()
    for seed in range(10):
        found += violations(
            await explore(seed, has_deadman=has_deadman, chances=PAUSED)
        )
    assert found[kind]
