"""Back off from dialing peers that could not be reached."""

import math

from gentianstair.util import clock as clocks

# Longest backoff after failed dials, in heartbeat intervals.
MAX_BACKOFF_HEARTBEATS = 10


class DialBackoff:
    """Exponential backoff per peer, counted in heartbeat intervals."""

    def __init__(self, clock: clocks.Clock, heartbeat_s: float) -> None:
        self._clock = clock
        self._heartbeat_s = heartbeat_s
        self._until_s: dict[str, float] = {}
        self._failures: dict[str, int] = {}

    def record_failure(self, name: str) -> None:
        """Start a backoff that doubles with each failed dial."""
        # The first backoff is short: the peer may just be starting.
        failures = self._failures.get(name, 0)
        self._failures[name] = failures + 1
        heartbeats = min(MAX_BACKOFF_HEARTBEATS, 0.5 * 2**failures)
        self._until_s[name] = self._clock() + heartbeats * self._heartbeat_s

    def exclude(self, name: str) -> None:
        """Never dial a name again: it leads to this node itself."""
        self._until_s[name] = math.inf

    def reset(self, name: str) -> None:
        """Clear the backoff of a peer that was reached."""
        self._until_s.pop(name, None)
        self._failures.pop(name, None)

    def is_waiting(self, name: str, now_s: float) -> bool:
        """Say whether a peer must not be dialed yet."""
        return self._until_s.get(name, 0.0) > now_s

    def waiting_names(self, now_s: float) -> set[str]:
        """Return the names that must not be dialed yet."""
        return {n for n, until_s in self._until_s.items() if until_s > now_s}
