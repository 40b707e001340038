"""Record how late a process's event loop is, beside what it plays.

A player that is short of a processor answers late in all its parts at once.
Its record tells that from a fault of what it plays against.
"""

import typing

import trio

SLEEP_S = 0.01


class Lateness(typing.NamedTuple):
    """How late short sleeps ended."""

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
        """Return what was recorded so far.

        >>> Recorder().result()
        Lateness(median_s=0.0, p99_s=0.0, most_s=0.0)
        """
        found = sorted(self._late_s) or [0.0]
        picked = (found[int(share * len(found))] for share in (0.5, 0.99))
        return Lateness(*(round(late_s, 3) for late_s in (*picked, found[-1])))
