"""Hold the newest known configuration objects and the active bundle."""

import typing

import loguru
import msgspec
import trio
import xxhash

from gentianstair.config import bundles
from gentianstair.generated import messages
from gentianstair.store import store

# Object kinds that every node watches.
WATCHED_KINDS = ('customer', 'key', 'bundle', 'accepted', 'upstream')
VALUE_TYPES: dict[str, type] = {
    'customer': messages.CustomerValue,
    'key': messages.KeyValue,
    'bundle': messages.BundleValue,
    'accepted': messages.AcceptedValue,
    'upstream': messages.UpstreamValue,
}
# Two nodes compare their configuration by one digest per bucket of objects.
# To repair one missed object, a node sends all objects of its bucket.
BUCKET_COUNT = 256


def _bucket_of(item: store.StoredObject) -> int:
    text = f'{item.kind}/{item.name}'
    return xxhash.xxh32_intdigest(text.encode()) % BUCKET_COUNT


def _is_valid(item: store.StoredObject) -> bool:
    """Return whether the value matches the schema of its kind."""
    value_type = VALUE_TYPES.get(item.kind)
    if value_type is None or item.value is None:
        return True
    try:
        msgspec.convert(item.value, value_type)
    except msgspec.ValidationError:
        return False
    return True


def _digest_of(item: store.StoredObject) -> int:
    text = f'{item.kind}/{item.name}/{item.version}'
    return xxhash.xxh64_intdigest(text.encode())


def _precedence(item: store.StoredObject) -> tuple[int, int]:
    one_way = 0
    if item.kind in ('key', 'accepted') and item.value and _is_valid(item):
        is_key = item.kind == 'key'
        one_way = item.value['revoked' if is_key else 'number']
    return int(one_way), item.version


def is_newer(item: store.StoredObject, known: store.StoredObject) -> bool:
    """Return which of two states of an object holds, in all nodes.

    What only goes one way comes before the version: a revoked key stays
    revoked, an accepted number only rises. So a store that comes back from a
    copy takes neither back, and a peer tells a node that knows the copy only.
    """
    return _precedence(item) > _precedence(known)


class View:
    """The newest known state of each configuration object.

    An object with a lower version than the known one is ignored, so a late
    watch event, a peer with older state or a stale read reverts nothing;
    is_newer tells what counts more than the version. Deleted objects stay,
    without a value.
    """

    def __init__(self, bundle_public_key: str = '') -> None:
        self._bundle_public_key = bundle_public_key
        self.objects: dict[tuple[str, str], store.StoredObject] = {}
        self.revision = 0
        # XOR of the digests of all objects, in total and by bucket, updated
        # with each change.
        self.digest = 0
        self.buckets = [0] * BUCKET_COUNT
        # Objects that do not match the schema, and untrusted bundles. They
        # are kept and forwarded, as a newer peer may accept them, but never
        # used.
        self._invalid: set[tuple[str, str]] = set()
        # The highest bundle number that was ever accepted.
        self._accepted_number = 0
        self._active_bundle: messages.BundleValue | None = None
        self._changed = trio.lowlevel.ParkingLot()

    def apply(
        self, objects: typing.Iterable[store.StoredObject]
    ) -> list[store.StoredObject]:
        """Store the objects newer than the known ones; return them."""
        newer = []
        for item in objects:
            known = self.objects.get((item.kind, item.name))
            if known is not None and not is_newer(item, known):
                continue
            self._set(item, known)
            newer.append(item)
        self._activate_accepted_bundle()
        if newer:
            self._changed.unpark_all()
        return newer

    def _set(
        self, item: store.StoredObject, known: store.StoredObject | None
    ) -> None:
        key = (item.kind, item.name)
        self._invalid.discard(key)
        if not _is_valid(item) or not self._is_trusted(item):
            self._invalid.add(key)
        elif item.kind == 'accepted' and item.value is not None:
            # A withdrawal accepts a higher number with older content. So a
            # lower number is never valid, whatever the object's version.
            number = item.value['number']
            self._accepted_number = max(self._accepted_number, number)
        digest_change = _digest_of(item)
        if known is not None:
            digest_change ^= _digest_of(known)
        self.objects[key] = item
        self.digest ^= digest_change
        self.buckets[_bucket_of(item)] ^= digest_change
        self.revision = max(self.revision, item.version)

    def _is_trusted(self, item: store.StoredObject) -> bool:
        """Return whether an object is a trusted bundle, or no bundle.

        The name must be the signed number. Otherwise an old signed bundle
        could be copied to a higher number and activated again.
        """
        if item.kind != 'bundle' or item.value is None:
            return True
        bundle = typing.cast(messages.BundleValue, item.value)
        is_trusted = str(bundle['number']) == item.name and (
            not self._bundle_public_key
            or bundles.is_signed_by(bundle, self._bundle_public_key)
        )
        if not is_trusted:
            loguru.logger.error('bundle {} is not signed off', item.name)
        return is_trusted

    def _activate_accepted_bundle(self) -> None:
        """Activate the accepted bundle if it is known and trusted.

        Otherwise the previous bundle stays active, as without a bundle
        every request would be rejected. Peers may forward the accepted
        number before its bundle, or it may name an unsigned bundle.
        """
        bundle = self.value('bundle', str(self._accepted_number))
        if bundle is not None:
            self._active_bundle = bundle

    def differing_objects(
        self, buckets: typing.Sequence[int]
    ) -> list[store.StoredObject]:
        """Return the objects in buckets whose digest differs from a peer's.

        An empty sequence means that the peer has no objects.
        """
        peer_digests = (
            buckets if len(buckets) == BUCKET_COUNT else [0] * BUCKET_COUNT
        )
        differing = {
            number
            for number, digest in enumerate(self.buckets)
            if digest != peer_digests[number]
        }
        if not differing:
            return []
        found = [
            item
            for item in self.objects.values()
            if _bucket_of(item) in differing
        ]
        return sorted(found, key=lambda item: item.version)

    async def wait_for_change(self) -> None:
        """Return after the next change."""
        await self._changed.park()

    def value(self, kind: str, name: str) -> typing.Any:
        """Return the value of a live and valid object, or None."""
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
        """Return the API key of a caller by its SHA-256 in hex, or None."""
        return self.value('key', digest)

    def customer(self, name: str) -> messages.CustomerValue | None:
        """Return a customer, or None."""
        return self.value('customer', name)

    def upstream(self, name: str) -> messages.UpstreamValue | None:
        """Return an upstream, or None."""
        return self.value('upstream', name)

    def active_bundle(self) -> messages.BundleValue | None:
        """Return the active bundle, or None before the first one."""
        return self._active_bundle
