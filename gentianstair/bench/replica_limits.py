"""Compare ways to keep the limits of replicas at many VMs, by simulation.

Arms: ``even`` gives each VM an even part; ``few`` lets a few VMs send, each
with a part; ``shared`` goes by one level that is told through hubs;
``permits`` asks the one VM that keeps a replica's permits, as the gateway
does.
"""

import argparse
import random
import statistics

import loguru

from gentianstair.bench import limits_ways
from gentianstair.bench import limits_world
from gentianstair.bench import lines
from gentianstair.bench import replica_limits_world
from gentianstair.core import permit_keeper
from gentianstair.core import upstream_limits
from gentianstair.core import upstream_permits
from gentianstair.gateway import hubs
from gentianstair.gateway import permit_keepers
from gentianstair.gateway import request_errors
from gentianstair.gateway import request_permits
from gentianstair.limits import token_bucket
from gentianstair.peers import permit_questions

Case = replica_limits_world.Case
# Beside the parts of the limit itself, VMs that send to a replica.
SPARE_SENDERS = 3
# Time that a request waits for its turn.
PATIENCE_S = 0.25
# Messages of a question and its answer: of a hub, and of a leaf.
HUB_MESSAGES, LEAF_MESSAGES = 2, 4


class Few:
    """Some VMs may send to a replica, each a part of the limit."""

    def __init__(self, world: limits_world.World) -> None:
        self._world = world
        self._buckets: dict[tuple[int, str], token_bucket.TokenBucket] = {}
        self._senders: dict[str, set[str]] = {}

    def admit(self, vm: int, replica: str, tokens: int) -> float:
        """Admit at a sender by its part, at no other VM."""
        world = self._world
        rate_per_s = world.limit_of(replica).rate_per_s
        count = min(world.scenario.vms, int(rate_per_s) + SPARE_SENDERS)
        names = [str(number) for number in range(world.scenario.vms)]
        if replica not in self._senders:
            self._senders[replica] = set(
                hubs.top_ranked(names, replica, count)
            )
        if str(vm) not in self._senders[replica]:
            return replica_limits_world.MAX_RETURN_S / 2
        bucket = self._buckets.setdefault(
            (vm, replica), token_bucket.TokenBucket(0.0, world.now())
        )
        bucket.refill(rate_per_s / count, 1.0, world.now())
        if bucket.level < tokens:
            return max(0.1, bucket.wait_s(tokens, rate_per_s / count))
        bucket.take(tokens)
        return 0.0

    def step(self, events: list) -> None:
        """Exchange nothing."""

    def restart(self) -> None:
        """Forget all."""
        self._buckets.clear()

    def rows(self) -> int:
        """Return 0."""
        return 0


class Permits:
    """The gateway's way, with the time of its messages left out."""

    def __init__(self, world: limits_world.World) -> None:
        self._world = world
        self._hubs = range(hubs.hub_count(world.scenario.vms))
        self._messages = 0
        self._rng = random.Random(1)
        self.restart()

    def restart(self) -> None:
        """Start all processes anew."""
        self._keepers = [
            permit_keeper.PermitKeeper(self._world.now) for _ in self._hubs
        ]
        # By VM and replica, until when it does not ask, and when there may
        # be a permit for a last resort.
        self._denied: dict[tuple[int, str], tuple[float, float]] = {}

    def choose(
        self, vm: int, replicas: list[str]
    ) -> replica_limits_world.Choice:
        """Ask the keepers, and as a last resort for a turn."""
        now_s = self._world.now()
        for replica in replicas:
            denied = self._denied.get((vm, replica))
            if denied is not None and now_s < denied[0]:
                continue
            if self._ask(vm, replica, False):
                return replica_limits_world.Choice(replica)
        soonest = sorted(replicas, key=lambda name: self._denied[vm, name][1])
        for replica in soonest[: request_permits.MAX_TURN_ASKS]:
            if self._denied[vm, replica][1] > now_s + PATIENCE_S:
                break
            if self._ask(vm, replica, True):
                return replica_limits_world.Choice(replica)
        available_s = min(self._denied[vm, name][1] for name in replicas)
        wait_s = max(request_errors.MIN_RETRY_AFTER_S, available_s - now_s)
        return replica_limits_world.Choice(None, wait_s)

    def _ask(self, vm: int, replica: str, is_last_resort: bool) -> bool:
        """Ask for a permit; remember a denial."""
        grant = self._answer(vm, replica, is_last_resort)
        if not grant.is_granted:
            now_s = self._world.now()
            spread = 1.0 + upstream_permits.RETRY_SPREAD * self._rng.random()
            self._denied[vm, replica] = (
                now_s + grant.retry_s * spread,
                now_s + min(grant.wait_s, grant.spare_wait_s),
            )
        return grant.is_granted

    def _answer(
        self, vm: int, replica: str, is_last_resort: bool
    ) -> permit_keeper.Grant:
        world = self._world
        known = self._known_hubs(vm)
        if not known:
            return permit_questions.UNANSWERED
        names = {f'h{hub}': hub for hub in known}
        (name,) = hubs.top_ranked(names, replica, 1)
        keeper = names[name]
        messages = HUB_MESSAGES if vm in self._hubs else LEAF_MESSAGES
        if keeper == vm:
            messages = 0
        self._messages += messages
        delivered = (1 - world.scenario.loss) ** messages
        if keeper != vm and world.is_cut(keeper):
            return permit_questions.UNANSWERED
        grant = self._grant(keeper, replica, is_last_resort)
        if world.rng.random() >= delivered:
            return permit_questions.UNANSWERED
        return grant

    def _known_hubs(self, vm: int) -> list[int]:
        """Return the hubs that a VM hears; a silent one for a while."""
        world = self._world
        if world.is_cut(vm):
            return [vm] if vm in self._hubs else []
        heard_s = world.now() - permit_keepers.HUB_TIMEOUT_S
        return [
            hub
            for hub in self._hubs
            if not world.is_cut(hub) or heard_s < world.scenario.cut[0]
        ]

    def _grant(
        self, keeper: int, replica: str, is_last_resort: bool
    ) -> permit_keeper.Grant:
        world = self._world
        vms = world.scenario.vms
        cut = sum(map(world.is_cut, range(vms)))
        reach = 1 / vms if world.is_cut(keeper) else 1 - cut / vms
        run = upstream_limits.UpstreamRun(replica, 1)
        rate_per_s = world.limit_of(replica).rate_per_s
        patience_s = PATIENCE_S if is_last_resort else 0.0
        ask = permit_keeper.Ask(run, rate_per_s, patience_s, is_last_resort)
        return self._keepers[keeper].grant(ask, reach, vms)

    def step(self, events: list) -> None:
        """Exchange nothing unasked."""

    def messages(self) -> int:
        """Return how many messages were sent."""
        return self._messages


def _one_by_one(
    make_way: limits_world.MakeWay,
) -> replica_limits_world.MakeWay:
    return lambda world: replica_limits_world.OneByOne(make_way(world))


WAYS: dict[str, replica_limits_world.MakeWay] = {
    'even': _one_by_one(limits_ways.EvenShares),
    'few': _one_by_one(Few),
    'shared': _one_by_one(limits_ways.SharedLevels),
    'permits': Permits,
}
CASES = {
    f'{vms} VMs, {limit:g} a second': Case(vms, limit)
    for vms in (8, 90, 300, 3000)
    for limit in (0.5, 1.0, 20.0)
}
CASES.update(
    {
        '8 VMs, 1 a second, load below': Case(8, 1.0, load=0.7),
        '8 VMs, 20 a second, load below': Case(8, 20.0, load=0.9),
        '90 VMs, 20 a second, load below': Case(90, 20.0, load=0.9),
        '8 VMs, 3 a second, a quarter cut': Case(8, 3.0, cut_share=0.25),
        '90 VMs, 3 a second, a third cut': Case(90, 3.0, cut_share=0.33),
        '90 VMs, 3 a second, messages lost': Case(90, 3.0, loss=0.1),
        '90 VMs, 3 a second, all restart': Case(90, 3.0, restart_s=15.0),
        '90 VMs, 1 a second, 12 replicas': Case(90, 1.0, replicas=12),
    }
)
MEASURES = {
    'worst': 'of what is allowed',
    'used': 'of the limits',
    'served': 'of requests',
    'messages_per_s': 'of all VMs',
}


def _figures(
    name: str, way: str, results: list[replica_limits_world.Result]
) -> list[lines.Figure]:
    """Return the figures of one arm: the worst window, and means."""
    found = []
    for measure, unit in MEASURES.items():
        values = [getattr(result, measure) for result in results]
        value = max(values) if measure == 'worst' else statistics.fmean(values)
        found.append(lines.Figure(f'{name}: {measure}', way, value, unit))
    return found


def main(argv: list[str]) -> int:
    """Play all cases under all ways and return the exit code."""
    parser = argparse.ArgumentParser(prog='bench replica_limits')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=2)
    parser.add_argument('--ways', nargs='*', default=list(WAYS))
    parser.add_argument('--max-vms', type=int, default=3000)
    parser.add_argument('--json', action='store_true')
    options = parser.parse_args(argv)
    loguru.logger.remove()
    figures = []
    for name, case in CASES.items():
        if case.vms > options.max_vms:
            continue
        for way in options.ways:
            results = [
                replica_limits_world.Play(case, WAYS[way], seed).run()
                for seed in range(options.seed, options.seed + options.seeds)
            ]
            figures += _figures(name, way, results)
    lines.show(
        figures, options.json, ['the time that messages of permits take']
    )
    return 0
