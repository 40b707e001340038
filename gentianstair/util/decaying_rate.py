"""Average a rate over the recent past."""

# Natural logarithm of 2: the sum of all that was counted at a constant rate
# is the rate times the half-life, divided by this.
_LN_2 = 0.6931


class DecayingRate:
    """A rate per second, averaged with exponential decay.

    >>> rate = DecayingRate(half_life_s=2.0, now_s=0.0)
    >>> rate.add(100.0, 0.0)
    >>> round(rate.per_s(0.0), 1), round(rate.per_s(2.0), 1)
    (34.7, 17.3)
    """

    def __init__(self, half_life_s: float, now_s: float) -> None:
        self._half_life_s = half_life_s
        self._updated_at_s = now_s
        self._sum = 0.0

    def _decay(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._updated_at_s)
        self._sum *= 0.5 ** (passed_s / self._half_life_s)
        self._updated_at_s = max(self._updated_at_s, now_s)

    def add(self, amount: float, now_s: float) -> None:
        """Count an amount at now_s."""
        self._decay(now_s)
        self._sum += amount

    def per_s(self, now_s: float) -> float:
        """Return the average rate a second."""
        self._decay(now_s)
        return self._sum * _LN_2 / self._half_life_s
