"""Decide whether and when a failed try may be repeated or hedged."""

import bisect
import collections
import random
import typing

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import ejection

# Retries and hedges together are at most this share of fresh requests.
RETRY_RATIO = 0.08
# Saved-up retries: enough for a single replica's loss, and few enough that
# an outage's end is not met by a wave.
MAX_RETRY_TOKENS = 10.0
INITIAL_RETRY_TOKENS = 3.0
BASE_BACKOFF_S = 0.05
MAX_BACKOFF_S = 5.0
MAX_ATTEMPTS = 4
# A look-up is hedged once it took longer than this share of the others.
HEDGE_QUANTILE = 0.95
HEDGE_MAX_SAMPLES = 200
HEDGE_MIN_SAMPLES = 20


class _Bucket:
    """Saved retries; a fresh request adds a share of one."""

    __slots__ = ('saved',)

    def __init__(self) -> None:
        self.saved = INITIAL_RETRY_TOKENS

    def earn(self) -> None:
        self.saved = min(MAX_RETRY_TOKENS, self.saved + RETRY_RATIO)


class RetryBudget:
    """Hold retries to a share of fresh traffic.

    A retry is paid by the customer's bucket and by the bucket of the
    upstream that failed, so neither a customer whose requests always fail
    nor a broken upstream can multiply the load. In an outage everything
    fails, the buckets run dry and the storm ends by itself.
    """

    def __init__(self) -> None:
        self._customers: dict[str, _Bucket] = {}
        self._upstreams: dict[str, _Bucket] = {}

    def _buckets(self, customer: str, upstream: str) -> tuple[_Bucket, ...]:
        return (
            self._customers.setdefault(customer, _Bucket()),
            self._upstreams.setdefault(upstream, _Bucket()),
        )

    def record_request(self, customer: str, upstream: str) -> None:
        """Count a first try; call it once a request."""
        for bucket in self._buckets(customer, upstream):
            bucket.earn()

    def try_spend(self, customer: str, upstream: str) -> bool:
        """Pay for one more try after one at upstream; False if too dear."""
        buckets = self._buckets(customer, upstream)
        if min(bucket.saved for bucket in buckets) < 1.0:
            return False
        for bucket in buckets:
            bucket.saved -= 1.0
        return True

    def remove_upstream(self, upstream: str) -> None:
        """Drop the bucket of an upstream that left."""
        self._upstreams.pop(upstream, None)


class HedgeDelays:
    """Learn when a second copy of an idempotent look-up pays."""

    def __init__(self) -> None:
        self._kept: dict[str, collections.deque[float]] = {}

    def record_latency(self, service: str, latency_s: float) -> None:
        """Take the latency of a finished look-up."""
        kept = self._kept.setdefault(
            service, collections.deque(maxlen=HEDGE_MAX_SAMPLES)
        )
        kept.append(latency_s)

    def delay_s(self, service: str, idempotent: bool) -> float | None:
        """Return when to send a second copy; None is never.

        Generations and unrepeatable calls are never hedged: the first
        would cost an engine twice, the second would run twice.
        """
        kept = self._kept.get(service)
        if not idempotent or kept is None or len(kept) < HEDGE_MIN_SAMPLES:
            return None
        ordered: list[float] = []
        for latency_s in kept:
            bisect.insort(ordered, latency_s)
        return ordered[int(HEDGE_QUANTILE * (len(ordered) - 1))]


class RetryDecision(typing.NamedTuple):
    """Whether to try again, when, and why; kept for ``explain``."""

    retry: bool
    wait_s: float
    reason: str
    attempt: int
    verdict: str


class RetryPolicy:
    """The policy on repeated tries of one entry process."""

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self.budget = RetryBudget()
        self.hedge_delays = HedgeDelays()
        self.ejector = ejection.Ejector(seed)

    def backoff_s(self, attempt: int) -> float:
        """Return a random wait before the attempt; the first retry is 1.

        Full jitter: callers that failed together do not return together.
        """
        most_s = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2.0**attempt)
        return self._random.uniform(0.0, most_s)

    def decide(
        self,
        error: errors.UpstreamError,
        customer: str,
        upstream: str,
        attempt: int,
        repeatable: bool,
        left_s: float,
    ) -> RetryDecision:
        """Return whether to try again after error on the given upstream.

        attempt counts the tries made. An unrepeatable request is tried
        again only if it certainly did not run.
        """
        wait_s = self.backoff_s(attempt)
        not_run = error.verdict is verdicts.Verdict.NOT_RUN
        reason = 'allowed'
        if not repeatable and not not_run:
            reason = 'may-have-run'
        elif attempt >= MAX_ATTEMPTS:
            reason = 'attempts'
        elif wait_s >= left_s:
            reason = 'deadline'
        elif not self.budget.try_spend(customer, upstream):
            reason = 'budget'
        retry = reason == 'allowed'
        return RetryDecision(
            retry, wait_s, reason, attempt, error.verdict.name
        )


def make_retry_policy(seed: int = 0) -> RetryPolicy:
    """Return the policy of one entry process."""
    return RetryPolicy(seed)
