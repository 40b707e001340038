"""Know the limits that upstreams name in their answers.

An upstream in need names the requests a second that it takes of all VMs
together, for as long as it does so. What one VM learns it tells the others,
with its age, and the newest knowledge counts.
"""

import math
import typing

import loguru
import prometheus_client

from gentianstair import errors
from gentianstair.generated import events
from gentianstair.util import change_log
from gentianstair.util import clock as clocks

# A higher rate is no limit that a replica could mean.
MAX_RATE_PER_S = 1e6
# Limits that are remembered; those that changed longest ago are dropped.
MAX_LIMITS = 20000
# Limits of upstreams that are not listed are kept for this long: a VM that
# has just started may hear of them before it knows the upstreams.
FORGET_S = 30.0
# How long what a peer reports may have been on its way.
MAX_TRANSIT_S = 0.5
# A row of a message in which no limit is named.
NO_LIMIT_ROW = -1.0

LIMITED = prometheus_client.Gauge(
    'gentianstair_limited_upstreams', 'Upstreams that name a limit now'
)
CHANGES = prometheus_client.Counter(
    'gentianstair_upstream_limit_changes',
    'What was learned of limits that upstreams name',
    ['what'],
)


class UpstreamRun(typing.NamedTuple):
    """One start of an upstream; a restarted one has named nothing yet."""

    name: str
    started_ms: int


class Answer(typing.NamedTuple):
    """What an answer says of its upstream's limit."""

    # None if it names no limit.
    rate_per_s: float | None
    # When the request was sent, and when the answer's headers came.
    sent_s: float
    received_s: float
    # Whether the upstream took the request. Only then does an answer that
    # names no limit mean that there is none.
    was_taken: bool = True


class _Known(typing.NamedTuple):
    # None if the limit has ended.
    rate_per_s: float | None
    # When this was so, at the latest for a limit, at the earliest for none:
    # a limit holds in doubt.
    at_s: float


_Log = change_log.ChangeLog[UpstreamRun, _Known]


def decode_rate(text: str) -> float:
    """Return the requests a second that an upstream names.

    Raise DecodeError for a value that limits nothing.

    >>> decode_rate('0.5')
    0.5
    >>> decode_rate('-1')
    Traceback (most recent call last):
    gentianstair.errors.DecodeError: no limit: '-1'
    """
    try:
        rate_per_s = float(text)
    except ValueError:
        rate_per_s = math.nan
    if not 0 <= rate_per_s <= MAX_RATE_PER_S:
        raise errors.DecodeError(f'no limit: {text!r}')
    return rate_per_s


def decode_limit(values: typing.Sequence[str]) -> float | None:
    """Return the limit in the values of a header, None without any.

    Raise DecodeError for one that limits nothing, or for several.
    """
    if len(values) > 1:
        raise errors.DecodeError(f'no limit: {list(values)}')
    return decode_rate(values[0]) if values else None


class UpstreamLimits:
    """The limits that upstreams name, as this VM knows them."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._known: dict[UpstreamRun, _Known] = {}
        # What has changed, for the leaves of this hub.
        self.log: _Log = change_log.ChangeLog(MAX_LIMITS)
        # What this VM and its leaves have learned, for the other hubs; on a
        # leaf, for its hub.
        self.hub_log: _Log = change_log.ChangeLog(MAX_LIMITS)

    def rate_per_s(self, run: UpstreamRun) -> float | None:
        """Return the limit of an upstream, None without one."""
        known = self._known.get(run)
        return known.rate_per_s if known else None

    def is_empty(self) -> bool:
        """Return whether no limit was ever named, which is the usual case."""
        return not self._known

    def record(self, run: UpstreamRun, answer: Answer) -> None:
        """Take what an answer says of its upstream's limit."""
        if answer.rate_per_s is not None:
            self._update(run, _Known(answer.rate_per_s, answer.received_s))
        elif answer.was_taken:
            # The answer may have begun before the limit was named.
            self._update(run, _Known(None, answer.sent_s))

    def _update(
        self,
        run: UpstreamRun,
        new: _Known,
        source: str = 'answer',
        to_hubs: bool = True,
    ) -> None:
        known = self._known.get(run)
        if known is None and new.rate_per_s is None:
            return
        if known is not None and new.at_s <= known.at_s:
            return
        self._known[run] = new
        before = known.rate_per_s if known else None
        if new.rate_per_s == before:
            return
        self.log.put(run, new)
        if to_hubs:
            self.hub_log.put(run, new)
        self._forget_old()
        self._report_change(run, before, new, source)

    def _forget_old(self) -> None:
        """Keep what the log has, and nothing of an upstream that is gone."""
        if len(self._known) > MAX_LIMITS:
            self._known = {
                run: known
                for run, known in self._known.items()
                if run in self.log
            }

    def forget_others(self, runs: typing.Container[UpstreamRun]) -> None:
        """Forget the limits of upstreams that have long been gone."""
        oldest_s = self._clock() - FORGET_S
        gone = [
            run
            for run, known in self._known.items()
            if known.at_s < oldest_s and run not in runs
        ]
        for run in gone:
            del self._known[run]
            self.log.drop(run)
            self.hub_log.drop(run)
        self._count()

    def _count(self) -> None:
        known = self._known.values()
        LIMITED.set(sum(one.rate_per_s is not None for one in known))

    def _report_change(
        self,
        run: UpstreamRun,
        before: float | None,
        new: _Known,
        source: str,
    ) -> None:
        self._count()
        what = 'named' if before is None else 'changed'
        if new.rate_per_s is None:
            what = 'ended'
        CHANGES.labels(what).inc()
        loguru.logger.bind(
            event=events.UPSTREAM_LIMIT,
            replica=run.name,
            what=what,
            rate_per_s=new.rate_per_s,
            before_per_s=before,
            source=source,
            age_s=round(self._clock() - new.at_s, 3),
        ).info('limit of {}: {}', run.name, what)

    # What VMs tell each other.

    def rows_since(
        self, position: int, to_hubs: bool
    ) -> list[list[typing.Any]]:
        """Return what has changed since a position of a log, as rows."""
        log = self.hub_log if to_hubs else self.log
        now_s = self._clock()
        return [
            [
                run.name,
                run.started_ms,
                NO_LIMIT_ROW if known.rate_per_s is None else known.rate_per_s,
                max(0, round((now_s - known.at_s) * 1000)),
            ]
            for run, known in log.since(position)
        ]

    def apply_rows(
        self,
        rows: typing.Iterable[list[typing.Any]],
        source: str,
        to_hubs: bool = False,
    ) -> None:
        """Take what a peer tells; raise DecodeError."""
        now_s = self._clock()
        for row in rows:
            run, rate_per_s, age_s = _decode_row(row)
            at_s = now_s - age_s
            if rate_per_s is None:
                at_s -= MAX_TRANSIT_S
            self._update(run, _Known(rate_per_s, at_s), source, to_hubs)


def _decode_row(
    row: list[typing.Any],
) -> tuple[UpstreamRun, float | None, float]:
    """Return the upstream, its limit and the age in s of a peer's row."""
    try:
        name, started_ms, rate, age_ms = row
        run = UpstreamRun(str(name), int(started_ms))
        rate_per_s, age_s = float(rate), float(age_ms) / 1000
    except (TypeError, ValueError, OverflowError) as error:
        raise errors.DecodeError(f'bad limit row: {row}') from error
    if rate_per_s == NO_LIMIT_ROW:
        return run, None, age_s
    return run, decode_rate(str(rate_per_s)), age_s


def log_odd_limit(run: UpstreamRun, error: errors.DecodeError) -> None:
    """Log a value that limits nothing."""
    CHANGES.labels('odd').inc()
    loguru.logger.bind(event=events.UPSTREAM_LIMIT_ODD, replica=run.name).info(
        '{}', error
    )
