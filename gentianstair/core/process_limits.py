"""Derive what callers and peers may take of a process from its grants."""

import typing

MEGABYTE = 1_000_000
# Descriptors that are left for files.
FILE_DESCRIPTORS = 200
MIN_SOCKETS = 64
# Shares of the descriptors for sockets. The rest is for connections to
# replicas, the store and peers.
CALLERS_SHARE = 0.4
PEERS_SHARE = 0.25
REQUESTS_SHARE = 0.25
OPERATORS_SHARE = 0.02
MIN_OPERATORS = 16
# Shares of the memory: for what is held of requests and answers, for open
# connections, and for what the kernel has received of callers and nobody has
# read.
HELD_SHARE = 0.15
CONNECTIONS_SHARE = 0.1
UNREAD_SHARE = 1 / 6
# What an open connection takes, without what is held of a request; over TLS
# also what has come and is not decrypted yet.
CONNECTION_BYTES = 16384
TLS_CONNECTION_BYTES = 262144
MIN_RECEIVE_BUFFER_BYTES = 16384


class ProcessLimits(typing.NamedTuple):
    """What others may take of a process."""

    # Connections of callers, of peers, and at each address for operators.
    caller_connections: int
    peer_connections: int
    operator_connections: int
    # Requests under way at replicas, each of which needs a connection.
    requests: int
    # Of requests and answers together.
    held_bytes: int
    # What the kernel may receive ahead on one connection of a caller.
    receive_buffer_bytes: int


def derive(
    memory_mb: float, max_fds: int, callers_use_tls: bool = False
) -> ProcessLimits:
    """Return the limits of a process that is granted so much.

    >>> derive(300, 4100).caller_connections, derive(300, 4100).held_bytes
    (1560, 45000000)
    >>> derive(300, 4100, callers_use_tls=True).caller_connections
    114
    """
    sockets = max(MIN_SOCKETS, max_fds - FILE_DESCRIPTORS)
    memory_bytes = memory_mb * MEGABYTE
    connection_bytes = (
        TLS_CONNECTION_BYTES if callers_use_tls else CONNECTION_BYTES
    )
    callers = int(
        min(
            sockets * CALLERS_SHARE,
            memory_bytes * CONNECTIONS_SHARE / connection_bytes,
        )
    )
    return ProcessLimits(
        caller_connections=callers,
        peer_connections=int(sockets * PEERS_SHARE),
        operator_connections=max(
            MIN_OPERATORS, int(sockets * OPERATORS_SHARE)
        ),
        requests=int(sockets * REQUESTS_SHARE),
        held_bytes=int(memory_bytes * HELD_SHARE),
        receive_buffer_bytes=max(
            MIN_RECEIVE_BUFFER_BYTES,
            int(memory_bytes * UNREAD_SHARE / callers),
        ),
    )


__all__ = ['ProcessLimits', 'derive']
