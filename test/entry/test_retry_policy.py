"""Test retry budgets, backoff, hedging and ejection."""

import pytest

from gentianstair import errors
from gentianstair import verdict
from gentianstair.core import ejection
from gentianstair.entry import retry_policy

NOT_RUN = verdict.Verdict.NOT_RUN
MAY = verdict.Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize(
    ('found', 'repeatable', 'attempt', 'left_s', 'reason'),
    [
        (NOT_RUN, True, 1, 9.0, 'allowed'),
        (MAY, True, 1, 9.0, 'allowed'),
        (NOT_RUN, False, 1, 9.0, 'allowed'),
        # A registration that may have run is never sent again.
        (MAY, False, 1, 9.0, 'may-have-run'),
        (verdict.Verdict.RAN, False, 1, 9.0, 'may-have-run'),
        (NOT_RUN, True, retry_policy.MAX_ATTEMPTS, 9.0, 'attempts'),
        (NOT_RUN, True, 1, 0.0, 'deadline'),
    ],
)
def test_choice(found, repeatable, attempt, left_s, reason):
    policy = retry_policy.make_retry_policy(1)
    error = errors.UpstreamError('x', found)
    choice = policy.decide(error, 'c', 'u', attempt, repeatable, left_s)
    assert choice.reason == reason


@pytest.mark.promise
def test_storm_dies_out():
    # Every try fails for long. With a fixed number of retries a request,
    # the load stays multiplied for as long as the outage and its backlog
    # last, which can be for ever.
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
    ('idempotent', 'known', 'hedged'),
    [(True, 100, True), (True, 5, False), (False, 100, False)],
)
def test_only_known_idempotent_calls_are_hedged(idempotent, known, hedged):
    hedges = retry_policy.HedgeDelays()
    for number in range(known):
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


def usable(ejector, names, now_s):
    found = [name for name in names if ejector.is_available(name, now_s)]
    return ''.join(found)


@pytest.mark.parametrize(
    ('bad', 'latency_s', 'left'),
    [
        # One fails at once: it has nothing running, looks idle and would
        # draw all new work.
        ('a', 0.0, 'bcdefgh'),
        # Two failure domains of three are gone.
        ('abcde', 0.0, 'fgh'),
        # All fail: the cause is common, and ejection would leave nobody.
        ('abcdefgh', 0.0, 'abcdefgh'),
        # Half time out under load: at most a quarter may go for that, or
        # the rest would be overloaded one after the other.
        ('abcd', 5.0, 'cdefgh'),
    ],
)
def test_who_is_ejected(bad, latency_s, left):
    names = 'abcdefgh'
    ejector = make_ejector(names)
    for step in range(20):
        for name in names:
            if name in bad:
                ejector.record_outcome(name, False, latency_s, step * 0.05)
            else:
                ejector.record_outcome(name, True, 1.0, step * 0.05)
    assert usable(ejector, names, 1.0) == left


def test_an_upstream_without_connections_is_out_at_once():
    """A process is gone, and its entry stays for some seconds."""
    ejector = ejection.Ejector()
    for name in ('u1', 'u2', 'u3'):
        ejector.record_outcome(name, True, 0.1, 10.0)
    ejector.eject_unreachable('u1', 10.0)
    assert not ejector.is_available('u1', 10.5)
    later_s = 10.0 + 1.25 * ejection.UNREACHABLE_EJECTION_S
    assert ejector.is_available('u1', later_s)
    # One probe at a time, and its success brings it back.
    ejector.record_start('u1', later_s)
    assert not ejector.is_available('u1', later_s)
    ejector.record_outcome('u1', True, 0.1, later_s + 0.1)
    assert ejector.is_available('u1', later_s + 0.1)


def test_half_open_return_takes_one_probe():
    # An ejected engine is back. Let in at once, all waiting work would fall
    # on it while it is cold; one probe decides.
    ejector = make_ejector('ab')
    for _ in range(3):
        ejector.record_outcome('a', False, 0.0, 1.0)
    assert usable(ejector, 'ab', 1.1) == 'b'
    assert usable(ejector, 'ab', 5.0) == 'ab'
    ejector.record_start('a', 5.0)
    assert usable(ejector, 'ab', 5.1) == 'b'
    ejector.record_outcome('a', False, 0.0, 5.2)
    assert usable(ejector, 'ab', 5.3) == 'b'
    ejector.record_start('a', 12.0)
    ejector.record_outcome('a', True, 1.0, 12.1)
    assert usable(ejector, 'ab', 12.2) == 'ab'
