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
# From so many rejections on, with nothing served in between, an upstream is
# taken to turn all away.
IN_TURN = 2
# Share by which one answer moves what is known of an upstream.
ANSWER_WEIGHT = 0.4
# Time in which that falls to about a third, so that an upstream that has room
# again is soon asked.
FADE_S = 4.0
# What has faded to less is forgotten.
MIN_SHARE = 0.02


class _Rejected(typing.NamedTuple):
    """The rejections of an upstream since it served last."""

    count: int
    latest_s: float


class _Share(typing.NamedTuple):
    """The share of requests that an upstream turned away, as of a time."""

    share: float
    at_s: float


class RecentRejections:
    """The starts of upstreams that turned requests of this VM away."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        # What each has done since it served, the latest rejection last.
        self._rejected: dict[upstream_limits.UpstreamRun, _Rejected] = {}
        # The one that changed longest ago comes first.
        self._shares: dict[upstream_limits.UpstreamRun, _Share] = {}

    def record_rejection(self, run: upstream_limits.UpstreamRun) -> None:
        """Record that an upstream has turned a request away now."""
        before = self._rejected.pop(run, None)
        count = 1 if before is None else before.count + 1
        self._rejected[run] = _Rejected(count, self._clock())
        self._move_share(run, 1.0)
        self._forget_old()

    def record_served(
        self, run: upstream_limits.UpstreamRun, sent_s: float
    ) -> None:
        """Record that an upstream served a request sent at sent_s."""
        if run in self._shares:
            self._move_share(run, 0.0)
        rejected = self._rejected.get(run)
        if rejected is not None and sent_s >= rejected.latest_s:
            del self._rejected[run]

    def is_rejecting(self, run: upstream_limits.UpstreamRun) -> bool:
        """Return whether an upstream would likely turn a request away."""
        return self._has_rejected(run, 1)

    def is_rejecting_all(self, run: upstream_limits.UpstreamRun) -> bool:
        """Return whether what an upstream got lately was all turned away."""
        return self._has_rejected(run, IN_TURN)

    def _has_rejected(
        self, run: upstream_limits.UpstreamRun, least: int
    ) -> bool:
        rejected = self._rejected.get(run)
        return (
            rejected is not None
            and rejected.count >= least
            and self._clock() - rejected.latest_s < MAX_AGE_S
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
        while self._rejected:
            oldest = next(iter(self._rejected))
            if self._rejected[oldest].latest_s > oldest_s:
                break
            del self._rejected[oldest]
        while self._shares:
            oldest = next(iter(self._shares))
            if self.share(oldest) > MIN_SHARE:
                break
            del self._shares[oldest]


__all__ = ['RecentRejections']
