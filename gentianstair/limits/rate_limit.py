"""Define a customer's rate limit, and how exactly it has to be kept."""

import typing


class RateLimit(typing.NamedTuple):
    """What a customer may use, over all VMs, in requests or in tokens."""

    rate_per_s: float
    # Capacity of the token bucket that the rate fills.
    burst: float
    counts_tokens: bool = False
    # What a request costs that states no number of tokens.
    default_tokens: int = 1

    def cost(self, token_count: int | None) -> int:
        """Return what a request uses; token_count is None if not stated.

        >>> RateLimit(9.0, 9.0, True, default_tokens=200).cost(None)
        200
        >>> RateLimit(9.0, 9.0).cost(1540)
        1
        """
        if not self.counts_tokens:
            return 1
        return self.default_tokens if token_count is None else token_count


class Tolerance(typing.NamedTuple):
    """By how much a limit may be exceeded in each window.

    In a window a customer may use up to ``(rate_per_s * window_s + burst) *
    (1 + overage_ratio) + allowance``.
    """

    window_s: float = 8.0
    overage_ratio: float = 0.0
    allowance: float = 0.0

    def excess(self, limit: RateLimit) -> float:
        """Return how much more than the limit may be used in a window.

        >>> Tolerance(8.0, 0.1, 100.0).excess(RateLimit(10.0, 20.0))
        110.0
        """
        window_use = limit.rate_per_s * self.window_s + limit.burst
        return self.overage_ratio * window_use + self.allowance
