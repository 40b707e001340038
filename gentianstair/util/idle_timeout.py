"""Decide when to close a connection that waits for its next request."""

import collections.abc
import math

# Extra wait for a request that is probably on its way: the connection has
# just been opened, or bytes arrived as it was about to be closed.
REQUEST_WAIT_S = 1.0


class IdleTimeout:
    """The deadline at which one idle connection is closed.

    ``deadline_s`` is on the same clock as the times passed in; it is
    infinite while a request is in flight.
    """

    def __init__(
        self, keep_alive_s: collections.abc.Callable[[], float], now_s: float
    ) -> None:
        # Called for each idle period, as the configuration may change.
        self._keep_alive_s = keep_alive_s
        self._stopping = False
        self._first_request_until_s = now_s + REQUEST_WAIT_S
        self.deadline_s = now_s + keep_alive_s()

    def request_started(self) -> None:
        """Suspend the deadline while a request is in flight."""
        self._first_request_until_s = -math.inf
        self.deadline_s = math.inf

    def response_sent(self, now_s: float) -> None:
        """Start the idle period after a complete response."""
        self.deadline_s = now_s
        if not self._stopping:
            self.deadline_s += self._keep_alive_s()

    def stop(self, now_s: float) -> None:
        """Close the connection once it is idle, without a keep-alive time."""
        self._stopping = True
        if self._is_idle():
            self.deadline_s = min(
                self.deadline_s, max(now_s, self._first_request_until_s)
            )

    def expect_request(self, now_s: float) -> None:
        """Extend an idle period as unread bytes have arrived."""
        if self._is_idle():
            self.deadline_s = now_s + REQUEST_WAIT_S

    def _is_idle(self) -> bool:
        return not math.isinf(self.deadline_s)

    def has_expired(self, now_s: float) -> bool:
        """Return whether the connection must be closed now."""
        return now_s >= self.deadline_s
