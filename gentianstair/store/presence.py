"""Publish heartbeats of this process, and find the live peers."""

import contextlib
import typing

import loguru
import msgspec
import trio

from gentianstair import errors
from gentianstair.generated import events
from gentianstair.generated import messages
from gentianstair.store import confirmed_write
from gentianstair.store import store as stores
from gentianstair.util import clock as clocks

PURPOSE = 'status'
# Heartbeat intervals without a change until a process counts as dead.
DEAD_AFTER_HEARTBEATS = 3
# Heartbeat intervals without a change until the object is deleted.
DELETE_AFTER_HEARTBEATS = 50


class Presence:
    """Publishes the heartbeat of this process and tracks those of others.

    The list of live processes only decides which process tries first or is
    asked first. A wrong list costs a conflict or a delay, never safety.
    """

    def __init__(
        self,
        store: stores.Store,
        kind: str,
        name: str,
        address: str,
        clock: clocks.Clock,
        heartbeat_s: float,
    ) -> None:
        self._store = store
        self._kind = kind
        self._name = name
        self._address = address
        self._clock = clock
        self._heartbeat_s = heartbeat_s
        self._version = 0
        # Version of each object, and when this process first read it.
        self._last_seen: dict[str, tuple[int, float]] = {}
        # Addresses of the live processes by name, with this process.
        self.addresses: dict[str, str] = {name: address}

    async def send_heartbeat(self) -> None:
        """Write this process's heartbeat and read those of the others."""
        try:
            await self._write_heartbeat()
            listing = await self._store.list(self._kind, purpose=PURPOSE)
        except errors.StoreError:
            return
        now_s = self._clock()
        addresses = {self._name: self._address}
        for item in listing.objects:
            last_seen = self._last_seen.get(item.name)
            if last_seen is None or last_seen[0] != item.version:
                last_seen = (item.version, now_s)
                self._last_seen[item.name] = last_seen
            age_s = now_s - last_seen[1]
            if age_s < DEAD_AFTER_HEARTBEATS * self._heartbeat_s:
                address = _address_in(item)
                if address is not None:
                    addresses[item.name] = address
            elif age_s > DELETE_AFTER_HEARTBEATS * self._heartbeat_s:
                await self._delete(item.name, item.version)
        self.addresses = addresses

    async def _write_heartbeat(self) -> None:
        value: messages.PresenceValue = {
            'address': self._address,
            'nonce': confirmed_write.new_nonce(),
        }
        try:
            self._version = await confirmed_write.put(
                self._store,
                self._kind,
                self._name,
                typing.cast(stores.Value, value),
                self._version,
                purpose=PURPOSE,
            )
        except errors.StoreConflictError as error:
            # An earlier heartbeat took effect late, or a peer deleted it.
            self._version = error.current_version

    async def _delete(self, name: str, version: int) -> None:
        self._last_seen.pop(name, None)
        with contextlib.suppress(errors.StoreError):
            await self._store.delete(
                self._kind, name, version, purpose=PURPOSE
            )

    async def run(self) -> None:
        """Send heartbeats until cancelled, then delete the object."""
        try:
            while True:
                await self.send_heartbeat()
                await trio.sleep(self._heartbeat_s)
        finally:
            with trio.CancelScope(shield=True):
                with trio.move_on_after(self._heartbeat_s):
                    await self._delete(self._name, self._version)


def _address_in(item: stores.StoredObject) -> str | None:
    """Return the address in a process's object, None if it has none."""
    try:
        return msgspec.convert(item.value, messages.PresenceValue)['address']
    except (msgspec.ValidationError, TypeError) as error:
        loguru.logger.bind(
            event=events.OBJECT_UNREADABLE, kind=item.kind
        ).warning('skipped the invalid object {}: {}', item.name, error)
        return None


def make_presence(
    store: stores.Store,
    kind: str,
    name: str,
    address: str,
    clock: clocks.Clock,
    heartbeat_s: float,
) -> Presence:
    """Return the presence of this process among objects of a kind."""
    return Presence(store, kind, name, address, clock, heartbeat_s)
