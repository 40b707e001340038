"""Test that each checker rejects a planted bad history."""

import pytest

from standins import checkers
from standins import history

ORDER = {
    'epoch': 2,
    'order_number': 3,
    'holder': 'a',
    'type': 'set_role',
    'argument': 'mixed',
    'applied': True,
}
REPORT = {'window': 1, 'rows': [1], 'late': [], 'epoch': 4, 'holder': 'a'}
UPSTREAM = {'token': 's-2', 'epoch': 4, 'count': 1, 'repeat': False}
ANSWER = {
    'request_id': 'r',
    'verdict': 'RAN',
    'text': 'w0 w1 ',
    'expected': 'w0 w1 ',
    'ending': 'whole',
}


def lease(holder, epoch):
    value = {'holder': holder, 'epoch': epoch}
    return 'put', {'kind': 'lease', 'name': 's', 'value': value}


def revoked(bound_s):
    return lambda events: checkers.check_revoked_keys(events, bound_s)


def unseen(events):
    return checkers.check_keys_unseen(events, ['sk-planted'])


CASES = [
    # checker, a good history, what makes it bad
    (
        checkers.check_conflicting_orders,
        [('order', ORDER), ('order', ORDER)],
        ('order', {**ORDER, 'argument': 'decode'}),
    ),
    (
        checkers.check_conflicting_orders,
        [('order', ORDER), ('order', {**ORDER, 'order_number': 4})],
        ('order', {**ORDER, 'order_number': 5, 'epoch': 1}),
    ),
    (
        checkers.check_stale_orders,
        [lease('a', 2), ('order', ORDER), lease('b', 5)],
        ('order', ORDER),
    ),
    (
        checkers.check_stale_orders,
        [lease('a', 2), ('order', ORDER)],
        ('order', {**ORDER, 'holder': 'c'}),
    ),
    (
        checkers.check_upstream_orders,
        [('upstream-order', UPSTREAM), ('upstream-order', UPSTREAM)],
        ('upstream-order', {**UPSTREAM, 'count': 2}),
    ),
    (
        checkers.check_upstream_orders,
        [('upstream-order', UPSTREAM)],
        ('upstream-order', {**UPSTREAM, 'token': 's-3', 'epoch': 3}),
    ),
    (
        checkers.check_double_reports,
        [('usage-report', REPORT), ('usage-report', REPORT)],
        ('usage-report', {**REPORT, 'rows': [2]}),
    ),
    (
        checkers.check_double_reports,
        [('usage-report', REPORT)],
        ('usage-report', {**REPORT, 'window': 2, 'epoch': 3}),
    ),
    (
        checkers.check_duplicate_runs,
        [('run', {'request_id': 'r', 'idempotency_key': 'k'})],
        ('run', {'request_id': 'q', 'idempotency_key': 'k'}),
    ),
    (
        checkers.check_not_run,
        [('answer', {**ANSWER, 'verdict': 'NOT_RUN'})],
        ('run', {'request_id': 'r'}),
    ),
    (
        checkers.check_answers,
        [('answer', ANSWER)],
        ('answer', {**ANSWER, 'text': 'w0 '}),
    ),
    (
        checkers.check_answers,
        [('answer', {**ANSWER, 'text': 'w0 ', 'ending': 'error'})],
        ('answer', {**ANSWER, 'text': 'v0 v1 '}),
    ),
    (
        revoked(0.5),
        [
            ('call', {'request_id': 'r', 'key_label': 'l'}),
            ('key_revoked', {'key_label': 'l'}),
        ],
        ('request_started', {'request_id': 'r'}),
    ),
    (
        unseen,
        [('run', {'request_id': 'r', 'headers': {}})],
        ('run', {'request_id': 'r', 'headers': {'x': 'sk-planted'}}),
    ),
]


@pytest.mark.promise
@pytest.mark.parametrize(('check', 'good', 'bad'), CASES)
def test_checker_takes_good_and_rejects_bad(check, good, bad):
    events = [
        history.Event(float(i), 'source', type_, data)
        for i, (type_, data) in enumerate([*good, bad])
    ]
    assert check(events[:-1]) == []
    assert check(events) != []
