"""Keep idle connections to what the paths allow, and look for lost paths."""

import random

import trio

from gentianstair import errors
from gentianstair.core import upstream_connector
from gentianstair.peers import tunnel
from gentianstair.upstreams import transport as transports
from gentianstair.util import clock as clocks
from gentianstair.util import tasks

# How often idle tunnels, and upstreams that may be gone, are looked at.
SWEEP_S = 0.5
# Mean pause between two connects that look whether a path is back.
RECHECK_S = 0.5
# The same once one path is back, as the others may be, too.
HEALING_PAUSE_S = 0.05
CONNECT_TIMEOUT_S = 0.5


class PathKeeper:
    """Acts on what an upstream connector finds out."""

    def __init__(
        self,
        connector: upstream_connector.UpstreamConnector,
        transport: transports.Transport,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._connector = connector
        self._paths = connector.paths
        self._directory = connector.directory
        self._transport = transport
        self._clock = clock
        self._rng = rng

    async def run(self) -> None:
        """Run until cancelled."""
        async with trio.open_nursery() as nursery:
            running = tasks.Tasks(nursery)
            running.keep_running('sweep-idle', self._sweep_idle)
            running.keep_running('recheck-paths', self._recheck)

    async def _sweep_idle(self) -> None:
        """Close idle connections that no request should use."""
        while True:
            self._paths.forget_unknown(
                lambda address: self._directory.name_at(address) is not None
            )
            self._transport.close_idle_where(self._is_obsolete)
            with trio.move_on_after(SWEEP_S):
                await self._paths.wait_changed()

    def _is_obsolete(
        self, address: str, stream: trio.abc.Stream, kept_at_s: float
    ) -> bool:
        """Return whether an idle connection is not to be used.

        A direct one may be dead if it was not heard from since its path was
        found to be lost. A tunnel is left once the path is back, or when its
        peer stops or has lost its own paths.
        """
        paths = self._paths
        found = tunnel.tunnel_of(stream)
        if found is None:
            idle_s = trio.current_time() - kept_at_s
            lost_s = self._clock() - paths.distrusted_before_s(address)
            return idle_s >= lost_s
        return (
            found.is_stopping
            or found.has_news()
            or not self._directory.carries(found.peer)
            or not (paths.is_lost(address) or paths.is_cut())
        )

    async def _recheck(self) -> None:
        """Connect to upstreams whose path is lost, one at a time."""
        while True:
            lost = self._paths.lost()
            if not lost:
                await self._paths.wait_changed()
                continue
            address = self._rng.choice(lost)
            pause_s = RECHECK_S * self._rng.uniform(0.75, 1.25)
            if await self._is_back(address):
                pause_s = HEALING_PAUSE_S
            await trio.sleep(pause_s)

    async def _is_back(self, address: str) -> bool:
        try:
            stream = await self._connector.connect_directly(
                address, CONNECT_TIMEOUT_S
            )
        except errors.UnreachableError:
            # Looked for again after a pause.
            return False
        self._transport.add_idle(address, stream)
        return True


__all__ = ['PathKeeper']
