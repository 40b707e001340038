"""Publish this process in the store, and list the fleet's processes.

Each process that has no hub writes one object as its heartbeat, with its
peer address and its usage counts; a hub adds those of its leaves. The object
outlives the process for a while, so that its last counts are still reported.
"""

import math
import typing

import loguru
import msgspec
import trio

from gentianstair import errors
from gentianstair.core import prompt_fault_rows
from gentianstair.core import prompt_faults
from gentianstair.gateway import leaf_records
from gentianstair.gateway import prefill_costs
from gentianstair.gateway import usage_counter
from gentianstair.generated import events
from gentianstair.store import era as eras
from gentianstair.store import store as stores
from gentianstair.util import clock as clocks

KIND = 'gateway-process'
PURPOSE = 'members'
# Shortest interval between heartbeats. Usage counted after the last one is
# lost if the process is killed.
MIN_HEARTBEAT_INTERVAL_S = 1.0
# Heartbeats per second of the whole fleet. Each call to the store is charged;
# in a large fleet each VM counts a small part of the usage.
MAX_HEARTBEATS_PER_S = 15.0
# Share of the store's write rate that all heartbeats together may use.
MAX_HEARTBEAT_WRITE_SHARE = 0.25
# Shortest pause between rounds of heartbeat and listing.
MIN_PAUSE_S = 0.1
# Longest pause between two listings of the processes.
MAX_LIST_PAUSE_S = 2.0
# The same two in a fleet whose hubs write for their leaves. A leaf finds
# another hub by itself, so the loss of one need not be seen at once.
HUB_HEARTBEAT_INTERVAL_S = 2.0
HUB_LIST_PAUSE_S = 5.0
# How often a process with a hub's feed checks that it still has one.
FEED_CHECK_S = 0.4
# A process that is no hub and has had no hub's feed for this long writes its
# own object, and lists the others even if it knows hubs to try. It is more
# than a change of hubs takes.
UNLINKED_S = 3.0
# Number of missed heartbeats after which a process counts as gone.
MISSED_HEARTBEATS = 3.0
# How long the object of a process that is gone is kept; its counts are
# reported by then.
RECORD_RETENTION_S = 60.0
# Number of processes assumed before the first listing. Limits are divided
# by it, so the assumption is high.
ASSUMED_MEMBERS = 16


class Record(msgspec.Struct):
    """The stored object of a process."""

    vm: str
    failure_domain: str
    # HOST:PORT of its links to peers.
    peer_address: str
    # Number of heartbeats written so far.
    beat: int
    # Number of requests started, by usage window and customer.
    windows: dict[str, dict[str, int]]
    # CPU cores that the VM may use, weighted by their speed.
    cores: float = 0.0
    # Its estimates of prefill costs, for processes that start later.
    costs: list[prefill_costs.FittedCosts] = []
    # The parts of prompts that it holds back, for the same.
    held_parts: prompt_fault_rows.Stored = msgspec.field(
        default_factory=prompt_fault_rows.Stored
    )
    # The leaves of a hub.
    leaves: list[leaf_records.LeafRecord] = []


class Role(typing.NamedTuple):
    """What a process asks about its role in the fleet, hub or leaf."""

    # Whether it has a hub's current feed.
    has_hub_feed: typing.Callable[[], bool] = lambda: False
    is_hub: typing.Callable[[], bool] = lambda: True
    # Whether it knows hubs from an earlier feed or the published list.
    remembers_hubs: typing.Callable[[], bool] = lambda: False


# The role of each process in a fleet without leaves.
IN_MESH = Role()


class Member(typing.NamedTuple):
    """A process as it was last seen."""

    name: str
    record: Record
    # Version of its object, and when this process first saw that version.
    version: int
    changed_at_s: float


def usage_windows(
    record: Record | leaf_records.LeafRecord,
) -> usage_counter.Windows:
    """Return the usage counts in a record, by window."""
    return leaf_records.decode_windows(record.windows)


def decode(value: typing.Any) -> Record | None:
    """Return the record in an object, or None if it is invalid."""
    try:
        record = msgspec.convert(value, Record)
        for one in (record, *record.leaves):
            leaf_records.decode_windows(one.windows)
        return record
    except (msgspec.ValidationError, TypeError, ValueError) as error:
        loguru.logger.bind(event=events.MEMBER_UNREADABLE).warning('{}', error)
        return None


class Members:
    """The fleet's processes as listed in the store, and this one's object."""

    def __init__(
        self,
        store: stores.Store,
        name: str,
        record: Record,
        counter: usage_counter.UsageCounter,
        clock: clocks.Clock,
        writes_per_s: float,
        costs: prefill_costs.PrefillCosts | None = None,
        held_parts: prompt_fault_rows.HeldParts | None = None,
    ) -> None:
        self._store = store
        self._name = name
        self._record = record
        self._usage_counter = counter
        self._clock = clock
        self._writes_per_s = writes_per_s
        self._costs = costs or prefill_costs.PrefillCosts()
        self._held_parts = held_parts or prompt_fault_rows.HeldParts(
            prompt_faults.PromptFaults(clock), clock, clock
        )
        self.leaves = leaf_records.LeafRecords(counter)
        self._version = 0
        self._members: dict[str, Member] = {}
        # When the store last returned a listing, and whether it showed other
        # processes than the one before.
        self._listed_at_s = clock()
        self._has_changed = True
        # The store's era then.
        self._listed_era: int | None = None

    @property
    def name(self) -> str:
        """Return this process's name, new at each start."""
        return self._name

    @property
    def listed_at_s(self) -> float:
        """Return when the store last returned a listing."""
        return self._listed_at_s

    @property
    def heartbeat_interval_s(self) -> float:
        """Return the heartbeat interval, which grows with the fleet."""
        if self._has_leaves():
            return max(HUB_HEARTBEAT_INTERVAL_S, self._writers_interval_s)
        return self._writers_interval_s

    @property
    def _writers_interval_s(self) -> float:
        max_per_s = min(
            MAX_HEARTBEATS_PER_S,
            MAX_HEARTBEAT_WRITE_SHARE * self._writes_per_s,
        )
        return max(MIN_HEARTBEAT_INTERVAL_S, len(self._members) / max_per_s)

    def _has_leaves(self) -> bool:
        """Return whether hubs write for leaves in this fleet."""
        return bool(self.leaves.linked()) or any(
            member.record.leaves for member in self._members.values()
        )

    @property
    def _list_pause_s(self) -> float:
        # While VMs start, their views differ, and so do the hubs they select.
        if self._has_leaves() and not self._has_changed:
            return HUB_LIST_PAUSE_S
        return min(self._writers_interval_s, MAX_LIST_PAUSE_S)

    def alive(self) -> list[Member]:
        """Return the processes that were alive at the last listing.

        Ages count from that listing and not from now: a VM that the store
        refuses sees no heartbeats. It would otherwise take itself for the
        only process and use the fleet's whole retry budget.
        """
        oldest_s = (
            self._listed_at_s - MISSED_HEARTBEATS * self.heartbeat_interval_s
        )
        return [
            m for m in self._members.values() if m.changed_at_s >= oldest_s
        ]

    def alive_vms(self) -> dict[str, Record | leaf_records.LeafRecord]:
        """Return a record of each live VM, of hubs, leaves and others."""
        leaves = self.leaves.linked()
        members = self.alive()
        for member in members:
            leaves += [leaf for leaf in member.record.leaves if leaf.linked]
        found: dict[str, Record | leaf_records.LeafRecord] = {
            leaf.vm: leaf for leaf in leaves
        }
        found.update((m.record.vm, m.record) for m in members)
        return found

    def count(self) -> int:
        """Return the number of live VMs, assumed before any listing."""
        if not self._members:
            return ASSUMED_MEMBERS
        return max(1, len(self.alive_vms()))

    def lease_candidates(
        self,
        min_age_s: float,
        vms: typing.Collection[str] | None = None,
    ) -> tuple[str, ...]:
        """Return the names of processes that may take a lease at once.

        These have run for min_age_s; a younger one has not watched the
        lease for long enough to know that it lapsed, and the others would
        wait for it in vain. If all are younger, all are returned. With vms,
        only processes on these VMs are.
        """
        alive = [m for m in self.alive() if vms is None or m.record.vm in vms]
        mature = [
            m
            for m in alive
            if m.record.beat * self.heartbeat_interval_s >= min_age_s
        ]
        names = sorted(member.name for member in mature or alive)
        return tuple(names) or (self._name,)

    async def run(self, role: Role = IN_MESH) -> None:
        """Write heartbeats and list the processes, until cancelled.

        A process that has a hub's feed does neither. The first heartbeat
        precedes the first listing, so that processes which start together
        see each other.
        """
        last_write_s = last_list_s = -math.inf
        linked_s = self._clock()
        while True:
            now_s = self._clock()
            if role.has_hub_feed():
                linked_s = now_s
                await trio.sleep(FEED_CHECK_S)
                continue
            may_write = role.is_hub() or now_s - linked_s > UNLINKED_S
            if not may_write and role.remembers_hubs():
                # It will soon have a hub: a listing of all VMs by each leaf
                # of a lost hub would be in vain.
                await trio.sleep(FEED_CHECK_S)
                continue
            if may_write and now_s - last_write_s > (
                self.heartbeat_interval_s - MIN_PAUSE_S
            ):
                last_write_s = now_s
                await self.write_heartbeat()
            if now_s - last_list_s > self._list_pause_s - MIN_PAUSE_S:
                last_list_s = now_s
                await self.refresh()
            next_s = min(
                last_write_s + self.heartbeat_interval_s,
                last_list_s + self._list_pause_s,
            )
            await trio.sleep(max(MIN_PAUSE_S, next_s - self._clock()))

    async def write_heartbeat(self) -> bool:
        """Write this process's object; return whether that succeeded."""
        self._record.beat += 1
        self._record.windows = {
            str(window): counts
            for window, counts in self._usage_counter.windows().items()
        }
        self._record.costs = self._costs.export()
        self._record.held_parts = self._held_parts.export()
        self._record.leaves = self.leaves.export()
        try:
            await self._write()
            return True
        except errors.StoreConflictError as error:
            # An earlier write took effect although its answer was lost, as
            # no other process writes this object.
            self._version = error.current_version
        except errors.StoreOutcomeUnknownError:
            await self._read_back()
        except errors.StoreError as error:
            loguru.logger.bind(event=events.BEAT_FAILED).debug('{}', error)
        return False

    async def _write(self) -> None:
        """Write this process's object; raise StoreError."""
        value = msgspec.to_builtins(self._record)
        if self._version and eras.era_of(self._version) < self._store.era:
            # The copy has an earlier version of it, or none.
            item = await self._store.get(KIND, self._name, purpose=PURPOSE)
            self._version = item.version
        self._version = await self._store.put(
            KIND, self._name, value, self._version, purpose=PURPOSE
        )

    async def _read_back(self) -> None:
        try:
            item = await self._store.get(KIND, self._name, purpose=PURPOSE)
        except errors.StoreError as error:
            loguru.logger.bind(event=events.BEAT_FAILED).debug('{}', error)
            return
        self._version = item.version

    async def records(self) -> list[Record]:
        """Return all records in the store; raise StoreError."""
        return [member.record for member in await self._list()]

    async def usage(self) -> list[usage_counter.Windows]:
        """Return the counts of each process in the store; raise StoreError."""
        sources = []
        for member in await self._list():
            sources.append((member.name, usage_windows(member.record)))
            sources += [
                (leaf.name, usage_windows(leaf))
                for leaf in member.record.leaves
            ]
        return list(usage_counter.merge(sources).values())

    async def _list(self) -> list[Member]:
        listing = await self._store.list(KIND, purpose=PURPOSE)
        now_s = self._clock()
        members = []
        for item in listing.objects:
            record = decode(item.value)
            if record is None:
                continue
            previous = self._members.get(item.name)
            changed_at_s = now_s
            if previous is not None and previous.record.beat >= record.beat:
                # No heartbeat since; an earlier one is that of a copy.
                record = previous.record
                changed_at_s = previous.changed_at_s
            members.append(
                Member(item.name, record, item.version, changed_at_s)
            )
        return members + self._missing_in_copy(listing)

    def _missing_in_copy(self, listing: stores.Listing) -> list[Member]:
        """Return the processes that the first listing of an era lacks.

        Those that are alive write themselves again.
        """
        era = eras.era_of(listing.revision)
        if self._listed_era is not None and era <= self._listed_era:
            return []
        listed = {item.name for item in listing.objects}
        return [
            member
            for member in self._members.values()
            if member.name not in listed
        ]

    async def refresh(self) -> None:
        """List the processes; keep the last listing if that fails."""
        try:
            members = await self._list()
        except errors.StoreError as error:
            loguru.logger.bind(event=events.LOOK_FAILED).debug('{}', error)
            return
        gone = set(self._members) - {member.name for member in members}
        new = {member.name for member in members} - set(self._members)
        self._has_changed = bool(gone or new)
        if self._has_changed:
            loguru.logger.bind(
                event=events.MEMBERS, new=sorted(new), gone=sorted(gone)
            ).info('{} processes are listed', len(members))
        if not self._members:
            self._adopt([m for m in members if m.name != self._name])
        self._members = {member.name: member for member in members}
        self._listed_at_s = self._clock()
        self._listed_era = self._store.era

    def _adopt(self, others: list[Member]) -> None:
        """Adopt what others know, in a process that has just started."""
        self._costs.seed(c for m in others for c in m.record.costs)
        for other in others:
            self._held_parts.seed(other.record.held_parts, other.name)

    async def delete_expired(self) -> None:
        """Delete expired objects of processes; raise StoreError."""
        oldest_s = self._clock() - RECORD_RETENTION_S
        for member in list(self._members.values()):
            if member.changed_at_s < oldest_s:
                await self._store.delete(
                    KIND, member.name, member.version, purpose=PURPOSE
                )
