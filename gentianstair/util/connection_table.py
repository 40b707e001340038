"""Bound the open connections of callers at one address.

When there are too many the one that is worth least to its caller gives way:
first one that has never sent a whole request head, then one that is idle, then
one whose request is not all there; of these the longest so. A connection whose
request is under way gives way to nothing.
"""

import collections
import collections.abc

import prometheus_client

from gentianstair.util import connections

EVICTIONS = prometheus_client.Counter(
    'gentianstair_connection_evictions',
    'Connections that gave way to new ones, by what they did',
    ['phase'],
)
REFUSED = prometheus_client.Counter(
    'gentianstair_connections_refused',
    'New connections that were closed as none gave way',
)
# In the order in which they give way.
_GIVES_WAY = (
    connections.Phase.NEW,
    connections.Phase.IDLE,
    connections.Phase.READING,
)

Evict = collections.abc.Callable[[], None]


class ConnectionTable:
    """The open connections of callers at one address.

    >>> table = ConnectionTable(1)
    >>> first, second = connections.Connection(), connections.Connection()
    >>> table.admit(first, lambda: print('closed'))
    True
    >>> table.admit(second, lambda: None)
    closed
    True
    >>> progress = connections.RequestProgress(second)
    >>> progress.note_whole()
    >>> table.admit(connections.Connection(), lambda: None)
    False
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        # By phase, the longest in it first.
        self._open: dict[
            connections.Phase,
            collections.OrderedDict[connections.Connection, Evict],
        ] = {phase: collections.OrderedDict() for phase in connections.Phase}

    def __len__(self) -> int:
        return sum(map(len, self._open.values()))

    def admit(self, connection: connections.Connection, evict: Evict) -> bool:
        """Add a connection; return False if none gives way to it.

        evict is called if it has to give way itself.
        """
        if len(self) >= self._limit and not self._evict_one():
            REFUSED.inc()
            return False
        self._open[connection.phase][connection] = evict
        connection.on_phase = self._move
        return True

    def _evict_one(self) -> bool:
        for phase in _GIVES_WAY:
            if self._open[phase]:
                found, evict = self._open[phase].popitem(last=False)
                found.on_phase = None
                EVICTIONS.labels(phase.value).inc()
                evict()
                return True
        return False

    def _move(
        self, connection: connections.Connection, before: connections.Phase
    ) -> None:
        """Put a connection behind the others of its new phase."""
        evict = self._open[before].pop(connection)
        self._open[connection.phase][connection] = evict

    def remove(self, connection: connections.Connection) -> None:
        """Remove a connection that has ended."""
        connection.on_phase = None
        self._open[connection.phase].pop(connection, None)


__all__ = ['ConnectionTable']
