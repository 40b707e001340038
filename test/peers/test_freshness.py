"""Test the rule that decides whether a VM may serve."""

import pytest

from gentianstair.peers import freshness

NOW_S = 100.0


@pytest.mark.promise
@pytest.mark.parametrize(
    'news_s, outage_s, count_s, reached, known, fresh',
    [
        # News from the store, with and without a count.
        (94.5, None, None, 0, 8, True),
        (93.9, None, None, 0, 8, False),
        (None, None, None, 0, 8, False),
        # The store is silent; a majority, just half, a minority.
        (50.0, None, 98.0, 5, 8, True),
        (50.0, None, 98.0, 4, 8, False),
        (50.0, None, 98.0, 1, 8, False),
        (50.0, None, 98.0, 1, 1, True),
        # The count is too old, or the outage too long.
        (50.0, None, 93.0, 8, 8, False),
        (39.0, None, 98.0, 8, 8, False),
        # A VM that came during the outage: peers vouch for its view, or
        # nobody does.
        (None, 50.0, 98.0, 5, 8, True),
        (None, None, 98.0, 8, 8, False),
        (None, 39.0, 98.0, 8, 8, False),
    ],
)
def test_rule(news_s, outage_s, count_s, reached, known, fresh):
    """A key is revoked on one side of a partition and works on the other.

    Only news of the last 6 s, or a majority counted in the last 6 s during
    an outage of at most 60 s, let a VM serve.
    """
    freshness_state = freshness.Freshness(lambda: NOW_S, 6.0, 60.0)
    if news_s is not None:
        freshness_state.record_store_view(news_s)
    if outage_s is not None:
        freshness_state.record_peer_view(outage_s)
    if count_s is not None:
        freshness_state.record_reached(reached, count_s)
    assert freshness_state.is_fresh(known) is fresh


def test_older_news_change_nothing():
    freshness_state = freshness.Freshness(lambda: NOW_S, 6.0, 60.0)
    assert freshness_state.record_store_view(99.0)
    assert not freshness_state.record_store_view(98.0)
    assert freshness_state.age_s() == 1.0
    assert freshness_state.record_reached(5, 99.0)
    assert not freshness_state.record_reached(8, 98.0)
    assert freshness_state.reached == 5
