"""Remember the times at which refused callers were told to return."""

import heapq

# A promise not redeemed this long after its time is dropped: some callers
# never return, and fresh ones must not be refused for them.
GRACE_SHARE = 0.25
GRACE_S = 2.0
# Most promises kept for one customer; beyond it the time is a guess.
MAX_RESERVATIONS = 2000


class Reservations:
    """The promises made to one customer's callers.

    A caller that returns cannot be told from a fresh one, so each arrival
    redeems the oldest promise that is due. Fresh arrivals are judged as if
    the promised work already waited; else they would take the places, and
    a caller that obeys would be refused for ever.
    """

    def __init__(self) -> None:
        # Due time, cost and time of expiry.
        self._kept: list[tuple[float, float, float]] = []
        self._total_cost = 0.0
        # Whether this customer's callers mark their returns.
        self.callers_mark_returns = False

    def _expire(self, now_s: float) -> None:
        while self._kept and self._kept[0][2] <= now_s:
            self._total_cost -= heapq.heappop(self._kept)[1]

    def reserve(self, due_s: float, cost: float, patience_s: float) -> None:
        """Keep a place for a caller that returns at due_s."""
        if len(self._kept) >= MAX_RESERVATIONS:
            return
        grace_s = GRACE_S + GRACE_SHARE * max(0.0, patience_s)
        heapq.heappush(self._kept, (due_s, cost, due_s + grace_s))
        self._total_cost += cost

    def redeem(self, now_s: float) -> bool:
        """Use up the oldest promise that is due; False without one."""
        self._expire(now_s)
        if not self._kept or self._kept[0][0] > now_s:
            return False
        self._total_cost -= heapq.heappop(self._kept)[1]
        return True

    def total_cost(self, now_s: float) -> float:
        """Return the cost of all that is promised."""
        self._expire(now_s)
        return max(0.0, self._total_cost)

    def due_cost(self, until_s: float) -> float:
        """Return the cost promised for times up to until_s."""
        return sum(cost for due_s, cost, _ in self._kept if due_s <= until_s)
