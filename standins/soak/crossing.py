"""Send requests that cross the gateway's closing of idle connections.

By hand: python -m standins.soak.crossing --close stop --seeds 10 --first 1.
"""

import argparse
import collections
import enum
import pathlib
import random
import signal
import sys
import tempfile
import typing

import loguru
import trio

from gentianstair.gateway import main as gateways
from standins.site import processes
from standins.site import site as sites
from standins.soak import callers
from standins.soak import kept

CONNECTIONS = 60
KEY = 'club-key-1'
KINDS = ('lookup', 'register')
# The first requests are spread, as all at once would be refused.
FIRST_SPREAD_S = 1.0
# Pause before another connection is opened where one has had no answer.
RECONNECT_S = (0.5, 1.5)
# How often it is looked whether all have been answered.
LOOK_S = 0.01
# One in so many comes well before the close, and is answered also where the
# machine is so busy that all others come late.
EARLY_EACH = 6
EARLY_S = (-0.5, -0.02)


class Close(enum.Enum):
    """Why the gateway closes an idle connection."""

    STOP = 'stop'
    KEEP_ALIVE = 'keep-alive'


class End(enum.Enum):
    """What became of a request."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    # Closed with no byte of an answer, untouched or handed to a replica.
    UNREAD = 'unread'
    LOST = 'lost'
    # Given up, or cut inside its answer.
    OTHER = 'other'


Ends = collections.Counter[End]


def end_of(sent: callers.Sent, is_taken: bool) -> End:
    """Return what became of a request; replicas took it or did not."""
    if sent.hung_up:
        return End.LOST if is_taken else End.UNREAD
    if sent.whole:
        return End.ANSWERED if sent.status == 200 else End.REFUSED
    return End.OTHER


class Crossing:
    """Kept connections to one gateway, each with one request to cross."""

    def __init__(
        self, seed: int, site: sites.Site, gateway: processes.Gateway
    ) -> None:
        self.sent: list[callers.Sent] = []
        self._seed = seed
        self._site = site
        self._gateway = gateway
        self._answered = 0
        # Set when each connection has had an answer.
        self._all_answered = trio.Event()
        self._stopped_s: float | None = None

    async def run(self, close: Close, connections: int) -> None:
        """Have an answer on each connection, then cross its close."""
        async with trio.open_nursery() as nursery:
            for number in range(connections):
                nursery.start_soon(self._cross, number, close)
            if close is Close.KEEP_ALIVE:
                return
            early = len(range(0, connections, EARLY_EACH))
            for wanted in (connections, connections + early):
                while self._answered < wanted:
                    await trio.sleep(LOOK_S)
                self._all_answered.set()
            self._stopped_s = trio.current_time()
            self._gateway.signal(signal.SIGTERM)

    async def _cross(self, number: int, close: Close) -> None:
        chance = random.Random(f'{self._seed}/{number}')
        connection = await self._connect()
        await trio.sleep(chance.uniform(0, FIRST_SPREAD_S))
        connection = await self._be_answered(connection, number, chance)
        is_early = number % EARLY_EACH == 0
        if is_early and close is Close.STOP:
            # Where first answers take long it would be closed as idle by now.
            await self._all_answered.wait()
            connection = await self._be_answered(connection, number, chance)
        closes_s = connection.last_s + self._gateway.keep_alive_s
        while close is Close.STOP and self._stopped_s is None:
            await trio.sleep(LOOK_S)
        if self._stopped_s is not None:
            closes_s = self._stopped_s + gateways.BALANCER_DRAIN_S
        around_s = EARLY_S if is_early else kept.AROUND_CLOSE_S
        await trio.sleep_until(closes_s + chance.uniform(*around_s))
        request_id = f'c{self._seed:03x}{number:04x}'
        kind = chance.choice(KINDS)
        found = await connection.ask(kind, request_id, KEY, chance)
        self.sent.append(found)
        await connection.aclose()

    async def _connect(self) -> kept.Connection:
        connection = await kept.connect(self._gateway)
        assert connection is not None
        return connection

    async def _be_answered(
        self,
        connection: kept.Connection,
        number: int,
        chance: random.Random,
    ) -> kept.Connection:
        """Ask until there is a whole answer; return the connection it had.

        One that was closed, or had no whole answer within the caller's limit,
        can carry no more requests, and is replaced after a pause.
        """
        request_id = f'f{self._seed:03x}{number:04x}'
        await connection.ask('lookup', request_id, KEY, chance)
        while not connection.is_reusable:
            await connection.aclose()
            await trio.sleep(chance.uniform(*RECONNECT_S))
            connection = await self._connect()
            await connection.ask('lookup', request_id, KEY, chance)
        self._answered += 1
        return connection

    def ends(self) -> Ends:
        """Count what became of the requests."""
        taken = set[str]().union(
            *(replica.taken() for replica in self._site.replicas)
        )
        return Ends(
            end_of(sent, sent.request_id in taken) for sent in self.sent
        )


async def play(
    seed: int, close: Close, connections: int, folder: pathlib.Path
) -> Ends:
    """Play one round with a process of its own."""
    gateway = processes.Gateway(folder, seed % 1000, kept.KEEP_ALIVE_S)
    async with sites.running() as site:
        gateway.start(
            site.store_port, site.cloud_port, gateway.ports['control']
        )
        try:
            await gateway.ready()
            crossing = Crossing(seed, site, gateway)
            await crossing.run(close, connections)
        finally:
            gateway.signal(signal.SIGKILL)
            await gateway.wait()
    return crossing.ends()


def _told(ends: Ends) -> str:
    return ', '.join(f'{ends[end]} {end.value}' for end in End)


def main(arguments: typing.Sequence[str] | None = None) -> int:
    """Play the rounds asked for; return 1 if a request was lost."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--close', type=Close, default=Close.STOP)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--connections', type=int, default=CONNECTIONS)
    found = parser.parse_args(arguments)
    loguru.logger.remove()
    total = Ends()
    for seed in range(found.first, found.first + found.seeds):
        with tempfile.TemporaryDirectory() as temporary:
            ends = trio.run(
                play,
                seed,
                found.close,
                found.connections,
                pathlib.Path(temporary),
            )
        total += ends
        print(f'seed {seed}: {_told(ends)}', flush=True)
    print(f'in all: {_told(total)}')
    return 1 if total[End.LOST] else 0


if __name__ == '__main__':
    sys.exit(main())
