"""Track which upstreams this VM reaches itself.

An upstream that this VM can't connect to may be down, or only the path from
this VM is lost. A connection through another VM tells the two apart.
"""

import collections.abc
import math

import loguru
import prometheus_client
import trio

from gentianstair.generated import events
from gentianstair.util import clock as clocks

# This many upstreams in a row that can't be reached, with none reached between
# them, point at this VM's own paths.
MIN_UNREACHED = 2
# It is logged once it has lasted this long.
MIN_CUT_S = 1.0

CONNECTS = prometheus_client.Counter(
    'gentianstair_upstream_connects',
    'Connections to upstreams: opened by this VM itself, through a peer, or '
    'not at all',
    ['outcome'],
)
UNREACHED = prometheus_client.Gauge(
    'gentianstair_upstreams_unreached',
    'Upstreams to which the last connection could not be opened directly',
)
LOST_PATHS = prometheus_client.Gauge(
    'gentianstair_lost_paths',
    'Upstreams that peers reach and this VM does not',
)


class UpstreamPaths:
    """What connecting has shown of the paths to upstreams, by address."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        # Since when each upstream has not been reached.
        self._unreached_since_s: dict[str, float] = {}
        # Upstreams not reached since the last one that was, and since when.
        self._in_a_row: set[str] = set()
        self._row_since_s = math.inf
        # Since when the path to each upstream that a peer reaches is lost.
        self._lost_since_s: dict[str, float] = {}
        self._cut_since_s: float | None = None
        self._last_reached_s = -math.inf
        self._changed = trio.Event()

    def is_lost(self, address: str) -> bool:
        """Return whether peers reach an upstream and this VM does not."""
        return address in self._lost_since_s

    def is_unreached(self, address: str) -> bool:
        """Return whether nothing reached an upstream at the last connect."""
        return address in self._unreached_since_s and not self.is_lost(address)

    def lost(self) -> list[str]:
        """Return the upstreams whose path is lost, longest first."""
        return list(self._lost_since_s)

    def is_cut(self) -> bool:
        """Return whether the paths to several upstreams are lost."""
        return len(self._lost_since_s) >= MIN_UNREACHED

    def distrusted_before_s(self, address: str) -> float:
        """Return since when the path to an upstream may have been lost.

        A connection that was not heard from since then may be dead.
        """
        lost_s = self._lost_since_s.get(address, -math.inf)
        if self.is_cut():
            return max(lost_s, *self._lost_since_s.values())
        return lost_s

    async def wait_changed(self) -> None:
        """Return when a path is found to be lost, or to be back."""
        await self._changed.wait()

    def record_reached(self, address: str) -> None:
        """Record a connection that this VM opened itself."""
        CONNECTS.labels('opened').inc()
        self._last_reached_s = self._clock()
        self._in_a_row.clear()
        self._unreached_since_s.pop(address, None)
        self._end_cut(address)
        lost_since_s = self._lost_since_s.pop(address, None)
        self._set_gauges()
        if lost_since_s is None:
            return
        self._note_change()
        loguru.logger.bind(
            event=events.PATH_BACK,
            address=address,
            lost_s=round(self._clock() - lost_since_s, 3),
        ).info('the path to an upstream is back')

    def record_unreached(self, address: str) -> None:
        """Record a connection that could not be opened at all."""
        CONNECTS.labels('failed').inc()
        self._add_unreached(address)

    def record_lost(self, address: str, peer: str) -> None:
        """Record a connection that was opened through a peer only."""
        CONNECTS.labels('through a peer').inc()
        if address not in self._lost_since_s:
            self._lost_since_s[address] = self._clock()
            self._note_change()
            loguru.logger.bind(
                event=events.PATH_LOST, address=address, peer=peer
            ).info('the path to an upstream that a peer reaches is lost')
        self._add_unreached(address)

    def forget_unknown(
        self, is_known: collections.abc.Callable[[str], bool]
    ) -> None:
        """Forget the upstreams that are gone."""
        for address in list(self._unreached_since_s):
            if not is_known(address):
                self._forget(address)

    def _forget(self, address: str) -> None:
        self._unreached_since_s.pop(address, None)
        self._in_a_row.discard(address)
        if self._lost_since_s.pop(address, None) is not None:
            self._note_change()
        self._set_gauges()

    def _note_change(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _set_gauges(self) -> None:
        UNREACHED.set(len(self._unreached_since_s))
        LOST_PATHS.set(len(self._lost_since_s))

    def _add_unreached(self, address: str) -> None:
        now_s = self._clock()
        self._unreached_since_s.setdefault(address, now_s)
        if not self._in_a_row:
            self._row_since_s = now_s
        self._in_a_row.add(address)
        self._set_gauges()
        if (
            self._cut_since_s is None
            and len(self._in_a_row) >= MIN_UNREACHED
            and now_s - self._row_since_s >= MIN_CUT_S
        ):
            self._begin_cut()

    def _begin_cut(self) -> None:
        self._cut_since_s = self._row_since_s
        reached_s = self._clock() - self._last_reached_s
        loguru.logger.bind(
            event=events.UPSTREAMS_LOST,
            addresses=sorted(self._in_a_row),
            reached_by_peers=sorted(self._lost_since_s),
            last_reached_s=round(reached_s, 3)
            if math.isfinite(reached_s)
            else None,
        ).warning('this VM connects to no upstream any more')

    def _end_cut(self, address: str) -> None:
        if self._cut_since_s is None:
            return
        lost_s = self._clock() - self._cut_since_s
        self._cut_since_s = None
        loguru.logger.bind(
            event=events.UPSTREAMS_BACK,
            address=address,
            lost_s=round(lost_s, 3),
        ).info('this VM connects to upstreams again')
