"""Tell time for leases and deadlines."""

import collections.abc
import time

import trio

# A function that returns seconds on a clock that never runs backwards.
Clock = collections.abc.Callable[[], float]


def boottime_s() -> float:
    """Return seconds since boot, counting time the VM was suspended.

    A lease holder on a VM that slept must see the sleep, or it would go on
    with authority that lapsed meanwhile; CLOCK_MONOTONIC stops then.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def trio_time_s() -> float:
    """Return the run's clock, which a test's MockClock can drive."""
    return trio.current_time()
