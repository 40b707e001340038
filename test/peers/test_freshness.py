"""Test when a VM's configuration is recent enough to serve."""

import pytest

from gentianstair.peers import freshness

NOW_S = 100.0


@pytest.mark.promise
@pytest.mark.parametrize(
    'as_of_s, peer_as_of_s, reached_at_s, reached, voters, fresh',
    [
        # The view matched the store within 6 s, longer ago, or never.
        (94.5, None, None, 0, 8, True),
        (93.9, None, None, 0, 8, False),
        (None, None, None, 0, 8, False),
        # The store is silent; majority, half, minority, a single VM.
        (50.0, None, 98.0, 5, 8, True),
        (50.0, None, 98.0, 4, 8, False),
        (50.0, None, 98.0, 1, 8, False),
        (50.0, None, 98.0, 1, 1, True),
        # The count is too old, or the outage too long.
        (50.0, None, 93.0, 8, 8, False),
        (39.0, None, 98.0, 8, 8, False),
        # A VM that started during the outage, with a peer's view that
        # matched the store, without one, or with one too old.
        (None, 50.0, 98.0, 5, 8, True),
        (None, None, 98.0, 8, 8, False),
        (None, 39.0, 98.0, 8, 8, False),
    ],
    ids=[
        'recent view',
        'old view',
        'no view',
        'majority',
        'half',
        'minority',
        'single VM',
        'old count',
        'long outage',
        'started in outage',
        'no view of any peer',
        'started in long outage',
    ],
)
def test_stale_minority_is_not_fresh(
    as_of_s, peer_as_of_s, reached_at_s, reached, voters, fresh
):
    """A key revoked on one side of a partition works on the other.

    A VM may serve only if its view matched the store within 6 s, or if it
    reached a majority within 6 s in an outage of at most 60 s.
    """
    freshness_state = freshness.Freshness(lambda: NOW_S, 6.0, 60.0)
    if as_of_s is not None:
        freshness_state.record_store_view(as_of_s)
    if peer_as_of_s is not None:
        freshness_state.record_peer_view(peer_as_of_s)
    if reached_at_s is not None:
        freshness_state.record_reached(reached, reached_at_s)
    assert freshness_state.is_fresh(voters) is fresh


def test_older_records_do_not_replace_newer_ones():
    freshness_state = freshness.Freshness(lambda: NOW_S, 6.0, 60.0)
    assert freshness_state.record_store_view(99.0)
    assert not freshness_state.record_store_view(98.0)
    assert freshness_state.age_s() == 1.0
    assert freshness_state.record_reached(5, 99.0)
    assert not freshness_state.record_reached(8, 98.0)
    assert freshness_state.reached == 5
