"""Provide a wall clock that ignores short jumps of the VM's clock."""

import typing

from gentianstair.util import clock as clocks

# A jump that lasts for this long is accepted as a correction.
CORRECTION_DELAY_S = 30.0
MAX_DRIFT_S = 0.25


class SteadyWallClock:
    """Unix time that advances with a monotonic clock.

    The VM's clock may jump by seconds and back again, and usage counted in
    between would fall into the wrong window. Differences of up to
    MAX_DRIFT_S are followed at once, larger ones after CORRECTION_DELAY_S.
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
        """Return the Unix time in seconds."""
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
