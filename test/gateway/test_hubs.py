"""Test which VMs a large fleet makes its hubs, and how its leaves learn."""

import collections
import contextlib
import json

import pytest
import trio

from gentianstair.gateway import hubs
from standins.site import site as sites
from test.gateway import gateways


def fleet(count, domains=3, big=0):
    """Return VMs spread over domains; the first big ones have more cores."""
    return [
        hubs.Vm(f'vm-{n}', f'd{n % domains}', f'10.0.0.{n}:1', 2.0 * (n < big))
        for n in range(count)
    ]


@pytest.mark.parametrize(
    ('vms', 'domains', 'expected'),
    [(1, 1, 1), (9, 3, 9), (12, 3, 12), (75, 3, 6), (61, 4, 6), (300, 3, 12)],
)
def test_hubs_are_spread_over_the_domains(vms, domains, expected):
    found = hubs.select(fleet(vms, domains))
    assert len(found) == expected
    by_domain = collections.Counter(hub.failure_domain for hub in found)
    assert max(by_domain.values()) - min(by_domain.values()) <= 1


def test_hubs_are_the_vms_with_the_most_cores():
    found = hubs.select(fleet(75, big=6))
    assert {hub.name for hub in found} == {f'vm-{n}' for n in range(6)}


def test_all_who_know_the_same_choose_the_same():
    vms = fleet(75)
    assert hubs.select(vms) == hubs.select(reversed(vms))


def test_leaves_go_to_their_own_domain_and_are_shared_out():
    vms = fleet(75)
    found = hubs.select(vms)
    leaves = [vm for vm in vms if vm not in found]
    first = [
        hubs.by_preference(vm.name, vm.failure_domain, found)[0]
        for vm in leaves
    ]
    pairs = zip(leaves, first, strict=True)
    assert all(vm.failure_domain == hub.failure_domain for vm, hub in pairs)
    taken = collections.Counter(hub.name for hub in first)
    assert len(taken) == len(found)
    assert max(taken.values()) < 3 * len(leaves) / len(found)


def test_a_lost_hub_moves_few_replicas():
    names = [f'vm-{n}' for n in range(6)]
    replicas = [f'i-{n}' for n in range(100)]
    before = {r: set(hubs.top_ranked(names, r)) for r in replicas}
    after = {r: set(hubs.top_ranked(names[1:], r)) for r in replicas}
    for replica in replicas:
        assert after[replica] >= before[replica] - {'vm-0'}


@pytest.fixture
def one_hub(monkeypatch):
    """Make fleets of two VMs and more have one hub."""
    monkeypatch.setattr(hubs, 'MAX_MESH_VMS', 1)
    monkeypatch.setattr(hubs, 'MIN_HUBS', 1)


@contextlib.asynccontextmanager
async def linked(tmp_path, count=4):
    """Yield a site and its gateways when leaves have had time to link."""
    async with sites.running() as site:
        async with gateways.running(site, tmp_path, count) as found:
            await trio.sleep(2.0)
            yield site, found


def hub_of(site):
    """Return the VM that watches the replicas."""
    ((vm, _),) = [
        pair
        for pair, calls in site.faults.calls.items()
        if pair[1] == 'servers' and calls > 0
    ]
    return vm


async def test_one_vm_asks_for_a_large_fleet(tmp_path, one_hub):
    """In a fleet of 75 VMs each asked each replica what it keeps.

    A replica keeps a dozen such calls waiting and refused the others at
    once, thousands a second, while each VM watched the store on its own:
    the fleet did little else, and callers waited behind it.
    """
    async with linked(tmp_path) as (site, found):
        site.faults.calls.clear()
        for replica in site.replicas:
            replica.most_cache_calls = replica.cache_calls
        await trio.sleep(2.0)
        hub_of(site)
        watching = {vm for vm, kind in site.faults.calls if kind == 'config'}
        assert len(watching) == 1
        for replica in site.replicas:
            assert replica.most_cache_calls <= 1
        for gateway in found:
            assert (await gateway.call('GET', '/lookup/entry')).is_success


async def test_a_busy_cache_is_not_asked_without_a_pause(tmp_path, one_hub):
    """A replica's cache changes twenty times a second, as under load.

    Each change ended a waiting call and began the next one: a large fleet
    spent more on these than on its callers' requests.
    """
    async with linked(tmp_path) as (site, _):
        busy = site.replica('i-reader')
        asked = busy.cache_asks
        for number in range(40):
            busy.changes.append([number, '+', '', f'{number:x}', 900, 'm'])
            await trio.sleep(0.05)
        assert 0 < busy.cache_asks - asked <= 5


async def test_leaves_learn_of_caches_replicas_and_versions(tmp_path, one_hub):
    async with linked(tmp_path) as (site, found):
        warm = site.replica('i-reader')
        warm.kept = {'c0de': 13300}
        warm.changes = [[1, '+', '', 'c0de', 13300, 'm']]
        config = json.loads(json.dumps(sites.CONFIG))
        config['version'] = 8
        config['tenants'].append({'name': 'new', 'api_keys': ['new-key']})
        site.put_config(config)
        await trio.sleep(2.0)
        headers = {
            'authorization': 'Bearer new-key',
            'x-model': 'm',
            'x-token-count': '13400,80',
            'x-prefix-hash': 'c0de:13300,b0b:100',
        }
        for number, gateway in enumerate(found):
            answer = await gateway.call(
                'POST', '/ask/rule', f'k{number}', **headers
            )
            assert answer.status_code == 200
        # All were read where the part was kept, or copied it from there.
        assert warm.arrivals + sum(
            len(replica.copied) for replica in site.replicas
        ) >= len(found)


async def test_a_leaf_goes_on_when_its_hub_is_lost(tmp_path, one_hub):
    """The one hub dies, and a replica leaves right after.

    Leaves that went on with what the hub said last would send work to the
    replica that has left; they read the store themselves in time.
    """
    async with linked(tmp_path) as (site, found):
        site.faults.calls.clear()
        await trio.sleep(1.0)
        number = int(hub_of(site).rpartition('-')[2])
        found[number].scope.cancel()
        site.replica('i-desk-1').draining = True
        # Within the two seconds that the settings allow.
        await trio.sleep(1.9)
        before = site.replica('i-desk-1').arrivals
        for gateway in found[:number] + found[number + 1 :]:
            for call in range(4):
                answer = await gateway.call('GET', '/lookup/entry', f'r{call}')
                assert answer.status_code == 200
        assert site.replica('i-desk-1').arrivals == before


async def test_a_leaf_leaves_a_hub_that_the_store_turns_away(
    tmp_path, one_hub
):
    """The store refuses the hub while it serves the others.

    What the hub tells grows old; its leaves must read the store themselves,
    or a replica that leaves would go on getting work.
    """
    async with linked(tmp_path) as (site, found):
        site.faults.calls.clear()
        await trio.sleep(1.0)
        hub = hub_of(site)
        site.faults.refused_vms.add(hub)
        site.faults.refused_status = 503
        site.replica('i-desk-1').draining = True
        await trio.sleep(1.9)
        before = site.replica('i-desk-1').arrivals
        for number, gateway in enumerate(found):
            if hub.endswith(f'-{number}'):
                continue
            for call in range(4):
                await gateway.call('GET', '/lookup/entry', f'r{call}')
        assert site.replica('i-desk-1').arrivals == before


async def test_an_answer_that_was_under_way_makes_no_hub_current(
    tmp_path, one_hub
):
    # Its leaves gave a leaving replica work for more than two seconds.
    async with linked(tmp_path) as (site, found):
        site.faults.calls.clear()
        await trio.sleep(1.0)
        hub = hub_of(site)
        asked = site.faults.calls[hub, 'config']
        with trio.fail_after(2.0):
            while site.faults.calls[hub, 'config'] == asked:
                await trio.sleep(0.005)
        site.faults.refused_vms.add(hub)
        site.faults.refused_status = 503
        site.replica('i-desk-1').draining = True
        # Within the two seconds that the settings allow.
        await trio.sleep(1.9)
        before = site.replica('i-desk-1').arrivals
        for number, gateway in enumerate(found):
            if hub.endswith(f'-{number}'):
                continue
            for call in range(4):
                await gateway.call('GET', '/lookup/entry', f'r{call}')
        assert site.replica('i-desk-1').arrivals == before
