"""Track which replicas this VM itself reaches."""

import math

import loguru
import prometheus_client

from gentianstair.generated import events
from gentianstair.util import clock as clocks

# This many replicas in a row that can't be reached, with none reached between
# them, point at this VM's own paths.
MIN_UNREACHED_REPLICAS = 2

CONNECTS = prometheus_client.Counter(
    'gentianstair_gateway_replica_connects',
    'Connections to replicas that were opened, or not, by this VM itself',
    ['outcome'],
)
UNREACHED = prometheus_client.Gauge(
    'gentianstair_gateway_replicas_unreached',
    'Replicas to which the last connection could not be opened',
)


class ReplicaPaths:
    """What connecting has shown of the paths to replicas, by address."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        # Since when each replica has not been reached.
        self._unreached_since_s: dict[str, float] = {}
        # Replicas not reached since the last one that was.
        self._in_a_row: set[str] = set()
        self._last_reached_s = -math.inf
        self._cut_since_s: float | None = None

    def is_cut(self) -> bool:
        """Return whether this VM seems to have lost its paths to replicas."""
        return self._cut_since_s is not None

    def record_reached(self, address: str) -> None:
        """Record a connection that was opened."""
        CONNECTS.labels('opened').inc()
        self._last_reached_s = self._clock()
        self._in_a_row.clear()
        if self._unreached_since_s.pop(address, None) is not None:
            UNREACHED.set(len(self._unreached_since_s))
        self._end_cut(address)

    def record_unreached(self, address: str) -> None:
        """Record a connection that could not be opened."""
        CONNECTS.labels('failed').inc()
        self._unreached_since_s.setdefault(address, self._clock())
        UNREACHED.set(len(self._unreached_since_s))
        self._in_a_row.add(address)
        if (
            self._cut_since_s is None
            and len(self._in_a_row) >= MIN_UNREACHED_REPLICAS
        ):
            self._begin_cut()

    def _begin_cut(self) -> None:
        self._cut_since_s = min(
            self._unreached_since_s[address] for address in self._in_a_row
        )
        reached_s = self._clock() - self._last_reached_s
        loguru.logger.bind(
            event=events.REPLICAS_LOST,
            replicas=sorted(self._in_a_row),
            last_reached_s=round(reached_s, 3)
            if math.isfinite(reached_s)
            else None,
        ).warning('this VM reaches no replica any more')

    def _end_cut(self, address: str) -> None:
        if self._cut_since_s is None:
            return
        lost_s = self._clock() - self._cut_since_s
        self._cut_since_s = None
        loguru.logger.bind(
            event=events.REPLICAS_BACK,
            address=address,
            lost_s=round(lost_s, 3),
        ).info('this VM reaches replicas again')
