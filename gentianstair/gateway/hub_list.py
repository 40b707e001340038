"""Publish the hubs in the store, for processes that start later.

When all VMs start at once, each would otherwise list the whole fleet, which
is bytes in proportion to VMs times VMs, before it finds a hub.
"""

import typing

import loguru
import msgspec
import trio

from gentianstair import errors
from gentianstair.control import lease
from gentianstair.gateway import hubs
from gentianstair.gateway import roster as rosters
from gentianstair.generated import events
from gentianstair.store import store as stores

KIND = 'gateway-hubs'
NAME = 'main'
PURPOSE = 'hubs'
# How often the holder of the duties looks whether the hubs have changed.
CHECK_INTERVAL_S = 2.0
# The list is written anew when the number of VMs changes by this share.
VM_COUNT_CHANGE_SHARE = 0.2


class HubRow(msgspec.Struct):
    """One hub in the published list."""

    vm: str
    failure_domain: str
    # HOST:PORT of its links to peers.
    peer_address: str


class HubList(msgspec.Struct):
    """The published hubs, and how many VMs the fleet has."""

    vm_count: int
    hubs: list[HubRow]

    def vms(self) -> list[hubs.Vm]:
        """Return the hubs; their cores are not published."""
        return [
            hubs.Vm(row.vm, row.failure_domain, row.peer_address, 0.0)
            for row in self.hubs
        ]


def decode(value: typing.Any) -> HubList | None:
    """Return the list in an object, or None if there is none to use."""
    if value is None:
        return None
    try:
        found = msgspec.convert(value, HubList)
    except (msgspec.ValidationError, TypeError) as error:
        loguru.logger.bind(event=events.HUBS_UNREADABLE).warning('{}', error)
        return None
    return found if found.hubs else None


async def read(store: stores.Store) -> HubList | None:
    """Return the published hubs, None if there are none; raise StoreError."""
    item = await store.get(KIND, NAME, purpose=PURPOSE)
    return decode(item.value)


class Publisher:
    """Keeps the published list current while holding the duties."""

    def __init__(self, store: stores.Store, roster: rosters.Roster) -> None:
        self._store = store
        self._roster = roster

    async def run(self, authority: lease.Authority) -> None:
        """Publish changes until authority ends."""
        published, version, is_read, era = None, 0, False, 0
        while True:
            authority.check()
            current = self._current()
            if era != self._store.era:
                # The copy may have another list, or none.
                era, is_read = self._store.era, False
            try:
                if current is not None and not is_read:
                    item = await self._store.get(KIND, NAME, purpose=PURPOSE)
                    published, version = decode(item.value), item.version
                    is_read = True
                if current is not None and _differs(current, published):
                    version = await self._store.put(
                        KIND,
                        NAME,
                        msgspec.to_builtins(current),
                        version,
                        purpose=PURPOSE,
                    )
                    published = current if current.hubs else None
            except errors.StoreError as error:
                # Reads the object again before the next write.
                is_read = False
                loguru.logger.bind(event=events.HUBS_FAILED).info('{}', error)
            await trio.sleep(CHECK_INTERVAL_S)

    def _current(self) -> HubList | None:
        """Return the hubs as seen now; None before the fleet is known.

        In a fleet without leaves the list is empty.
        """
        if not self._roster.knows_fleet():
            return None
        if self._roster.is_mesh():
            return HubList(self._roster.vm_count(), [])
        rows = [
            HubRow(hub.name, hub.failure_domain, hub.peer_address)
            for hub in self._roster.hubs()
        ]
        return HubList(self._roster.vm_count(), rows)


def _differs(current: HubList, published: HubList | None) -> bool:
    if published is None:
        return bool(current.hubs)
    if current.hubs != published.hubs:
        return True
    change = abs(current.vm_count - published.vm_count)
    return change > VM_COUNT_CHANGE_SHARE * published.vm_count
