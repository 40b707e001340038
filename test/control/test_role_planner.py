"""Test when the planner changes prefill and mixed roles."""

import pytest

from gentianstair.bench import shift
from gentianstair.bench import shifts
from gentianstair.control import demand
from gentianstair.control import role_planner
from gentianstair.control import utilization


def make_views(prefill, mixed, changing=0):
    found = [
        role_planner.EngineView(f'p{i}', 'prefill', 'serving', 1)
        for i in range(prefill)
    ]
    found += [
        role_planner.EngineView(f'm{i}', 'mixed', 'serving', 10 + i)
        for i in range(mixed)
    ]
    found += [
        role_planner.EngineView(f'c{i}', 'mixed', 'draining', 3)
        for i in range(changing)
    ]
    return found


def add_requests(planner, begin_s, end_s, requests_per_s, prompt, output):
    for tick in range(int(begin_s), int(end_s)):
        for number in range(requests_per_s):
            arrival_s = tick - 1 + (number + 0.5) / requests_per_s
            planner.observe(arrival_s, prompt, output, prompt)


def first_change(planner, views, begin_s, end_s, **work):
    for tick in range(begin_s, end_s):
        add_requests(planner, tick, tick + 1, **work)
        found = planner.plan(views, float(tick))
        if found:
            return tick, found
    return None, []


LONG_PROMPTS = {'requests_per_s': 7, 'prompt': 3600, 'output': 160}
MANY_OUTPUTS = {'requests_per_s': 24, 'prompt': 500, 'output': 320}
LONG_OUTPUTS = {'requests_per_s': 12, 'prompt': 500, 'output': 320}


@pytest.mark.parametrize(
    ('work', 'views', 'role', 'name'),
    [
        # Mixed engines can't prefill all prompts: the least busy one changes.
        (LONG_PROMPTS, make_views(0, 5), 'prefill', 'm0'),
        # Two mixed engines can't decode all output: a prefill one changes.
        (MANY_OUTPUTS, make_views(3, 2), 'mixed', 'p0'),
        # These counts suit the mix.
        (LONG_OUTPUTS, make_views(1, 4), None, None),
        # One engine changes its role already.
        (LONG_PROMPTS, make_views(0, 4, 1), None, None),
    ],
    ids=['prompts', 'outputs', 'balanced', 'already-changing'],
)
def test_role_follows_the_mix(work, views, role, name):
    planner = role_planner.make_planner()
    at_s, changes = first_change(planner, views, 0, 60, **work)
    found = [(change.role, change.upstream) for change in changes]
    assert found == ([(role, name)] if role else [])


def test_no_mixed_engine_that_decode_needs_becomes_prefill():
    # Decode fills three mixed engines of five. A burst of long prompts must
    # not take one of them, or all running sequences would be late.
    planner = role_planner.make_planner()
    add_requests(planner, 0, 30, 14, 900, 700)
    add_requests(planner, 20, 30, 5, 3600, 100)
    views = make_views(2, 3)
    for tick in range(30, 60):
        add_requests(planner, tick, tick + 1, 14, 900, 700)
        add_requests(planner, tick, tick + 1, 5, 3600, 100)
        for change in planner.plan(views, float(tick)):
            assert change.role != 'prefill'


def test_alternating_mix_does_not_make_roles_flap():
    planner = role_planner.make_planner()
    views = make_views(2, 3)
    changes = []
    for tick in range(120):
        work = LONG_PROMPTS if tick % 2 else LONG_OUTPUTS
        add_requests(planner, tick, tick + 1, **work)
        changes += planner.plan(views, float(tick))
    assert len(changes) <= 1


def test_average_is_not_too_low_right_after_the_start():
    average = demand.DemandAverage(10.0)
    for tick in range(40):
        average.add(tick * 0.5, 100, 50, 80)
        if tick in (4, 39):
            found = average.demand(tick * 0.5)
            assert found.prompt_tokens_per_s == pytest.approx(160, rel=0.15)
            assert found.context_tokens == pytest.approx(125)


@pytest.mark.parametrize('prompt_share', [0.2, 0.7])
@pytest.mark.parametrize('replicas', [5, 6, 40])
def test_best_counts_for_a_steady_mix_are_not_overloaded(
    prompt_share, replicas
):
    part = shifts.reading_part(prompt_share)
    rate = shifts.requests_per_s(prompt_share, 0.8) * replicas
    context = shifts.READING.prompt_tokens * part
    steady = demand.Demand(
        rate * (part * 3600 + (1 - part) * 300),
        rate * (part * 160 + (1 - part) * 320),
        context,
    )
    plan, found = utilization.find_best_counts(
        utilization.DEFAULT_COSTS, steady, replicas
    )
    assert found.highest < 1.0
    assert plan.mixed >= replicas * 0.3


def test_role_changes_in_the_shift_bench_lose_no_request():
    # A request sent to an engine that changes its role must be refused as
    # not run and served elsewhere.
    phases = shift.make_phases(0.5, 6.0)
    arm = shift.ARMS['oracle']
    run, executor = shift.fleet.run_simulated(
        3, shift.run_arm, arm, phases, 5, 3
    )
    assert len(executor.changes) >= 1
    assert all(item.end_s is not None for item in run.outcomes)
    arrivals = shifts.make_arrivals(phases, 5, 3)
    served = sorted(item.work.request_id for item in run.outcomes)
    assert served == sorted(item.work.request_id for item in arrivals)
