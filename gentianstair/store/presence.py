"""Show that a process is there, and know which others are."""

import contextlib
import typing

import trio

from gentianstair import errors
from gentianstair.generated import messages
from gentianstair.store import confirmed_write
from gentianstair.store import store as stores
from gentianstair.util import clock as clocks

PURPOSE = 'status'
# A process whose object did not change for so many heartbeats is gone.
MISSED = 3
# Whoever sees an object unchanged for so many heartbeats deletes it.
FORGOTTEN = 50


class Presence:
    """This process's heartbeat, and the heartbeats it sees.

    What is seen here decides only who tries first or is asked first; a
    wrong view costs a conflict or a delay, never safety.
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
        self._seen: dict[str, tuple[int, float]] = {}
        # Addresses by name, this process's own among them.
        self.addresses: dict[str, str] = {name: address}

    async def send_heartbeat(self) -> None:
        """Show that this process is there, and look who else is."""
        try:
            await self._show()
            listing = await self._store.list(self._kind, purpose=PURPOSE)
        except errors.StoreError:
            return
        now_s = self._clock()
        found = {self._name: self._address}
        for item in listing.objects:
            known = self._seen.get(item.name)
            if known is None or known[0] != item.version:
                known = (item.version, now_s)
                self._seen[item.name] = known
            age_s = now_s - known[1]
            if age_s < MISSED * self._heartbeat_s:
                found[item.name] = str(item.value['address'])
            elif age_s > FORGOTTEN * self._heartbeat_s:
                await self._delete(item.name, item.version)
        self.addresses = found

    async def _show(self) -> None:
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
            # An earlier beat took effect late, or it was forgotten.
            self._version = error.current_version

    async def _delete(self, name: str, version: int) -> None:
        self._seen.pop(name, None)
        with contextlib.suppress(errors.StoreError):
            await self._store.delete(
                self._kind, name, version, purpose=PURPOSE
            )

    async def run(self) -> None:
        """Beat until cancelled, then leave so that others know at once."""
        try:
            while True:
                await self.send_heartbeat()
                await trio.sleep(self._heartbeat_s)
        finally:
            with trio.CancelScope(shield=True):
                with trio.move_on_after(self._heartbeat_s):
                    await self._delete(self._name, self._version)


def make_presence(
    store: stores.Store,
    kind: str,
    name: str,
    address: str,
    clock: clocks.Clock,
    heartbeat_s: float,
) -> Presence:
    """Return what this process shows and sees as objects of a kind."""
    return Presence(store, kind, name, address, clock, heartbeat_s)
