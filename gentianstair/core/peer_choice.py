"""Choose the peers that are asked for a tunnel to an upstream."""

import random
import typing

from gentianstair.util import clock as clocks

# How long a peer that gave no tunnel is asked last.
AVOIDED_S = 2.0


class TunnelPeer(typing.NamedTuple):
    """A VM that carries tunnels."""

    failure_domain: str
    # HOST:PORT of its links to peers.
    address: str


class PeerChoice:
    """Orders peers by failure domain and by what they said before."""

    def __init__(
        self, own_domain: str, clock: clocks.Clock, rng: random.Random
    ) -> None:
        self._own_domain = own_domain
        self._clock = clock
        self._rng = rng
        self._avoided_until_s: dict[str, float] = {}

    def record_refusal(self, address: str, hung_s: float = 0.0) -> None:
        """Record a peer that gave no tunnel, or was given up after hung_s.

        The longer it hung, the later it is asked again: of several that were
        given up together, those asked first had more time to answer.
        """
        now_s = self._clock()
        for known, until_s in list(self._avoided_until_s.items()):
            if until_s <= now_s:
                del self._avoided_until_s[known]
        self._avoided_until_s[address] = now_s + AVOIDED_S + hung_s

    def choose(
        self,
        peers: typing.Iterable[TunnelPeer],
        upstream_domain: str | None,
        limit: int,
    ) -> list[TunnelPeer]:
        """Return peers to ask in turn, in random order among equals.

        Those in this VM's failure domain come first, then those in the
        upstream's, as bytes between domains are charged; those that gave no
        tunnel a while ago come last. Each is of another domain if there is
        one, as a whole domain may have lost its paths and not know it yet.
        """
        now_s = self._clock()
        left = sorted(peers)
        self._rng.shuffle(left)
        left.sort(
            key=lambda peer: (
                max(now_s, self._avoided_until_s.get(peer.address, now_s)),
                peer.failure_domain != self._own_domain,
                peer.failure_domain != upstream_domain,
            )
        )
        chosen: list[TunnelPeer] = []
        while left and len(chosen) < limit:
            domains = {peer.failure_domain for peer in chosen}
            other = (p for p in left if p.failure_domain not in domains)
            peer = next(other, left[0])
            left.remove(peer)
            chosen.append(peer)
        return chosen


__all__ = ['PeerChoice', 'TunnelPeer']
