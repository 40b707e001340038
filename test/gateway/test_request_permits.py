"""Test the permits that one request holds."""

import random

import pytest

from gentianstair.core import permit_keeper
from gentianstair.core import upstream_limits
from gentianstair.core import upstream_permits
from gentianstair.gateway import replicas
from gentianstair.gateway import request_permits


def make_replica(name, stage):
    return replicas.Replica(
        name, 's', '10.0.0.1:1', 'a', 64, False, stage, 1, 0, False, ('m',)
    )


READER = make_replica('i-reader', 'prefill')
MAKER = make_replica('i-maker', 'decode')
FREE = make_replica('i-free', 'decode')
ALL = [READER, MAKER, FREE]


class Keepers:
    """Keepers that grant a permit as a last resort only."""

    def __init__(self):
        self.asked = []

    async def ask(self, ask):
        self.asked.append(ask)
        return permit_keeper.Grant(ask.is_last_resort, 0.0, 5.0)


class Play:
    """A request before a limited replica of each stage, and a free one."""

    def __init__(self):
        self.now_s = 100.0
        known = upstream_limits.UpstreamLimits(self.clock)
        for replica in (READER, MAKER):
            answer = upstream_limits.Answer(1.0, 99.0, 99.1)
            known.record(replica.run, answer)
        self.keepers = Keepers()
        permits = upstream_permits.UpstreamPermits(
            known, self.keepers, self.clock, random.Random(1)
        )
        self.permits = request_permits.RequestPermits(
            permits, 'r1', self.clock
        )

    def clock(self):
        return self.now_s

    async def run_turn(self):
        return await self.permits.wait_for_turn(ALL, 1.0)

    async def prefill_turn(self):
        return await self.permits.take_prefill_turn(ALL)


async def test_denied_replicas_are_no_choices():
    play = Play()
    assert play.permits.choices(ALL) == ALL
    assert not await play.permits.acquire(READER)
    assert not await play.permits.acquire(MAKER)
    assert await play.permits.acquire(FREE)
    assert play.permits.choices(ALL) == [FREE]


TURNS = [
    pytest.param(Play.run_turn, MAKER, [MAKER], id='run'),
    pytest.param(Play.prefill_turn, READER, [READER, FREE], id='prefill'),
]


@pytest.mark.parametrize(('turn', 'replica', 'choices'), TURNS)
async def test_turn_is_a_last_resort_once(turn, replica, choices):
    # Guards against prompts that decode replicas prefill late, and requests
    # that are rejected, though a limited replica has a spare permit.
    play = Play()
    for limited in (READER, MAKER):
        await play.permits.acquire(limited)
    assert await turn(play)
    assert play.permits.choices(ALL) == choices
    assert play.permits.use(replica).is_limited
    asked = len(play.keepers.asked)
    assert not await turn(play)
    assert len(play.keepers.asked) == asked


async def test_permit_that_was_held_for_long_is_asked_for_anew():
    # Guards against permits that many requests use together, later.
    play = Play()
    await play.permits.acquire(MAKER)
    assert await play.run_turn()
    assert play.permits.reserved(ALL) == MAKER
    play.now_s += request_permits.MAX_PERMIT_AGE_S + 0.1
    assert play.permits.reserved(ALL) is None
    assert not await play.permits.acquire(MAKER)
