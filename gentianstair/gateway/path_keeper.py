"""Keep idle connections to what the paths allow, and look for lost paths."""

import random

import trio

from gentianstair import errors
from gentianstair.gateway import node as nodes
from gentianstair.peers import tunnel

# How often the peers of idle tunnels are looked at.
SWEEP_S = 0.5
# Mean pause between two connects that look whether a path is back.
RECHECK_S = 0.5
# The same once one path is back, as the others may be, too.
HEALING_PAUSE_S = 0.05
CONNECT_TIMEOUT_S = 0.5


async def run(node: nodes.Node) -> None:
    """Do both until cancelled."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_sweep_idle, node)
        nursery.start_soon(_recheck, node)


async def _sweep_idle(node: nodes.Node) -> None:
    """Close idle connections that no request should use."""
    while True:
        node.transport.close_idle_where(
            lambda address, stream, kept_at_s: _is_obsolete(
                node, address, stream, kept_at_s
            )
        )
        with trio.move_on_after(SWEEP_S):
            await node.paths.wait_changed()


def _is_obsolete(
    node: nodes.Node, address: str, stream: trio.abc.Stream, kept_at_s: float
) -> bool:
    """Return whether an idle connection is not to be used.

    A direct one may be dead if it was not heard from since its path was
    found to be lost. A tunnel is left once the path is back, or when its
    peer stops or has lost its own paths.
    """
    if not isinstance(stream, tunnel.TunnelStream):
        idle_s = trio.current_time() - kept_at_s
        lost_s = node.clock() - node.paths.distrusted_before_s(address)
        return idle_s >= lost_s
    return (
        stream.is_stopping
        or stream.has_news()
        or not node.tunnel_peers.carries(stream.peer)
        or not (node.paths.is_lost(address) or node.paths.is_cut())
    )


async def _recheck(node: nodes.Node) -> None:
    """Connect to replicas whose path is lost, one at a time."""
    rng = random.Random(node.deployment.vm)
    while True:
        lost = node.paths.lost()
        if not lost:
            await node.paths.wait_changed()
            continue
        address = rng.choice(lost)
        pause_s = RECHECK_S * rng.uniform(0.75, 1.25)
        if node.registry.name_at(address) is None:
            node.paths.forget(address)
        elif await _is_back(node, address):
            pause_s = HEALING_PAUSE_S
        await trio.sleep(pause_s)


async def _is_back(node: nodes.Node, address: str) -> bool:
    try:
        stream = await node.connector.connect_directly(
            address, CONNECT_TIMEOUT_S
        )
    except errors.UnreachableError:
        # Looked for again after a pause.
        return False
    node.transport.add_idle(address, stream)
    return True
