"""Seal usage windows and report them to the platform, once each."""

import contextlib
import typing

import msgspec
import prometheus_client

from gentianstair import errors
from gentianstair.control import lease
from gentianstair.entry import usage
from gentianstair.generated import messages
from gentianstair.store import confirmed_write
from gentianstair.store import store as stores
from gentianstair.store import usage_report_sender
from gentianstair.util import clock as clocks
from gentianstair.util import usage_rows

PURPOSE = 'usage'
# An entry's counts are deleted after they stayed unchanged for this time, if
# all of them are sealed.
DELETE_UNCHANGED_AFTER_S = 3600.0
# Reported seals kept for operators to inspect; older ones are deleted.
MAX_KEPT_SEALS = 1500
# Last seals that a sealer can write again; far more windows than a store that
# comes back from a copy loses.
MAX_KNOWN_SEALS = 20

WINDOWS_SEALED = prometheus_client.Counter(
    'gentianstair_usage_windows_sealed', 'Windows whose figures are final'
)
WINDOWS_REPORTED = prometheus_client.Counter(
    'gentianstair_usage_windows_reported', 'Windows the platform took'
)
LATE_ROWS = prometheus_client.Counter(
    'gentianstair_usage_late_rows', 'Rows that missed their own window'
)


class SealTiming(typing.NamedTuple):
    """Length of a window, delay from its end to its seal, report timeout."""

    window_s: float
    seal_delay_s: float
    report_lifetime_s: float


class Sealer:
    """Seals and reports usage windows.

    A window's seal object holds its final counts. Only the first sealer can
    create it, and reports are made from it alone, so two sealers that both
    believe that they hold the lease report the same counts.
    """

    def __init__(
        self,
        store: stores.Store,
        sender: usage_report_sender.Sender,
        wall_clock: usage.WallClock,
        clock: clocks.Clock,
        timing: SealTiming,
    ) -> None:
        self._store = store
        self._sender = sender
        self._wall_clock = wall_clock
        self._clock = clock
        self._timing = timing
        self._unchanged_since: dict[str, tuple[int, float]] = {}
        # The last seals, by window, which the store may lose.
        self._known_seals: dict[int, messages.SealValue] = {}

    async def run_once(self, authority: lease.Authority) -> None:
        """Seal and report the windows that are due.

        Raise StoreError, UpstreamError or LeaseLostError.
        """
        authority.check()
        version, progress = await self._load_progress()
        if progress is None:
            return
        sealed = await self._seal_due(authority, progress)
        await self._report_due(authority, version, progress, sealed)

    async def _load_progress(
        self,
    ) -> tuple[int, messages.UsageProgressValue | None]:
        """Return the progress; create it at the first counted window."""
        kind, name = usage.PROGRESS_KIND, usage.PROGRESS_NAME
        item = await self._store.get(kind, name, purpose=PURPOSE)
        if item.value is not None:
            found = msgspec.convert(item.value, messages.UsageProgressValue)
            return item.version, found
        listing = await self._store.list(usage.KIND, purpose=PURPOSE)
        windows = [
            row['window']
            for item in listing.objects
            for row in item.value['rows']
        ]
        if not windows:
            return 0, None
        first = min(windows)
        value: messages.UsageProgressValue = {
            'first': first,
            'sealed': first - 1,
            'reported': first - 1,
            'nonce': confirmed_write.new_nonce(),
        }
        return await self._write_progress(value, 0), value

    async def _write_progress(
        self, value: messages.UsageProgressValue, version: int
    ) -> int:
        return await confirmed_write.put(
            self._store,
            usage.PROGRESS_KIND,
            usage.PROGRESS_NAME,
            typing.cast(stores.Value, value),
            version,
            purpose=PURPOSE,
        )

    async def _seal_due(
        self,
        authority: lease.Authority,
        progress: messages.UsageProgressValue,
    ) -> int:
        """Seal all windows that are due; return the last sealed window."""
        sealable_until_s = self._wall_clock() - self._timing.seal_delay_s
        last_due = int(sealable_until_s // self._timing.window_s) - 1
        sealed = progress['sealed']
        previous = await self._get_seal(sealed)
        if previous is None and sealed >= progress['first']:
            # Without the previous seal all earlier counts would be late.
            raise errors.StoreUnavailableError(
                f'the seal of window {sealed} is not in the store'
            )
        while sealed < last_due:
            authority.check()
            seal = await self._get_seal(sealed + 1)
            if seal is None:
                seal = await self._create_seal(sealed + 1, previous)
            self._remember(seal)
            sealed, previous = sealed + 1, seal
        return sealed

    def _remember(self, seal: messages.SealValue) -> None:
        window = seal['window']
        self._known_seals[window] = seal
        self._known_seals.pop(window - MAX_KNOWN_SEALS, None)

    async def _get_seal(self, window: int) -> messages.SealValue | None:
        item = await self._store.get(
            usage.SEAL_KIND, str(window), purpose=PURPOSE
        )
        if item.value is None:
            return None
        return msgspec.convert(item.value, messages.SealValue)

    async def _create_seal(
        self, window: int, previous: messages.SealValue | None
    ) -> messages.SealValue:
        """Create the seal from the counts, or return the existing one.

        One that the store lost is written again as it was: it may have been
        reported.
        """
        listing = await self._store.list(usage.KIND, purpose=PURPOSE)
        if previous is not None and listing.revision < previous['revision']:
            raise errors.StoreUnavailableError(
                'the listing of counts is older than the previous seal'
            )
        seal = self._known_seals.get(window)
        if seal is None:
            seal = make_seal(window, previous, listing)
        try:
            await confirmed_write.put(
                self._store,
                usage.SEAL_KIND,
                str(window),
                typing.cast(stores.Value, seal),
                0,
                purpose=PURPOSE,
            )
        except errors.StoreConflictError:
            # The seal that exists is final. Counts that are only in this one
            # become late in the next window.
            other = await self._get_seal(window)
            if other is None:
                raise
            return other
        WINDOWS_SEALED.inc()
        LATE_ROWS.inc(len(seal['late']))
        await self._delete_stale_counts(listing, seal)
        return seal

    async def _report_due(
        self,
        authority: lease.Authority,
        version: int,
        progress: messages.UsageProgressValue,
        sealed: int,
    ) -> None:
        """Report sealed windows in order and store the progress."""
        reported = progress['reported']
        while reported < sealed:
            seal = await self._get_seal(reported + 1)
            if seal is None:
                raise errors.StoreUnavailableError(
                    f'the seal of window {reported + 1} is not in the store'
                )
            await self._report(authority, seal)
            reported += 1
            await self._delete_seal(reported - MAX_KEPT_SEALS)
            progress = {
                'first': progress['first'],
                'sealed': max(progress['sealed'], reported),
                'reported': reported,
                'nonce': confirmed_write.new_nonce(),
            }
            version = await self._write_progress(progress, version)

    async def _delete_seal(self, window: int) -> None:
        """Delete a reported seal, if it exists."""
        kind, name = usage.SEAL_KIND, str(window)
        item = await self._store.get(kind, name, purpose=PURPOSE)
        if item.value is None:
            return
        with contextlib.suppress(errors.StoreError):
            await self._store.delete(kind, name, item.version, purpose=PURPOSE)

    async def _report(
        self, authority: lease.Authority, seal: messages.SealValue
    ) -> None:
        body = {
            'window': seal['window'],
            'start_s': seal['window'] * self._timing.window_s,
            'window_s': self._timing.window_s,
            'token': f'usage-{seal["window"]}',
            'rows': seal['rows'],
            'late': seal['late'],
            'holder': authority.holder,
            'epoch': authority.epoch,
        }

        def check() -> float:
            return authority.check(self._timing.report_lifetime_s)

        await self._sender.send(body, check)
        WINDOWS_REPORTED.inc()

    async def _delete_stale_counts(
        self, listing: stores.Listing, seal: messages.SealValue
    ) -> None:
        """Delete sealed counts that entries no longer update."""
        now_s = self._clock()
        for item in listing.objects:
            since = self._unchanged_since.get(item.name)
            if since is None or since[0] != item.version:
                self._unchanged_since[item.name] = (item.version, now_s)
                continue
            accounted = seal['accounted'].get(item.name, [])
            if (
                now_s - since[1] < DELETE_UNCHANGED_AFTER_S
                or item.value['rows'] != accounted
            ):
                continue
            try:
                await self._store.delete(
                    usage.KIND, item.name, item.version, purpose=PURPOSE
                )
            except errors.StoreError:
                continue
            del self._unchanged_since[item.name]


def make_seal(
    window: int, previous: messages.SealValue | None, listing: stores.Listing
) -> messages.SealValue:
    """Return the seal of a window, given the seal of the previous one.

    Counts added to earlier windows since the previous seal are late.
    """
    accounted_before = previous['accounted'] if previous is not None else {}
    rows: list[messages.UsageRow] = []
    late: list[messages.UsageRow] = []
    accounted: dict[str, list[messages.UsageRow]] = {}
    for item in listing.objects:
        value = msgspec.convert(item.value, messages.UsageValue)
        known = usage_rows.sum_by_key(accounted_before.get(item.name, []))
        counted = [row for row in value['rows'] if row['window'] <= window]
        for row in counted:
            added = usage_rows.subtract(row, known.get(usage_rows.key_of(row)))
            if usage_rows.is_empty(added):
                continue
            (rows if row['window'] == window else late).append(added)
        accounted[item.name] = counted
    return {
        'window': window,
        'revision': listing.revision,
        'rows': sorted(
            usage_rows.sum_by_key(rows).values(), key=usage_rows.key_of
        ),
        'late': sorted(
            usage_rows.sum_by_key(late).values(), key=usage_rows.key_of
        ),
        'accounted': accounted,
        'nonce': confirmed_write.new_nonce(),
    }


def make_sealer(
    store: stores.Store,
    sender: usage_report_sender.Sender,
    wall_clock: usage.WallClock,
    clock: clocks.Clock,
    timing: SealTiming,
) -> Sealer:
    """Return a sealer; wall_clock returns seconds since 1970."""
    return Sealer(store, sender, wall_clock, clock, timing)
