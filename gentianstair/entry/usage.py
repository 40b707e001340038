"""Count what customers use, and keep the counts in the store."""

import collections.abc
import contextlib
import typing

import msgspec
import prometheus_client
import trio

from gentianstair import errors
from gentianstair.generated import messages
from gentianstair.store import confirmed_write
from gentianstair.store import store as stores
from gentianstair.util import usage_rows

KIND = 'usage'
SEAL_KIND = 'usage-seal'
PROGRESS_KIND = 'usage-progress'
PROGRESS_NAME = 'current'
PURPOSE = 'usage'
# Rows of windows that were sealed so many windows ago are forgotten.
KEEP_WINDOWS = 3
RETRY_S = 0.5

EXPOSED_TOKENS = prometheus_client.Gauge(
    'gentianstair_usage_unflushed_tokens',
    'Tokens counted that would be lost if this VM were killed now',
)
FLUSHES = prometheus_client.Counter(
    'gentianstair_usage_flushes', 'Writes of usage counts', ['outcome']
)

Wall = collections.abc.Callable[[], float]


class Terms(typing.NamedTuple):
    """How usage is cut into windows and how soon it is flushed."""

    window_s: float
    flush_s: float
    flush_tokens: int


class Usage:
    """The counts of one run of an entry, its incarnation.

    Counts only grow, and only this process writes its object, so a write
    that is repeated or comes late cannot count anything twice.
    """

    def __init__(
        self, store: stores.Store, vm_name: str, wall: Wall, terms: Terms
    ) -> None:
        self._store = store
        self._vm_name = vm_name
        self._wall = wall
        self._terms = terms
        self._rows: dict[usage_rows.Key, messages.UsageRow] = {}
        self._flushed: dict[usage_rows.Key, messages.UsageRow] = {}
        # Rows of writes whose answers were lost, by nonce.
        self._unsettled: dict[str, dict] = {}
        # Each counts what a running stream has delivered since it last did.
        self._relayed: set[collections.abc.Callable[[], None]] = set()
        self._full = trio.Event()
        self._lock = trio.Lock()
        self._closed_below = 0
        self.unflushed_tokens = 0
        self.changed = False
        self._begin_incarnation()

    def _begin_incarnation(self) -> None:
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
        """Count usage in the present window.

        A stream should be counted piece by piece as it is relayed, and
        before each write (see relaying): what is not counted yet is lost
        when this VM is killed.
        """
        window = int(self._wall() // self._terms.window_s)
        window = max(window, self._closed_below)
        row: messages.UsageRow = {
            'window': window,
            'customer': customer,
            'upstream_kind': upstream_kind,
            'requests': requests,
            'prompt_tokens': prompt_tokens,
            'output_tokens': output_tokens,
        }
        key = usage_rows.key_of(row)
        known = self._rows.get(key)
        self._rows[key] = row if known is None else usage_rows.add(known, row)
        self.changed = True
        self.unflushed_tokens += prompt_tokens + output_tokens
        EXPOSED_TOKENS.set(self.unflushed_tokens)
        if self.unflushed_tokens >= self._terms.flush_tokens:
            self._full.set()

    @contextlib.contextmanager
    def relaying(
        self, count_part: collections.abc.Callable[[], None]
    ) -> collections.abc.Iterator[None]:
        """Have a stream's part counted before each write in this context."""
        self._relayed.add(count_part)
        try:
            yield
        finally:
            self._relayed.remove(count_part)

    async def run(self) -> None:
        """Flush until cancelled."""
        while True:
            with trio.move_on_after(self._terms.flush_s):
                await self._full.wait()
            self._full = trio.Event()
            try:
                await self.flush()
                await self._forget_sealed()
            except errors.StoreError:
                FLUSHES.labels('failed').inc()
                await trio.sleep(RETRY_S)

    async def flush(self) -> None:
        """Write all counts; raise StoreError when they are not yet kept.

        Call it once more at a planned stop, after the last request.
        """
        async with self._lock:
            for count_part in self._relayed:
                count_part()
            if not self.changed:
                return
            rows = dict(self._rows)
            tokens = self.unflushed_tokens
            await self._write(rows)
            FLUSHES.labels('done').inc()
            self._flushed = rows
            self.changed = self._rows != rows
            self.unflushed_tokens -= tokens
            EXPOSED_TOKENS.set(self.unflushed_tokens)

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
        except errors.StoreUnknownError:
            self._unsettled[value['nonce']] = rows
            raise
        except errors.StoreConflictError:
            await self._catch_up()
            raise
        self._unsettled.clear()

    async def _catch_up(self) -> None:
        """Find why our object has another version than we wrote last."""
        item = await self._store.get(KIND, self.incarnation, purpose=PURPOSE)
        if item.value is None:
            # It was deleted after all in it had been sealed, for this
            # process was silent for long. What it had not written yet goes
            # on under a new name; what it may have written is left out.
            written = dict(self._flushed)
            for rows in self._unsettled.values():
                written.update(rows)
            self._keep_above(written)
            self._begin_incarnation()
            self._unsettled.clear()
        elif item.value['nonce'] in self._unsettled:
            self._version = item.version
            self._flushed = self._unsettled[item.value['nonce']]
            self._unsettled.clear()

    def _keep_above(self, written: dict) -> None:
        left = {
            key: usage_rows.subtract(row, written.get(key))
            for key, row in self._rows.items()
        }
        self._rows = {
            key: row
            for key, row in left.items()
            if not usage_rows.is_empty(row)
        }
        self._flushed = {}

    async def _forget_sealed(self) -> None:
        """Drop rows of windows sealed long ago, once they are accounted."""
        now = int(self._wall() // self._terms.window_s)
        if all(key[0] >= now - KEEP_WINDOWS for key in self._rows):
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
        limit = seal['window'] - KEEP_WINDOWS
        for row in accounted:
            key = usage_rows.key_of(row)
            if row['window'] < limit and self._rows.get(key) == row:
                # A forgotten row must not start again from zero, as it
                # would look smaller than what is accounted.
                self._closed_below = max(self._closed_below, limit)
                del self._rows[key]
                self.changed = True


def make_usage(
    store: stores.Store, vm_name: str, wall: Wall, terms: Terms
) -> Usage:
    """Return the counts of a new incarnation; its run must be running.

    wall returns seconds since 1970, for example ``time.time``.
    """
    return Usage(store, vm_name, wall, terms)
