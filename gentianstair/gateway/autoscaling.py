"""Decide how many replicas of which kind to order in each failure domain.

Replicas that may be reclaimed cost a fraction of the others, and the
platform takes back those of a whole failure domain at a few seconds' notice.
So the work is carried by more of them than are needed, spread evenly, and
the dear ones fill only what is missing while too few cheap ones are there.
The load this answers is a mix of reading and drafting that shifts within
seconds, while a replica takes seconds to start: what is not there when a
shift comes does not come in time.
"""

import typing

from gentianstair.gateway import catalog
from gentianstair.gateway import replicas

# Cheap replicas are ordered until they cost this share of what the fleet
# that the operator started with costs. Half leaves the other half of the
# spend saved, and with prices of a fifth it buys more than twice the fleet.
SPEND_SHARE = 0.5
# An order is repeated when its replicas are not there this long after they
# could have started.
ORDER_TIMEOUT_S = 4.0
# Pause before asking again where there were none to be had.
UNAVAILABLE_RETRY_S = 1.5


# A replica that has been there for so long keeps the prompts most asked for.
WARMUP_S = 6.0
# Dear replicas are let go one by one: each takes along what it keeps of
# prompts, and those who need that wait until it is read again.
RELEASE_INTERVAL_S = 2.5


class Order(typing.NamedTuple):
    """How many replicas of a kind a failure domain is to have."""

    service: str
    failure_domain: str
    reclaimable: bool
    count: int


class DesiredCounts(typing.NamedTuple):
    """Counts by failure domain for each kind."""

    reclaimable: dict[str, int]
    on_demand: dict[str, int]


def spread(
    total: int, domains: typing.Sequence[str], most: int
) -> dict[str, int]:
    """Return an even spread over domains, the first ones first.

    >>> spread(5, ['a', 'b', 'c'], 2)
    {'a': 2, 'b': 2, 'c': 1}
    >>> spread(9, ['a', 'b'], 3)
    {'a': 3, 'b': 3}
    """
    counts = dict.fromkeys(domains, 0)
    left = min(total, most * len(domains))
    while left > 0:
        for domain in domains:
            if left > 0 and counts[domain] < most:
                counts[domain] += 1
                left -= 1
    return counts


def reclaimable_target(baseline: int, scaling: catalog.Scaling) -> int:
    """Return how many cheap replicas to have in all.

    >>> prices = {'a': 1.0, 'b': 1.0}
    >>> reclaimable_target(4, catalog.Scaling(1, 9, 4.0, 0.25, prices))
    8
    >>> reclaimable_target(4, catalog.Scaling(1, 9, 4.0, 0.8, prices))
    4
    """
    price = scaling.reclaimable_price
    if price >= 1.0 or price <= 0.0:
        return 0
    return max(baseline, int(SPEND_SHARE * baseline / price))


def count_by_domain(
    found: typing.Iterable[replicas.Replica], reclaimable: bool
) -> dict[str, int]:
    """Return the replicas of a kind by failure domain."""
    counts: dict[str, int] = {}
    for replica in found:
        if replica.reclaimable == reclaimable and not replica.draining:
            domain = replica.failure_domain
            counts[domain] = counts.get(domain, 0) + 1
    return counts


def desired_counts(
    scaling: catalog.Scaling,
    baseline: int,
    found: typing.Sequence[replicas.Replica],
    warm: typing.Collection[str],
) -> DesiredCounts:
    """Return what a service is to have, given what it has.

    baseline is how many replicas the operator started with. The dear ones
    make up for cheap ones that are not there; those that run stay until as
    many cheap ones are warm, by name in warm. New ones start in the
    cheapest domains.
    """
    domains = sorted(scaling.prices, key=lambda d: (scaling.prices[d], d))
    total = reclaimable_target(baseline, scaling)
    there = count_by_domain(found, True)
    have = count_by_domain(found, False)
    cold = baseline - count_warm(found, warm)
    on_demand = dict.fromkeys(domains, 0)
    for domain in sorted(domains, key=lambda d: -have.get(d, 0)):
        room = scaling.max_replicas - there.get(domain, 0)
        on_demand[domain] = max(0, min(cold, have.get(domain, 0), room))
        cold -= on_demand[domain]
    missing = baseline - sum(there.values()) - sum(on_demand.values())
    for domain in domains * scaling.max_replicas:
        room = scaling.max_replicas - there.get(domain, 0) - on_demand[domain]
        if missing > 0 and room > 0:
            on_demand[domain] += 1
            missing -= 1
    return DesiredCounts(
        spread(total, domains, scaling.max_replicas), on_demand
    )


def count_warm(
    found: typing.Iterable[replicas.Replica], warm: typing.Collection[str]
) -> int:
    """Return how many cheap replicas have been there for a while."""
    return sum(
        replica.reclaimable and not replica.draining and replica.name in warm
        for replica in found
    )


class OrderPlanner:
    """Turns what is wanted into orders, each repeated only when due."""

    def __init__(self) -> None:
        # When each replica was first seen.
        self._seen_s: dict[str, float] = {}
        self._let_go_s = 0.0
        # Until when an order is left to take effect, by its subject.
        self._until_s: dict[tuple[str, str, bool], float] = {}
        self._last: dict[tuple[str, str, bool], int] = {}
        # How many were there at the last look.
        self._had: dict[tuple[str, str, bool], int] = {}

    def warm_names(
        self, found: typing.Sequence[replicas.Replica], now_s: float
    ) -> set[str]:
        """Return the names of replicas that have been seen for WARMUP_S."""
        names = {replica.name for replica in found}
        self._seen_s = {name: self._seen_s.get(name, now_s) for name in names}
        return {
            n for n, at_s in self._seen_s.items() if now_s - at_s > WARMUP_S
        }

    def due_orders(
        self,
        service: str,
        scaling: catalog.Scaling,
        wanted: DesiredCounts,
        found: typing.Sequence[replicas.Replica],
        now_s: float,
    ) -> list[Order]:
        """Return the orders to give now, cheap replicas first."""
        orders = []
        dear = count_by_domain(found, False)
        kinds = ((True, wanted.reclaimable), (False, wanted.on_demand))
        for reclaimable, counts in kinds:
            have = count_by_domain(found, reclaimable)
            for domain, number in counts.items():
                key = (service, domain, reclaimable)
                if reclaimable:
                    # The most that a domain may have holds for both kinds.
                    number = min(
                        number, scaling.max_replicas - dear.get(domain, 0)
                    )
                elif number < have.get(domain, 0):
                    if now_s < self._let_go_s:
                        continue
                    number = have[domain] - 1
                    self._let_go_s = now_s + RELEASE_INTERVAL_S
                if have.get(domain, 0) < self._had.get(key, 0):
                    # Reclaimed: what was ordered before them has come.
                    self._until_s.pop(key, None)
                self._had[key] = have.get(domain, 0)
                waits = now_s < self._until_s.get(key, 0.0)
                repeated = self._last.get(key) == number
                if have.get(domain, 0) == number or (waits and repeated):
                    continue
                orders.append(Order(service, domain, reclaimable, number))
        return orders

    def record_accepted(
        self, order: Order, scaling: catalog.Scaling, now_s: float
    ) -> None:
        """Note an order that was accepted."""
        self._note(order, now_s + scaling.boot_s + ORDER_TIMEOUT_S)

    def record_unavailable(self, order: Order, now_s: float) -> None:
        """Note that there were none to be had."""
        self._note(order, now_s + UNAVAILABLE_RETRY_S)

    def _note(self, order: Order, until_s: float) -> None:
        key = (order.service, order.failure_domain, order.reclaimable)
        self._until_s[key] = until_s
        self._last[key] = order.count
