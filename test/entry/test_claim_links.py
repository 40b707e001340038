"""Test forwarding of claims to the VM that owns their shard."""

import functools

import pytest
import trio

from gentianstair import errors
from gentianstair.entry import claim_links
from gentianstair.entry import claim_shard
from gentianstair.entry import claims
from gentianstair.generated import messages
from gentianstair.store import presence
from gentianstair.util import clock
from standins import memory_network
from standins import memory_store
from standins.platform import objects

NAMES = ('vm-1', 'vm-2', 'vm-3')
State = claim_shard.State


async def start_vm(nursery, hub, table, name):
    """Return the claims and the store of a VM with links."""
    store = memory_store.MemoryStore(table)
    vm_claims = claims.make_claims(store, name, clock.trio_time_s, 4, 1000.0)
    make_presence = functools.partial(
        presence.make_presence, store, claim_links.KIND, name
    )
    links = claim_links.make_links(
        vm_claims,
        memory_network.MemoryNetwork(hub, name),
        name,
        lambda address: make_presence(
            address, clock.trio_time_s, claim_links.HEARTBEAT_S
        ),
    )
    nursery.start_soon(vm_claims.run_batches)
    nursery.start_soon(links.run)
    return vm_claims, store


async def claim_all(vms, prefix):
    """Have every VM claim the same 60 keys; return the states by key."""
    found = {}

    async def claim(vm_claims, key):
        result = await vm_claims.claim('c', key, 'd')
        found.setdefault(key, []).append(result.state)

    async with trio.open_nursery() as nursery:
        for vm_claims, _ in vms:
            for number in range(60):
                nursery.start_soon(claim, vm_claims, f'{prefix}-{number}')
    return found


@pytest.mark.promise
async def test_only_the_owner_writes_and_a_partition_grants_each_key_once(
    autojump_clock,
):
    """Three VMs claim the same keys, before and after one is partitioned.

    With links, only the owner writes a shard. In the partition every VM
    writes by itself, and each key is still granted once.
    """
    hub = memory_network.Hub()
    table = objects.ObjectTable()
    async with trio.open_nursery() as nursery:
        vms = [await start_vm(nursery, hub, table, name) for name in NAMES]
        await trio.sleep(10.0)
        before = [store.calls['claim'] for _, store in vms]
        found = await claim_all(vms, 'linked')
        for states in found.values():
            assert sorted(s.value for s in states) == [
                'granted',
                'running_elsewhere',
                'running_elsewhere',
            ]
        # At most a read and three writes for each of four shards.
        calls = sum(store.calls['claim'] for _, store in vms) - sum(before)
        assert calls <= 16
        for other in NAMES[1:]:
            hub.cut(NAMES[0], other)
        found = await claim_all(vms, 'cut')
        for states in found.values():
            assert states.count(State.GRANTED) == 1
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'\xff',
        b'\x81' * 100000,
        b'\xc2\x59\xff\xff' + b'\xff' * 65535,
        b'\xbf\xff',
    ],
    ids=['nothing', 'break', 'deep', 'digits', 'without-end'],
)
def test_bytes_that_are_no_message_are_a_decode_error(data):
    # Guards against a claim that waits for an answer nobody could read.
    with pytest.raises(errors.DecodeError):
        claim_links._decode(data, messages.ClaimAsk)
