"""Record how late a process's event loop is, beside what it plays.

A player that is short of a processor answers late in all its parts at once.
Its record tells that from a fault of what it plays against.
"""

import typing

import trio

SLEEP_S = 0.01


class Lateness(typing.NamedTuple):
    """How late short sleeps ended, or something else was done."""

    median_s: float
    p99_s: float
    most_s: float


class Recorder:
    """Sleeps again and again, and keeps how late each sleep ended."""

    def __init__(self) -> None:
        self._late_s: list[float] = []

    async def run(self) -> None:
        """Record until cancelled."""
        while True:
            due_s = trio.current_time() + SLEEP_S
            await trio.sleep(SLEEP_S)
            self._late_s.append(trio.current_time() - due_s)

    def result(self) -> Lateness:
        """Return what was recorded so far."""
        return summary(self._late_s)


def summary(late_s: typing.Iterable[float]) -> Lateness:
    """Return how late all these were.

    >>> summary([0.1, 0.3, 0.2])
    Lateness(median_s=0.2, p99_s=0.3, most_s=0.3)
    >>> summary([])
    Lateness(median_s=0.0, p99_s=0.0, most_s=0.0)
    """
    found = sorted(late_s) or [0.0]
    picked = (found[int(share * len(found))] for share in (0.5, 0.99))
    return Lateness(*(round(late, 3) for late in (*picked, found[-1])))
