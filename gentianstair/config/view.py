"""Hold the configuration a node has in force; it only moves forward."""

import typing

import trio

from gentianstair.generated import messages
from gentianstair.platform import store

# Kinds that every node follows.
KINDS = ('customer', 'key', 'bundle', 'accepted', 'upstream')


class View:
    """The newest version known of each configuration object.

    A late watch event, a peer with older state and a store that answers
    from the past all show as an object with a lower version; it is ignored,
    so nothing ever reverts. Deletions stay as objects without a value.
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], store.StoredObject] = {}
        self.revision = 0
        self._changed = trio.lowlevel.ParkingLot()

    def apply(
        self, found: typing.Iterable[store.StoredObject]
    ) -> list[store.StoredObject]:
        """Take objects that are newer than those known; return them."""
        taken = []
        for item in found:
            known = self.objects.get((item.kind, item.name))
            if known is not None and known.version >= item.version:
                continue
            self.objects[(item.kind, item.name)] = item
            self.revision = max(self.revision, item.version)
            taken.append(item)
        if taken:
            self._changed.unpark_all()
        return taken

    async def wait_change(self) -> None:
        """Return after the next change."""
        await self._changed.park()

    def value(self, kind: str, name: str) -> typing.Any:
        """Return the value of an object, or None."""
        item = self.objects.get((kind, name))
        return item.value if item else None

    def names(self, kind: str) -> list[str]:
        """Return the names of the live objects of a kind."""
        return sorted(
            item.name
            for item in self.objects.values()
            if item.kind == kind and item.value is not None
        )

    def key(self, digest: str) -> messages.KeyValue | None:
        """Return the caller key with this SHA-256, in hex."""
        return self.value('key', digest)

    def customer(self, name: str) -> messages.CustomerValue | None:
        """Return a customer."""
        return self.value('customer', name)

    def upstream(self, name: str) -> messages.UpstreamValue | None:
        """Return an upstream."""
        return self.value('upstream', name)

    def bundle(self) -> messages.BundleValue | None:
        """Return the accepted bundle, once both it and its number are here."""
        accepted = self.value('accepted', 'current')
        if accepted is None:
            return None
        return self.value('bundle', str(accepted['number']))
