"""Know what each replica has to do: by this VM, and by what peers say."""

import typing

from gentianstair.util import clock as clocks

# Peers tell their load several times a second; one that was silent for
# longer may be gone, and what it had sent with it.
PEER_MEMORY_S = 1.5


class Load(typing.NamedTuple):
    """Work at one replica."""

    running: int = 0
    # Tokens of prompts that are still to be read.
    unread_tokens: int = 0


NOTHING = Load()


class _PeerLoad(typing.NamedTuple):
    at_s: float
    loads: dict[str, Load]


class Loads:
    """The work at each replica, by its name."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._own: dict[str, Load] = {}
        self._peers: dict[str, _PeerLoad] = {}

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
        """Return this VM's part, for its peers."""
        return self._own

    def tell(self, vm: str, loads: dict[str, Load]) -> None:
        """Take a peer's part."""
        self._peers[vm] = _PeerLoad(self._clock(), loads)

    def at(self, replica: str) -> Load:
        """Return all work at a replica, as far as it is known."""
        load = self._own.get(replica, NOTHING)
        running, unread = load
        oldest_s = self._clock() - PEER_MEMORY_S
        for peer in self._peers.values():
            if peer.at_s < oldest_s:
                continue
            found = peer.loads.get(replica)
            if found is not None:
                running += found.running
                unread += found.unread_tokens
        return Load(running, unread)
