"""Test that all VMs together stay within the retry limits."""

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
def test_fleet_keeps_the_limit_in_every_window(vms, seed):
    """All replicas fail, so each request asks for a retry.

    Requests are spread unevenly over the VMs.
    """
    rng = random.Random(seed)
    clock = Clock()
    fleet = [
        retry_budget.RetryBudget(lambda: LIMITS, clock, lambda: vms)
        for _ in range(vms)
    ]
    requests, retries = [], []
    while clock.now_s < 1060.0:
        clock.now_s += rng.expovariate(40)
        vm = fleet[min(vms - 1, int(rng.expovariate(6 / vms)))]
        vm.record_request('desk')
        requests.append(clock.now_s)
        if vm.try_spend('desk'):
            retries.append(clock.now_s)
    assert len(retries) > 20
    for end_s in retries:
        window = (end_s - LIMITS.window_s, end_s)
        retried = sum(window[0] < at_s <= window[1] for at_s in retries)
        requested = sum(window[0] < at_s <= window[1] for at_s in requests)
        assert retried <= LIMITS.ratio * requested + LIMITS.allowance


@pytest.mark.parametrize('kills_s', [(0.0,), (3.0,), (2.0, 4.0), (9.0,)])
def test_fleet_keeps_the_limit_when_all_vms_restart(kills_s):
    """All replicas fail, and all VMs are killed while they send retries.

    Restarted processes don't know what was spent before.
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
    retries = []
    kills = list(kills_s)
    while clock.now_s < begin_s + 2 * LIMITS.window_s:
        if kills and clock.now_s >= begin_s + kills[0]:
            kills.pop(0)
            fleet = start()
        for vm in fleet:
            while vm.try_spend('desk'):
                retries.append(clock.now_s)
        clock.now_s += 0.1
    for end_s in retries:
        spent = sum(
            end_s - LIMITS.window_s < at_s <= end_s for at_s in retries
        )
        assert spent <= LIMITS.allowance


def test_each_service_has_a_budget_of_its_own():
    clock = Clock()
    budget = retry_budget.RetryBudget(lambda: LIMITS, clock, lambda: 60)
    clock.now_s += LIMITS.window_s
    assert not budget.try_spend('desk')
    for _ in range(20):
        budget.record_request('desk')
    assert budget.try_spend('desk')
    assert not budget.try_spend('models')
