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
        # The counts of the last windows as they were sealed, and the store's
        # era in which they are known to be there.
        self._sealed: dict[int, dict[str, int]] = {}
        self._sealed_era = 0
        # Windows up to this one may have been reported by another process
        # whose seals are lost.
        self._last_lost_window = -1

    async def run(self, authority: lease.Authority) -> None:
        """Report windows as they become due, until authority ends."""
        self._last_lost_window = self._latest_lost_window(authority)
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

    def _latest_lost_window(self, authority: lease.Authority) -> int:
        """Return the last window whose seal may be lost, -1 for none.

        Nobody has held the lease since the store came back from a copy, so
        the holder before may have reported windows after the copy was made.
        """
        if not authority.follows_past_era:
            return -1
        window = self._usage_counter.current_window()
        while self._wall_clock() < self._due_s(window):
            window -= 1
        return window

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
        await self._restore_seals()
        while self._wall_clock() >= self._due_s(self._next_window):
            window = self._next_window
            counts = await self._seal(window)
            if counts is None:
                loguru.logger.bind(
                    event=events.WINDOW_NOT_REPORTED, window=window
                ).warning('a window may have been reported by another')
                self._next_window = window + 1
                continue
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

    async def _restore_seals(self) -> None:
        """Write seals again that the store has lost; raise StoreError."""
        era = self._store.era
        if era == self._sealed_era:
            return
        for window, counts in self._sealed.items():
            if await self._read_seal(window) is None:
                await self._write_seal(window, counts)
        self._sealed_era = era

    async def _seal(self, window: int) -> dict[str, int] | None:
        """Return a window's counts; seal them unless they are sealed.

        Return None if another process may have reported others.
        """
        counts = await self._read_seal(window)
        if counts is None:
            if window not in self._sealed and (
                window <= self._last_lost_window
            ):
                return None
            counts = await self._make_seal(window)
        self._sealed[window] = counts
        self._sealed.pop(window - MAX_KEPT_SEALS, None)
        return counts

    async def _make_seal(self, window: int) -> dict[str, int]:
        """Seal a window's counts, and return what is sealed."""
        known = self._sealed.get(window)
        if known is not None:
            await self._write_seal(window, known)
            return known
        counts = usage_counter.window_total(
            await self._members.usage(), window
        )
        try:
            await self._write_seal(window, counts)
        except errors.StoreConflictError:
            other = await self._read_seal(window)
            if other is None:
                raise
            return other
        return counts

    async def _write_seal(self, window: int, counts: dict[str, int]) -> None:
        value = {'counts': counts, 'nonce': confirmed_write.new_nonce()}
        await confirmed_write.put(
            self._store, SEAL_KIND, str(window), value, 0, purpose=PURPOSE
        )

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
