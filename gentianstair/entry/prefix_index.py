"""Remember which upstream probably caches which prompt prefix."""

import collections
import typing

# Only hashes with these bits clear are remembered: half of the memory, and
# on average one block (about 6 ms to read) of a cached prefix goes unseen.
# The hash itself decides, so that a cache event, which does not say how deep
# a block lies, is sampled as prompts are.
SAMPLE_MASK = 1
# Prefixes remembered at most; each costs about 300 bytes.
MAX_PREFIXES = 100_000
MAX_HOLDERS = 16


class SampledHashes(typing.NamedTuple):
    """The remembered hashes of a prompt, and at which block each ends."""

    hashes: list[int]
    ends: list[int]

    def covered_blocks(self, depth: int) -> int:
        """Return the blocks that the first depth samples cover."""
        return self.ends[depth - 1] if depth else 0


def sample_hashes(hashes: typing.Sequence[int]) -> SampledHashes:
    """Return what is remembered of a prompt, the shortest prefix first.

    >>> sample_hashes([7, 8, 10])
    SampledHashes(hashes=[8, 10], ends=[2, 3])
    """
    found: list[int] = []
    ends: list[int] = []
    for end, hash_ in enumerate(hashes, 1):
        if not hash_ & SAMPLE_MASK:
            found.append(hash_)
            ends.append(end)
    return SampledHashes(found, ends)


class PrefixIndex:
    """Upstreams by prefix, from own requests and late cache events."""

    def __init__(self, kept: int = MAX_PREFIXES) -> None:
        self._kept = kept
        self._holders: collections.OrderedDict[int, dict[str, None]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._holders)

    def add(self, hash_: int, upstream: str) -> None:
        """Note that an upstream holds a prefix."""
        holders = self._holders.get(hash_)
        if holders is None:
            holders = self._holders[hash_] = {}
            if len(self._holders) > self._kept:
                self._holders.popitem(last=False)
        else:
            self._holders.move_to_end(hash_)
        # The newest holder goes last; the oldest is dropped first.
        holders.pop(upstream, None)
        holders[upstream] = None
        if len(holders) > MAX_HOLDERS:
            del holders[next(iter(holders))]

    def remove(self, hash_: int, upstream: str) -> None:
        """Note that an upstream does not hold a prefix."""
        holders = self._holders.get(hash_)
        if holders is None:
            return
        holders.pop(upstream, None)
        if not holders:
            del self._holders[hash_]

    def holders(self, hash_: int) -> typing.Collection[str]:
        """Return the upstreams that probably hold a prefix."""
        return self._holders.get(hash_, ())

    def known_depth(self, samples: typing.Sequence[int]) -> int:
        """Return how many of the samples are known, from the start.

        Whoever holds a prefix holds what comes before it, so halving finds
        it; where events were lost it may find a shorter one.
        """
        low = 0
        high = len(samples)
        while low < high:
            middle = (low + high) // 2
            if samples[middle] in self._holders:
                low = middle + 1
            else:
                high = middle
        return low

    def cached_depth(
        self, samples: typing.Sequence[int], upstream: str
    ) -> int:
        """Return how many of the samples one upstream holds."""
        low = 0
        high = len(samples)
        while low < high:
            middle = (low + high) // 2
            if upstream in self._holders.get(samples[middle], ()):
                low = middle + 1
            else:
                high = middle
        return low
