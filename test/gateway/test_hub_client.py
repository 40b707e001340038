"""Test how a leaf fails over between hubs, without a network."""

import contextlib
import types

import pytest
import trio

from gentianstair.gateway import hub_client
from gentianstair.gateway import hubs
from gentianstair.peers import link
from gentianstair.util import clock

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
    node = types.SimpleNamespace(roster=failing, clock=clock.trio_time_s)
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
