"""Bound the head of a request that has begun and is not all there."""

import collections.abc
import math
import typing

import h11
from hypercorn.protocol import h2 as h2_protocol
from hypercorn.protocol import h11 as h11_protocol

HTTP_TIMEOUT = 408
HTTP_HEADERS_TOO_LARGE = 431


class PartialHead:
    """The head that a caller is sending on one connection, if any.

    limits returns those in force: ``raw_bytes`` and ``timeout_s``.
    ``deadline_s`` is infinite while no head is under way.
    """

    def __init__(
        self, limits: collections.abc.Callable[[], typing.Any]
    ) -> None:
        self._limits = limits
        self.deadline_s = math.inf
        self.is_too_long = False
        self._watched: typing.Any = None
        # Bytes of an HTTP/2 connection that have not made a whole frame, or
        # a whole head of several.
        self._pending_bytes = 0

    def look(self, protocol: typing.Any, now_s: float) -> None:
        """Look at what a read has left unfinished."""
        if isinstance(protocol, h2_protocol.H2Protocol):
            self._watch(protocol)
        limits = self._limits()
        pending_bytes = self._bytes_of(protocol)
        largest = limits.raw_bytes
        kept_bytes = pending_bytes
        if self._watched is not None:
            # A head may be under way beside requests that are served.
            kept_bytes = self._pending_bytes
            largest = max(
                largest, 2 * protocol.config.h2_max_inbound_frame_size
            )
        self.is_too_long = kept_bytes > largest
        if not pending_bytes:
            self.deadline_s = math.inf
        elif math.isinf(self.deadline_s):
            self.deadline_s = now_s + limits.timeout_s

    def _bytes_of(self, protocol: typing.Any) -> int:
        if self._watched is not None:
            if not protocol.idle:
                return 0
            # What came with the first bytes was not watched.
            return max(self._pending_bytes, not protocol.keep_alive_requests)
        if isinstance(protocol, h11_protocol.H11Protocol) and (
            protocol.connection.their_state is h11.IDLE
        ):
            return len(protocol.connection.trailing_data[0])
        return 0

    def _watch(self, protocol: h2_protocol.H2Protocol) -> None:
        """Count what HTTP/2's parser keeps without an event for it."""
        connection = protocol.connection
        if self._watched is connection:
            return
        self._watched = connection
        receive = connection.receive_data

        def receive_data(data: bytes) -> list:
            found = receive(data)
            self._pending_bytes = (
                0 if found else (self._pending_bytes + len(data))
            )
            return found

        connection.receive_data = receive_data

    async def refuse(self, protocol: typing.Any, status: int) -> None:
        """Tell a caller why its head is given up."""
        if (
            isinstance(protocol, h11_protocol.H11Protocol)
            and protocol.connection.our_state is h11.IDLE
        ):
            await protocol._send_error_response(status)


__all__ = ['PartialHead']
