"""Spread scopes over control processes by rendezvous hashing."""

import collections
import collections.abc
import math

import xxhash


def rank(scope: str, candidate: str) -> int:
    """Return how strongly a scope prefers a candidate; higher is more."""
    return xxhash.xxh64_intdigest(f'{scope}\n{candidate}'.encode())


def share(scopes: int, candidates: int) -> int:
    """Return how many scopes one process may hold at most.

    >>> share(7, 3), share(2, 5), share(3, 0)
    (3, 1, 3)
    """
    return math.ceil(scopes / max(1, candidates))


def assign(
    scopes: collections.abc.Iterable[str],
    candidates: collections.abc.Sequence[str],
) -> dict[str, str]:
    """Return the preferred holder of each scope, none above its share.

    Two processes with the same view come to the same result; with
    different views they may both want a scope, which costs a conflict.
    """
    names = sorted(scopes)
    limit = share(len(names), len(candidates))
    held: collections.Counter[str] = collections.Counter()
    chosen = {}
    for scope in names:
        free = [name for name in candidates if held[name] < limit]
        if not free:
            break
        best = max(free, key=lambda name: rank(scope, name))
        held[best] += 1
        chosen[scope] = best
    return chosen
