"""Find ports for programs that are told where to listen.

A port that the system hands out for a moment and takes back may be the near
end of somebody's connection by the time a program listens on it: on a busy
machine a program then ended with "cannot listen". So ports are drawn from
below the range that the system uses for such ends. None is given out again
before all others were: several are drawn before a program listens on any.
Processes that run at the same time draw from parts of their own, also those of
different runs: a program that is started again would otherwise find its port
taken, and callers of one run would reach the gateways of another.
"""

import contextlib
import itertools
import os
import random
import socket

# Below the usual range of ephemeral ports, above those with known services.
FIRST = 10000
LAST = 32000
PARTS = 10
# Set by the test runner in each of its processes: gw0, gw1, ...
WORKER_VARIABLE = 'PYTEST_XDIST_WORKER'


def part(worker: str) -> range:
    """Return the ports that a test process asks for first.

    >>> part('gw0'), part('gw13'), part('')
    (range(10000, 12200), range(16600, 18800), range(10000, 12200))
    """
    number = int(worker.removeprefix('gw') or 0) % PARTS
    size = (LAST - FIRST) // PARTS
    return range(FIRST + number * size, FIRST + (number + 1) * size)


def _shuffled(ports: range) -> list[int]:
    return random.SystemRandom().sample(ports, len(ports))


class PartsTakenError(Exception):
    """Report that other processes hold all parts of the ports."""


def hold_part(worker: str) -> tuple[socket.socket, range]:
    """Return a part that no other process holds, and what holds it.

    The part is this process's while the socket, on its first port, is open.
    """
    wanted = part(worker).start
    size = (LAST - FIRST) // PARTS
    for number in range(PARTS):
        first = FIRST + (wanted - FIRST + number * size) % (PARTS * size)
        holder = socket.socket()
        try:
            holder.bind(('127.0.0.1', first))
        except OSError:
            # Another process holds this part.
            holder.close()
            continue
        return holder, range(first + 1, first + size)
    raise PartsTakenError(f'all {PARTS} parts of the ports are in use')


_HOLDER, _PART = hold_part(os.environ.get(WORKER_VARIABLE, ''))
_PORTS = itertools.cycle(_shuffled(_PART))


def free_port() -> int:
    """Return a port that nobody listens on now."""
    for port in _PORTS:
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind(('127.0.0.1', port))
            return port
    raise AssertionError('the ports never end')
