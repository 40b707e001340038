"""Hold a token bucket whose rate and capacity may change at any time."""


class TokenBucket:
    """A token bucket; its level may fall below zero.

    >>> bucket = TokenBucket(level=0.0, now_s=0.0)
    >>> bucket.refill(rate_per_s=10.0, capacity=15.0, now_s=1.0)
    >>> bucket.take(12.0)
    >>> bucket.level, bucket.wait_s(needed=8.0, rate_per_s=10.0)
    (-2.0, 1.0)
    """

    def __init__(self, level: float, now_s: float) -> None:
        self.level = level
        self._refilled_at_s = now_s

    def refill(self, rate_per_s: float, capacity: float, now_s: float) -> None:
        """Add what has accrued since the last call, up to capacity."""
        passed_s = max(0.0, now_s - self._refilled_at_s)
        self.level = min(capacity, self.level + passed_s * rate_per_s)
        self._refilled_at_s = max(self._refilled_at_s, now_s)

    def take(self, amount: float, lowest_level: float | None = None) -> None:
        """Subtract an amount, but do not go below lowest_level."""
        level = self.level - amount
        if lowest_level is not None:
            level = max(level, min(self.level, lowest_level))
        self.level = level

    def wait_s(self, needed: float, rate_per_s: float) -> float:
        """Return the time until the level reaches needed; 0 if it has."""
        return max(0.0, needed - self.level) / max(rate_per_s, 1e-9)
