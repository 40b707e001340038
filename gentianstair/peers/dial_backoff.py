"""Remember which peers not to dial for a while."""

import math

from gentianstair.util import clock as clocks

# Heartbeats for which a peer is passed over, at most, after failed tries.
MAX_BACKOFF_HEARTBEATS = 10


class DialBackoff:
    """Peers that could not be reached, and until when to pass them over."""

    def __init__(self, clock: clocks.Clock, heartbeat_s: float) -> None:
        self._clock = clock
        self._heartbeat_s = heartbeat_s
        self._until_s: dict[str, float] = {}
        self._failures: dict[str, int] = {}

    def record_failure(self, name: str) -> None:
        """Pass a peer over for a while, longer with each failed try."""
        # A first try may fail only since the peer is just starting.
        failures = self._failures.get(name, 0)
        self._failures[name] = failures + 1
        heartbeats = min(MAX_BACKOFF_HEARTBEATS, 0.5 * 2**failures)
        self._until_s[name] = self._clock() + heartbeats * self._heartbeat_s

    def exclude(self, name: str) -> None:
        """Do not dial a name again: it is this node itself."""
        self._until_s[name] = math.inf

    def reset(self, name: str) -> None:
        """Forget what failed before."""
        self._until_s.pop(name, None)
        self._failures.pop(name, None)

    def is_waiting(self, name: str, now_s: float) -> bool:
        """Return whether a peer is passed over now."""
        return self._until_s.get(name, 0.0) > now_s

    def waiting_names(self, now_s: float) -> set[str]:
        """Return all that are passed over now."""
        return {n for n, until_s in self._until_s.items() if until_s > now_s}
