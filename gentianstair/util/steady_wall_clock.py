"""Tell the time of day so that a jump of the VM's clock does not show."""

import typing

from gentianstair.util import clock as clocks

# A difference that stays for so long is a correction, not a jump that is
# taken back; smaller differences are drift and are followed at once.
CORRECTION_DELAY_S = 30.0
MAX_DRIFT_S = 0.25


class SteadyWallClock:
    """Seconds since 1970, carried forward on a clock that does not jump.

    The time of day may jump by seconds and back again. Usage counted then
    would fall into the wrong window.
    """

    def __init__(
        self,
        wall_clock: typing.Callable[[], float],
        monotonic_clock: clocks.Clock,
    ) -> None:
        self._wall_clock = wall_clock
        self._monotonic_clock = monotonic_clock
        self._offset_s = wall_clock() - monotonic_clock()
        self._changed_since_s: float | None = None

    def __call__(self) -> float:
        """Return the time of day."""
        now_s = self._monotonic_clock()
        offset_s = self._wall_clock() - now_s
        if abs(offset_s - self._offset_s) <= MAX_DRIFT_S:
            self._offset_s = offset_s
            self._changed_since_s = None
        elif self._changed_since_s is None:
            self._changed_since_s = now_s
        elif now_s - self._changed_since_s >= CORRECTION_DELAY_S:
            self._offset_s = offset_s
            self._changed_since_s = None
        return now_s + self._offset_s
