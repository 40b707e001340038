"""Remember which starts of upstreams drain, whoever said so first.

A start that drains never serves again, so what is known of it holds until it
is forgotten. VMs tell each other, with the age of what they know.
"""

import typing

import loguru
import prometheus_client

from gentianstair import errors
from gentianstair.core import upstream_limits
from gentianstair.generated import events
from gentianstair.util import change_log
from gentianstair.util import clock as clocks

# Starts that are remembered; those learned of first are forgotten.
MAX_STARTS = 20000
# How long an unlisted start is remembered: its entry may be back for a while,
# from a store that is behind.
FORGET_S = 300.0

DRAINING = prometheus_client.Counter(
    'gentianstair_draining_upstreams',
    'Starts of upstreams that were found to drain, by who said so',
    ['source'],
)

_Log = change_log.ChangeLog[upstream_limits.UpstreamRun, float]


def decode_leaving(values: typing.Sequence[str]) -> bool:
    """Return whether a header's values say that the upstream leaves.

    Raise DecodeError for other words, or for several that differ.

    >>> decode_leaving(['1']), decode_leaving(['0']), decode_leaving([])
    (True, False, False)
    >>> decode_leaving(['0', '1'])
    Traceback (most recent call last):
    gentianstair.errors.DecodeError: neither leaving nor not: ['0', '1']
    """
    words = {value.strip() for value in values}
    if words == {'1'}:
        return True
    if words <= {'0', ''} and len(words) <= 1:
        return False
    raise errors.DecodeError(f'neither leaving nor not: {list(values)}')


class DrainingUpstreams:
    """The starts of upstreams that drain, as this VM knows them."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        # When each was first known to drain.
        self._since_s: dict[upstream_limits.UpstreamRun, float] = {}
        # For the leaves of this hub.
        self.log: _Log = change_log.ChangeLog(MAX_STARTS)
        # What this VM and its leaves have learned, for the other hubs; on a
        # leaf, for its hub.
        self.hub_log: _Log = change_log.ChangeLog(MAX_STARTS)

    def is_empty(self) -> bool:
        """Return whether no start is known to drain."""
        return not self._since_s

    def since_s(self, run: upstream_limits.UpstreamRun) -> float | None:
        """Return since when a start is known to drain, None if it is not."""
        return self._since_s.get(run)

    def record(
        self,
        run: upstream_limits.UpstreamRun,
        source: str,
        age_s: float = 0.0,
        to_hubs: bool = True,
    ) -> bool:
        """Record a start that drains; return whether that is new.

        Without the time of a start nothing tells it from the next one under
        its name, which is not to be kept from serving.
        """
        if not run.started_ms:
            return False
        at_s = self._clock() - age_s
        known_s = self._since_s.get(run)
        if known_s is not None:
            self._since_s[run] = min(known_s, at_s)
            return False
        self._since_s[run] = at_s
        self.log.put(run, at_s)
        if to_hubs:
            self.hub_log.put(run, at_s)
        while len(self._since_s) > MAX_STARTS:
            self._forget(next(iter(self._since_s)))
        self._report(run, source, age_s)
        return True

    def _report(
        self, run: upstream_limits.UpstreamRun, source: str, age_s: float
    ) -> None:
        kind = source if source in ('answer', 'entry') else 'peer'
        DRAINING.labels(kind).inc()
        loguru.logger.bind(
            event=events.UPSTREAM_DRAINS,
            replica=run.name,
            started_ms=run.started_ms,
            source=source,
            age_s=round(age_s, 3),
        ).info('{} drains', run.name)

    def _forget(self, run: upstream_limits.UpstreamRun) -> None:
        del self._since_s[run]
        self.log.drop(run)
        self.hub_log.drop(run)

    def forget_others(
        self, runs: typing.Container[upstream_limits.UpstreamRun]
    ) -> None:
        """Forget starts that have long been gone."""
        oldest_s = self._clock() - FORGET_S
        gone = [
            run
            for run, since_s in self._since_s.items()
            if since_s < oldest_s and run not in runs
        ]
        for run in gone:
            self._forget(run)

    # What VMs tell each other.

    def rows_since(
        self, position: int, to_hubs: bool
    ) -> list[list[typing.Any]]:
        """Return what was learned since a position of a log, as rows."""
        log = self.hub_log if to_hubs else self.log
        now_s = self._clock()
        return [
            [run.name, run.started_ms, max(0, round((now_s - at_s) * 1000))]
            for run, at_s in log.since(position)
        ]


class Feed:
    """How much of what is known one peer has been told.

    It is told all at first, as those that learned of it may be gone.
    """

    def __init__(self, known: DrainingUpstreams, to_hubs: bool) -> None:
        self._known = known
        self._to_hubs = to_hubs
        self._position: int | None = None

    def add_to(self, message: typing.Any) -> None:
        """Add what the peer has not been told to a message, if anything."""
        log = self._known.hub_log if self._to_hubs else self._known.log
        if log.position == self._position:
            return
        rows = self._known.rows_since(
            self._position or 0,
            self._to_hubs and self._position is not None,
        )
        if rows:
            message['draining'] = rows
        self._position = log.position


def log_odd_words(
    run: upstream_limits.UpstreamRun, error: errors.DecodeError
) -> None:
    """Log words that say neither that an upstream leaves nor not."""
    DRAINING.labels('odd').inc()
    loguru.logger.bind(
        event=events.UPSTREAM_DRAINS_ODD, replica=run.name
    ).info('{}', error)


class Told(typing.NamedTuple):
    """A start of which a peer tells that it drains."""

    run: upstream_limits.UpstreamRun
    age_s: float


def decode_rows(rows: typing.Iterable[list[typing.Any]]) -> list[Told]:
    """Return what the rows of a message tell; raise DecodeError."""
    found = []
    for row in rows:
        try:
            name, started_ms, age_ms = row
            run = upstream_limits.UpstreamRun(str(name), int(started_ms))
            found.append(Told(run, max(0.0, float(age_ms) / 1000)))
        except (TypeError, ValueError, OverflowError) as error:
            raise errors.DecodeError(f'bad draining row: {row}') from error
    return found


__all__ = [
    'DrainingUpstreams',
    'Feed',
    'Told',
    'decode_leaving',
    'decode_rows',
    'log_odd_words',
]
