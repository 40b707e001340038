"""Run non-idempotent requests at most once, by claims of their keys."""

import base64
import hashlib
import secrets
import typing

import prometheus_client
import trio
import xxhash

from gentianstair import errors
from gentianstair.entry import claim_shard
from gentianstair.entry import shard_writer
from gentianstair.store import store as stores
from gentianstair.util import clock as clocks
from gentianstair.util import tasks

# Time for which a shard collects changes for one conditional update.
LINGER_S = 0.005
# Most writes of one VM, so that claims leave the store room for others: eight
# VMs leave it half.
MAX_WRITES_PER_S = 25.0
# Wait after this process's own store budget refused a call.
STORE_BUDGET_WAIT_S = 0.05
# Longest wait for a claim before the caller is refused.
CLAIM_TIMEOUT_S = 3.0
# Longest time that a response is held back until its outcome is stored.
OUTCOME_WAIT_S = 0.25
# Age up to which a granted claim allows the request to be sent. It is far
# below the retention, so a paused process cannot send after its key expired.
MAX_AGE_AT_SEND_S = 15.0
# Time after a failed store call during which new claims are refused.
STORE_FAILURE_BACKOFF_S = 0.5
RETRY_AFTER_S = 1.0
MAX_BATCH = 500
# Outcomes and releases kept for a failing store. The oldest are dropped
# beyond that, and their keys stay at MAY_HAVE_RUN.
MAX_PENDING = 5000
# A claim without outcome counts as abandoned this long after this VM saw it.
ABANDONED_AFTER_S = 300.0

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


class ClaimResult(typing.NamedTuple):
    """The result of a claim; also identifies a granted claim later.

    A finished claim carries the stored outcome; ``body`` is None if it was
    too long to store. ``claimed_at_s`` was read before the store call.
    """

    state: claim_shard.State
    name: str
    nonce: str
    claimed_at_s: float
    status: int | None = None
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


class ShardOwners(typing.Protocol):
    """Forwards changes to the VM that owns a shard, to avoid conflicts.

    Ownership is only an optimization. Every VM can write every shard, and
    conditional updates keep concurrent writers correct.
    """

    def owner_of(self, shard_name: str) -> str | None:
        """Return another VM that writes this shard, None for this one."""

    async def forward(
        self,
        owner: str,
        shard_number: int,
        changes: list[claim_shard.Change],
    ) -> list[claim_shard.ChangeResult]:
        """Have the owner apply changes; raise StoreOutcomeUnknownError."""


def _is_cancelled(pending: shard_writer.PendingChange) -> bool:
    """Return whether an abandoned claim was certainly never written."""
    return pending.abandoned and not pending.maybe_written


def _entry_name(customer: str, key: str) -> str:
    # A hash has a fixed length and only characters that the store allows.
    text = f'{len(customer)}:{customer}:{key}'
    return hashlib.sha256(text.encode()).hexdigest()[:40]


def _refusal(detail: str) -> errors.RequestError:
    return errors.RequestError(
        503, 'claim-unavailable', detail, retry_after_s=RETRY_AFTER_S
    )


class Claims:
    """The claims of one VM; changes to a shard are written in batches."""

    def __init__(
        self,
        store: stores.Store,
        vm_name: str,
        clock: clocks.Clock,
        shards: int,
        retention_s: float,
        linger_s: float,
    ) -> None:
        self.store = store
        self._vm_name = vm_name
        self._clock = clock
        self._shards = [
            shard_writer.Shard(f'shard-{i:05d}', i) for i in range(shards)
        ]
        self._refuse_until_s = float('-inf')
        self._first_seen_s: dict[str, float] = {}
        self._send, self._receive = trio.open_memory_channel[
            shard_writer.Shard
        ](shards)
        self._next_write_s = float('-inf')
        self._linger_s = linger_s
        self._writer = shard_writer.ShardWriter(
            store, clock, retention_s, linger_s
        )
        self.owners: ShardOwners | None = None

    def _shard_of(self, name: str) -> shard_writer.Shard:
        number = xxhash.xxh64_intdigest(name.encode()) % len(self._shards)
        return self._shards[number]

    async def apply_forwarded(
        self, shard_number: int, changes: list[claim_shard.Change]
    ) -> list[claim_shard.ChangeResult]:
        """Apply changes of another VM; raise StoreError if they failed."""
        names = {f'shard-{shard_number:05d}'}
        if names != {self._shard_of(item.name).name for item in changes}:
            # The other VM is configured with another number of shards.
            raise errors.StoreOutcomeUnknownError(
                f'keys do not belong to shard {shard_number}'
            )
        shard = self._shards[shard_number]
        pending_changes = [
            shard_writer.PendingChange(change, remote=True)
            for change in changes
        ]
        for pending in pending_changes:
            self._add(pending, shard)
        results = []
        for pending in pending_changes:
            await pending.done.wait()
            if pending.found is None:
                raise errors.StoreOutcomeUnknownError(shard.name)
            results.append(pending.found)
        return results

    def _add(
        self,
        pending: shard_writer.PendingChange,
        shard: shard_writer.Shard | None = None,
    ) -> None:
        shard = shard or self._shard_of(pending.change.name)
        shard.pending.append(pending)
        if not shard.is_scheduled:
            shard.is_scheduled = True
            self._send.send_nowait(shard)

    async def run_batches(self) -> None:
        """Write pending changes until cancelled."""
        async with trio.open_nursery() as nursery:
            running = tasks.Tasks(nursery)
            async for shard in self._receive:
                running.start_soon(
                    'claim-shard', self._run_shard, shard, shard=shard.name
                )

    async def claim(self, customer: str, key: str, digest: str) -> ClaimResult:
        """Claim a key for the request with this digest.

        Raise RequestError 503, NOT_RUN, if the store is not available.
        """
        asked_at_s = self._clock()
        if asked_at_s < self._refuse_until_s:
            raise _refusal('the store of claims is not available')
        name = _entry_name(customer, key)
        nonce = secrets.token_hex(8)
        take = claim_shard.Take(name, digest, nonce, self._vm_name)
        pending = shard_writer.PendingChange(take)
        self._add(pending)
        try:
            with trio.move_on_after(CLAIM_TIMEOUT_S):
                await pending.done.wait()
        except trio.Cancelled:
            self._abandon(pending)
            raise
        WAIT_S.observe(self._clock() - asked_at_s)
        if pending.found is None:
            self._abandon(pending)
            raise _refusal('the store of claims did not answer')
        if pending.found.state is claim_shard.State.FULL:
            raise _refusal('there is no room for more claims')
        result = self._result(take, pending.found, asked_at_s)
        RESULTS.labels(result.state.value).inc()
        return result

    def _result(
        self,
        take: claim_shard.Take,
        found: claim_shard.ChangeResult,
        asked_at_s: float,
    ) -> ClaimResult:
        state = found.state
        if state is claim_shard.State.RUNNING_ELSEWHERE:
            since_s = self._first_seen_at(found.entry['nonce'])
            if self._clock() - since_s > ABANDONED_AFTER_S:
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

    def _first_seen_at(self, nonce: str) -> float:
        if len(self._first_seen_s) > MAX_PENDING:
            self._first_seen_s.pop(next(iter(self._first_seen_s)))
        return self._first_seen_s.setdefault(nonce, self._clock())

    def check_sendable(self, claim: ClaimResult) -> None:
        """Raise RequestError, NOT_RUN, if the claim is too old to send.

        Call it directly before the send, without an await between them.
        After a pause of this process, the key may have expired, and another
        VM may have claimed it and run the request.
        """
        granted = claim.state is claim_shard.State.GRANTED
        age_s = self._clock() - claim.claimed_at_s
        if not granted or age_s > MAX_AGE_AT_SEND_S:
            raise _refusal('the claim is too old to send')

    async def finish(
        self,
        claim: ClaimResult,
        status: int,
        content_type: str,
        body: bytes,
    ) -> None:
        """Store the outcome; return when it is stored or after a short wait.

        After the wait it is stored in the background, retried in an outage.
        """
        kept = claim_shard.encode_body(body)
        change = claim_shard.Keep(
            claim.name, claim.nonce, status, content_type, kept
        )
        await self._store_change(change)

    async def release(self, claim: ClaimResult) -> None:
        """Release the key of a request that certainly did not run."""
        await self._store_change(claim_shard.Drop(claim.name, claim.nonce))

    async def _store_change(self, change: claim_shard.Change) -> None:
        pending = shard_writer.PendingChange(change)
        self._add(pending)
        with trio.move_on_after(OUTCOME_WAIT_S):
            await pending.done.wait()

    async def flush(self) -> None:
        """Wait until no change is pending; called at a planned shutdown."""
        for shard in self._shards:
            while shard.pending:
                await shard.pending[-1].done.wait()

    async def _run_shard(self, shard: shard_writer.Shard) -> None:
        """Write or forward a shard's pending changes until none is left.

        After a fault those that wait are refused, and the next change begins
        anew.
        """
        try:
            await self._write_pending(shard)
        except Exception:
            shard.is_current = False
            self._refuse_pending_claims(shard)
            raise
        finally:
            shard.is_scheduled = False

    async def _write_pending(self, shard: shard_writer.Shard) -> None:
        while shard.pending:
            shard.pending = [
                pending
                for pending in shard.pending
                if not _is_cancelled(pending)
            ]
            # A forwarded batch is delayed by its owner instead.
            if self._owner_of(shard) is None:
                await trio.sleep(self._linger_s)
                await self._limit_write_rate()
            batch = shard.pending[:MAX_BATCH]
            try:
                results = await self._forward(shard, batch)
                if results is None:
                    results = await self._writer.write(shard, batch)
            except errors.StoreRateLimitError:
                # Not an outage: the batch grows until the budget allows it.
                await trio.sleep(STORE_BUDGET_WAIT_S)
                continue
            except errors.StoreError as error:
                shard.is_current = False
                if not isinstance(error, shard_writer.ShardError):
                    self._refuse_until_s = (
                        self._clock() + STORE_FAILURE_BACKOFF_S
                    )
                self._refuse_pending_claims(shard)
                await trio.sleep(STORE_FAILURE_BACKOFF_S)
                continue
            del shard.pending[: len(batch)]
            for pending, found in zip(batch, results, strict=True):
                self._complete(pending, found)

    def _abandon(self, pending: shard_writer.PendingChange) -> None:
        """Release an unused claim, now or once its result is known."""
        pending.abandoned = True
        if pending.found is not None:
            self._release_if_granted(pending)

    async def _limit_write_rate(self) -> None:
        """Wait until MAX_WRITES_PER_S allows this VM another write.

        Batches grow meanwhile. A queue at the store would cost more, as it
        also delays leases and configuration.
        """
        now_s = trio.current_time()
        self._next_write_s = max(now_s, self._next_write_s)
        wait_s = self._next_write_s - now_s
        self._next_write_s += 1 / MAX_WRITES_PER_S
        await trio.sleep(wait_s)

    def _complete(
        self,
        pending: shard_writer.PendingChange,
        found: claim_shard.ChangeResult,
    ) -> None:
        pending.found = found
        pending.done.set()
        if pending.abandoned:
            self._release_if_granted(pending)

    def _release_if_granted(self, pending: shard_writer.PendingChange) -> None:
        change = pending.change
        granted = pending.found.state is claim_shard.State.GRANTED
        if granted and isinstance(change, claim_shard.Take):
            drop = claim_shard.Drop(change.name, change.nonce)
            self._add(shard_writer.PendingChange(drop))

    def _refuse_pending_claims(self, shard: shard_writer.Shard) -> None:
        """Refuse the pending claims; keep outcomes and releases."""
        kept = []
        for pending in shard.pending:
            change = pending.change
            if pending.remote:
                # The VM that forwarded it writes it by itself and may send
                # the request; releasing the key here could let it run twice.
                pending.done.set()
                continue
            if not isinstance(change, claim_shard.Take):
                kept.append(pending)
                continue
            pending.done.set()
            if pending.maybe_written:
                drop = shard_writer.PendingChange(
                    claim_shard.Drop(change.name, change.nonce)
                )
                drop.maybe_written = True
                kept.append(drop)
        shard.pending = kept[-MAX_PENDING:]

    def _owner_of(self, shard: shard_writer.Shard) -> str | None:
        return self.owners.owner_of(shard.name) if self.owners else None

    async def _forward(
        self,
        shard: shard_writer.Shard,
        batch: list[shard_writer.PendingChange],
    ) -> list[claim_shard.ChangeResult] | None:
        """Have the shard's owner apply the changes; None if it did not.

        The owner may still apply them later. That is harmless: the nonces
        show changes that already took effect.
        """
        owner = self._owner_of(shard)
        if owner is None or any(pending.remote for pending in batch):
            return None
        changes = [pending.change for pending in batch]
        try:
            return await self.owners.forward(owner, shard.number, changes)
        except errors.StoreError:
            FORWARD_FAILURES.inc()
            for pending in batch:
                pending.maybe_written = True
            return None


def make_claims(
    store: stores.Store,
    vm_name: str,
    clock: clocks.Clock,
    shards: int,
    retention_s: float,
    linger_s: float = LINGER_S,
) -> Claims:
    """Return the claims of a VM; the caller must run its run_batches.

    All VMs must use the same number of shards. A key is kept for at least
    retention_s and can be claimed again some time after that.
    """
    return Claims(store, vm_name, clock, shards, retention_s, linger_s)
