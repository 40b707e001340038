"""Test how a keeper hands out the permits of a limited upstream."""

import itertools
import random

import pytest

from gentianstair.core import permit_keeper
from gentianstair.core import upstream_limits
from standins import limits

RUN = upstream_limits.UpstreamRun('i-1', 1000)
OTHER = upstream_limits.UpstreamRun('i-1', 2000)
VMS = 8


class Clock:
    """A clock that is set by hand."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def ask(rate_per_s, patience_s=0.0, run=RUN, last=False):
    return permit_keeper.Ask(run, rate_per_s, patience_s, last)


def play(
    rate_per_s, asked_per_s, length_s, patience_s=0.0, reach=1.0, last=False
):
    """Ask at random times; return when permits are used."""
    clock, rng = Clock(), random.Random(7)
    keeper = permit_keeper.PermitKeeper(clock)
    used_s = []
    while clock.now_s < 100.0 + length_s:
        clock.now_s += rng.expovariate(asked_per_s)
        grant = keeper.grant(
            ask(rate_per_s, patience_s, last=last), reach, VMS
        )
        if grant.is_granted:
            used_s.append(clock.now_s + grant.wait_s)
    return used_s


RATES = [0.5, 1.0, 3.0, 20.0]


@pytest.mark.parametrize('patience_s', [0.0, 0.5], ids=['now', 'patient'])
@pytest.mark.parametrize('rate_per_s', RATES)
def test_permits_keep_the_limit_and_use_it_in_full(rate_per_s, patience_s):
    length_s = 60.0
    used_s = play(rate_per_s, 10 * rate_per_s, length_s, patience_s)
    most = limits.most_in_window(used_s, from_s=0.0)
    kept = permit_keeper.KEPT_PERMITS + permit_keeper.KEPT_S * rate_per_s
    assert most <= rate_per_s * limits.WINDOW_S + kept + 1
    assert most <= limits.allowed(rate_per_s)
    assert len(used_s) >= 0.9 * rate_per_s * length_s


@pytest.mark.parametrize('rate_per_s', RATES)
def test_last_resort_gets_spare_permits_within_what_users_allow(rate_per_s):
    # Guards against rejections while the users' tolerance has room.
    length_s = 60.0
    used_s = play(rate_per_s, 10 * rate_per_s, length_s, 0.2, last=True)
    most = limits.most_in_window(used_s, from_s=0.0)
    # Permits used half a second late, and a second keeper for a second.
    late = 0.5 * (rate_per_s + permit_keeper.SPARE_RATE_PER_S)
    assert most + late + rate_per_s <= limits.allowed(rate_per_s) + 1
    spare = min(rate_per_s, permit_keeper.SPARE_RATE_PER_S)
    assert len(used_s) >= 0.85 * (rate_per_s + spare) * length_s


def test_new_keeper_has_no_spare_permits_for_a_window():
    # Guards against spare permits of two keepers in one window.
    used_s = play(1.0, 50.0, permit_keeper.NO_SPARE_S, last=True)
    assert len(used_s) <= permit_keeper.NO_SPARE_S


@pytest.mark.parametrize('rate_per_s', RATES)
def test_little_waiting_serves_load_below_the_limit(rate_per_s):
    # Guards against rejections while the limit has room.
    asked_per_s, length_s = 0.7 * rate_per_s, 200.0
    at_once = play(rate_per_s, asked_per_s, length_s)
    patient = play(rate_per_s, asked_per_s, length_s, 1.0 / rate_per_s)
    assert len(patient) > len(at_once)
    assert len(patient) >= 0.8 * asked_per_s * length_s


def test_parts_of_a_divided_fleet_share_the_limit():
    # Guards against a keeper in each part that hands out all of it.
    reaches = (0.7, 0.3)
    used_s = sorted(
        itertools.chain.from_iterable(
            play(5.0, 50.0, 30.0, reach=reach) for reach in reaches
        )
    )
    assert limits.most_in_window(used_s, 0.0) <= limits.allowed(5.0)
    assert len(used_s) >= 0.8 * 5.0 * 30.0


def test_new_keeper_has_no_permits_yet():
    # Guards against a burst at each change of the keeper.
    keeper = permit_keeper.PermitKeeper(Clock())
    assert not keeper.grant(ask(5.0), 1.0, VMS).is_granted


@pytest.mark.parametrize('rate_per_s', [0.0, 0.1, 0.3])
def test_end_of_a_low_limit_is_asked_for_within_what_users_allow(rate_per_s):
    # Guards against a limit whose end nobody notices.
    length_s, least_per_s = 100.0, permit_keeper.MIN_RATE_PER_S
    used_s = play(rate_per_s, 20.0, length_s, last=True)
    most = limits.most_in_window(used_s, from_s=0.0)
    # Permits used half a second late, and a second keeper for a second.
    late = 0.5 * (least_per_s + rate_per_s)
    assert most + late + least_per_s <= limits.allowed(rate_per_s) + 1
    assert len(used_s) >= 0.9 * least_per_s * length_s


def test_idle_time_gives_no_large_burst():
    clock = Clock()
    keeper = permit_keeper.PermitKeeper(clock)
    keeper.grant(ask(2.0), 1.0, VMS)
    clock.now_s += 600.0
    granted = [keeper.grant(ask(2.0), 1.0, VMS).is_granted for _ in range(9)]
    assert sum(granted) == 2


def test_restarted_upstream_has_permits_of_its_own():
    clock = Clock()
    keeper = permit_keeper.PermitKeeper(clock)
    keeper.grant(ask(2.0), 1.0, VMS)
    clock.now_s += 1.0
    assert keeper.grant(ask(2.0), 1.0, VMS).is_granted
    assert not keeper.grant(ask(2.0, run=OTHER), 1.0, VMS).is_granted


RETRIES = [
    pytest.param(0.5, 8, 2.0, id='few-vms-wait-for-the-next-permit'),
    pytest.param(50.0, 300, 3.0, id='many-vms-ask-less-often'),
    pytest.param(50.0, 3000, 5.0, id='at-most'),
]


@pytest.mark.parametrize(('rate_per_s', 'vms', 'retry_s'), RETRIES)
def test_denied_vms_ask_again_so_often_that_a_keeper_bears_it(
    rate_per_s, vms, retry_s
):
    keeper = permit_keeper.PermitKeeper(Clock())
    grant = keeper.grant(ask(rate_per_s), 1.0, vms)
    assert grant.retry_s == pytest.approx(retry_s)
