"""Index which upstreams probably have which prompt prefixes cached."""

import collections
import typing

# Only hashes with these bits clear are indexed. This halves the memory; on
# average a cached prefix is underestimated by one block. The hash decides,
# not the position, since cache events do not contain a block's position.
SAMPLE_MASK = 1
# Bounds the memory of the index; a prefix takes about 300 bytes.
MAX_PREFIXES = 100_000
# Upstreams kept for one prefix, the newest ones.
MAX_HOLDERS = 16


class SampledHashes(typing.NamedTuple):
    """The indexed hashes of a prompt, the shortest prefix first."""

    hashes: list[int]
    # Blocks that the prefix of each hash covers.
    ends: list[int]

    def covered_blocks(self, depth: int) -> int:
        """Return the blocks that the first depth hashes cover."""
        return self.ends[depth - 1] if depth else 0


def sample_hashes(hashes: typing.Sequence[int]) -> SampledHashes:
    """Return the hashes of a prompt that are indexed.

    >>> sample_hashes([7, 8, 10])
    SampledHashes(hashes=[8, 10], ends=[2, 3])
    """
    sampled: list[int] = []
    ends: list[int] = []
    for end, hash_ in enumerate(hashes, 1):
        if not hash_ & SAMPLE_MASK:
            sampled.append(hash_)
            ends.append(end)
    return SampledHashes(sampled, ends)


class PrefixIndex:
    """Upstreams by prefix hash, from requests sent and from cache events.

    The least recently added prefix is evicted first.
    """

    def __init__(self, max_prefixes: int = MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._holders: collections.OrderedDict[int, dict[str, None]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._holders)

    def add(self, hash_: int, upstream: str) -> None:
        """Record that an upstream has a prefix cached."""
        holders = self._holders.get(hash_)
        if holders is None:
            holders = self._holders[hash_] = {}
            if len(self._holders) > self._max_prefixes:
                self._holders.popitem(last=False)
        else:
            self._holders.move_to_end(hash_)
        # The newest holder goes last; the oldest is dropped first.
        holders.pop(upstream, None)
        holders[upstream] = None
        if len(holders) > MAX_HOLDERS:
            del holders[next(iter(holders))]

    def remove(self, hash_: int, upstream: str) -> None:
        """Record that an upstream does not have a prefix cached."""
        holders = self._holders.get(hash_)
        if holders is None:
            return
        holders.pop(upstream, None)
        if not holders:
            del self._holders[hash_]

    def holders(self, hash_: int) -> typing.Collection[str]:
        """Return the upstreams that probably have a prefix cached."""
        return self._holders.get(hash_, ())

    def known_depth(self, hashes: typing.Sequence[int]) -> int:
        """Return how many of the hashes, from the start, are in the index.

        An upstream that caches a prefix caches all shorter ones too, so
        binary search works; lost events may make the result too small.
        """
        low = 0
        high = len(hashes)
        while low < high:
            middle = (low + high) // 2
            if hashes[middle] in self._holders:
                low = middle + 1
            else:
                high = middle
        return low

    def cached_depth(self, hashes: typing.Sequence[int], upstream: str) -> int:
        """Return how many of the hashes one upstream has cached."""
        low = 0
        high = len(hashes)
        while low < high:
            middle = (low + high) // 2
            if upstream in self._holders.get(hashes[middle], ()):
                low = middle + 1
            else:
                high = middle
        return low
