"""Remember the starts of replicas that this VM has heard of.

A start is one process, so it has one software version, which its entry tells.
A process may be heard of, by itself or by another VM, before its entry is.
"""

import collections
import typing

from gentianstair.core import upstream_limits
from gentianstair.util import moments

Run = upstream_limits.UpstreamRun

# Starts that are remembered; those not heard of for longest are dropped.
MAX_STARTS = 40000
# The version of a start whose entries differ.
UNCLEAR = ''


class Start(typing.NamedTuple):
    """What is known of one start of a replica."""

    service: str
    # Of its software, None while no entry has told it.
    version: str | None
    # The moment at which this VM heard of it first.
    heard_at: int


class Producer(typing.NamedTuple):
    """What is known of the process that sent a stream's events."""

    # None if its start is not known.
    run: Run | None
    # None if it follows from the start.
    version: str | None = None


# Nobody knows it, so nobody can go on in its place.
NOBODY = Producer(None)


class KnownStarts:
    """The starts of replicas, by name and the time of the start."""

    def __init__(self) -> None:
        # Those heard of last come last.
        self._starts: collections.OrderedDict[Run, Start] = (
            collections.OrderedDict()
        )
        self._newest: dict[str, Run] = {}

    def get(self, run: Run) -> Start | None:
        """Return what is known of a start, None if nothing is."""
        return self._starts.get(run)

    def version_of(self, run: Run) -> str | None:
        """Return a start's version, None while no entry has told it."""
        start = self._starts.get(run)
        return start and start.version

    def newest(self, name: str) -> Run | None:
        """Return the newest start of a replica that was heard of."""
        return self._newest.get(name)

    def version_by(self, producer: Producer) -> str | None:
        """Return a producer's version, None while nobody has told it."""
        if producer.version or producer.run is None:
            return producer.version
        return self.version_of(producer.run)

    def may_follow(self, run: Run, producer: Producer) -> bool:
        """Return whether a start may go on with a producer's stream."""
        if run == producer.run:
            return True
        version = self.version_by(producer)
        return bool(version) and version == self.version_of(run)

    def record_entry(self, run: Run, service: str, version: str) -> None:
        """Record the version that an entry gives a start, if it names one."""
        known = self._starts.get(run)
        found = known and known.version
        if version:
            found = version if found in (None, version) else UNCLEAR
        self._put(run, service, found)
        self._record_later(run, known is None)

    def record_process(self, run: Run, service: str) -> bool:
        """Record the start that a replica itself tells; say if it is new.

        It is the newest one, whatever the replica's clock has done.
        """
        is_new = self._record_told(run, service)
        self._newest[run.name] = run
        return is_new

    def record_heard(self, run: Run, service: str) -> bool:
        """Record a start that another VM tells of; say if it is new."""
        is_new = self._record_told(run, service)
        self._record_later(run, is_new)
        return is_new

    def _record_told(self, run: Run, service: str) -> bool:
        known = self._starts.get(run)
        self._put(run, service, known and known.version)
        return known is None

    def _record_later(self, run: Run, is_new: bool) -> None:
        """Take a new start for the newest if its replica's clock says so."""
        newest = self._newest.get(run.name)
        if newest is None or (is_new and newest.started_ms < run.started_ms):
            self._newest[run.name] = run

    def _put(self, run: Run, service: str, version: str | None) -> None:
        known = self._starts.pop(run, None)
        heard_at = known.heard_at if known else moments.next_moment()
        self._starts[run] = Start(service, version, heard_at)
        if len(self._starts) > MAX_STARTS:
            oldest, _ = self._starts.popitem(last=False)
            if self._newest.get(oldest.name) == oldest:
                del self._newest[oldest.name]


__all__ = ['KnownStarts', 'NOBODY', 'Producer', 'Start', 'UNCLEAR']
