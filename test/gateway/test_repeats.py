"""Test that all VMs together stay within the budget of repeats."""

import random

import pytest

from gentianstair.gateway import repeats

TERMS = repeats.Terms(ratio=0.2, allowance=52, window_s=10.0)


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
        repeats.Repeats(lambda: TERMS, clock, lambda: vms) for _ in range(vms)
    ]
    first, again = [], []
    while clock.now_s < 1060.0:
        clock.now_s += chance.expovariate(40)
        # A few VMs get most of the requests.
        vm = fleet[min(vms - 1, int(chance.expovariate(6 / vms)))]
        vm.request('desk')
        first.append(clock.now_s)
        if vm.take('desk'):
            again.append(clock.now_s)
    assert len(again) > 20
    for end_s in again:
        window = (end_s - TERMS.window_s, end_s)
        repeated = sum(window[0] < at_s <= window[1] for at_s in again)
        asked = sum(window[0] < at_s <= window[1] for at_s in first)
        assert repeated <= TERMS.ratio * asked + TERMS.allowance


def test_a_restarted_process_begins_with_half():
    clock = Clock()
    one = repeats.Repeats(lambda: TERMS, clock, lambda: 1)
    at_first = one.left('desk')
    clock.now_s += TERMS.window_s
    assert one.left('desk') == pytest.approx(2 * at_first)


def test_services_do_not_share():
    clock = Clock()
    one = repeats.Repeats(lambda: TERMS, clock, lambda: 60)
    assert not one.take('desk')
    for _ in range(20):
        one.request('desk')
    assert one.take('desk')
    assert not one.take('models')
