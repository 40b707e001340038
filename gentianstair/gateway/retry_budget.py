"""Keep the fleet's retries at a service within the configured limit.

In a sliding window, all VMs together may send retries up to a share of the
requests plus a fixed allowance. VMs don't coordinate: each spends what its
own requests earn, and an even part of the allowance.
"""

import collections
import math
import typing

from gentianstair.util import clock as clocks

# Share of its budget that each VM spends at most, as the limit may be checked
# over windows that begin at other times than the ones here.
SAFETY_SHARE = 0.7


class Limits(typing.NamedTuple):
    """The retries allowed in each window, over all VMs."""

    # Retries for each request.
    ratio: float
    # Retries besides these.
    allowance: float
    window_s: float


class _Counts:
    """The times of one service's requests and retries in a window."""

    def __init__(self) -> None:
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def forget(self, before_s: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] < before_s:
                times.popleft()


class RetryBudget:
    """The retries that this VM may send, by service."""

    def __init__(
        self,
        limits_of: typing.Callable[[], Limits],
        clock: clocks.Clock,
        vm_count: typing.Callable[[], int],
        restarted: bool = True,
    ) -> None:
        self._limits_of = limits_of
        self._clock = clock
        self._vm_count = vm_count
        self._counts: dict[str, _Counts] = {}
        self._restarted_s = clock() if restarted else -math.inf

    def _counts_of(self, service: str) -> _Counts:
        counts = self._counts.setdefault(service, _Counts())
        counts.forget(self._clock() - self._limits_of().window_s)
        return counts

    def record_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._counts_of(service).requests.append(self._clock())

    def remaining(self, service: str) -> float:
        """Return how many retries this VM may send now."""
        limits = self._limits_of()
        counts = self._counts_of(service)
        allowance = limits.allowance / max(1, self._vm_count())
        # A restarted process doesn't know what its predecessor spent in this
        # window. Its allowance grows as that leaves the window, and only to a
        # half, so that the fleet stays within the limit when all VMs restart.
        age = (self._clock() - self._restarted_s) / limits.window_s
        if age < 1:
            allowance *= age / 2
        earned = limits.ratio * len(counts.requests)
        return SAFETY_SHARE * (earned + allowance) - len(counts.retries)

    def spent(self, service: str) -> int:
        """Return how many retries this VM sent in the last window."""
        return len(self._counts_of(service).retries)

    def spend(self, service: str) -> None:
        """Count a retry that was sent, even beyond the budget."""
        self._counts_of(service).retries.append(self._clock())

    def try_spend(self, service: str) -> bool:
        """Spend one retry; return False if none is left."""
        if self.remaining(service) < 1:
            return False
        self.spend(service)
        return True
