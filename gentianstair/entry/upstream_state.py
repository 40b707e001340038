"""Keep what an entry process has learned of one upstream."""

import typing

from gentianstair.entry import upstream_load

_SMOOTHING = 0.1
_FAILING_SMOOTHING = 0.4
_FAILING_HALF_LIFE_S = 10.0
_FADE = 0.05
_SLOWNESS_RANGE = (0.25, 20.0)


def smooth(old: float, new: float, share: float = _SMOOTHING) -> float:
    """Return old moved towards new by a share of the way."""
    return old + share * (new - old)


class UpstreamInfo(typing.NamedTuple):
    """What the configuration says of an upstream; no models means any."""

    name: str
    failure_domain: str
    models: tuple[str, ...] = ()
    role: str = 'mixed'
    state: str = 'serving'
    concurrent: int = 64


class DecayingSum:
    """A sum in which old values fade, with a start that fades too."""

    def __init__(self) -> None:
        self.value = 2.0

    def add(self, value: float) -> None:
        """Add a value; all earlier ones count a little less."""
        self.value = self.value * (1.0 - _FADE) + value


class UpstreamState:
    """What is known of one upstream."""

    def __init__(self, info: UpstreamInfo) -> None:
        self.info = info
        # The role the engine reports; orders change it, not the
        # configuration, which holds the one it began with.
        self.reported_role: str | None = None
        self.load = upstream_load.UpstreamLoad()
        # Observed times to the first token over the expected ones. Fading
        # sums, not a mean of ratios: one short prompt behind an unseen queue
        # takes 20 times as long as expected and says little.
        self.observed_s = DecayingSum()
        self.expected_s = DecayingSum()
        self.slowness = 1.0
        # Share of predicted cached tokens that were found of late.
        self.index_accuracy = 1.0
        # Share of tries that failed, as it was at a time.
        self._failing = 0.0
        self._failing_at_s = 0.0
        # Cache events lost, for metrics.
        self.event_gaps = 0

    def record_first_token(self, took_s: float, expected_s: float) -> None:
        """Compare the time to a first token with what was expected."""
        self.observed_s.add(took_s)
        self.expected_s.add(expected_s)
        low, high = _SLOWNESS_RANGE
        ratio = self.observed_s.value / self.expected_s.value
        self.slowness = min(max(ratio, low), high)

    def record_cache_hits(
        self, found_tokens: int, indexed_tokens: int
    ) -> None:
        """Compare the cached tokens found with what the index expected."""
        if indexed_tokens:
            found = min(found_tokens / indexed_tokens, 1.0)
            self.index_accuracy = smooth(self.index_accuracy, found)

    def failure_rate(self, now_s: float) -> float:
        """Return the share of tries that fail, as far as known.

        It fades, so that an upstream that is avoided is tried again.
        """
        if not self._failing:
            return 0.0
        age_s = now_s - self._failing_at_s
        return self._failing * 0.5 ** (age_s / _FAILING_HALF_LIFE_S)

    def record_attempt(self, failed: bool, now_s: float) -> None:
        """Count a try that ended."""
        self._failing = smooth(
            self.failure_rate(now_s),
            1.0 if failed else 0.0,
            _FAILING_SMOOTHING,
        )
        self._failing_at_s = now_s
