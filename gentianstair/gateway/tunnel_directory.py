"""Tell the connector which VMs carry tunnels to a replica."""

from gentianstair.core import upstream_connector
from gentianstair.gateway import replicas
from gentianstair.gateway import tunnel_peers


class TunnelDirectory(upstream_connector.TunnelDirectory):
    """The registered replicas, and the peers that have reported."""

    def __init__(
        self, registry: replicas.Registry, peers: tunnel_peers.TunnelPeers
    ) -> None:
        self._registry = registry
        self._peers = peers

    def name_at(self, address: str) -> str | None:
        """See upstream_connector.TunnelDirectory."""
        return self._registry.name_at(address)

    def choose_peers(self, upstream: str, limit: int) -> list[str]:
        """See upstream_connector.TunnelDirectory."""
        replica = self._registry.get(upstream)
        domain = replica.failure_domain if replica else None
        return [peer.address for peer in self._peers.choose(domain, limit)]

    def record_refusal(self, peer: str, hung_s: float = 0.0) -> None:
        """See upstream_connector.TunnelDirectory."""
        self._peers.record_refusal(peer, hung_s)

    def carries(self, peer: str) -> bool:
        """See upstream_connector.TunnelDirectory."""
        return self._peers.carries(peer)


__all__ = ['TunnelDirectory']
