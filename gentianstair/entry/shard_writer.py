"""Write changes of one claim shard after another to the store."""

import random
import typing

import msgspec
import prometheus_client
import trio

from gentianstair import errors
from gentianstair.entry import claim_shard
from gentianstair.generated import messages
from gentianstair.store import era as eras
from gentianstair.store import store as stores
from gentianstair.util import clock as clocks

KIND = 'claim'
PURPOSE = 'claim'
MAX_ATTEMPTS = 12
MAX_CONFLICT_WAIT_S = 0.1

WRITES = prometheus_client.Counter(
    'gentianstair_claim_writes', 'Conditional updates of claim shards'
)
CONFLICTS = prometheus_client.Counter(
    'gentianstair_claim_conflicts', 'Updates lost to another VM'
)


class ShardError(errors.StoreUnavailableError):
    """One shard cannot be written, though the store is available."""


class PendingChange:
    """A change that waits to be stored."""

    def __init__(
        self, change: claim_shard.Change, remote: bool = False
    ) -> None:
        self.change = change
        # Forwarded by another VM. It is never forwarded again, which could
        # loop.
        self.remote = remote
        self.done = trio.Event()
        self.found: claim_shard.ChangeResult | None = None
        self.abandoned = False
        # An earlier write may still take effect. So the shard is written even
        # if the change has no effect: the new version fences that write.
        self.maybe_written = False


class Shard:
    """This VM's copy of one shard, and its pending changes."""

    def __init__(self, name: str, number: int) -> None:
        self.name = name
        self.number = number
        self.version = 0
        self.is_current = False
        self.generation = 0
        self.generation_since_s = 0.0
        self.entries: claim_shard.Entries = {}
        # Entries of an earlier era of the store, until they are written again.
        self.lost: claim_shard.Entries = {}
        self.pending: list[PendingChange] = []
        self.is_scheduled = False


def _decode(value: stores.Value) -> messages.ClaimShardValue:
    try:
        return msgspec.convert(value, messages.ClaimShardValue)
    except msgspec.ValidationError as error:
        raise ShardError(str(error)) from error


class ShardWriter:
    """Applies changes to shards by conditional updates of the store."""

    def __init__(
        self,
        store: stores.Store,
        clock: clocks.Clock,
        retention_s: float,
        linger_s: float,
    ) -> None:
        self._store = store
        self._clock = clock
        self._retention_s = retention_s
        # The first wait after a conflict is at most this.
        self._linger_s = linger_s
        self._random = random.Random()

    async def write(
        self, shard: Shard, batch: list[PendingChange]
    ) -> list[claim_shard.ChangeResult]:
        """Write a batch to the store; raise StoreError if that fails.

        After a lost response, the next attempt reads the shard. Either the
        nonces show that the batch was written, or the next write raises the
        version, so that the lost write cannot take effect any more.
        """
        has_read = False
        for attempt in range(MAX_ATTEMPTS):
            if not shard.is_current:
                await self._read(shard)
                has_read = True
            entries, generation = self._age_out(shard)
            before = dict(entries)
            results = [
                claim_shard.apply(pending.change, entries, generation)
                for pending in batch
            ]
            must_write = bool(shard.lost) or any(
                pending.maybe_written for pending in batch
            )
            if entries == before and not must_write:
                if has_read:
                    return results
                # No write would detect that the local copy is stale, so read
                # the shard before returning the results.
                shard.is_current = False
                continue
            try:
                await self._put(shard, entries, generation)
            except errors.StoreConflictError:
                CONFLICTS.inc()
                await self._back_off(attempt)
            except errors.StoreOutcomeUnknownError:
                for pending in batch:
                    pending.maybe_written = True
            else:
                return results
            shard.is_current = False
        raise ShardError(f'{shard.name}: too many conflicting updates')

    async def _back_off(self, attempt: int) -> None:
        limit_s = min(MAX_CONFLICT_WAIT_S, self._linger_s * 2**attempt)
        await trio.sleep(self._random.uniform(0, limit_s))

    async def _read(self, shard: Shard) -> None:
        found = await self._store.get(KIND, shard.name, purpose=PURPOSE)
        if shard.version and eras.era_of(shard.version) < self._store.era:
            # The store came back from a copy, which is older.
            shard.lost = {**shard.lost, **shard.entries}
        elif found.version < shard.version:
            # A stale read: the local copy is newer.
            raise ShardError('the store returned a stale read')
        value: messages.ClaimShardValue = {'generation': 0, 'entries': {}}
        if found.value is not None:
            value = _decode(found.value)
        self._update_copy(shard, found.version, value)
        shard.entries = claim_shard.restore(shard.entries, shard.lost)

    def _update_copy(
        self,
        shard: Shard,
        version: int,
        value: messages.ClaimShardValue,
    ) -> None:
        if shard.generation != value['generation'] or not shard.version:
            shard.generation = value['generation']
            shard.generation_since_s = self._clock()
        shard.version = version
        shard.entries = value['entries']
        shard.is_current = True

    def _age_out(self, shard: Shard) -> tuple[claim_shard.Entries, int]:
        """Return a copy of the entries and the generation to write.

        Age is counted in generations of the shard. A VM starts the next one
        only after it has seen the current one for its full duration on its
        own monotonic clock, so a VM with a wrong date cannot expire keys
        early. Each entry is kept for at least the retention. The conditional
        update ensures that the generation seen is still the current one.
        """
        generation = shard.generation
        generation_age_s = self._clock() - shard.generation_since_s
        if shard.version and generation_age_s > self._retention_s / (
            claim_shard.RETENTION_GENERATIONS
        ):
            generation += 1
        return claim_shard.age_out(shard.entries, generation), generation

    async def _put(
        self, shard: Shard, entries: claim_shard.Entries, generation: int
    ) -> None:
        value: messages.ClaimShardValue = {
            'generation': generation,
            'entries': entries,
        }
        WRITES.inc()
        version = await self._store.put(
            KIND,
            shard.name,
            typing.cast(stores.Value, value),
            shard.version,
            purpose=PURPOSE,
        )
        self._update_copy(shard, version, value)
        shard.lost = {}
