"""Decide how long a connection may stay open between two requests."""

import collections.abc
import math

# How long a request that seems to be on its way is waited for: a connection
# was just opened, or bytes have come as it was to end.
ARRIVAL_S = 1.0


class Idleness:
    """The moment at which one connection has been idle for too long.

    ``end_s`` is that moment on the clock of the times given, infinity while
    a request is under way.
    """

    def __init__(
        self, keep_alive_s: collections.abc.Callable[[], float], now_s: float
    ) -> None:
        # Asked anew for each wait, as a configuration may change it.
        self._keep_alive_s = keep_alive_s
        self._stopping = False
        self._first_request_s = now_s + ARRIVAL_S
        self.end_s = now_s + keep_alive_s()

    def begin(self) -> None:
        """Note that a request has been taken."""
        self._first_request_s = -math.inf
        self.end_s = math.inf

    def rest(self, now_s: float) -> None:
        """Note that the answer is whole and the next request may come."""
        self.end_s = now_s
        if not self._stopping:
            self.end_s += self._keep_alive_s()

    def stop(self, now_s: float) -> None:
        """Keep no idle connection from now on."""
        self._stopping = True
        if self._is_idle():
            self.end_s = min(self.end_s, max(now_s, self._first_request_s))

    def wait_arrival(self, now_s: float) -> None:
        """Note that bytes have come which nobody has read yet."""
        if self._is_idle():
            self.end_s = now_s + ARRIVAL_S

    def _is_idle(self) -> bool:
        return not math.isinf(self.end_s)

    def is_over(self, now_s: float) -> bool:
        """Return whether the connection is to end now."""
        return now_s >= self.end_s
