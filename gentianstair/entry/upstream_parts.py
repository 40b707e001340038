"""Make what connects to upstreams, for this VM's callers and for peers."""

import random
import typing

import trio

from gentianstair.config import view as views
from gentianstair.core import path_keeper
from gentianstair.core import upstream_connector
from gentianstair.core import upstream_paths
from gentianstair.entry import tunnel_directory
from gentianstair.entry import upstream_names
from gentianstair.entry import upstream_permits
from gentianstair.generated import settings
from gentianstair.peers import link
from gentianstair.peers import node as peers
from gentianstair.peers import tunnel
from gentianstair.upstreams import transport
from gentianstair.util import clock
from gentianstair.util import tasks as tasks_module

# Tunnels of peers that an entry process carries.
MAX_TUNNELS = 256
TUNNEL_CONNECT_TIMEOUT_S = 0.5


class UpstreamParts(typing.NamedTuple):
    """The parts; none is running yet."""

    connector: upstream_connector.UpstreamConnector
    transport: transport.Transport
    path_keeper: path_keeper.PathKeeper
    tunnel_server: tunnel.TunnelServer
    permits: upstream_permits.EntryPermits
    permit_keepers: upstream_permits.MemberKeepers


def make_upstream_parts(
    config: settings.EntrySettings,
    view: views.View,
    peer: peers.Node,
    tasks: tasks_module.Tasks,
    leaving: trio.Event,
    network: link.Network | None = None,
) -> UpstreamParts:
    """Return the parts of one entry process.

    Raise SettingsError when the settings do not allow links to peers.
    """
    now = clock.boottime_s
    rng = random.Random(config.vm_name)
    network = network or link.make_network(config)
    names = upstream_names.UpstreamNames(view)
    connector = upstream_connector.UpstreamConnector(
        upstream_paths.UpstreamPaths(now),
        tunnel_directory.TunnelDirectory(
            view, names, peer, config.failure_domain, now, rng
        ),
        network,
        tasks,
        now,
    )

    async def open_upstream(name: str, limit_s: float) -> trio.abc.Stream:
        value = view.upstream(name)
        if value is None:
            raise KeyError(name)
        address = upstream_names.upstream_address(value['url'])
        return await connector.connect_directly(
            address, min(limit_s, TUNNEL_CONNECT_TIMEOUT_S)
        )

    permits = upstream_permits.make_parts(names, peer, network, tasks, now)
    upstream_transport = transport.make_transport(connector)
    return UpstreamParts(
        connector,
        upstream_transport,
        path_keeper.PathKeeper(connector, upstream_transport, now, rng),
        tunnel.TunnelServer(open_upstream, MAX_TUNNELS, leaving),
        permits.permits,
        permits.keepers,
    )


__all__ = ['UpstreamParts', 'make_upstream_parts']
