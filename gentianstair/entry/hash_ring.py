"""Map keys to upstreams by consistent and rendezvous hashing."""

import bisect
import typing

import xxhash

# Points of each name on the ring; more points spread the keys more evenly.
VIRTUAL_NODES = 16


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())


def rendezvous_select(
    key: str, names: typing.Iterable[str], count: int
) -> list[str]:
    """Return the count names with the lowest hash for a key.

    >>> rendezvous_select('vm-1', ['a', 'b', 'c'], 2)
    ['c', 'b']
    """
    return sorted(names, key=lambda name: _hash(f'{key}\0{name}'))[:count]


class HashRing:
    """A consistent-hash ring; the same names always give the same ring."""

    def __init__(self, names: typing.Iterable[str]) -> None:
        points = sorted(
            (_hash(f'{name}\0{index}'), name)
            for name in names
            for index in range(VIRTUAL_NODES)
        )
        self._hashes = [hash_ for hash_, _ in points]
        self._names = [name for _, name in points]

    def lookup(self, key: int, count: int) -> list[str]:
        """Return the first count distinct names clockwise from a key."""
        found: list[str] = []
        size = len(self._names)
        start = bisect.bisect(self._hashes, key)
        for step in range(min(size, count * VIRTUAL_NODES)):
            name = self._names[(start + step) % size]
            if name not in found:
                found.append(name)
                if len(found) == count:
                    break
        return found
