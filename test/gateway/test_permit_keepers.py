"""Test which VM grants a permit, over links in memory."""

import itertools

import pytest
import trio

from gentianstair import errors
from gentianstair.core import permit_keeper
from gentianstair.core import upstream_limits
from gentianstair.gateway import permit_keepers
from gentianstair.peers import link
from gentianstair.peers import permit_questions
from gentianstair.util import clock as clocks

RATE_PER_S = 2.0
HUBS = 3


class Channel(link.Channel):
    """A link over which a hub answers questions."""

    def __init__(self, asker, answerer, nursery):
        self._asker = asker
        self._answerer = answerer
        self._nursery = nursery
        self.is_silent = False
        self.delay_s = 0.001

    async def send(self, data):
        if not self.is_silent:
            self._nursery.start_soon(self._answer, link.decode(data))

    async def _answer(self, message):
        await trio.sleep(self.delay_s)
        answer = await self._answerer.answer(message)
        self._asker.handle_answer(link.decode(link.encode(answer)))

    async def receive(self):
        await trio.sleep_forever()

    async def aclose(self):
        pass


class Fleet:
    """Hubs that are linked with each other, and a leaf of the first."""

    def __init__(self, nursery):
        self.hubs = [self._make(f'hub-{n}:1', True) for n in range(HUBS)]
        self.leaf = self._make('leaf:1', False)
        for one, other in itertools.permutations(self.hubs, 2):
            address = other.address
            one.hub_links[address] = Channel(one, other, nursery)
            one.record_report(address, True)
        self.leaf.link_to_hub = Channel(self.leaf, self.hubs[0], nursery)

    def _make(self, address, is_hub):
        known = upstream_limits.UpstreamLimits(clocks.trio_time_s)
        keepers = permit_keepers.PermitKeepers(
            permit_keepers.Fleet(
                address,
                lambda: is_hub,
                lambda: False,
                lambda: 1.0,
                lambda: HUBS + 1,
            ),
            known,
            clocks.trio_time_s,
        )
        keepers.address = address
        return keepers

    def run_kept_by(self, hub):
        """Return a replica whose keeper is this hub."""
        for number in itertools.count():
            name = f'i-{number}'
            if self.hubs[0].keeper_of(name) == hub.address:
                return upstream_limits.UpstreamRun(name, 1)

    def hear_all(self):
        """Have all hubs report, as they do several times a second."""
        for one, other in itertools.permutations(self.hubs, 2):
            one.record_report(other.address, True)


def ask(run, patience_s=5.0):
    return permit_keeper.Ask(run, RATE_PER_S, patience_s)


async def waits_s(askers, run, count):
    """Return the waits of the permits that VMs get in turn."""
    found = []
    for number in range(count):
        grant = await askers[number % len(askers)].ask(ask(run))
        assert grant.is_granted
        found.append(grant.wait_s)
    return found


@pytest.mark.parametrize('keeper', range(HUBS))
async def test_all_vms_take_turns_at_one_keeper(
    autojump_clock, nursery, keeper
):
    # Guards against a limit that each VM, or each hub, gives out anew.
    fleet = Fleet(nursery)
    run = fleet.run_kept_by(fleet.hubs[keeper])
    found = await waits_s([*fleet.hubs, fleet.leaf], run, 8)
    assert found == sorted(found)
    assert found[-1] - found[0] == pytest.approx(7 / RATE_PER_S, abs=0.1)


async def test_hub_that_hears_a_higher_ranked_one_passes_the_question_on(
    autojump_clock, nursery
):
    # Guards against two keepers while VMs hear of a hub at different times.
    fleet = Fleet(nursery)
    asker, keeper = fleet.hubs[0], fleet.hubs[1]
    run = fleet.run_kept_by(keeper)
    first = await asker.ask(ask(run))
    asker.record_report(keeper.address, False)
    assert asker.keeper_of(run.name) != keeper.address
    second = await fleet.hubs[2].ask(ask(run))
    assert second.wait_s == pytest.approx(
        first.wait_s + 1 / RATE_PER_S, abs=0.01
    )


async def test_questions_do_not_go_round(autojump_clock, nursery):
    fleet = Fleet(nursery)
    run = fleet.run_kept_by(fleet.hubs[0])
    for hub in fleet.hubs[:2]:
        hub._fleet = hub._fleet._replace(is_stopping=lambda: True)
    fleet.hubs[0].record_report(fleet.hubs[2].address, False)
    fleet.hubs[1].record_report(fleet.hubs[2].address, False)
    grant = await fleet.hubs[0].ask(ask(run))
    assert not grant.is_granted


SILENCES = [
    pytest.param({'is_silent': True}, id='lost'),
    pytest.param({'delay_s': 1.0}, id='late'),
]


@pytest.mark.parametrize('fault', SILENCES)
async def test_question_without_an_answer_ends_soon(
    autojump_clock, nursery, fault
):
    # Guards against requests that wait for a frozen or dead keeper.
    fleet = Fleet(nursery)
    asker, keeper = fleet.hubs[:2]
    run = fleet.run_kept_by(keeper)
    vars(asker.hub_links[keeper.address]).update(fault)
    began_s = trio.current_time()
    grant = await asker.ask(ask(run))
    assert grant == permit_questions.UNANSWERED
    took_s = trio.current_time() - began_s
    assert took_s == pytest.approx(permit_questions.ANSWER_TIMEOUT_S, abs=0.01)
    # An answer that comes now is passed over.
    await trio.sleep(2.0)


async def test_silent_keeper_is_followed_by_the_next(autojump_clock, nursery):
    # Guards against a limit that is never used again after its keeper died.
    fleet = Fleet(nursery)
    dead = fleet.hubs[1]
    run = fleet.run_kept_by(dead)
    others = [fleet.hubs[0], fleet.hubs[2]]
    await trio.sleep(permit_keepers.HUB_TIMEOUT_S + 0.1)
    for one, other in itertools.permutations(others, 2):
        one.record_report(other.address, True)
    assert others[0].keeper_of(run.name) == others[1].keeper_of(run.name)
    assert (await others[0].ask(ask(run))).is_granted


async def test_leaf_without_a_hub_gets_none(autojump_clock, nursery):
    fleet = Fleet(nursery)
    fleet.leaf.link_to_hub = None
    run = fleet.run_kept_by(fleet.hubs[0])
    assert await fleet.leaf.ask(ask(run)) == permit_questions.UNANSWERED


async def test_hub_of_an_older_version_keeps_no_permits(
    autojump_clock, nursery
):
    # Guards against questions to VMs that do not know them, in a rolled fleet.
    fleet = Fleet(nursery)
    old = fleet.hubs[1]
    run = fleet.run_kept_by(old)
    for hub in (fleet.hubs[0], fleet.hubs[2]):
        hub.record_report(old.address, False)
    assert fleet.hubs[0].keeper_of(run.name) != old.address
    assert fleet.hubs[2].keeper_of(run.name) != old.address


QUESTION = {
    'id': 1,
    'replica': 'i-1',
    'started_ms': 1,
    'rate_per_s': 1.0,
    'patience_ms': 0,
    'last_resort': False,
    'hops': 1,
}


async def test_unreadable_rate_is_an_error(autojump_clock, nursery):
    fleet = Fleet(nursery)
    with pytest.raises(errors.DecodeError):
        await fleet.hubs[0].answer({**QUESTION, 'rate_per_s': float('nan')})


@pytest.mark.parametrize('number', [2**2000, -(2**2000)], ids=['high', 'low'])
async def test_senseless_numbers_end_no_process(
    autojump_clock, nursery, number
):
    # Guards against a peer whose question ends the tasks of all requests.
    fleet = Fleet(nursery)
    await fleet.hubs[0].answer(
        {**QUESTION, 'patience_ms': number, 'hops': number}
    )


async def test_stopping_hub_keeps_permits_only_if_it_hears_no_other(
    autojump_clock, nursery
):
    # Guards against a last VM that rejects its callers while it stops.
    fleet = Fleet(nursery)
    stopping = fleet.hubs[0]
    run = fleet.run_kept_by(stopping)
    stopping._fleet = stopping._fleet._replace(is_stopping=lambda: True)
    assert stopping.keeper_of(run.name) != stopping.address
    for other in fleet.hubs[1:]:
        stopping.record_report(other.address, False)
    assert stopping.keeper_of(run.name) == stopping.address
    assert (await stopping.ask(ask(run))).is_granted


NEW_ROWS = {
    'just-started': ((4, 0.0, False), True),
    'alone': ((1, 0.0, False), False),
    'told': ((4, 0.0, True), False),
    'others-gone': ((4, permit_keepers.FIRST_REPORT_S + 0.1, False), False),
}


@pytest.mark.parametrize(('state', 'awaits'), NEW_ROWS.values(), ids=NEW_ROWS)
async def test_new_vm_awaits_a_report_for_a_while(
    autojump_clock, state, awaits
):
    # Guards against silence taken for the absence of others at the start,
    # and against a last VM that waits for them for ever.
    vm_count, age_s, has_heard = state
    keepers = permit_keepers.PermitKeepers(
        permit_keepers.Fleet(
            'own:1',
            lambda: True,
            lambda: False,
            lambda: 1.0,
            lambda: vm_count,
        ),
        upstream_limits.UpstreamLimits(clocks.trio_time_s),
        clocks.trio_time_s,
    )
    if has_heard:
        keepers.record_report('other:1', False)
    await trio.sleep(age_s)
    assert keepers.awaits_reports() is awaits
