"""Keep an engine's blocks: those of running work and cached prefixes."""

import collections
import random
import typing

EVENTS_KEPT = 20000


class CacheEvent(typing.NamedTuple):
    """One change of the cached prefixes."""

    seq: int
    at_s: float
    type: str
    hashes: tuple[int, ...]


class BlockCache:
    """Blocks of one engine, with prefixes evicted least recently used.

    ``private`` counts blocks that only one sequence can use: the end of a
    prompt, its output, and prompt blocks not yet computed.
    """

    def __init__(
        self,
        total: int,
        clock: typing.Callable[[], float],
        event_delay_s: float = 0.0,
        event_loss: float = 0.0,
        seed: int = 0,
    ) -> None:
        self.total = total
        self.private = 0
        self.event_delay_s = event_delay_s
        self.event_loss = event_loss
        self._clock = clock
        self._random = random.Random(seed)
        # Users of each cached block in use, and blocks nobody uses, oldest
        # first.
        self._used: dict[int, int] = {}
        self._idle: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=EVENTS_KEPT
        )
        self._next_seq = 1

    @property
    def used(self) -> int:
        """Return the blocks that running work holds."""
        return self.private + len(self._used)

    @property
    def free(self) -> int:
        """Return the blocks that new work could have."""
        return self.total - self.used

    def __contains__(self, hash_: int) -> bool:
        return hash_ in self._used or hash_ in self._idle

    def match(self, hashes: typing.Sequence[int]) -> int:
        """Return how many blocks from the start are cached."""
        for index, hash_ in enumerate(hashes):
            if hash_ not in self:
                return index
        return len(hashes)

    def reserve(self, shared: typing.Sequence[int], private: int) -> bool:
        """Take cached blocks and new private ones; False if there is no room.

        The shared ones must be cached now.
        """
        idle = sum(1 for hash_ in shared if hash_ in self._idle)
        if private + idle > self.free:
            return False
        for hash_ in shared:
            self._idle.pop(hash_, None)
            self._used[hash_] = self._used.get(hash_, 0) + 1
        self.private += private
        self._evict()
        return True

    def publish(self, hashes: typing.Sequence[int]) -> None:
        """Turn private blocks that were computed into cached, used ones."""
        new = []
        for hash_ in hashes:
            self.private -= 1
            if hash_ not in self:
                new.append(hash_)
            self._idle.pop(hash_, None)
            self._used[hash_] = self._used.get(hash_, 0) + 1
        self._add_event('stored', new)

    def release(self, shared: typing.Sequence[int], private: int) -> None:
        """Give back what a sequence held; its prefix stays cached."""
        self.private -= private
        # The end goes first, so that it is also evicted first: a start
        # without its end is still of use, an end without its start is not.
        for hash_ in reversed(shared):
            users = self._used[hash_] - 1
            if users:
                self._used[hash_] = users
            else:
                del self._used[hash_]
                self._idle[hash_] = None

    def insert(self, hashes: typing.Sequence[int]) -> int:
        """Cache blocks that came from another engine; return how many fit."""
        fitting = list(hashes[: self.free])
        new = [hash_ for hash_ in fitting if hash_ not in self]
        for hash_ in reversed(fitting):
            if hash_ not in self._used:
                self._idle.pop(hash_, None)
                self._idle[hash_] = None
        self._evict()
        self._add_event('stored', new)
        return len(fitting)

    def clear(self) -> None:
        """Drop all cached prefixes that nobody uses."""
        removed = list(self._idle)
        self._idle.clear()
        self._add_event('removed', removed)

    def _evict(self) -> None:
        removed = []
        while self.used + len(self._idle) > self.total:
            hash_, _ = self._idle.popitem(last=False)
            removed.append(hash_)
        self._add_event('removed', removed)

    def _add_event(self, type_: str, hashes: list[int]) -> None:
        if not hashes:
            return
        event = CacheEvent(self._next_seq, self._clock(), type_, tuple(hashes))
        self._next_seq += 1
        # A lost event leaves a gap in the numbers, as a dropped publication
        # does.
        if self._random.random() >= self.event_loss:
            self._events.append(event)

    def events(self, after_seq: int) -> tuple[list[CacheEvent], int]:
        """Return visible events past a number, and the last number seen."""
        until_s = self._clock() - self.event_delay_s
        found = []
        for event in reversed(self._events):
            if event.seq <= after_seq:
                break
            if event.at_s <= until_s:
                found.append(event)
        found.reverse()
        return found, found[-1].seq if found else after_seq
