"""Know what each replica has to do: by this VM, and by what peers say."""

import typing

from gentianstair.util import clock as clocks

# Peers tell their load several times a second; one that was silent for
# longer may be gone, and what it had sent with it.
PEER_MEMORY_S = 1.5
# A sum over peers holds for so long unless one of them tells more.
SUM_S = 0.1


class Load(typing.NamedTuple):
    """Work at one replica."""

    running: int = 0
    # Tokens of prompts that are still to be read.
    unread_tokens: int = 0


NOTHING = Load()


def encode(found: dict[str, Load]) -> dict[str, list[int]]:
    """Return loads as peers are told of them."""
    return {name: list(load) for name, load in found.items()}


def decode(told: dict[str, list[int]]) -> dict[str, Load]:
    """Return loads as a peer told them; others than pairs are left out."""
    return {
        name: Load(*pair)
        for name, pair in told.items()
        if len(pair) == len(NOTHING)
    }


class _PeerLoad(typing.NamedTuple):
    at_s: float
    loads: dict[str, Load]
    # Whether this VM passes it on, as the hub of that peer.
    passed_on: bool


def _add(found: dict[str, Load], more: dict[str, Load]) -> None:
    for replica, load in more.items():
        known = found.get(replica, NOTHING)
        found[replica] = Load(
            known.running + load.running,
            known.unread_tokens + load.unread_tokens,
        )


class Loads:
    """The work at each replica, by its name."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._own: dict[str, Load] = {}
        self._peers: dict[str, _PeerLoad] = {}
        # The sum over peers, and until when it holds.
        self._others: dict[str, Load] = {}
        self._others_until_s = 0.0

    def begin(self, replica: str, unread_tokens: int) -> None:
        """Count a request that is being sent."""
        load = self._own.get(replica, NOTHING)
        self._own[replica] = Load(
            load.running + 1, load.unread_tokens + unread_tokens
        )

    def read(self, replica: str, unread_tokens: int) -> None:
        """Note that a prompt has been read."""
        load = self._own.get(replica, NOTHING)
        left = max(0, load.unread_tokens - unread_tokens)
        self._own[replica] = load._replace(unread_tokens=left)

    def end(self, replica: str) -> None:
        """Count a request as over; its prompt must count as read."""
        load = self._own.get(replica, NOTHING)
        if load.running <= 1:
            self._own.pop(replica, None)
        else:
            self._own[replica] = load._replace(running=load.running - 1)

    def own(self) -> dict[str, Load]:
        """Return this VM's own work."""
        return self._own

    def part(self) -> dict[str, Load]:
        """Return what this VM answers for: its own work and its leaves'."""
        found = dict(self._own)
        for peer in self._fresh():
            if peer.passed_on:
                _add(found, peer.loads)
        return found

    def without(self, process: str) -> dict[str, Load]:
        """Return all work that is known but for one peer's own."""
        found = dict(self._own)
        for name, peer in self._peers.items():
            if name != process and self._is_fresh(peer):
                _add(found, peer.loads)
        return found

    def tell(
        self, process: str, loads: dict[str, Load], passed_on: bool = False
    ) -> None:
        """Take a peer's part."""
        self._peers[process] = _PeerLoad(self._clock(), loads, passed_on)
        self._others_until_s = 0.0

    def forget(self, process: str) -> None:
        """Drop a peer's part, as another one now tells it."""
        self._peers.pop(process, None)
        self._others_until_s = 0.0

    def at(self, replica: str) -> Load:
        """Return all work at a replica, as far as it is known."""
        now_s = self._clock()
        if now_s >= self._others_until_s:
            self._sum_others(now_s)
        own = self._own.get(replica, NOTHING)
        others = self._others.get(replica)
        if others is None:
            return own
        return Load(
            own.running + others.running,
            own.unread_tokens + others.unread_tokens,
        )

    def _sum_others(self, now_s: float) -> None:
        self._others = {}
        for peer in self._fresh():
            _add(self._others, peer.loads)
        self._others_until_s = now_s + SUM_S

    def _is_fresh(self, peer: _PeerLoad) -> bool:
        return peer.at_s >= self._clock() - PEER_MEMORY_S

    def _fresh(self) -> list[_PeerLoad]:
        gone = [n for n, p in self._peers.items() if not self._is_fresh(p)]
        for name in gone:
            del self._peers[name]
        return list(self._peers.values())
