"""Decide how many replicas to order in each failure domain.

Reclaimable replicas cost a fraction of on-demand ones, but the platform
reclaims all of a failure domain at a few seconds' notice. So more of them are
ordered than the load needs, spread evenly, and on-demand replicas fill in
only while too few reclaimable ones are running. Load shifts within seconds
while a replica takes seconds to start, so the spare replicas are kept running.
"""

import typing

from gentianstair.gateway import catalog
from gentianstair.gateway import replicas

# Share of the cost of the operator's initial fleet that reclaimable replicas
# may cost in all.
SPEND_SHARE = 0.5
# An order is repeated if its replicas are missing for this long after their
# boot time.
ORDER_TIMEOUT_S = 4.0
# Delay before the next order where no replica was available.
UNAVAILABLE_RETRY_S = 1.5
# A replica counts as warm after this time: it then caches the prefixes that
# are in demand.
WARMUP_S = 6.0
# Minimum time between two releases of on-demand replicas: the prefixes cached
# at a released replica must be computed again elsewhere.
RELEASE_INTERVAL_S = 2.5
# In a large fleet the interval is shorter, so that releasing as many replicas
# as the operator started takes this long: each of them caches a smaller part.
RELEASE_ALL_S = 12.5


class Order(typing.NamedTuple):
    """The number of replicas that a failure domain should have."""

    service: str
    failure_domain: str
    reclaimable: bool
    count: int


class DesiredCounts(typing.NamedTuple):
    """The desired number of replicas by failure domain."""

    reclaimable: dict[str, int]
    on_demand: dict[str, int]
    # Minimum time between two releases of on-demand replicas.
    release_interval_s: float = RELEASE_INTERVAL_S


def release_interval_s(baseline: int) -> float:
    """Return the time between two releases in a fleet of some size.

    >>> [release_interval_s(baseline) for baseline in (1, 5, 50)]
    [2.5, 2.5, 0.25]
    """
    return min(RELEASE_INTERVAL_S, RELEASE_ALL_S / max(1, baseline))


def spread(
    total: int, domains: typing.Sequence[str], max_per_domain: int
) -> dict[str, int]:
    """Return an even spread over domains, the first ones first.

    >>> spread(5, ['a', 'b', 'c'], 2)
    {'a': 2, 'b': 2, 'c': 1}
    >>> spread(9, ['a', 'b'], 3)
    {'a': 3, 'b': 3}
    """
    counts = dict.fromkeys(domains, 0)
    left = min(total, max_per_domain * len(domains))
    while left > 0:
        for domain in domains:
            if left > 0 and counts[domain] < max_per_domain:
                counts[domain] += 1
                left -= 1
    return counts


def reclaimable_target(baseline: int, scaling: catalog.Scaling) -> int:
    """Return the desired number of reclaimable replicas in all.

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
    fleet: typing.Iterable[replicas.Replica], reclaimable: bool
) -> dict[str, int]:
    """Return the number of replicas of a kind that are not draining."""
    counts: dict[str, int] = {}
    for replica in fleet:
        if replica.reclaimable == reclaimable and not replica.draining:
            domain = replica.failure_domain
            counts[domain] = counts.get(domain, 0) + 1
    return counts


def desired_counts(
    scaling: catalog.Scaling,
    baseline: int,
    fleet: typing.Sequence[replicas.Replica],
    warm: typing.Collection[str],
) -> DesiredCounts:
    """Return the desired replicas of a service with a given fleet.

    baseline is the size of the operator's initial fleet, and warm names the
    warm replicas. Running on-demand replicas stay until baseline reclaimable
    ones are warm. New on-demand replicas start in the cheapest domains.
    """
    domains = sorted(scaling.prices, key=lambda d: (scaling.prices[d], d))
    total = reclaimable_target(baseline, scaling)
    reclaimable = count_by_domain(fleet, True)
    running = count_by_domain(fleet, False)
    shortfall = baseline - count_warm(fleet, warm)
    on_demand = dict.fromkeys(domains, 0)
    for domain in sorted(domains, key=lambda d: -running.get(d, 0)):
        room = scaling.max_replicas - reclaimable.get(domain, 0)
        on_demand[domain] = max(
            0, min(shortfall, running.get(domain, 0), room)
        )
        shortfall -= on_demand[domain]
    missing = baseline - sum(reclaimable.values()) - sum(on_demand.values())
    for domain in domains * scaling.max_replicas:
        room = (
            scaling.max_replicas
            - reclaimable.get(domain, 0)
            - on_demand[domain]
        )
        if missing > 0 and room > 0:
            on_demand[domain] += 1
            missing -= 1
    return DesiredCounts(
        spread(total, domains, scaling.max_replicas),
        on_demand,
        release_interval_s(baseline),
    )


def count_warm(
    fleet: typing.Iterable[replicas.Replica], warm: typing.Collection[str]
) -> int:
    """Return how many reclaimable replicas are warm and not draining."""
    return sum(
        replica.reclaimable and not replica.draining and replica.name in warm
        for replica in fleet
    )


class OrderPlanner:
    """Turns desired counts into orders; repeats each only when due."""

    def __init__(self) -> None:
        # When each replica was first seen, by its name.
        self._first_seen_s: dict[str, float] = {}
        # When the next on-demand replica may be released.
        self._next_release_s = 0.0
        # The following are by service, failure domain and reclaimable.
        # Until when an accepted or refused order isn't repeated.
        self._hold_until_s: dict[tuple[str, str, bool], float] = {}
        # The count last ordered.
        self._last_ordered: dict[tuple[str, str, bool], int] = {}
        # The count running at the last call of due_orders().
        self._last_running: dict[tuple[str, str, bool], int] = {}

    def warm_names(
        self, fleet: typing.Sequence[replicas.Replica], now_s: float
    ) -> set[str]:
        """Return the names of replicas first seen over WARMUP_S ago."""
        names = {replica.name for replica in fleet}
        self._first_seen_s = {
            name: self._first_seen_s.get(name, now_s) for name in names
        }
        return {
            name
            for name, at_s in self._first_seen_s.items()
            if now_s - at_s > WARMUP_S
        }

    def due_orders(
        self,
        service: str,
        scaling: catalog.Scaling,
        desired: DesiredCounts,
        fleet: typing.Sequence[replicas.Replica],
        now_s: float,
    ) -> list[Order]:
        """Return the orders to give now, reclaimable replicas first."""
        orders = []
        on_demand = count_by_domain(fleet, False)
        releases = self._due_releases(desired.release_interval_s, now_s)
        kinds = ((True, desired.reclaimable), (False, desired.on_demand))
        for reclaimable, counts in kinds:
            running = count_by_domain(fleet, reclaimable)
            for domain, number in counts.items():
                key = (service, domain, reclaimable)
                if reclaimable:
                    # The limit of a domain holds for both kinds together.
                    number = min(
                        number, scaling.max_replicas - on_demand.get(domain, 0)
                    )
                elif number < running.get(domain, 0):
                    left = self._left_on_demand(key, running[domain], now_s)
                    released = min(releases, left - number)
                    if released <= 0:
                        continue
                    number = left - released
                    releases -= released
                    self._next_release_s += (
                        released * desired.release_interval_s
                    )
                if running.get(domain, 0) < self._last_running.get(key, 0):
                    # Replicas were reclaimed after the last order took
                    # effect, so it may be repeated at once.
                    self._hold_until_s.pop(key, None)
                self._last_running[key] = running.get(domain, 0)
                held = now_s < self._hold_until_s.get(key, 0.0)
                repeated = self._last_ordered.get(key) == number
                if running.get(domain, 0) == number or (held and repeated):
                    continue
                orders.append(Order(service, domain, reclaimable, number))
        return orders

    def _due_releases(self, interval_s: float, now_s: float) -> int:
        """Return how many on-demand replicas may be released now."""
        if now_s - self._next_release_s > RELEASE_INTERVAL_S:
            # Nothing was to be released for a while.
            self._next_release_s = now_s
        if now_s < self._next_release_s:
            return 0
        return 1 + int((now_s - self._next_release_s) / interval_s)

    def _left_on_demand(
        self, key: tuple[str, str, bool], running: int, now_s: float
    ) -> int:
        """Return how many replicas run, less those that were just released."""
        if now_s < self._hold_until_s.get(key, 0.0):
            return min(running, self._last_ordered[key])
        return running

    def record_accepted(
        self, order: Order, scaling: catalog.Scaling, now_s: float
    ) -> None:
        """Record an order that was accepted."""
        self._hold(order, now_s + scaling.boot_s + ORDER_TIMEOUT_S)

    def record_unavailable(self, order: Order, now_s: float) -> None:
        """Record an order that was refused, as no replica is available."""
        self._hold(order, now_s + UNAVAILABLE_RETRY_S)

    def _hold(self, order: Order, until_s: float) -> None:
        key = (order.service, order.failure_domain, order.reclaimable)
        self._hold_until_s[key] = until_s
        self._last_ordered[key] = order.count
