"""Find ports for programs that are told where to listen.

A port that the system hands out for a moment and takes back may be the near
end of somebody's connection by the time a program listens on it: on a busy
machine a program then ended with "cannot listen". So ports are drawn from
below the range that the system uses for such ends. None is given out again
before all others were: several are drawn before a program listens on any.
"""

import contextlib
import itertools
import random
import socket

# Below the usual range of ephemeral ports, above those with known services.
FIRST = 20000
LAST = 32000
_PORTS = itertools.cycle(
    random.SystemRandom().sample(range(FIRST, LAST), LAST - FIRST)
)


def free_port() -> int:
    """Return a port that nobody listens on now."""
    for port in _PORTS:
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind(('127.0.0.1', port))
            return port
    raise AssertionError('the ports never end')
