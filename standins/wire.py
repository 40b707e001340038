"""Carry TCP connections to another process, and cut them when told to.

``python -m standins.wire --to HOST:PORT``. SIGUSR1 cuts both ways: what is
sent is held and no new connection is answered, as behind a dead switch.
SIGUSR2 cuts only the way back. SIGHUP heals: what was held arrives late.
"""

import argparse
import contextlib
import signal

import trio

from gentianstair.util import addresses
from standins import serving

READ_BYTES = 65536
SIGNALS = (signal.SIGUSR1, signal.SIGUSR2, signal.SIGHUP)


class Wire:
    """The state of the way there and the way back."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._there = _open_event()
        self._back = _open_event()

    def cut(self, back_only: bool) -> None:
        """Hold what is sent from now on."""
        self._back = trio.Event()
        if not back_only:
            self._there = trio.Event()

    def heal(self) -> None:
        """Let everything through, also what was held."""
        self._there.set()
        self._back.set()

    async def carry(self, caller: trio.SocketStream) -> None:
        """Carry one connection until either side ends it."""
        await self._there.wait()
        try:
            other = await trio.open_tcp_stream(*self._address)
        except OSError:
            await trio.aclose_forcefully(caller)
            return
        async with caller, other, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, caller, other, False)
            nursery.start_soon(self._copy, other, caller, True)

    async def _copy(
        self, source: trio.SocketStream, sink: trio.SocketStream, back: bool
    ) -> None:
        broken = (trio.BrokenResourceError, trio.ClosedResourceError)
        with contextlib.suppress(*broken):
            while data := await source.receive_some(READ_BYTES):
                await (self._back if back else self._there).wait()
                await sink.send_all(data)
            await (self._back if back else self._there).wait()
            await sink.send_eof()
            return
        await trio.aclose_forcefully(sink)

    async def obey(self) -> None:
        """Cut and heal as signals ask."""
        with trio.open_signal_receiver(*SIGNALS) as numbers:
            async for number in numbers:
                if number == signal.SIGHUP:
                    self.heal()
                else:
                    self.cut(number == signal.SIGUSR2)


def _open_event() -> trio.Event:
    event = trio.Event()
    event.set()
    return event


async def _run(listen: str, to: str) -> None:
    sock = serving.listen(listen)
    host, port = sock.getsockname()[:2]
    wire = Wire(addresses.parse(to))
    listener = trio.SocketListener(trio.socket.from_stdlib_socket(sock))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(wire.obey)
        print(f'listening {host}:{port}', flush=True)
        await trio.serve_listeners(wire.carry, [listener])


def main() -> None:
    """Carry until ended."""
    parser = argparse.ArgumentParser(prog='wire')
    parser.add_argument('--listen', default='127.0.0.1:0')
    parser.add_argument('--to', required=True)
    args = parser.parse_args()
    trio.run(_run, args.listen, args.to)


if __name__ == '__main__':
    main()
