"""Note when requests reached a link, and when limits passed it.

A process that is short of processor time reads what waits in its sockets
seconds after it came, when its sender may have given up long ago, and writes
answers as much later than it made them.
"""

import re
import socket
import struct

import trio

# Where the kernel's tcp_info has the time since data last came, in ms.
LAST_DATA = struct.Struct('@I')
LAST_DATA_OFFSET = 52
# A connection's state there, while neither end has closed it.
STATE_OFFSET = 0
ESTABLISHED = 1
REQUEST_ID = re.compile(rb'^x-request-id: *([^\r\n]+)\r\n', re.I | re.M)
LIMIT = re.compile(rb'^server-limit: *([^\r\n]+)\r\n', re.I | re.M)


def unread_s(stream: trio.SocketStream) -> float:
    """Return how long ago data last came to a connection."""
    info = _tcp_info(stream)
    (last_data_ms,) = LAST_DATA.unpack_from(info, LAST_DATA_OFFSET)
    return last_data_ms / 1000


def is_open(stream: trio.SocketStream) -> bool:
    """Return whether the other end has not closed a connection yet.

    Its end is known from the kernel long before a late process reads it.
    """
    return _tcp_info(stream)[STATE_OFFSET] == ESTABLISHED


def _tcp_info(stream: trio.SocketStream) -> bytes:
    return stream.socket.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_OFFSET + LAST_DATA.size
    )


class LinkRecord:
    """What passed a link, by the bytes of its connections."""

    def __init__(self) -> None:
        self._received_s: dict[str, float] = {}
        self._limits_named_s: dict[str, float] = {}

    def note_requests(self, data: bytes, stream: trio.SocketStream) -> None:
        """Note the requests in data, which was read from stream just now."""
        received_s = trio.current_time() - unread_s(stream)
        for request_id in REQUEST_ID.findall(data):
            self._received_s[request_id.decode()] = received_s

    def note_answers(self, data: bytes, stream: trio.SocketStream) -> None:
        """Note the limits in data, which was sent to a VM just now.

        A VM that has given up does not read them any more.
        """
        if not is_open(stream):
            return
        for limit in LIMIT.findall(data):
            self._limits_named_s.setdefault(
                limit.decode(), trio.current_time()
            )

    def received_s(self, request_id: str) -> float:
        """Return when a request came last; now, if that was not noted."""
        return self._received_s.get(request_id, trio.current_time())

    def limit_named_s(self, limit: str) -> float | None:
        """Return when an answer first passed that names a limit, if any."""
        return self._limits_named_s.get(limit)

    def forget_limits(self) -> None:
        """Forget which limits were named."""
        self._limits_named_s.clear()
