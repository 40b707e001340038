"""Record when the events of a stream go to its caller."""

from gentianstair.util import clock as clocks


class EventTimes:
    """When a caller got the first and the latest event of its stream."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self.first_s: float | None = None
        self._last_s: float | None = None
        self.longest_pause_s = 0.0

    def record_begin(self) -> None:
        """Record that the response goes to the caller now."""
        self.first_s = self._clock()

    def record_sent(self) -> None:
        """Record that events go to the caller now."""
        now_s = self._clock()
        if self._last_s is not None:
            self.longest_pause_s = max(
                self.longest_pause_s, now_s - self._last_s
            )
        self._last_s = now_s


__all__ = ['EventTimes']
