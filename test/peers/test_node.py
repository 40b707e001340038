"""Test configuration, freshness and membership of nodes under failures."""

import pytest
import trio

from gentianstair import errors
from gentianstair.peers import link
from standins import memory_network
from test.peers import fleet as fleet_module

FRESHNESS_S = 6.0
# Longest time from a revocation until no VM accepts the key: a view expires
# after freshness_s, and a heartbeat in flight adds less than a second.
REVOCATION_LIMIT_S = FRESHNESS_S + 1.0


async def test_change_reaches_every_node(autojump_clock):
    async with fleet_module.open_fleet(12) as fleet:
        revision = fleet.write('key', 'k2', fleet_module.key())
        took_s = await fleet.wait(lambda vm: vm.view.revision >= revision)
        assert took_s < 1.0
        revisions = await fleet.running['v3'].node.confirmed_revisions()
        assert revisions == {f'v{i}': revision for i in range(12)}


@pytest.mark.promise
@pytest.mark.parametrize(
    'cut_off',
    [[], ['v0'], ['v0', 'v1', 'v2', 'v3']],
    ids=['none cut off', 'one cut off', 'half cut off'],
)
async def test_revoked_key_stops_within_seconds(autojump_clock, cut_off):
    """A VM that is cut off keeps accepting a revoked key.

    No VM, one, or half of them lose the store and the others, and then the
    key is revoked. The VMs that are cut off must refuse once their view is
    too old.
    """
    async with fleet_module.open_fleet(8) as fleet:
        rest = [name for name in fleet.running if name not in cut_off]
        fleet.hub.split(
            [f'{name}:1' for name in cut_off], [f'{name}:1' for name in rest]
        )
        fleet.set_store_down(True, cut_off)
        fleet.write('key', 'k1', fleet_module.key(revoked=True))
        await fleet.wait(
            lambda vm: not fleet_module.accepts(vm), limit_s=REVOCATION_LIMIT_S
        )
        # Half of the VMs is no majority, so they keep refusing.
        for _ in range(60):
            await trio.sleep(1.0)
            assert not any(fleet_module.accepts(vm) for vm in fleet.select())
        assert all(vm.node.is_fresh() for vm in fleet.select(rest))
        fleet.hub.heal()
        fleet.set_store_down(False)
        await fleet.wait(lambda vm: vm.node.is_fresh())
        assert not any(fleet_module.accepts(vm) for vm in fleet.select())


@pytest.mark.promise
async def test_heartbeats_delayed_by_a_partition_do_not_refresh(
    autojump_clock,
):
    """A VM briefly accepts a revoked key again when a partition heals.

    Heartbeats sent before the partition are delivered when it heals. They
    must count from when they were sent, while the store is still down.
    """
    async with fleet_module.open_fleet(3, domains=1) as fleet:
        fleet.hub.latency_s = 0.5
        await trio.sleep(10.0)
        fleet.set_store_down(True, ['v0'])
        fleet.hub.split(['v0:1'], ['v1:1', 'v2:1'])
        partition_s = trio.current_time()
        fleet.write('key', 'k1', fleet_module.key(revoked=True))
        # Without its peers, no later message corrects the VM.
        fleet.kill('v1')
        fleet.kill('v2')
        await trio.sleep(3.0)
        fleet.hub.heal()
        vm = fleet.running['v0']
        for _ in range(100):
            await trio.sleep(0.01)
            since_s = trio.current_time() - partition_s
            assert vm.node.config_age_s() >= since_s - 0.01


@pytest.mark.promise
async def test_fleet_serves_during_ten_minutes_without_store(autojump_clock):
    """Every caller is refused while the store is down for all VMs.

    A VM that starts meanwhile must get its view from peers, and a change
    made after the outage must reach all.
    """
    async with fleet_module.open_fleet(6) as fleet:
        fleet.set_store_down(True)
        for second in range(600):
            await trio.sleep(1.0)
            if second == 300:
                fleet.kill('v4')
                fleet.start('v9', 'b')
                fleet.set_store_down(True)
                await fleet.wait(fleet_module.accepts, limit_s=10.0)
            assert all(fleet_module.accepts(vm) for vm in fleet.select())
        fleet.set_store_down(False)
        fleet.write('key', 'k1', fleet_module.key(revoked=True))
        await fleet.wait(lambda vm: not fleet_module.accepts(vm), limit_s=10.0)


@pytest.mark.promise
async def test_minority_without_store_refuses(autojump_clock):
    """Both sides of a partition serve, with different keys.

    The store is down for all, and then a failure domain is cut off. It must
    refuse, also after it marked the others as gone; the majority goes on.
    """
    async with fleet_module.open_fleet(9) as fleet:
        fleet.set_store_down(True)
        await trio.sleep(30.0)
        minority = ['v0', 'v3', 'v6']
        majority = [name for name in fleet.running if name not in minority]
        fleet.hub.split(
            [f'{name}:1' for name in minority],
            [f'{name}:1' for name in majority],
        )
        await fleet.wait(
            lambda vm: not vm.node.is_fresh(),
            REVOCATION_LIMIT_S,
            names=minority,
        )
        for _ in range(120):
            await trio.sleep(1.0)
            assert not any(vm.node.is_fresh() for vm in fleet.select(minority))
            assert all(vm.node.is_fresh() for vm in fleet.select(majority))


async def test_one_way_cut_does_not_change_status(autojump_clock):
    """A VM's status flaps while only one path to it is cut.

    v0 receives nothing from v3, though all others reach both. v0 must not
    suspect v3, which would refute it again and again.
    """
    async with fleet_module.open_fleet(8) as fleet:
        fleet.hub.cut('v3:1', 'v0:1', one_way=True)
        for _ in range(180):
            await trio.sleep(1.0)
            for vm in fleet.select():
                states = {(m.status, m.counter) for m in vm.node.members()}
                # A counter above 0 means that a claim was refuted.
                assert states == {('live', 0)}
                assert vm.node.is_fresh()


@pytest.mark.parametrize('pause_s', [0.0, 3.0, 60.0])
async def test_replaced_vm_with_same_address_is_live(autojump_clock, pause_s):
    """Claims about a killed VM mark its replacement as suspect or gone."""
    async with fleet_module.open_fleet(6) as fleet:
        former = _incarnation(fleet, 'v2')
        fleet.kill('v2')
        await trio.sleep(pause_s)
        if pause_s > 30:
            status = {m.name: m.status for m in _members(fleet, 'v0')}
            assert status['v2'] == 'gone'
        fleet.start('v2', 'c')
        await fleet.wait(lambda vm: vm.node.is_fresh())
        await trio.sleep(5.0)
        for _ in range(60):
            await trio.sleep(1.0)
            for vm in fleet.select():
                seen = {m.name: m for m in vm.node.members()}['v2']
                assert seen.status == 'live'
                assert seen.incarnation > former


def _members(fleet, name):
    return fleet.running[name].node.members()


def _incarnation(fleet, name):
    return {m.name: m.incarnation for m in _members(fleet, 'v0')}[name]


async def test_fleet_recovers_when_all_vms_are_replaced(autojump_clock):
    """After a restart of the whole fleet no VM serves again."""
    async with fleet_module.open_fleet(9) as fleet:
        for name in list(fleet.running):
            fleet.kill(name)
        fleet.vm_list.vms.clear()
        await trio.sleep(1.0)
        for index in range(9):
            fleet.start(f'w{index}', 'abc'[index % 3])
        await fleet.wait(fleet_module.accepts, limit_s=10.0)


async def test_newest_summary_reaches_all_and_is_not_resent(autojump_clock):
    """VMs share limits by outdated summaries, or resend unchanged ones."""
    async with fleet_module.open_fleet(6) as fleet:
        received = {}
        for name, vm in fleet.running.items():
            seen = received.setdefault(name, {})
            vm.node.subscribe('load', seen.__setitem__)
        for value in range(5):
            fleet.running['v0'].node.publish('load', {'value': value})
            await trio.sleep(0.1)
        await trio.sleep(2.0)
        assert received.pop('v0') == {}
        assert all(seen == {'v0': {'value': 4}} for seen in received.values())
        bytes_before = fleet.hub.bytes_sent
        fleet.running['v0'].node.publish('load', {'value': 4})
        unchanged = fleet.running['v0'].node._summaries.take_due()
        assert unchanged == [], 'an unchanged summary was sent again'
        assert fleet.hub.bytes_sent == bytes_before
        with pytest.raises(errors.DecodeError):
            fleet.running['v0'].node.publish('load', {'value': 'x' * 5000})


HUGE = 2**70
INVALID_MEMBER = {
    'name': 'x',
    'incarnation': HUGE,
    'counter': -1,
    'status': 'odd',
    'failure_domain': 'z',
    'region': '',
    'address': 'nowhere',
}
INVALID_MESSAGES = [
    {'type': 'beat', 'sent_ms': HUGE, 'revision': HUGE, 'digest': -1},
    {
        'type': 'beat',
        'sent_ms': 0,
        'echo_ms': 10**400,
        'held_ms': -HUGE,
        'age_ms': -HUGE,
        'reached': HUGE,
        'reached_age_ms': -HUGE,
        'outage_age_ms': -HUGE,
        'revision': 0,
        'digest': 0,
        'members_digest': 0,
    },
    {'type': 'members', 'members': [INVALID_MEMBER, INVALID_MEMBER]},
    {'type': 'listed', 'states': {'': {'state': '', 'at_ms': -HUGE}}},
    {'type': 'ask', 'buckets': [HUGE] * 7},
    {
        'type': 'survey',
        'survey_id': '',
        'left_ms': 10**400,
        'revisions': True,
    },
    {
        'type': 'survey_answer',
        'survey_id': '',
        'reached': -HUGE,
        'revisions': {},
    },
    {'type': 'probe', 'name': 'nobody'},
    {
        'type': 'objects',
        'objects': [{'kind': '', 'name': '', 'version': -1, 'value': None}],
        'final': True,
    },
]


async def test_invalid_messages_close_only_their_link(autojump_clock):
    """A faulty VM takes down every VM that it sends messages to."""
    async with fleet_module.open_fleet(3) as fleet:
        network = memory_network.MemoryNetwork(fleet.hub, 'x:1')
        hello = {
            'type': 'hello',
            'member': {**INVALID_MEMBER, 'incarnation': 1},
            'digest': 0,
            'members_digest': 0,
            'buckets': [],
        }
        for message in INVALID_MESSAGES:
            async with network.open('v0:1') as channel:
                await channel.send(link.encode(hello))
                await channel.send(link.encode(message))
                await trio.sleep(3.0)
            assert all(vm.node.is_fresh() for vm in fleet.select())
        await trio.sleep(30.0)
        assert all(vm.node.is_fresh() for vm in fleet.select())
