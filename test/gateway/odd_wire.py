"""Answer some calls of a replica of the small site with other bytes."""

import contextlib

import trio

READ_BYTES = 65536


class OddWire:
    """Stands before a replica; the rest of its calls it passes on.

    ``odd`` has the bytes that answer a call, by the beginning of the first
    line of its request. The connection is closed after them unless
    ``keeps_open``.
    """

    def __init__(self, replica, odd, keeps_open=False):
        self.odd = odd
        self.keeps_open = keeps_open
        # How often each was sent.
        self.sent = dict.fromkeys(odd, 0)
        host, _, port = replica.address.partition(':')
        self._behind = (host, int(port))

    def _odd_key(self, data):
        return next((key for key in self.odd if data.startswith(key)), None)

    async def serve(self, stream):
        behind = await trio.open_tcp_stream(*self._behind)
        async with behind, trio.open_nursery() as nursery:
            nursery.start_soon(_copy, behind, stream)
            with contextlib.suppress(trio.BrokenResourceError):
                await self._pass_on(stream, behind)
            nursery.cancel_scope.cancel()

    async def _pass_on(self, stream, behind):
        while data := await stream.receive_some(READ_BYTES):
            key = self._odd_key(data)
            if key is None:
                await behind.send_all(data)
                continue
            self.sent[key] += 1
            await stream.send_all(self.odd[key])
            if not self.keeps_open:
                await stream.aclose()
                return


async def _copy(source, target):
    with contextlib.suppress(
        trio.BrokenResourceError, trio.ClosedResourceError
    ):
        while data := await source.receive_some(READ_BYTES):
            await target.send_all(data)


@contextlib.asynccontextmanager
async def before(site, replica, odd, keeps_open=False):
    """Yield a wire that VMs reach in place of a replica."""
    wire = OddWire(replica, odd, keeps_open)
    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listener.socket.getsockname()[1]
        replica.address = f'127.0.0.1:{port}'
        site.register(replica)
        nursery.start_soon(trio.serve_listeners, wire.serve, [listener])
        yield wire
        nursery.cancel_scope.cancel()
