"""Test what a VM knows of the limits that upstreams name."""

import httpx
import pytest

from gentianstair import errors
from gentianstair.core import upstream_limits
from gentianstair.platform import http_codec

RUN = upstream_limits.UpstreamRun('i-1', 1000)
RESTARTED = upstream_limits.UpstreamRun('i-1', 2000)


class Clock:
    """A clock that is set by hand."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def answer(rate_per_s, sent_s, received_s=None, was_taken=True):
    return upstream_limits.Answer(
        rate_per_s, sent_s, received_s or sent_s + 0.1, was_taken
    )


ANSWERS = [
    pytest.param([answer(2.0, 1)], 2.0, id='named'),
    pytest.param([answer(2.0, 1), answer(0.5, 2)], 0.5, id='changed'),
    pytest.param([answer(2.0, 1), answer(None, 2)], None, id='ended'),
    pytest.param(
        [answer(2.0, 1.5), answer(None, 1, 3)], 2.0, id='begun-before'
    ),
    pytest.param(
        [answer(2.0, 1), answer(None, 2, was_taken=False)],
        2.0,
        id='rejection-without-it',
    ),
    pytest.param(
        [answer(2.0, 1, was_taken=False)], 2.0, id='rejection-with-it'
    ),
    pytest.param([answer(0.0, 1)], 0.0, id='none-at-all'),
    pytest.param([answer(None, 1)], None, id='never-named'),
]


@pytest.mark.parametrize(('answers', 'rate_per_s'), ANSWERS)
def test_newest_answer_counts_and_a_limit_holds_in_doubt(answers, rate_per_s):
    known = upstream_limits.UpstreamLimits(Clock())
    for one in answers:
        known.record(RUN, one)
    assert known.rate_per_s(RUN) == rate_per_s
    assert known.rate_per_s(RESTARTED) is None


ROWS = [
    pytest.param([answer(2.0, 95)], [], 2.0, id='own-answer-only'),
    pytest.param([], [['i-1', 1000, 2.0, 50]], 2.0, id='told-by-a-peer'),
    pytest.param(
        [answer(2.0, 90)],
        [['i-1', 1000, -1.0, 5000]],
        None,
        id='told-it-ended',
    ),
    pytest.param(
        [answer(2.0, 95)], [['i-1', 1000, -1.0, 4700]], 2.0, id='ended-before'
    ),
    pytest.param(
        [answer(2.0, 95)], [['i-1', 1000, 1.0, 9000]], 2.0, id='older-limit'
    ),
]


@pytest.mark.parametrize(('answers', 'rows', 'rate_per_s'), ROWS)
def test_peers_tell_what_is_newer(answers, rows, rate_per_s):
    known = upstream_limits.UpstreamLimits(Clock())
    for one in answers:
        known.record(RUN, one)
    known.apply_rows(rows, 'peer')
    assert known.rate_per_s(RUN) == rate_per_s


def test_rows_reach_a_peer_once():
    clock = Clock()
    teller = upstream_limits.UpstreamLimits(clock)
    hearer = upstream_limits.UpstreamLimits(clock)
    teller.record(RUN, answer(3.0, 99))
    hearer.apply_rows(teller.rows_since(0, to_hubs=True), 'peer')
    assert hearer.rate_per_s(RUN) == 3.0
    assert teller.rows_since(teller.hub_log.position, True) == []
    assert hearer.rows_since(0, to_hubs=True) == []
    assert len(hearer.rows_since(0, to_hubs=False)) == 1


@pytest.mark.parametrize(
    'row',
    [['i-1'], ['i-1', 'x', 1.0, 0], ['i-1', 1, -2.0, 0], ['i-1', 1, 1.0, '']],
    ids=['short', 'start', 'rate', 'age'],
)
def test_unreadable_row_is_an_error(row):
    known = upstream_limits.UpstreamLimits(Clock())
    with pytest.raises(errors.DecodeError):
        known.apply_rows([row], 'peer')


GONE = [
    pytest.param(60, {RESTARTED}, None, id='gone'),
    pytest.param(60, {RUN}, 3.0, id='listed'),
    pytest.param(5, set(), 3.0, id='not-listed-yet'),
]


@pytest.mark.parametrize(('after_s', 'listed', 'rate_per_s'), GONE)
def test_limit_of_a_replica_that_is_gone_is_forgotten(
    after_s, listed, rate_per_s
):
    clock = Clock()
    known = upstream_limits.UpstreamLimits(clock)
    known.record(RUN, answer(3.0, 99))
    clock.now_s += after_s
    known.forget_others(listed)
    assert known.rate_per_s(RUN) == rate_per_s
    assert bool(known.rows_since(0, to_hubs=True)) == (rate_per_s is not None)


HEADERS = [
    pytest.param([], None, id='none'),
    pytest.param(['0.5'], 0.5, id='fraction'),
    pytest.param(['0'], 0.0, id='zero'),
    pytest.param([' 3 '], 3.0, id='spaces'),
]


@pytest.mark.parametrize(('values', 'rate_per_s'), HEADERS)
def test_limit_is_read_from_an_answer(values, rate_per_s):
    headers = [('Server-Limit', value) for value in values]
    response = httpx.Response(200, headers=headers)
    assert http_codec.named_limit(response) == rate_per_s


@pytest.mark.parametrize(
    'values',
    [['-1'], ['nan'], ['inf'], ['many'], [''], ['1e300'], ['1', '1']],
    ids=['negative', 'nan', 'inf', 'text', 'empty', 'huge', 'twice'],
)
def test_odd_limit_limits_nothing(values):
    headers = [('server-limit', value) for value in values]
    with pytest.raises(errors.DecodeError):
        http_codec.named_limit(httpx.Response(200, headers=headers))
