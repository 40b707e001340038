"""Count started requests by usage window and customer."""

import collections
import typing

# Windows kept besides the current one: those that can still be reported, and
# one for clock differences between VMs.
KEPT_WINDOWS = 4

Windows = dict[int, dict[str, int]]


class UsageCounter:
    """Counts of this process; window k begins k * window_s after 1970."""

    def __init__(
        self, wall_clock: typing.Callable[[], float], window_s: float
    ) -> None:
        self._wall_clock = wall_clock
        self._window_s = window_s
        self._windows: dict[int, collections.Counter[str]] = {}
        # The number of requests counted so far.
        self.request_count = 0

    def current_window(self) -> int:
        """Return the number of the current window."""
        return int(self._wall_clock() // self._window_s)

    def count_start(self, customer: str | None) -> None:
        """Count a request that has started; None is not billed."""
        if customer is None:
            return
        window = self.current_window()
        counts = self._windows.get(window)
        if counts is None:
            counts = self._windows[window] = collections.Counter()
            for old in [w for w in self._windows if w < window - KEPT_WINDOWS]:
                del self._windows[old]
        counts[customer] += 1
        self.request_count += 1

    def windows(self) -> Windows:
        """Return the counts of the kept windows."""
        return {
            window: dict(counts) for window, counts in self._windows.items()
        }


def merge(
    sources: typing.Iterable[tuple[str, Windows]],
) -> dict[str, Windows]:
    """Return the windows of each process from copies of different ages.

    The counts of a process only rise, so the highest is the newest.

    >>> merge([('p', {7: {'a': 1}}), ('p', {7: {'a': 2}}), ('q', {7: {}})])
    {'p': {7: {'a': 2}}, 'q': {7: {}}}
    """
    merged: dict[str, Windows] = {}
    for process, windows in sources:
        known = merged.setdefault(process, {})
        for window, counts in windows.items():
            newest = known.setdefault(window, {})
            for customer, count in counts.items():
                newest[customer] = max(count, newest.get(customer, 0))
    return merged


def window_total(
    processes: typing.Iterable[Windows], window: int
) -> dict[str, int]:
    """Return the counts of one window over all processes.

    >>> window_total([{7: {'a': 1}}, {7: {'a': 2, 'b': 1}, 8: {'a': 9}}], 7)
    {'a': 3, 'b': 1}
    """
    totals: collections.Counter[str] = collections.Counter()
    for windows in processes:
        totals.update(windows.get(window, {}))
    return dict(sorted(totals.items()))
