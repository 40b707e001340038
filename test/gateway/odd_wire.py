"""Answer some calls of a replica of the small site with other bytes."""

import contextlib

import trio

# Stands for the id of the request in an odd answer.
ID = b'{id}'
READ_BYTES = 65536


def with_id(answer, request):
    """Return an answer with the id that the bytes of a request bear."""
    found = b''
    for line in request.partition(b'\r\n\r\n')[0].split(b'\r\n'):
        name, _, value = line.partition(b':')
        if name.lower() == b'x-request-id':
            found = value.strip()
    return answer.replace(ID, found)


class OddWire:
    """Stands before a replica; the rest of its calls it passes on.

    ``odd`` has the bytes that answer a call, by the beginning of the first
    line of its request. The connection is closed after them unless
    ``keeps_open``. With ``adds`` the call is passed on too, so that its own
    answer follows the bytes; ``adds_from`` is the first call of a connection,
    from 0, to which that happens.
    """

    def __init__(
        self, replica, odd, keeps_open=False, adds=False, adds_from=0
    ):
        self.odd = odd
        self.keeps_open = keeps_open
        self._adds = adds
        self._adds_from = adds_from
        # How often each was sent.
        self.sent = dict.fromkeys(odd, 0)
        host, _, port = replica.address.partition(':')
        self._behind = (host, int(port))

    def _odd_key(self, data):
        return next((key for key in self.odd if data.startswith(key)), None)

    async def serve(self, stream):
        behind = await trio.open_tcp_stream(*self._behind)
        sending = trio.Lock()
        async with behind, trio.open_nursery() as nursery:
            nursery.start_soon(_copy, behind, stream, sending)
            with contextlib.suppress(trio.BrokenResourceError):
                await self._pass_on(stream, behind, sending)
            nursery.cancel_scope.cancel()

    async def _pass_on(self, stream, behind, sending):
        calls = 0
        while data := await stream.receive_some(READ_BYTES):
            key = self._odd_key(data)
            calls += key is not None
            if key is None or calls <= self._adds_from:
                await behind.send_all(data)
                continue
            self.sent[key] += 1
            async with sending:
                await stream.send_all(with_id(self.odd[key], data))
            if self._adds:
                await behind.send_all(data)
            elif not self.keeps_open:
                await stream.aclose()
                return


async def _copy(source, target, sending):
    with contextlib.suppress(
        trio.BrokenResourceError, trio.ClosedResourceError
    ):
        while data := await source.receive_some(READ_BYTES):
            async with sending:
                await target.send_all(data)


@contextlib.asynccontextmanager
async def before(site, replica, odd, **options):
    """Yield a wire that VMs reach in place of a replica."""
    wire = OddWire(replica, odd, **options)
    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listener.socket.getsockname()[1]
        replica.address = f'127.0.0.1:{port}'
        site.register(replica)
        nursery.start_soon(trio.serve_listeners, wire.serve, [listener])
        yield wire
        nursery.cancel_scope.cancel()
