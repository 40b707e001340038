"""Check whether a replica has ended whose connection broke.

A replica may break an answer off and live on; then nothing is to be
concluded of the request. Requests that lost the same replica share a check.
"""

import collections
import collections.abc

import trio

from gentianstair import errors
from gentianstair.core import upstream_limits
from gentianstair.gateway import calls
from gentianstair.gateway import replicas
from gentianstair.platform import denials
from gentianstair.platform import http_codec
from gentianstair.util import clock as clocks

# How long a report is waited for; longer than for a connection.
REPORT_LIMIT_S = 1.0
# A replica that lives is asked again when a connection breaks later.
KEPT_S = 1.0
MAX_CHECKS = 1000

RecordStart = collections.abc.Callable[
    [replicas.Replica, upstream_limits.UpstreamRun], None
]
FetchReport = collections.abc.Callable[
    [replicas.Replica, float], collections.abc.Awaitable[calls.Report]
]


class _Check:
    """A check of one start of a replica, and its result."""

    def __init__(self, began_s: float) -> None:
        self.began_s = began_s
        self.done = trio.Event()
        self.has_ended = False


class EndChecks:
    """The checks that this VM makes, or made lately."""

    def __init__(
        self,
        fetch_report: FetchReport,
        record_start: RecordStart,
        clock: clocks.Clock,
    ) -> None:
        self._fetch_report = fetch_report
        # Told of each start that a replica itself names.
        self._record_start = record_start
        self._clock = clock
        self._checks: collections.OrderedDict[
            upstream_limits.UpstreamRun, _Check
        ] = collections.OrderedDict()

    async def has_ended(
        self, replica: replicas.Replica, run: upstream_limits.UpstreamRun
    ) -> bool:
        """Return whether a start has ended, after a connection to it broke."""
        check = self._checks.get(run)
        if check is not None and self._is_current(check):
            await check.done.wait()
            return check.has_ended
        check = self._checks[run] = _Check(self._clock())
        if len(self._checks) > MAX_CHECKS:
            self._checks.popitem(last=False)
        try:
            check.has_ended = await self._ask(replica, run)
        finally:
            check.done.set()
        return check.has_ended

    def _is_current(self, check: _Check) -> bool:
        return check.has_ended or self._clock() - check.began_s < KEPT_S

    async def _ask(
        self, replica: replicas.Replica, run: upstream_limits.UpstreamRun
    ) -> bool:
        try:
            report = await self._fetch_report(replica, REPORT_LIMIT_S)
            if report.status == denials.HTTP_MISDIRECTED:
                return True
            started_ms = http_codec.decode_report(report.status, report.body)
        except errors.NoLongerSendableError:
            # It was not asked, as it wants a pause.
            return False
        except errors.InvalidResponseError:
            # Somebody answers, and nothing tells that the replica has ended.
            return False
        except errors.UpstreamError:
            # Nobody listens, or the next connection broke, too.
            return True
        except errors.DecodeError:
            return False
        if not started_ms:
            return False
        told = upstream_limits.UpstreamRun(replica.name, started_ms)
        self._record_start(replica, told)
        return told != run
