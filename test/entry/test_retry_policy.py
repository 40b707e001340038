"""Test retry budgets, backoff, hedging and ejection."""

import pytest

from gentianstair import errors
from gentianstair import verdict
from gentianstair.core import ejection
from gentianstair.entry import retry_policy

NOT_RUN = verdict.Verdict.NOT_RUN
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    ('found', 'repeatable', 'attempt', 'left_s', 'reason'),
    [
        (NOT_RUN, True, 1, 9.0, 'allowed'),
        (MAY_HAVE_RUN, True, 1, 9.0, 'allowed'),
        (NOT_RUN, False, 1, 9.0, 'allowed'),
        # A non-idempotent request that may have run is not retried.
        (MAY_HAVE_RUN, False, 1, 9.0, 'may-have-run'),
        (verdict.Verdict.RAN, False, 1, 9.0, 'may-have-run'),
        (NOT_RUN, True, retry_policy.MAX_ATTEMPTS, 9.0, 'attempts'),
        (NOT_RUN, True, 1, 0.0, 'deadline'),
    ],
)
def test_retry_only_if_safe_and_within_limits(
    found, repeatable, attempt, left_s, reason
):
    policy = retry_policy.make_retry_policy(1)
    error = errors.UpstreamError('x', found)
    choice = policy.decide(error, 'c', 'u', attempt, repeatable, left_s)
    assert choice.reason == reason


@pytest.mark.promise
def test_retry_budget_bounds_retries_in_an_outage():
    # Every attempt fails. With only a limit for each request, the load would
    # stay multiplied for the whole outage and its backlog.
    budget = retry_policy.RetryBudget()
    allowed = 0
    for number in range(10000):
        customer, upstream = f'c{number % 3}', f'u{number % 7}'
        budget.record_request(customer, upstream)
        for _ in range(4):
            allowed += budget.try_spend(customer, upstream)
    assert (
        allowed
        <= 10000 * retry_policy.RETRY_RATIO + 7 * retry_policy.MAX_RETRY_TOKENS
    )


def test_backoff_is_jittered_and_bounded():
    policy = retry_policy.make_retry_policy(1)
    waits = [policy.backoff_s(attempt) for attempt in range(20)]
    assert len(set(waits)) == len(waits)
    assert all(0 <= wait <= retry_policy.MAX_BACKOFF_S for wait in waits)


@pytest.mark.parametrize(
    ('idempotent', 'samples', 'hedged'),
    [(True, 100, True), (True, 5, False), (False, 100, False)],
)
def test_only_idempotent_calls_with_enough_samples_are_hedged(
    idempotent, samples, hedged
):
    hedges = retry_policy.HedgeDelays()
    for number in range(samples):
        hedges.record_latency('stock', 0.01 if number % 20 else 1.0)
    delay_s = hedges.delay_s('stock', idempotent)
    assert (delay_s is not None) == hedged


def make_ejector(names):
    ejector = ejection.Ejector(1)
    ejector.set_upstreams(set(names))
    for name in names:
        for _ in range(10):
            ejector.record_outcome(name, True, 1.0, 0.0)
    return ejector


def available(ejector, names, now_s):
    found = [name for name in names if ejector.is_available(name, now_s)]
    return ''.join(found)


@pytest.mark.parametrize(
    ('failing', 'latency_s', 'remaining'),
    [
        # One fails fast: it looks idle and would attract all new requests.
        ('a', 0.0, 'bcdefgh'),
        # Two of three failure domains are down.
        ('abcde', 0.0, 'fgh'),
        # All fail for a common cause; ejection would leave none.
        ('abcdefgh', 0.0, 'abcdefgh'),
        # Half time out under load: at most a quarter is ejected for
        # timeouts, or the rest would be overloaded in turn.
        ('abcd', 5.0, 'cdefgh'),
    ],
)
def test_ejection_leaves_enough_upstreams(failing, latency_s, remaining):
    names = 'abcdefgh'
    ejector = make_ejector(names)
    for step in range(20):
        for name in names:
            if name in failing:
                ejector.record_outcome(name, False, latency_s, step * 0.05)
            else:
                ejector.record_outcome(name, True, 1.0, step * 0.05)
    assert available(ejector, names, 1.0) == remaining


def test_unreachable_upstream_is_ejected_at_once():
    """A process is gone, but still listed for some seconds."""
    ejector = ejection.Ejector()
    for name in ('u1', 'u2', 'u3'):
        ejector.record_outcome(name, True, 0.1, 10.0)
    ejector.eject_unreachable('u1', 10.0)
    assert not ejector.is_available('u1', 10.5)
    later_s = 10.0 + 1.25 * ejection.UNREACHABLE_EJECTION_S
    assert ejector.is_available('u1', later_s)
    # One probe at a time; its success ends the ejection.
    ejector.record_start('u1', later_s)
    assert not ejector.is_available('u1', later_s)
    ejector.record_outcome('u1', True, 0.1, later_s + 0.1)
    assert ejector.is_available('u1', later_s + 0.1)


def test_ejected_upstream_gets_one_probe_at_a_time():
    # Otherwise all waiting requests would go to a recovering, cold engine.
    ejector = make_ejector('ab')
    for _ in range(3):
        ejector.record_outcome('a', False, 0.0, 1.0)
    assert available(ejector, 'ab', 1.1) == 'b'
    assert available(ejector, 'ab', 5.0) == 'ab'
    ejector.record_start('a', 5.0)
    assert available(ejector, 'ab', 5.1) == 'b'
    ejector.record_outcome('a', False, 0.0, 5.2)
    assert available(ejector, 'ab', 5.3) == 'b'
    ejector.record_start('a', 12.0)
    ejector.record_outcome('a', True, 1.0, 12.1)
    assert available(ejector, 'ab', 12.2) == 'ab'
