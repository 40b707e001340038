"""Track how much of its limit each customer has left, as this VM knows."""

import math
import typing

from gentianstair import errors
from gentianstair.limits import admission_rules
from gentianstair.limits import rate_limit
from gentianstair.limits import token_bucket
from gentianstair.limits import use as uses
from gentianstair.util import clock as clocks
from gentianstair.util import decaying_rate

# Half-life of the average of what a customer asks for.
ASKED_HALF_LIFE_S = 0.7
# For how long a list of low levels is used again.
LOW_MAX_AGE_S = 0.05
# Part of a window in which the debt that is allowed after a restart grows.
MATURITY_WINDOWS = 0.5


class Reported(typing.NamedTuple):
    """What a hub reports of a customer that is close to its limit."""

    level: int
    # What it asks for in a second, by class of cost.
    asked_per_s: tuple[int, ...]


def encode(low: dict[str, Reported]) -> dict[str, list[int]]:
    """Return reported levels by customer in the form of a message."""
    return {
        customer: [reported.level, *reported.asked_per_s]
        for customer, reported in low.items()
    }


def decode(rows: dict[str, list[int]]) -> dict[str, Reported]:
    """Return the levels in a message; raise DecodeError.

    >>> decode({'club': [-900, 5, 0, 0, 0, 0, 0]})
    {'club': Reported(level=-900, asked_per_s=(5, 0, 0, 0, 0, 0))}
    """
    found = {}
    for customer, row in rows.items():
        if len(row) != 1 + uses.CLASS_COUNT or min(row[1:]) < 0:
            raise errors.DecodeError(f'bad level of a limit: {row}')
        found[customer] = Reported(row[0], tuple(row[1:]))
    return found


class _Customer(typing.NamedTuple):
    bucket: token_bucket.TokenBucket
    # By class of cost.
    asked: tuple[decaying_rate.DecayingRate, ...]


class Levels:
    """The level of each customer's bucket.

    reach is the part of the fleet's VMs whose requests are counted in it.
    """

    def __init__(
        self,
        limits_of: typing.Callable[[str], rate_limit.RateLimit | None],
        tolerance_of: typing.Callable[[], rate_limit.Tolerance],
        clock: clocks.Clock,
        starts_full: bool,
    ) -> None:
        self._limits_of = limits_of
        self._tolerance_of = tolerance_of
        self._clock = clock
        # A restarted process does not know what was used just before. Its
        # levels are empty at first, and little debt is allowed.
        self._empty_at_s = None if starts_full else clock()
        self._customers: dict[str, _Customer] = {}
        self._low: dict[str, Reported] = {}
        self._low_at_s = -math.inf
        self.reach = 1.0

    def rules(self, customer: str) -> admission_rules.Rules | None:
        """Return the rules of a customer, None if it has no limit."""
        limit = self._limits_of(customer)
        if limit is None:
            self._customers.pop(customer, None)
            return None
        return admission_rules.make_rules(
            limit, self._tolerance_of(), self.reach, self._maturity()
        )

    def _maturity(self) -> float:
        """Return the part of the debt that is allowed by now."""
        if self._empty_at_s is None:
            return 1.0
        ramp_s = MATURITY_WINDOWS * self._tolerance_of().window_s
        return min(1.0, (self._clock() - self._empty_at_s) / max(ramp_s, 1e-9))

    def set_known(self) -> None:
        """Record that others have told what was used before the start."""
        self._empty_at_s = None

    def _refilled(
        self, customer: str, rules: admission_rules.Rules
    ) -> _Customer:
        now_s = self._clock()
        known = self._customers.get(customer)
        if known is None:
            level = rules.capacity
            if self._empty_at_s is not None:
                accrued = rules.rate_per_s * (now_s - self._empty_at_s)
                level = min(level, accrued)
            known = self._customers[customer] = _Customer(
                token_bucket.TokenBucket(level, now_s),
                tuple(
                    decaying_rate.DecayingRate(ASKED_HALF_LIFE_S, now_s)
                    for _ in range(uses.CLASS_COUNT)
                ),
            )
        known.bucket.refill(rules.rate_per_s, rules.capacity, now_s)
        # A lowered limit would take long to make up for an old debt.
        known.bucket.level = max(known.bucket.level, self._lowest(rules))
        return known

    def level(self, customer: str, rules: admission_rules.Rules) -> float:
        """Return the level now."""
        return self._refilled(customer, rules).bucket.level

    def asked_per_s(
        self, customer: str, rules: admission_rules.Rules
    ) -> tuple[float, ...]:
        """Return what the customer asks for in a second, by class."""
        now_s = self._clock()
        asked = self._refilled(customer, rules).asked
        return tuple(rate.per_s(now_s) for rate in asked)

    def record(self, customer: str, use: uses.Use) -> None:
        """Count use, of this VM or another."""
        rules = self.rules(customer)
        if rules is None:
            return
        known = self._refilled(customer, rules)
        known.bucket.take(use.admitted, self._lowest(rules))
        for rate, units in zip(known.asked, use.asked, strict=True):
            if units:
                rate.add(units, self._clock())

    def _lowest(self, rules: admission_rules.Rules) -> float:
        """Return a level from which half a window is enough to recover."""
        recovery_s = self._tolerance_of().window_s / 2
        return rules.lowest_small_level - rules.rate_per_s * recovery_s

    def refund(self, customer: str, units: int) -> None:
        """Take back the units of a request that did not run."""
        rules = self.rules(customer)
        if rules is not None:
            self._refilled(customer, rules).bucket.take(-units)

    def low(self) -> dict[str, Reported]:
        """Return the customers that leaves have to know about.

        The result is up to LOW_MAX_AGE_S old: each leaf's report asks for it.
        """
        if self._clock() - self._low_at_s >= LOW_MAX_AGE_S:
            self._low = self._find_low()
            self._low_at_s = self._clock()
        return self._low

    def _find_low(self) -> dict[str, Reported]:
        found = {}
        for customer in list(self._customers):
            rules = self.rules(customer)
            if rules is None:
                continue
            level = self.level(customer, rules)
            asked_per_s = self.asked_per_s(customer, rules)
            is_low = level < rules.assumed_level
            if is_low or sum(asked_per_s) > rules.rate_per_s:
                found[customer] = Reported(
                    round(level), tuple(round(rate) for rate in asked_per_s)
                )
        return found

    def lower(self, reported: dict[str, Reported]) -> None:
        """Take the levels that another hub reports, where they are lower."""
        for customer, told in reported.items():
            rules = self.rules(customer)
            if rules is not None:
                bucket = self._refilled(customer, rules).bucket
                bucket.level = min(bucket.level, told.level)
