"""Explore claims under seeded failures, on the real code."""

import contextlib

import pytest
import trio

from gentianstair import errors
from gentianstair.entry import claim_shard
from gentianstair.entry import claims
from standins import chaos
from standins import checkers

State = claim_shard.State
RETENTION_S = 400.0
CHANCES = chaos.Chances(pause=0.005, pause_s=40.0)
KEYS = 60
RUN_S = 300.0


class Owners:
    """Reach the other entries over a bad network."""

    def __init__(self, entry, entries):
        self.entry = entry
        self.entries = entries

    def owner_of(self, shard_name):
        names = sorted(self.entries)
        owner = names[int(shard_name[-1]) % len(names)] if names else None
        return None if owner == self.entry.name else owner

    async def forward(self, owner, shard_number, changes):
        process = self.entry.process
        await process.step()
        if process.chance(0.05) or owner not in self.entries:
            raise errors.StoreUnknownError('lost')
        other, nursery = self.entries[owner]
        done = trio.Event()
        founds = []

        async def make():
            with contextlib.suppress(errors.StoreError):
                await other.process.step()
                made = await other.claims.make_changes(shard_number, changes)
                founds.extend(made)
                done.set()

        nursery.start_soon(make)
        with trio.move_on_after(1.0):
            await done.wait()
            await process.step()
            if not process.chance(0.05):
                return founds
        raise errors.StoreUnknownError('no answer')


class Entry:
    """One entry process that serves registrations."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.process = chaos.Process(world, name, CHANCES)
        self.claims = claims.make_claims(
            chaos.ChaosStore(self.process),
            name,
            self.process.clock,
            2,
            RETENTION_S,
        )

    async def serve(self, request_id, key, digest):
        """Return (verdict, number) as the caller is told."""
        try:
            claim = await self.claims.claim('c', key, digest)
        except errors.RequestError as error:
            return error.verdict.name, None
        if claim.state is State.FINISHED:
            return 'RAN', claim.body
        if claim.state is State.MISMATCH:
            return 'NOT_RUN', None
        if claim.state is not State.GRANTED:
            return 'MAY_HAVE_RUN', None
        await self.process.step()
        try:
            self.claims.check_sendable(claim)
        except errors.RequestError as error:
            await self.claims.release(claim)
            return error.verdict.name, None
        number = self.run(request_id, key)
        await self.process.step()
        if self.process.chance(0.1):
            return 'MAY_HAVE_RUN', None
        await self.claims.finish(claim, 200, '', number)
        return 'RAN', number

    def run(self, request_id, key):
        self.world.add(
            'service', 'run', request_id=request_id, idempotency_key=key
        )
        return str(len(self.world.events)).encode()


async def live(world, name, entries, owned):
    """Run an entry, kill it some time later, and so on."""
    while True:
        with trio.move_on_after(world.random.uniform(10.0, 120.0)):
            async with trio.open_nursery() as nursery:
                entry = Entry(world, name)
                entries[name] = (entry, nursery)
                if owned:
                    entry.claims.owners = Owners(entry, entries)
                nursery.start_soon(entry.claims.run_batches)
                try:
                    await trio.sleep_forever()
                finally:
                    del entries[name]
        await trio.sleep(world.random.uniform(0.0, 3.0))


async def call(world, entries, key, number):
    """Send one key to some entry, as a caller that repeats does."""
    await trio.sleep(world.random.uniform(0, RUN_S))
    for repeat in range(world.random.randint(1, 4)):
        if not entries:
            continue
        entry, nursery = entries[world.random.choice(sorted(entries))]
        request_id = f'{number}.{repeat}'
        nursery.start_soon(answer, world, entry, request_id, key)
        await trio.sleep(world.random.uniform(0, 3.0))


async def answer(world, entry, request_id, key):
    digest = f'digest of {key}'
    verdict, number = await entry.serve(request_id, key, digest)
    world.add(
        'caller',
        'answer',
        request_id=request_id,
        key=key,
        verdict=verdict,
        number=number,
    )


async def explore(seed, owned):
    """Return the world after callers sent and repeated their keys."""
    async with trio.open_nursery() as nursery:
        world = chaos.World(seed, nursery)
        entries = {}
        for name in ('vm-1', 'vm-2', 'vm-3'):
            nursery.start_soon(live, world, name, entries, owned)
        async with trio.open_nursery() as callers:
            for number in range(KEYS * 3):
                key = f'key-{number % KEYS}'
                callers.start_soon(call, world, entries, key, number)
        await trio.sleep(30.0)
        nursery.cancel_scope.cancel()
    return world


def other_outcomes(events):
    """Return keys whose callers were told different outcomes."""
    told = {}
    for event in events:
        if event.type == 'answer' and event.data['number'] is not None:
            told.setdefault(event.data['key'], set()).add(event.data['number'])
    return {key: numbers for key, numbers in told.items() if len(numbers) > 1}


@pytest.mark.promise
@pytest.mark.parametrize('owned', [False, True])
@pytest.mark.parametrize('seed', range(8))
async def test_no_key_runs_twice(seed, owned, autojump_clock):
    """Callers repeat registrations through other VMs while VMs are killed.

    With owners, VMs send their claims to the one that writes a shard; all
    may be wrong about who that is. VMs are paused, the store loses
    requests and answers, applies writes late and answers from the past. A
    key runs at most once, all its callers hear the same outcome or that it
    may have run, and whoever hears "not run" hears the truth.
    """
    world = await explore(seed, owned)
    assert checkers.check_duplicate_runs(world.events) == []
    assert checkers.check_not_run(world.events) == []
    assert other_outcomes(world.events) == {}
    runs = [e for e in world.events if e.type == 'run']
    answers = [e for e in world.events if e.type == 'answer']
    assert len(runs) > KEYS / 2
    assert len(answers) > KEYS
