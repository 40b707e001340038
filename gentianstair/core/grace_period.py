"""Limit requests to the grace period of a shutdown."""

import collections.abc
import contextlib
import math

import trio

# Part of the grace period kept for responses to reach their callers before
# the server closes the remaining connections.
RESPONSE_FLUSH_S = 0.25


class GracePeriod:
    """The time that requests still have; unlimited before a shutdown."""

    def __init__(self) -> None:
        self._end_s = math.inf
        self._scopes: set[trio.CancelScope] = set()

    def expire_in(self, remaining_s: float) -> None:
        """Set the end of the period for requests in flight and later ones."""
        self._end_s = trio.current_time() + remaining_s
        for scope in self._scopes:
            scope.deadline = min(scope.deadline, self._end_s)

    def remaining_s(self) -> float:
        """Return how long requests may still take."""
        return max(0.0, self._end_s - trio.current_time())

    @contextlib.contextmanager
    def limit(self, scope: trio.CancelScope) -> collections.abc.Iterator[None]:
        """Cancel the scope at the end of the grace period."""
        scope.deadline = min(scope.deadline, self._end_s)
        self._scopes.add(scope)
        try:
            yield
        finally:
            self._scopes.remove(scope)
