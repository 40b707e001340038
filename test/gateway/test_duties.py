"""Test that windows are reported once, with one set of figures."""

import pytest
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.control import lease
from gentianstair.gateway import duties
from gentianstair.gateway import members as memberships
from gentianstair.gateway import usage
from gentianstair.util import clock
from standins import memory_store
from standins.platform import objects

WINDOW_S = 5.0
TERMS = duties.Terms(WINDOW_S, 10.0)


class Cloud:
    """Take reports; lose the answers of some."""

    def __init__(self):
        self.reports = []
        self.lost = 0

    async def report_usage(self, authority, window, counts):
        authority.check()
        self.reports.append((window, dict(counts)))
        if self.lost:
            self.lost -= 1
            raise errors.UpstreamError('lost', verdicts.Verdict.MAY_HAVE_RUN)


class Process:
    """One gateway process's part in the counting and reporting."""

    def __init__(self, table, cloud, name, wall):
        self.store = memory_store.MemoryStore(table)
        self.counts = usage.Counts(wall, WINDOW_S)
        record = memberships.Record(name, 'a', '', 0, {})
        self.members = memberships.Members(
            self.store, name, record, self.counts, clock.trio_time_s, 400
        )
        self.reporter = duties.UsageReporter(
            self.store,
            self.members,
            cloud,
            self.counts,
            TERMS,
            wall,
        )
        self.authority = lease.Authority('duties', name, 1, clock.trio_time_s)
        self.authority.valid_until_s = 1e9


@pytest.fixture
async def pair(autojump_clock):
    table = objects.ObjectTable()
    cloud = Cloud()
    started_s = trio.current_time()

    def wall():
        return trio.current_time() - started_s

    one, two = (Process(table, cloud, name, wall) for name in ('p1', 'p2'))
    return cloud, one, two


async def test_counts_of_all_processes_are_added(
    pair, autojump_clock, nursery
):
    cloud, one, two = pair
    for process in (one, two):
        nursery.start_soon(process.members.run)
    nursery.start_soon(one.reporter.run, one.authority)
    await trio.sleep(1)
    one.counts.began('club')
    two.counts.began('club')
    two.counts.began('guild')
    two.counts.began(None)
    await trio.sleep(15)
    assert cloud.reports[0] == (0, {'club': 2, 'guild': 1})
    assert [window for window, _ in cloud.reports] == [0, 1]


async def test_a_killed_process_is_still_counted(
    pair, autojump_clock, nursery
):
    cloud, one, two = pair
    nursery.start_soon(one.members.run)
    two.counts.began('club')
    await two.members.write_heartbeat()
    nursery.start_soon(one.reporter.run, one.authority)
    await trio.sleep(12)
    assert cloud.reports[0] == (0, {'club': 1})


async def test_a_new_holder_repeats_the_same_figures(
    pair, autojump_clock, nursery
):
    """The answer to a report is lost, its holder dies, counts grow late.

    The next holder must report what the first one did: two reports of one
    window with different figures break the users' trust in both.
    """
    cloud, one, two = pair
    one.counts.began('club')
    await one.members.write_heartbeat()
    cloud.lost = 1
    with trio.move_on_after(10.2):
        await one.reporter.run(one.authority)
    one.counts._windows[0]['club'] += 5
    await one.members.write_heartbeat()
    with trio.move_on_after(3):
        await two.reporter.run(two.authority)
    assert len(cloud.reports) == 2
    assert cloud.reports[0] == cloud.reports[1] == (0, {'club': 1})


async def test_a_process_that_just_started_is_no_candidate(
    pair, autojump_clock, nursery
):
    """The holder is killed and starts again; the lease prefers its new name.

    It must rest and watch before it takes a lease; the others waited for
    it, and windows went unreported for eight seconds.
    """
    _, one, two = pair
    nursery.start_soon(one.members.run)
    await trio.sleep(20)
    nursery.start_soon(two.members.run)
    await trio.sleep(2)
    least_s = duties.watch_s(3.0)
    assert one.members.lease_candidates(least_s) == ('p1',)
    await trio.sleep(10)
    assert one.members.lease_candidates(least_s) == ('p1', 'p2')


async def test_after_a_start_of_all_everybody_is_a_candidate(
    pair, autojump_clock, nursery
):
    _, one, two = pair
    nursery.start_soon(one.members.run)
    nursery.start_soon(two.members.run)
    await trio.sleep(2)
    assert one.members.lease_candidates(duties.watch_s(3.0)) == ('p1', 'p2')


async def test_an_unreadable_seal_is_not_reported(pair, autojump_clock):
    cloud, one, _ = pair
    one.store.table.write('usage-seal', '0', {'counts': 'many'}, 0)
    with trio.move_on_after(14):
        await one.reporter.run(one.authority)
    assert cloud.reports == []


async def test_reporting_ends_with_the_authority(pair, autojump_clock):
    cloud, one, _ = pair
    one.authority.valid_until_s = trio.current_time() + 5
    with pytest.raises(errors.LeaseLostError):
        await one.reporter.run(one.authority)
    assert cloud.reports == []


@pytest.mark.parametrize('lost', [0.0, 0.5])
async def test_a_beat_survives_lost_answers(pair, autojump_clock, lost):
    _, one, _ = pair
    one.store.faults.lose_answers = lost
    for number in range(20):
        one.counts.began('club')
        await one.members.write_heartbeat()
        await trio.sleep(0.1)
        del number
    one.store.faults.lose_answers = 0.0
    await one.members.write_heartbeat()
    await one.members.write_heartbeat()
    (record,) = await one.members.records()
    assert sum(sum(c.values()) for c in record.windows.values()) == 20


async def test_a_vm_that_the_store_turns_away_is_not_alone(
    pair, autojump_clock, nursery
):
    """The store turns one VM away for long.

    It sees nobody beat. Were the others gone, all that the fleet may
    repeat would be its own; they are there, and each spends its part.
    """
    _, one, other = pair
    for process in (one, other):
        nursery.start_soon(process.members.run)
    await trio.sleep(5)
    assert one.members.count() == 2
    one.store.faults.down = True
    await trio.sleep(30)
    assert one.members.count() == 2
    # Those that the store shows to be gone do not count.
    one.store.faults.down = False
    other.store.faults.down = True
    await trio.sleep(10)
    assert one.members.count() == 1
