"""Read a little at a time of connections whose bytes are decrypted here.

What TLS reads ahead stays in its own buffer until somebody wants it, and the
kernel does not slow its caller down.
"""

import trio

# What is read where the reader names no size; a whole record of TLS fits.
READ_BYTES = 16640


class ShortReadStream(trio.abc.HalfCloseableStream):
    """A connection that is read in small parts."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream

    @property
    def socket(self) -> trio.socket.SocketType:
        """Return the socket of the connection."""
        return self._stream.socket

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """See trio.abc.ReceiveStream."""
        return await self._stream.receive_some(max_bytes or READ_BYTES)

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """See trio.abc.SendStream."""
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """See trio.abc.SendStream."""
        await self._stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """See trio.abc.HalfCloseableStream."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """See trio.abc.AsyncResource."""
        await self._stream.aclose()


class ShortReadListener(trio.abc.Listener[ShortReadStream]):
    """A listener whose connections are read in small parts."""

    def __init__(self, listener: trio.abc.Listener[trio.SocketStream]) -> None:
        self._listener = listener

    async def accept(self) -> ShortReadStream:
        """Return the next connection; raise OSError as its listener does."""
        return ShortReadStream(await self._listener.accept())

    async def aclose(self) -> None:
        """See trio.abc.AsyncResource."""
        await self._listener.aclose()
