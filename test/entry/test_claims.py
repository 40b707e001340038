"""Test that non-idempotent requests run at most once."""

import contextlib

import pytest
import trio

from gentianstair import errors
from gentianstair import verdict
from gentianstair.entry import claim_shard
from gentianstair.entry import claims
from gentianstair.store import call_budget
from gentianstair.util import clock
from standins import memory_store
from standins.platform import objects

State = claim_shard.State
RETENTION_S = 800.0


@contextlib.asynccontextmanager
async def open_vms(count, table=None, shards=2):
    """Yield (claims, faults) of VMs that share one store."""
    table = table or objects.ObjectTable()
    async with trio.open_nursery() as nursery:
        vms = []
        for i in range(count):
            store = memory_store.MemoryStore(table, objects.Faults(i))
            vm_claims = claims.make_claims(
                store, f'vm-{i}', clock.trio_time_s, shards, RETENTION_S
            )
            nursery.start_soon(vm_claims.run_batches)
            vms.append((vm_claims, store.faults))
        yield vms
        nursery.cancel_scope.cancel()


@pytest.mark.promise
async def test_one_of_many_racing_claims_is_granted(autojump_clock):
    """Repeats of one request reach several VMs at the same time.

    One claim is granted; the others later return the stored outcome.
    """
    async with open_vms(3) as vms:
        results = []

        async def claim(vm):
            results.append((vm, await vm.claim('c', 'k', 'd')))

        async with trio.open_nursery() as nursery:
            for vm, _ in vms * 2:
                nursery.start_soon(claim, vm)
        states = sorted(result.state.value for _, result in results)
        assert states == ['granted'] + ['running_elsewhere'] * 5
        vm, granted = next(r for r in results if r[1].state is State.GRANTED)
        vm.check_sendable(granted)
        await vm.finish(granted, 201, 'text/plain', b'number 7')
        for vm, _ in vms:
            again = await vm.claim('c', 'k', 'd')
            assert again.state is State.FINISHED
            assert (again.status, again.body) == (201, b'number 7')
            other = await vm.claim('c', 'k', 'other body')
            assert other.state is State.MISMATCH
            free = await vm.claim('other customer', 'k', 'd')
            assert free.state is not State.FINISHED


@pytest.mark.promise
async def test_store_outage_refuses_at_once_and_blocks_no_key(autojump_clock):
    """The store is down when a request arrives.

    It is refused at once as NOT_RUN with a Retry-After, and a write whose
    response was lost does not block the key later.
    """
    async with open_vms(1) as vms:
        [(vm, faults)] = vms
        faults.lose_answers = 1.0
        with pytest.raises(errors.RequestError) as caught:
            await vm.claim('c', 'k', 'd')
        faults.down = True
        await trio.sleep(5.0)
        started_s = trio.current_time()
        with pytest.raises(errors.RequestError) as caught:
            await vm.claim('c', 'k', 'd')
        assert trio.current_time() - started_s < 0.1
        assert caught.value.status == 503
        assert caught.value.verdict is verdict.Verdict.NOT_RUN
        assert caught.value.retry_after_s
        faults.down, faults.lose_answers = False, 0.0
        await trio.sleep(2.0)
        assert (await vm.claim('c', 'k', 'd')).state is State.GRANTED


@pytest.mark.promise
async def test_paused_vm_may_not_send_after_its_key_expired(autojump_clock):
    """A VM is paused between its claim and its send until the key expires.

    Another VM is then granted the key, so the first must not send.
    """
    async with open_vms(2) as vms:
        (first, _), (second, _) = vms
        granted = await first.claim('c', 'k', 'd')
        assert granted.state is State.GRANTED
        states = []
        for _ in range(40):
            await trio.sleep(RETENTION_S / claim_shard.RETENTION_GENERATIONS)
            found = await second.claim('c', 'k', 'd')
            states.append(found.state)
            # Writes to every shard start its next generation.
            for i in range(8):
                await second.claim('c', f'{trio.current_time()}-{i}', 'd')
            if found.state is State.GRANTED:
                break
        assert states[-1] is State.GRANTED
        assert trio.current_time() >= RETENTION_S
        assert State.MAY_HAVE_RUN in states
        with pytest.raises(errors.RequestError) as caught:
            first.check_sendable(granted)
        assert caught.value.verdict is verdict.Verdict.NOT_RUN


async def test_cancelled_claim_frees_its_key(autojump_clock):
    async with open_vms(2) as vms:
        (first, faults), (second, _) = vms
        faults.delay_s = 0.2
        with trio.move_on_after(0.25):
            await first.claim('c', 'k', 'd')
        await trio.sleep(2.0)
        assert (await second.claim('c', 'k', 'd')).state is State.GRANTED


async def test_release_frees_only_an_unfinished_claim(autojump_clock):
    async with open_vms(1) as vms:
        [(vm, _)] = vms
        granted = await vm.claim('c', 'k', 'd')
        await vm.release(granted)
        again = await vm.claim('c', 'k', 'd')
        assert again.state is State.GRANTED
        await vm.release(granted)
        await vm.finish(again, 200, '', b'x' * 5000)
        await vm.release(again)
        last = await vm.claim('c', 'k', 'd')
        assert (last.state, last.body) == (State.FINISHED, None)


async def test_outcome_survives_an_outage(autojump_clock):
    async with open_vms(2) as vms:
        (first, faults), (second, _) = vms
        granted = await first.claim('c', 'k', 'd')
        faults.down = True
        await first.finish(granted, 200, '', b'ok')
        await trio.sleep(600.0)
        faults.down = False
        await first.flush()
        found = await second.claim('c', 'k', 'd')
        assert (found.state, found.body) == (State.FINISHED, b'ok')


def test_full_shard_drops_bodies_but_no_keys():
    entries = {}
    count = 0
    body = 'x' * 5000
    while True:
        name = f'{count:040d}'
        take = claim_shard.Take(name, 'd', name, 'vm')
        if claim_shard.apply(take, entries, 0).state is State.FULL:
            break
        keep = claim_shard.Keep(name, name, 200, '', body)
        claim_shard.apply(keep, entries, 0)
        count += 1
    assert len(entries) == count > 1500
    assert claim_shard.size_bytes(entries) < 1_000_000
    assert (
        claim_shard.age_out(entries, claim_shard.RETENTION_GENERATIONS)
        == entries
    )
    assert (
        claim_shard.age_out(entries, claim_shard.RETENTION_GENERATIONS + 1)
        == {}
    )


async def test_exhausted_store_budget_delays_claims_and_refuses_none(
    autojump_clock,
):
    """With fewer store calls than requests, batches grow; none is refused."""
    inner = memory_store.MemoryStore()
    store = call_budget.BudgetStore(inner, clock.trio_time_s, 20.0, 10.0)
    vm_claims = claims.make_claims(
        store, 'vm', clock.trio_time_s, 2, RETENTION_S
    )
    states = []

    async def claim(number):
        await trio.sleep(number / 50.0)
        found = await vm_claims.claim('c', f'k-{number}', 'd')
        states.append(found.state)
        await vm_claims.finish(found, 200, '', b'')

    async with trio.open_nursery() as nursery:
        nursery.start_soon(vm_claims.run_batches)
        async with trio.open_nursery() as callers:
            for number in range(500):
                callers.start_soon(claim, number)
        nursery.cancel_scope.cancel()
    assert states == [State.GRANTED] * 500
    assert inner.calls['claim'] < 300


@pytest.mark.parametrize('is_finished', [False, True])
@pytest.mark.parametrize('is_in_copy', [False, True])
async def test_claim_that_the_store_lost_is_not_granted_again(
    is_in_copy, is_finished, autojump_clock
):
    # Guards against a second run after the store came back from a copy.
    table = objects.ObjectTable()
    async with open_vms(2, table, shards=1) as vms:
        (owner, _), (other, _) = vms
        if is_in_copy:
            await owner.claim('c', 'earlier', 'd')
        copied = table.copy()
        granted = await owner.claim('c', 'k', 'd')
        if is_finished:
            await owner.finish(granted, 201, 'text/plain', b'number 7')
        wanted = State.FINISHED if is_finished else State.RUNNING_ELSEWHERE
        table.go_back(copied)
        again = await owner.claim('c', 'k', 'd')
        elsewhere = await other.claim('c', 'k', 'd')
    assert [again.state, elsewhere.state] == [wanted, wanted]


async def test_outcome_reaches_a_claim_that_the_copy_holds_unfinished(
    autojump_clock,
):
    # Guards against an outcome that is lost with the store's last seconds.
    table = objects.ObjectTable()
    async with open_vms(2, table, shards=1) as vms:
        (owner, _), (other, _) = vms
        granted = await owner.claim('c', 'k', 'd')
        copied = table.copy()
        await owner.finish(granted, 201, 'text/plain', b'number 7')
        table.go_back(copied)
        await owner.claim('c', 'next', 'd')
        found = await other.claim('c', 'k', 'd')
    assert (found.status, found.body) == (201, b'number 7')


async def test_fault_in_a_shard_refuses_those_who_wait(
    autojump_clock, nursery, monkeypatch
):
    # Guards against a shard that nobody writes any more, and claims that
    # wait for it in vain.
    store = memory_store.MemoryStore(objects.ObjectTable())
    found = claims.make_claims(store, 'vm-1', clock.trio_time_s, 1, 1000.0)
    nursery.start_soon(found.run_batches)
    real = found._writer.write

    async def fail(shard, batch):
        monkeypatch.setattr(found._writer, 'write', real)
        raise RuntimeError('planted')

    monkeypatch.setattr(found._writer, 'write', fail)
    began_s = trio.current_time()
    with pytest.raises(errors.RequestError) as caught:
        await found.claim('c', 'k', 'd')
    assert trio.current_time() - began_s < 0.1
    assert caught.value.verdict is verdict.Verdict.NOT_RUN
    result = await found.claim('c', 'k2', 'd')
    assert result.state is claim_shard.State.GRANTED
