"""Provide the clocks for leases and deadlines."""

import collections.abc
import time

import trio

# A function that returns the seconds of a monotonic clock.
Clock = collections.abc.Callable[[], float]


def boottime_s() -> float:
    """Return seconds since boot, including time the VM was suspended.

    CLOCK_MONOTONIC stops during a suspension, so a lease holder would not
    notice that its lease has expired meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def trio_time_s() -> float:
    """Return the time of the trio run, which tests can mock."""
    return trio.current_time()
