"""Pass on between VMs what they hear of the replicas' caches.

In a large fleet each replica is asked by a few VMs only; the others learn
from them which parts of prompts it keeps.
"""

import collections.abc
import typing

import msgspec

from gentianstair import errors
from gentianstair.gateway import change_log
from gentianstair.gateway import prefix_index

# Parts shorter than this are read sooner than they are told of.
LEAST_TOKENS = 500
# Parts of all replicas that are told to a VM that knows none.
MOST_PARTS = 20000


class Change(typing.NamedTuple):
    """What a replica keeps of a part, as it said last."""

    replica: str
    part: str
    # The replica's own count of its changes; a later one goes before.
    number: int
    # 0 when the part is gone.
    tokens: int


_Log = change_log.ChangeLog[tuple[str, str], Change]


class CacheUpdates:
    """Changes of the replicas' caches, and who is still to be told."""

    def __init__(self, cache: prefix_index.PrefixIndex) -> None:
        self._cache = cache
        self._numbers: dict[str, dict[str, int]] = {}
        # Heard from replicas by this VM and its leaves, for the other hubs.
        self.mine: _Log = change_log.ChangeLog(MOST_PARTS)
        # All that is known, for the leaves.
        self.known: _Log = change_log.ChangeLog(MOST_PARTS)

    def heard(self, change: Change, passed_on: bool) -> None:
        """Take a change; passed_on says that other hubs learn it here.

        Two VMs follow each replica, and the slower one tells late: a part
        that is gone by then must not seem to be back.
        """
        numbers = self._numbers.setdefault(change.replica, {})
        if numbers.get(change.part, -1) >= change.number:
            return
        self._cache.update(change.replica, change.part, change.tokens)
        key = (change.replica, change.part)
        if change.tokens < LEAST_TOKENS and key not in self.known:
            return
        numbers[change.part] = change.number
        if passed_on:
            self.mine.put(key, change)
        self.known.put(key, change)

    def take(
        self, rows: collections.abc.Iterable[list], passed_on: bool
    ) -> None:
        """Take changes as a peer tells them; raise DecodeError."""
        try:
            found = msgspec.convert(list(rows), list[Change])
        except msgspec.ValidationError as error:
            raise errors.DecodeError(f'cache changes: {error}') from error
        for change in found:
            self.heard(change, passed_on)

    def forget(self, replica: str) -> None:
        """Forget a replica that left, or started again with nothing."""
        self._cache.forget(replica)
        for part in self._numbers.pop(replica, ()):
            self.mine.drop((replica, part))
            self.known.drop((replica, part))
