"""Simulate a load of long and short prompts on the placement.

Replicas prefill one prompt after the other and cache all of them. The
placement knows only the events that a gateway would get.
"""

import itertools
import random
import typing

import pytest

from gentianstair.gateway import calls
from gentianstair.gateway import catalog
from gentianstair.gateway import placement
from gentianstair.gateway import prefill_costs
from gentianstair.gateway import prefix_index
from gentianstair.gateway import replica_load
from gentianstair.gateway import replicas
from test.gateway import prefill_play

ENGINE = catalog.Engine(64, 468083, 35136, 300000.0, ('m',))
# Seconds of latency, for a thousand tokens and for a million pairs.
COEFFICIENTS = (0.132, 0.0239, 0.0007)
DURATION_S = 30.0
LONG_OBJECTIVE_S = 0.8
SHORT_OBJECTIVE_S = 0.4


class Answered(typing.NamedTuple):
    long: bool
    first_event_s: float


def fleet():
    """Return three prefill and five decode replicas."""
    stages = ['prefill'] * 3 + ['decode'] * 5
    return [
        replicas.Replica(
            f'i-{n}', 's', f'i-{n}:80', 'a', 64, False, stage, 1, 0, False, ()
        )
        for n, stage in enumerate(stages)
    ]


def prompts(rng, long_per_s, short_per_s):
    """Yield arrival times and prompts, in order."""
    at_s = 0.0
    for number in itertools.count():
        at_s += rng.expovariate(long_per_s + short_per_s)
        if at_s > DURATION_S:
            return
        if rng.random() < short_per_s / (long_per_s + short_per_s):
            own = calls.PromptPart(f'own-{number}', 300)
            yield at_s, calls.Prompt('m', 300, 20, (own,))
            continue
        book = rng.randrange(91)
        shared = 3000 + 20600 * book // 90
        own = int(rng.expovariate(1 / 3700)) + 10
        parts = (
            calls.PromptPart(f'book-{book}', shared),
            calls.PromptPart(f'own-{number}', own),
        )
        yield at_s, calls.Prompt('m', shared + own, 100, parts)


class Simulation(prefill_play.Play):
    """The replicas, and a placement that observes them."""

    def __init__(self, seed):
        super().__init__(fleet(), COEFFICIENTS)
        self.load = replica_load.LoadTracker(lambda: self.now_s)
        self.index = prefix_index.PrefixIndex()
        self.costs = prefill_costs.PrefillCosts()
        self.placement = placement.Placement(
            'a', self.load, self.index, self.costs, random.Random(seed)
        )

    def by_plan(self, prompt):
        """Send a prompt by the placement; return when its prefill ends."""
        plan = self.placement.plan_stream(
            self.fleet, prompt, ENGINE, 17000, self.fleet
        )
        replica, ends_s = self.prefill_by_plan(plan, prompt)
        request = self.load.begin(
            replica.name,
            plan.work_s,
            self.now_s + plan.prefill_end_s,
            plan.miss_penalty_s,
        )
        self.index.expect(replica.name, prompt, ENGINE.kv_tokens)
        took_s = ends_s - self.now_s - plan.copy.duration_s - plan.queued_s

        def end():
            self.load.end(request)
            self.index.confirm(replica.name, prompt)
            self.costs.record(
                's', replica.stage, plan.uncached_tokens, prompt.tokens, took_s
            )

        self.schedule(ends_s, end)
        return ends_s

    def by_running(self, prompt):
        """Send a prompt to the replica with the fewest requests."""
        replica = min(
            self.fleet, key=lambda r: self.load.load_of(r.name).running
        )
        ends_s = self.prefill(replica, prompt)
        request = self.load.begin(replica.name)
        self.schedule(ends_s, lambda: self.load.end(request))
        return ends_s


def mean_value(late):
    """Return the mean value of requests; a late one is worth a tenth."""
    return 1 - 0.9 * late


def late_share(choose, seed, long_per_s, long):
    """Return the share of long or short prompts answered late."""
    simulation = Simulation(seed)
    answered = []
    rng = random.Random(seed)
    for at_s, prompt in prompts(rng, long_per_s, 40.0):
        simulation.advance(at_s)
        first_event_s = choose(simulation, prompt) - at_s
        if at_s > DURATION_S / 3:
            answered.append(Answered(len(prompt.parts) > 1, first_event_s))
    objective_s = LONG_OBJECTIVE_S if long else SHORT_OBJECTIVE_S
    times_s = [one.first_event_s for one in answered if one.long == long]
    return sum(time_s > objective_s for time_s in times_s) / len(times_s)


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize(
    ('long_per_s', 'long'),
    [(8.0, True), (8.0, False), (16.0, True), (16.0, False)],
)
def test_fewer_late_prompts_than_by_request_count(seed, long_per_s, long):
    """Long and short prompts arrive together at a reduced fleet.

    By request count, short prompts queue behind long ones, and shared
    prefixes are computed repeatedly.
    """
    planned = late_share(Simulation.by_plan, seed, long_per_s, long)
    by_count = late_share(Simulation.by_running, seed, long_per_s, long)
    assert planned <= 0.5 * by_count
    assert mean_value(planned) >= 0.9
