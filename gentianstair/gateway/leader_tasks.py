"""Report usage from the one process that holds the leader lease.

The counts of each window are sealed in the store before they are reported, so
that a later leader that repeats the report sends the same counts.
"""

import typing

import loguru
import msgspec
import trio

from gentianstair import errors
from gentianstair.control import lease
from gentianstair.gateway import members as memberships
from gentianstair.gateway import usage_counter
from gentianstair.generated import events
from gentianstair.platform import cloud_client
from gentianstair.store import confirmed_write
from gentianstair.store import store as stores

# The lease's name in the store.
SCOPE = 'duties'
SEAL_KIND = 'usage-seal'
PURPOSE = 'usage'
# Interval at which due windows and lease candidates are checked.
POLL_INTERVAL_S = 0.5
# Share of the time allowed for a report after which the counts are sealed. It
# leaves time for processes that were cut off from the store to add their
# counts, and for a new leader to report.
SEAL_SHARE = 0.5
# Margin after a heartbeat is due until its counts are in the store.
COUNTS_WRITTEN_S = 1.0
# Time reserved for sealing and reporting.
REPORT_RESERVE_S = 2.5
# Number of reported windows whose seals are kept.
MAX_KEPT_SEALS = 8
# The cooldown after a leader's lease is its duration plus this margin.
COOLDOWN_MARGIN_S = 0.5


class ReportTiming(typing.NamedTuple):
    """The length of usage windows, and the time allowed for reports."""

    window_s: float
    # From the end of the window.
    max_delay_s: float


class UsageReporter:
    """Seals the counts of each window once, and reports them."""

    def __init__(
        self,
        store: stores.Store,
        members: memberships.Members,
        cloud: cloud_client.CloudClient,
        counter: usage_counter.UsageCounter,
        timing: ReportTiming,
        wall_clock: typing.Callable[[], float],
    ) -> None:
        self._store = store
        self._members = members
        self._cloud = cloud
        self._usage_counter = counter
        self._timing = timing
        self._wall_clock = wall_clock
        self._first_own_window = counter.current_window()
        self._next_window = 0

    async def run(self, authority: lease.Authority) -> None:
        """Report windows as they become due, until authority ends."""
        overdue = int(self._timing.max_delay_s // self._timing.window_s) + 1
        self._next_window = max(
            self._next_window, self._usage_counter.current_window() - overdue
        )
        while True:
            authority.check()
            try:
                await self._report_due(authority)
            except (errors.StoreError, errors.UpstreamError) as error:
                loguru.logger.bind(
                    event=events.REPORT_FAILED, window=self._next_window
                ).warning('a usage report failed: {}', error)
            await trio.sleep(POLL_INTERVAL_S)

    def _due_s(self, window: int) -> float:
        """Return when a window is sealed.

        The heartbeats with its last counts come first. They are less
        frequent in a large fleet.
        """
        end_s = (window + 1) * self._timing.window_s
        written_s = self._members.heartbeat_interval_s + COUNTS_WRITTEN_S
        latest_s = self._timing.max_delay_s - REPORT_RESERVE_S
        return end_s + max(
            SEAL_SHARE * self._timing.max_delay_s, min(written_s, latest_s)
        )

    async def _report_due(self, authority: lease.Authority) -> None:
        while self._wall_clock() >= self._due_s(self._next_window):
            window = self._next_window
            counts = await self._seal(window)
            if not counts and window < self._first_own_window:
                # The fleet may not have run yet.
                self._next_window = window + 1
                continue
            await self._cloud.report_usage(authority, window, counts)
            loguru.logger.bind(
                event=events.USAGE_REPORTED,
                window=window,
                epoch=authority.epoch,
            ).info('reported {} requests', sum(counts.values()))
            self._next_window = window + 1
            await self._delete_seal(window - MAX_KEPT_SEALS)
            await self._members.delete_expired()

    async def _seal(self, window: int) -> dict[str, int]:
        """Return a window's counts; seal them unless they are sealed."""
        known = await self._read_seal(window)
        if known is not None:
            return known
        counts = usage_counter.window_total(
            await self._members.usage(), window
        )
        value = {'counts': counts, 'nonce': confirmed_write.new_nonce()}
        try:
            await confirmed_write.put(
                self._store, SEAL_KIND, str(window), value, 0, purpose=PURPOSE
            )
        except errors.StoreConflictError:
            other = await self._read_seal(window)
            if other is None:
                raise
            return other
        return counts

    async def _read_seal(self, window: int) -> dict[str, int] | None:
        item = await self._store.get(SEAL_KIND, str(window), purpose=PURPOSE)
        if item.value is None:
            return None
        try:
            return msgspec.convert(item.value['counts'], dict[str, int])
        except (KeyError, TypeError, msgspec.ValidationError) as error:
            raise errors.StoreUnavailableError(f'seal {window}: {error}')

    async def _delete_seal(self, window: int) -> None:
        item = await self._store.get(SEAL_KIND, str(window), purpose=PURPOSE)
        if item.value is not None:
            await self._store.delete(
                SEAL_KIND, str(window), item.version, purpose=PURPOSE
            )


def lease_timing(lease_s: float) -> lease.LeaseTiming:
    """Return the timing of the leader lease.

    A leader acts for less than lease_s after its last renewal, and its
    successor waits for longer, so that two leaders never alternate within
    lease_s.
    """
    return lease.LeaseTiming(
        duration_s=lease_s,
        margin_s=0.1 * lease_s,
        cooldown_s=lease_s + COOLDOWN_MARGIN_S,
    )


def takeover_delay_s(lease_s: float) -> float:
    """Return how long a new process waits before it can take the lease."""
    timing = lease_timing(lease_s)
    return timing.cooldown_s + timing.duration_s + timing.margin_s
