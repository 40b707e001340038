"""Take failing upstreams out of use and let them back in by one probe."""

import random
import statistics
import typing

# Failures in a row that eject an upstream.
FAILURES_IN_A_ROW = 3
# Share of recent tries that fail, and tries needed to judge by it.
BAD_SHARE = 0.5
LEAST_TRIES = 8
# Weight of the newest try in an upstream's averages.
NEWEST = 0.1
# First time out of use, doubled at each further ejection up to the longest.
FIRST_EJECTION_S = 2.0
LONGEST_EJECTION_S = 30.0
# With more than this share of the upstreams bad, the cause is common to
# them (overload, a cut of our own): ejection would then only pile the load
# on the rest, so nobody is ejected. Two lost failure domains of three are
# still below it.
MOST_EJECTED = 0.8
# A failure that took this many times a typical answer is one of slowness
# (a timeout). Overload makes those by itself, and taking out whom it hits
# first overloads the rest; so only this share may be out for slowness.
SLOW_TIMES = 2.0
MOST_SLOW_EJECTED = 0.25
# An upstream is bad only if it fails by this much more often than the best
# quarter: in a common brown-out all fail, and chance alone would take out
# one after the other for far longer than the brown-out lasts.
WORSE_THAN_BEST = 0.2
BEST_QUANTILE = 0.25
# Figures over all upstreams are worked out at most this often.
COMMON_AGE_S = 0.25
# How long an upstream is passed over to which no connection could be opened.
# Its process is gone or starting; a start takes about a second. Without it
# each VM finds out by three failed requests, of half a second each where
# nothing answers at all, and by one more every two seconds.
UNREACHABLE_S = 1.0
# A probe without a report after this long is taken for lost.
PROBE_TIMEOUT_S = 10.0


class _State:
    """What is known of one upstream."""

    def __init__(self) -> None:
        self.failed_in_a_row = 0
        self.failed_share = 0.0
        self.tries = 0
        self.latency_s: float | None = None
        self.ejections = 0
        self.until_s: float | None = None
        self.probe_since_s: float | None = None


class _Common(typing.NamedTuple):
    """Figures over all upstreams."""

    best_failed_share: float
    typical_s: float | None


class Ejector:
    """Judge upstreams by the reports of their tries.

    An engine that fails fast has nothing running and so looks the most
    attractive to any choice by load; only its failures give it away.
    """

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._states: dict[str, _State] = {}
        self._bad: set[str] = set()
        self._common = _Common(0.0, None)
        self._common_s: float | None = None

    def set_upstreams(self, names: set[str]) -> None:
        """Forget upstreams that left; the share of bad is of these."""
        for gone in set(self._states) - names:
            del self._states[gone]
            self._bad.discard(gone)
        for name in names:
            self._states.setdefault(name, _State())

    def _all_bad(self) -> bool:
        known = max(1, len(self._states))
        return len(self._bad) > MOST_EJECTED * known

    def usable(self, upstream: str, now_s: float) -> bool:
        """Return whether to send to the upstream; changes nothing."""
        state = self._states.get(upstream)
        if state is None or state.until_s is None or self._all_bad():
            return True
        if now_s < state.until_s:
            return False
        probe_since_s = state.probe_since_s
        return probe_since_s is None or (
            now_s > probe_since_s + PROBE_TIMEOUT_S
        )

    def started(self, upstream: str, now_s: float) -> None:
        """Note that a try was sent, which is the probe if half-open."""
        state = self._states.get(upstream)
        if state is not None and state.until_s is not None:
            state.probe_since_s = now_s

    def report(
        self, upstream: str, ok: bool, latency_s: float, now_s: float
    ) -> None:
        """Take the outcome of a try; cancelled tries are not reported."""
        state = self._states.setdefault(upstream, _State())
        self._refresh(now_s)
        state.tries += 1
        state.failed_share += NEWEST * ((not ok) - state.failed_share)
        if ok:
            last_s = latency_s if state.latency_s is None else state.latency_s
            state.latency_s = last_s + NEWEST * (latency_s - last_s)
            self._succeeded(upstream, state, now_s)
            return
        state.failed_in_a_row += 1
        if self._is_slow(latency_s) and not self._slow_may_go(upstream):
            return
        self._failed(upstream, state, now_s)

    def unreachable(self, upstream: str, now_s: float) -> None:
        """Take out an upstream that accepts no connection, at once.

        This is no matter of chance or of load, as a failed answer may be,
        and each further try would cost its caller the time to connect.
        """
        state = self._states.setdefault(upstream, _State())
        until_s = now_s + UNREACHABLE_S * self._random.uniform(0.75, 1.25)
        state.until_s = max(until_s, state.until_s or until_s)
        state.probe_since_s = None
        self._bad.add(upstream)

    def _refresh(self, now_s: float) -> None:
        """Work the common figures out anew if they are old."""
        last_s = self._common_s
        fresh = last_s is not None and now_s - last_s < COMMON_AGE_S
        if fresh and self._common.typical_s is not None:
            return
        self._common_s = now_s
        tried = [state for state in self._states.values() if state.tries]
        known = [s.latency_s for s in tried if s.latency_s is not None]
        shares = sorted(state.failed_share for state in tried)
        best = shares[int(BEST_QUANTILE * len(shares))] if shares else 0.0
        typical_s = statistics.median_low(known) if known else None
        self._common = _Common(best, typical_s)

    def _is_slow(self, latency_s: float) -> bool:
        typical_s = self._common.typical_s
        return typical_s is not None and latency_s > SLOW_TIMES * typical_s

    def _slow_may_go(self, upstream: str) -> bool:
        out = len(self._bad - {upstream}) + 1
        return out <= MOST_SLOW_EJECTED * len(self._states)

    def _succeeded(self, upstream: str, state: _State, now_s: float) -> None:
        state.failed_in_a_row = 0
        if state.until_s is not None:
            if now_s < state.until_s and not self._all_bad():
                # A try sent before the ejection; only a probe readmits.
                return
            state.until_s = None
            state.probe_since_s = None
            state.failed_share = 0.0
            state.tries = 0
        elif state.tries > LEAST_TRIES and state.failed_share < 0.05:
            state.ejections = 0
        self._bad.discard(upstream)

    def _failed(self, upstream: str, state: _State, now_s: float) -> None:
        in_a_row = state.failed_in_a_row >= FAILURES_IN_A_ROW
        often = state.tries >= LEAST_TRIES and state.failed_share > BAD_SHARE
        if not (in_a_row or often or state.until_s is not None):
            return
        best = self._common.best_failed_share
        if state.failed_share < best + WORSE_THAN_BEST:
            return
        self._bad.add(upstream)
        if state.until_s is not None and now_s < state.until_s:
            return
        state.ejections += 1
        longest_s = FIRST_EJECTION_S * 2.0 ** (state.ejections - 1)
        out_s = min(longest_s, LONGEST_EJECTION_S)
        # Jitter, so that VMs which ejected together do not probe together.
        state.until_s = now_s + out_s * self._random.uniform(0.75, 1.25)
        state.probe_since_s = None

    def slowness(self, upstream: str) -> float:
        """Return how many times the typical latency the upstream takes.

        A slow upstream still works, so it is not ejected: with half of
        them slow that would throw away capacity. The choice weighs it.
        """
        typical_s = self._common.typical_s
        state = self._states.get(upstream)
        if state is None or state.latency_s is None or not typical_s:
            return 1.0
        return state.latency_s / typical_s
