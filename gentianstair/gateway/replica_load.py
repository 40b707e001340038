"""Know what each replica has to do: by this VM, and by what peers say."""

import math
import typing

import trio

from gentianstair.util import clock as clocks

# Peers tell their load several times a second; one that was silent for
# longer may be gone, and what it had sent with it.
PEER_TIMEOUT_S = 1.5
# Part of its work for which a read counts that should have ended by now.
MIN_OVERDUE_SHARE = 0.3
# Peers are told at once of a read that keeps its replica busy for so long:
# in the time to the next regular word several prompts would queue behind it.
LONG_PREFILL_S = 0.08
# How often peers that have been silent are looked for.
EXPIRY_INTERVAL_S = 0.1


class Load(typing.NamedTuple):
    """Work at one replica."""

    running: int = 0
    # For how long the replica is busy with the prompts it has yet to read.
    queued_prefill_ms: int = 0


IDLE = Load()


def encode(found: dict[str, Load]) -> dict[str, list[int]]:
    """Return loads as peers are told of them."""
    return {name: list(load) for name, load in found.items()}


def decode(told: dict[str, list[int]]) -> dict[str, Load]:
    """Return loads as a peer told them; others than pairs are left out."""
    return {
        name: Load(*pair)
        for name, pair in told.items()
        if len(pair) == len(IDLE)
    }


class _PeerLoad(typing.NamedTuple):
    at_s: float
    loads: dict[str, Load]
    # Whether this VM passes it on, as the hub of that peer.
    from_leaf: bool


class ActiveRequest:
    """One request at a replica, and the read of its prompt."""

    def __init__(
        self, replica: str, work_s: float, ends_s: float, more_s: float
    ) -> None:
        self.replica = replica
        self._work_s = work_s
        self._ends_s = ends_s
        self._more_s = more_s

    def prefill_done(self) -> None:
        """Note that the prompt has been read."""
        self._work_s = self._more_s = 0.0

    def remaining_prefill_s(self, now_s: float) -> float:
        """Return how much of the read is still to be done.

        A read that waits for others counts whole; from when it is expected
        to begin it counts less and less. When it is overdue, what should
        have been kept or copied is being read after all: those behind it
        wait for that, too.
        """
        if not self._work_s:
            return 0.0
        due_s = self._ends_s - now_s
        if due_s > 0:
            return min(self._work_s, due_s)
        return max(MIN_OVERDUE_SHARE * self._work_s, due_s + self._more_s)


def _sum(sent: typing.Iterable[ActiveRequest], now_s: float) -> Load:
    found = list(sent)
    remaining_s = sum(one.remaining_prefill_s(now_s) for one in found)
    return Load(len(found), round(remaining_s * 1000))


def _add(found: dict[str, Load], more: dict[str, Load], sign: int = 1) -> None:
    """Add loads to others, or take them away with sign -1."""
    for replica, load in more.items():
        known = found.get(replica, IDLE)
        total = Load(
            known.running + sign * load.running,
            known.queued_prefill_ms + sign * load.queued_prefill_ms,
        )
        if total == IDLE:
            found.pop(replica, None)
        else:
            found[replica] = total


class LoadTracker:
    """The work at each replica, by its name."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._own: dict[str, set[ActiveRequest]] = {}
        self._peers: dict[str, _PeerLoad] = {}
        # Set, and replaced, when a long read begins.
        self._long_prefill = trio.Event()
        # The sum over peers. A hub hears some tens of them several times a
        # second, so it is kept up and not made anew.
        self._others: dict[str, Load] = {}
        self._last_expiry_s = -math.inf

    def begin(
        self,
        replica: str,
        work_s: float = 0.0,
        ends_s: float = 0.0,
        more_s: float = 0.0,
    ) -> ActiveRequest:
        """Count a request that is being sent; the caller ends it.

        work_s is for how long the replica is busy reading its prompt, and
        ends_s when that is expected to be over; more_s is how much longer
        it takes if nothing of the prompt is kept.
        """
        sent = ActiveRequest(replica, work_s, ends_s, more_s)
        if work_s >= LONG_PREFILL_S:
            self._long_prefill.set()
            self._long_prefill = trio.Event()
        self._own.setdefault(replica, set()).add(sent)
        return sent

    async def wait_long_prefill(self) -> None:
        """Return when a long read begins."""
        await self._long_prefill.wait()

    def end(self, sent: ActiveRequest) -> None:
        """Count a request as over."""
        running = self._own.get(sent.replica, set())
        running.discard(sent)
        if not running:
            self._own.pop(sent.replica, None)

    def local(self) -> dict[str, Load]:
        """Return this VM's own work."""
        now_s = self._clock()
        return {name: _sum(sent, now_s) for name, sent in self._own.items()}

    def subtree(self) -> dict[str, Load]:
        """Return what this VM answers for: its own work and its leaves'."""
        found = self.local()
        self._expire()
        for peer in self._peers.values():
            if peer.from_leaf:
                _add(found, peer.loads)
        return found

    def excluding(self, process: str) -> dict[str, Load]:
        """Return all work that is known but for one peer's own."""
        self._expire()
        found = dict(self._others)
        peer = self._peers.get(process)
        if peer is not None:
            _add(found, peer.loads, -1)
        _add(found, self.local())
        return found

    def update_peer(
        self, process: str, loads: dict[str, Load], from_leaf: bool = False
    ) -> None:
        """Take a peer's part."""
        self.remove_peer(process)
        self._peers[process] = _PeerLoad(self._clock(), loads, from_leaf)
        _add(self._others, loads)

    def remove_peer(self, process: str) -> None:
        """Drop a peer's part, as it is over or another one now tells it."""
        peer = self._peers.pop(process, None)
        if peer is not None:
            _add(self._others, peer.loads, -1)

    def load_of(self, replica: str) -> Load:
        """Return all work at a replica, as far as it is known."""
        now_s = self._clock()
        self._expire()
        sent = self._own.get(replica)
        own = _sum(sent, now_s) if sent else IDLE
        others = self._others.get(replica)
        if others is None:
            return own
        return Load(
            own.running + others.running,
            own.queued_prefill_ms + others.queued_prefill_ms,
        )

    def _expire(self) -> None:
        """Drop the parts of peers that have been silent, now and then."""
        now_s = self._clock()
        if now_s < self._last_expiry_s + EXPIRY_INTERVAL_S:
            return
        self._last_expiry_s = now_s
        oldest_s = now_s - PEER_TIMEOUT_S
        gone = [n for n, peer in self._peers.items() if peer.at_s < oldest_s]
        for name in gone:
            self.remove_peer(name)
