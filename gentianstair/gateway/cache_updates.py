"""Forward changes of the replicas' KV caches between VMs.

In a large fleet only a few VMs poll each replica; the others learn from
them which parts of prompts it has cached.
"""

import collections
import collections.abc
import typing

import msgspec

from gentianstair import errors
from gentianstair.gateway import prefix_index
from gentianstair.util import change_log

# Shorter parts are not forwarded: prefilling them takes less time.
MIN_SHARED_TOKENS = 500
# Maximum number of parts, over all replicas, that each log holds.
MAX_LOGGED_PARTS = 20000
# How many evictions of parts that are not logged are remembered, so that an
# older change that comes later does not undo them.
MAX_REMEMBERED_EVICTIONS = 4000


class Change(typing.NamedTuple):
    """The newest state of one part of a prompt in a replica's cache."""

    replica: str
    part: str
    # The replica's count of its changes; a higher one is newer.
    sequence: int
    # Cached tokens of the part, 0 when it was evicted.
    tokens: int


_Log = change_log.ChangeLog[tuple[str, str], Change]


class CacheUpdates:
    """Applies changes of the replicas' caches, and logs them for peers."""

    def __init__(self, index: prefix_index.PrefixIndex) -> None:
        self._index = index
        # The newest sequence seen, by replica and part.
        self._sequences: dict[str, dict[str, int]] = {}
        # The same for evictions of parts that are not logged, oldest first.
        self._evictions: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )
        # Changes polled by this VM and its leaves, for the other hubs; on a
        # leaf, for its hub.
        self.hub_log: _Log = change_log.ChangeLog(MAX_LOGGED_PARTS)
        # All changes, for the leaves.
        self.leaf_log: _Log = change_log.ChangeLog(MAX_LOGGED_PARTS)

    def apply(self, change: Change, to_hubs: bool) -> None:
        """Apply a change unless a newer one is known; log it for peers.

        Two VMs poll each replica, so changes may come late and out of
        order: an evicted part must not seem to be back. With to_hubs the
        change is logged for the other hubs, too.
        """
        sequences = self._sequences.setdefault(change.replica, {})
        key = (change.replica, change.part)
        newest = max(
            sequences.get(change.part, -1), self._evictions.get(key, -1)
        )
        if newest >= change.sequence:
            return
        self._index.update(change.replica, change.part, change.tokens)
        if change.tokens < MIN_SHARED_TOKENS and key not in self.leaf_log:
            if not change.tokens:
                self._remember_eviction(key, change.sequence)
            return
        sequences[change.part] = change.sequence
        if to_hubs:
            self.hub_log.put(key, change)
        self.leaf_log.put(key, change)

    def _remember_eviction(self, key: tuple[str, str], sequence: int) -> None:
        self._evictions.pop(key, None)
        self._evictions[key] = sequence
        if len(self._evictions) > MAX_REMEMBERED_EVICTIONS:
            self._evictions.popitem(last=False)

    def newest_sequence(self, replica: str, default: int) -> int:
        """Return the newest logged change of a cache, default if none is."""
        return max(self._sequences.get(replica, {}).values(), default=default)

    def apply_rows(
        self, rows: collections.abc.Iterable[list], to_hubs: bool
    ) -> None:
        """Apply changes from a peer's message; raise DecodeError."""
        try:
            changes = msgspec.convert(list(rows), list[Change])
        except msgspec.ValidationError as error:
            raise errors.DecodeError(f'bad cache changes: {error}') from error
        for change in changes:
            self.apply(change, to_hubs)

    def forget(self, replica: str) -> None:
        """Forget a replica that left or restarted with an empty cache."""
        self._index.forget(replica)
        for part in self._sequences.pop(replica, ()):
            self.hub_log.drop((replica, part))
            self.leaf_log.drop((replica, part))
        for key in [k for k in self._evictions if k[0] == replica]:
            del self._evictions[key]
