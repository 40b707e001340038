"""Adapt how long a read may take to a store that answers late."""


class ReadTimeout:
    """The time that a read may take; longer while the store answers late.

    With a fixed limit a store that takes just longer would be asked again
    and again, each time for nothing, and get slower by it.

    >>> timeout = ReadTimeout(1.0, 2.0)
    >>> timeout.record_timeout(), timeout.current_s, timeout.extra_s
    (None, 2.0, 1.0)
    >>> timeout.record_answer(1.3), timeout.current_s
    (None, 2.0)
    >>> timeout.record_answer(0.1), timeout.current_s
    (None, 1.0)
    """

    def __init__(self, usual_s: float, max_s: float) -> None:
        self.usual_s = usual_s
        self._max_s = max_s
        self.current_s = usual_s

    @property
    def extra_s(self) -> float:
        """Return how much longer a read may take now than usually."""
        return self.current_s - self.usual_s

    def record_timeout(self) -> None:
        """Record a read that got no answer in time."""
        self.current_s = self._max_s

    def record_answer(self, took_s: float) -> None:
        """Record how long the store took, besides what it was told to."""
        if took_s < self.usual_s:
            self.current_s = self.usual_s
