"""Test the fit of prefill costs, also to misleading observations."""

import random

import pytest

from gentianstair.gateway import prefill_costs

# Coefficients: seconds of latency, for a thousand tokens, a million pairs.
ENGINES = [(0.132, 0.0239, 0.0007), (0.01, 0.1, 0.002), (0.3, 0.005, 0.0001)]


def prefills(rng, count):
    """Yield numbers of uncached and of all tokens, short prompts mostly."""
    for _ in range(count):
        if rng.random() < 0.7:
            yield rng.randrange(20, 600), 600
            continue
        own = int(rng.expovariate(1 / 3700)) + 10
        shared = int(rng.expovariate(1 / 13300))
        yield own + (shared if rng.random() < 0.4 else 0), own + shared


@pytest.mark.parametrize('engine', ENGINES)
@pytest.mark.parametrize('seed', [1, 2])
def test_fit_converges_despite_outliers(engine, seed):
    rng = random.Random(seed)
    costs = prefill_costs.PrefillCosts()
    for uncached, total in prefills(rng, 600):
        factors = prefill_costs.features(uncached, total)
        duration_s = sum(a * b for a, b in zip(engine, factors, strict=True))
        duration_s *= rng.uniform(0.95, 1.05)
        # One in ten waits in an unknown queue or misses the cache.
        if rng.random() < 0.1:
            duration_s += rng.uniform(0.2, 2.0)
        costs.record('s', 'prefill', uncached, total, duration_s)
    for uncached, total in ((300, 600), (3700, 17000), (17000, 17000)):
        factors = prefill_costs.features(uncached, total)
        true_s = sum(a * b for a, b in zip(engine, factors, strict=True))
        cost = costs.estimate('s', 'prefill', uncached, total)
        assert cost.latency_s + cost.work_s == pytest.approx(true_s, rel=0.25)


def test_decode_costs_default_to_twice_the_prefill_costs():
    costs = prefill_costs.PrefillCosts()
    for uncached, total in prefills(random.Random(3), 300):
        factors = prefill_costs.features(uncached, total)
        duration_s = sum(
            a * b for a, b in zip(ENGINES[0], factors, strict=True)
        )
        costs.record('s', 'prefill', uncached, total, duration_s)
    prefill = costs.estimate('s', 'prefill', 17000, 17000)
    decode = costs.estimate('s', 'decode', 17000, 17000)
    assert decode.work_s == pytest.approx(2 * prefill.work_s, rel=0.01)


def test_fit_follows_a_change_of_speed():
    """All replicas of a service are replaced by ones three times as fast."""
    rng = random.Random(4)
    costs = prefill_costs.PrefillCosts()
    for factor in (1.0, 1 / 3):
        for uncached, total in prefills(rng, 1500):
            factors = prefill_costs.features(uncached, total)
            duration_s = sum(
                a * b for a, b in zip(ENGINES[0], factors, strict=True)
            )
            costs.record('s', 'prefill', uncached, total, factor * duration_s)
    cost = costs.estimate('s', 'prefill', 17000, 17000)
    true_s = sum(
        a * b
        for a, b in zip(
            ENGINES[0], prefill_costs.features(17000, 17000), strict=True
        )
    )
    assert cost.latency_s + cost.work_s == pytest.approx(true_s / 3, rel=0.3)


def test_new_process_starts_from_the_best_fit_of_others():
    """Its first plans must not depend on the default coefficients."""
    old, new = prefill_costs.PrefillCosts(), prefill_costs.PrefillCosts()
    for uncached, total in prefills(random.Random(5), 300):
        factors = prefill_costs.features(uncached, total)
        duration_s = sum(
            a * b for a, b in zip(ENGINES[0], factors, strict=True)
        )
        old.record('s', 'prefill', uncached, total, duration_s)
    few = prefill_costs.FittedCosts('s', 'prefill', 2, (1.0, 1.0, 1.0))
    new.seed([*old.export(), few])
    for stage in ('prefill', 'decode'):
        expected = old.estimate('s', stage, 17000, 17000)
        assert new.estimate('s', stage, 17000, 17000) == pytest.approx(
            expected
        )
