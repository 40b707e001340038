"""Hand out permits for an upstream that names a limit, for all VMs.

One VM keeps the permits of an upstream. It starts with none and adds them at
the rate of the limit, so that a change of the keeper gives no more of them.

The users let an upstream get somewhat more than its limit. A part of that is
spare: it goes to requests that would be rejected otherwise.
"""

import typing

from gentianstair.core import upstream_limits
from gentianstair.limits import token_bucket
from gentianstair.util import clock as clocks

# What an upstream is asked however little it takes: only an answer shows that
# its limit has ended, and callers are rejected until then.
MIN_RATE_PER_S = 0.5
# Unused permits that are kept: so many, and those of this time.
KEPT_PERMITS = 1.0
KEPT_S = 0.5
# Spare permits a second, if the limit is not lower. They and what else may
# come together stay within what the users allow: permits that are used late,
# those that are kept, and a second keeper for a second.
SPARE_RATE_PER_S = 0.6
# A new keeper has no spare ones until what an earlier one granted lies
# further back than the users' window.
NO_SPARE_S = 4.0
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
    patience_s: float = 0.0
    # Whether the request is rejected if the permit is denied.
    is_last_resort: bool = False


class Grant(typing.NamedTuple):
    """A keeper's answer."""

    is_granted: bool
    # Until the permit may be used; of a denied one, until there is one.
    wait_s: float
    # After which a VM that was denied asks again.
    retry_s: float = 0.0
    # Until there is a spare one for a last resort.
    spare_wait_s: float = 0.0


class _Permits:
    """The permits of one upstream."""

    def __init__(self, now_s: float) -> None:
        self.regular = token_bucket.TokenBucket(0.0, now_s)
        self.spare = token_bucket.TokenBucket(
            -NO_SPARE_S * SPARE_RATE_PER_S, now_s
        )
        self.asked_s = now_s


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
        spare_per_s = min(ask.rate_per_s, SPARE_RATE_PER_S) * reach
        permits = self._of(ask.run, now_s)
        regular, spare = permits.regular, permits.spare
        regular.refill(rate_per_s, KEPT_PERMITS + KEPT_S * rate_per_s, now_s)
        spare.refill(spare_per_s, 1.0, now_s)
        wait_s = regular.wait_s(1.0, rate_per_s)
        spare_wait_s = spare.wait_s(1.0, spare_per_s)
        if wait_s <= ask.patience_s:
            regular.take(1.0)
            return Grant(True, wait_s)
        if ask.is_last_resort and spare_wait_s <= ask.patience_s:
            spare.take(1.0)
            return Grant(True, spare_wait_s)
        retry_s = min(MAX_RETRY_S, max(wait_s, vm_count / ASKS_PER_S))
        return Grant(False, wait_s, retry_s, spare_wait_s)

    def _of(self, run: upstream_limits.UpstreamRun, now_s: float) -> _Permits:
        permits = self._permits.get(run) or _Permits(now_s)
        permits.asked_s = now_s
        if now_s - self._cleaned_s >= FORGET_S:
            self._clean(now_s)
        self._permits[run] = permits
        return permits

    def _clean(self, now_s: float) -> None:
        self._cleaned_s = now_s
        self._permits = {
            run: permits
            for run, permits in self._permits.items()
            if now_s - permits.asked_s < FORGET_S
        }
