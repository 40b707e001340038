"""Tell which signals a process catches, from what the kernel says of it."""

import pathlib
import signal
import time

# How often the kernel is asked.
LOOK_S = 0.002


def catches(pid: int, number: signal.Signals) -> bool:
    """Return whether a process has a handler of its own for a signal."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    (mask,) = [
        line.split()[1]
        for line in status.splitlines()
        if line.startswith('SigCgt:')
    ]
    return bool(int(mask, 16) & 1 << (number - 1))


def wait_caught(pid: int, number: signal.Signals, limit_s: float) -> None:
    """Return once a process catches a signal; raise TimeoutError."""
    deadline_s = time.monotonic() + limit_s
    while not catches(pid, number):
        if time.monotonic() > deadline_s:
            raise TimeoutError(f'{pid} does not catch {number.name}')
        time.sleep(LOOK_S)
