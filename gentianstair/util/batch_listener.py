"""Accept the connections that wait at a socket several at a time."""

import collections
import socket

import trio

# Most connections accepted in one turn of the event loop.
MAX_BATCH = 16


class BatchListener(trio.abc.Listener[trio.SocketStream]):
    """A listener that takes the connections that wait for it together.

    Trio's own listener takes one in each turn of the event loop, so that a
    process whose turns are long serves callers who have long given up while
    those that came later wait in the kernel's queue.
    """

    def __init__(
        self, sock: socket.socket, max_open: int | None = None
    ) -> None:
        self._sock = sock
        # New connections beyond so many open ones are closed at once.
        self._max_open = max_open
        self._open: list[trio.SocketStream] = []
        self._listener = trio.SocketListener(
            trio.socket.from_stdlib_socket(sock)
        )
        self._accepted: collections.deque[trio.SocketStream] = (
            collections.deque()
        )

    @property
    def socket(self) -> trio.socket.SocketType:
        """Return the listening socket."""
        return self._listener.socket

    async def accept(self) -> trio.SocketStream:
        """Return the next connection; raise OSError as Trio's listener does.

        While there are accepted ones it doesn't yield, so that none of them
        is left behind by a cancellation.
        """
        while True:
            if not self._accepted:
                self._accepted.append(await self._listener.accept())
                self._accept_waiting()
            stream = self._accepted.popleft()
            if self._admit(stream):
                return stream
            stream.socket.close()

    def _admit(self, stream: trio.SocketStream) -> bool:
        """Return whether a connection is not one too many."""
        if self._max_open is None:
            return True
        if len(self._open) >= self._max_open:
            self._open = [
                one for one in self._open if one.socket.fileno() >= 0
            ]
        if len(self._open) >= self._max_open:
            return False
        self._open.append(stream)
        return True

    def _accept_waiting(self) -> None:
        """Accept what waits; leave an error to the next call of accept."""
        while len(self._accepted) < MAX_BATCH:
            try:
                sock, _ = self._sock.accept()
            except OSError:
                return
            self._accepted.append(
                trio.SocketStream(trio.socket.from_stdlib_socket(sock))
            )

    async def aclose(self) -> None:
        """Close the listening socket and what no task has taken."""
        for stream in self._accepted:
            await trio.aclose_forcefully(stream)
        await self._listener.aclose()
