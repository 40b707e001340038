"""Average what callers ask of the engines of one group."""

import math
import typing


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
        self._sums = [0.0, 0.0, 0.0, 0.0]

    def add(
        self, now_s: float, prompt: float, output: float, unread: float
    ) -> None:
        """Count requests with so many prompt, output and unread tokens."""
        if self._started_s is None:
            self._started_s = self._at_s = now_s
        fade = math.exp((self._at_s - now_s) / self.fade_s)
        self._at_s = now_s
        # Half of the output stands in the context on average.
        context = (prompt + output / 2) * output
        added = (unread, output, context, 1.0)
        self._sums = [
            old * fade + new
            for old, new in zip(self._sums, added, strict=True)
        ]

    def demand(self, now_s: float) -> Demand:
        """Return the rates now."""
        if self._started_s is None:
            return Demand()
        fade = math.exp((self._at_s - now_s) / self.fade_s)
        # A young average has not yet seen its whole window.
        seen = 1.0 - math.exp((self._started_s - now_s) / self.fade_s)
        window_s = self.fade_s * max(seen, 0.01)
        unread, output, context, _ = (part * fade for part in self._sums)
        return Demand(
            unread / window_s,
            output / window_s,
            context / output if output else 0.0,
        )
