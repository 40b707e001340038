"""Give a VM that is cut off from all others its own part of a limit.

The load that this answers: a third of the VMs lose the others while a
customer sends many times its rate. A large request uses more than the part
of one VM in a minute. It is admitted with the probability with which the
credit covers it, and the credit is lost either way: together the VMs that
are cut off admit what their parts add up to, on average.
"""

import random

from gentianstair.limits import admission_rules
from gentianstair.limits import rate_limit
from gentianstair.limits import token_bucket
from gentianstair.util import clock as clocks

# Part of the credit that a new process has: a few small requests that come
# before it hears of the others need not wait.
FIRST_SHARE = 0.5


def excess_part(
    limit: rate_limit.RateLimit, tolerance: rate_limit.Tolerance, vm_count: int
) -> float:
    """Return one VM's part of what may be used beyond the limit."""
    excess = tolerance.excess(limit)
    return admission_rules.CUT_OFF_SHARE * excess / vm_count


class CutOffCredit:
    """One customer's credit on this VM.

    It consists of parts of the burst and of the tolerated excess.
    """

    def __init__(self, first: float, now_s: float) -> None:
        self._bucket = token_bucket.TokenBucket(first, now_s)
        self._vm_count = 1
        self._excess_part = 0.0
        # The last outage, by number, at which the burst was left out.
        self._outage = 0

    @property
    def units(self) -> float:
        """Return what is left."""
        return self._bucket.level

    def refill(
        self,
        limit: rate_limit.RateLimit,
        tolerance: rate_limit.Tolerance,
        vm_count: int,
        now_s: float,
    ) -> None:
        """Add what has accrued; vm_count is at least the number of VMs."""
        self._vm_count = vm_count
        self._excess_part = excess_part(limit, tolerance, vm_count)
        self._bucket.refill(
            limit.rate_per_s / vm_count,
            limit.burst / vm_count + self._excess_part,
            now_s,
        )

    def forget_burst(self, level: float, outage: int) -> None:
        """Leave out what the customer had used of its burst.

        level is that of the whole fleet when this VM was cut off, which it
        was for the time that outage counts.
        """
        if self._outage != outage:
            most = max(0.0, level) / self._vm_count + self._excess_part
            self._bucket.level = min(self._bucket.level, most)
            self._outage = outage

    def admit(self, cost: float, rng: random.Random) -> bool:
        """Return whether a request is admitted, and use up its credit."""
        credit = self._bucket.level
        if cost <= credit:
            self._bucket.take(cost)
            return True
        self._bucket.take(max(0.0, credit))
        return rng.random() * cost < credit


class Credits:
    """The credits of all customers on this VM."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._started_s = clock()
        self._credits: dict[str, CutOffCredit] = {}

    def refilled(
        self,
        customer: str,
        limit: rate_limit.RateLimit,
        tolerance: rate_limit.Tolerance,
        vm_count: int,
    ) -> CutOffCredit | None:
        """Return a customer's credit; None if vm_count, 0, is not known."""
        if not vm_count:
            return None
        credit = self._credits.get(customer)
        if credit is None:
            part = excess_part(limit, tolerance, vm_count)
            credit = self._credits[customer] = CutOffCredit(
                FIRST_SHARE * part, self._started_s
            )
        credit.refill(limit, tolerance, vm_count, self._clock())
        return credit
