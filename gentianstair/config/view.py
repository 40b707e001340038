"""Hold the configuration a node has in force; it only moves forward."""

import typing

import loguru
import msgspec
import trio
import xxhash

from gentianstair.config import bundles
from gentianstair.generated import messages
from gentianstair.store import store

# Kinds that every node follows.
WATCHED_KINDS = ('customer', 'key', 'bundle', 'accepted', 'upstream')
VALUE_TYPES: dict[str, type] = {
    'customer': messages.CustomerValue,
    'key': messages.KeyValue,
    'bundle': messages.BundleValue,
    'accepted': messages.AcceptedValue,
    'upstream': messages.UpstreamValue,
}
# Parts of the configuration that two nodes compare by digest; one object
# missed costs a 256th of the configuration to repair.
BUCKET_COUNT = 256


def _bucket(item: store.StoredObject) -> int:
    text = f'{item.kind}/{item.name}'
    return xxhash.xxh32_intdigest(text.encode()) % BUCKET_COUNT


def _is_valid(item: store.StoredObject) -> bool:
    """Say whether the value has the shape that the schema gives its kind."""
    kind = VALUE_TYPES.get(item.kind)
    if kind is None or item.value is None:
        return True
    try:
        msgspec.convert(item.value, kind)
    except msgspec.ValidationError:
        return False
    return True


def _digest(item: store.StoredObject) -> int:
    text = f'{item.kind}/{item.name}/{item.version}'
    return xxhash.xxh64_intdigest(text.encode())


class View:
    """The newest version known of each configuration object.

    A late watch event, a peer with older state and a store that answers
    from the past all show as an object with a lower version; it is ignored,
    so nothing ever reverts. Deletions stay as objects without a value.
    """

    def __init__(self, bundle_public_key: str = '') -> None:
        self._bundle_public_key = bundle_public_key
        self.objects: dict[tuple[str, str], store.StoredObject] = {}
        self.revision = 0
        # Exclusive or of the digests of all objects, whole and by bucket,
        # kept up at each change so that comparing costs nothing.
        self.digest = 0
        self.buckets = [0] * BUCKET_COUNT
        # Objects whose value does not match the schema. They are kept and
        # passed on, as a newer peer may know better, but never used.
        self._invalid: set[tuple[str, str]] = set()
        # The highest bundle number that was ever accepted.
        self._accepted_number = 0
        self._in_force: messages.BundleValue | None = None
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
            self._set(item, known)
            taken.append(item)
        self._put_in_force()
        if taken:
            self._changed.unpark_all()
        return taken

    def _set(
        self, item: store.StoredObject, known: store.StoredObject | None
    ) -> None:
        place = (item.kind, item.name)
        self._invalid.discard(place)
        if not _is_valid(item) or not self._may_use_bundle(item):
            self._invalid.add(place)
        elif item.kind == 'accepted' and item.value is not None:
            # Withdrawing accepts a higher number with the older content. A
            # pointer written by hand to a lower one would revert what is in
            # force, so the highest number counts, whatever the version.
            number = item.value['number']
            self._accepted_number = max(self._accepted_number, number)
        change = _digest(item)
        if known is not None:
            change ^= _digest(known)
        self.objects[place] = item
        self.digest ^= change
        self.buckets[_bucket(item)] ^= change
        self.revision = max(self.revision, item.version)

    def _may_use_bundle(self, item: store.StoredObject) -> bool:
        """Say whether an object is no bundle, or one that was signed off.

        A signed bundle copied under a higher number would put the older
        content in force, so the name must be the number that was signed.
        """
        if item.kind != 'bundle' or item.value is None:
            return True
        bundle = typing.cast(messages.BundleValue, item.value)
        allowed = str(bundle['number']) == item.name and (
            not self._bundle_public_key
            or bundles.is_signed_by(bundle, self._bundle_public_key)
        )
        if not allowed:
            loguru.logger.error('bundle {} is not signed off', item.name)
        return allowed

    def _put_in_force(self) -> None:
        """Move on to the accepted bundle if it is here and may be used.

        Until then the one before stays. The number can come ahead of its
        bundle when peers pass objects on, or name one that nobody signed
        off; without a bundle every request would be refused.
        """
        found = self.value('bundle', str(self._accepted_number))
        if found is not None:
            self._in_force = found

    def differing_objects(
        self, buckets: typing.Sequence[int]
    ) -> list[store.StoredObject]:
        """Return the objects in buckets whose digests are not as given.

        An empty sequence stands for a node that holds nothing.
        """
        theirs = (
            buckets if len(buckets) == BUCKET_COUNT else [0] * BUCKET_COUNT
        )
        wanted = {
            number
            for number, digest in enumerate(self.buckets)
            if digest != theirs[number]
        }
        if not wanted:
            return []
        found = [i for i in self.objects.values() if _bucket(i) in wanted]
        return sorted(found, key=lambda item: item.version)

    async def wait_for_change(self) -> None:
        """Return after the next change."""
        await self._changed.park()

    def value(self, kind: str, name: str) -> typing.Any:
        """Return the value of an object, or None."""
        item = self.objects.get((kind, name))
        if item is None or (kind, name) in self._invalid:
            return None
        return item.value

    def live_objects(self, kind: str) -> list[store.StoredObject]:
        """Return the objects of a kind that are not deleted."""
        return [
            item
            for item in self.objects.values()
            if item.kind == kind and item.value is not None
        ]

    def valid_names(self, kind: str) -> list[str]:
        """Return the names of the live and valid objects of a kind."""
        return sorted(
            item.name
            for item in self.live_objects(kind)
            if (kind, item.name) not in self._invalid
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

    def active_bundle(self) -> messages.BundleValue | None:
        """Return the bundle in force, or None before the first one."""
        return self._in_force
