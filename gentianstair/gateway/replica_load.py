"""Track the load of each replica, caused by this VM and by its peers."""

import math
import typing

import trio

from gentianstair.util import clock as clocks

# The load that a peer reported expires after this silence. Peers report
# several times a second.
PEER_TIMEOUT_S = 1.5
# An overdue prefill counts for at least this share of its work.
MIN_OVERDUE_SHARE = 0.3
# Prefills at least this long are reported to peers at once: before the next
# regular report, peers would queue several prompts behind them.
LONG_PREFILL_S = 0.08
# Minimum time between two searches for peers that timed out.
EXPIRY_INTERVAL_S = 0.1


class Load(typing.NamedTuple):
    """The load of one replica."""

    # Requests in flight.
    running: int = 0
    # How long the prefills that have not ended occupy the replica.
    queued_prefill_ms: int = 0


IDLE = Load()


def encode(loads: dict[str, Load]) -> dict[str, list[int]]:
    """Return loads in the form of peer messages."""
    return {name: list(load) for name, load in loads.items()}


def decode(rows: dict[str, list[int]]) -> dict[str, Load]:
    """Return loads from a peer message, without rows of another length."""
    return {
        name: Load(*pair)
        for name, pair in rows.items()
        if len(pair) == len(IDLE)
    }


class _PeerLoad(typing.NamedTuple):
    reported_s: float
    loads: dict[str, Load]
    # Whether the peer is a leaf of this hub.
    from_leaf: bool


class ActiveRequest:
    """One request in flight at a replica, with its prefill."""

    def __init__(
        self,
        replica: str,
        work_s: float,
        prefill_end_s: float,
        miss_penalty_s: float,
    ) -> None:
        self.replica = replica
        self._work_s = work_s
        self._prefill_end_s = prefill_end_s
        self._miss_penalty_s = miss_penalty_s

    def prefill_done(self) -> None:
        """Record the end of the prefill."""
        self._work_s = self._miss_penalty_s = 0.0

    def remaining_prefill_s(self, now_s: float) -> float:
        """Return how much work of the prefill is left.

        While it is queued this is the whole work, and then what is left of
        the expected time. An overdue prefill probably missed the cache or
        its copy, so that the replica computes the whole prompt.
        """
        if not self._work_s:
            return 0.0
        due_s = self._prefill_end_s - now_s
        if due_s > 0:
            return min(self._work_s, due_s)
        return max(
            MIN_OVERDUE_SHARE * self._work_s, due_s + self._miss_penalty_s
        )


def _sum(requests: typing.Iterable[ActiveRequest], now_s: float) -> Load:
    active = list(requests)
    remaining_s = sum(one.remaining_prefill_s(now_s) for one in active)
    return Load(len(active), round(remaining_s * 1000))


def _add(
    totals: dict[str, Load], loads: dict[str, Load], sign: int = 1
) -> None:
    """Add loads to totals, or subtract them with sign -1."""
    for replica, load in loads.items():
        known = totals.get(replica, IDLE)
        total = Load(
            known.running + sign * load.running,
            known.queued_prefill_ms + sign * load.queued_prefill_ms,
        )
        if total == IDLE:
            totals.pop(replica, None)
        else:
            totals[replica] = total


class LoadTracker:
    """The load of each replica, by the replica's name."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._own: dict[str, set[ActiveRequest]] = {}
        self._peers: dict[str, _PeerLoad] = {}
        # How often something was to be told to peers at once; the event is
        # set, and replaced, each time.
        self.early_reports = 0
        self._early_report = trio.Event()
        # The sum over peers, kept up to date with each report: a hub gets
        # some tens of reports several times a second.
        self._peer_totals: dict[str, Load] = {}
        self._last_expiry_s = -math.inf

    def begin(
        self,
        replica: str,
        work_s: float = 0.0,
        prefill_end_s: float = 0.0,
        miss_penalty_s: float = 0.0,
    ) -> ActiveRequest:
        """Count a request that is being sent; the caller ends it.

        Its prefill occupies the replica for work_s and is expected to end at
        prefill_end_s. It takes miss_penalty_s longer if no part of the
        prompt is cached.
        """
        request = ActiveRequest(replica, work_s, prefill_end_s, miss_penalty_s)
        if work_s >= LONG_PREFILL_S:
            self.ask_early_report()
        self._own.setdefault(replica, set()).add(request)
        return request

    def ask_early_report(self) -> None:
        """Have the next report to other hubs sent at once."""
        self.early_reports += 1
        self._early_report.set()
        self._early_report = trio.Event()

    async def wait_early_report(self, told: int) -> None:
        """Return when a report to other hubs is not to wait.

        The one before told of so many early_reports.
        """
        if self.early_reports == told:
            await self._early_report.wait()

    def end(self, request: ActiveRequest) -> None:
        """Remove a request that has ended."""
        running = self._own.get(request.replica, set())
        running.discard(request)
        if not running:
            self._own.pop(request.replica, None)

    def local(self) -> dict[str, Load]:
        """Return the load caused by this VM."""
        now_s = self._clock()
        return {
            name: _sum(requests, now_s) for name, requests in self._own.items()
        }

    def subtree(self) -> dict[str, Load]:
        """Return the load caused by this VM and its leaves."""
        totals = self.local()
        self._expire()
        for peer in self._peers.values():
            if peer.from_leaf:
                _add(totals, peer.loads)
        return totals

    def excluding(self, process: str) -> dict[str, Load]:
        """Return the known load without the part that one peer reported."""
        self._expire()
        totals = dict(self._peer_totals)
        peer = self._peers.get(process)
        if peer is not None:
            _add(totals, peer.loads, -1)
        _add(totals, self.local())
        return totals

    def update_peer(
        self, process: str, loads: dict[str, Load], from_leaf: bool = False
    ) -> None:
        """Replace the load that a peer reported."""
        known = self._peers.get(process)
        before = known.loads if known else {}
        # Most loads are those of the report before; only others are summed.
        changed = {
            replica: load
            for replica, load in loads.items()
            if before.get(replica) != load
        }
        ended = {
            replica: load
            for replica, load in before.items()
            if replica in changed or replica not in loads
        }
        _add(self._peer_totals, ended, -1)
        _add(self._peer_totals, changed)
        self._peers[process] = _PeerLoad(self._clock(), loads, from_leaf)

    def remove_peer(self, process: str) -> None:
        """Drop the load that a peer reported, if any."""
        peer = self._peers.pop(process, None)
        if peer is not None:
            _add(self._peer_totals, peer.loads, -1)

    def load_of(self, replica: str) -> Load:
        """Return the known load of a replica."""
        now_s = self._clock()
        self._expire()
        requests = self._own.get(replica)
        own = _sum(requests, now_s) if requests else IDLE
        others = self._peer_totals.get(replica)
        if others is None:
            return own
        return Load(
            own.running + others.running,
            own.queued_prefill_ms + others.queued_prefill_ms,
        )

    def _expire(self) -> None:
        """Drop peers that timed out, at most once per interval."""
        now_s = self._clock()
        if now_s < self._last_expiry_s + EXPIRY_INTERVAL_S:
            return
        self._last_expiry_s = now_s
        oldest_s = now_s - PEER_TIMEOUT_S
        gone = [
            name
            for name, peer in self._peers.items()
            if peer.reported_s < oldest_s
        ]
        for name in gone:
            self.remove_peer(name)
