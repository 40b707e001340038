"""Make what connects to upstreams, for this VM's callers and for peers."""

import random
import typing

import trio

from gentianstair.config import view as views
from gentianstair.core import path_keeper
from gentianstair.core import upstream_connector
from gentianstair.core import upstream_paths
from gentianstair.entry import tunnel_directory
from gentianstair.generated import settings
from gentianstair.peers import link
from gentianstair.peers import node as peers
from gentianstair.peers import tunnel
from gentianstair.upstreams import transport
from gentianstair.util import clock

# Tunnels of peers that an entry process carries.
MAX_TUNNELS = 256
TUNNEL_CONNECT_TIMEOUT_S = 0.5


class UpstreamParts(typing.NamedTuple):
    """The parts; none is running yet."""

    connector: upstream_connector.UpstreamConnector
    transport: transport.Transport
    path_keeper: path_keeper.PathKeeper
    tunnel_server: tunnel.TunnelServer


def make_upstream_parts(
    config: settings.EntrySettings,
    view: views.View,
    peer: peers.Node,
    nursery: trio.Nursery,
    leaving: trio.Event,
    network: link.Network | None = None,
) -> UpstreamParts:
    """Return the parts of one entry process.

    Raise SettingsError when the settings do not allow links to peers.
    """
    now = clock.boottime_s
    rng = random.Random(config.vm_name)
    connector = upstream_connector.UpstreamConnector(
        upstream_paths.UpstreamPaths(now),
        tunnel_directory.TunnelDirectory(
            view, peer, config.failure_domain, now, rng
        ),
        network or link.make_network(config),
        nursery,
        now,
    )

    async def open_upstream(name: str, limit_s: float) -> trio.abc.Stream:
        value = view.upstream(name)
        if value is None:
            raise KeyError(name)
        address = tunnel_directory.upstream_address(value['url'])
        return await connector.connect_directly(
            address, min(limit_s, TUNNEL_CONNECT_TIMEOUT_S)
        )

    upstream_transport = transport.make_transport(connector)
    return UpstreamParts(
        connector,
        upstream_transport,
        path_keeper.PathKeeper(connector, upstream_transport, now, rng),
        tunnel.TunnelServer(open_upstream, MAX_TUNNELS, leaving),
    )


__all__ = ['UpstreamParts', 'make_upstream_parts']
