"""Know which VMs carry tunnels to replicas, and choose among them."""

import math
import random
import typing

from gentianstair import errors
from gentianstair.core import peer_choice
from gentianstair.gateway import hubs
from gentianstair.util import clock as clocks

# A report of a peer counts for this long; it reports several times a second.
REPORT_TIMEOUT_S = 1.5
# How many of its leaves a hub names to other hubs.
SHARED_LEAVES = 4
# How many VMs a hub names to a leaf, of its own failure domain and of others.
NAMED_PEERS_OF_DOMAIN = 4
# How long the set of peers is reused when no report changes it: a hub asks
# for it with each report of each leaf.
POOL_AGE_S = 0.5


class TunnelPeers:
    """The VMs that carry tunnels, as they or a hub have reported."""

    def __init__(
        self,
        own: peer_choice.TunnelPeer,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._clock = clock
        # When each peer reported last, by address.
        self._reported_s: dict[str, float] = {}
        # The failure domains of those that carry tunnels.
        self._domains: dict[str, str] = {}
        # Those that a hub has named, by the hub's address.
        self._named: dict[str, list[peer_choice.TunnelPeer]] = {}
        self._pool: frozenset[peer_choice.TunnelPeer] = frozenset()
        self._pool_at_s = -math.inf
        self._choice = peer_choice.PeerChoice(own.failure_domain, clock, rng)

    def record_report(self, address: str, failure_domain: str | None) -> None:
        """Record a peer's report; it carries tunnels if it gives a domain."""
        self._reported_s[address] = self._clock()
        if self._domains.get(address) != failure_domain:
            self._pool_at_s = -math.inf
        if failure_domain is None:
            self._domains.pop(address, None)
        else:
            self._domains[address] = failure_domain

    def record_named(
        self, hub_address: str, rows: typing.Iterable[list[str]]
    ) -> None:
        """Record the VMs that a hub names; raise DecodeError."""
        self._pool_at_s = -math.inf
        try:
            self._named[hub_address] = [
                peer_choice.TunnelPeer(*row) for row in rows
            ]
        except TypeError as error:
            raise errors.DecodeError(f'bad tunnel peer: {error}') from error

    def record_refusal(self, address: str, hung_s: float = 0.0) -> None:
        """Record a peer that gave no tunnel."""
        self._choice.record_refusal(address, hung_s)

    def carries(self, address: str) -> bool:
        """Return whether a peer is known to carry tunnels."""
        return any(peer.address == address for peer in self._all())

    def choose(
        self, replica_domain: str | None, limit: int
    ) -> list[peer_choice.TunnelPeer]:
        """Return peers to ask in turn; see peer_choice.PeerChoice."""
        return self._choice.choose(self._all(), replica_domain, limit)

    def shared_leaves(self, leaves: set[str]) -> list[list[str]]:
        """Return rows of some leaves, by address, for other hubs."""
        found = [p for p in self._reporting() if p.address in leaves]
        return _rows(_top_ranked(found, self._own.address, SHARED_LEAVES))

    def carry_all(self, rows: list[list[str]]) -> bool:
        """Return whether all VMs in rows still carry tunnels."""
        pool = self._all()
        return all(
            peer in pool or peer == self._own
            for peer in (peer_choice.TunnelPeer(*row) for row in rows)
        )

    def named_to(
        self, address: str, failure_domain: str, with_own: bool
    ) -> list[list[str]]:
        """Return rows of peers for a leaf, this VM among them if asked.

        The choice differs between leaves and changes little as VMs come and
        go.
        """
        found = {peer for peer in self._all() if peer.address != address}
        if with_own:
            found.add(self._own)
        near = [p for p in found if p.failure_domain == failure_domain]
        far = [p for p in found if p.failure_domain != failure_domain]
        limit = NAMED_PEERS_OF_DOMAIN
        return _rows(
            _top_ranked(near, address, limit)
            + _top_ranked(far, address, limit)
        )

    def _is_current(self, address: str) -> bool:
        reported_s = self._reported_s.get(address, -math.inf)
        return reported_s >= self._clock() - REPORT_TIMEOUT_S

    def _reporting(self) -> list[peer_choice.TunnelPeer]:
        """Return the peers that have reported lately."""
        return [
            peer_choice.TunnelPeer(domain, address)
            for address, domain in self._domains.items()
            if self._is_current(address)
        ]

    def _all(self) -> frozenset[peer_choice.TunnelPeer]:
        """Return all peers that carry tunnels."""
        now_s = self._clock()
        if now_s - self._pool_at_s > POOL_AGE_S:
            self._pool = frozenset(self._collect())
            self._pool_at_s = now_s
        return self._pool

    def _collect(self) -> set[peer_choice.TunnelPeer]:
        found = set(self._reporting())
        for address, named in self._named.items():
            if self._is_current(address):
                found.update(named)
        found.discard(self._own)
        return found


def _top_ranked(
    peers: typing.Iterable[peer_choice.TunnelPeer], name: str, limit: int
) -> list[peer_choice.TunnelPeer]:
    return sorted(
        peers, key=lambda peer: -hubs.rendezvous_score(name, peer.address)
    )[:limit]


def _rows(peers: list[peer_choice.TunnelPeer]) -> list[list[str]]:
    return sorted(list(peer) for peer in peers)


__all__ = ['TunnelPeers']
