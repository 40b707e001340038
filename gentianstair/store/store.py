"""Define the interface of the platform's object store."""

import abc
import typing

Value = dict[str, typing.Any]


class StoredObject(typing.NamedTuple):
    """One object; ``value`` is None when it is absent or was deleted.

    ``version`` is the store's era and its revision at the object's last
    change (see ``store/era.py``), so versions of different objects compare
    too. An object that never existed has version 0.
    """

    kind: str
    name: str
    version: int
    value: Value | None


class Listing(typing.NamedTuple):
    """Objects as of one store revision, which holds the era, too."""

    revision: int
    objects: list[StoredObject]


class Store(abc.ABC):
    """The object API: reads, conditional updates and watches.

    All calls may raise StoreUnavailableError (no effect). Writes may also
    raise StoreOutcomeUnknownError: the response was lost, and only reading
    back tells whether the write took effect. ``purpose`` names the reason of
    the call, for example ``lease`` or ``claim``; calls are counted and limited
    by it.
    """

    @property
    @abc.abstractmethod
    def era(self) -> int:
        """Return the store's era, 0 for a store that names none."""

    @abc.abstractmethod
    async def get(self, kind: str, name: str, *, purpose: str) -> StoredObject:
        """Return the object, with version 0 and no value when absent."""

    @abc.abstractmethod
    async def list(
        self, kind: str, *, purpose: str, prefix: str = ''
    ) -> Listing:
        """Return all live objects of a kind whose name has the prefix."""

    @abc.abstractmethod
    async def put(
        self,
        kind: str,
        name: str,
        value: Value,
        expect_version: int,
        *,
        purpose: str,
    ) -> int:
        """Write if the version is the expected one; 0 means create if absent.

        Return the new version. Raise StoreConflictError otherwise.
        """

    @abc.abstractmethod
    async def delete(
        self, kind: str, name: str, expect_version: int, *, purpose: str
    ) -> int:
        """Delete if the version is the expected one.

        Return the new version. Raise StoreConflictError otherwise.
        """

    @abc.abstractmethod
    async def watch(
        self,
        kinds: typing.Sequence[str],
        after_revision: int,
        timeout_s: float,
        *,
        purpose: str,
    ) -> Listing:
        """Wait for changes after a revision; deletions have no value.

        Return an empty listing after timeout_s. Raise WatchTooOldError
        when the store no longer keeps the changes since then.
        """
