"""Hand out permits for an upstream that names a limit, for all VMs.

One VM keeps the permits of an upstream. It starts with none and adds them at
the rate of the limit, so that a change of the keeper gives no more of them.
"""

import typing

from gentianstair.core import upstream_limits
from gentianstair.limits import token_bucket
from gentianstair.util import clock as clocks

# What an upstream is asked however little it takes: only an answer shows that
# its limit has ended.
MIN_RATE_PER_S = 0.1
# Unused permits that are kept: so many, and those of this time.
KEPT_PERMITS = 2.0
KEPT_S = 0.5
# Denied VMs ask again so late that a keeper gets this many of their asks a
# second for each upstream.
ASKS_PER_S = 100.0
MAX_RETRY_S = 5.0
# Permits of an upstream that nobody asks for are forgotten after this time.
FORGET_S = 600.0


class Ask(typing.NamedTuple):
    """A VM's question for one permit."""

    run: upstream_limits.UpstreamRun
    # The limit as the asking VM knows it.
    rate_per_s: float
    # How long the request would wait for its turn.
    patience_s: float


class Grant(typing.NamedTuple):
    """A keeper's answer."""

    is_granted: bool
    # Until the permit may be used; of a denied one, until there is one.
    wait_s: float
    # After which a VM that was denied asks again.
    retry_s: float = 0.0


class _Permits(typing.NamedTuple):
    bucket: token_bucket.TokenBucket
    asked_s: float


class PermitKeeper:
    """The permits that this VM keeps, by upstream."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._permits: dict[upstream_limits.UpstreamRun, _Permits] = {}
        self._cleaned_s = clock()

    def grant(self, ask: Ask, reach: float, vm_count: int) -> Grant:
        """Grant a permit, or deny it.

        reach is the part of the fleet's vm_count VMs that this one hears
        of: those that it does not hear of may have another keeper.
        """
        now_s = self._clock()
        rate_per_s = max(MIN_RATE_PER_S, ask.rate_per_s) * reach
        bucket = self._bucket(ask.run, now_s)
        bucket.refill(rate_per_s, KEPT_PERMITS + KEPT_S * rate_per_s, now_s)
        wait_s = bucket.wait_s(1.0, rate_per_s)
        if wait_s <= ask.patience_s:
            bucket.take(1.0)
            return Grant(True, wait_s)
        retry_s = min(MAX_RETRY_S, max(wait_s, vm_count / ASKS_PER_S))
        return Grant(False, wait_s, retry_s)

    def _bucket(
        self, run: upstream_limits.UpstreamRun, now_s: float
    ) -> token_bucket.TokenBucket:
        known = self._permits.get(run)
        if now_s - self._cleaned_s >= FORGET_S:
            self._clean(now_s)
        bucket = (
            known.bucket if known else token_bucket.TokenBucket(0.0, now_s)
        )
        self._permits[run] = _Permits(bucket, now_s)
        return bucket

    def _clean(self, now_s: float) -> None:
        self._cleaned_s = now_s
        self._permits = {
            run: permits
            for run, permits in self._permits.items()
            if now_s - permits.asked_s < FORGET_S
        }
