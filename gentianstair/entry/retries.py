"""Decide whether and when a failed try may be repeated or hedged."""

import bisect
import collections
import random
import typing

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import ejection

# Retries and hedges together are at most this share of fresh requests.
RETRY_SHARE = 0.08
# Saved-up retries: enough for a single replica's loss, and few enough that
# an outage's end is not met by a wave.
MOST_SAVED = 10.0
FIRST_SAVED = 3.0
FIRST_BACKOFF_S = 0.05
LONGEST_BACKOFF_S = 5.0
MOST_ATTEMPTS = 4
# A look-up is hedged once it took longer than this share of the others.
HEDGE_QUANTILE = 0.95
HEDGE_KEPT = 200
HEDGE_LEAST_KNOWN = 20


class _Bucket:
    """Saved retries; a fresh request adds a share of one."""

    __slots__ = ('saved',)

    def __init__(self) -> None:
        self.saved = FIRST_SAVED

    def earn(self) -> None:
        self.saved = min(MOST_SAVED, self.saved + RETRY_SHARE)


class Budget:
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

    def fresh(self, customer: str, upstream: str) -> None:
        """Count a first try; call it once a request."""
        for bucket in self._buckets(customer, upstream):
            bucket.earn()

    def allow(self, customer: str, upstream: str) -> bool:
        """Pay for one more try after one at upstream; False if too dear."""
        buckets = self._buckets(customer, upstream)
        if min(bucket.saved for bucket in buckets) < 1.0:
            return False
        for bucket in buckets:
            bucket.saved -= 1.0
        return True

    def forget(self, upstream: str) -> None:
        """Drop the bucket of an upstream that left."""
        self._upstreams.pop(upstream, None)


class Hedges:
    """Learn when a second copy of an idempotent look-up pays."""

    def __init__(self) -> None:
        self._kept: dict[str, collections.deque[float]] = {}

    def report(self, service: str, latency_s: float) -> None:
        """Take the latency of a finished look-up."""
        kept = self._kept.setdefault(
            service, collections.deque(maxlen=HEDGE_KEPT)
        )
        kept.append(latency_s)

    def delay_s(self, service: str, idempotent: bool) -> float | None:
        """Return when to send a second copy; None is never.

        Generations and unrepeatable calls are never hedged: the first
        would cost an engine twice, the second would run twice.
        """
        kept = self._kept.get(service)
        if not idempotent or kept is None or len(kept) < HEDGE_LEAST_KNOWN:
            return None
        ordered: list[float] = []
        for latency_s in kept:
            bisect.insort(ordered, latency_s)
        return ordered[int(HEDGE_QUANTILE * (len(ordered) - 1))]


class Choice(typing.NamedTuple):
    """Whether to try again, when, and why; kept for ``explain``."""

    retry: bool
    wait_s: float
    reason: str
    attempt: int
    verdict: str


class Retries:
    """The policy on repeated tries of one entry process."""

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self.budget = Budget()
        self.hedges = Hedges()
        self.ejector = ejection.Ejector(seed)

    def backoff_s(self, attempt: int) -> float:
        """Return a random wait before the attempt; the first retry is 1.

        Full jitter: callers that failed together do not return together.
        """
        most_s = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2.0**attempt)
        return self._random.uniform(0.0, most_s)

    def choose(
        self,
        error: errors.UpstreamError,
        customer: str,
        upstream: str,
        attempt: int,
        repeatable: bool,
        left_s: float,
    ) -> Choice:
        """Return whether to try again after error on the given upstream.

        attempt counts the tries made. An unrepeatable request is tried
        again only if it certainly did not run.
        """
        wait_s = self.backoff_s(attempt)
        not_run = error.verdict is verdicts.Verdict.NOT_RUN
        reason = 'allowed'
        if not repeatable and not not_run:
            reason = 'may-have-run'
        elif attempt >= MOST_ATTEMPTS:
            reason = 'attempts'
        elif wait_s >= left_s:
            reason = 'deadline'
        elif not self.budget.allow(customer, upstream):
            reason = 'budget'
        retry = reason == 'allowed'
        return Choice(retry, wait_s, reason, attempt, error.verdict.name)


def make_retries(seed: int = 0) -> Retries:
    """Return the policy of one entry process."""
    return Retries(seed)
