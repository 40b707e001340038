"""Test that all VMs together stay within the budget of repeats."""

import random

import pytest

from gentianstair.gateway import retry_budget

LIMITS = retry_budget.Limits(ratio=0.2, allowance=52, window_s=10.0)


class Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


@pytest.mark.parametrize('vms', [1, 6, 60])
@pytest.mark.parametrize('seed', [1, 2])
def test_every_window_of_the_fleet_is_within_the_budget(vms, seed):
    """All replicas of a service fail, so each request asks for a repeat.

    Whatever the requests' spread over the VMs, no window of ten seconds may
    hold more repeats than a fifth of its requests and the allowance.
    """
    chance = random.Random(seed)
    clock = Clock()
    fleet = [
        retry_budget.RetryBudget(lambda: LIMITS, clock, lambda: vms)
        for _ in range(vms)
    ]
    first, again = [], []
    while clock.now_s < 1060.0:
        clock.now_s += chance.expovariate(40)
        # A few VMs get most of the requests.
        vm = fleet[min(vms - 1, int(chance.expovariate(6 / vms)))]
        vm.record_request('desk')
        first.append(clock.now_s)
        if vm.try_spend('desk'):
            again.append(clock.now_s)
    assert len(again) > 20
    for end_s in again:
        window = (end_s - LIMITS.window_s, end_s)
        repeated = sum(window[0] < at_s <= window[1] for at_s in again)
        asked = sum(window[0] < at_s <= window[1] for at_s in first)
        assert repeated <= LIMITS.ratio * asked + LIMITS.allowance


@pytest.mark.parametrize('kills_s', [(0.0,), (3.0,), (2.0, 4.0), (9.0,)])
def test_killed_processes_do_not_spend_their_part_again(kills_s):
    """All replicas fail, and all VMs are killed while they repeat.

    A process that has just started knows nothing of what was spent. Any
    window that holds both lives must still be within the fleet's budget.
    """
    vms = 6
    clock = Clock()

    def start():
        return [
            retry_budget.RetryBudget(lambda: LIMITS, clock, lambda: vms)
            for _ in range(vms)
        ]

    fleet = start()
    clock.now_s += 2 * LIMITS.window_s
    begin_s = clock.now_s
    again = []
    kills = list(kills_s)
    while clock.now_s < begin_s + 2 * LIMITS.window_s:
        if kills and clock.now_s >= begin_s + kills[0]:
            kills.pop(0)
            fleet = start()
        for vm in fleet:
            while vm.try_spend('desk'):
                again.append(clock.now_s)
        clock.now_s += 0.1
    for end_s in again:
        spent = sum(end_s - LIMITS.window_s < at_s <= end_s for at_s in again)
        assert spent <= LIMITS.allowance


def test_services_do_not_share():
    clock = Clock()
    one = retry_budget.RetryBudget(lambda: LIMITS, clock, lambda: 60)
    clock.now_s += LIMITS.window_s
    assert not one.try_spend('desk')
    for _ in range(20):
        one.record_request('desk')
    assert one.try_spend('desk')
    assert not one.try_spend('models')
