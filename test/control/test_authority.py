"""Explore leases and orders under seeded failures, on the real code."""

import pytest
import trio

from gentianstair import errors
from gentianstair.control import engine_orders
from gentianstair.control import lease
from gentianstair.control import upstream_orders
from standins import chaos
from standins import checkers

TERMS = lease.LeaseTiming(12.0, 1.0)
LIFETIME_S = 6.0
TIMEOUT_S = 1.0
SCOPES = ('north', 'south')
RUN_S = 900.0
CHANCES = chaos.Chances()


class Control:
    """One control process that orders engines as long as it may."""

    def __init__(self, world, name, engines, chances):
        self.world = world
        self.process = chaos.Process(world, name, chances)
        self.store = chaos.ChaosStore(self.process)
        self.engines = engines
        self.client = chaos.ChaosOrders(
            self.process, engines, LIFETIME_S, TIMEOUT_S
        )
        self.orders = engine_orders.make_engine_orders(
            self.store,
            self.client,
            self.process.clock,
            LIFETIME_S,
        )
        self.upstream_orders = upstream_orders.make_upstream_orders(
            self.store,
            chaos.ChaosPlatform(self.process, LIFETIME_S),
            LIFETIME_S,
        )
        self.leases = lease.make_lease_manager(
            self.store, name, self.process.clock, TERMS
        )

    async def role(self, authority):
        while True:
            await trio.sleep(self.world.random.uniform(0, 3.0))
            self.act(authority)
            await self.order_one(authority)
            if self.process.chance(0.3):
                await self.order_upstream(authority)

    def act(self, authority):
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

    async def order_one(self, authority):
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
        await self.leases.run(lambda: dict.fromkeys(SCOPES, self.role))


async def live(world, name, engines, chances, deadman):
    """Start a process, crash it after some time, and so on."""
    generation = 0
    while True:
        generation += 1
        with trio.move_on_after(world.random.uniform(20.0, 200.0)):
            control = Control(world, f'{name}.{generation}', engines, chances)
            # A crash does not run the code that releases leases.
            control.leases._release = _crash
            control.client.deadman = deadman
            try:
                await control.run()
            except* chaos.KilledError:
                pass
        await trio.sleep(world.random.uniform(0, 5.0))


async def _crash(authority):
    """Do nothing in place of the release."""


async def explore(seed, chances=CHANCES, deadman=True, freeze_s=0.0):
    """Run three processes over four engines; return the world."""
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
            nursery.start_soon(live, world, name, engines, chances, deadman)
        with trio.move_on_after(RUN_S):
            while True:
                await trio.sleep(world.random.uniform(30.0, 120.0))
                world.down = True
                await trio.sleep(world.random.uniform(0.0, 30.0))
                world.down = False
        nursery.cancel_scope.cancel()
    return world


def acts_out_of_order(events):
    """Return acts of an epoch after one of a newer epoch of its scope."""
    highest = {}
    breaches = []
    for event in events:
        if event.type == 'act':
            scope, epoch = event.data['scope'], event.data['epoch']
            if epoch < highest.get(scope, 0):
                breaches.append(event)
            highest[scope] = max(epoch, highest.get(scope, 0))
    return breaches


@pytest.mark.promise
@pytest.mark.parametrize('seed', range(12))
async def test_no_order_of_lapsed_authority_takes_effect(seed, autojump_clock):
    """Holders are paused, killed and cut off while they order engines.

    Engines restart and forget what they were told. The store refuses,
    loses requests and answers, applies writes late and answers from the
    past. A successor orders the same engines; an engine must never hold an
    older order after a newer, nor take one of an epoch that is over.
    """
    world = await explore(seed)
    assert acts_out_of_order(world.events) == []
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
    """Engines are stopped for up to a minute with an order not yet read.

    When one goes on, it reads the old order after a successor has asked it
    for its last one. The old order may take effect late then, as a stopped
    engine cannot be fenced, but never after an order of the successor.
    """
    world = await explore(seed, freeze_s=60.0)
    assert acts_out_of_order(world.events) == []
    assert checkers.check_conflicting_orders(world.events) == []


@pytest.mark.promise
async def test_without_the_timer_a_frozen_holder_does_harm(autojump_clock):
    """A holder is frozen between its check and its send, and wakes.

    No check can come late enough. Without the kernel's timer its order
    reaches the engine after another has taken over.
    """
    found = []
    for seed in range(4):
        world = await explore(seed, deadman=False)
        found += checkers.check_stale_orders(world.events)
    assert found


@pytest.mark.promise
@pytest.mark.parametrize('seed', range(6))
async def test_order_under_way_ends_before_the_lease(seed, autojump_clock):
    """A holder's renewals get lost while its other calls go through.

    It orders engines to the last moment, over a slow network. No order may
    arrive after another has taken over, so none is sent that could.
    """
    calm = chaos.Chances(0.01, 0, 0, 0, 0, 0, 0, 0)
    async with trio.open_nursery() as nursery:
        world = chaos.World(seed, nursery)
        engines = {
            name: chaos.Engine(world, name, False)
            for name in ('north-old', 'south-old')
        }
        for name in ('a', 'b'):
            control = Control(world, name, engines, calm)
            control.client.chances = calm._replace(late=1.0)
            nursery.start_soon(control.run)
            nursery.start_soon(cut_now_and_then, control)
        await trio.sleep(RUN_S)
        nursery.cancel_scope.cancel()
    assert checkers.check_stale_orders(world.events) == []
    assert checkers.check_conflicting_orders(world.events) == []
    assert len({e.data['epoch'] for e in world.events if e.type == 'act'}) > 9


async def cut_now_and_then(control):
    while True:
        control.store.cut_kinds = set()
        await trio.sleep(control.world.random.uniform(5.0, 60.0))
        control.store.cut_kinds = {lease.KIND}
        await trio.sleep(20.0)
