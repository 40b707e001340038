"""Play many VMs, each of which places the prompts of its own callers.

A VM learns with a delay what the others have sent and which parts the
replicas have cached.
"""

import itertools
import random
import typing

from gentianstair.gateway import cache_updates
from gentianstair.gateway import calls
from gentianstair.gateway import catalog
from gentianstair.gateway import placement
from gentianstair.gateway import prefill_costs
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
SHARED_PARTS = 275


class Sent(typing.NamedTuple):
    """When the prefill of a prompt ends, and its first event comes."""

    prefill_end_s: float
    first_event_s: float


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

    def send(self, vm, prompt, objective_s=0.0):
        """Place a prompt at a VM and return when it is served."""
        plan = vm.placement.plan_stream(
            self.fleet, prompt, ENGINE, 17000, self.fleet, objective_s
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
            for part in prompt.parts[:-1]:
                if part.tokens < cache_updates.MIN_SHARED_TOKENS:
                    continue
                for other in self.vms:
                    other.index.update(replica.name, part.name, part.tokens)

        self.schedule(ends_s, end)
        self.schedule(ends_s + CACHE_DELAY_S, tell_all)
        if plan.prefill_replica is None:
            return Sent(ends_s, ends_s)
        moved_s = placement.TRANSFER_SETUP_S
        moved_s += placement.transfer_s(prompt.tokens, ENGINE)
        return Sent(ends_s, ends_s + moved_s)

    def arrivals(self, prompts_per_s, duration_s):
        """Yield a number and a VM for each arrival, in simulated time."""
        at_s, report_s = 0.0, 0.0
        for number in itertools.count():
            at_s += self.rng.expovariate(prompts_per_s)
            if at_s > duration_s:
                return
            while report_s < at_s:
                self.advance(report_s)
                self.exchange_loads()
                report_s += LOAD_DELAY_S / 2
            self.advance(at_s)
            yield number, self.rng.choice(self.vms)

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
