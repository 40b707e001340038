"""Test nodes together: spread, freshness, membership under failures."""

import pytest
import trio

from gentianstair import errors
from gentianstair.peers import link
from standins import memory_network
from test.peers import fleet as fleet_module

FRESHNESS_S = 6.0
# From a revocation to the last VM that honours it: a view goes stale after
# freshness_s, and a beat under way adds less than a second.
LIMIT_S = FRESHNESS_S + 1.0


async def test_a_change_reaches_every_node(autojump_clock):
    async with fleet_module.open_fleet(12) as fleet:
        revision = fleet.write('key', 'k2', fleet_module.key())
        took_s = await fleet.wait(lambda vm: vm.view.revision >= revision)
        assert took_s < 1.0
        found = await fleet.running['v3'].node.confirmed_revisions()
        assert found == {f'v{i}': revision for i in range(12)}


@pytest.mark.promise
@pytest.mark.parametrize('cut_off', [[], ['v0'], ['v0', 'v1', 'v2', 'v3']])
async def test_revoked_key_stops_within_seconds(autojump_clock, cut_off):
    """A caller goes on with a revoked key at a VM that missed the news.

    Some VMs, or one alone, lose the store and the other VMs in the same
    instant; then an operator revokes the key. They cannot hear of it, so
    what stops the key there is that their view grows too old.
    """
    async with fleet_module.open_fleet(8) as fleet:
        rest = [name for name in fleet.running if name not in cut_off]
        fleet.hub.split(
            [f'{name}:1' for name in cut_off], [f'{name}:1' for name in rest]
        )
        fleet.set_store_down(True, cut_off)
        fleet.write('key', 'k1', fleet_module.key(revoked=True))
        await fleet.wait(
            lambda vm: not fleet_module.accepts(vm), limit_s=LIMIT_S
        )
        # It stays so: half of the VMs is no majority.
        for _ in range(60):
            await trio.sleep(1.0)
            assert not any(fleet_module.accepts(vm) for vm in fleet.select())
        assert all(vm.node.is_fresh() for vm in fleet.select(rest))
        fleet.hub.heal()
        fleet.set_store_down(False)
        await fleet.wait(lambda vm: vm.node.is_fresh())
        assert not any(fleet_module.accepts(vm) for vm in fleet.select())


@pytest.mark.promise
async def test_bytes_held_up_by_a_cut_are_not_fresh_news(autojump_clock):
    """A VM honours a revoked key again for a moment when a cut heals.

    The beats of the last second before the cut wait in the kernel and come
    out when it heals. They say that the view was current; that was true
    when they were sent. The store is still down for the VM at that time.
    """
    async with fleet_module.open_fleet(3, domains=1) as fleet:
        fleet.hub.latency_s = 0.5
        await trio.sleep(10.0)
        fleet.set_store_down(True, ['v0'])
        fleet.hub.split(['v0:1'], ['v1:1', 'v2:1'])
        cut_s = trio.current_time()
        fleet.write('key', 'k1', fleet_module.key(revoked=True))
        # With its peers gone there is nothing behind the old beats that
        # would set the VM right.
        fleet.kill('v1')
        fleet.kill('v2')
        await trio.sleep(3.0)
        fleet.hub.heal()
        vm = fleet.running['v0']
        for _ in range(100):
            await trio.sleep(0.01)
            since_s = trio.current_time() - cut_s
            assert vm.node.config_age_s() >= since_s - 0.01


@pytest.mark.promise
async def test_store_down_ten_minutes(autojump_clock):
    """Every caller is refused for as long as the store is down.

    All VMs lose the store but none of the others. No operator can revoke a
    key then, so the VMs go on; one that is started meanwhile gets all it
    needs from its peers; and a change made afterwards reaches all.
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
    """Two sides of a partition serve by different keys for minutes.

    The store is down for all, then a failure domain is cut off. The others
    are a majority and go on; the domain alone is none and refuses, also
    long after it gave the others up.
    """
    async with fleet_module.open_fleet(9) as fleet:
        fleet.set_store_down(True)
        await trio.sleep(30.0)
        away = ['v0', 'v3', 'v6']
        rest = [name for name in fleet.running if name not in away]
        fleet.hub.split(
            [f'{name}:1' for name in away], [f'{name}:1' for name in rest]
        )
        await fleet.wait(
            lambda vm: not vm.node.is_fresh(), LIMIT_S, names=away
        )
        for _ in range(120):
            await trio.sleep(1.0)
            assert not any(vm.node.is_fresh() for vm in fleet.select(away))
            assert all(vm.node.is_fresh() for vm in fleet.select(rest))


async def test_one_way_cut_does_not_flap(autojump_clock):
    """A VM's status flaps and work moves away from it and back for minutes.

    v0 hears nothing from v3, though v3 hears v0 and others hear both. Were
    that enough to suspect v3, it would refute it, again and again.
    """
    async with fleet_module.open_fleet(8) as fleet:
        fleet.hub.cut('v3:1', 'v0:1', one_way=True)
        for _ in range(180):
            await trio.sleep(1.0)
            for vm in fleet.select():
                states = {(m.status, m.counter) for m in vm.node.members()}
                # A counter above 0 is a claim that had to be refuted.
                assert states == {('live', 0)}
                assert vm.node.is_fresh()


@pytest.mark.parametrize('pause_s', [0.0, 3.0, 60.0])
async def test_vm_returns_with_the_same_address(autojump_clock, pause_s):
    """A VM that was replaced under its old address is taken for dead.

    Its predecessor was killed and may be suspect or gone by now. Those
    claims are about the former incarnation and must not touch the new one.
    """
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


async def test_all_vms_replaced_at_once(autojump_clock):
    """After a fleet-wide restart nobody serves, though the store is up."""
    async with fleet_module.open_fleet(9) as fleet:
        for name in list(fleet.running):
            fleet.kill(name)
        fleet.vm_list.vms.clear()
        await trio.sleep(1.0)
        for index in range(9):
            fleet.start(f'w{index}', 'abc'[index % 3])
        await fleet.wait(fleet_module.accepts, limit_s=10.0)


async def test_summaries_reach_all_and_only_newest_counts(autojump_clock):
    """Two VMs give a customer its whole share each, for want of news."""
    async with fleet_module.open_fleet(6) as fleet:
        heard = {}
        for name, vm in fleet.running.items():
            seen = heard.setdefault(name, {})
            vm.node.subscribe('load', seen.__setitem__)
        for value in range(5):
            fleet.running['v0'].node.publish('load', {'value': value})
            await trio.sleep(0.1)
        await trio.sleep(2.0)
        assert heard.pop('v0') == {}
        assert all(seen == {'v0': {'value': 4}} for seen in heard.values())
        sent = fleet.hub.bytes_sent
        fleet.running['v0'].node.publish('load', {'value': 4})
        before = fleet.running['v0'].node._summaries.take_due()
        assert before == [], 'an unchanged summary was sent again'
        assert fleet.hub.bytes_sent == sent
        with pytest.raises(errors.DecodeError):
            fleet.running['v0'].node.publish('load', {'value': 'x' * 5000})


HUGE = 2**70
STRANGER = {
    'name': 'x',
    'incarnation': HUGE,
    'counter': -1,
    'status': 'odd',
    'failure_domain': 'z',
    'region': '',
    'address': 'nowhere',
}
SENSELESS = [
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
    {'type': 'members', 'members': [STRANGER, STRANGER]},
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


async def test_senseless_messages_cost_a_link_at_most(autojump_clock):
    """One VM with a fault takes down every VM that it talks to."""
    async with fleet_module.open_fleet(3) as fleet:
        network = memory_network.MemoryNetwork(fleet.hub, 'x:1')
        hello = {
            'type': 'hello',
            'member': {**STRANGER, 'incarnation': 1},
            'digest': 0,
            'members_digest': 0,
            'buckets': [],
        }
        for message in SENSELESS:
            async with network.open('v0:1') as channel:
                await channel.send(link.encode(hello))
                await channel.send(link.encode(message))
                await trio.sleep(3.0)
            assert all(vm.node.is_fresh() for vm in fleet.select())
        await trio.sleep(30.0)
        assert all(vm.node.is_fresh() for vm in fleet.select())
