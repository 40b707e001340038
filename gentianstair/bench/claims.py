"""Measure what claims cost the store, and the wait they add.

The store is the in-process stand-in on a virtual clock: each call takes
some milliseconds, and writes and reads above the brief's rates queue.
"""

import collections
import random
import time
import typing

import msgspec
import trio
import trio.testing

from gentianstair import errors
from gentianstair.bench import measures
from gentianstair.entry import claim_shard
from gentianstair.entry import claims
from gentianstair.store import store as stores
from standins import memory_store
from standins.platform import objects

VMS = 8
RUN_S = 1.5
CALL_S = 0.003
WRITES_PER_S = 500.0
READS_PER_S = 2000.0
# Longest queue of the store; calls beyond it are refused.
QUEUE_S = 0.5
RETENTION_S = 86400.0
SERVICE_S = 0.02
RATES = (50, 200, 800, 2000)
HOP_S = 0.0005
# Number of shards, linger, and whether one VM writes each shard.
ARMS = (
    (8, 0.005, False),
    (32, 0.005, False),
    (8, 0.005, True),
    (8, 0.02, True),
    (32, 0.005, True),
)


class Limiter:
    """Lets calls through at a rate; those above it queue."""

    def __init__(self, per_s: float) -> None:
        self._every_s = 1 / per_s
        self._next_s = 0.0

    async def wait(self) -> None:
        """Wait for a place; raise StoreUnavailableError without one."""
        now_s = trio.current_time()
        self._next_s = max(now_s, self._next_s)
        if self._next_s - now_s > QUEUE_S:
            raise errors.StoreUnavailableError('too many calls')
        self._next_s += self._every_s
        await trio.sleep(self._next_s - now_s)


class Platform(typing.NamedTuple):
    """What the clients of all VMs share."""

    table: objects.ObjectTable
    writes: Limiter
    reads: Limiter
    counts: collections.Counter[str]


class LimitedStore(memory_store.MemoryStore):
    """A client whose calls take time and queue at the store."""

    def __init__(self, platform: Platform) -> None:
        super().__init__(platform.table)
        self._platform = platform

    async def get(
        self, kind: str, name: str, *, purpose: str
    ) -> stores.StoredObject:
        """See Store.get."""
        self._platform.counts['reads'] += 1
        await self._platform.reads.wait()
        await trio.sleep(CALL_S)
        return self.table.get(kind, name)

    async def put(
        self,
        kind: str,
        name: str,
        value: stores.Value,
        expect_version: int,
        *,
        purpose: str,
    ) -> int:
        """See Store.put."""
        self._platform.counts['writes'] += 1
        await self._platform.writes.wait()
        await trio.sleep(CALL_S / 2)
        try:
            return self.table.write(kind, name, value, expect_version)
        except errors.StoreConflictError:
            self._platform.counts['conflicts'] += 1
            raise
        finally:
            await trio.sleep(CALL_S / 2)


class NearOwners:
    """Owners reached over a network of so many milliseconds."""

    def __init__(self, number: int, vms: list[typing.Any]) -> None:
        self._number = number
        self._vms = vms

    def owner_of(self, shard_name: str) -> str | None:
        """Return another VM that writes this shard, None for this one."""
        owner = int(shard_name.rpartition('-')[2]) % VMS
        return None if owner == self._number else str(owner)

    async def forward(
        self,
        owner: str,
        shard_number: int,
        changes: list[claim_shard.Change],
    ) -> list[claim_shard.ChangeResult]:
        """Have the owner make changes, a network's delay away."""
        await trio.sleep(HOP_S)
        made = self._vms[int(owner)]
        founds = await made.apply_forwarded(shard_number, changes)
        await trio.sleep(HOP_S)
        return founds


class OneByOne:
    """The naive twin: an object for each key, two writes for each."""

    def __init__(self, store: stores.Store) -> None:
        self._store = store

    async def run_batches(self) -> None:
        """Have nothing to do."""

    async def claim(
        self, customer: str, key: str, digest: str
    ) -> claims.ClaimResult:
        """Claim a key with a write of its own."""
        value = {'digest': digest, 'status': None}
        try:
            await self._store.put('one', key, value, 0, purpose='claim')
        except errors.StoreError as error:
            raise errors.RequestError(503, 'claim', str(error)) from error
        return claims.ClaimResult(claim_shard.State.GRANTED, key, '', 0.0)

    async def finish(
        self, claim: claims.ClaimResult, status: int, kind: str, body: bytes
    ) -> None:
        """Store the outcome with a write of its own."""
        item = await self._store.get('one', claim.name, purpose='claim')
        value = {**(item.value or {}), 'status': status}
        try:
            await self._store.put(
                'one', claim.name, value, item.version, purpose='claim'
            )
        except errors.StoreError:
            return


class Run:
    """What one run under one arm came to."""

    def __init__(self) -> None:
        self.waits_s: list[float] = []
        self.finish_waits_s: list[float] = []
        self.refused = 0


async def _request(made: typing.Any, number: int, run: Run) -> None:
    began_s = trio.current_time()
    try:
        claim = await made.claim('customer', f'key-{number}', 'digest')
    except errors.RequestError:
        run.refused += 1
        return
    run.waits_s.append(trio.current_time() - began_s)
    await trio.sleep(SERVICE_S)
    began_s = trio.current_time()
    await made.finish(claim, 200, 'application/json', b'{"number": 1}')
    run.finish_waits_s.append(trio.current_time() - began_s)


async def _play(
    make: typing.Callable[[stores.Store, int], typing.Any],
    owned: bool,
    rate_per_s: int,
    seed: int,
) -> tuple[Run, collections.Counter[str]]:
    platform = Platform(
        objects.ObjectTable(),
        Limiter(WRITES_PER_S),
        Limiter(READS_PER_S),
        collections.Counter(),
    )
    run = Run()
    chance = random.Random(seed)
    async with trio.open_nursery() as nursery:
        vms = [make(LimitedStore(platform), i) for i in range(VMS)]
        for number, made in enumerate(vms):
            if owned:
                made.owners = NearOwners(number, vms)
            nursery.start_soon(made.run_batches)
        async with trio.open_nursery() as requests:
            number = 0
            while trio.current_time() < RUN_S:
                await trio.sleep(chance.expovariate(rate_per_s))
                made = chance.choice(vms)
                requests.start_soon(_request, made, number, run)
                number += 1
        nursery.cancel_scope.cancel()
    return run, platform.counts


def _batched(
    shards: int, linger_s: float
) -> typing.Callable[[stores.Store, int], claims.Claims]:
    def make(store: stores.Store, number: int) -> claims.Claims:
        return claims.make_claims(
            store,
            f'vm-{number}',
            trio.current_time,
            shards,
            RETENTION_S,
            linger_s,
        )

    return make


def _quantile_ms(values: list[float], share: float) -> float:
    if not values:
        return float('nan')
    ordered = sorted(values)
    place = min(len(ordered) - 1, int(share * len(ordered)))
    return 1000 * ordered[place]


def measure(
    arm: str,
    make: typing.Callable[[stores.Store, int], typing.Any],
    owned: bool,
    rate_per_s: int,
    seed: int,
) -> typing.Iterator[measures.Measure]:
    """Yield the measures of one arm at one rate of requests."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    run, counts = trio.run(_play, make, owned, rate_per_s, seed, clock=clock)
    arm = f'{arm}@{rate_per_s}/s'
    values = {
        'writes': (counts['writes'] / RUN_S, '1/s'),
        'reads': (counts['reads'] / RUN_S, '1/s'),
        'conflicts': (counts['conflicts'] / RUN_S, '1/s'),
        'granted': (len(run.waits_s) / RUN_S, '1/s'),
        'refused': (run.refused / RUN_S, '1/s'),
        'claim_wait_p50': (_quantile_ms(run.waits_s, 0.5), 'ms'),
        'claim_wait_p99': (_quantile_ms(run.waits_s, 0.99), 'ms'),
        'finish_wait_p50': (_quantile_ms(run.finish_waits_s, 0.5), 'ms'),
    }
    for name, (value, unit) in values.items():
        yield measures.Measure(name, arm, round(value, 3), unit)


def measure_shard(seed: int) -> typing.Iterator[measures.Measure]:
    """Yield the size of a full shard and the time to encode it."""
    entries: claim_shard.Entries = {}
    body = claim_shard.encode_body(bytes(200))
    count = 0
    while True:
        name = f'{count:040d}'
        take = claim_shard.Take(name, 'd' * 16, f'{seed:016d}', 'vm-1')
        found = claim_shard.apply(take, entries, 0)
        if found.state is claim_shard.State.FULL:
            break
        keep = claim_shard.Keep(name, take.nonce, 200, 'text/plain', body)
        claim_shard.apply(keep, entries, 0)
        count += 1
    began_s = time.perf_counter()
    encoded = msgspec.json.encode({'generation': 0, 'entries': entries})
    took_s = time.perf_counter() - began_s
    arm = 'full_shard'
    yield measures.Measure('keys', arm, count, 'keys')
    yield measures.Measure('size', arm, len(encoded), 'bytes')
    yield measures.Measure('encode', arm, round(1000 * took_s, 3), 'ms')


def main(argv: list[str]) -> int:
    """Run all arms at all rates and print the measures."""
    parser = measures.make_parser(__doc__)
    args = parser.parse_args(argv)
    for rate_per_s in RATES:
        one = measure(
            'one_by_one',
            lambda store, _: OneByOne(store),
            False,
            rate_per_s,
            args.seed,
        )
        measures.show(one, args.json)
        for shards, linger_s, owned in ARMS:
            kind = 'owned' if owned else 'shared'
            arm = f'{kind}_{shards}_shards_{1000 * linger_s:g}ms'
            make = _batched(shards, linger_s)
            found = measure(arm, make, owned, rate_per_s, args.seed)
            measures.show(found, args.json)
    measures.show(measure_shard(args.seed), args.json)
    missing = ['a real store over HTTP']
    last = measures.Measure('not_run', '-', missing, '-')
    measures.show([last], args.json)
    return 0
