"""Share a model's capacity fairly between customers and between VMs."""

import collections.abc
import heapq
import typing

from gentianstair.generated import messages

# Version of the summaries that VMs exchange.
SUMMARY_VERSION = 1
# A row is sent again once a value in it has changed by this part.
MIN_CHANGE_SHARE = 0.05

WeightOf = collections.abc.Callable[[str], float]


class Counters:
    """Virtual service counters of one model's customers on one VM.

    A counter is the cost served to the customer, here and as peers report,
    divided by its weight. The next slot goes to the backlogged customer with
    the lowest counter. On one VM, the counters of two backlogged customers
    whose requests cost at most U, with at most n requests in flight, differ
    by at most (n + 1) * U / weight: each grant raises only the lowest, by at
    most U / weight, and refunds are at most the cost in flight. Each peer
    adds at most what it served between two summaries.
    """

    def __init__(self, weight_of: WeightOf) -> None:
        self._weight_of = weight_of
        # Cost served to each customer: by all VMs, and by this one.
        self.served: dict[str, float] = {}
        self.served_here: dict[str, float] = {}
        # Sum of the counter lifts of each customer.
        self._lift: dict[str, float] = {}

    def value(self, customer: str) -> float:
        """Return the customer's counter: its cost by weight, with lifts."""
        served = self.served.get(customer, 0.0)
        weight = max(self._weight_of(customer), 1e-9)
        return served / weight + self._lift.get(customer, 0.0)

    def charge(self, customer: str, cost: float) -> None:
        """Charge cost served here; a refund is negative."""
        self.served_here[customer] = self.served_here.get(customer, 0.0) + cost
        self.charge_remote(customer, cost)

    def charge_remote(self, customer: str, cost: float) -> None:
        """Charge cost that a peer served."""
        self.served[customer] = self.served.get(customer, 0.0) + cost

    def lift(self, customer: str, floor: float) -> None:
        """Raise the counter of a customer that was idle to the floor.

        Without the lift, a customer that was idle for an hour would be
        served alone until its counter has caught up with the others.
        """
        behind = floor - self.value(customer)
        if behind > 0.0:
            self._lift[customer] = self._lift.get(customer, 0.0) + behind

    def order_key(self, customer: str) -> tuple[float, float, str]:
        """Return the sort key of a customer; the lowest is served next.

        At equal counters the customer with the largest lift goes first.
        """
        lift = self._lift.get(customer, 0.0)
        return round(self.value(customer), 6), -lift, customer


class CustomerHeap:
    """The backlogged customers in a heap, lowest counter first.

    Entries are updated lazily: a counter that grew is noticed when its entry
    is at the top, which is then moved down. After a counter has fallen,
    ``add`` must be called again, or its customer is served too late.
    """

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._heap: list[tuple[float, float, str]] = []
        # The valid entry of each customer; others in the heap are stale.
        self._entries: dict[str, tuple[float, float, str]] = {}

    def add(self, customer: str) -> None:
        """Add a customer, or update one whose counter has fallen."""
        entry = self._counters.order_key(customer)
        if self._entries.get(customer) != entry:
            self._entries[customer] = entry
            heapq.heappush(self._heap, entry)

    def remove(self, customer: str) -> None:
        """Remove a customer that is no longer backlogged."""
        self._entries.pop(customer, None)

    def lowest(self) -> str | None:
        """Return the customer to serve next, or None if none waits."""
        while self._heap:
            entry = self._heap[0]
            customer = entry[2]
            if self._entries.get(customer) is not entry:
                heapq.heappop(self._heap)
                continue
            current = self._counters.order_key(customer)
            if current <= entry:
                return customer
            self._entries[customer] = current
            heapq.heapreplace(self._heap, current)
        return None


def max_min_fair(
    total: float,
    demands: collections.abc.Mapping[str, float],
    weight_of: WeightOf,
) -> dict[str, float]:
    """Return the weighted max-min fair split of total over demands.

    >>> max_min_fair(10.0, {'a': 2.0, 'b': 30.0, 'c': 30.0}, lambda name: 1.0)
    {'a': 2.0, 'b': 4.0, 'c': 4.0}
    """
    weights = {name: max(weight_of(name), 1e-9) for name in demands}
    order = sorted(demands, key=lambda name: demands[name] / weights[name])
    weight_left = sum(weights.values())
    shares = {}
    for name in order:
        fair_share = total * weights[name] / weight_left
        shares[name] = min(demands[name], fair_share)
        total -= shares[name]
        weight_left -= weights[name]
    return shares


def vm_shares(
    total: float,
    demands: collections.abc.Mapping[str, dict[str, float]],
    weight_of: WeightOf,
) -> dict[str, float]:
    """Return each VM's share of total, from demands by VM and customer.

    Each customer gets its fair share of the whole fleet, whichever VMs its
    requests arrive at. What is left over is shared evenly.

    >>> vm_shares(9.0, {'v1': {'a': 50.0}, 'v2': {'b': 3.0}}, lambda name: 1.0)
    {'v1': 6.0, 'v2': 3.0}
    """
    fleet_demand: dict[str, float] = {}
    for rows in demands.values():
        for customer, demand in rows.items():
            fleet_demand[customer] = fleet_demand.get(customer, 0.0) + demand
    granted = max_min_fair(total, fleet_demand, weight_of)
    spare = max(0.0, total - sum(granted.values())) / max(1, len(demands))
    shares = {}
    for vm, rows in demands.items():
        shares[vm] = spare + sum(
            granted[customer] * demand / fleet_demand[customer]
            for customer, demand in rows.items()
            if demand > 0.0
        )
    return shares


def has_changed(
    row: messages.ServiceRow, last: messages.ServiceRow | None
) -> bool:
    """Return whether a row changed enough to be sent again."""
    if last is None:
        return True
    for field in ('served_cost', 'demand_cost_per_s', 'waiting_cost'):
        new = typing.cast(float, row[field])
        old = typing.cast(float, last[field])
        if abs(new - old) > MIN_CHANGE_SHARE * max(abs(old), 1.0):
            return True
    return False
