"""Reserve capacity for refused callers at their Retry-After times."""

import heapq

# A reservation expires after GRACE_S plus this part of the caller's patience,
# since some callers never return.
GRACE_SHARE = 0.25
GRACE_S = 2.0
# Reservations of one customer; further callers get a Retry-After without one.
MAX_RESERVATIONS = 2000


class Reservations:
    """The reservations for one customer's refused callers.

    A returning caller often looks like a new one, so each arrival redeems
    the earliest reservation that is due. Admission treats reserved work as
    queued; otherwise new arrivals would take its place, and a caller that
    follows Retry-After could be refused again each time.
    """

    def __init__(self) -> None:
        # Heap of due time, cost and time of expiry.
        self._heap: list[tuple[float, float, float]] = []
        self._total_cost = 0.0
        # Whether any of the customer's callers marked a request as a retry.
        self.callers_mark_returns = False

    def _expire(self, now_s: float) -> None:
        while self._heap and self._heap[0][2] <= now_s:
            self._total_cost -= heapq.heappop(self._heap)[1]

    def reserve(self, due_s: float, cost: float, patience_s: float) -> None:
        """Reserve cost for a caller that is to return at due_s.

        patience_s is how long the caller would have waited in the queue.
        """
        if len(self._heap) >= MAX_RESERVATIONS:
            return
        grace_s = GRACE_S + GRACE_SHARE * max(0.0, patience_s)
        heapq.heappush(self._heap, (due_s, cost, due_s + grace_s))
        self._total_cost += cost

    def redeem(self, now_s: float) -> bool:
        """Remove the earliest reservation that is due; False without one."""
        self._expire(now_s)
        if not self._heap or self._heap[0][0] > now_s:
            return False
        self._total_cost -= heapq.heappop(self._heap)[1]
        return True

    def total_cost(self, now_s: float) -> float:
        """Return the cost of all reservations."""
        self._expire(now_s)
        return max(0.0, self._total_cost)

    def due_cost(self, until_s: float) -> float:
        """Return the cost of the reservations that are due by until_s."""
        return sum(cost for due_s, cost, _ in self._heap if due_s <= until_s)
