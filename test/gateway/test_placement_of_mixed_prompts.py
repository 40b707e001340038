"""Play prompts of several kinds on the placement of many VMs, from cold.

Long prompts have a tight objective, which only prefill replicas meet while
their parts are not cached; the others have more time.
"""

import collections
import math
import typing

import pytest

from gentianstair.gateway import calls
from gentianstair.gateway import prefill_shortage
from test.gateway import many_vms_play

DURATION_S = 6.0
SEEDS = (1, 2)


class Kind(typing.NamedTuple):
    """A kind of prompt: how many come a second, and their objective."""

    per_s: float
    objective_s: float


KINDS = {
    'long': Kind(36.5, 0.83),
    'medium': Kind(25.4, 1.22),
    'short': Kind(41.0, 1.51),
}


def make_prompt(simulation, kind, number):
    rng = simulation.rng
    if kind == 'long':
        return simulation.prompt(number)
    if kind == 'medium':
        own = int(rng.expovariate(1 / 2890)) + 10
        parts = (
            calls.PromptPart(f'notes-{rng.randrange(4)}', 2520),
            calls.PromptPart(f'case-{rng.randrange(192)}', 3780),
            calls.PromptPart(f'own-{number}', own),
        )
    else:
        own = int(rng.expovariate(1 / 1250)) + 10
        parts = (
            calls.PromptPart(f'topic-{rng.randrange(78)}', 210),
            calls.PromptPart(f'own-{number}', own),
        )
    return calls.Prompt('m', sum(part.tokens for part in parts), 15, parts)


def late_shares(prompts_per_s):
    """Return the share of prompts with a late first event, by kind."""
    late, total = collections.Counter(), collections.Counter()
    weights = [kind.per_s for kind in KINDS.values()]
    for seed in SEEDS:
        simulation = many_vms_play.Simulation(seed)
        for number, vm in simulation.arrivals(prompts_per_s, DURATION_S):
            (kind,) = simulation.rng.choices(list(KINDS), weights)
            prompt = make_prompt(simulation, kind, number)
            objective_s = KINDS[kind].objective_s
            sent = simulation.send(vm, prompt, objective_s)
            total[kind] += 1
            late[kind] += sent.first_event_s - simulation.now_s > objective_s
    return {kind: late[kind] / total[kind] for kind in KINDS}


@pytest.mark.parametrize('prompts_per_s', [120.0, 160.0])
def test_long_prompts_do_not_queue_behind_those_that_have_time(
    prompts_per_s, monkeypatch
):
    # Prefill replicas took whatever they would end first.
    found = late_shares(prompts_per_s)
    monkeypatch.setattr(prefill_shortage, 'SHORT_QUEUE_S', math.inf)
    before = late_shares(prompts_per_s)
    assert all(found[kind] <= before[kind] for kind in KINDS)
    assert sum(found.values()) <= 0.85 * sum(before.values())
