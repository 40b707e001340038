"""Keep the registered replicas of each service."""

import collections
import enum
import typing

import loguru
import trio

from gentianstair.core import draining_upstreams
from gentianstair.core import upstream_limits
from gentianstair.gateway import known_starts
from gentianstair.gateway import version_history
from gentianstair.generated import events
from gentianstair.util import change_log
from gentianstair.util import clock as clocks

# How long entries that lapsed in an outage of the store are kept after it. A
# replica that is alive registers again within about two seconds.
REREGISTER_S = 2.3
# Limit of cache event calls until the configuration sets one.
DEFAULT_CACHE_CALLS = 12
# Bound of the change log for VMs that learn of replicas from this one.
MAX_LOGGED_CHANGES = 20000
# Earlier starts that are remembered of one replica.
MAX_STARTS = 8


# How long an entry of a start that had ended is not believed after the store
# came back from a copy; without heartbeats it has lapsed by then.
COPIED_S = 5.0
# Ended starts that are remembered, the latest ones.
MAX_ENDED = 1000


class Listed(enum.Enum):
    """What may be missing from a listing, or out of date in it."""

    ALL = 'all'
    # Entries may have lapsed while the store was down.
    AFTER_OUTAGE = 'after an outage'
    # Entries may be those of seconds ago.
    FROM_COPY = 'from a copy'


class Replica(typing.NamedTuple):
    """One run of a replica, as registered in the store."""

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    # 'prefill' or 'decode' for model replicas, empty for others.
    stage: str
    # Unix time of its start. A replica that restarts under its name has an
    # empty cache.
    started_ms: int
    # Orders accepted since its start.
    accepted_orders: int
    reclaimable: bool
    models: tuple[str, ...]
    # The version of its software, empty if it is not known. Versions have no
    # order.
    version: str = ''

    @property
    def run(self) -> upstream_limits.UpstreamRun:
        """Return the start that a limit of this replica belongs to."""
        return upstream_limits.UpstreamRun(self.name, self.started_ms)


class Registry:
    """The current replicas, by service and by name."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._replicas: dict[str, Replica] = {}
        # Replicas whose entry lapsed in an outage of the store, with the time
        # until which they are kept.
        self._lapsed_until_s: dict[str, float] = {}
        # Starts whose entries were removed.
        self._ended: collections.OrderedDict[
            upstream_limits.UpstreamRun, None
        ] = collections.OrderedDict()
        # Entries of such starts in a copy, and until when they are not
        # believed unless they are written again.
        self._copied: dict[str, tuple[Replica, float]] = {}
        self._names_by_address: dict[str, str] = {}
        self._usable: dict[str, list[Replica]] = {}
        self._by_service: dict[str, list[Replica]] = {}
        # New, changed and removed (None) replicas, for other VMs.
        self.changes: change_log.ChangeLog[str, Replica | None] = (
            change_log.ChangeLog(MAX_LOGGED_CHANGES)
        )
        # When each draining replica was first seen to drain.
        self._draining_since_s: dict[str, float] = {}
        # Cache event calls that may wait at a replica at the same time.
        self.max_cache_calls = DEFAULT_CACHE_CALLS
        # The last starts of replicas that started again under their names.
        self._starts_ms: dict[str, list[int]] = {}
        # All starts that were heard of, from entries and otherwise.
        self.starts = known_starts.KnownStarts()
        # The software versions that serve, and those that did lately.
        self.versions = version_history.VersionHistory(clock)
        # The starts that are known to drain, whoever said so.
        self.draining = draining_upstreams.DrainingUpstreams(clock)
        # Set after the first complete listing.
        self.loaded = trio.Event()

    def record_draining(
        self,
        run: upstream_limits.UpstreamRun,
        source: str,
        age_s: float = 0.0,
        to_hubs: bool = True,
    ) -> None:
        """Record that a start drains, whatever its entry says.

        It was known age_s ago; source is who said so.
        """
        if not self.draining.record(run, source, age_s, to_hubs):
            return
        known = self._replicas.get(run.name)
        if known is not None and known.run == run and not known.draining:
            replica = self._replicas[run.name] = known._replace(draining=True)
            self.changes.put(run.name, replica)
            self._index()

    def apply_draining_rows(
        self,
        rows: typing.Iterable[list[typing.Any]],
        source: str,
        to_hubs: bool = False,
    ) -> None:
        """Take what a peer tells of starts that drain; raise DecodeError."""
        for told in draining_upstreams.decode_rows(rows):
            self.record_draining(told.run, source, told.age_s, to_hubs)

    def _as_known(self, replica: Replica) -> Replica:
        """Return a replica as its entry and all others tell of it.

        A start that once drained does so, whatever an entry says later.
        """
        if replica.draining:
            self.draining.record(replica.run, 'entry', to_hubs=False)
            return replica
        if self.draining.since_s(replica.run) is None:
            return replica
        return replica._replace(draining=True)

    def get(self, name: str) -> Replica | None:
        """Return a replica by its name."""
        return self._replicas.get(name)

    def name_at(self, address: str) -> str | None:
        """Return the name of the replica at an address, or None."""
        return self._names_by_address.get(address)

    def all(self) -> list[Replica]:
        """Return all replicas, draining ones among them."""
        return list(self._replicas.values())

    def registered(self) -> list[Replica]:
        """Return the replicas whose entries have not lapsed."""
        return [
            replica
            for name, replica in self._replicas.items()
            if name not in self._lapsed_until_s
        ]

    def of_service(self, service: str) -> list[Replica]:
        """Return all replicas of a service, draining ones among them."""
        return self._by_service.get(service, [])

    def starts_ms(self, name: str) -> list[int]:
        """Return the starts of a replica that this VM has seen lately."""
        current = self._replicas.get(name)
        earlier = self._starts_ms.get(name, [])
        return earlier + ([current.started_ms] if current else [])

    def record_process(
        self, replica: Replica, run: upstream_limits.UpstreamRun
    ) -> None:
        """Record the start that the process of a replica tells itself."""
        is_new = self.starts.record_process(run, replica.service)
        self.record_served(replica.service, run)
        if not is_new:
            return
        loguru.logger.bind(
            event=events.START_UNLISTED,
            replica=run.name,
            started_ms=run.started_ms,
            listed_ms=replica.started_ms,
        ).info('a replica has started again, which no entry has told')

    def record_heard(
        self, service: str, run: upstream_limits.UpstreamRun
    ) -> None:
        """Record a start that another VM tells of."""
        self.starts.record_heard(run, service)
        self.record_served(service, run)

    def newest_run(self, replica: Replica) -> upstream_limits.UpstreamRun:
        """Return the newest start of a replica that was heard of."""
        return self.starts.newest(replica.name) or replica.run

    def record_served(
        self, service: str, run: upstream_limits.UpstreamRun
    ) -> None:
        """Record that a start serves, at a version of its own till told."""
        if self.starts.version_of(run) is None:
            self.versions.record_untold(service, run)

    def _record_start(self, known: Replica | None, replica: Replica) -> None:
        self.starts.record_entry(replica.run, replica.service, replica.version)
        self.versions.record_told(replica.service, replica.run)
        if known is None or known.started_ms == replica.started_ms:
            return
        starts_ms = [*self._starts_ms.get(known.name, []), known.started_ms]
        self._starts_ms[known.name] = starts_ms[-MAX_STARTS:]

    def copy_sources(self, service: str, max_drain_s: float) -> list[Replica]:
        """Return the replicas of a service whose cache can be copied.

        Draining replicas are among them for max_drain_s, while they are sure
        to answer: their cache is lost when they stop.
        """
        found = self.of_service(service)
        if not self._draining_since_s:
            return found
        oldest_s = self._clock() - max_drain_s
        return [
            replica
            for replica in found
            if self._draining_since_s.get(replica.name, oldest_s + 1)
            > oldest_s
        ]

    def usable(self, service: str) -> list[Replica]:
        """Return the replicas of a service that may take new work."""
        self._remove_lapsed()
        return self._usable.get(service, [])

    def replace(
        self,
        replicas: typing.Iterable[Replica],
        listed: Listed = Listed.ALL,
    ) -> None:
        """Replace all replicas by a complete listing.

        After an outage of the store an unlisted entry may have lapsed while
        its replica is alive, so it is kept for REREGISTER_S. The same holds
        for a store that came back from a copy, in which what is older than
        what is known is no news either.
        """
        found = {replica.name: self._as_known(replica) for replica in replicas}
        if listed is Listed.FROM_COPY:
            found = self._newer_than_copy(found)
        self._drop_copied(found)
        for name in found:
            self._lapsed_until_s.pop(name, None)
        after_outage = listed is not Listed.ALL
        self._keep_awaited(found, after_outage)
        for name, replica in found.items():
            self._record_start(self._replicas.get(name), replica)
            if not _is_unchanged(self._replicas.get(name), replica):
                self.changes.put(name, replica)
        self._replicas = found
        if after_outage:
            self.versions.begin()
        elif not self.loaded.is_set():
            self.versions.begin_at_start()
        self.loaded.set()
        self._index()

    def _keep_awaited(
        self, found: dict[str, Replica], after_outage: bool
    ) -> None:
        """Add the replicas whose entries may yet be back; drop the others."""
        until_s = self._clock() + REREGISTER_S
        for name, replica in self._replicas.items():
            if name in found:
                continue
            is_awaited = after_outage or name in self._lapsed_until_s
            if is_awaited and not replica.draining:
                found[name] = replica
                self._lapsed_until_s.setdefault(name, until_s)
            else:
                self.changes.put(name, None)
                self._record_ended(replica)
                _log_removed(replica, 'not listed')
        for name in list(self._lapsed_until_s):
            if name not in found:
                del self._lapsed_until_s[name]

    def _newer_than_copy(
        self, found: dict[str, Replica]
    ) -> dict[str, Replica]:
        """Return the replicas of a copy, the known ones if they are newer."""
        until_s = self._clock() + COPIED_S
        newer = {}
        for name, replica in found.items():
            known = self._replicas.get(name)
            if known is not None and _is_older(replica, known):
                newer[name] = known
                continue
            newer[name] = replica
            if known is None and replica.run in self._ended:
                self._copied[name] = (replica, until_s)
        return newer

    def _drop_copied(self, found: dict[str, Replica]) -> None:
        """Leave out what is not believed yet, and forget what is gone."""
        now_s = self._clock()
        for name, (replica, until_s) in list(self._copied.items()):
            listed = found.get(name)
            is_same = listed is not None and listed.run == replica.run
            if is_same and now_s < until_s:
                del found[name]
            else:
                del self._copied[name]

    def _record_ended(self, replica: Replica) -> None:
        self._ended[replica.run] = None
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)

    def put(self, replica: Replica) -> None:
        """Add or update a replica."""
        self._copied.pop(replica.name, None)
        self._ended.pop(replica.run, None)
        known = self._replicas.get(replica.name)
        replica = self._as_known(replica)
        self._lapsed_until_s.pop(replica.name, None)
        self._record_start(known, replica)
        self._replicas[replica.name] = replica
        if not _is_unchanged(known, replica):
            self.changes.put(replica.name, replica)
            loguru.logger.bind(
                event=events.REPLICA, **_log_fields(replica)
            ).info(
                'replica {} is {}',
                replica.name,
                'draining' if replica.draining else 'ready',
            )
            self._index()

    def remove(self, name: str) -> None:
        """Remove a replica whose entry was removed."""
        self._lapsed_until_s.pop(name, None)
        self._copied.pop(name, None)
        replica = self._replicas.pop(name, None)
        if replica is not None:
            self.changes.put(name, None)
            self._record_ended(replica)
            _log_removed(replica, 'entry removed')
            self._index()

    def _believe_copied(self) -> None:
        """Take entries of a copy that have been there for long enough."""
        now_s = self._clock()
        for replica, until_s in list(self._copied.values()):
            if now_s >= until_s:
                self.put(replica)

    def _remove_lapsed(self) -> None:
        if self._copied:
            self._believe_copied()
        if not self._lapsed_until_s:
            return
        now_s = self._clock()
        expired = [
            name
            for name, at_s in self._lapsed_until_s.items()
            if now_s >= at_s
        ]
        for name in expired:
            self.remove(name)

    def _index(self) -> None:
        now_s = self._clock()
        self._draining_since_s = {
            name: min(
                self._draining_since_s.get(name, now_s),
                self.draining.since_s(replica.run) or now_s,
            )
            for name, replica in self._replicas.items()
            if replica.draining
        }
        self._names_by_address = {
            replica.address: name for name, replica in self._replicas.items()
        }
        by_service: dict[str, list[Replica]] = {}
        usable: dict[str, list[Replica]] = {}
        for replica in sorted(self._replicas.values(), key=_name_of):
            by_service.setdefault(replica.service, []).append(replica)
            if not replica.draining:
                usable.setdefault(replica.service, []).append(replica)
        self._by_service, self._usable = by_service, usable
        for name in self._starts_ms.keys() - self._replicas.keys():
            del self._starts_ms[name]
        self.versions.record(
            {
                service: frozenset(replica.version for replica in found)
                for service, found in by_service.items()
            }
        )


def _name_of(replica: Replica) -> str:
    return replica.name


def _is_older(replica: Replica, known: Replica) -> bool:
    """Return whether an entry was written before the one that is known."""
    return (replica.started_ms, replica.accepted_orders) < (
        known.started_ms,
        known.accepted_orders,
    )


def _is_unchanged(known: Replica | None, replica: Replica) -> bool:
    """Return whether an entry differs at most in accepted_orders."""
    if known is None:
        return False
    return known._replace(accepted_orders=0) == replica._replace(
        accepted_orders=0
    )


def _log_fields(replica: Replica) -> dict[str, typing.Any]:
    return {
        'replica': replica.name,
        'service': replica.service,
        'address': replica.address,
        'stage': replica.stage,
        'draining': replica.draining,
        'version': replica.version,
        'started_ms': replica.started_ms,
    }


def _log_removed(replica: Replica, why: str) -> None:
    loguru.logger.bind(event=events.REPLICA_GONE, **_log_fields(replica)).info(
        'replica {} is gone: {}', replica.name, why
    )
