"""Test leases and orders under seeded random failures."""

import pytest
import trio

from gentianstair import errors
from gentianstair.control import engine_orders
from gentianstair.control import lease
from gentianstair.control import upstream_orders
from standins import chaos
from standins import checkers

TIMING = lease.LeaseTiming(12.0, 1.0)
ORDER_LIFETIME_S = 6.0
CALL_TIMEOUT_S = 1.0
SCOPES = ('north', 'south')
RUN_S = 900.0
CHANCES = chaos.Chances()


class ControlProcess:
    """A control process that sends orders while it has authority."""

    def __init__(self, world, name, engines, chances):
        self.world = world
        self.process = chaos.Process(world, name, chances)
        self.store = chaos.ChaosStore(self.process)
        self.engines = engines
        self.client = chaos.ChaosOrders(
            self.process, engines, ORDER_LIFETIME_S, CALL_TIMEOUT_S
        )
        self.orders = engine_orders.make_engine_orders(
            self.store,
            self.client,
            self.process.clock,
            ORDER_LIFETIME_S,
        )
        self.upstream_orders = upstream_orders.make_upstream_orders(
            self.store,
            chaos.ChaosPlatform(self.process, ORDER_LIFETIME_S),
            ORDER_LIFETIME_S,
        )
        self.lease_manager = lease.make_lease_manager(
            self.store, name, self.process.clock, TIMING
        )

    async def use_authority(self, authority):
        while True:
            await trio.sleep(self.world.random.uniform(0, 3.0))
            self.record_act(authority)
            await self.order_engine(authority)
            if self.process.chance(0.3):
                await self.order_upstream(authority)

    def record_act(self, authority):
        try:
            authority.check()
        except errors.LeaseLostError:
            return
        self.world.add(
            self.process.name,
            'act',
            scope=authority.scope,
            epoch=authority.epoch,
        )

    async def order_engine(self, authority):
        names = [n for n in self.engines if n.startswith(authority.scope)]
        engine = self.engines[self.world.random.choice(names)]
        target = engine_orders.EngineTarget(
            engine.name, engine.name, engine.checks
        )
        argument = str(self.world.random.random())
        try:
            await self.orders.order(authority, target, 'set_role', argument)
        except (errors.StoreError, errors.UpstreamError):
            pass

    async def order_upstream(self, authority):
        count = self.world.random.randint(1, 9)
        order = upstream_orders.UpstreamOrder(
            'start', authority.scope, 'spot', count
        )
        try:
            await self.upstream_orders.order(authority, order)
        except (errors.StoreError, errors.UpstreamError):
            pass

    async def run(self):
        await self.lease_manager.run(
            lambda: dict.fromkeys(SCOPES, self.use_authority)
        )


async def run_with_crashes(world, name, engines, chances, deadman):
    """Start a process, crash it after some time, and repeat."""
    start_number = 0
    while True:
        start_number += 1
        with trio.move_on_after(world.random.uniform(20.0, 200.0)):
            control = ControlProcess(
                world, f'{name}.{start_number}', engines, chances
            )
            # A crashed process does not release its leases.
            control.lease_manager._release = _skip_release
            control.client.deadman = deadman
            try:
                await control.run()
            except* chaos.KilledError:
                pass
        await trio.sleep(world.random.uniform(0, 5.0))


async def _skip_release(authority):
    """Replace LeaseManager._release, which a crash does not run."""


async def explore(seed, chances=CHANCES, deadman=True, freeze_s=0.0):
    """Run three processes that order four engines; return the world."""
    async with trio.open_nursery() as nursery:
        world = chaos.World(seed, nursery)
        engines = {
            name: chaos.Engine(world, name, name.endswith('new'))
            for scope in SCOPES
            for name in (f'{scope}-new', f'{scope}-old')
        }
        for engine in engines.values():
            nursery.start_soon(engine.run_crashes)
            if freeze_s:
                nursery.start_soon(engine.run_freezes, freeze_s)
        for name in ('a', 'b', 'c'):
            nursery.start_soon(
                run_with_crashes, world, name, engines, chances, deadman
            )
        with trio.move_on_after(RUN_S):
            while True:
                await trio.sleep(world.random.uniform(30.0, 120.0))
                world.down = True
                await trio.sleep(world.random.uniform(0.0, 30.0))
                world.down = False
        nursery.cancel_scope.cancel()
    return world


def find_stale_acts(events):
    """Return the acts that follow one of a newer epoch of their scope."""
    highest = {}
    stale_acts = []
    for event in events:
        if event.type == 'act':
            scope, epoch = event.data['scope'], event.data['epoch']
            if epoch < highest.get(scope, 0):
                stale_acts.append(event)
            highest[scope] = max(epoch, highest.get(scope, 0))
    return stale_acts


@pytest.mark.promise
@pytest.mark.parametrize('seed', range(12))
async def test_no_order_of_lapsed_authority_takes_effect(seed, autojump_clock):
    """Holders are paused, killed and partitioned while they order engines.

    Engines restart and lose their state. The store fails, loses requests and
    responses, applies writes late and returns stale reads. No engine may
    apply an older order after a newer one, or one of a past epoch.
    """
    world = await explore(seed)
    assert find_stale_acts(world.events) == []
    assert checkers.check_conflicting_orders(world.events) == []
    assert checkers.check_stale_orders(world.events) == []
    assert checkers.check_upstream_orders(world.events) == []
    applied = [e for e in world.events if e.type == 'order']
    epochs = {e.data['epoch'] for e in applied}
    assert len(applied) > 50
    assert len(epochs) > 5


@pytest.mark.promise
@pytest.mark.parametrize('seed', range(6))
async def test_stopped_engine_never_holds_conflicting_orders(
    seed, autojump_clock
):
    """Engines are stopped for up to a minute with an unread order.

    A stopped engine can't be fenced, so the order may take effect late once
    it resumes, but never after an order of the successor.
    """
    world = await explore(seed, freeze_s=60.0)
    assert find_stale_acts(world.events) == []
    assert checkers.check_conflicting_orders(world.events) == []


@pytest.mark.promise
async def test_checkers_find_stale_orders_without_the_timer(autojump_clock):
    """A holder is paused between its check and its send, then resumes.

    Without the kernel timer that ends it, its order reaches the engine after
    a takeover, and the checkers must report that.
    """
    stale_orders = []
    for seed in range(4):
        world = await explore(seed, deadman=False)
        stale_orders += checkers.check_stale_orders(world.events)
    assert stale_orders


@pytest.mark.promise
@pytest.mark.parametrize('seed', range(6))
async def test_order_in_flight_ends_before_the_lease(seed, autojump_clock):
    """A holder's renewals are lost while its other calls succeed.

    It sends orders over a slow network until its lease lapses. No order may
    arrive after a takeover.
    """
    few_failures = chaos.Chances(0.01, 0, 0, 0, 0, 0, 0, 0)
    async with trio.open_nursery() as nursery:
        world = chaos.World(seed, nursery)
        engines = {
            name: chaos.Engine(world, name, False)
            for name in ('north-old', 'south-old')
        }
        for name in ('a', 'b'):
            control = ControlProcess(world, name, engines, few_failures)
            control.client.chances = few_failures._replace(late=1.0)
            nursery.start_soon(control.run)
            nursery.start_soon(cut_renewals_repeatedly, control)
        await trio.sleep(RUN_S)
        nursery.cancel_scope.cancel()
    assert checkers.check_stale_orders(world.events) == []
    assert checkers.check_conflicting_orders(world.events) == []
    assert len({e.data['epoch'] for e in world.events if e.type == 'act'}) > 9


async def cut_renewals_repeatedly(control):
    while True:
        control.store.cut_kinds = set()
        await trio.sleep(control.world.random.uniform(5.0, 60.0))
        control.store.cut_kinds = {lease.KIND}
        await trio.sleep(20.0)
