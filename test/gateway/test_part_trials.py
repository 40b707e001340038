"""Test which VM grants trials of parts that are held back."""

import cbor2
import pytest
import trio

from gentianstair import errors
from gentianstair.core import prompt_faults
from gentianstair.gateway import part_trials
from gentianstair.peers import link

BAD = prompt_faults.Part('models', 'm', 'bad0')


class Keepers:
    """Where this VM finds the keeper: at itself, or on a link."""

    def __init__(self, channel=None, own=False, is_new=False):
        self.channel = channel
        self.own = own
        self.is_new = is_new

    def is_own(self, name):
        return self.own

    def awaits_reports(self):
        return self.is_new

    def link_towards(self, name):
        return self.channel


class Vm:
    """One VM that knows a part to be held back, or nothing of it."""

    def __init__(self, keepers, knows=True):
        self.now_s = 100.0
        self.faults = prompt_faults.PromptFaults(lambda: self.now_s)
        self.trials = part_trials.PartTrials(
            self.faults, keepers, lambda: self.now_s
        )
        for number in range(2 if knows else 0):
            end = prompt_faults.End(
                f'i-{number}', 1, 90.0 + number, 90.5 + number
            )
            self.faults.record_end([BAD], end)


class LinkTo(link.Channel):
    """A link to a VM that answers, or to nobody."""

    def __init__(self, vm=None):
        self.vm = vm
        self.asker = None

    async def send(self, data):
        if self.vm is not None:
            answer = await self.vm.trials.answer(cbor2.loads(data))
            self.asker.trials.handle_answer(answer)

    async def receive(self):
        await trio.sleep_forever()

    async def aclose(self):
        pass


def asking(channel):
    vm = Vm(Keepers(channel))
    channel.asker = vm
    return vm


@pytest.mark.parametrize('keeper_knows', [True, False])
async def test_keeper_grants_one_trial_to_all_vms(
    autojump_clock, keeper_knows
):
    # Guards against a keeper that took over and knows nothing yet.
    keeper = Vm(Keepers(own=True), keeper_knows)
    first, second = asking(LinkTo(keeper)), asking(LinkTo(keeper))
    assert (await first.trials.ask(BAD.key, 0.5)).is_granted
    denied = await second.trials.ask(BAD.key, 0.5)
    assert not denied.is_granted
    assert denied.wait_s == pytest.approx(0.5, abs=0.01)


async def test_question_is_passed_on_to_the_keeper(autojump_clock):
    keeper = Vm(Keepers(own=True))
    to_keeper = LinkTo(keeper)
    between = asking(to_keeper)
    asker = asking(LinkTo(between))
    assert (await asker.trials.ask(BAD.key, 0.5)).is_granted
    assert keeper.faults.get(BAD.key).trials == 1


async def test_question_that_goes_in_a_circle_ends(autojump_clock):
    # Guards against hubs that take each other for the keeper.
    channels = LinkTo(), LinkTo()
    first, second = (asking(channel) for channel in channels)
    channels[0].vm, channels[1].vm = second, first
    assert not (await first.trials.ask(BAD.key, 0.5)).is_granted


@pytest.mark.parametrize('channel', [None, LinkTo()], ids=['none', 'silent'])
async def test_without_an_answer_there_is_no_trial(autojump_clock, channel):
    vm = Vm(Keepers(channel))
    grant = await vm.trials.ask(BAD.key, 0.5)
    assert not grant.is_granted
    assert grant.wait_s > 0


async def test_vm_that_nobody_has_told_grants_no_trial():
    # Guards against a VM that has just started and grants a trial by what
    # the store had of the ends, as it hears no other keeper yet.
    vm = Vm(Keepers(own=True, is_new=True))
    grant = await vm.trials.ask(BAD.key, 0.5)
    assert not grant.is_granted
    assert grant.wait_s > 0


async def test_odd_question_is_told_apart():
    keeper = Vm(Keepers(own=True))
    with pytest.raises(errors.DecodeError):
        await keeper.trials.answer(
            {'id': 1, 'row': [1], 'interval_ms': 500, 'hops': 1}
        )
