"""Seal usage windows and report them to the platform, once each."""

import contextlib
import typing

import msgspec
import prometheus_client

from gentianstair import errors
from gentianstair.control import lease
from gentianstair.entry import usage
from gentianstair.generated import messages
from gentianstair.store import reports
from gentianstair.store import settled
from gentianstair.store import store as stores
from gentianstair.util import clock as clocks
from gentianstair.util import usage_rows

PURPOSE = 'usage'
# An object of an entry that is gone is deleted after it has been seen
# unchanged for so long, and all in it is sealed.
RETIRE_S = 3600.0
# Reported seals are kept for so many windows, for operators to look at.
KEEP_SEALS = 1500

SEALED = prometheus_client.Counter(
    'gentianstair_usage_windows_sealed', 'Windows whose figures are final'
)
REPORTED = prometheus_client.Counter(
    'gentianstair_usage_windows_reported', 'Windows the platform took'
)
LATE_ROWS = prometheus_client.Counter(
    'gentianstair_usage_late_rows', 'Rows that missed their own window'
)


class Terms(typing.NamedTuple):
    """How long windows are, and how soon after their end they are sealed."""

    window_s: float
    grace_s: float
    lifetime_s: float


class Sealer:
    """Seals and reports windows; right however many of them run.

    A window's figures are those of the object that was created first, and
    a report is made from that object only. So two that both believe they
    are in charge report the same figures; the lease keeps it to one.
    """

    def __init__(
        self,
        store: stores.Store,
        sender: reports.Sender,
        wall: usage.Wall,
        clock: clocks.Clock,
        terms: Terms,
    ) -> None:
        self._store = store
        self._sender = sender
        self._wall = wall
        self._clock = clock
        self._terms = terms
        self._seen_since: dict[str, tuple[int, float]] = {}

    async def run_once(self, authority: lease.Authority) -> None:
        """Seal and report what is due; raise StoreError and the like."""
        authority.check()
        version, progress = await self._progress()
        if progress is None:
            return
        sealed = await self._seal_due(authority, progress)
        await self._report_due(authority, version, progress, sealed)

    async def _progress(
        self,
    ) -> tuple[int, messages.UsageProgressValue | None]:
        """Return the progress; fix the first window if there is none."""
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
            'nonce': settled.new_nonce(),
        }
        return await self._write_progress(value, 0), value

    async def _write_progress(
        self, value: messages.UsageProgressValue, version: int
    ) -> int:
        return await settled.put(
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
        """Seal all windows that are over; return the last one sealed."""
        ended_s = self._wall() - self._terms.grace_s
        due = int(ended_s // self._terms.window_s) - 1
        sealed = progress['sealed']
        base = await self._seal(sealed)
        if base is None and sealed >= progress['first']:
            # Without the seal before, all of its figures would be late.
            raise errors.StoreUnavailableError('a seal is not visible')
        while sealed < due:
            authority.check()
            seal = await self._seal(sealed + 1)
            if seal is None:
                seal = await self._create_seal(sealed + 1, base)
            sealed, base = sealed + 1, seal
        return sealed

    async def _seal(self, window: int) -> messages.SealValue | None:
        item = await self._store.get(
            usage.SEAL_KIND, str(window), purpose=PURPOSE
        )
        if item.value is None:
            return None
        return msgspec.convert(item.value, messages.SealValue)

    async def _create_seal(
        self, window: int, base: messages.SealValue | None
    ) -> messages.SealValue:
        """Create the seal from the counts, or return another's."""
        listing = await self._store.list(usage.KIND, purpose=PURPOSE)
        if base is not None and listing.revision < base['revision']:
            raise errors.StoreUnavailableError('an answer from the past')
        seal = make_seal(window, base, listing)
        try:
            await settled.put(
                self._store,
                usage.SEAL_KIND,
                str(window),
                typing.cast(stores.Value, seal),
                0,
                purpose=PURPOSE,
            )
        except errors.StoreConflictError:
            # Another's figures stand; ours are thrown away. What only ours
            # had is late in the next window.
            other = await self._seal(window)
            if other is None:
                raise
            return other
        SEALED.inc()
        LATE_ROWS.inc(len(seal['late']))
        await self._retire(listing, seal)
        return seal

    async def _report_due(
        self,
        authority: lease.Authority,
        version: int,
        progress: messages.UsageProgressValue,
        sealed: int,
    ) -> None:
        """Report sealed windows in order, keeping the progress."""
        reported = progress['reported']
        while reported < sealed:
            seal = await self._seal(reported + 1)
            if seal is None:
                raise errors.StoreUnavailableError('a seal is not visible')
            await self._report(authority, seal)
            reported += 1
            await self._delete_seal(reported - KEEP_SEALS)
            progress = {
                'first': progress['first'],
                'sealed': max(progress['sealed'], reported),
                'reported': reported,
                'nonce': settled.new_nonce(),
            }
            version = await self._write_progress(progress, version)

    async def _delete_seal(self, window: int) -> None:
        """Delete a seal that is long reported; the next one replaced it."""
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
            'start_s': seal['window'] * self._terms.window_s,
            'window_s': self._terms.window_s,
            'token': f'usage-{seal["window"]}',
            'rows': seal['rows'],
            'late': seal['late'],
            'holder': authority.holder,
            'epoch': authority.epoch,
        }

        def check() -> float:
            return authority.check(self._terms.lifetime_s)

        await self._sender.send(body, check)
        REPORTED.inc()

    async def _retire(
        self, listing: stores.Listing, seal: messages.SealValue
    ) -> None:
        """Delete counts of entries long gone that are all sealed."""
        now_s = self._clock()
        for item in listing.objects:
            since = self._seen_since.get(item.name)
            if since is None or since[0] != item.version:
                self._seen_since[item.name] = (item.version, now_s)
                continue
            accounted = seal['accounted'].get(item.name, [])
            if now_s - since[1] < RETIRE_S or item.value['rows'] != accounted:
                continue
            try:
                await self._store.delete(
                    usage.KIND, item.name, item.version, purpose=PURPOSE
                )
            except errors.StoreError:
                continue
            del self._seen_since[item.name]


def make_seal(
    window: int, base: messages.SealValue | None, listing: stores.Listing
) -> messages.SealValue:
    """Return the figures of a window given the seal of the one before.

    Rows of earlier windows that grew since they were accounted are late.
    """
    before = base['accounted'] if base is not None else {}
    rows: list[messages.UsageRow] = []
    late: list[messages.UsageRow] = []
    accounted: dict[str, list[messages.UsageRow]] = {}
    for item in listing.objects:
        value = msgspec.convert(item.value, messages.UsageValue)
        known = usage_rows.by_key(before.get(item.name, []))
        mine = [row for row in value['rows'] if row['window'] <= window]
        for row in mine:
            more = usage_rows.minus(row, known.get(usage_rows.key_of(row)))
            if usage_rows.is_empty(more):
                continue
            (rows if row['window'] == window else late).append(more)
        accounted[item.name] = mine
    return {
        'window': window,
        'revision': listing.revision,
        'rows': sorted(
            usage_rows.by_key(rows).values(), key=usage_rows.key_of
        ),
        'late': sorted(
            usage_rows.by_key(late).values(), key=usage_rows.key_of
        ),
        'accounted': accounted,
        'nonce': settled.new_nonce(),
    }


def make_sealer(
    store: stores.Store,
    sender: reports.Sender,
    wall: usage.Wall,
    clock: clocks.Clock,
    terms: Terms,
) -> Sealer:
    """Return a sealer; wall returns seconds since 1970."""
    return Sealer(store, sender, wall, clock, terms)
