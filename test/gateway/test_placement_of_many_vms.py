"""Play the load of a large fleet on the placement of its many VMs."""

import typing

import pytest

from gentianstair.gateway import prefix_homes
from test.gateway import many_vms_play

OBJECTIVE_S = 0.8
DURATION_S = 8.0


class Totals(typing.NamedTuple):
    """What the callers and the replicas saw."""

    late_share: float
    mean_s: float
    # Tokens of shared parts that were computed though some replica had them
    # or was computing them.
    repeated_tokens: int


def play(seed, prompts_per_s):
    """Return what callers and replicas saw from a cold start on."""
    simulation = many_vms_play.Simulation(seed)
    times_s = []
    for number, vm in simulation.arrivals(prompts_per_s, DURATION_S):
        sent = simulation.send(vm, simulation.prompt(number))
        times_s.append(sent.prefill_end_s - simulation.now_s)
    late = sum(time_s > OBJECTIVE_S for time_s in times_s)
    return Totals(
        late / len(times_s),
        sum(times_s) / len(times_s),
        simulation.repeated_tokens,
    )


SEEDS = (1, 2, 3)


def mean_totals(prompts_per_s):
    plays = [play(seed, prompts_per_s) for seed in SEEDS]
    return Totals(
        *(sum(column) / len(SEEDS) for column in zip(*plays, strict=True))
    )


@pytest.mark.parametrize('prompts_per_s', [40.0, 60.0, 80.0])
def test_cold_start_computes_shared_parts_less_often(
    prompts_per_s, monkeypatch
):
    """Many VMs get prompts with the same shared part before any is cached.

    Each would have it computed at another replica, and prompts would wait
    for work that is done twice.
    """
    with_homes = mean_totals(prompts_per_s)
    monkeypatch.setattr(
        prefix_homes, 'choose', lambda part, fleet: prefix_homes.NO_HOMES
    )
    without = mean_totals(prompts_per_s)
    assert with_homes.repeated_tokens <= 0.75 * without.repeated_tokens
    assert with_homes.late_share <= without.late_share
    assert with_homes.mean_s <= without.mean_s
