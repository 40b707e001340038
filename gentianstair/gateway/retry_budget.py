"""Keep the fleet's repeats at a service within what the users allow.

All VMs share one budget for each service: of the sendings in a window, those
beyond the first of each request may be a share of the requests and some
more. No VM asks another before it repeats. Each spends from the share that
its own requests earn, and from an even part of the allowance.
"""

import collections
import math
import typing

from gentianstair.util import clock as clocks

# Kept back from each VM's part: requests and repeats are counted by the
# users in windows that do not begin where ours do.
SAFETY_SHARE = 0.7


class Limits(typing.NamedTuple):
    """What is allowed in each window, over all VMs."""

    ratio: float
    allowance: float
    window_s: float


class _Counts:
    """Events of one service by time, forgotten after a window."""

    def __init__(self) -> None:
        self.first: collections.deque[float] = collections.deque()
        self.repeats: collections.deque[float] = collections.deque()

    def forget(self, before_s: float) -> None:
        for times in (self.first, self.repeats):
            while times and times[0] < before_s:
                times.popleft()


class RetryBudget:
    """Say whether this VM may send a request once more."""

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

    def _of(self, service: str) -> _Counts:
        counts = self._counts.setdefault(service, _Counts())
        counts.forget(self._clock() - self._limits_of().window_s)
        return counts

    def record_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._of(service).first.append(self._clock())

    def remaining(self, service: str) -> float:
        """Return how many repeats this VM may send now."""
        limits = self._limits_of()
        counts = self._of(service)
        allowance = limits.allowance / max(1, self._vm_count())
        # A process that was restarted does not know what the one before it
        # spent in this window. Its part grows as that leaves the window, and
        # by half only, so that all VMs killed at once stay within it.
        age = (self._clock() - self._restarted_s) / limits.window_s
        if age < 1:
            allowance *= age / 2
        earned = limits.ratio * len(counts.first)
        return SAFETY_SHARE * (earned + allowance) - len(counts.repeats)

    def spent(self, service: str) -> int:
        """Return how many repeats this VM sent in the last window."""
        return len(self._of(service).repeats)

    def spend(self, service: str) -> None:
        """Count a repeat that has already been made, whatever is left."""
        self._of(service).repeats.append(self._clock())

    def try_spend(self, service: str) -> bool:
        """Spend one repeat; say whether there was one."""
        if self.remaining(service) < 1:
            return False
        self.spend(service)
        return True
