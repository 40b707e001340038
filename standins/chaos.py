"""Run the real code under seeded delays, losses, pauses and crashes."""

import random
import typing

import trio

from gentianstair import errors
from gentianstair import verdict
from gentianstair.generated import messages
from gentianstair.store import store as stores
from gentianstair.upstreams import orders_client
from gentianstair.util import leased_call
from standins import history
from standins import memory_store
from standins.platform import objects


def make_deterministic(seed: int) -> None:
    """Let a run of trio schedule its tasks the same way each time."""
    run = trio._core._run  # noqa: SLF001
    run._ALLOW_DETERMINISTIC_SCHEDULING = True
    run._r.seed(seed)


class Chances(typing.NamedTuple):
    """How often each failure comes, for each step, and how long it takes."""

    delay_s: float = 0.05
    refuse: float = 0.03
    lose_request: float = 0.03
    lose_answer: float = 0.05
    # The caller gave up, but the write takes effect later.
    late: float = 0.03
    late_s: float = 20.0
    past: float = 0.02
    pause: float = 0.01
    pause_s: float = 30.0


class KilledError(Exception):
    """Say that the kernel has ended a process."""


class World:
    """What all processes of one run share, and its history."""

    def __init__(self, seed: int, nursery: trio.Nursery) -> None:
        make_deterministic(seed)
        self.random = random.Random(seed)
        self.nursery = nursery
        self.table = objects.ObjectTable()
        self.events: list[history.Event] = []
        self.down = False
        self.tokens: set[str] = set()

    def add(self, source: str, type_: str, /, **data: typing.Any) -> None:
        """Record an event."""
        event = history.Event(trio.current_time(), source, type_, data)
        self.events.append(event)


class Process:
    """One process: its clock drifts, and it may be paused at any step."""

    def __init__(self, world: World, name: str, chances: Chances) -> None:
        self.world = world
        self.name = name
        self.chances = chances
        self._rate = 1 + world.random.uniform(-0.005, 0.005)
        self._offset_s = world.random.uniform(0, 1e6)
        self._paused_until_s = 0.0

    def clock(self) -> float:
        """Return this process's own time in seconds."""
        return trio.current_time() * self._rate + self._offset_s

    def chance(self, share: float) -> bool:
        """Return true for this share of calls."""
        return self.world.random.random() < share

    async def step(self) -> None:
        """Take a moment, and wait out a pause; a new one may begin."""
        if self.chance(self.chances.pause):
            length_s = self.world.random.uniform(0, self.chances.pause_s)
            self._paused_until_s = trio.current_time() + length_s
        limit_s = self.chances.delay_s
        # A stopped process runs no timers, so nothing cancels it; when it
        # goes on, it may take its next step before it sees one expired.
        with trio.CancelScope(shield=True):
            await trio.sleep(self.world.random.uniform(0, limit_s))
            while trio.current_time() < self._paused_until_s:
                await trio.sleep_until(self._paused_until_s)


class ChaosStore(memory_store.MemoryStore):
    """A process's client of the store."""

    def __init__(self, process: Process) -> None:
        super().__init__(process.world.table)
        self._process = process
        # Kinds that this client can't write, as if their writes got lost.
        self.cut_kinds: set[str] = set()

    async def _enter(self, purpose: str) -> None:
        self.calls[purpose] += 1
        await self._process.step()
        refused = self._process.chance(self._process.chances.refuse)
        if refused or self._process.world.down:
            raise errors.StoreUnavailableError('refused')

    async def get(
        self, kind: str, name: str, *, purpose: str
    ) -> stores.StoredObject:
        """See Store.get; now and then answer from the past."""
        await self._enter(purpose)
        found = self.table.get(kind, name)
        if self._process.chance(self._process.chances.past):
            found = self.table.get_past(kind, name, 2)
        await self._process.step()
        return found

    async def list(
        self, kind: str, *, purpose: str, prefix: str = ''
    ) -> stores.Listing:
        """See Store.list."""
        await self._enter(purpose)
        found = self.table.list(kind, prefix)
        await self._process.step()
        return found

    async def put(
        self,
        kind: str,
        name: str,
        value: stores.Value,
        expect_version: int,
        *,
        purpose: str,
    ) -> int:
        """See Store.put."""
        await self._enter(purpose)
        if kind in self.cut_kinds:
            raise errors.StoreOutcomeUnknownError('the request was lost')
        chances = self._process.chances
        if self._process.chance(chances.lose_request):
            raise errors.StoreOutcomeUnknownError('the request was lost')
        if self._process.chance(chances.late):
            self._process.world.nursery.start_soon(
                self._put_late, kind, name, value, expect_version
            )
            raise errors.StoreOutcomeUnknownError('the request is late')
        version = self._write(kind, name, value, expect_version)
        await self._process.step()
        if self._process.chance(chances.lose_answer):
            raise errors.StoreOutcomeUnknownError('the answer was lost')
        return version

    async def _put_late(
        self, kind: str, name: str, value: stores.Value, expect_version: int
    ) -> None:
        limit_s = self._process.chances.late_s
        await trio.sleep(self._process.world.random.uniform(0, limit_s))
        try:
            self._write(kind, name, value, expect_version)
        except errors.StoreConflictError:
            return

    def _write(
        self, kind: str, name: str, value: stores.Value, expect_version: int
    ) -> int:
        version = self.table.write(kind, name, value, expect_version)
        self._process.world.add(
            'platform',
            'put',
            kind=kind,
            name=name,
            version=version,
            value=value,
        )
        return version


NO_ORDER: messages.LastOrder = {
    'epoch': 0,
    'order_number': 0,
    'holder': '',
    'type': '',
    'argument': '',
    'state': 'none',
}


class Engine:
    """An engine that takes orders."""

    def __init__(self, world: World, name: str, checks: bool) -> None:
        self.world = world
        self.name = name
        self.checks = checks
        self.last = NO_ORDER
        self._highest_epoch = 0
        self._frozen_until_s = 0.0

    async def run_freezes(self, longest_s: float) -> None:
        """Stop the engine now and then, with what it has not read yet."""
        while True:
            await trio.sleep(self.world.random.uniform(0, 100.0))
            length_s = self.world.random.uniform(0, longest_s)
            self._frozen_until_s = trio.current_time() + length_s

    async def run_crashes(self) -> None:
        """Restart now and then; what it knew of orders is gone."""
        while True:
            await trio.sleep(self.world.random.uniform(0, 200.0))
            self.last = NO_ORDER
            self._highest_epoch = 0

    async def wake(self) -> None:
        """Wait until the engine runs."""
        while trio.current_time() < self._frozen_until_s:
            await trio.sleep_until(self._frozen_until_s)

    def take(self, order: orders_client.Order) -> orders_client.Outcome:
        """Take one order as it arrives."""
        stale = self.checks and order.epoch < self._highest_epoch
        data = {**order._asdict(), 'applied': not stale}
        self.world.add(self.name, 'order', **data)
        if stale:
            return orders_client.Outcome.STALE_EPOCH
        self._highest_epoch = max(self._highest_epoch, order.epoch)
        self.last = {**order._asdict(), 'state': 'done'}
        return orders_client.Outcome.DONE


class ChaosOrders:
    """A process's client of engines, with the steps of the real one.

    Connect; check; hand the bytes to the kernel, before which the process
    may be paused; deliver them within the lifetime or not at all.
    """

    def __init__(
        self,
        process: Process,
        engines: dict[str, Engine],
        lifetime_s: float,
        timeout_s: float,
    ) -> None:
        self._process = process
        self._engines = engines
        self._lifetime_s = lifetime_s
        self._timeout_s = timeout_s
        self.chances = process.chances
        # Whether the kernel ends a process that was stopped for too long
        # between its check and its send.
        self.deadman = True

    async def send(
        self,
        url: str,
        order: orders_client.Order,
        check: leased_call.LeaseCheck,
    ) -> orders_client.Outcome:
        """See OrdersClient.send."""
        engine = self._engines[url]
        await self._process.step()
        left_s = check()
        checked_s = trio.current_time()
        await self._process.step()
        if self.deadman and trio.current_time() - checked_s > left_s:
            raise KilledError(self._process.name)
        arrived = trio.Event()
        outcomes: list[orders_client.Outcome] = []
        self._process.world.nursery.start_soon(
            self._deliver, engine, order, arrived, outcomes
        )
        with trio.move_on_after(self._timeout_s):
            await arrived.wait()
            await self._process.step()
            if not self._process.chance(self._process.chances.lose_answer):
                return outcomes[0]
        raise errors.UpstreamError('no answer', verdict.Verdict.MAY_HAVE_RUN)

    async def _deliver(
        self,
        engine: Engine,
        order: orders_client.Order,
        arrived: trio.Event,
        outcomes: list[orders_client.Outcome],
    ) -> None:
        chances = self.chances
        if self._process.chance(chances.lose_request):
            return
        delay_s = chances.delay_s
        if self._process.chance(chances.late):
            delay_s = self._lifetime_s / 2
        random_delay_s = self._process.world.random.uniform(0, delay_s)
        await trio.sleep(random_delay_s)
        # What waits in the kernel of a stopped engine is read when it goes
        # on, in any order with requests that come then.
        await engine.wake()
        await trio.sleep(random_delay_s)
        outcomes.append(engine.take(order))
        arrived.set()

    async def fetch_last(self, url: str) -> messages.LastOrder:
        """See OrdersClient.fetch_last."""
        await self._process.step()
        await self._engines[url].wake()
        found = self._engines[url].last
        await self._process.step()
        if self._process.chance(self._process.chances.refuse):
            raise errors.UpstreamError('no answer', verdict.Verdict.NOT_RUN)
        return found


class ChaosPlatform:
    """A process's sender of upstream orders, with the same steps."""

    def __init__(self, process: Process, lifetime_s: float) -> None:
        self._process = process
        self._lifetime_s = lifetime_s

    async def send(
        self, body: dict[str, typing.Any], check: leased_call.LeaseCheck
    ) -> None:
        """See Sender.send."""
        await self._process.step()
        left_s = check()
        checked_s = trio.current_time()
        await self._process.step()
        if trio.current_time() - checked_s > left_s:
            raise KilledError(self._process.name)
        arrived = trio.Event()
        if not self._process.chance(self._process.chances.lose_request):
            self._process.world.nursery.start_soon(
                self._deliver, body, arrived
            )
        with trio.move_on_after(1.0):
            await arrived.wait()
            await self._process.step()
            if not self._process.chance(self._process.chances.lose_answer):
                return
        raise errors.UpstreamError('no answer', verdict.Verdict.MAY_HAVE_RUN)

    async def _deliver(
        self, body: dict[str, typing.Any], arrived: trio.Event
    ) -> None:
        world = self._process.world
        limit_s = self._process.chances.delay_s
        if self._process.chance(self._process.chances.late):
            limit_s = self._lifetime_s
        await trio.sleep(world.random.uniform(0, limit_s))
        repeat = body['token'] in world.tokens
        world.tokens.add(body['token'])
        world.add('platform', 'upstream-order', repeat=repeat, **body)
        arrived.set()
