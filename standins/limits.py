"""Check what a replica that names a limit gets, by the users' bound."""

import bisect
import typing

WINDOW_S = 4.0
# What a window may hold beyond the limit.
OVERAGE_FACTOR = 1.5
ALLOWANCE = 5
# From this long after a replica first named its limit the bound holds.
CONTACT_S = 3.0


def allowed(limit_per_s: float) -> float:
    """Return how many requests a window may hold.

    >>> allowed(1.0), allowed(2.0)
    (11.0, 17.0)
    """
    return OVERAGE_FACTOR * limit_per_s * WINDOW_S + ALLOWANCE


def most_in_window(arrivals_s: typing.Iterable[float], from_s: float) -> int:
    """Return the most arrivals of any window that begins at from_s or later.

    >>> most_in_window([0.0, 1.0, 2.0, 5.9, 6.1], from_s=1.5)
    2
    """
    times = sorted(at_s for at_s in arrivals_s if at_s >= from_s)
    return max(
        (
            bisect.bisect_left(times, at_s + WINDOW_S) - position
            for position, at_s in enumerate(times)
        ),
        default=0,
    )
