"""Kill this process if a step takes too long, even while suspended."""

import collections.abc
import contextlib
import signal


@contextlib.contextmanager
def kill_after(timeout_s: float) -> collections.abc.Iterator[None]:
    """Have the kernel kill this process if the block outlasts timeout_s.

    A process that is suspended in the block would continue with outdated
    state; its own checks cannot prevent that, as the suspension may follow
    any check. The kernel's timer keeps running while the process is
    stopped, and SIGALRM, with its default action, kills the process before
    it runs another instruction.

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
