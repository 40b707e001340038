"""Find out which start of a replica is at the other end of a connection.

A connection belongs to one process for its life, and an address to one
process at a time. So if a process was heard of before a connection was
opened, and is asked and tells its start after an answer came on that, the
answer is its own.
"""

import collections
import collections.abc
import functools
import math
import weakref

import loguru
import trio

from gentianstair import errors
from gentianstair.core import upstream_limits
from gentianstair.gateway import calls
from gentianstair.gateway import end_proofs
from gentianstair.gateway import known_starts
from gentianstair.gateway import replicas
from gentianstair.generated import events
from gentianstair.platform import http_codec
from gentianstair.upstreams import transport
from gentianstair.util import moments
from gentianstair.util import tasks

# How long a report is waited for.
REPORT_LIMIT_S = 1.0
# Between two questions.
PAUSE_S = 0.1
MAX_ADDRESSES = 20000

Run = upstream_limits.UpstreamRun
RecordStart = collections.abc.Callable[[replicas.Replica, Run], None]


class _Report:
    """A question for a replica's start, and its answer."""

    def __init__(self) -> None:
        # The moment at which it is sent.
        self.asked_at = math.inf
        self.done = trio.Event()
        # None without an answer.
        self.run: Run | None = None


class _Reports:
    """The questions to one address, one under way at a time."""

    def __init__(self) -> None:
        self.latest: _Report | None = None
        # Sent once the latest has ended.
        self.next: _Report | None = None
        self.is_asking = False

    def after(self, moment: int) -> _Report | None:
        """Return a question that is sent after a moment, if there is one."""
        latest = self.latest
        if latest is None or (latest.done.is_set() and latest.run is None):
            return self.next
        return latest if latest.asked_at > moment else self.next


class ProcessStarts:
    """The starts of replicas that this VM's connections lead to."""

    def __init__(
        self,
        fetch_report: end_proofs.FetchReport,
        record_start: RecordStart,
        known: known_starts.KnownStarts,
        runner: tasks.Tasks,
    ) -> None:
        self._fetch_report = fetch_report
        # Told of each start that a replica itself names.
        self._record_start = record_start
        self._known = known
        self._runner = runner
        self._found: weakref.WeakKeyDictionary[trio.abc.Stream, Run] = (
            weakref.WeakKeyDictionary()
        )
        # By address and name; those asked last come last.
        self._reports: collections.OrderedDict[tuple[str, str], _Reports] = (
            collections.OrderedDict()
        )

    def accepts(
        self, replica: replicas.Replica, connection: transport.Connection
    ) -> bool:
        """Return whether a kept connection may be of the newest start."""
        newest = self._known.newest(replica.name)
        found = self._found.get(connection.stream)
        if found is not None:
            return found == newest
        return newest is not None and self._was_heard(newest, connection)

    def _was_heard(self, run: Run, connection: transport.Connection) -> bool:
        """Return whether a start was heard of before a connection."""
        start, opened_at = self._known.get(run), connection.opened_at
        if start is None or opened_at is None:
            return False
        return start.heard_at < opened_at

    def question(self, replica: replicas.Replica) -> transport.Question:
        """Return what to ask on a new connection to a replica first."""
        return transport.Question(
            http_codec.report_request(replica.address, replica.name, None),
            lambda: None,
            functools.partial(self._record_answer, replica),
        )

    def _record_answer(
        self,
        replica: replicas.Replica,
        connection: transport.Connection,
        status: int,
        body: bytes,
    ) -> None:
        try:
            run = _run_in(replica, calls.Report(status, body))
        except errors.DecodeError as error:
            _log_untold(replica, error)
            return
        self._found[connection.stream] = run
        self._record_start(replica, run)

    def ask(
        self,
        replica: replicas.Replica,
        connection: transport.Connection,
        answered_at: int,
    ) -> None:
        """Begin to find out whose a connection is, unless it is known.

        An answer came on it at the moment answered_at.
        """
        if connection.stream not in self._found:
            self._report_after(replica, answered_at)

    async def find(
        self,
        replica: replicas.Replica,
        connection: transport.Connection,
        answered_at: int,
        limit_s: float,
    ) -> Run | None:
        """Return the start whose answer came on a connection.

        None if it can't be told, or not within limit_s.
        """
        found = self._found.get(connection.stream)
        if found is not None:
            return found
        run = None
        with trio.move_on_after(limit_s):
            run = await self._told_after(replica, answered_at)
        if run is None or not self._was_heard(run, connection):
            # It may have started after the connection was opened.
            return None
        self._found[connection.stream] = run
        return run

    async def _told_after(self, replica: replicas.Replica, moment: int) -> Run:
        """Return the start that a replica tells; ask until it does."""
        while True:
            report = self._report_after(replica, moment)
            await report.done.wait()
            if report.run is not None:
                return report.run
            await trio.sleep(PAUSE_S)

    def _report_after(self, replica: replicas.Replica, moment: int) -> _Report:
        """Return a question that is sent after a moment."""
        key = (replica.address, replica.name)
        reports = self._reports.setdefault(key, _Reports())
        self._reports.move_to_end(key)
        report = reports.after(moment)
        if report is None:
            report = reports.next = _Report()
        if reports.next is not None and not reports.is_asking:
            reports.is_asking = True
            self._runner.start_soon('ask-start', self._ask, replica, reports)
        if len(self._reports) > MAX_ADDRESSES:
            self._reports.popitem(last=False)
        return report

    async def _ask(self, replica: replicas.Replica, reports: _Reports) -> None:
        """Send the questions that wait, one after the other."""
        try:
            while reports.next is not None:
                report, reports.next = reports.next, None
                reports.latest = report
                report.asked_at = moments.next_moment()
                try:
                    await self._ask_once(replica, report)
                finally:
                    report.done.set()
        finally:
            reports.is_asking = False

    async def _ask_once(
        self, replica: replicas.Replica, report: _Report
    ) -> None:
        try:
            told = await self._fetch(replica)
            report.run = _run_in(replica, told)
        except (errors.UpstreamError, errors.DecodeError) as error:
            _log_untold(replica, error)
            return
        self._record_start(replica, report.run)
        if told.stream is not None:
            self._found[told.stream] = report.run

    async def _fetch(self, replica: replicas.Replica) -> calls.Report:
        """Ask on a kept connection, or on a new one if that breaks."""
        try:
            return await self._fetch_report(
                replica, REPORT_LIMIT_S, fresh=False
            )
        except errors.ConnectionBrokenError:
            return await self._fetch_report(
                replica, REPORT_LIMIT_S, fresh=True
            )


def _run_in(replica: replicas.Replica, report: calls.Report) -> Run:
    """Return the start that a report names; raise DecodeError."""
    started_ms = http_codec.decode_report(report.status, report.body)
    if not started_ms:
        raise errors.DecodeError('the report names no start')
    return Run(replica.name, started_ms)


def _log_untold(replica: replicas.Replica, error: Exception) -> None:
    loguru.logger.bind(
        event=events.START_UNTOLD,
        replica=replica.name,
        started_ms=replica.started_ms,
    ).info('a replica did not tell its start: {}', error)


__all__ = ['ProcessStarts']
