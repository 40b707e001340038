"""Measure how customers fare while one floods all entry VMs."""

import argparse
import collections
import math
import random
import typing

import trio
import trio.testing

from gentianstair import errors
from gentianstair.bench import lines
from gentianstair.bench import twins
from gentianstair.entry import admission
from gentianstair.entry import work as works

VMS = 8
CUSTOMERS = 8
SLOTS = 64
SLOT_COST_PER_S = 1000.0
FLEET_COST_PER_S = SLOTS * SLOT_COST_PER_S
DEADLINE_S = 20.0
# The first seconds fill the fleet and are not counted.
WARM_S = 15.0
RUN_S = 120.0
FLOOD = 10.0
VICTIM_SHARE = 0.9
SUMMARY_S = 0.25
SUMMARY_DELAY_S = 0.05
SUMMARY_LOSS = 0.02
OBEYING_SHARE = 0.3
MOST_RETURNS = 3
MOST_PROMPT = 8000
MOST_OUTPUT = 400
GAP_WEIGHTS = {'left': 1.0, 'right': 2.0}


class Arrival(typing.NamedTuple):
    """One request of the workload, the same for every arm."""

    at_s: float
    vm: int
    work: works.Work
    output_tokens: int
    obeys: bool
    vms: tuple[int, ...]


class Customer(typing.NamedTuple):
    """A customer's share of the fleet that it asks for, and its VMs."""

    name: str
    share: float
    vms: tuple[int, ...]
    start_s: float = 0.0
    stop_s: float = RUN_S


class Outcome(typing.NamedTuple):
    """What became of one try."""

    arrival: Arrival
    first: bool
    ended_s: float
    result: str
    cost: float
    retry_after_s: float | None


def draw_work(rng: random.Random, customer: str, number: int) -> works.Work:
    """Return a request with a long prompt and a short answer."""
    prompt = min(MOST_PROMPT, int(rng.lognormvariate(7.6, 0.7)))
    return works.Work(
        f'{customer}-{number}',
        customer,
        'm',
        prompt,
        rng.randint(50, MOST_OUTPUT),
        DEADLINE_S,
    )


def mean_cost(seed: int = 0) -> float:
    """Return the true mean cost of drawn requests."""
    rng = random.Random(seed)
    total = 0.0
    for number in range(4000):
        work = draw_work(rng, 'x', number)
        total += work.prompt_tokens + 4.0 * 0.65 * work.max_tokens
    return total / 4000


def draw_arrivals(
    customers: typing.Iterable[Customer], seed: int
) -> list[Arrival]:
    """Return Poisson arrivals; a customer's do not depend on the others."""
    found = []
    each = mean_cost()
    for customer in customers:
        rng = random.Random(f'{seed} {customer.name}')
        rate = customer.share * FLEET_COST_PER_S / each
        at_s = customer.start_s + rng.expovariate(rate)
        number = 0
        while at_s < customer.stop_s:
            work = draw_work(rng, customer.name, number)
            output = max(1, int(work.max_tokens * rng.uniform(0.3, 1.0)))
            vm = rng.choice(customer.vms)
            obeys = rng.random() < OBEYING_SHARE
            found.append(Arrival(at_s, vm, work, output, obeys, customer.vms))
            at_s += rng.expovariate(rate)
            number += 1
    return sorted(found, key=lambda arrival: arrival.at_s)


class Engines:
    """The fleet's engines: slots of fixed speed, shared when overfull."""

    def __init__(self) -> None:
        self.running = 0
        self.most_running = 0
        self.wasted_cost = 0.0
        self.served: dict[str, float] = collections.defaultdict(float)

    async def run(self, arrival: Arrival) -> float:
        """Serve one request and return its true cost."""
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        cost = arrival.work.prompt_tokens + 4.0 * arrival.output_tokens
        crowding = max(1.0, self.running / SLOTS)
        try:
            await trio.sleep(cost / SLOT_COST_PER_S * crowding)
        finally:
            self.running -= 1
        self.served[arrival.work.customer] += cost
        return cost


class Run:
    """One arm of the bench over one list of arrivals."""

    def __init__(self, arm: str, seed: int, weights: dict[str, float]):
        self.rng = random.Random(seed)
        self.engines = Engines()
        self.outcomes: list[Outcome] = []
        self.arm = arm
        names = [f'vm-{number}' for number in range(VMS)]
        if arm == 'fifo':
            self.queues: list[typing.Any] = [
                twins.FifoQueue(SLOTS // VMS) for _ in names
            ]
            return
        self.queues = []
        for name in names:
            queue = admission.make_queue(
                name, lambda who: weights.get(who, 1.0), record=_ignore
            )
            queue.set_vms(names)
            queue.set_capacity('m', SLOTS, FLEET_COST_PER_S)
            self.queues.append(queue)

    async def play(self, arrivals: list[Arrival], until_s: float) -> None:
        """Run all arrivals and their returns until a time."""
        with trio.move_on_after(until_s):
            async with trio.open_nursery() as nursery:
                if self.arm != 'fifo':
                    for number in range(VMS):
                        nursery.start_soon(self._spread, nursery, number)
                for arrival in arrivals:
                    await trio.sleep_until(arrival.at_s)
                    nursery.start_soon(self._call, arrival)
                await trio.sleep_forever()

    async def _spread(self, nursery: trio.Nursery, number: int) -> None:
        await trio.sleep(SUMMARY_S * self.rng.random())
        while True:
            summary = self.queues[number].summary()
            if summary is not None:
                nursery.start_soon(self._deliver, number, summary)
            await trio.sleep(SUMMARY_S)

    async def _deliver(self, number: int, summary: typing.Any) -> None:
        await trio.sleep(SUMMARY_DELAY_S)
        for peer, queue in enumerate(self.queues):
            if peer != number and self.rng.random() >= SUMMARY_LOSS:
                queue.merge(f'vm-{number}', summary)

    async def _call(self, arrival: Arrival) -> None:
        vm = arrival.vm
        for attempt in range(MOST_RETURNS + 1):
            outcome = await self._try(arrival, vm, attempt == 0)
            self.outcomes.append(outcome)
            if outcome.retry_after_s is None or not arrival.obeys:
                return
            # Retry-After is told in whole seconds.
            await trio.sleep(math.ceil(outcome.retry_after_s))
            vm = self.rng.choice(arrival.vms)

    async def _try(self, arrival: Arrival, vm: int, first: bool) -> Outcome:
        deadline_s = trio.current_time() + DEADLINE_S
        work = arrival.work._replace(deadline_s=deadline_s)
        cost = 0.0
        retry_after_s = None
        try:
            marked = self.arm == 'fair' and not first
            async with self.queues[vm].admit(work, marked) as ticket:
                cost = await self.engines.run(arrival)
                ticket.charge(work.prompt_tokens, arrival.output_tokens)
            now_s = trio.current_time()
            result = 'good' if now_s <= deadline_s else 'late'
            if result == 'late':
                self.engines.wasted_cost += cost
        except errors.RequestError as error:
            result = 'refused'
            retry_after_s = error.retry_after_s
        now_s = trio.current_time()
        return Outcome(arrival, first, now_s, result, cost, retry_after_s)


def _ignore(decision: typing.Any) -> None:
    pass


def play(
    arm: str,
    customers: list[Customer],
    seed: int,
    weights: dict[str, float] | None = None,
    until_s: float = RUN_S + 2 * DEADLINE_S,
) -> Run:
    """Return a finished run of one arm."""
    arrivals = draw_arrivals(customers, seed)
    run_of_arm: list[Run] = []

    async def main() -> None:
        run_of_arm.append(Run(arm, seed, weights or {}))
        await run_of_arm[0].play(arrivals, until_s)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return run_of_arm[0]


def goodput(run: Run, customer: str) -> float:
    """Return first tries served in time, as cost, after the warm-up."""
    return sum(
        outcome.cost
        for outcome in run.outcomes
        if outcome.first
        and outcome.result == 'good'
        and outcome.arrival.work.customer == customer
        and outcome.arrival.at_s >= WARM_S
    )


def _victims() -> list[Customer]:
    """Return customers within their share, some on few VMs."""
    share = VICTIM_SHARE / CUSTOMERS
    reach = [8, 8, 8, 4, 4, 2, 2]
    return [
        Customer(f'c{number}', share, tuple(range(width)))
        for number, width in enumerate(reach)
    ]


def flood(arm: str, seed: int) -> typing.Iterator[lines.Figure]:
    """Yield how the worst-served customer fares under a flood."""
    victims = _victims()
    flooder = Customer('flooder', FLOOD / CUSTOMERS, tuple(range(VMS)))
    flooded = play(arm, [*victims, flooder], seed)
    parts = []
    for victim in victims:
        alone = goodput(play(arm, [victim], seed), victim.name)
        parts.append(goodput(flooded, victim.name) / alone)
    span_s = RUN_S - WARM_S
    total = sum(
        outcome.cost
        for outcome in flooded.outcomes
        if outcome.result == 'good' and WARM_S <= outcome.ended_s <= RUN_S
    )
    yield lines.Figure('worst_victim_of_alone', arm, min(parts), 'share')
    mean = sum(parts) / len(parts)
    yield lines.Figure('mean_victim_of_alone', arm, mean, 'share')
    used = total / span_s / FLEET_COST_PER_S
    yield lines.Figure('fleet_goodput', arm, used, 'share')
    wasted = flooded.engines.wasted_cost / RUN_S / FLEET_COST_PER_S
    yield lines.Figure('late_work', arm, wasted, 'share')
    crowd = flooded.engines.most_running / SLOTS
    yield lines.Figure('most_running_of_slots', arm, crowd, 'times')


def gap_bound(weights: dict[str, float]) -> float:
    """Return the stated bound on the gap of two backlogged customers.

    Every slot of the fleet and one more a VM may hold a request whose
    charge is still to be corrected, and every VM may be wrong about what
    its peers served since their last summary.
    """
    largest = MOST_PROMPT + 4.0 * MOST_OUTPUT
    lightest = min(weights.values())
    lag_s = 2.0 * SUMMARY_S + SUMMARY_DELAY_S
    return ((SLOTS + VMS) * largest + lag_s * FLEET_COST_PER_S) / lightest


def gap(arm: str, seed: int) -> typing.Iterator[lines.Figure]:
    """Yield the widest gap between two customers that always wait."""
    places = {
        'shared_vms': (tuple(range(VMS)), (0, 1)),
        'apart': (tuple(range(2, VMS)), (0, 1)),
    }
    for name, (left, right) in places.items():
        widest = widest_gap(arm, seed, left, right)
        of_bound = widest / gap_bound(GAP_WEIGHTS)
        yield lines.Figure(f'gap_{name}', arm, widest, 'cost')
        yield lines.Figure(f'gap_{name}_of_bound', arm, of_bound, 'times')


def widest_gap(
    arm: str, seed: int, left: tuple[int, ...], right: tuple[int, ...]
) -> float:
    """Return the widest change of the difference, by weight, in cost."""
    customers = [
        Customer(name, 2.0, vms, 0.0, RUN_S)
        for name, vms in (('left', left), ('right', right))
    ]
    arrivals = draw_arrivals(customers, seed)
    seen: list[float] = []

    async def watch(run: Run) -> None:
        await trio.sleep(WARM_S)
        while True:
            left_cost, right_cost = (
                run.engines.served[name] / GAP_WEIGHTS[name]
                for name in ('left', 'right')
            )
            seen.append(left_cost - right_cost)
            await trio.sleep(0.1)

    async def main() -> None:
        run = Run(arm, seed, GAP_WEIGHTS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, run)
            await run.play(arrivals, RUN_S)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return max(seen) - min(seen)


def returns(arm: str, seed: int) -> typing.Iterator[lines.Figure]:
    """Yield how callers that obey Retry-After fare in a 1.5 times burst.

    In the arm ``fair`` they mark their returns, in ``unmarked`` they do not.
    """
    customers = [
        Customer(f'c{number}', 1.5 / CUSTOMERS, tuple(range(VMS)), 0.0, 60.0)
        for number in range(CUSTOMERS)
    ]
    run = play(arm, customers, seed, until_s=400.0)
    obeyed = [
        outcome
        for outcome in run.outcomes
        if outcome.arrival.obeys and not outcome.first
    ]
    seen = set()
    first_good = 0
    for outcome in obeyed:
        name = outcome.arrival.work.request_id
        if name not in seen:
            seen.add(name)
            first_good += outcome.result == 'good'
    share = first_good / max(1, len(seen))
    yield lines.Figure('obeying_served_at_return', arm, share, 'share')
    yield lines.Figure('obeying_returned', arm, len(seen), 'requests')
    waits = sorted(
        outcome.retry_after_s
        for outcome in run.outcomes
        if outcome.retry_after_s is not None
    )
    middle = waits[len(waits) // 2] if waits else 0.0
    yield lines.Figure('retry_after_median', arm, middle, 's')


PARTS = {'flood': flood, 'gap': gap, 'returns': returns}
ARMS = {'returns': ('fair', 'unmarked', 'fifo')}


def main(argv: list[str]) -> int:
    """Run the chosen parts for all arms and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--json', action='store_true')
    parser.add_argument('--part', choices=sorted(PARTS), action='append')
    args = parser.parse_args(argv)
    chosen = args.part or list(PARTS)
    figures: list[lines.Figure] = []
    for name in chosen:
        for arm in ARMS.get(name, ('fair', 'fifo')):
            figures += PARTS[name](arm, args.seed)
    missing = [name for name in PARTS if name not in chosen]
    lines.show(figures, args.json, missing)
    return 0
