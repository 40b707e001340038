"""Play the load of a large fleet on the placement of its many VMs.

Each VM places the prompts of its own callers. It learns with a delay what
the others have sent and which parts the replicas have cached.
"""

import itertools
import random
import typing

import pytest

from gentianstair.gateway import calls
from gentianstair.gateway import catalog
from gentianstair.gateway import placement
from gentianstair.gateway import prefill_costs
from gentianstair.gateway import prefix_homes
from gentianstair.gateway import prefix_index
from gentianstair.gateway import replica_load
from gentianstair.gateway import replicas
from test.gateway import prefill_play

DOMAINS = 'abcde'
VMS = 60
PREFILLERS, DECODERS = 30, 50
ENGINE = catalog.Engine(64, 380531, 18432, 180000.0, ('m',))
# Seconds of latency, for a thousand tokens and for a million pairs.
COEFFICIENTS = (0.03, 0.0272, 0.00025)
# How old what a VM knows of the others' load and of caches is.
LOAD_DELAY_S = 0.4
CACHE_DELAY_S = 1.2
OBJECTIVE_S = 0.8
SHARED_PARTS = 275
DURATION_S = 8.0


class Totals(typing.NamedTuple):
    """What the callers and the replicas saw."""

    late_share: float
    mean_s: float
    # Tokens of shared parts that were computed though some replica had them
    # or was computing them.
    repeated_tokens: int


class Vm:
    """One VM's placement and what it knows."""

    def __init__(self, number, clock):
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.load = replica_load.LoadTracker(clock)
        self.index = prefix_index.PrefixIndex()
        costs = prefill_costs.PrefillCosts()
        fit = [
            prefill_costs.FittedCosts('s', 'prefill', 100, COEFFICIENTS),
        ]
        costs.seed(fit)
        self.placement = placement.Placement(
            self.domain, self.load, self.index, costs, random.Random(number)
        )


def fleet(seed):
    """Return replicas in all domains, with other names for each seed."""
    stages = ['prefill'] * PREFILLERS + ['decode'] * DECODERS
    return [
        replicas.Replica(
            f'i-{seed}-{n}',
            's',
            f'i-{seed}-{n}:80',
            DOMAINS[n % len(DOMAINS)],
            64,
            False,
            stage,
            1,
            0,
            False,
            (),
        )
        for n, stage in enumerate(stages)
    ]


class Simulation(prefill_play.Play):
    """The replicas, and VMs that each observe a part of what happens."""

    def __init__(self, seed):
        super().__init__(fleet(seed), COEFFICIENTS)
        self.rng = random.Random(seed)
        self.vms = [Vm(n, lambda: self.now_s) for n in range(VMS)]

    def prompt(self, number):
        book = int(SHARED_PARTS * self.rng.random() ** 1.4)
        shared = 6000 + 14600 * book // SHARED_PARTS
        own = int(self.rng.expovariate(1 / 3720)) + 10
        parts = (
            calls.PromptPart(f'book-{book}', shared),
            calls.PromptPart(f'own-{number}', own),
        )
        return calls.Prompt('m', shared + own, 15, parts)

    def send(self, vm, prompt):
        """Place a prompt; return when its prefill ends."""
        plan = vm.placement.plan_stream(
            self.fleet, prompt, ENGINE, 17000, self.fleet
        )
        replica, ends_s = self.prefill_by_plan(plan, prompt)
        active = vm.load.begin(
            replica.name,
            plan.work_s,
            self.now_s + plan.prefill_end_s,
            plan.miss_penalty_s,
        )
        vm.index.expect(replica.name, prompt, ENGINE.kv_tokens)

        def end():
            vm.load.end(active)
            vm.index.confirm(replica.name, prompt)

        def tell_all():
            shared = prompt.parts[0]
            for other in self.vms:
                other.index.update(replica.name, shared.name, shared.tokens)

        self.schedule(ends_s, end)
        self.schedule(ends_s + CACHE_DELAY_S, tell_all)
        return ends_s

    def exchange_loads(self):
        """Tell each VM the load that the others cause."""
        reports = [vm.load.local() for vm in self.vms]
        at_s = self.now_s + LOAD_DELAY_S / 2

        def arrive():
            for vm in self.vms:
                for number, report in enumerate(reports):
                    if self.vms[number] is not vm:
                        vm.load.update_peer(f'vm-{number}', report)

        self.schedule(at_s, arrive)


def play(seed, prompts_per_s):
    """Return what callers and replicas saw from a cold start on."""
    simulation = Simulation(seed)
    times_s = []
    at_s, report_s = 0.0, 0.0
    for number in itertools.count():
        at_s += simulation.rng.expovariate(prompts_per_s)
        if at_s > DURATION_S:
            break
        while report_s < at_s:
            simulation.advance(report_s)
            simulation.exchange_loads()
            report_s += LOAD_DELAY_S / 2
        simulation.advance(at_s)
        vm = simulation.rng.choice(simulation.vms)
        prompt = simulation.prompt(number)
        times_s.append(simulation.send(vm, prompt) - at_s)
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
