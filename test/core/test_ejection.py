"""Test which upstreams are ejected against a look at each of them."""

import random

import pytest

from gentianstair.core import ejection

NAMES = [f'models/i-{number}' for number in range(12)]


@pytest.mark.parametrize('seed', range(6))
def test_set_of_ejected_upstreams_matches_a_look_at_each(seed):
    # Guards against requests to a replica that is ejected, or that are kept
    # from one that is not.
    rng = random.Random(seed)
    ejector = ejection.Ejector(seed)
    now_s, ejected_once = 0.0, set()
    failing = set(rng.sample(NAMES, 3))
    for _ in range(600):
        now_s += rng.uniform(0, 0.1)
        name = rng.choice(NAMES)
        if rng.random() < 0.02:
            ejector.eject_unreachable(name, now_s)
        elif rng.random() < 0.01:
            ejector.set_upstreams(set(NAMES) - {name})
        else:
            ejector.record_start(name, now_s)
            ejector.record_outcome(name, name not in failing, 0.1, now_s)
        found = ejector.unavailable(now_s)
        ejected_once |= found
        assert found == {
            each for each in NAMES if not ejector.is_available(each, now_s)
        }
    assert ejected_once


@pytest.mark.parametrize('is_success', [True, False])
def test_attempt_during_an_ejection_does_not_hold_back_the_probe(is_success):
    # Guards against healthy upstreams that are passed over for seconds after
    # all of them could not be reached for a moment.
    ejector = ejection.Ejector()
    ejector.set_upstreams(set(NAMES))
    for name in NAMES:
        ejector.eject_unreachable(name, 0.0)
    # Ejections are ignored while nearly all are ejected.
    for name in NAMES:
        assert ejector.is_available(name, 0.1)
        ejector.record_start(name, 0.1)
    first, *others = NAMES
    for name in others:
        ejector.record_outcome(name, True, 0.1, 0.2)
    ejector.record_outcome(first, is_success, 0.1, 0.3)
    assert ejector.unavailable(0.4) <= {first, *others}
    late_s = 2 * ejection.UNREACHABLE_EJECTION_S
    assert ejector.unavailable(late_s) == set()
