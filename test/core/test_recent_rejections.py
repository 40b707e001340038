"""Test which upstreams count as turning requests away."""

import pytest

from gentianstair.core import recent_rejections
from gentianstair.core import upstream_limits

RUN = upstream_limits.UpstreamRun('i-1', 1000)
NEXT_START = upstream_limits.UpstreamRun('i-1', 2000)
BEGAN_S, REJECTED_S = 100.0, 101.0
LAPSED_S = REJECTED_S + recent_rejections.MAX_AGE_S

ROWS = [
    pytest.param(RUN, None, REJECTED_S, True, id='just-now'),
    pytest.param(RUN, None, LAPSED_S - 0.1, True, id='lately'),
    pytest.param(RUN, None, LAPSED_S, False, id='long-ago'),
    pytest.param(NEXT_START, None, REJECTED_S, False, id='another-start'),
    pytest.param(RUN, REJECTED_S + 0.1, REJECTED_S, False, id='served-since'),
    pytest.param(RUN, BEGAN_S, REJECTED_S, True, id='served-before'),
]


@pytest.mark.parametrize(('run', 'sent_s', 'now_s', 'expected'), ROWS)
def test_rejection_counts_until_its_upstream_serves(
    run, sent_s, now_s, expected
):
    times_s = [REJECTED_S]
    rejections = recent_rejections.RecentRejections(lambda: times_s[0])
    rejections.record_rejection(RUN)
    if sent_s is not None:
        rejections.record_served(RUN, sent_s)
    times_s[0] = now_s
    assert rejections.is_rejecting(run) is expected


def after(answers, later_s):
    """Return what is known so long after rejections (r) and served ones."""
    times_s = [REJECTED_S]
    rejections = recent_rejections.RecentRejections(lambda: times_s[0])
    for answer in answers:
        times_s[0] += 0.01
        if answer == 'r':
            rejections.record_rejection(RUN)
        else:
            rejections.record_served(RUN, times_s[0])
    times_s[0] += later_s
    return rejections


@pytest.mark.parametrize(
    ('answers', 'later_s', 'expected'),
    [
        ('', 0.0, False),
        ('r', 0.0, False),
        ('rr', 0.0, True),
        ('srr', 0.0, True),
        ('rsr', 0.0, False),
        ('rrs', 0.0, False),
        ('rr', recent_rejections.MAX_AGE_S, False),
    ],
    ids=[
        'unknown',
        'once',
        'all',
        'served-before',
        'some',
        'serves-again',
        'long-ago',
    ],
)
def test_upstream_rejects_all_until_it_serves(answers, later_s, expected):
    # Guards against a busy upstream that is taken for one that serves nobody.
    rejections = after(answers, later_s)
    assert rejections.is_rejecting_all(RUN) is expected
    assert not rejections.is_rejecting_all(NEXT_START)


@pytest.mark.parametrize(
    ('answers', 'later_s', 'least', 'most'),
    [
        ('', 0.0, 0.0, 0.0),
        ('r', 0.0, 0.35, 0.45),
        ('rrrrrr', 0.0, 0.9, 1.0),
        ('rrrrrrs', 0.0, 0.5, 0.6),
        ('rrrrrrsssss', 0.0, 0.0, 0.1),
        ('sssss', 0.0, 0.0, 0.0),
        ('rrrrrr', 10.0, 0.0, 0.1),
    ],
    ids=[
        'unknown',
        'once',
        'all',
        'served-once-since',
        'serves-again',
        'serves',
        'long-ago',
    ],
)
def test_share_follows_what_an_upstream_answered_lately(
    answers, later_s, least, most
):
    # Guards against an upstream that is chosen first as often while it turns
    # all away, or never again once it serves.
    rejections = after(answers, later_s)
    assert least <= rejections.share(RUN) <= most
    assert rejections.share(NEXT_START) == 0.0


def test_upstreams_that_are_gone_are_forgotten():
    # Guards against memory that grows with each start of a replica.
    times_s = [0.0]
    rejections = recent_rejections.RecentRejections(lambda: times_s[0])
    for number in range(1000):
        times_s[0] += 0.1
        rejections.record_rejection(upstream_limits.UpstreamRun('i-1', number))
    assert len(rejections._rejected) <= recent_rejections.MAX_AGE_S / 0.1 + 1
    assert len(rejections._shares) < 200
