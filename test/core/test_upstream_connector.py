"""Test in which ways a connection to an upstream is opened."""

import contextlib

import httpx
import pytest
import trio
import trio.testing

from gentianstair import errors
from gentianstair.core import upstream_connector
from gentianstair.core import upstream_paths
from gentianstair.peers import link
from gentianstair.peers import tunnel
from gentianstair.upstreams import connector
from gentianstair.util import tasks
from standins import memory_network

URL = httpx.URL('http://10.0.0.1:80/')
LIMIT_S = 0.5


class Directory(upstream_connector.TunnelDirectory):
    """Two peers, of which those that gave no tunnel go last."""

    def __init__(self):
        self.hung_s = {}

    def name_at(self, address):
        return 'upstream'

    def choose_peers(self, upstream, limit):
        return sorted(
            ['hangs:1', 'reaches:1'],
            key=lambda peer: self.hung_s.get(peer, -1.0),
        )

    def record_refusal(self, peer, hung_s=0.0):
        self.hung_s[peer] = hung_s

    def carries(self, peer):
        return peer not in self.hung_s


class HangingConnector(connector.DirectConnector):
    """A path on which no connection opens."""

    async def open(self, url):
        await trio.sleep_forever()


async def hang(name, limit_s):
    with trio.move_on_after(limit_s):
        await trio.sleep_forever()
    raise errors.UnreachableError('hangs')


async def connect_at_once(name, limit_s):
    await trio.lowlevel.checkpoint()
    return trio.testing.memory_stream_pair()[0]


@contextlib.asynccontextmanager
async def playing(answer_s):
    """Yield a connector whose peers take answer_s for each message."""
    async with trio.open_nursery() as nursery:
        hub = memory_network.Hub(answer_s)
        for peer, opens in (('hangs:1', hang), ('reaches:1', connect_at_once)):
            server = tunnel.TunnelServer(opens, 9, trio.Event())

            async def accept(channel, server=server):
                with contextlib.suppress(link.LinkClosedError):
                    message = link.decode(await channel.receive())
                    await server.serve(channel, message)

            network = memory_network.MemoryNetwork(hub, peer)
            await nursery.start(network.serve, accept)
        directory = Directory()
        found = upstream_connector.UpstreamConnector(
            upstream_paths.UpstreamPaths(trio.current_time),
            directory,
            memory_network.MemoryNetwork(hub, 'own:1'),
            tasks.Tasks(nursery),
            trio.current_time,
        )
        found._direct = HangingConnector()
        yield found
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('answer_s', [0.001, 0.06])
async def test_peer_that_hangs_is_asked_last_the_next_time(
    autojump_clock, answer_s
):
    # Guards against VMs that are cut, do not know it yet, and are asked
    # first again and again by each other.
    async with playing(answer_s) as found:
        with contextlib.suppress(errors.UnreachableError):
            await found.connect(URL, LIMIT_S)
        assert found.directory.hung_s['hangs:1'] > 0.0
        stream = await found.connect(URL, LIMIT_S)
        assert tunnel.tunnel_of(stream).peer == 'reaches:1'
        assert found.paths.is_lost('10.0.0.1:80')
