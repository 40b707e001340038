"""Eject failing upstreams and readmit them after a successful probe."""

import random
import statistics
import typing

# Failures in a row that eject an upstream.
CONSECUTIVE_FAILURES = 3
# Moving failure rate above which an upstream is ejected, and the attempts
# needed before the rate counts.
MAX_FAILURE_RATE = 0.5
MIN_ATTEMPTS = 8
# Weight of the newest attempt in an upstream's moving averages.
EWMA_WEIGHT = 0.1
# Duration of the first ejection, doubled at each further one up to the
# maximum.
MIN_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
# With more than this share of the upstreams ejected, ejections are ignored:
# the cause is common to all (overload, a network partition), and ejection
# would only move the load to the rest. Losing two failure domains of three
# stays below this share.
MAX_EJECTED_SHARE = 0.8
# A failure that took this many times the median latency counts as slow, for
# example a timeout. Overload causes slow failures, and ejecting upstreams
# for them adds load to the others, so a slow failure ejects an upstream only
# while at most this share is ejected.
SLOW_LATENCY_RATIO = 2.0
MAX_SLOW_EJECTED_SHARE = 0.25
# An upstream is ejected only if its failure rate exceeds that of the best
# quarter by this much. In an outage that affects all upstreams, random
# variation alone would otherwise eject one after the other.
MIN_EXCESS_FAILURE_RATE = 0.2
BASELINE_QUANTILE = 0.25
# The baseline over all upstreams is recomputed after this time.
BASELINE_MAX_AGE_S = 0.25
# Duration of an ejection after a failed connect. A process that restarts
# accepts connections again after about a second. Without it each VM would find
# out by failed requests of its own, of half a second each if nothing answers.
UNREACHABLE_EJECTION_S = 1.0
# A probe without an outcome after this time is replaced by another.
PROBE_TIMEOUT_S = 10.0


class _UpstreamState:
    """The recent outcomes and the ejection of one upstream."""

    def __init__(self) -> None:
        self.consecutive_failures = 0
        self.failure_rate = 0.0
        self.attempts = 0
        self.latency_s: float | None = None
        self.ejections = 0
        self.ejected_until_s: float | None = None
        self.probe_started_s: float | None = None


class _Baseline(typing.NamedTuple):
    """What one upstream's failure rate and latency are compared with."""

    failure_rate: float
    median_latency_s: float | None


class Ejector:
    """Ejects upstreams by the outcomes of the attempts sent to them.

    An upstream that fails fast has no load, so routing by load would prefer
    it; only its failure rate shows the fault.
    """

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._states: dict[str, _UpstreamState] = {}
        self._ejected: set[str] = set()
        self._baseline = _Baseline(0.0, None)
        self._baseline_at_s: float | None = None

    def set_upstreams(self, names: set[str]) -> None:
        """Set the known upstreams and drop the state of all others."""
        for removed in set(self._states) - names:
            del self._states[removed]
            self._ejected.discard(removed)
        for name in names:
            self._states.setdefault(name, _UpstreamState())

    def _is_widespread_failure(self) -> bool:
        total = max(1, len(self._states))
        return len(self._ejected) > MAX_EJECTED_SHARE * total

    def is_available(self, upstream: str, now_s: float) -> bool:
        """Return whether a request, or the probe, may be sent."""
        state = self._states.get(upstream)
        if (
            state is None
            or state.ejected_until_s is None
            or self._is_widespread_failure()
        ):
            return True
        if now_s < state.ejected_until_s:
            return False
        probe_started_s = state.probe_started_s
        return probe_started_s is None or (
            now_s > probe_started_s + PROBE_TIMEOUT_S
        )

    def unavailable(self, now_s: float) -> set[str]:
        """Return the upstreams that is_available denies.

        It looks only at ejected ones, and so costs little in a large fleet.
        """
        return {
            upstream
            for upstream in self._ejected
            if not self.is_available(upstream, now_s)
        }

    def record_start(self, upstream: str, now_s: float) -> None:
        """Record a sent attempt; the probe if an ejection is over.

        One that is sent while ejections are ignored is no probe.
        """
        state = self._states.get(upstream)
        if state is None or state.ejected_until_s is None:
            return
        if now_s >= state.ejected_until_s:
            state.probe_started_s = now_s

    def record_outcome(
        self, upstream: str, ok: bool, latency_s: float, now_s: float
    ) -> None:
        """Record the outcome of an attempt that was not cancelled."""
        state = self._states.setdefault(upstream, _UpstreamState())
        self._refresh_baseline(now_s)
        state.attempts += 1
        state.failure_rate += EWMA_WEIGHT * ((not ok) - state.failure_rate)
        if ok:
            previous_s = (
                latency_s if state.latency_s is None else state.latency_s
            )
            state.latency_s = previous_s + EWMA_WEIGHT * (
                latency_s - previous_s
            )
            self._on_success(upstream, state, now_s)
            return
        state.consecutive_failures += 1
        if self._is_slow(latency_s) and not self._may_eject_slow(upstream):
            return
        self._on_failure(upstream, state, now_s)

    def eject_unreachable(self, upstream: str, now_s: float) -> None:
        """Eject an upstream after a single failed connect.

        Unlike a failed response, a failed connect is not caused by load, and
        each further attempt would cost its caller the connect timeout.
        """
        state = self._states.setdefault(upstream, _UpstreamState())
        ejected_until_s = (
            now_s + UNREACHABLE_EJECTION_S * self._random.uniform(0.75, 1.25)
        )
        state.ejected_until_s = max(
            ejected_until_s, state.ejected_until_s or ejected_until_s
        )
        state.probe_started_s = None
        self._ejected.add(upstream)

    def _refresh_baseline(self, now_s: float) -> None:
        """Recompute the baseline if it is too old."""
        computed_at_s = self._baseline_at_s
        fresh = (
            computed_at_s is not None
            and now_s - computed_at_s < BASELINE_MAX_AGE_S
        )
        if fresh and self._baseline.median_latency_s is not None:
            return
        self._baseline_at_s = now_s
        with_attempts = [
            state for state in self._states.values() if state.attempts
        ]
        latencies = [
            s.latency_s for s in with_attempts if s.latency_s is not None
        ]
        failure_rates = sorted(state.failure_rate for state in with_attempts)
        baseline = (
            failure_rates[int(BASELINE_QUANTILE * len(failure_rates))]
            if failure_rates
            else 0.0
        )
        median_latency_s = (
            statistics.median_low(latencies) if latencies else None
        )
        self._baseline = _Baseline(baseline, median_latency_s)

    def _is_slow(self, latency_s: float) -> bool:
        median_latency_s = self._baseline.median_latency_s
        return (
            median_latency_s is not None
            and latency_s > SLOW_LATENCY_RATIO * median_latency_s
        )

    def _may_eject_slow(self, upstream: str) -> bool:
        ejected = len(self._ejected - {upstream}) + 1
        return ejected <= MAX_SLOW_EJECTED_SHARE * len(self._states)

    def _on_success(
        self, upstream: str, state: _UpstreamState, now_s: float
    ) -> None:
        state.consecutive_failures = 0
        if state.ejected_until_s is not None:
            if (
                now_s < state.ejected_until_s
                and not self._is_widespread_failure()
            ):
                # Sent before the ejection; only a probe readmits.
                return
            state.ejected_until_s = None
            state.probe_started_s = None
            state.failure_rate = 0.0
            state.attempts = 0
        elif state.attempts > MIN_ATTEMPTS and state.failure_rate < 0.05:
            state.ejections = 0
        self._ejected.discard(upstream)

    def _on_failure(
        self, upstream: str, state: _UpstreamState, now_s: float
    ) -> None:
        repeated = state.consecutive_failures >= CONSECUTIVE_FAILURES
        frequent = (
            state.attempts >= MIN_ATTEMPTS
            and state.failure_rate > MAX_FAILURE_RATE
        )
        if not (repeated or frequent or state.ejected_until_s is not None):
            return
        baseline = self._baseline.failure_rate
        if state.failure_rate < baseline + MIN_EXCESS_FAILURE_RATE:
            return
        self._ejected.add(upstream)
        if state.ejected_until_s is not None and now_s < state.ejected_until_s:
            return
        state.ejections += 1
        backoff_s = MIN_EJECTION_S * 2.0 ** (state.ejections - 1)
        ejection_s = min(backoff_s, MAX_EJECTION_S)
        # The jitter spreads the probes of VMs that ejected it together.
        state.ejected_until_s = now_s + ejection_s * self._random.uniform(
            0.75, 1.25
        )
        state.probe_started_s = None
