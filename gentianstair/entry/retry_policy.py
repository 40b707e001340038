"""Decide whether and when a request is retried or hedged."""

import bisect
import collections
import random
import typing

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import ejection

# Retries and hedges allowed for each new request, in the long run.
RETRY_RATIO = 0.08
# Bounds of a token bucket; a retry takes one token. The maximum allows for
# the loss of one replica and limits the retry burst after an outage.
MAX_RETRY_TOKENS = 10.0
INITIAL_RETRY_TOKENS = 3.0
BASE_BACKOFF_S = 0.05
MAX_BACKOFF_S = 5.0
MAX_ATTEMPTS = 4
# Upstreams that may end under one request. One that loses its upstream twice
# has most likely ended both.
MAX_ENDED_UPSTREAMS = 2
# A call is hedged once it has taken longer than this quantile of the last
# HEDGE_MAX_SAMPLES latencies. With fewer than HEDGE_MIN_SAMPLES, none is.
HEDGE_QUANTILE = 0.95
HEDGE_MAX_SAMPLES = 200
HEDGE_MIN_SAMPLES = 20


class _TokenBucket:
    """A token bucket that each new request refills by RETRY_RATIO."""

    __slots__ = ('tokens',)

    def __init__(self) -> None:
        self.tokens = INITIAL_RETRY_TOKENS

    def refill(self) -> None:
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + RETRY_RATIO)


class RetryBudget:
    """Limit retries and hedges to a share of the new requests.

    A retry takes a token from the customer's bucket and one from the bucket
    of the upstream that failed, so neither a customer whose requests always
    fail nor a broken upstream can multiply the load.
    """

    def __init__(self) -> None:
        self._customer_buckets: dict[str, _TokenBucket] = {}
        self._upstream_buckets: dict[str, _TokenBucket] = {}

    def _buckets(
        self, customer: str, upstream: str
    ) -> tuple[_TokenBucket, ...]:
        return (
            self._customer_buckets.setdefault(customer, _TokenBucket()),
            self._upstream_buckets.setdefault(upstream, _TokenBucket()),
        )

    def record_request(self, customer: str, upstream: str) -> None:
        """Refill the buckets; call it once for each request."""
        for bucket in self._buckets(customer, upstream):
            bucket.refill()

    def try_spend(self, customer: str, upstream: str) -> bool:
        """Take the tokens for a retry or hedge; return False if one lacks."""
        buckets = self._buckets(customer, upstream)
        if min(bucket.tokens for bucket in buckets) < 1.0:
            return False
        for bucket in buckets:
            bucket.tokens -= 1.0
        return True

    def remove_upstream(self, upstream: str) -> None:
        """Remove the bucket of an upstream that no longer exists."""
        self._upstream_buckets.pop(upstream, None)


class HedgeDelays:
    """Delays after which an idempotent call is hedged, by service."""

    def __init__(self) -> None:
        self._latencies: dict[str, collections.deque[float]] = {}

    def record_latency(self, service: str, latency_s: float) -> None:
        """Record the latency of a finished call."""
        latencies = self._latencies.setdefault(
            service, collections.deque(maxlen=HEDGE_MAX_SAMPLES)
        )
        latencies.append(latency_s)

    def delay_s(self, service: str, idempotent: bool) -> float | None:
        """Return the delay before a second copy, or None for no hedge.

        Completions and non-idempotent calls are never hedged: a second
        completion would take up another engine, and a second call could
        have its effect twice.
        """
        latencies = self._latencies.get(service)
        if (
            not idempotent
            or latencies is None
            or len(latencies) < HEDGE_MIN_SAMPLES
        ):
            return None
        sorted_s: list[float] = []
        for latency_s in latencies:
            bisect.insort(sorted_s, latency_s)
        return sorted_s[int(HEDGE_QUANTILE * (len(sorted_s) - 1))]


class RetryDecision(typing.NamedTuple):
    """Whether to retry, when, and why; shown by ``explain``."""

    retry: bool
    wait_s: float
    reason: str
    attempt: int
    verdict: str


class RetryPolicy:
    """The retry, hedge and ejection state of one entry process."""

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self.budget = RetryBudget()
        self.hedge_delays = HedgeDelays()
        self.ejector = ejection.Ejector(seed)

    def backoff_s(self, attempt: int) -> float:
        """Return the wait before a retry; attempt is 1 for the first one.

        It is exponential backoff with full jitter, so that requests that
        failed together are not retried together.
        """
        max_wait_s = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2.0**attempt)
        return self._random.uniform(0.0, max_wait_s)

    def decide(
        self,
        error: errors.UpstreamError,
        customer: str,
        upstream: str,
        attempt: int,
        repeatable: bool,
        left_s: float,
        ended_upstreams: int = 0,
    ) -> RetryDecision:
        """Decide whether to retry after an error of the given upstream.

        attempt is the number of attempts made, ended_upstreams of those at
        which the connection broke. A request that is not repeatable is
        retried only if it has certainly not run.
        """
        wait_s = self.backoff_s(attempt)
        not_run = error.verdict is verdicts.Verdict.NOT_RUN
        reason = 'allowed'
        if not repeatable and not not_run:
            reason = 'may-have-run'
        elif attempt >= MAX_ATTEMPTS:
            reason = 'attempts'
        elif ended_upstreams >= MAX_ENDED_UPSTREAMS:
            reason = 'ended-upstreams'
        elif wait_s >= left_s:
            reason = 'deadline'
        elif not self.budget.try_spend(customer, upstream):
            reason = 'budget'
        retry = reason == 'allowed'
        return RetryDecision(
            retry, wait_s, reason, attempt, error.verdict.name
        )


def make_retry_policy(seed: int = 0) -> RetryPolicy:
    """Return the retry policy of one entry process."""
    return RetryPolicy(seed)
