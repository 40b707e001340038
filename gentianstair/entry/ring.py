"""Find the home of a prefix among many upstreams at flat cost."""

import bisect
import typing

import xxhash

# Points of each upstream on the ring: more spread it more evenly.
POINTS = 16


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())


def rendezvous(key: str, names: typing.Iterable[str], count: int) -> list[str]:
    """Return the count names that rank first for a key.

    >>> rendezvous('vm-1', ['a', 'b', 'c'], 2)
    ['c', 'b']
    """
    return sorted(names, key=lambda name: _hash(f'{key}\0{name}'))[:count]


class Ring:
    """Consistent hashing: all entries that know the same names agree."""

    def __init__(self, names: typing.Iterable[str]) -> None:
        points = sorted(
            (_hash(f'{name}\0{index}'), name)
            for name in names
            for index in range(POINTS)
        )
        self._hashes = [hash_ for hash_, _ in points]
        self._names = [name for _, name in points]

    def homes(self, key: int, count: int) -> list[str]:
        """Return the first count different names from a key onwards."""
        found: list[str] = []
        size = len(self._names)
        start = bisect.bisect(self._hashes, key)
        for step in range(min(size, count * POINTS)):
            name = self._names[(start + step) % size]
            if name not in found:
                found.append(name)
                if len(found) == count:
                    break
        return found
