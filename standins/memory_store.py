"""Offer the store's interface in process, with faults, for tests."""

import collections
import typing

import trio

from gentianstair import errors
from gentianstair.store import era as eras
from gentianstair.store import store
from standins.platform import objects


class MemoryStore(store.Store):
    """A client of an ObjectTable; several clients may share one table.

    ``faults`` belongs to this client, so that one node can be cut off while
    others are not. ``calls`` counts calls by purpose.
    """

    def __init__(
        self,
        table: objects.ObjectTable | None = None,
        faults: objects.Faults | None = None,
    ) -> None:
        self.table = table or objects.ObjectTable()
        self.faults = faults or objects.Faults()
        self.calls: collections.Counter[str] = collections.Counter()

    @property
    def era(self) -> int:
        """See Store.era; the first one is 0."""
        return self.table.era - 1

    def _shown(self, item: store.StoredObject) -> store.StoredObject:
        """Return an object of the table as a client sees it."""
        if not item.version:
            return item
        return item._replace(version=eras.join(self.era, item.version))

    def _listing(self, found: store.Listing) -> store.Listing:
        return store.Listing(
            eras.join(self.era, found.revision),
            [self._shown(item) for item in found.objects],
        )

    def _write(
        self,
        kind: str,
        name: str,
        value: store.Value | None,
        expect_version: int,
    ) -> int:
        era, revision = eras.split(expect_version)
        current = self._shown(self.table.get(kind, name))
        if revision and era < self.era:
            raise errors.StoreConflictError(kind, name, current.version)
        try:
            written = self.table.write(kind, name, value, revision)
        except errors.StoreConflictError as error:
            version = error.current_version
            if version:
                error.current_version = eras.join(self.era, version)
            raise
        return eras.join(self.era, written)

    async def _enter(self, purpose: str) -> None:
        self.calls[purpose] += 1
        await trio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise errors.StoreUnavailableError('the store is down')

    def _leave(self) -> None:
        if self.faults.random.random() < self.faults.lose_answers:
            raise errors.StoreOutcomeUnknownError('the answer was lost')

    async def get(
        self, kind: str, name: str, *, purpose: str
    ) -> store.StoredObject:
        """See Store.get."""
        await self._enter(purpose)
        if self.faults.stale_revisions:
            past = self.faults.stale_revisions
            return self._shown(self.table.get_past(kind, name, past))
        return self._shown(self.table.get(kind, name))

    async def list(
        self, kind: str, *, purpose: str, prefix: str = ''
    ) -> store.Listing:
        """See Store.list."""
        await self._enter(purpose)
        return self._listing(self.table.list(kind, prefix))

    async def put(
        self,
        kind: str,
        name: str,
        value: store.Value,
        expect_version: int,
        *,
        purpose: str,
    ) -> int:
        """See Store.put."""
        await self._enter(purpose)
        version = self._write(kind, name, value, expect_version)
        self._leave()
        return version

    async def delete(
        self, kind: str, name: str, expect_version: int, *, purpose: str
    ) -> int:
        """See Store.delete."""
        await self._enter(purpose)
        version = self._write(kind, name, None, expect_version)
        self._leave()
        return version

    async def watch(
        self,
        kinds: typing.Sequence[str],
        after_revision: int,
        timeout_s: float,
        *,
        purpose: str,
    ) -> store.Listing:
        """See Store.watch."""
        await self._enter(purpose)
        era, revision = eras.split(after_revision)
        if era < self.era:
            raise errors.WatchTooOldError(f'era {era}')
        found = await self.table.watch(kinds, revision, timeout_s)
        if self.faults.down:
            raise errors.StoreUnavailableError('the store is down')
        return self._listing(found)
