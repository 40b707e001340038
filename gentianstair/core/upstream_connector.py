"""Connect to upstreams directly, or through a peer where the path is lost."""

import abc
import functools
import ssl
import typing

import httpx
import loguru
import trio

from gentianstair import errors
from gentianstair.core import upstream_paths
from gentianstair.generated import events
from gentianstair.peers import link
from gentianstair.peers import tunnel
from gentianstair.upstreams import connector
from gentianstair.upstreams import staggered
from gentianstair.util import clock as clocks
from gentianstair.util import tasks as tasks_module

# How long a connect may take before the next way is tried beside it; some
# times what it takes between distant failure domains.
STAGGER_S = 0.15
# How long a peer may take to connect for this VM. Less than a connect of this
# VM's own, in which more than one peer has to answer.
PEER_CONNECT_S = 0.25
# How many peers are asked for one connection.
MAX_PEERS_ASKED = 3
# No path is checked while an upstream has been heard from so lately, nor
# within CHECK_PAUSE_S of the check before.
HEARD_S = 0.3
CHECK_PAUSE_S = 0.5
# The pause while several paths are lost, when any other may be, too.
CHECK_PAUSE_CUT_S = 0.1
# How often a silent attempt looks whether its path has been checked.
CHECK_INTERVAL_S = 0.25
CHECK_TIMEOUT_S = 0.5


class TunnelDirectory(abc.ABC):
    """Whom to ask for a tunnel to an upstream."""

    @abc.abstractmethod
    def name_at(self, address: str) -> str | None:
        """Return the name of the upstream at HOST:PORT, or None."""

    @abc.abstractmethod
    def choose_peers(self, upstream: str, limit: int) -> list[str]:
        """Return the addresses of peers to ask in turn, the best first."""

    @abc.abstractmethod
    def record_refusal(self, peer: str, hung_s: float = 0.0) -> None:
        """Record that a peer gave no tunnel, or was given up after hung_s."""

    @abc.abstractmethod
    def carries(self, peer: str) -> bool:
        """Return whether a peer may go on carrying tunnels."""


class _Ways(typing.NamedTuple):
    """The ways to one upstream, in the order in which they are tried."""

    ways: list[staggered.Way]
    # The index of the direct way.
    direct: int
    # The peers asked, by the index of their way.
    peers: dict[int, str]


class UpstreamConnector(connector.Connector):
    """Connects to upstreams, and notes what that shows of the paths."""

    def __init__(
        self,
        paths: upstream_paths.UpstreamPaths,
        directory: TunnelDirectory,
        network: link.Network,
        tasks: tasks_module.Tasks,
        clock: clocks.Clock,
    ) -> None:
        self.paths = paths
        self.directory = directory
        self._direct = connector.DirectConnector()
        self._network = network
        self._tasks = tasks
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
            self.paths.record_unreached(_address(url))
            raise

    async def connect_directly(
        self, address: str, limit_s: float
    ) -> trio.abc.Stream:
        """Connect on this VM's own path, without TLS.

        Raise UnreachableError.
        """
        url = httpx.URL(f'http://{address}')
        stream = await self._direct.connect(url, limit_s)
        self.paths.record_reached(address)
        return stream

    async def open(self, url: httpx.URL) -> trio.abc.Stream:
        """See Connector.open."""
        address = _address(url)
        found = self._ways(url, address)
        opened = await staggered.open_first(found.ways)
        if opened.way == found.direct:
            self.paths.record_reached(address)
        else:
            self.paths.record_lost(address, found.peers[opened.way])
        return opened.stream

    def _ways(self, url: httpx.URL, address: str) -> _Ways:
        """Return the ways to an upstream, the likeliest first.

        While several paths are lost any other may be too, so a peer is asked
        at once.
        """
        direct = functools.partial(self._direct.open, url)
        name = self.directory.name_at(address)
        peers: list[str] = []
        if name is not None:
            peers = self.directory.choose_peers(name, MAX_PEERS_ASKED)
        asked = [
            functools.partial(self._open_tunnel, url, peer, name)
            for peer in peers
        ]
        if self.paths.is_lost(address):
            ways = [staggered.Way(ask, STAGGER_S) for ask in asked]
            ways.append(staggered.Way(direct, STAGGER_S))
            return _Ways(ways, len(asked), dict(enumerate(peers)))
        pause_s = 0.0 if self.paths.is_cut() else STAGGER_S
        ways = [staggered.Way(direct)]
        for number, ask in enumerate(asked):
            ways.append(staggered.Way(ask, STAGGER_S if number else pause_s))
        return _Ways(ways, 0, dict(enumerate(peers, start=1)))

    async def _open_tunnel(
        self, url: httpx.URL, peer: str, upstream: str
    ) -> trio.abc.Stream:
        """Return a connection through a peer; raise UnreachableError."""
        asked_s = self._clock()
        found = None
        try:
            found = await tunnel.open_tunnel(
                self._network, self._tasks, peer, upstream, PEER_CONNECT_S
            )
        finally:
            # Given up for another way, or for want of time, while it hung.
            hung_s = self._clock() - asked_s
            if found is None and hung_s >= STAGGER_S:
                self.directory.record_refusal(peer, hung_s)
        if isinstance(found, tunnel.TunnelStream):
            return await _add_tls(url, found)
        # Also if it could not connect either: its own path may be lost.
        self.directory.record_refusal(peer)
        loguru.logger.bind(
            event=events.TUNNEL_REFUSED, peer=peer, upstream=upstream
        ).debug('{}', found.detail)
        raise errors.UnreachableError(f'no tunnel: {found.detail}')

    def record_heard(self, stream: trio.abc.Stream) -> None:
        """See Connector.record_heard."""
        if tunnel.tunnel_of(stream) is None:
            self._heard_s = self._clock()

    async def wait_path_lost(
        self, url: httpx.URL, stream: trio.abc.Stream
    ) -> None:
        """See Connector.wait_path_lost.

        A connection through a peer is waited for without an end, as its
        path is not this VM's.
        """
        if tunnel.tunnel_of(stream) is not None:
            await trio.sleep_forever()
        address = _address(url)
        while True:
            if self.paths.is_lost(address):
                if not await self._is_back(address):
                    return
            elif self._may_check():
                await self._check(url)
            with trio.move_on_after(CHECK_INTERVAL_S):
                await self.paths.wait_changed()

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
        if self.paths.is_cut():
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
    return f'{url.host}:{connector.port_of(url)}'


async def _add_tls(
    url: httpx.URL, stream: tunnel.TunnelStream
) -> trio.abc.Stream:
    """Return the stream with TLS up to the upstream if its URL asks for it."""
    if url.scheme != 'https':
        return stream
    secure = trio.SSLStream(
        stream,
        ssl.create_default_context(),
        server_hostname=url.host,
        https_compatible=True,
    )
    try:
        await secure.do_handshake()
    except trio.BrokenResourceError as error:
        stream.close()
        raise errors.UnreachableError(f'no TLS: {error}') from error
    except BaseException:
        stream.close()
        raise
    return secure


__all__ = ['TunnelDirectory', 'UpstreamConnector']
