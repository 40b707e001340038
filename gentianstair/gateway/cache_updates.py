"""Pass on between VMs what they hear of the replicas' caches.

In a large fleet each replica is asked by a few VMs only; the others learn
from them which parts of prompts it keeps.
"""

import collections.abc
import typing

import msgspec

from gentianstair import errors
from gentianstair.gateway import change_log
from gentianstair.gateway import prefix_cache

# Parts shorter than this are read sooner than they are told of.
MIN_SHARED_TOKENS = 500
# Parts of all replicas that are told to a VM that knows none.
MAX_LOGGED_PARTS = 20000


class Change(typing.NamedTuple):
    """What a replica keeps of a part, as it said last."""

    replica: str
    part: str
    # The replica's own count of its changes; a later one goes before.
    sequence: int
    # 0 when the part is gone.
    tokens: int


_Log = change_log.ChangeLog[tuple[str, str], Change]


class CacheUpdates:
    """Changes of the replicas' caches, and who is still to be told."""

    def __init__(self, cache: prefix_cache.PrefixCache) -> None:
        self._cache = cache
        self._sequences: dict[str, dict[str, int]] = {}
        # Heard from replicas by this VM and its leaves, for the other hubs.
        self.hub_log: _Log = change_log.ChangeLog(MAX_LOGGED_PARTS)
        # All that is known, for the leaves.
        self.leaf_log: _Log = change_log.ChangeLog(MAX_LOGGED_PARTS)

    def apply(self, change: Change, to_hubs: bool) -> None:
        """Take a change; to_hubs says that other hubs learn it here.

        Two VMs follow each replica, and the slower one tells late: a part
        that is gone by then must not seem to be back.
        """
        sequences = self._sequences.setdefault(change.replica, {})
        if sequences.get(change.part, -1) >= change.sequence:
            return
        self._cache.set(change.replica, change.part, change.tokens)
        key = (change.replica, change.part)
        if change.tokens < MIN_SHARED_TOKENS and key not in self.leaf_log:
            return
        sequences[change.part] = change.sequence
        if to_hubs:
            self.hub_log.put(key, change)
        self.leaf_log.put(key, change)

    def apply_rows(
        self, rows: collections.abc.Iterable[list], to_hubs: bool
    ) -> None:
        """Take changes as a peer tells them; raise DecodeError."""
        try:
            found = msgspec.convert(list(rows), list[Change])
        except msgspec.ValidationError as error:
            raise errors.DecodeError(f'cache changes: {error}') from error
        for change in found:
            self.apply(change, to_hubs)

    def forget(self, replica: str) -> None:
        """Forget a replica that left, or started again with nothing."""
        self._cache.forget(replica)
        for part in self._sequences.pop(replica, ()):
            self.hub_log.drop((replica, part))
            self.leaf_log.drop((replica, part))
