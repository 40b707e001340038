"""Spread scopes over control processes by rendezvous hashing."""

import collections
import collections.abc
import math

import xxhash


def score(scope: str, candidate: str) -> int:
    """Return the rendezvous hash; the highest candidate is preferred."""
    return xxhash.xxh64_intdigest(f'{scope}\n{candidate}'.encode())


def max_scopes(scopes: int, candidates: int) -> int:
    """Return the greatest number of scopes that one process may hold.

    >>> max_scopes(7, 3), max_scopes(2, 5), max_scopes(3, 0)
    (3, 1, 3)
    """
    return math.ceil(scopes / max(1, candidates))


def assign(
    scopes: collections.abc.Iterable[str],
    candidates: collections.abc.Sequence[str],
) -> dict[str, str]:
    """Return the preferred holder of each scope, none above max_scopes.

    Processes with the same candidates get the same result. With different
    candidates two may try to take one scope, and one gets a write conflict.
    """
    names = sorted(scopes)
    limit = max_scopes(len(names), len(candidates))
    counts: collections.Counter[str] = collections.Counter()
    holders = {}
    for scope in names:
        below_limit = [name for name in candidates if counts[name] < limit]
        if not below_limit:
            break
        best = max(below_limit, key=lambda name: score(scope, name))
        counts[best] += 1
        holders[scope] = best
    return holders
