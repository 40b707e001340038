"""Say whether a request may have run on an upstream."""

import enum


class Verdict(enum.IntEnum):
    """What is known of a request's effect; it only ever rises.

    >>> Verdict.NOT_RUN < Verdict.MAY_HAVE_RUN < Verdict.RAN
    True
    """

    NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2


def combine(first: Verdict, second: Verdict) -> Verdict:
    """Return what two tries of one request amount to together.

    >>> combine(Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN).name
    'MAY_HAVE_RUN'
    """
    return max(first, second)
