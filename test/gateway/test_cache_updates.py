"""Test what VMs tell each other of the replicas' caches."""

import pytest

from gentianstair import errors
from gentianstair.gateway import cache_updates
from gentianstair.gateway import calls
from gentianstair.gateway import change_log
from gentianstair.gateway import leaf_feed
from gentianstair.gateway import prefix_index

PART = calls.PromptPart('c0de', 9000)
PROMPT = calls.Prompt('m', 9100, 10, (PART, calls.PromptPart('b0b', 100)))


def change(number, tokens, part='c0de'):
    return cache_updates.Change('i-1', part, number, tokens)


@pytest.fixture
def news():
    return cache_updates.CacheUpdates(prefix_index.PrefixIndex())


@pytest.mark.parametrize(
    ('changes', 'unread_tokens'),
    [
        ([], 9100),
        ([change(1, 9000)], 100),
        ([change(1, 9000), change(2, 0)], 9100),
        # The slower of two followers tells of what is gone by now.
        ([change(1, 9000), change(2, 0), change(1, 9000)], 9100),
        ([change(2, 0), change(1, 9000)], 100),
    ],
)
def test_what_is_believed(news, changes, unread_tokens):
    cache = prefix_index.PrefixIndex()
    news = cache_updates.CacheUpdates(cache)
    for found in changes:
        news.heard(found, passed_on=True)
    assert cache.uncached_tokens('i-1', PROMPT) == unread_tokens


def test_short_parts_are_not_told(news):
    news.heard(change(1, 40, 'tiny'), passed_on=True)
    news.heard(change(2, 9000), passed_on=True)
    told = [found.part for _, found in news.mine.since(0)]
    assert told == ['c0de']


def test_what_hubs_told_is_told_to_leaves_only(news):
    news.heard(change(1, 9000), passed_on=False)
    assert news.mine.since(0) == []
    assert [found.number for _, found in news.known.since(0)] == [1]


def test_a_replica_that_started_again_begins_anew(news):
    news.heard(change(7, 9000), passed_on=True)
    news.forget('i-1')
    assert news.known.since(0) == []
    news.heard(change(1, 9000), passed_on=True)
    assert len(news.known.since(0)) == 1


@pytest.mark.parametrize(
    'row', [[], ['i-1'], ['i-1', 'c0de', 'first', 9000], ['i-1', 'c', 1, None]]
)
def test_rows_that_make_no_sense_are_refused(news, row):
    """A peer of another version, or with a fault, tells something else."""
    with pytest.raises(errors.DecodeError):
        news.take([row], passed_on=True)


@pytest.mark.parametrize('row', [[], ['vm'], ['vm', 'a', 'b', 'c']])
def test_a_hub_that_makes_no_sense_is_refused(row):
    with pytest.raises(errors.DecodeError):
        leaf_feed.decode_hub(row)


def test_a_reader_far_behind_gets_the_newest():
    log = change_log.ChangeLog(most=3)
    for number in range(10):
        log.put(number, number)
    assert [key for key, _ in log.since(0)] == [7, 8, 9]
    assert log.since(log.position) == []
