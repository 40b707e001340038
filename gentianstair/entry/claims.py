"""Make unrepeatable requests run at most once, by claims in the store."""

import base64
import hashlib
import random
import secrets
import typing

import msgspec
import prometheus_client
import trio
import xxhash

from gentianstair import errors
from gentianstair.entry import claim_shard
from gentianstair.generated import messages
from gentianstair.store import store as stores
from gentianstair.util import clock as clocks

KIND = 'claim'
PURPOSE = 'claim'
# How long a shard gathers changes before it writes them in one update.
LINGER_S = 0.005
# One VM writes no more often than this; eight VMs leave the store half.
MAX_WRITES_PER_S = 25.0
# Wait after this process's own budget of calls refused one.
BUDGET_WAIT_S = 0.05
# Longest wait for a claim before the caller is refused.
CLAIM_TIMEOUT_S = 3.0
# Longest wait of an answer for its outcome to be stored.
FINISH_WAIT_S = 0.25
# A claim older than this may not send any more. It is far below retention,
# so a process that was paused cannot send after its key was freed.
SEND_WITHIN_S = 15.0
# After a failed call of the store, claims are refused without another.
DOWN_BACKOFF_S = 0.5
RETRY_AFTER_S = 1.0
MAX_ATTEMPTS = 12
MAX_CONFLICT_WAIT_S = 0.1
MAX_BATCH = 500
# Outcomes and releases that wait for the store; the oldest go first, which
# leaves their keys at MAY_HAVE_RUN.
MAX_WAITING = 5000
# A running claim that this VM has seen for so long counts as abandoned.
RUNNING_S = 300.0

WRITES = prometheus_client.Counter(
    'gentianstair_claim_writes', 'Conditional updates of claim shards'
)
CONFLICTS = prometheus_client.Counter(
    'gentianstair_claim_conflicts', 'Updates lost to another VM'
)
FORWARD_FAILURES = prometheus_client.Counter(
    'gentianstair_claim_forward_failures',
    'Batches that the owner of their shard did not take',
)
RESULTS = prometheus_client.Counter(
    'gentianstair_claims', 'Claims by what they came to', ['state']
)
WAIT_S = prometheus_client.Histogram(
    'gentianstair_claim_wait_seconds', 'Wait for a claim to be committed'
)


class _ShardError(errors.StoreUnavailableError):
    """Report one shard that can't be written, though the store is up."""


class ClaimResult(typing.NamedTuple):
    """What a claim came to, and the handle of a granted one.

    A finished claim carries the first outcome; ``body`` is None when it was
    too long to keep. ``claimed_at_s`` is from before the store was asked.
    """

    state: claim_shard.State
    name: str
    nonce: str
    claimed_at_s: float
    status: int | None = None
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


class Owners(typing.Protocol):
    """Reach the VM that writes a shard, so that writers do not conflict.

    Only speed rests on it. Two VMs may believe that they own a shard, or
    none be reached: every VM can write every shard, and the conditional
    update decides.
    """

    def owner_of(self, shard_name: str) -> str | None:
        """Return another VM that writes this shard, None for this one."""

    async def forward(
        self,
        owner: str,
        shard_number: int,
        changes: list[claim_shard.Change],
    ) -> list[claim_shard.Found]:
        """Have the owner make changes; raise StoreUnknownError."""


class _Waiting:
    """A change on its way into the store."""

    def __init__(
        self, change: claim_shard.Change, remote: bool = False
    ) -> None:
        self.change = change
        # From another VM that takes this one for the owner: written here,
        # whoever this VM takes for the owner, so that nothing goes round.
        self.remote = remote
        self.done = trio.Event()
        self.found: claim_shard.Found | None = None
        self.abandoned = False
        # An earlier try may still take effect, so the shard must be written
        # even if the change finds nothing to do: the new version fences
        # the earlier try.
        self.maybe_written = False


class _Shard:
    """This VM's copy of one shard, and the changes waiting for it."""

    def __init__(self, name: str, number: int) -> None:
        self.name = name
        self.number = number
        self.version = 0
        self.current = False
        self.generation = 0
        self.generation_since_s = 0.0
        self.entries: claim_shard.Entries = {}
        self.waiting: list[_Waiting] = []
        self.busy = False


def _is_dead(waiting: _Waiting) -> bool:
    """Return whether nobody waits for a claim that was never written."""
    return waiting.abandoned and not waiting.maybe_written


def _entry_name(customer: str, key: str) -> str:
    # Hashed, so that a caller's key has one length and no odd characters.
    text = f'{len(customer)}:{customer}:{key}'
    return hashlib.sha256(text.encode()).hexdigest()[:40]


def _decode(value: stores.Value) -> messages.ClaimShardValue:
    try:
        return msgspec.convert(value, messages.ClaimShardValue)
    except msgspec.ValidationError as error:
        raise _ShardError(str(error)) from error


def _refusal(detail: str) -> errors.RequestError:
    return errors.RequestError(
        503, 'claim-unavailable', detail, retry_after_s=RETRY_AFTER_S
    )


class Claims:
    """Claims of one VM; changes of a shard share conditional updates."""

    def __init__(
        self,
        store: stores.Store,
        vm_name: str,
        clock: clocks.Clock,
        shards: int,
        retention_s: float,
    ) -> None:
        self.store = store
        self._vm_name = vm_name
        self._clock = clock
        self._retention_s = retention_s
        self._shards = [_Shard(f'shard-{i:05d}', i) for i in range(shards)]
        self._down_until_s = float('-inf')
        self._seen_since_s: dict[str, float] = {}
        self._send, self._receive = trio.open_memory_channel[_Shard](shards)
        self._random = random.Random()
        self._next_write_s = float('-inf')
        self.linger_s = LINGER_S
        self.owners: Owners | None = None

    def _shard_of(self, name: str) -> _Shard:
        number = xxhash.xxh64_intdigest(name.encode()) % len(self._shards)
        return self._shards[number]

    async def make_changes(
        self, shard_number: int, changes: list[claim_shard.Change]
    ) -> list[claim_shard.Found]:
        """Make changes for another VM; raise StoreError if they failed."""
        names = {f'shard-{shard_number:05d}'}
        if names != {self._shard_of(item.name).name for item in changes}:
            # The other VM was set to another number of shards.
            raise errors.StoreUnknownError(f'not of shard {shard_number}')
        shard = self._shards[shard_number]
        waitings = [_Waiting(change, remote=True) for change in changes]
        for waiting in waitings:
            self._add(waiting, shard)
        founds = []
        for waiting in waitings:
            await waiting.done.wait()
            if waiting.found is None:
                raise errors.StoreUnknownError(shard.name)
            founds.append(waiting.found)
        return founds

    def _add(self, waiting: _Waiting, shard: _Shard | None = None) -> None:
        shard = shard or self._shard_of(waiting.change.name)
        shard.waiting.append(waiting)
        if not shard.busy:
            shard.busy = True
            self._send.send_nowait(shard)

    async def run_batches(self) -> None:
        """Write waiting changes until cancelled."""
        async with trio.open_nursery() as nursery:
            async for shard in self._receive:
                nursery.start_soon(self._run_shard, shard)

    async def claim(self, customer: str, key: str, digest: str) -> ClaimResult:
        """Claim a key for the request with this digest.

        Raise RequestError 503, not run, when the store cannot be had.
        """
        asked_at_s = self._clock()
        if asked_at_s < self._down_until_s:
            raise _refusal('the store of claims is not available')
        name = _entry_name(customer, key)
        nonce = secrets.token_hex(8)
        take = claim_shard.Take(name, digest, nonce, self._vm_name)
        waiting = _Waiting(take)
        self._add(waiting)
        try:
            with trio.move_on_after(CLAIM_TIMEOUT_S):
                await waiting.done.wait()
        except trio.Cancelled:
            self._abandon(waiting)
            raise
        WAIT_S.observe(self._clock() - asked_at_s)
        if waiting.found is None:
            self._abandon(waiting)
            raise _refusal('the store of claims did not answer')
        if waiting.found.state is claim_shard.State.FULL:
            raise _refusal('there is no room for more claims')
        result = self._result(take, waiting.found, asked_at_s)
        RESULTS.labels(result.state.value).inc()
        return result

    def _result(
        self,
        take: claim_shard.Take,
        found: claim_shard.Found,
        asked_at_s: float,
    ) -> ClaimResult:
        state = found.state
        if state is claim_shard.State.RUNNING_ELSEWHERE:
            since_s = self._seen_since(found.entry['nonce'])
            if self._clock() - since_s > RUNNING_S:
                state = claim_shard.State.MAY_HAVE_RUN
        result = ClaimResult(state, take.name, take.nonce, asked_at_s)
        if state is not claim_shard.State.FINISHED:
            return result
        body = found.entry['body']
        return result._replace(
            status=found.entry['status'],
            headers=(('content-type', found.entry['content_type']),),
            body=None if body is None else base64.b64decode(body),
        )

    def _seen_since(self, nonce: str) -> float:
        if len(self._seen_since_s) > MAX_WAITING:
            self._seen_since_s.pop(next(iter(self._seen_since_s)))
        return self._seen_since_s.setdefault(nonce, self._clock())

    def check_sendable(self, claim: ClaimResult) -> None:
        """Raise RequestError, not run, when the claim is too old to send.

        Call it with no await between it and the send. A process paused
        after its claim would otherwise send when its key may have aged out
        and have been claimed and run by another.
        """
        granted = claim.state is claim_shard.State.GRANTED
        age_s = self._clock() - claim.claimed_at_s
        if not granted or age_s > SEND_WITHIN_S:
            raise _refusal('the claim is too old to send')

    async def finish(
        self,
        claim: ClaimResult,
        status: int,
        content_type: str,
        body: bytes,
    ) -> None:
        """Store the outcome; return when stored or after a short wait.

        It goes on being stored in the background, also over an outage.
        """
        kept = claim_shard.encode_body(body)
        change = claim_shard.Keep(
            claim.name, claim.nonce, status, content_type, kept
        )
        await self._settle(change)

    async def release(self, claim: ClaimResult) -> None:
        """Free the key of a request that is proved not to have run."""
        await self._settle(claim_shard.Drop(claim.name, claim.nonce))

    async def _settle(self, change: claim_shard.Change) -> None:
        waiting = _Waiting(change)
        self._add(waiting)
        with trio.move_on_after(FINISH_WAIT_S):
            await waiting.done.wait()

    async def flush(self) -> None:
        """Wait until nothing is waiting to be stored; for a planned stop."""
        for shard in self._shards:
            while shard.waiting:
                await shard.waiting[-1].done.wait()

    async def _run_shard(self, shard: _Shard) -> None:
        """Write the changes of one shard until none waits."""
        while shard.waiting:
            shard.waiting = [
                waiting for waiting in shard.waiting if not _is_dead(waiting)
            ]
            # A batch for another VM gathers there, and here while the one
            # before it is under way.
            if self._owner_of(shard) is None:
                await trio.sleep(self.linger_s)
                await self._pace()
            batch = shard.waiting[:MAX_BATCH]
            try:
                founds = await self._forward(shard, batch)
                if founds is None:
                    founds = await self._commit(shard, batch)
            except errors.BudgetError:
                # Not an outage: the batch grows until its turn comes.
                await trio.sleep(BUDGET_WAIT_S)
                continue
            except errors.StoreError as error:
                shard.current = False
                if not isinstance(error, _ShardError):
                    self._down_until_s = self._clock() + DOWN_BACKOFF_S
                self._fail_claims(shard)
                await trio.sleep(DOWN_BACKOFF_S)
                continue
            del shard.waiting[: len(batch)]
            for waiting, found in zip(batch, founds, strict=True):
                self._complete(waiting, found)
        shard.busy = False

    def _abandon(self, waiting: _Waiting) -> None:
        """Free, now or once settled, a claim that nobody will use."""
        waiting.abandoned = True
        if waiting.found is not None:
            self._free(waiting)

    async def _pace(self) -> None:
        """Wait for this VM's turn, so that claims leave the store room.

        Batches grow meanwhile; that costs less than a queue in the store,
        which also delays leases and configuration.
        """
        now_s = trio.current_time()
        self._next_write_s = max(now_s, self._next_write_s)
        wait_s = self._next_write_s - now_s
        self._next_write_s += 1 / MAX_WRITES_PER_S
        await trio.sleep(wait_s)

    def _complete(self, waiting: _Waiting, found: claim_shard.Found) -> None:
        waiting.found = found
        waiting.done.set()
        if waiting.abandoned:
            self._free(waiting)

    def _free(self, waiting: _Waiting) -> None:
        change = waiting.change
        granted = waiting.found.state is claim_shard.State.GRANTED
        if granted and isinstance(change, claim_shard.Take):
            drop = claim_shard.Drop(change.name, change.nonce)
            self._add(_Waiting(drop))

    def _fail_claims(self, shard: _Shard) -> None:
        """Refuse the claims that wait; keep outcomes and releases."""
        kept = []
        for waiting in shard.waiting:
            change = waiting.change
            if waiting.remote:
                # The VM it is from goes on by itself. It may be granted the
                # claim and send; freeing the key here would let it run
                # again.
                waiting.done.set()
                continue
            if not isinstance(change, claim_shard.Take):
                kept.append(waiting)
                continue
            waiting.done.set()
            if waiting.maybe_written:
                drop = _Waiting(claim_shard.Drop(change.name, change.nonce))
                drop.maybe_written = True
                kept.append(drop)
        shard.waiting = kept[-MAX_WAITING:]

    def _owner_of(self, shard: _Shard) -> str | None:
        return self.owners.owner_of(shard.name) if self.owners else None

    async def _forward(
        self, shard: _Shard, batch: list[_Waiting]
    ) -> list[claim_shard.Found] | None:
        """Have the shard's owner make the changes; None if it did not.

        What it may still make of them later does no harm: the nonces show
        a change that is there already.
        """
        owner = self._owner_of(shard)
        if owner is None or any(waiting.remote for waiting in batch):
            return None
        changes = [waiting.change for waiting in batch]
        try:
            return await self.owners.forward(owner, shard.number, changes)
        except errors.StoreError:
            FORWARD_FAILURES.inc()
            for waiting in batch:
                waiting.maybe_written = True
            return None

    async def _commit(
        self, shard: _Shard, batch: list[_Waiting]
    ) -> list[claim_shard.Found]:
        """Bring a batch into the store; raise StoreError if it cannot be.

        A lost answer needs no special case. The next try reads the shard:
        either the batch is there, which the nonces show, or the next write
        moves the version, after which the lost one can't take effect.
        """
        fresh = False
        for attempt in range(MAX_ATTEMPTS):
            if not shard.current:
                await self._read(shard)
                fresh = True
            entries, generation = self._aged(shard)
            before = dict(entries)
            founds = [
                claim_shard.apply(waiting.change, entries, generation)
                for waiting in batch
            ]
            forced = any(waiting.maybe_written for waiting in batch)
            if entries == before and not forced:
                if fresh:
                    return founds
                # Our copy may be old, and nothing would be written that
                # could conflict, so look before saying what was found.
                shard.current = False
                continue
            try:
                await self._write(shard, entries, generation)
            except errors.StoreConflictError:
                CONFLICTS.inc()
                await self._back_off(attempt)
            except errors.StoreUnknownError:
                for waiting in batch:
                    waiting.maybe_written = True
            else:
                return founds
            shard.current = False
        raise _ShardError(f'{shard.name} is contended')

    async def _back_off(self, attempt: int) -> None:
        limit_s = min(MAX_CONFLICT_WAIT_S, self.linger_s * 2**attempt)
        await trio.sleep(self._random.uniform(0, limit_s))

    async def _read(self, shard: _Shard) -> None:
        found = await self.store.get(KIND, shard.name, purpose=PURPOSE)
        if found.version < shard.version:
            # The store answers from the past; what we know is newer.
            raise _ShardError('an old answer')
        value: messages.ClaimShardValue = {'generation': 0, 'entries': {}}
        if found.value is not None:
            value = _decode(found.value)
        self._adopt(shard, found.version, value)

    def _adopt(
        self,
        shard: _Shard,
        version: int,
        value: messages.ClaimShardValue,
    ) -> None:
        if shard.generation != value['generation'] or not shard.version:
            shard.generation = value['generation']
            shard.generation_since_s = self._clock()
        shard.version = version
        shard.entries = value['entries']
        shard.current = True

    def _aged(self, shard: _Shard) -> tuple[claim_shard.Entries, int]:
        """Return a copy of the entries and the generation to write.

        Time is counted in generations of the shard. A VM starts the next
        one only after it has itself seen the present one stand for its full
        time, on its own clock that cannot jump. So no VM with a wrong date
        can free keys early, and the first entry of a generation is kept
        for at least the retention. The conditional update makes sure that
        the generation seen is still the present one.
        """
        generation = shard.generation
        stood_s = self._clock() - shard.generation_since_s
        if shard.version and stood_s > self._retention_s / (
            claim_shard.GENERATIONS
        ):
            generation += 1
        return claim_shard.age_out(shard.entries, generation), generation

    async def _write(
        self, shard: _Shard, entries: claim_shard.Entries, generation: int
    ) -> None:
        value: messages.ClaimShardValue = {
            'generation': generation,
            'entries': entries,
        }
        WRITES.inc()
        version = await self.store.put(
            KIND,
            shard.name,
            typing.cast(stores.Value, value),
            shard.version,
            purpose=PURPOSE,
        )
        self._adopt(shard, version, value)


def make_claims(
    store: stores.Store,
    vm_name: str,
    clock: clocks.Clock,
    shards: int,
    retention_s: float,
) -> Claims:
    """Return the claims of a VM; its run_batches must be running.

    All VMs must use the same number of shards. A key is kept for at least
    retention_s and may run again some time after.
    """
    return Claims(store, vm_name, clock, shards, retention_s)
