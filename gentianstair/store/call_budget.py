"""Keep this process's calls of the store within a budget, by priority."""

import contextlib
import typing

import prometheus_client

from gentianstair import errors
from gentianstair.store import store
from gentianstair.util import clock as clock_module

# Purposes by priority: what keeps authority goes first, what only informs
# goes last. A purpose that is not named here counts as status.
PRIORITIES = ('lease', 'claim', 'usage', 'config', 'status')
_ALIASES = {
    'order': 'lease',
    'upstream': 'lease',
    'outcome': 'claim',
    'audit': 'config',
    'operator': 'config',
}
# Share of the burst that a priority leaves to those above it, a step each.
RESERVE_STEP = 0.15
# Seconds of the budget that may be spent at once.
BURST_S = 2.0
# Share of the budget that each priority gets whatever the others take.
FLOOR_SHARE = 0.04
# How the rate falls when the store refuses or fails calls, at most once in
# BACKOFF_S, and rises again with each second without.
BACKOFF = 0.5
BACKOFF_S = 1.0
LOWEST_SHARE = 0.02
RISE_PER_S = 0.05

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
    first = purpose.partition('-')[0]
    first = _ALIASES.get(first, first)
    return first if first in PRIORITIES else 'status'


class TokenBucket:
    """A token bucket from which each priority may draw down to its reserve.

    A floor of its own keeps the least priority from starving for good: a
    node whose claims use up the budget would else lose its watch, grow
    stale and refuse the very callers it made the claims for.
    """

    def __init__(self, rate_per_s: float, now_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = max(1.0, rate_per_s * BURST_S)
        self._tokens = self._burst
        self._floors = dict.fromkeys(PRIORITIES, 1.0)
        self._at_s = now_s

    def take(self, name: str, share: float, now_s: float) -> bool:
        """Take a token for a priority, if it may have one."""
        gone_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        gained = gone_s * self._rate_per_s * share
        self._tokens = min(self._burst, self._tokens + gained)
        for other in PRIORITIES:
            floor = self._floors[other] + gained * FLOOR_SHARE
            self._floors[other] = min(1.0, floor)
        reserve = self._burst * RESERVE_STEP * PRIORITIES.index(name)
        if self._tokens - 1.0 >= min(reserve, self._burst - 1.0):
            self._tokens -= 1.0
            return True
        if self._floors[name] >= 1.0:
            self._floors[name] -= 1.0
            self._tokens = max(-self._burst, self._tokens - 1.0)
            return True
        return False


class BudgetStore(store.Store):
    """A store that counts every call and refuses those over budget."""

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
        self._share = 1.0
        self._share_at_s = now_s
        self._backed_off_s = now_s - BACKOFF_S

    def _current_share(self) -> float:
        """Return the share of the budget in use, which rises with time."""
        now_s = self._clock()
        risen = RISE_PER_S * (now_s - self._share_at_s)
        self._share = min(1.0, self._share + risen)
        self._share_at_s = now_s
        RATE.set(self._share)
        return self._share

    def _back_off(self) -> None:
        now_s = self._clock()
        share = self._current_share()
        if now_s - self._backed_off_s >= BACKOFF_S:
            self._backed_off_s = now_s
            self._share = max(LOWEST_SHARE, share * BACKOFF)

    def _enter(self, bucket: TokenBucket, call: str, purpose: str) -> None:
        name = priority(purpose)
        if not bucket.take(name, self._current_share(), self._clock()):
            CALLS.labels(name, call, 'over_budget').inc()
            raise errors.BudgetError(f'{call} for {purpose}: over budget')

    @contextlib.contextmanager
    def _counted(
        self, bucket: TokenBucket, call: str, purpose: str
    ) -> typing.Iterator[None]:
        """Count one call by its outcome; refuse it when over budget."""
        self._enter(bucket, call, purpose)
        outcome = 'failed'
        try:
            yield
            outcome = 'ok'
        except errors.StoreUnavailableError:
            # The store refuses calls past its budget and has outages; both
            # call for fewer calls, and neither is made better by more.
            outcome = 'unavailable'
            self._back_off()
            raise
        except errors.StoreUnknownError:
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
    """Return inner behind the budget that the settings give."""
    return BudgetStore(
        inner, clock, settings.store_reads_per_s, settings.store_writes_per_s
    )
