"""Average the demand on one group of engines."""

import math
import typing

# Shortest time over which a rate is averaged, also right after the start.
MIN_WINDOW_S = 2.0


class Demand(typing.NamedTuple):
    """Arriving tokens per second, without prompt tokens that are cached.

    ``context_tokens`` is the mean context length of a sequence in decode.
    """

    prompt_tokens_per_s: float = 0.0
    output_tokens_per_s: float = 0.0
    context_tokens: float = 0.0


class DemandAverage:
    """An exponentially decaying average of the demand of arrived requests."""

    def __init__(self, time_constant_s: float) -> None:
        self.time_constant_s = time_constant_s
        self._started_s: float | None = None
        self._sums_at_s = 0.0
        self._sums = [0.0, 0.0, 0.0]

    def add(
        self,
        arrival_s: float,
        prompt_tokens: float,
        output_tokens: float,
        uncached_tokens: float,
    ) -> None:
        """Add a request by its arrival time; any order is allowed.

        Adding requests at the time of a report instead would group them and
        overestimate the rate.
        """
        if self._started_s is None:
            self._started_s = self._sums_at_s = arrival_s
        if arrival_s > self._sums_at_s:
            decay = math.exp(
                (self._sums_at_s - arrival_s) / self.time_constant_s
            )
            self._sums = [total * decay for total in self._sums]
            self._sums_at_s = arrival_s
        weight = math.exp((arrival_s - self._sums_at_s) / self.time_constant_s)
        # On average over its decode, half of a sequence's output is in its
        # context.
        context_weighted = (prompt_tokens + output_tokens / 2) * output_tokens
        for index, value in enumerate(
            (uncached_tokens, output_tokens, context_weighted)
        ):
            self._sums[index] += value * weight

    def demand(self, now_s: float) -> Demand:
        """Return the current average."""
        if self._started_s is None:
            return Demand()
        decay = math.exp((self._sums_at_s - now_s) / self.time_constant_s)
        # Right after the start the window is not yet filled.
        elapsed_share = 1.0 - math.exp(
            (self._started_s - now_s) / self.time_constant_s
        )
        window_s = max(self.time_constant_s * elapsed_share, MIN_WINDOW_S)
        uncached_tokens, output_tokens, context_weighted = (
            total * decay for total in self._sums
        )
        return Demand(
            uncached_tokens / window_s,
            output_tokens / window_s,
            context_weighted / output_tokens if output_tokens else 0.0,
        )
