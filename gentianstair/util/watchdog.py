"""End this process when a step takes too long, even while it is stopped."""

import collections.abc
import contextlib
import signal


@contextlib.contextmanager
def kill_after(timeout_s: float) -> collections.abc.Iterator[None]:
    """Have the kernel end this process if the block is not left in time.

    A process that is stopped inside the block and goes on later would take
    its next step with knowledge that is out of date; no check of its own
    can prevent that, as the stop may come after any check. The kernel's
    timer runs on while the process is stopped. Its signal, left at its
    default action, is delivered before the next instruction is run.

    The block must not await, and must run on the main thread.
    """
    previous_handler = signal.signal(signal.SIGALRM, signal.SIG_DFL)
    previous_s, previous_interval_s = signal.setitimer(
        signal.ITIMER_REAL, max(timeout_s, 1e-6)
    )
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous_handler)
        signal.setitimer(signal.ITIMER_REAL, previous_s, previous_interval_s)
