"""Decide from a customer's level whether a request is within its limit.

The load that these rules answer: a customer asks for several times its rate
at many VMs, each of which learns of the others' requests half a second late.
Each VM admits the part of the requests that matches the rate, the smaller
ones first, instead of all until it learns that the level is used up.

The tolerated excess is divided: three eighths for requests larger than the
level, as much for VMs that are cut off, and a quarter for what VMs admit
before they learn of each other.
"""

import typing

from gentianstair.limits import rate_limit

# Part of the tolerated excess by which the level may stay below zero.
DEBT_SHARE = 0.25
# How low a request may bring the level, as parts of that excess. A very large
# request leaves room for small ones.
LOWEST_LEVEL_SHARE = 0.375
LOWEST_SMALL_LEVEL_SHARE = 0.5
# A request is small if its cost accrues in this time.
SMALL_COST_S = 0.1
# Part of the excess that all VMs which are cut off may use together.
CUT_OFF_SHARE = 0.375
# Part of the excess that covers VMs of which nothing is known.
UNKNOWN_VMS_SHARE = 0.25
# What one VM may admit before it has told the others: a part of the excess
# and what accrues between two reports.
UNREPORTED_SHARE = 1 / 16
UNREPORTED_S = 0.25
# Time over which the level and the rate are spent at the rate asked for.
HORIZON_S = 1.0
# A level below this part of the burst is reported to leaves. A leaf that is
# told nothing goes by this level.
REPORTED_LEVEL_SHARE = 0.25
# Least capacity, in seconds of the rate.
MIN_CAPACITY_S = 0.01


class Rules(typing.NamedTuple):
    """The figures that follow from a limit, its tolerance and the reach.

    All are for the VMs that know of each other's requests.
    """

    rate_per_s: float
    capacity: float
    # How far below zero the level settles under excessive demand.
    debt: float
    # How low a request may bring the level, and a small one.
    lowest_level: float
    lowest_small_level: float
    small_cost: float
    # A VM that has admitted this much since its last report, beside its part
    # of the level, waits for the next one.
    max_unreported: float
    # The level that a leaf assumes if its hub reports none.
    assumed_level: float


def make_rules(
    limit: rate_limit.RateLimit,
    tolerance: rate_limit.Tolerance,
    reach: float,
    maturity: float = 1.0,
) -> Rules:
    """Return the rules for VMs that are a part of the fleet.

    reach is the part of the fleet's VMs whose requests they know of, and
    maturity is below 1 while it is not known what was used before a restart.
    """
    share = limit_share(limit, tolerance, reach)
    excess = tolerance.excess(limit) * share * maturity
    rate_per_s = limit.rate_per_s * share
    capacity = max(limit.burst, MIN_CAPACITY_S * limit.rate_per_s) * share
    return Rules(
        rate_per_s,
        capacity,
        DEBT_SHARE * excess,
        -LOWEST_LEVEL_SHARE * excess,
        -LOWEST_SMALL_LEVEL_SHARE * excess,
        SMALL_COST_S * rate_per_s,
        UNREPORTED_SHARE * excess + UNREPORTED_S * rate_per_s,
        REPORTED_LEVEL_SHARE * capacity,
    )


def limit_share(
    limit: rate_limit.RateLimit,
    tolerance: rate_limit.Tolerance,
    reach: float,
) -> float:
    """Return the part of a limit that VMs with this reach may use.

    Only one part of a divided fleet has more than half of the VMs. It may
    use the excess to make up for VMs that may only have stopped.

    >>> limit = rate_limit.RateLimit(10.0, 20.0)
    >>> strict, lax = rate_limit.Tolerance(8.0), rate_limit.Tolerance(8.0, 0.4)
    >>> limit_share(limit, strict, 0.7), limit_share(limit, lax, 0.7)
    (0.7, 0.8)
    >>> limit_share(limit, lax, 0.3)
    0.3
    """
    if reach <= 0.5:
        return reach
    window_use = limit.rate_per_s * tolerance.window_s + limit.burst
    covered = UNKNOWN_VMS_SHARE * tolerance.excess(limit)
    return min(1.0, round(reach + covered / max(window_use, 1e-9), 6))


def admission_probability(
    rules: Rules,
    level: float,
    asked_per_s: typing.Sequence[float],
    cost_class: int,
) -> float:
    """Return the part of the requests of a class of cost to admit.

    asked_per_s is what the customer asks for at all VMs together, by class.
    Classes of smaller requests go first: more callers are served so.

    >>> rules = Rules(100.0, 100.0, 0.0, 0.0, 0.0, 10.0, 25.0, 25.0)
    >>> [admission_probability(rules, 0.0, (60.0, 80.0), k) for k in (0, 1)]
    [1.0, 0.5]
    >>> admission_probability(rules, -100.0, (60.0, 80.0), 1)
    0.0
    """
    smaller = sum(asked_per_s[:cost_class]) * HORIZON_S
    left = level + rules.debt + rules.rate_per_s * HORIZON_S - smaller
    asked = asked_per_s[cost_class] * HORIZON_S
    if left <= 0.0:
        return 0.0
    return min(1.0, left / max(asked, left))


def wait_for_level_s(rules: Rules, level: float, cost: float) -> float:
    """Return how long the level does not allow a request; 0 if it does.

    A request that is larger than the level can ever allow is admitted at a
    full bucket.
    """
    is_small = cost <= rules.small_cost
    lowest = rules.lowest_small_level if is_small else rules.lowest_level
    needed = min(lowest + cost, rules.capacity)
    return max(0.0, needed - level) / max(rules.rate_per_s, 1e-9)


def excess_wait_s(rules: Rules, level: float, asked_per_s: float) -> float:
    """Return when what is asked for too much now could be admitted."""
    spendable = level + rules.debt + rules.rate_per_s * HORIZON_S
    missing = max(0.0, asked_per_s * HORIZON_S - spendable)
    return missing / max(rules.rate_per_s, 1e-9)
