"""Average what callers ask of the engines of one group."""

import math
import typing

# The first requests alone say little of a rate.
MIN_WINDOW_S = 2.0


class Demand(typing.NamedTuple):
    """Work that arrives, per second; prompt tokens without cached ones.

    ``context_tokens`` is the mean context of a sequence in decode.
    """

    prompt_tokens_per_s: float = 0.0
    output_tokens_per_s: float = 0.0
    context_tokens: float = 0.0


class Average:
    """An average of arrivals in which old ones fade exponentially."""

    def __init__(self, fade_s: float) -> None:
        self.fade_s = fade_s
        self._started_s: float | None = None
        self._at_s = 0.0
        self._sums = [0.0, 0.0, 0.0]

    def add(
        self, at_s: float, prompt: float, output: float, unread: float
    ) -> None:
        """Count a request that arrived at a time, in any order.

        The time is that of arrival, not of the report: requests counted in
        lots when reports come would look like a tenth more than they are.
        """
        if self._started_s is None:
            self._started_s = self._at_s = at_s
        if at_s > self._at_s:
            fade = math.exp((self._at_s - at_s) / self.fade_s)
            self._sums = [old * fade for old in self._sums]
            self._at_s = at_s
        weight = math.exp((at_s - self._at_s) / self.fade_s)
        # Half of the output stands in the context on average.
        context = (prompt + output / 2) * output
        for index, value in enumerate((unread, output, context)):
            self._sums[index] += value * weight

    def demand(self, now_s: float) -> Demand:
        """Return the rates now."""
        if self._started_s is None:
            return Demand()
        fade = math.exp((self._at_s - now_s) / self.fade_s)
        # A young average has not yet seen its whole window.
        seen = 1.0 - math.exp((self._started_s - now_s) / self.fade_s)
        window_s = max(self.fade_s * seen, MIN_WINDOW_S)
        unread, output, context = (part * fade for part in self._sums)
        return Demand(
            unread / window_s,
            output / window_s,
            context / output if output else 0.0,
        )
