"""Find ports for programs that are told where to listen.

A port that the system hands out for a moment and takes back may be the near
end of somebody's connection by the time a program listens on it: on a busy
machine a program then ended with "cannot listen". So ports are drawn from
below the range that the system uses for such ends. None is given out again
before all others were: several are drawn before a program listens on any.
Test processes that run at the same time draw from parts of their own.
"""

import contextlib
import itertools
import os
import random
import socket

# Below the usual range of ephemeral ports, above those with known services.
FIRST = 20000
LAST = 32000
PARTS = 4
# Set by the test runner in each of its processes: gw0, gw1, ...
WORKER_VARIABLE = 'PYTEST_XDIST_WORKER'


def part(worker: str) -> range:
    """Return the ports of a test process.

    >>> part('gw0'), part('gw13'), part('')
    (range(20000, 23000), range(23000, 26000), range(20000, 23000))
    """
    number = int(worker.removeprefix('gw') or 0) % PARTS
    size = (LAST - FIRST) // PARTS
    return range(FIRST + number * size, FIRST + (number + 1) * size)


def _shuffled(ports: range) -> list[int]:
    return random.SystemRandom().sample(ports, len(ports))


_PORTS = itertools.cycle(_shuffled(part(os.environ.get(WORKER_VARIABLE, ''))))


def free_port() -> int:
    """Return a port that nobody listens on now."""
    for port in _PORTS:
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind(('127.0.0.1', port))
            return port
    raise AssertionError('the ports never end')
