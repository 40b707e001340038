"""Give each VM paths of its own to the replicas, and cut them."""

import contextlib
import enum
import socket

import trio

from gentianstair.util import batch_listener
from gentianstair.util import serving
from standins import ports
from standins.site import site as sites
from standins.soak import proxy

# Connections that fill a queue of length 0, so that the kernel drops the
# opening packets of others.
FILLERS = 4


class Cut(enum.Enum):
    """How a path is cut."""

    # Open connections go silent, new ones get no answer.
    HANG = 'hang'
    # Open connections are reset, new ones refused.
    RESET = 'reset'
    # Open connections live on, new ones are refused.
    REFUSE = 'refuse'


_MODES_OF_OPEN = {
    Cut.HANG: proxy.Mode.SILENT,
    Cut.RESET: proxy.Mode.RESET,
    Cut.REFUSE: proxy.Mode.PASS,
}


class Path(proxy.Proxy):
    """The path of one VM to one replica."""

    def __init__(self, target_port: int) -> None:
        super().__init__(target_port)
        self._cut: Cut | None = None
        self._accepting = trio.CancelScope()

    def cut(self, how: Cut) -> None:
        """Cut the path until it is healed."""
        self._cut = how
        self.set(_MODES_OF_OPEN[how])
        self._accepting.cancel()

    def heal(self) -> None:
        """Let bytes and new connections pass again."""
        self._cut = None
        self.set(proxy.Mode.PASS)

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        # The kernel keeps a port for a socket only if that asked for it.
        self.port = ports.free_port()
        sock = serving.listen(f'127.0.0.1:{self.port}', send_buffer_bytes=None)
        task_status.started()
        async with trio.open_nursery() as nursery:
            while True:
                if self._cut is Cut.HANG:
                    with _full_queue(sock):
                        await self._wait_healed()
                elif self._cut is not None:
                    # Refuses, and keeps its port from others.
                    sock.shutdown(socket.SHUT_RDWR)
                    await self._wait_healed()
                    sock.listen(serving.BACKLOG)
                else:
                    await self._accept(sock, nursery)

    async def _wait_healed(self) -> None:
        while self._cut is not None:
            await self._changed.wait()

    async def _accept(
        self, sock: socket.socket, nursery: trio.Nursery
    ) -> None:
        """Accept connections until the path is cut."""
        listener = batch_listener.BatchListener(sock)
        with trio.CancelScope() as self._accepting:
            while self._cut is None:
                nursery.start_soon(self._serve, await listener.accept())


@contextlib.contextmanager
def _full_queue(sock: socket.socket):
    """Fill the queue of a listening socket; empty it at the end."""
    sock.listen(0)
    fillers = []
    try:
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(sock.getsockname())
            fillers.append(filler)
        yield
    finally:
        for filler in fillers:
            filler.close()
        sock.listen(serving.BACKLOG)


class Paths:
    """The paths of some VMs to all replicas of a site."""

    def __init__(self, site: sites.Site) -> None:
        self._site = site
        self._paths: dict[str, list[Path]] = {}

    async def add(self, vm: str, nursery: trio.Nursery) -> None:
        """Lay paths for a VM; the store tells it their addresses."""
        found = []
        addresses = {}
        for replica in self._site.replicas:
            path = Path(int(replica.address.rpartition(':')[2]))
            await nursery.start(path.run)
            found.append(path)
            address = f'127.0.0.1:{path.port}'
            replica.aliases.add(address)
            addresses[replica.name] = address
        self._paths[vm] = found
        self._site.faults.addresses[vm] = addresses

    def cut(self, vm: str, how: Cut) -> None:
        """Cut a VM from all replicas."""
        for path in self._paths[vm]:
            path.cut(how)

    def heal(self, vm: str) -> None:
        """Heal the paths of a VM."""
        for path in self._paths[vm]:
            path.heal()


__all__ = ['Cut', 'Path', 'Paths']
