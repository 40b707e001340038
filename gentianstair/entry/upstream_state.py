"""Track what an entry process has observed of one upstream."""

import typing

from gentianstair.entry import upstream_load

# Weight of the newest value in moving averages.
_SMOOTHING = 0.1
_FAILURE_SMOOTHING = 0.4
_FAILURE_HALF_LIFE_S = 10.0
# Part of a decaying sum that each new value replaces.
_DECAY = 0.05
# Bounds of the slowness factor.
_SLOWNESS_RANGE = (0.25, 20.0)


def smooth(old: float, new: float, weight: float = _SMOOTHING) -> float:
    """Return the moving average old, updated with the value new."""
    return old + weight * (new - old)


class UpstreamInfo(typing.NamedTuple):
    """The configuration of an upstream; no models means any."""

    name: str
    failure_domain: str
    models: tuple[str, ...] = ()
    role: str = 'mixed'
    state: str = 'serving'
    # Requests that the engine runs at once at most.
    concurrent: int = 64


class DecayingSum:
    """A sum in which older values count exponentially less.

    It starts above zero, so that the first values change it only in part.
    """

    def __init__(self) -> None:
        self.value = 2.0

    def add(self, value: float) -> None:
        """Add a value and decay all earlier ones."""
        self.value = self.value * (1.0 - _DECAY) + value


class UpstreamState:
    """Observed load, speed, cache accuracy and failures of one upstream."""

    def __init__(self, info: UpstreamInfo) -> None:
        self.info = info
        # The role in the engine's load reports. It is newer than the
        # configured one, which role changes do not update.
        self.reported_role: str | None = None
        self.load = upstream_load.UpstreamLoad()
        # Observed and expected times to first token. The ratio of the sums
        # is used, since in a mean of ratios a single short prompt behind an
        # unreported queue would outweigh many others.
        self.observed_s = DecayingSum()
        self.expected_s = DecayingSum()
        self.slowness = 1.0
        # Part of the expected cached tokens that the engine found.
        self.index_accuracy = 1.0
        # Part of attempts that failed, as of _failure_rate_at_s.
        self._failure_rate = 0.0
        self._failure_rate_at_s = 0.0
        # Times that cache events were lost.
        self.event_gaps = 0

    def record_first_token(self, took_s: float, expected_s: float) -> None:
        """Update the slowness by a time to first token."""
        self.observed_s.add(took_s)
        self.expected_s.add(expected_s)
        low, high = _SLOWNESS_RANGE
        ratio = self.observed_s.value / self.expected_s.value
        self.slowness = min(max(ratio, low), high)

    def record_cache_hits(
        self, found_tokens: int, indexed_tokens: int
    ) -> None:
        """Update the accuracy of the index by the cached tokens found."""
        if indexed_tokens:
            found_share = min(found_tokens / indexed_tokens, 1.0)
            self.index_accuracy = smooth(self.index_accuracy, found_share)

    def failure_rate(self, now_s: float) -> float:
        """Return the estimated part of attempts that fail.

        It decays with time, so that an avoided upstream is tried again.
        """
        if not self._failure_rate:
            return 0.0
        age_s = now_s - self._failure_rate_at_s
        return self._failure_rate * 0.5 ** (age_s / _FAILURE_HALF_LIFE_S)

    def record_attempt(self, failed: bool, now_s: float) -> None:
        """Update the failure rate by an attempt that ended."""
        self._failure_rate = smooth(
            self.failure_rate(now_s),
            1.0 if failed else 0.0,
            _FAILURE_SMOOTHING,
        )
        self._failure_rate_at_s = now_s
