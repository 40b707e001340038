"""Share the work of one model between customers and between VMs."""

import collections.abc
import heapq
import typing

from gentianstair.generated import messages

# Version of the summaries this module writes.
SUMMARY_VERSION = 1
# A row is sent again once a figure of it moved by this share.
MIN_CHANGE_SHARE = 0.05

WeightOf = collections.abc.Callable[[str], float]


class DecayingRate:
    """An average of a flow per second that forgets with a half-life."""

    def __init__(self, half_life_s: float, now_s: float) -> None:
        self._half_life_s = half_life_s
        self._at_s = now_s
        self._sum = 0.0

    def _decay(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._at_s)
        self._sum *= 0.5 ** (passed_s / self._half_life_s)
        self._at_s = max(self._at_s, now_s)

    def add(self, amount: float, now_s: float) -> None:
        """Count an amount that flowed at now_s."""
        self._decay(now_s)
        self._sum += amount

    def per_s(self, now_s: float) -> float:
        """Return the average flow; a burst counts over the half-life."""
        self._decay(now_s)
        return self._sum * 0.6931 / self._half_life_s


class Counters:
    """Virtual service counters of one model's customers, as one VM knows.

    A counter is the cost served to the customer, here and as peers report,
    divided by its weight. The next slot goes to the backlogged customer with
    the lowest counter. On one VM two backlogged customers whose requests
    cost at most U, with at most n requests in flight, never differ by more
    than (n + 1) * U / weight: a choice lifts only the lowest, by at most
    U / weight, and refunds take back at most what is in flight. Each peer
    adds at most what it served between two summaries.
    """

    def __init__(self, weight_of: WeightOf) -> None:
        self._weight_of = weight_of
        self.served: dict[str, float] = {}
        self.served_here: dict[str, float] = {}
        self._lift: dict[str, float] = {}

    def value(self, customer: str) -> float:
        """Return the customer's counter, in cost units by weight."""
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
        """Lift a customer that was idle to the lowest that was not.

        Without this a customer that was idle for an hour would have saved
        up an hour of service and shut all others out on its return.
        """
        behind = floor - self.value(customer)
        if behind > 0.0:
            self._lift[customer] = self._lift.get(customer, 0.0) + behind

    def order_key(self, customer: str) -> tuple[float, float, str]:
        """Return the key by which customers take turns, lowest first.

        Of equals the newcomer goes first, which was lifted the most.
        """
        lift = self._lift.get(customer, 0.0)
        return round(self.value(customer), 6), -lift, customer


class CustomerHeap:
    """The waiting customers in the order of their turns.

    A heap with stale entries: counters mostly grow, so an entry that is out
    of date is found at the top and put back where it belongs. What lowers a
    counter must call ``add`` again, or its customer is found too late.
    """

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._heap: list[tuple[float, float, str]] = []
        # The one entry of each waiting customer that counts.
        self._entries: dict[str, tuple[float, float, str]] = {}

    def add(self, customer: str) -> None:
        """Let a customer take part, or note that its counter fell."""
        entry = self._counters.order_key(customer)
        if self._entries.get(customer) != entry:
            self._entries[customer] = entry
            heapq.heappush(self._heap, entry)

    def remove(self, customer: str) -> None:
        """Let a customer take part no more."""
        self._entries.pop(customer, None)

    def lowest(self) -> str | None:
        """Return the customer whose turn it is; None if none waits."""
        while self._heap:
            entry = self._heap[0]
            customer = entry[2]
            if self._entries.get(customer) is not entry:
                heapq.heappop(self._heap)
                continue
            now = self._counters.order_key(customer)
            if now <= entry:
                return customer
            self._entries[customer] = now
            heapq.heapreplace(self._heap, now)
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
    given = {}
    for name in order:
        part = total * weights[name] / weight_left
        given[name] = min(demands[name], part)
        total -= given[name]
        weight_left -= weights[name]
    return given


def vm_shares(
    total: float,
    demands: collections.abc.Mapping[str, dict[str, float]],
    weight_of: WeightOf,
) -> dict[str, float]:
    """Return each VM's part of total, from demands by VM and customer.

    Every customer gets its fair part of the whole fleet, wherever its
    callers arrive; what nobody asks for is spread evenly.

    >>> vm_shares(9.0, {'v1': {'a': 50.0}, 'v2': {'b': 3.0}}, lambda name: 1.0)
    {'v1': 6.0, 'v2': 3.0}
    """
    asked: dict[str, float] = {}
    for rows in demands.values():
        for customer, demand in rows.items():
            asked[customer] = asked.get(customer, 0.0) + demand
    given = max_min_fair(total, asked, weight_of)
    spare = max(0.0, total - sum(given.values())) / max(1, len(demands))
    parts = {}
    for vm, rows in demands.items():
        parts[vm] = spare + sum(
            given[customer] * demand / asked[customer]
            for customer, demand in rows.items()
            if demand > 0.0
        )
    return parts


def has_changed(
    row: messages.ServiceRow, last: messages.ServiceRow | None
) -> bool:
    """Return whether a row moved enough since it was last sent."""
    if last is None:
        return True
    for field in ('served_cost', 'demand_cost_per_s', 'waiting_cost'):
        new = typing.cast(float, row[field])
        old = typing.cast(float, last[field])
        if abs(new - old) > MIN_CHANGE_SHARE * max(abs(old), 1.0):
            return True
    return False
