"""Show this process to the others in the store, and see them there.

Each process writes one object: that it lives, where its peers find it, and
its usage counts. It stays for a while after the process is gone, so that
what the process counted is still reported.
"""

import math
import typing

import loguru
import msgspec
import trio

from gentianstair import errors
from gentianstair.gateway import read_costs
from gentianstair.gateway import usage
from gentianstair.generated import events
from gentianstair.store import store as stores
from gentianstair.util import clock as clocks

KIND = 'gateway-process'
PURPOSE = 'members'
# How often a process writes its object: what it counted since is lost when
# it is killed.
HEARTBEAT_S = 1.0
# Beats of the whole fleet a second. Each call to the store is priced, and in
# a large fleet each VM counts a small part of the usage.
MAX_HEARTBEATS_PER_S = 15.0
# Share of the store's write rate that all beats together may take.
MAX_HEARTBEAT_WRITE_SHARE = 0.25
MIN_PAUSE_S = 0.1
# The longest pause between two looks at the others' objects.
MAX_LIST_PAUSE_S = 2.0
# Beats missed after which a process counts as gone.
MISSED_HEARTBEATS = 3.0
# A process that was never seen again is forgotten after this long; its
# counts are reported by then.
RECORD_RETENTION_S = 60.0
# Assumed while nobody is known: too many rather than too few, as each takes
# an even part of what all may do.
ASSUMED_MEMBERS = 16


class Record(msgspec.Struct):
    """What a process writes of itself."""

    vm: str
    failure_domain: str
    # HOST:PORT of its links to peers.
    peer_address: str
    beat: int
    # Requests that began to run, by window and customer.
    windows: dict[str, dict[str, int]]
    # The VM's share of a core times the core's speed.
    cores: float = 0.0
    # What it learned of the cost of reads.
    costs: list[read_costs.Learned] = []


class Member(typing.NamedTuple):
    """A process as it was last seen."""

    name: str
    record: Record
    version: int
    changed_at_s: float


def usage_windows(record: Record) -> usage.Windows:
    """Return the usage counts in a record."""
    return {int(window): found for window, found in record.windows.items()}


def decode(value: typing.Any) -> Record | None:
    """Return the record in an object, or None if it can't be read."""
    try:
        return msgspec.convert(value, Record)
    except (msgspec.ValidationError, TypeError) as error:
        loguru.logger.bind(event=events.MEMBER_UNREADABLE).warning('{}', error)
        return None


class Members:
    """The processes that are there, and this one's own object."""

    def __init__(
        self,
        store: stores.Store,
        name: str,
        record: Record,
        counts: usage.Counts,
        clock: clocks.Clock,
        writes_per_s: float,
        costs: read_costs.ReadCosts | None = None,
    ) -> None:
        self._store = store
        self._name = name
        self._record = record
        self._counts = counts
        self._clock = clock
        self._writes_per_s = writes_per_s
        self._costs = costs or read_costs.ReadCosts()
        self._version = 0
        self._members: dict[str, Member] = {}
        # When the store last said who is there.
        self._listed_at_s = clock()

    @property
    def name(self) -> str:
        """Return this process's name, new at each start."""
        return self._name

    @property
    def heartbeat_s(self) -> float:
        """Return the pause between beats, longer in a large fleet."""
        found = len(self._members)
        most_per_s = min(
            MAX_HEARTBEATS_PER_S,
            MAX_HEARTBEAT_WRITE_SHARE * self._writes_per_s,
        )
        return max(HEARTBEAT_S, found / most_per_s)

    def alive(self) -> list[Member]:
        """Return the processes seen lately, this one among them.

        That is by the last look that the store answered. A VM that it turns
        away sees nobody beat; if it then believed to be alone it would take
        all that the fleet may repeat, as would each VM in its place.
        """
        oldest_s = self._listed_at_s - MISSED_HEARTBEATS * self.heartbeat_s
        return [
            m for m in self._members.values() if m.changed_at_s >= oldest_s
        ]

    def count(self) -> int:
        """Return how many there are, if that is known."""
        if not self._members:
            return ASSUMED_MEMBERS
        return max(1, len(self.alive()))

    def lease_candidates(
        self,
        min_age_s: float,
        vms: typing.Collection[str] | None = None,
    ) -> tuple[str, ...]:
        """Return who may take a lease at once: those that lived for min_age_s.

        One that has just started has not watched the lease for long enough
        to know that it lapsed. The others would wait for it in vain. When
        all have just started, all are returned. Where vms are named, only
        processes on these are.
        """
        alive = [m for m in self.alive() if vms is None or m.record.vm in vms]
        known = [
            m for m in alive if m.record.beat * self.heartbeat_s >= min_age_s
        ]
        names = sorted(member.name for member in known or alive)
        return tuple(names) or (self._name,)

    async def run(
        self, has_hub_feed: typing.Callable[[], bool] = lambda: False
    ) -> None:
        """Beat, and look at the others unless told of them, until cancelled.

        The first beat goes before the first look, so that processes which
        start together see each other.
        """
        last_heartbeat_s = -math.inf
        while True:
            started_s = self._clock()
            if started_s - last_heartbeat_s > self.heartbeat_s - MIN_PAUSE_S:
                last_heartbeat_s = started_s
                await self.write_heartbeat()
            if not has_hub_feed():
                await self._list_others()
            spent_s = self._clock() - started_s
            pause_s = min(self.heartbeat_s, MAX_LIST_PAUSE_S) - spent_s
            await trio.sleep(max(MIN_PAUSE_S, pause_s))

    async def write_heartbeat(self) -> bool:
        """Write this process's object; say whether it is there now."""
        self._record.beat += 1
        self._record.windows = {
            str(window): found
            for window, found in self._counts.windows().items()
        }
        self._record.costs = self._costs.told()
        try:
            self._version = await self._store.put(
                KIND,
                self._name,
                msgspec.to_builtins(self._record),
                self._version,
                purpose=PURPOSE,
            )
            return True
        except errors.StoreConflictError as error:
            # A write whose answer was lost took effect after all. Only this
            # process writes under its name.
            self._version = error.current_version
        except errors.StoreUnknownError:
            await self._read_back()
        except errors.StoreError as error:
            loguru.logger.bind(event=events.BEAT_FAILED).debug('{}', error)
        return False

    async def _read_back(self) -> None:
        try:
            item = await self._store.get(KIND, self._name, purpose=PURPOSE)
        except errors.StoreError as error:
            loguru.logger.bind(event=events.BEAT_FAILED).debug('{}', error)
            return
        self._version = item.version

    async def records(self) -> list[Record]:
        """Return all records as the store has them; raise StoreError."""
        return [member.record for member in await self._list()]

    async def _list(self) -> list[Member]:
        listing = await self._store.list(KIND, purpose=PURPOSE)
        now_s = self._clock()
        found = []
        for item in listing.objects:
            record = decode(item.value)
            if record is None:
                continue
            known = self._members.get(item.name)
            changed_at_s = now_s
            if known is not None and known.version == item.version:
                changed_at_s = known.changed_at_s
            found.append(Member(item.name, record, item.version, changed_at_s))
        return found

    async def _list_others(self) -> None:
        try:
            found = await self._list()
        except errors.StoreError as error:
            loguru.logger.bind(event=events.LOOK_FAILED).debug('{}', error)
            return
        gone = set(self._members) - {member.name for member in found}
        new = {member.name for member in found} - set(self._members)
        if gone or new:
            loguru.logger.bind(
                event=events.MEMBERS, new=sorted(new), gone=sorted(gone)
            ).info('{} processes are known', len(found))
        if not self._members:
            # A process that starts anew goes on with what others learned.
            others = [m for m in found if m.name != self._name]
            self._costs.take(c for m in others for c in m.record.costs)
        self._members = {member.name: member for member in found}
        self._listed_at_s = self._clock()

    async def delete_expired(self) -> None:
        """Delete objects of processes gone for long; raise StoreError."""
        oldest_s = self._clock() - RECORD_RETENTION_S
        for member in list(self._members.values()):
            if member.changed_at_s < oldest_s:
                await self._store.delete(
                    KIND, member.name, member.version, purpose=PURPOSE
                )
