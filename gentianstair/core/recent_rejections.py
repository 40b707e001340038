"""Remember which upstreams have lately turned requests away.

One that turns all away has no load, so that a choice by load would send each
request there first, and from one such upstream to the next, beside others that
are free.
"""

import math
import typing

from gentianstair.core import upstream_limits
from gentianstair.util import clock as clocks

# How long a rejection counts, unless its upstream has served since.
MAX_AGE_S = 2.0
# Share by which one answer moves what is known of an upstream.
ANSWER_WEIGHT = 0.4
# Time in which that falls to about a third, so that an upstream that has room
# again is soon asked.
FADE_S = 4.0
# What has faded to less is forgotten.
MIN_SHARE = 0.02


class _Share(typing.NamedTuple):
    """The share of requests that an upstream turned away, as of a time."""

    share: float
    at_s: float


class RecentRejections:
    """The starts of upstreams that turned requests of this VM away."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        # When each did so last, the oldest first.
        self._rejected_s: dict[upstream_limits.UpstreamRun, float] = {}
        # The one that changed longest ago comes first.
        self._shares: dict[upstream_limits.UpstreamRun, _Share] = {}

    def record_rejection(self, run: upstream_limits.UpstreamRun) -> None:
        """Record that an upstream has turned a request away now."""
        self._rejected_s.pop(run, None)
        self._rejected_s[run] = self._clock()
        self._move_share(run, 1.0)
        self._forget_old()

    def record_served(
        self, run: upstream_limits.UpstreamRun, sent_s: float
    ) -> None:
        """Record that an upstream served a request sent at sent_s."""
        if run in self._shares:
            self._move_share(run, 0.0)
        rejected_s = self._rejected_s.get(run)
        if rejected_s is not None and sent_s >= rejected_s:
            del self._rejected_s[run]

    def is_rejecting(self, run: upstream_limits.UpstreamRun) -> bool:
        """Return whether an upstream would likely turn a request away."""
        rejected_s = self._rejected_s.get(run)
        return (
            rejected_s is not None and self._clock() - rejected_s < MAX_AGE_S
        )

    def share(self, run: upstream_limits.UpstreamRun) -> float:
        """Return the share of requests that it turned away lately, 0 to 1."""
        known = self._shares.get(run)
        if known is None:
            return 0.0
        age_s = self._clock() - known.at_s
        return known.share * math.exp(-age_s / FADE_S)

    def shares(self) -> dict[upstream_limits.UpstreamRun, float]:
        """Return the shares of all upstreams that turned requests away.

        They are few, whatever the size of the fleet.
        """
        return {run: self.share(run) for run in self._shares}

    def _move_share(
        self, run: upstream_limits.UpstreamRun, answer: float
    ) -> None:
        share = self.share(run)
        share += ANSWER_WEIGHT * (answer - share)
        self._shares.pop(run, None)
        self._shares[run] = _Share(share, self._clock())

    def _forget_old(self) -> None:
        oldest_s = self._clock() - MAX_AGE_S
        while self._rejected_s:
            oldest = next(iter(self._rejected_s))
            if self._rejected_s[oldest] > oldest_s:
                break
            del self._rejected_s[oldest]
        while self._shares:
            oldest = next(iter(self._shares))
            if self.share(oldest) > MIN_SHARE:
                break
            del self._shares[oldest]


__all__ = ['RecentRejections']
