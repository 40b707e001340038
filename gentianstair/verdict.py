"""Whether a request may have run on an upstream."""

import enum


class Verdict(enum.IntEnum):
    """Whether a request ran, from ruled out to certain.

    An attempt may have run from its first byte on, unless its own answer
    says otherwise; the verdict on several attempts is the highest of theirs.

    >>> Verdict.NOT_RUN < Verdict.MAY_HAVE_RUN < Verdict.RAN
    True
    """

    NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2


def combine(first: Verdict, second: Verdict) -> Verdict:
    """Return the verdict on a request after two attempts.

    >>> combine(Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN).name
    'MAY_HAVE_RUN'
    """
    return max(first, second)
