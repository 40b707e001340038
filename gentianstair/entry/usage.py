"""Count the usage of customers and write the counts to the store."""

import collections.abc
import contextlib
import typing

import msgspec
import prometheus_client
import trio

from gentianstair import errors
from gentianstair.generated import messages
from gentianstair.store import confirmed_write
from gentianstair.store import era as eras
from gentianstair.store import store as stores
from gentianstair.util import usage_rows

KIND = 'usage'
SEAL_KIND = 'usage-seal'
PROGRESS_KIND = 'usage-progress'
PROGRESS_NAME = 'current'
PURPOSE = 'usage'
# Rows are kept until more than this many later windows are sealed.
KEPT_WINDOWS = 3
FLUSH_RETRY_S = 0.5

UNFLUSHED_TOKENS = prometheus_client.Gauge(
    'gentianstair_usage_unflushed_tokens',
    'Tokens counted that would be lost if this VM were killed now',
)
FLUSHES = prometheus_client.Counter(
    'gentianstair_usage_flushes', 'Writes of usage counts', ['outcome']
)

WallClock = collections.abc.Callable[[], float]


class UsageSettings(typing.NamedTuple):
    """Length of usage windows, and the limits that trigger a flush."""

    window_s: float
    flush_interval_s: float
    max_unflushed_tokens: int


class UsageRecorder:
    """Usage counts of one incarnation, a run of an entry process.

    Counts only grow, and only this process writes the incarnation's object,
    so a repeated or delayed write cannot count anything twice.
    """

    def __init__(
        self,
        store: stores.Store,
        vm_name: str,
        wall_clock: WallClock,
        settings: UsageSettings,
    ) -> None:
        self._store = store
        self._vm_name = vm_name
        self._wall_clock = wall_clock
        self._settings = settings
        self._rows: dict[usage_rows.Key, messages.UsageRow] = {}
        self._flushed: dict[usage_rows.Key, messages.UsageRow] = {}
        # Rows of writes with an unknown outcome, by nonce.
        self._unconfirmed: dict[str, dict] = {}
        # Each counts the tokens of one stream since its previous call.
        self._stream_counters: set[collections.abc.Callable[[], None]] = set()
        self._flush_due = trio.Event()
        self._lock = trio.Lock()
        self._first_open_window = 0
        self.unflushed_tokens = 0
        self.has_unflushed = False
        self._start_incarnation()

    def _start_incarnation(self) -> None:
        self.incarnation = f'{self._vm_name}.{confirmed_write.new_nonce()}'
        self._version = 0

    def count(
        self,
        customer: str,
        upstream_kind: str,
        *,
        requests: int = 0,
        prompt_tokens: int = 0,
        output_tokens: int = 0,
    ) -> None:
        """Count usage in the current window.

        Count a stream in parts while it is relayed, and before each flush
        (see track_stream): uncounted usage is lost if this VM is killed.
        """
        window = int(self._wall_clock() // self._settings.window_s)
        window = max(window, self._first_open_window)
        row: messages.UsageRow = {
            'window': window,
            'customer': customer,
            'upstream_kind': upstream_kind,
            'requests': requests,
            'prompt_tokens': prompt_tokens,
            'output_tokens': output_tokens,
        }
        key = usage_rows.key_of(row)
        counted = self._rows.get(key)
        self._rows[key] = (
            row if counted is None else usage_rows.add(counted, row)
        )
        self.has_unflushed = True
        self.unflushed_tokens += prompt_tokens + output_tokens
        UNFLUSHED_TOKENS.set(self.unflushed_tokens)
        if self.unflushed_tokens >= self._settings.max_unflushed_tokens:
            self._flush_due.set()

    @contextlib.contextmanager
    def track_stream(
        self, count_delivered: collections.abc.Callable[[], None]
    ) -> collections.abc.Iterator[None]:
        """Call count_delivered before each flush within this context."""
        self._stream_counters.add(count_delivered)
        try:
            yield
        finally:
            self._stream_counters.remove(count_delivered)

    async def run(self) -> None:
        """Flush periodically until cancelled."""
        while True:
            with trio.move_on_after(self._settings.flush_interval_s):
                await self._flush_due.wait()
            self._flush_due = trio.Event()
            try:
                await self.flush()
                await self._drop_sealed_rows()
            except errors.StoreError:
                FLUSHES.labels('failed').inc()
                await trio.sleep(FLUSH_RETRY_S)

    async def flush(self) -> None:
        """Write all counts; raise StoreError if they are not stored.

        Call it at a planned stop as well, after the last request.
        """
        async with self._lock:
            for count_delivered in self._stream_counters:
                count_delivered()
            if not self.has_unflushed:
                return
            rows = dict(self._rows)
            tokens = self.unflushed_tokens
            await self._write(rows)
            FLUSHES.labels('done').inc()
            self._flushed = rows
            self.has_unflushed = self._rows != rows
            self.unflushed_tokens -= tokens
            UNFLUSHED_TOKENS.set(self.unflushed_tokens)

    async def _write(self, rows: dict) -> None:
        value: messages.UsageValue = {
            'vm': self._vm_name,
            'nonce': confirmed_write.new_nonce(),
            'rows': list(rows.values()),
        }
        try:
            self._version = await confirmed_write.put(
                self._store,
                KIND,
                self.incarnation,
                typing.cast(stores.Value, value),
                self._version,
                purpose=PURPOSE,
            )
        except errors.StoreOutcomeUnknownError:
            self._unconfirmed[value['nonce']] = rows
            raise
        except errors.StoreConflictError:
            await self._resolve_conflict()
            raise
        self._unconfirmed.clear()

    async def _resolve_conflict(self) -> None:
        """Find out why the stored object has an unexpected version.

        A write with an unknown outcome was applied, the object was deleted, or
        the store came back from a copy.
        """
        item = await self._store.get(KIND, self.incarnation, purpose=PURPOSE)
        if self._version and eras.era_of(self._version) < self._store.era:
            # All counts are written again.
            self._version = item.version if item.value is not None else 0
            self._flushed = {}
            self._unconfirmed.clear()
        elif item.value is None:
            # It was deleted after all its rows were sealed, as this process
            # had not written for long. Counts that cannot have been written
            # continue in a new incarnation.
            written = dict(self._flushed)
            for rows in self._unconfirmed.values():
                written.update(rows)
            self._subtract_written(written)
            self._start_incarnation()
            self._unconfirmed.clear()
        elif item.value['nonce'] in self._unconfirmed:
            self._version = item.version
            self._flushed = self._unconfirmed[item.value['nonce']]
            self._unconfirmed.clear()

    def _subtract_written(self, written: dict) -> None:
        """Keep only the counts above those of written."""
        remaining = {
            key: usage_rows.subtract(row, written.get(key))
            for key, row in self._rows.items()
        }
        self._rows = {
            key: row
            for key, row in remaining.items()
            if not usage_rows.is_empty(row)
        }
        self._flushed = {}

    async def _drop_sealed_rows(self) -> None:
        """Drop rows of old sealed windows that the seal accounts for."""
        now = int(self._wall_clock() // self._settings.window_s)
        if all(key[0] >= now - KEPT_WINDOWS for key in self._rows):
            return
        item = await self._store.get(
            PROGRESS_KIND, PROGRESS_NAME, purpose=PURPOSE
        )
        if item.value is None:
            return
        sealed = str(item.value['sealed'])
        found = await self._store.get(SEAL_KIND, sealed, purpose=PURPOSE)
        if found.value is None:
            return
        seal = msgspec.convert(found.value, messages.SealValue)
        accounted = seal['accounted'].get(self.incarnation, [])
        limit = seal['window'] - KEPT_WINDOWS
        for row in accounted:
            key = usage_rows.key_of(row)
            if row['window'] < limit and self._rows.get(key) == row:
                # A dropped row must not restart from zero, as it would be
                # below the accounted count.
                self._first_open_window = max(self._first_open_window, limit)
                del self._rows[key]
                self.has_unflushed = True


def make_usage_recorder(
    store: stores.Store,
    vm_name: str,
    wall_clock: WallClock,
    settings: UsageSettings,
) -> UsageRecorder:
    """Return a recorder with a new incarnation; start its run method.

    wall_clock returns seconds since 1970, for example ``time.time``.
    """
    return UsageRecorder(store, vm_name, wall_clock, settings)
