"""Offer the store's interface in process, with faults, for tests."""

import collections
import typing

import trio

from gentianstair import errors
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
            return self.table.get_past(kind, name, past)
        return self.table.get(kind, name)

    async def list(
        self, kind: str, *, purpose: str, prefix: str = ''
    ) -> store.Listing:
        """See Store.list."""
        await self._enter(purpose)
        return self.table.list(kind, prefix)

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
        version = self.table.write(kind, name, value, expect_version)
        self._leave()
        return version

    async def delete(
        self, kind: str, name: str, expect_version: int, *, purpose: str
    ) -> int:
        """See Store.delete."""
        await self._enter(purpose)
        version = self.table.write(kind, name, None, expect_version)
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
        found = await self.table.watch(kinds, after_revision, timeout_s)
        if self.faults.down:
            raise errors.StoreUnavailableError('the store is down')
        return found
