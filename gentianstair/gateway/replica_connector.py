"""Connect to replicas directly, or through a peer where the path is lost."""

import functools
import typing

import httpx
import loguru
import trio

from gentianstair import errors
from gentianstair.gateway import replica_paths
from gentianstair.gateway import replicas
from gentianstair.gateway import tunnel_peers
from gentianstair.generated import events
from gentianstair.peers import link
from gentianstair.peers import tunnel
from gentianstair.upstreams import connector
from gentianstair.upstreams import staggered
from gentianstair.util import clock as clocks

# How long a connect may take before the next way is tried beside it; some
# times what it takes between distant failure domains.
STAGGER_S = 0.15
# How many peers are asked for one connection.
MAX_PEERS_ASKED = 3
# No path is checked while a replica has been heard from so lately, nor within
# CHECK_PAUSE_S of the check before.
HEARD_S = 0.3
CHECK_PAUSE_S = 0.5
# The pause while several paths are lost, when any other may be, too.
CHECK_PAUSE_CUT_S = 0.1
# How often a silent attempt looks whether its path has been checked.
CHECK_INTERVAL_S = 0.25
CHECK_TIMEOUT_S = 0.5


class _Ways(typing.NamedTuple):
    """The ways to one replica, in the order in which they are tried."""

    ways: list[staggered.Way]
    # The index of the direct way.
    direct: int
    # The peers asked, by the index of their way.
    peers: dict[int, str]


class ReplicaConnector(connector.Connector):
    """Connects to replicas, and notes what that shows of the paths."""

    def __init__(
        self,
        paths: replica_paths.ReplicaPaths,
        registry: replicas.Registry,
        peers: tunnel_peers.TunnelPeers,
        network: link.Network,
        nursery: trio.Nursery,
        clock: clocks.Clock,
    ) -> None:
        self._direct = connector.DirectConnector()
        self._paths = paths
        self._registry = registry
        self._peers = peers
        self._network = network
        self._nursery = nursery
        self._clock = clock
        self._heard_s = 0.0
        self._checked_s = 0.0

    async def connect(
        self, url: httpx.URL, limit_s: float | None
    ) -> trio.abc.Stream:
        """See Connector.connect."""
        try:
            return await super().connect(url, limit_s)
        except errors.UnreachableError:
            self._paths.record_unreached(_address(url))
            raise

    async def connect_directly(
        self, address: str, limit_s: float
    ) -> trio.abc.Stream:
        """Connect on this VM's own path; raise UnreachableError."""
        url = httpx.URL(f'http://{address}')
        stream = await self._direct.connect(url, limit_s)
        self._paths.record_reached(address)
        return stream

    async def open(self, url: httpx.URL) -> trio.abc.Stream:
        """See Connector.open."""
        address = _address(url)
        found = self._ways(url, address)
        opened = await staggered.open_first(found.ways)
        if opened.way == found.direct:
            self._paths.record_reached(address)
        else:
            self._paths.record_lost(address, found.peers[opened.way])
        return opened.stream

    def _ways(self, url: httpx.URL, address: str) -> _Ways:
        """Return the ways to a replica, the likeliest first.

        While several paths are lost any other may be too, so a peer is asked
        at once.
        """
        direct = functools.partial(self._direct.open, url)
        asked = self._peers_for(address)
        if not self._paths.is_lost(address):
            pause_s = 0.0 if self._paths.is_cut() else STAGGER_S
            ways = [staggered.Way(direct)]
            for number, (_, ask) in enumerate(asked):
                delay_s = STAGGER_S if number else pause_s
                ways.append(staggered.Way(ask, delay_s))
            peers = {n + 1: peer for n, (peer, _) in enumerate(asked)}
            return _Ways(ways, 0, peers)
        ways = [staggered.Way(ask, STAGGER_S) for _, ask in asked]
        peers = {n: peer for n, (peer, _) in enumerate(asked)}
        ways.append(staggered.Way(direct, STAGGER_S))
        return _Ways(ways, len(asked), peers)

    def _peers_for(
        self, address: str
    ) -> list[tuple[str, typing.Callable[[], typing.Any]]]:
        """Return the peers to ask for a tunnel, and how to ask each."""
        name = self._registry.name_at(address)
        replica = self._registry.get(name) if name else None
        if replica is None:
            return []
        chosen = self._peers.choose(replica.failure_domain, MAX_PEERS_ASKED)
        return [
            (
                peer.address,
                functools.partial(
                    self._open_tunnel, peer.address, replica.name
                ),
            )
            for peer in chosen
        ]

    async def _open_tunnel(self, peer: str, replica: str) -> trio.abc.Stream:
        """Return a tunnel through a peer; raise UnreachableError."""
        found = await tunnel.open_tunnel(
            self._network, self._nursery, peer, replica, CHECK_TIMEOUT_S
        )
        if isinstance(found, tunnel.TunnelStream):
            return found
        # Also if it could not connect either: its own path may be lost.
        self._peers.record_refusal(peer)
        loguru.logger.bind(
            event=events.TUNNEL_REFUSED, peer=peer, replica=replica
        ).debug('{}', found.detail)
        raise errors.UnreachableError(f'no tunnel: {found.detail}')

    def record_heard(self, stream: trio.abc.Stream) -> None:
        """See Connector.record_heard."""
        if not isinstance(stream, tunnel.TunnelStream):
            self._heard_s = self._clock()

    async def wait_path_lost(
        self, url: httpx.URL, stream: trio.abc.Stream
    ) -> None:
        """See Connector.wait_path_lost.

        A connection through a peer is waited for without an end, as its
        path is not this VM's.
        """
        if isinstance(stream, tunnel.TunnelStream):
            await trio.sleep_forever()
        address = _address(url)
        while True:
            if self._paths.is_lost(address):
                if not await self._is_back(address):
                    return
            elif self._may_check():
                await self._check(url)
            with trio.move_on_after(CHECK_INTERVAL_S):
                await self._paths.wait_changed()

    async def _is_back(self, address: str) -> bool:
        """Connect directly; a peer may only have been quicker before."""
        try:
            stream = await self.connect_directly(address, CHECK_TIMEOUT_S)
        except errors.UnreachableError:
            return False
        connector.discard(stream)
        return True

    def _may_check(self) -> bool:
        now_s = self._clock()
        since_check_s = now_s - self._checked_s
        if self._paths.is_cut():
            return since_check_s > CHECK_PAUSE_CUT_S
        return (
            since_check_s > CHECK_PAUSE_S and now_s - self._heard_s > HEARD_S
        )

    async def _check(self, url: httpx.URL) -> None:
        """Open a connection only to see which way it can be opened."""
        self._checked_s = self._clock()
        try:
            stream = await self.connect(url, CHECK_TIMEOUT_S)
        except errors.UnreachableError:
            # Silent for all, as far as can be told; the attempt goes on.
            return
        connector.discard(stream)


def _address(url: httpx.URL) -> str:
    return f'{url.host}:{url.port}'
