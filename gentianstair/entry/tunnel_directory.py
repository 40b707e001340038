"""Tell the connector which entry VMs carry tunnels to an upstream."""

import random

from gentianstair.config import view as views
from gentianstair.core import peer_choice
from gentianstair.core import upstream_connector
from gentianstair.entry import upstream_names
from gentianstair.peers import membership
from gentianstair.peers import node as peers
from gentianstair.util import clock as clocks


class TunnelDirectory(upstream_connector.TunnelDirectory):
    """The upstreams of the view, and the members that are live."""

    def __init__(
        self,
        view: views.View,
        names: upstream_names.UpstreamNames,
        peer: peers.Node,
        failure_domain: str,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._names = names
        self._peer = peer
        self._choice = peer_choice.PeerChoice(failure_domain, clock, rng)

    def name_at(self, address: str) -> str | None:
        """See upstream_connector.TunnelDirectory."""
        return self._names.name_at(address)

    def choose_peers(self, upstream: str, limit: int) -> list[str]:
        """See upstream_connector.TunnelDirectory."""
        value = self._view.upstream(upstream)
        domain = value['failure_domain'] if value else None
        chosen = self._choice.choose(self._live_peers(), domain, limit)
        return [peer.address for peer in chosen]

    def record_refusal(self, peer: str, hung_s: float = 0.0) -> None:
        """See upstream_connector.TunnelDirectory."""
        self._choice.record_refusal(peer, hung_s)

    def carries(self, peer: str) -> bool:
        """See upstream_connector.TunnelDirectory."""
        return any(found.address == peer for found in self._live_peers())

    def _live_peers(self) -> list[peer_choice.TunnelPeer]:
        return [
            peer_choice.TunnelPeer(member.failure_domain, member.address)
            for member in self._peer.members()
            if member.status == membership.LIVE
            and member.name != self._peer.name
        ]


__all__ = ['TunnelDirectory']
