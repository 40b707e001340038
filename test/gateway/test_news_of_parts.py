"""Test how soon other VMs hear of the end of a replica under a prompt."""

import contextlib
import random

import pytest
import trio

from gentianstair.core import prompt_faults
from gentianstair.gateway import hub_client
from gentianstair.gateway import peer_links
from gentianstair.gateway import peer_updates
from gentianstair.gateway import store_watch
from gentianstair.peers import link
from gentianstair.util import clock
from test.gateway import hub_nodes

# The shortest pause between two reports, and how long a feed takes.
PAUSE_S = 0.03
FEED_S = 0.02
# When the VM sees ends, after it has sent its first report.
FIRST_S = 1.0
GAPS_S = (0.0, 0.001, 0.01, 0.02, 0.029, 0.031, 0.1)
HUB_ROWS = [['hub-0', 'a', 'hub-0:1']]


class Reader(link.Channel):
    """Another VM's end of a link: it notes when it hears of a part."""

    def __init__(self):
        self.heard_s = {}
        self._sent, self._have_feed = trio.open_memory_channel(100)

    async def send(self, data):
        for row in link.decode(data).get('part_faults', []):
            self.heard_s.setdefault(row[3], trio.current_time())
        self._sent.send_nowait(None)

    async def receive(self):
        await self._have_feed.receive()
        await trio.sleep(FEED_S)
        return link.encode(hub_nodes.make_feed('hub-0.1', HUB_ROWS))

    async def aclose(self):
        pass


async def run_hub(node, reader):
    node.prompt_faults.listeners.append(node.load_tracker.ask_early_report)
    links = peer_links.PeerLinks(node, None, None, random.Random(1))
    await links._send_loads(reader)


async def run_leaf(node, reader):
    @contextlib.asynccontextmanager
    async def open_link(address):
        yield reader

    network = contextlib.nullcontext()
    network.open = open_link
    updates = peer_updates.PeerUpdates(
        None, None, store_watch.StoreHealth(clock.trio_time_s)
    )
    await hub_client.HubClient(node, network, updates).run()


def see_end(node, name):
    """Have a VM see the end of a replica under a part of this name."""
    now_s = node.clock()
    node.prompt_faults.record_end(
        [prompt_faults.Part('models', 'm', name)],
        prompt_faults.End(f'i-{name}', 1, now_s - 0.1, now_s),
    )


@pytest.mark.parametrize('gap_s', GAPS_S)
@pytest.mark.parametrize(
    ('make_node', 'run'),
    [(hub_nodes.make_node, run_hub), (hub_nodes.make_leaf, run_leaf)],
    ids=['hub', 'leaf'],
)
async def test_end_right_after_a_report_is_told_with_the_next(
    autojump_clock, nursery, make_node, run, gap_s
):
    # Guards against ends that others hear of only when the next report is
    # due anyway, while more requests with the part end replicas.
    reader = Reader()
    node = make_node()
    nursery.start_soon(run, node, reader)
    await trio.sleep(FIRST_S)
    seen_s = {}
    for name in ('first', 'second'):
        see_end(node, name)
        seen_s[name] = trio.current_time()
        await trio.sleep(gap_s)
    await trio.sleep(1.0)
    took_s = {name: reader.heard_s[name] - seen_s[name] for name in seen_s}
    assert max(took_s.values()) <= PAUSE_S + 2 * FEED_S, took_s
