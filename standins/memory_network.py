"""Offer links between nodes in one process, with cuts, for tests."""

import contextlib
import math
import typing

import trio

from gentianstair.peers import link

# What a sender's end leaves in the queue when it closes.
_END = b''


class Hub:
    """Connects the networks of all nodes of a test.

    ``cuts`` holds pairs (from, to) of addresses between which bytes wait,
    as TCP keeps and resends them, until the pair is healed. Latency is the
    same for every message.
    """

    def __init__(self, latency_s: float = 0.001) -> None:
        self.latency_s = latency_s
        self.cuts: set[tuple[str, str]] = set()
        self.handlers: dict[str, tuple[trio.Nursery, link.ChannelHandler]] = {}
        self.healed = trio.Event()
        self.bytes_sent = 0

    def cut(self, source: str, target: str, one_way: bool = False) -> None:
        """Cut what source sends to target, and back unless one_way."""
        self.cuts.add((source, target))
        if not one_way:
            self.cuts.add((target, source))

    def split(
        self, one: typing.Iterable[str], other: typing.Iterable[str]
    ) -> None:
        """Cut all of one side from all of the other."""
        others = list(other)
        for source in one:
            for target in others:
                self.cut(source, target)

    def heal(self) -> None:
        """Undo all cuts; what waited is delivered."""
        self.cuts.clear()
        self.healed.set()
        self.healed = trio.Event()

    async def wait_path(self, source: str, target: str) -> None:
        """Return once bytes from source reach target."""
        while (source, target) in self.cuts:
            await self.healed.wait()


class MemoryChannel(link.Channel):
    """One end of a link."""

    def __init__(
        self,
        hub: Hub,
        source: str,
        target: str,
        send: trio.MemorySendChannel[tuple[float, bytes]],
        receive: trio.MemoryReceiveChannel[tuple[float, bytes]],
    ) -> None:
        self._hub = hub
        self._source = source
        self._target = target
        self._send = send
        self._receive = receive
        self._closed = False

    async def send(self, data: bytes) -> None:
        """See Channel.send."""
        await trio.lowlevel.checkpoint()
        if self._closed:
            raise link.LinkClosedError('closed here')
        self._hub.bytes_sent += len(data)
        self._put(data)

    def _put(self, data: bytes) -> None:
        due_s = trio.current_time() + self._hub.latency_s
        with contextlib.suppress(trio.BrokenResourceError):
            self._send.send_nowait((due_s, data))

    async def receive(self) -> bytes:
        """See Channel.receive."""
        try:
            due_s, data = await self._receive.receive()
        except trio.EndOfChannel:
            raise link.LinkClosedError('closed there') from None
        await trio.sleep_until(due_s)
        await self._hub.wait_path(self._target, self._source)
        if data == _END:
            raise link.LinkClosedError('closed there')
        return data

    async def aclose(self) -> None:
        """See Channel.aclose."""
        if not self._closed:
            self._closed = True
            self._put(_END)


class MemoryNetwork(link.Network):
    """One node's network; its address is what peers dial."""

    def __init__(self, hub: Hub, address: str) -> None:
        self._hub = hub
        self._address = address

    @contextlib.asynccontextmanager
    async def open(self, address: str) -> typing.AsyncIterator[link.Channel]:
        """See Network.open."""
        await self._handshake(address)
        entry = self._hub.handlers.get(address)
        if entry is None:
            raise link.LinkClosedError(f'{address}: refused')
        nursery, handler = entry
        out_send, out_receive = trio.open_memory_channel(math.inf)
        in_send, in_receive = trio.open_memory_channel(math.inf)
        near = MemoryChannel(
            self._hub, self._address, address, out_send, in_receive
        )
        far = MemoryChannel(
            self._hub, address, self._address, in_send, out_receive
        )
        nursery.start_soon(_handle, handler, far)
        try:
            yield near
        finally:
            await _close(near)

    async def _handshake(self, address: str) -> None:
        """Pass both ways within the time that a connect may take."""
        with trio.move_on_after(link.OPEN_TIMEOUT_S):
            await self._hub.wait_path(self._address, address)
            await self._hub.wait_path(address, self._address)
            await trio.sleep(2 * self._hub.latency_s)
            return
        raise link.LinkClosedError(f'{address}: timed out')

    async def serve(
        self,
        handler: link.ChannelHandler,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """See Network.serve."""
        async with trio.open_nursery() as nursery:
            self._hub.handlers[self._address] = (nursery, handler)
            task_status.started(self._address)
            try:
                await trio.sleep_forever()
            finally:
                del self._hub.handlers[self._address]


async def _close(channel: MemoryChannel) -> None:
    with trio.CancelScope(shield=True):
        await channel.aclose()


async def _handle(
    handler: link.ChannelHandler, channel: MemoryChannel
) -> None:
    try:
        await handler(channel)
    finally:
        await _close(channel)
