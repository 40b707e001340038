"""Order what happens in one process, without a clock."""

import itertools

_numbers = itertools.count(1)


def next_moment() -> int:
    """Return a number that is greater than all that were returned before.

    >>> first = next_moment()
    >>> first < next_moment()
    True
    """
    return next(_numbers)


__all__ = ['next_moment']
