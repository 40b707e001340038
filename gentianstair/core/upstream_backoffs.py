"""Back off from upstreams that turn requests away with a Retry-After.

What an upstream asks for binds the VM that it told, and its start only. After
the pause one request goes first: if that is turned away too, the others have
not come in vain.
"""

import collections.abc
import math
import random
import typing

import loguru
import prometheus_client

from gentianstair import errors
from gentianstair.core import upstream_limits
from gentianstair.generated import events
from gentianstair.util import clock as clocks

# A longer pause is cut to this; the one request after it may be told again.
MAX_BACKOFF_S = 60.0
# Part of a pause, and the most of it, by which VMs that were told together
# return at different times.
SPREAD_SHARE = 0.1
MAX_SPREAD_S = 0.5
# How long the first request after a pause keeps others away unanswered.
TRIAL_S = 0.5
# Callers that are told together return at different times.
RETURN_SPREAD_SHARE = 0.3
# Upstreams that are remembered; those whose pause ended first are forgotten.
MAX_BACKOFFS = 20000

BACKOFFS = prometheus_client.Counter(
    'gentianstair_upstream_backoffs',
    'Pauses that upstreams asked for, by what was done',
    ['what'],
)
BACKED_OFF = prometheus_client.Gauge(
    'gentianstair_upstreams_backed_off',
    'Upstreams that asked this VM for a pause and have not served it since',
)


def decode_retry_after(values: typing.Sequence[str]) -> float | None:
    """Return the pause in seconds in a header's values, None without one.

    The longest counts, and MAX_BACKOFF_S at most. Raise DecodeError for what
    is no number of seconds.

    >>> decode_retry_after(['0.5', '3']), decode_retry_after(['1e9'])
    (3.0, 60.0)
    >>> decode_retry_after(['soon'])
    Traceback (most recent call last):
    gentianstair.errors.DecodeError: no pause: ['soon']
    """
    if not values:
        return None
    try:
        pauses_s = [float(value) for value in values]
    except ValueError:
        pauses_s = [math.nan]
    if not all(0 <= pause_s for pause_s in pauses_s):
        raise errors.DecodeError(f'no pause: {list(values)}')
    return min(max(pauses_s), MAX_BACKOFF_S)


class _Backoff:
    """The pause of one upstream, and the request that came first after it."""

    def __init__(self) -> None:
        self.until_s = -math.inf
        self.trial_until_s = -math.inf


class UpstreamBackoffs:
    """The upstreams that this VM leaves alone, and until when."""

    def __init__(self, clock: clocks.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._random = rng
        # Called with each upstream that asks for a pause.
        self.listeners: list[
            collections.abc.Callable[[upstream_limits.UpstreamRun], None]
        ] = []
        self._known: dict[upstream_limits.UpstreamRun, _Backoff] = {}

    def is_empty(self) -> bool:
        """Return whether no upstream asked for a pause: the usual case."""
        return not self._known

    def wait_s(self, run: upstream_limits.UpstreamRun) -> float:
        """Return for how long no request may go to an upstream."""
        known = self._known.get(run)
        if known is None:
            return 0.0
        free_s = max(known.until_s, known.trial_until_s)
        return max(0.0, free_s - self._clock())

    def is_backed_off(self, run: upstream_limits.UpstreamRun) -> bool:
        """Return whether no request may go to an upstream now."""
        return bool(self._known) and self.wait_s(run) > 0

    def pause_s(self, run: upstream_limits.UpstreamRun) -> float:
        """Return for how long an upstream wants nothing at all."""
        known = self._known.get(run)
        if known is None:
            return 0.0
        return max(0.0, known.until_s - self._clock())

    def return_in_s(
        self, runs: typing.Iterable[upstream_limits.UpstreamRun]
    ) -> float:
        """Return after how long a caller may return for one of these."""
        spread = 1.0 + RETURN_SPREAD_SHARE * self._random.random()
        return spread * min(self.wait_s(run) for run in runs)

    def begin(self, run: upstream_limits.UpstreamRun) -> None:
        """Begin a request; raise UpstreamBackoffError if it may not go.

        Call it directly before the send, without an await between them.
        """
        known = self._known.get(run)
        if known is None:
            return
        if self.wait_s(run) > 0:
            BACKOFFS.labels('kept-away').inc()
            raise errors.UpstreamBackoffError('the upstream asked for a pause')
        known.trial_until_s = self._clock() + TRIAL_S

    def record_answer(
        self,
        run: upstream_limits.UpstreamRun,
        retry_after_s: float | None,
        sent_s: float,
    ) -> None:
        """Take what the answer to a request sent at sent_s asks for."""
        if retry_after_s:
            self._extend(run, retry_after_s)
            return
        known = self._known.get(run)
        if known is not None and sent_s >= known.until_s:
            del self._known[run]
            self._report(run, 'ended', 0.0)

    def record_pause(
        self, run: upstream_limits.UpstreamRun, pause_s: float
    ) -> None:
        """Take a pause that was asked for on this VM's connections."""
        if 0 < pause_s <= MAX_BACKOFF_S:
            self._extend(run, pause_s)

    def _extend(
        self, run: upstream_limits.UpstreamRun, pause_s: float
    ) -> None:
        known = self._known.get(run)
        is_new = known is None
        if known is None:
            known = self._known[run] = _Backoff()
        spread_s = min(SPREAD_SHARE * pause_s, MAX_SPREAD_S)
        until_s = self._clock() + pause_s + self._random.uniform(0.0, spread_s)
        known.until_s = max(known.until_s, until_s)
        known.trial_until_s = -math.inf
        self._forget_old()
        for listener in self.listeners:
            listener(run)
        self._report(run, 'asked' if is_new else 'asked-again', pause_s)

    def _forget_old(self) -> None:
        while len(self._known) > MAX_BACKOFFS:
            del self._known[min(self._known, key=self._ends_s)]

    def _ends_s(self, run: upstream_limits.UpstreamRun) -> float:
        return self._known[run].until_s

    def forget_others(
        self, runs: typing.Container[upstream_limits.UpstreamRun]
    ) -> None:
        """Forget upstreams that are gone and whose pause is over."""
        gone = [
            run
            for run in self._known
            if run not in runs and self.pause_s(run) == 0
        ]
        for run in gone:
            del self._known[run]
        BACKED_OFF.set(len(self._known))

    def _report(
        self, run: upstream_limits.UpstreamRun, what: str, pause_s: float
    ) -> None:
        BACKED_OFF.set(len(self._known))
        BACKOFFS.labels(what).inc()
        loguru.logger.bind(
            event=events.UPSTREAM_BACKOFF,
            replica=run.name,
            started_ms=run.started_ms,
            what=what,
            retry_after_s=pause_s,
            wait_s=round(self.pause_s(run), 3),
        ).info('pause of {}: {}', run.name, what)


def log_odd_retry_after(
    run: upstream_limits.UpstreamRun, error: errors.DecodeError
) -> None:
    """Log a Retry-After that is no number of seconds."""
    BACKOFFS.labels('odd').inc()
    loguru.logger.bind(
        event=events.UPSTREAM_BACKOFF_ODD, replica=run.name
    ).info('{}', error)


__all__ = [
    'UpstreamBackoffs',
    'decode_retry_after',
    'log_odd_retry_after',
]
