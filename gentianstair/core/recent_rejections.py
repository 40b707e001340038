"""Remember which upstreams have lately turned requests away.

One that turns all away has no load, so that a choice by load would send each
request from one such upstream to the next, beside others that are free.
"""

from gentianstair.core import upstream_limits
from gentianstair.util import clock as clocks

# How long a rejection counts, unless its upstream has served since.
MAX_AGE_S = 2.0


class RecentRejections:
    """The starts of upstreams that turned requests of this VM away."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        # When each did so last, the oldest first.
        self._rejected_s: dict[upstream_limits.UpstreamRun, float] = {}

    def record_rejection(self, run: upstream_limits.UpstreamRun) -> None:
        """Record that an upstream has turned a request away now."""
        self._rejected_s.pop(run, None)
        self._rejected_s[run] = self._clock()
        self._forget_old()

    def record_served(
        self, run: upstream_limits.UpstreamRun, sent_s: float
    ) -> None:
        """Record that an upstream served a request sent at sent_s."""
        rejected_s = self._rejected_s.get(run)
        if rejected_s is not None and sent_s >= rejected_s:
            del self._rejected_s[run]

    def is_rejecting(self, run: upstream_limits.UpstreamRun) -> bool:
        """Return whether an upstream would likely turn a request away."""
        rejected_s = self._rejected_s.get(run)
        return (
            rejected_s is not None and self._clock() - rejected_s < MAX_AGE_S
        )

    def _forget_old(self) -> None:
        oldest_s = self._clock() - MAX_AGE_S
        while self._rejected_s:
            oldest = next(iter(self._rejected_s))
            if self._rejected_s[oldest] > oldest_s:
                return
            del self._rejected_s[oldest]


__all__ = ['RecentRejections']
