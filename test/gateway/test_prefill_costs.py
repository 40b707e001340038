"""Test that the cost of reads is learned, also from misleading reads."""

import random

import pytest

from gentianstair.gateway import prefill_costs

# Seconds to the first token, a thousand tokens, a million pairs.
ENGINES = [(0.132, 0.0239, 0.0007), (0.01, 0.1, 0.002), (0.3, 0.005, 0.0001)]


def reads(chance, count):
    """Return pairs of unread and all tokens, short ones mostly."""
    for _ in range(count):
        if chance.random() < 0.7:
            yield chance.randrange(20, 600), 600
            continue
        own = int(chance.expovariate(1 / 3700)) + 10
        shared = int(chance.expovariate(1 / 13300))
        yield own + (shared if chance.random() < 0.4 else 0), own + shared


@pytest.mark.parametrize('engine', ENGINES)
@pytest.mark.parametrize('seed', [1, 2])
def test_figures_are_learned(engine, seed):
    chance = random.Random(seed)
    costs = prefill_costs.PrefillCosts()
    for unread, total in reads(chance, 600):
        found = prefill_costs.features(unread, total)
        took_s = sum(a * b for a, b in zip(engine, found, strict=True))
        took_s *= chance.uniform(0.95, 1.05)
        # One in ten waited unseen, or found what was believed kept gone.
        if chance.random() < 0.1:
            took_s += chance.uniform(0.2, 2.0)
        costs.record('s', 'prefill', unread, total, took_s)
    for unread, total in ((300, 600), (3700, 17000), (17000, 17000)):
        found = prefill_costs.features(unread, total)
        real_s = sum(a * b for a, b in zip(engine, found, strict=True))
        cost = costs.estimate('s', 'prefill', unread, total)
        assert cost.latency_s + cost.work_s == pytest.approx(real_s, rel=0.25)


def test_makers_are_taken_for_half_as_fast_until_one_has_read():
    costs = prefill_costs.PrefillCosts()
    for unread, total in reads(random.Random(3), 300):
        found = prefill_costs.features(unread, total)
        took_s = sum(a * b for a, b in zip(ENGINES[0], found, strict=True))
        costs.record('s', 'prefill', unread, total, took_s)
    reader = costs.estimate('s', 'prefill', 17000, 17000)
    maker = costs.estimate('s', 'decode', 17000, 17000)
    assert maker.work_s == pytest.approx(2 * reader.work_s, rel=0.01)


def test_a_change_of_speed_is_learned():
    """All replicas of a service are replaced by ones three times as fast."""
    chance = random.Random(4)
    costs = prefill_costs.PrefillCosts()
    for times in (1.0, 1 / 3):
        for unread, total in reads(chance, 1500):
            found = prefill_costs.features(unread, total)
            took_s = sum(a * b for a, b in zip(ENGINES[0], found, strict=True))
            costs.record('s', 'prefill', unread, total, times * took_s)
    cost = costs.estimate('s', 'prefill', 17000, 17000)
    real = sum(
        a * b
        for a, b in zip(
            ENGINES[0], prefill_costs.features(17000, 17000), strict=True
        )
    )
    assert cost.latency_s + cost.work_s == pytest.approx(real / 3, rel=0.3)


def test_a_new_process_goes_on_with_what_others_learned():
    """All VMs lost power; their first plans were off by half a second."""
    old, new = prefill_costs.PrefillCosts(), prefill_costs.PrefillCosts()
    for unread, total in reads(random.Random(5), 300):
        found = prefill_costs.features(unread, total)
        took_s = sum(a * b for a, b in zip(ENGINES[0], found, strict=True))
        old.record('s', 'prefill', unread, total, took_s)
    few = prefill_costs.FittedCosts('s', 'prefill', 2, (1.0, 1.0, 1.0))
    new.seed([*old.export(), few])
    for stage in ('prefill', 'decode'):
        wanted = old.estimate('s', stage, 17000, 17000)
        assert new.estimate('s', stage, 17000, 17000) == pytest.approx(wanted)
