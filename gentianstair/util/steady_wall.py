"""Tell the time of day so that a jump of the VM's clock does not show."""

import typing

from gentianstair.util import clock as clocks

# A difference that stays for so long is a correction, not a jump that is
# taken back; smaller differences are drift and are followed at once.
CORRECTION_S = 30.0
DRIFT_S = 0.25


class SteadyWall:
    """Seconds since 1970, carried forward on a clock that does not jump.

    The time of day may jump by seconds and back again. Usage counted then
    would fall into the wrong window.
    """

    def __init__(
        self, wall: typing.Callable[[], float], steady: clocks.Clock
    ) -> None:
        self._wall = wall
        self._steady = steady
        self._offset_s = wall() - steady()
        self._differs_since_s: float | None = None

    def __call__(self) -> float:
        """Return the time of day."""
        now_s = self._steady()
        offset_s = self._wall() - now_s
        if abs(offset_s - self._offset_s) <= DRIFT_S:
            self._offset_s = offset_s
            self._differs_since_s = None
        elif self._differs_since_s is None:
            self._differs_since_s = now_s
        elif now_s - self._differs_since_s >= CORRECTION_S:
            self._offset_s = offset_s
            self._differs_since_s = None
        return now_s + self._offset_s
