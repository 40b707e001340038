"""Describe what a leaf knows, so that a new hub sends it only the rest.

When a hub fails, all its leaves link to other hubs within a second. Each would
otherwise get all replicas and all that is cached at them again.
"""

import typing

import msgspec
import xxhash

from gentianstair import errors
from gentianstair.gateway import cache_updates
from gentianstair.gateway import replicas

# For a replica of whose cache nothing is known.
NO_CHANGE = -1


class KnownReplica(typing.NamedTuple):
    """A replica as a leaf knows it."""

    # Hash of its entry.
    fingerprint: int
    # The newest change of its cache, NO_CHANGE if there is none. Changes are
    # forwarded in order, so the leaf knows those before it, too.
    sequence: int


def fingerprint(replica: replicas.Replica) -> int:
    """Return a hash of what a change of a replica's entry would change."""
    comparable = replica._replace(accepted_orders=0)
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(tuple(comparable)))


def describe(
    registry: replicas.Registry, updates: cache_updates.CacheUpdates
) -> dict[str, list[int]]:
    """Return the replicas and caches that are known, for a report.

    It is empty before the first listing of replicas.
    """
    if not registry.loaded.is_set():
        return {}
    return {
        replica.name: list(
            KnownReplica(
                fingerprint(replica),
                updates.newest_sequence(replica.name, NO_CHANGE),
            )
        )
        for replica in registry.registered()
    }


class Knowledge:
    """What a leaf knew when it linked to this hub."""

    def __init__(self, known: dict[str, KnownReplica]) -> None:
        self._known = known

    def __bool__(self) -> bool:
        """Return whether the leaf knows any replicas."""
        return bool(self._known)

    def _is_current(self, replica: replicas.Replica) -> bool:
        known = self._known.get(replica.name)
        return known is not None and known.fingerprint == fingerprint(replica)

    def missing_replicas(
        self, current: typing.Iterable[replicas.Replica]
    ) -> tuple[list[replicas.Replica], list[str]]:
        """Return new and changed replicas, and the names of removed ones."""
        gone = set(self._known)
        missing = []
        for replica in current:
            gone.discard(replica.name)
            if not self._is_current(replica):
                missing.append(replica)
        return missing, sorted(gone)

    def missing_changes(
        self,
        changes: typing.Iterable[cache_updates.Change],
        registry: replicas.Registry,
    ) -> list[cache_updates.Change]:
        """Return the changes of caches that the leaf may not know."""
        # By replica, the newest change that is left out.
        known_until: dict[str, int] = {}
        for name, known in self._known.items():
            replica = registry.get(name)
            if replica is not None and self._is_current(replica):
                known_until[name] = known.sequence
        return [
            change
            for change in changes
            if change.sequence > known_until.get(change.replica, NO_CHANGE)
        ]


def decode(rows: dict[str, list[typing.Any]]) -> Knowledge:
    """Return what a leaf's report says that it knows; raise DecodeError."""
    try:
        return Knowledge(msgspec.convert(rows, dict[str, KnownReplica]))
    except msgspec.ValidationError as error:
        raise errors.DecodeError(f'bad known replicas: {error}') from error
