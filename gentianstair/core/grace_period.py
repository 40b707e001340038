"""Bound requests by the end of the grace once their process is leaving."""

import collections.abc
import contextlib
import math

import trio

# Left of the grace for final answers to reach their callers, before the
# server closes what is still open.
RESPONSE_FLUSH_S = 0.25


class GracePeriod:
    """The time that requests still have; without limit until a stop."""

    def __init__(self) -> None:
        self._end_s = math.inf
        self._scopes: set[trio.CancelScope] = set()

    def expire_in(self, left_s: float) -> None:
        """Bound the requests under way, and all later ones."""
        self._end_s = trio.current_time() + left_s
        for scope in self._scopes:
            scope.deadline = min(scope.deadline, self._end_s)

    def remaining_s(self) -> float:
        """Return how long requests may still take."""
        return max(0.0, self._end_s - trio.current_time())

    @contextlib.contextmanager
    def limit(self, scope: trio.CancelScope) -> collections.abc.Iterator[None]:
        """Cancel the scope at the end of the grace."""
        scope.deadline = min(scope.deadline, self._end_s)
        self._scopes.add(scope)
        try:
            yield
        finally:
            self._scopes.remove(scope)
