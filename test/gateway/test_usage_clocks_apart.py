"""Test usage reports where the clocks of VMs are apart, or step."""

import pytest
import trio

from gentianstair.util import steady_wall_clock
from standins.platform import objects
from test.gateway import test_leader_tasks as tasks

WINDOW_S = tasks.WINDOW_S
# The platform's time at the beginning; windows began long ago.
BEGAN_S = 100000.0
FIRST = int(BEGAN_S // WINDOW_S)
# How long one VM leads, with its clock apart, before the other does.
LEADS_S = 40.0
REST_S = 60.0
APART = {
    'same': 0.0,
    'ahead-2-s': 2.0,
    'ahead-30-s': 30.0,
    'ahead-2400-s': 2400.0,
    'behind-2-s': -2.0,
    'behind-2400-s': -2400.0,
}


def make_clock(apart):
    """Return the wall clock of a VM, which steps as apart says."""
    began_s = trio.current_time()

    def wall_clock():
        passed_s = trio.current_time() - began_s
        return BEGAN_S + passed_s + apart(passed_s)

    return steady_wall_clock.SteadyWallClock(wall_clock, trio.current_time)


async def keep_counting(process):
    """Begin a request of a customer in each second."""
    while True:
        process.counts.count_start('club')
        await trio.sleep(1.0)


async def play(apart):
    """Return reports as one VM with a clock of its own leads at first."""
    table, cloud = objects.ObjectTable(), tasks.Cloud()
    one = tasks.Process(table, cloud, 'p1', make_clock(apart))
    two = tasks.Process(table, cloud, 'p2', make_clock(lambda _: 0.0))
    async with trio.open_nursery() as nursery:
        for process in (one, two):
            nursery.start_soon(process.members.run)
        nursery.start_soon(keep_counting, two)
        with trio.move_on_after(LEADS_S):
            await one.reporter.run(one.authority)
        with trio.move_on_after(REST_S):
            await two.reporter.run(two.authority)
        with trio.move_on_after(REST_S):
            await one.reporter.run(one.authority)
        nursery.cancel_scope.cancel()
    return cloud.reports


def last_of(reports):
    """Return the counts of each window that was reported."""
    return {window: counts.get('club', 0) for window, counts in reports}


@pytest.mark.parametrize('apart_s', APART.values(), ids=APART)
async def test_no_window_is_reported_twice_differently(
    autojump_clock, apart_s
):
    # Guards against two leaders that report other counts of one window.
    reports = await play(lambda _: apart_s)
    assert reports
    found = {}
    for window, counts in reports:
        assert found.setdefault(window, counts) == counts


@pytest.mark.parametrize('apart_s', APART.values(), ids=APART)
async def test_windows_are_reported_whole_after_a_leader_with_another_clock(
    autojump_clock, apart_s
):
    # Guards against windows sealed before they were over, by a leader whose
    # clock was ahead, for the time in which another leads.
    found = last_of(await play(lambda _: apart_s))
    led = range(
        FIRST + int((LEADS_S + 10.0) // WINDOW_S),
        FIRST + int((LEADS_S + REST_S - 20.0) // WINDOW_S),
    )
    wrong = {w: found.get(w) for w in led if found.get(w) != WINDOW_S}
    assert not wrong


@pytest.mark.parametrize(
    'step_s', [2.0, 600.0, -600.0], ids=['2-s', '600-s', 'back-600-s']
)
async def test_leader_whose_clock_was_set_right_reports_on(
    autojump_clock, step_s
):
    # Guards against a leader that reports nothing until its clock has
    # reached the windows of before.
    found = last_of(
        await play(lambda passed_s: step_s if passed_s < 20.0 else 0.0)
    )
    passed_s = LEADS_S + REST_S + REST_S
    led = range(
        FIRST + int((LEADS_S + REST_S + 10.0) // WINDOW_S),
        FIRST + int((passed_s - 20.0) // WINDOW_S),
    )
    wrong = {w: found.get(w) for w in led if found.get(w) != WINDOW_S}
    assert not wrong
