"""Test how a leaf fails over between hubs, without a network."""

import contextlib

import pytest
import trio

from gentianstair.gateway import hub_client
from gentianstair.gateway import hubs
from gentianstair.gateway import peer_updates
from gentianstair.gateway import store_watch
from gentianstair.peers import link
from gentianstair.util import clock
from test.gateway import hub_nodes

# How long the stand-in takes to open a link.
OPEN_S = 0.003
RUN_S = 20.0


class FailingHubs:
    """A network and roster of hubs that all fail."""

    def __init__(self, count):
        self.vms = [
            hubs.Vm(f'hub-{n}', 'a', f'10.0.0.{n}:1', 2.0)
            for n in range(count)
        ]
        self.own_vm = hubs.Vm('leaf', 'a', '10.0.0.99:1', 2.0)
        self.opened = []

    def is_hub(self):
        return False

    def hubs(self):
        return self.vms

    def clear_hub_feed(self):
        pass

    @contextlib.asynccontextmanager
    async def open(self, address):
        self.opened.append((address, trio.current_time()))
        await trio.sleep(OPEN_S)
        raise link.LinkClosedError('the hub has lost the store')
        yield


def gaps_s(times):
    return [later - at for at, later in zip(times, times[1:], strict=False)]


@pytest.mark.parametrize('count', [1, 6])
async def test_leaf_pauses_between_attempts_when_all_hubs_fail(
    autojump_clock, nursery, count
):
    # Otherwise a leaf opens hundreds of links a second.
    failing = FailingHubs(count)
    node = hub_nodes.make_leaf()
    node.roster = failing
    leaf = hub_client.HubClient(node, failing, None)
    started_s = trio.current_time()
    with trio.move_on_after(RUN_S):
        await leaf.run()
    times = [at_s - started_s for _, at_s in failing.opened]
    # The first round goes through all of them at once.
    assert times[count - 1] <= 2 * OPEN_S * count
    later = gaps_s(times[count - 1 :])
    assert min(later) >= hub_client.HUB_RETRY_S
    # It goes on trying, and each of them.
    assert max(later) <= hub_client.HUB_RETRY_S + 2 * OPEN_S
    tried = {address for address, _ in failing.opened[count:]}
    assert tried == {hub.peer_address for hub in failing.vms}


class FeedingHub(link.Channel):
    """A hub's end of a link, which names these VMs as the hubs."""

    def __init__(self, name, hub_names):
        self.name = name
        self.hub_names = hub_names
        self.reports = []
        self.answered = 0

    async def send(self, data):
        self.reports.append(link.decode(data))

    async def receive(self):
        # A hub sends a feed for each report only.
        if self.answered == len(self.reports):
            await trio.sleep_forever()
        self.answered += 1
        rows = [[n, 'a', f'{n}:1'] if n else [] for n in self.hub_names]
        return link.encode(hub_nodes.make_feed(f'{self.name}.1', rows))

    async def aclose(self):
        pass


class Feeds:
    """A network of VMs that feed a leaf, some of them no hubs any more."""

    def __init__(self, hub_names):
        self.hub_names = hub_names
        self.opened = []

    @contextlib.asynccontextmanager
    async def open(self, address):
        name = address.partition(':')[0]
        self.opened.append(name)
        yield FeedingHub(name, self.hub_names)


@pytest.mark.parametrize(
    ('hub_names', 'opened'),
    [(['hub-0', 'hub-1'], ['hub-0']), (['hub-1'], ['hub-0', 'hub-1'])],
    ids=['still a hub', 'no hub any more'],
)
async def test_leaf_leaves_a_vm_that_is_no_hub_any_more(
    autojump_clock, hub_names, opened
):
    # That VM reports and stores nothing for the leaf: its load is unseen,
    # and its requests are not billed.
    node = hub_nodes.make_leaf()
    network = Feeds(hub_names)
    updates = peer_updates.PeerUpdates(
        None, None, store_watch.StoreHealth(clock.trio_time_s)
    )
    leaf = hub_client.HubClient(node, network, updates)
    with trio.move_on_after(RUN_S):
        await leaf.run()
    assert network.opened == opened
    assert node.roster.has_hub_feed()


async def test_leaf_leaves_a_hub_that_names_hubs_in_no_known_way(
    autojump_clock,
):
    # An error in the leaf's task would end its links to all others.
    node = hub_nodes.make_leaf()
    node.is_synced = lambda: False
    network = Feeds(['hub-0', ''])
    updates = peer_updates.PeerUpdates(
        None, None, store_watch.StoreHealth(clock.trio_time_s)
    )
    leaf = hub_client.HubClient(node, network, updates)
    with trio.move_on_after(RUN_S):
        await leaf.run()
    assert not node.roster.has_hub_feed()
    assert len(network.opened) <= RUN_S / hub_client.HUB_RETRY_S + 1
