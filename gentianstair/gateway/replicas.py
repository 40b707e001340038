"""Know the replicas of each service, and which of them may take work."""

import typing

import loguru
import trio

from gentianstair.gateway import change_log
from gentianstair.generated import events
from gentianstair.util import clock as clocks

# An entry that went missing while the store was away comes back within
# about two seconds of the store's return if its replica lives; the rest is
# for the answer that shows it.
REREGISTER_S = 2.3
# Assumed until a configuration says it.
DEFAULT_CACHE_CALLS = 12
# Names whose last change is kept for VMs that learn of replicas from here.
MAX_LOGGED_CHANGES = 20000


class Replica(typing.NamedTuple):
    """One start of one replica, as its entry in the store says."""

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    # 'prefill' or 'decode' for model replicas, empty for others.
    stage: str
    # Unix milliseconds of its start; a replica may start again under its
    # name and then knows nothing of before.
    started_ms: int
    # Orders it has accepted since its start.
    accepted_orders: int
    reclaimable: bool
    models: tuple[str, ...]


class Registry:
    """The replicas in force, by service and by name."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._replicas: dict[str, Replica] = {}
        # Those whose entry went missing while the store was away, with the
        # time until which they are held to be alive.
        self._missing: dict[str, float] = {}
        self._by_service: dict[str, list[Replica]] = {}
        # New, changed and gone (None) replicas, for VMs that learn from here.
        self.changes: change_log.ChangeLog[str, Replica | None] = (
            change_log.ChangeLog(MAX_LOGGED_CHANGES)
        )
        # When a replica was first seen to be draining.
        self._draining_s: dict[str, float] = {}
        # Calls for changes of its cache that a replica keeps waiting.
        self.max_cache_calls = DEFAULT_CACHE_CALLS
        # Set once a whole listing has been taken.
        self.loaded = trio.Event()

    def get(self, name: str) -> Replica | None:
        """Return a replica by its name."""
        return self._replicas.get(name)

    def all(self) -> list[Replica]:
        """Return all replicas, also those that leave."""
        return list(self._replicas.values())

    def of_service(self, service: str) -> list[Replica]:
        """Return all replicas of a service, also those that leave."""
        return [r for r in self._replicas.values() if r.service == service]

    def copy_sources(self, service: str, leaving_s: float) -> list[Replica]:
        """Return the replicas of a service whose memory is there for sure.

        What a leaving one keeps goes with it, so it is wanted most, but
        only for leaving_s, while it is sure to serve.
        """
        oldest_s = self._clock() - leaving_s
        return [
            replica
            for replica in self.of_service(service)
            if self._draining_s.get(replica.name, oldest_s + 1) > oldest_s
        ]

    def usable(self, service: str) -> list[Replica]:
        """Return the replicas of a service that may take new work."""
        self._forget_missing()
        return self._by_service.get(service, [])

    def replace(
        self, replicas: typing.Iterable[Replica], after_outage: bool
    ) -> None:
        """Take a whole listing in place of what is known.

        After an outage of the store an entry that is not listed may have
        lapsed though its replica lives, so it is kept for REREGISTER_S.
        """
        found = {replica.name: replica for replica in replicas}
        until_s = self._clock() + REREGISTER_S
        for name, replica in self._replicas.items():
            if name in found:
                continue
            if after_outage and not replica.draining:
                found[name] = replica
                self._missing.setdefault(name, until_s)
            else:
                self.changes.put(name, None)
                _log_gone(replica, 'not listed')
        for name in list(self._missing):
            if name not in self._replicas or name not in found:
                del self._missing[name]
        for name, replica in found.items():
            if not _same(self._replicas.get(name), replica):
                self.changes.put(name, replica)
        self._replicas = found
        self.loaded.set()
        self._index()

    def put(self, replica: Replica) -> None:
        """Take a new or changed entry."""
        known = self._replicas.get(replica.name)
        self._missing.pop(replica.name, None)
        self._replicas[replica.name] = replica
        if not _same(known, replica):
            self.changes.put(replica.name, replica)
            loguru.logger.bind(event=events.REPLICA, **_told(replica)).info(
                'replica {} is {}',
                replica.name,
                'draining' if replica.draining else 'ready',
            )
            self._index()

    def remove(self, name: str) -> None:
        """Drop a replica whose entry was removed."""
        self._missing.pop(name, None)
        replica = self._replicas.pop(name, None)
        if replica is not None:
            self.changes.put(name, None)
            _log_gone(replica, 'entry removed')
            self._index()

    def confirm_listed(self, names: typing.Iterable[str]) -> None:
        """Note that these are listed after all."""
        for name in names:
            self._missing.pop(name, None)

    def _forget_missing(self) -> None:
        if not self._missing:
            return
        now_s = self._clock()
        gone = [name for name, at_s in self._missing.items() if now_s >= at_s]
        for name in gone:
            self.remove(name)

    def _index(self) -> None:
        now_s = self._clock()
        self._draining_s = {
            name: self._draining_s.get(name, now_s)
            for name, replica in self._replicas.items()
            if replica.draining
        }
        by_service: dict[str, list[Replica]] = {}
        for replica in self._replicas.values():
            if not replica.draining:
                by_service.setdefault(replica.service, []).append(replica)
        for found in by_service.values():
            found.sort(key=lambda replica: replica.name)
        self._by_service = by_service


def _same(known: Replica | None, replica: Replica) -> bool:
    """Return whether an entry is as known but for its count of orders."""
    if known is None:
        return False
    return known._replace(accepted_orders=0) == replica._replace(
        accepted_orders=0
    )


def _told(replica: Replica) -> dict[str, typing.Any]:
    return {
        'replica': replica.name,
        'service': replica.service,
        'address': replica.address,
        'stage': replica.stage,
        'draining': replica.draining,
    }


def _log_gone(replica: Replica, why: str) -> None:
    loguru.logger.bind(event=events.REPLICA_GONE, **_told(replica)).info(
        'replica {} is gone: {}', replica.name, why
    )
