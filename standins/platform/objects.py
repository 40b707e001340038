"""Keep versioned objects with conditional updates, watches and faults."""

import random
import typing

import trio

from gentianstair import errors
from gentianstair.store import store

KEPT_CHANGES = 10000


class Faults:
    """Switches for what the brief says fails; all off at first."""

    def __init__(self, seed: int = 0) -> None:
        self.down = False
        self.delay_s = 0.0
        # Share of writes whose answer is lost after they took effect.
        self.lose_answers = 0.0
        # How many revisions back reads answer from.
        self.stale_revisions = 0
        # Whether answers name the store's era.
        self.names_era = True
        self.random = random.Random(seed)


class Copy(typing.NamedTuple):
    """The objects of a platform at one moment."""

    revision: int
    objects: dict[tuple[str, str], store.StoredObject]


class ObjectTable:
    """The objects of one platform, in memory."""

    def __init__(self) -> None:
        self.revision = 0
        # Rises when the platform comes back from a copy.
        self.era = 1
        self.objects: dict[tuple[str, str], store.StoredObject] = {}
        self.changes: list[store.StoredObject] = []
        self._first_kept = 0
        self._changed = trio.lowlevel.ParkingLot()

    def copy(self) -> Copy:
        """Return a copy to come back from."""
        return Copy(self.revision, dict(self.objects))

    def go_back(self, copy: Copy) -> None:
        """Lose what was written since a copy; its revisions come again."""
        self.era += 1
        self.revision = self._first_kept = copy.revision
        self.objects = dict(copy.objects)
        self.changes.clear()
        self._changed.unpark_all()

    def get(self, kind: str, name: str) -> store.StoredObject:
        """Return the object; a deleted one keeps its deletion's version."""
        absent = store.StoredObject(kind, name, 0, None)
        return self.objects.get((kind, name), absent)

    def get_past(
        self, kind: str, name: str, revisions: int
    ) -> store.StoredObject:
        """Return the object as it was some revisions ago."""
        before = self.revision - revisions
        found = store.StoredObject(kind, name, 0, None)
        for change in self.changes:
            if change.version > before:
                break
            if (change.kind, change.name) == (kind, name):
                found = change
        return found

    def list(self, kind: str, prefix: str = '') -> store.Listing:
        """Return live objects by name."""
        found = [
            item
            for item in self.objects.values()
            if item.kind == kind
            and item.name.startswith(prefix)
            and item.value is not None
        ]
        found.sort(key=lambda item: item.name)
        return store.Listing(self.revision, found)

    def write(
        self,
        kind: str,
        name: str,
        value: store.Value | None,
        expect_version: int,
    ) -> int:
        """Apply a conditional write; None as value deletes."""
        current = self.get(kind, name)
        # A deleted object counts as absent, so it can be created again.
        version = current.version if current.value is not None else 0
        if version != expect_version:
            raise errors.StoreConflictError(kind, name, version)
        self.revision += 1
        item = store.StoredObject(kind, name, self.revision, value)
        self.objects[(kind, name)] = item
        self.changes.append(item)
        if len(self.changes) > 2 * KEPT_CHANGES:
            self.changes = self.changes[-KEPT_CHANGES:]
            self._first_kept = self.changes[0].version
        self._changed.unpark_all()
        return self.revision

    def changes_after(
        self, kinds: typing.Sequence[str], after_revision: int
    ) -> store.Listing:
        """Return changes of some kinds; the last one for each object."""
        if (
            after_revision + 1 < self._first_kept
            or after_revision > self.revision
        ):
            raise errors.WatchTooOldError(f'revision {after_revision}')
        latest: dict[tuple[str, str], store.StoredObject] = {}
        for change in reversed(self.changes):
            if change.version <= after_revision:
                break
            if change.kind in kinds:
                latest.setdefault((change.kind, change.name), change)
        found = sorted(latest.values(), key=lambda item: item.version)
        return store.Listing(self.revision, found)

    async def watch(
        self,
        kinds: typing.Sequence[str],
        after_revision: int,
        timeout_s: float,
    ) -> store.Listing:
        """Wait for changes of some kinds, at most timeout_s."""
        found = self.changes_after(kinds, after_revision)
        with trio.move_on_after(timeout_s):
            while not found.objects:
                await self._changed.park()
                found = self.changes_after(kinds, after_revision)
        return found
