"""Limit the rate of this process's store calls, by priority."""

import contextlib
import typing

import prometheus_client

from gentianstair import errors
from gentianstair.store import store
from gentianstair.util import clock as clock_module

# Priority classes, highest first: lease renewals must not wait, status can.
# A purpose that is not listed here or in _ALIASES has priority status.
PRIORITIES = ('lease', 'claim', 'usage', 'config', 'status')
_ALIASES = {
    'order': 'lease',
    'upstream': 'lease',
    'outcome': 'claim',
    'audit': 'config',
    'operator': 'config',
}
# A priority leaves this share of the capacity, times its index in PRIORITIES,
# to the higher ones.
RESERVE_SHARE_PER_PRIORITY = 0.15
# Capacity of a token bucket, in seconds of its rate.
BURST_S = 2.0
# Share of the rate that is guaranteed to each priority.
GUARANTEED_SHARE = 0.04
# A failed call multiplies the rate by BACKOFF_FACTOR, at most once in
# BACKOFF_INTERVAL_S and down to MIN_RATE_SHARE. The rate then rises linearly
# to the configured one.
BACKOFF_FACTOR = 0.5
BACKOFF_INTERVAL_S = 1.0
MIN_RATE_SHARE = 0.02
RATE_SHARE_RISE_PER_S = 0.05

CALLS = prometheus_client.Counter(
    'gentianstair_store_calls',
    'Calls of the store, by purpose, kind of call and outcome.',
    ['purpose', 'call', 'outcome'],
)
WAITING = prometheus_client.Gauge(
    'gentianstair_store_waiting_watches',
    'Watches that wait at the store now, each of which counts as a call.',
    ['purpose'],
)
RATE = prometheus_client.Gauge(
    'gentianstair_store_rate_share',
    'Share of the budget in use, lowered while the store refuses calls.',
)


def priority(purpose: str) -> str:
    """Return the priority class of a purpose.

    >>> priority('lease'), priority('config-watch'), priority('vm-list')
    ('lease', 'config', 'status')
    """
    prefix = purpose.partition('-')[0]
    prefix = _ALIASES.get(prefix, prefix)
    return prefix if prefix in PRIORITIES else 'status'


class TokenBucket:
    """A token bucket that each priority may drain down to its reserve.

    Each priority also has a guaranteed rate, so that none starves: a node
    whose claims use up the bucket could otherwise not watch the store, and
    would reject callers because its configuration is stale.
    """

    def __init__(self, rate_per_s: float, now_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._capacity = max(1.0, rate_per_s * BURST_S)
        self._tokens = self._capacity
        self._guaranteed_tokens = dict.fromkeys(PRIORITIES, 1.0)
        self._refilled_at_s = now_s

    def take(self, priority_class: str, share: float, now_s: float) -> bool:
        """Take a token for a priority; return whether there was one."""
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = now_s
        refill = elapsed_s * self._rate_per_s * share
        self._tokens = min(self._capacity, self._tokens + refill)
        for each in PRIORITIES:
            tokens = self._guaranteed_tokens[each] + refill * GUARANTEED_SHARE
            self._guaranteed_tokens[each] = min(1.0, tokens)
        reserved = (
            self._capacity
            * RESERVE_SHARE_PER_PRIORITY
            * PRIORITIES.index(priority_class)
        )
        if self._tokens - 1.0 >= min(reserved, self._capacity - 1.0):
            self._tokens -= 1.0
            return True
        if self._guaranteed_tokens[priority_class] >= 1.0:
            self._guaranteed_tokens[priority_class] -= 1.0
            self._tokens = max(-self._capacity, self._tokens - 1.0)
            return True
        return False


class BudgetStore(store.Store):
    """A store that counts every call and rejects those over budget."""

    def __init__(
        self,
        inner: store.Store,
        clock: clock_module.Clock,
        reads_per_s: float,
        writes_per_s: float,
    ) -> None:
        self._inner = inner
        self._clock = clock
        now_s = clock()
        self._reads = TokenBucket(reads_per_s, now_s)
        self._writes = TokenBucket(writes_per_s, now_s)
        self._rate_share = 1.0
        self._rate_share_at_s = now_s
        self._backed_off_at_s = now_s - BACKOFF_INTERVAL_S

    @property
    def era(self) -> int:
        """See Store.era."""
        return self._inner.era

    def _current_rate_share(self) -> float:
        """Return the share of the configured rate that is allowed now."""
        now_s = self._clock()
        increase = RATE_SHARE_RISE_PER_S * (now_s - self._rate_share_at_s)
        self._rate_share = min(1.0, self._rate_share + increase)
        self._rate_share_at_s = now_s
        RATE.set(self._rate_share)
        return self._rate_share

    def _back_off(self) -> None:
        now_s = self._clock()
        share = self._current_rate_share()
        if now_s - self._backed_off_at_s >= BACKOFF_INTERVAL_S:
            self._backed_off_at_s = now_s
            self._rate_share = max(MIN_RATE_SHARE, share * BACKOFF_FACTOR)

    def _spend(self, bucket: TokenBucket, call: str, purpose: str) -> None:
        priority_class = priority(purpose)
        if not bucket.take(
            priority_class, self._current_rate_share(), self._clock()
        ):
            CALLS.labels(priority_class, call, 'over_budget').inc()
            raise errors.StoreRateLimitError(
                f'store {call} for {purpose}: call budget exceeded'
            )

    @contextlib.contextmanager
    def _counted(
        self, bucket: TokenBucket, call: str, purpose: str
    ) -> typing.Iterator[None]:
        """Count one call by its outcome; reject it when over budget."""
        self._spend(bucket, call, purpose)
        outcome = 'failed'
        try:
            yield
            outcome = 'ok'
        except errors.StoreUnavailableError:
            # The store is overloaded or down; retrying at the same rate
            # would make it worse.
            outcome = 'unavailable'
            self._back_off()
            raise
        except errors.StoreOutcomeUnknownError:
            outcome = 'unknown'
            self._back_off()
            raise
        except (errors.StoreConflictError, errors.WatchTooOldError):
            outcome = 'conflict'
            raise
        finally:
            CALLS.labels(priority(purpose), call, outcome).inc()

    async def get(
        self, kind: str, name: str, *, purpose: str
    ) -> store.StoredObject:
        """See Store.get."""
        with self._counted(self._reads, 'get', purpose):
            return await self._inner.get(kind, name, purpose=purpose)

    async def list(
        self, kind: str, *, purpose: str, prefix: str = ''
    ) -> store.Listing:
        """See Store.list."""
        with self._counted(self._reads, 'list', purpose):
            return await self._inner.list(kind, purpose=purpose, prefix=prefix)

    async def put(
        self,
        kind: str,
        name: str,
        value: store.Value,
        expect_version: int,
        *,
        purpose: str,
    ) -> int:
        """See Store.put."""
        with self._counted(self._writes, 'put', purpose):
            return await self._inner.put(
                kind, name, value, expect_version, purpose=purpose
            )

    async def delete(
        self, kind: str, name: str, expect_version: int, *, purpose: str
    ) -> int:
        """See Store.delete."""
        with self._counted(self._writes, 'delete', purpose):
            return await self._inner.delete(
                kind, name, expect_version, purpose=purpose
            )

    async def watch(
        self,
        kinds: typing.Sequence[str],
        after_revision: int,
        timeout_s: float,
        *,
        purpose: str,
    ) -> store.Listing:
        """See Store.watch."""
        waiting = WAITING.labels(priority(purpose))
        with self._counted(self._reads, 'watch', purpose):
            with waiting.track_inprogress():
                return await self._inner.watch(
                    kinds, after_revision, timeout_s, purpose=purpose
                )


def make_budget_store(
    inner: store.Store, settings: typing.Any, clock: clock_module.Clock
) -> BudgetStore:
    """Return inner with the rate limits from the settings."""
    return BudgetStore(
        inner, clock, settings.store_reads_per_s, settings.store_writes_per_s
    )
