"""Do what one process of the fleet does at a time, under a lease.

The holder reports the usage of each window. What it reports is first created
as an object: whoever comes after reports the same figures again.
"""

import typing

import loguru
import msgspec
import trio

from gentianstair import errors
from gentianstair.control import lease
from gentianstair.gateway import members as memberships
from gentianstair.gateway import usage
from gentianstair.generated import events
from gentianstair.platform import cloud as clouds
from gentianstair.store import settled
from gentianstair.store import store as stores

SCOPE = 'duties'
SEAL_KIND = 'usage-seal'
PURPOSE = 'usage'
LOOK_S = 0.5
# Share of the time allowed for a report after which the figures are sealed.
# Before it, processes that could not reach the store for some seconds still
# add their counts; after it, a new holder still has time to report.
SEAL_AT = 0.5
# How long after a beat was due its counts are there, with a margin.
WRITTEN_S = 1.0
# Left of the time allowed for sealing and reporting.
REPORT_S = 2.5
KEPT_SEALS = 8
REST_MARGIN_S = 0.5


class Terms(typing.NamedTuple):
    """How long usage windows are, and when reports are due."""

    window_s: float
    late_s: float


class UsageReporter:
    """Seals windows and reports them, each with one set of figures."""

    def __init__(
        self,
        store: stores.Store,
        members: memberships.Members,
        cloud: clouds.Cloud,
        counts: usage.Counts,
        terms: Terms,
        wall: typing.Callable[[], float],
    ) -> None:
        self._store = store
        self._members = members
        self._cloud = cloud
        self._counts = counts
        self._terms = terms
        self._wall = wall
        # Windows from the one in which this process started are its duty;
        # earlier ones have been reported by another.
        self._next = counts.now()

    async def run(self, authority: lease.Authority) -> None:
        """Report windows as they become due, while authority stands."""
        late = int(self._terms.late_s // self._terms.window_s) + 1
        self._next = max(self._next, self._counts.now() - late)
        while True:
            authority.check()
            try:
                await self._report_due(authority)
            except (errors.StoreError, errors.UpstreamError) as error:
                loguru.logger.bind(
                    event=events.REPORT_FAILED, window=self._next
                ).warning('a usage report failed: {}', error)
            await trio.sleep(LOOK_S)

    def _due_s(self, window: int) -> float:
        """Return when a window is sealed.

        In a large fleet processes write their counts less often, and the
        last ones of the window must be there.
        """
        end_s = (window + 1) * self._terms.window_s
        written_s = self._members.beat_s + WRITTEN_S
        latest_s = self._terms.late_s - REPORT_S
        return end_s + max(
            SEAL_AT * self._terms.late_s, min(written_s, latest_s)
        )

    async def _report_due(self, authority: lease.Authority) -> None:
        while self._wall() >= self._due_s(self._next):
            window = self._next
            counts = await self._sealed(window)
            await self._cloud.report_usage(authority, window, counts)
            loguru.logger.bind(
                event=events.USAGE_REPORTED,
                window=window,
                epoch=authority.epoch,
            ).info('reported {} requests', sum(counts.values()))
            self._next = window + 1
            await self._drop_old(window - KEPT_SEALS)
            await self._members.forget_old()

    async def _sealed(self, window: int) -> dict[str, int]:
        """Return a window's figures; the first that sealed it decides."""
        found = await self._seal(window)
        if found is not None:
            return found
        records = await self._members.records()
        parts = [memberships.counts_of(record) for record in records]
        counts = usage.total(parts, window)
        value = {'counts': counts, 'nonce': settled.new_nonce()}
        try:
            await settled.put(
                self._store, SEAL_KIND, str(window), value, 0, purpose=PURPOSE
            )
        except errors.StoreConflictError:
            other = await self._seal(window)
            if other is None:
                raise
            return other
        return counts

    async def _seal(self, window: int) -> dict[str, int] | None:
        item = await self._store.get(SEAL_KIND, str(window), purpose=PURPOSE)
        if item.value is None:
            return None
        try:
            return msgspec.convert(item.value['counts'], dict[str, int])
        except (KeyError, TypeError, msgspec.ValidationError) as error:
            raise errors.StoreUnavailableError(f'seal {window}: {error}')

    async def _drop_old(self, window: int) -> None:
        item = await self._store.get(SEAL_KIND, str(window), purpose=PURPOSE)
        if item.value is not None:
            await self._store.delete(
                SEAL_KIND, str(window), item.version, purpose=PURPOSE
            )


def lease_terms(lease_s: float) -> lease.LeaseTiming:
    """Return the lease's terms from the time in which holders may not turn.

    A holder acts for less than lease_s after its last renewal and its
    successor waits for longer, so two never act within it by turns.
    """
    return lease.LeaseTiming(
        duration_s=lease_s,
        margin_s=0.1 * lease_s,
        cooldown_s=lease_s + REST_MARGIN_S,
    )


def watch_s(lease_s: float) -> float:
    """Return how long a new process rests and then watches a lease."""
    terms = lease_terms(lease_s)
    return terms.cooldown_s + terms.duration_s + terms.margin_s
