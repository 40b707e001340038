"""Test when a connection without a request is to end."""

import math

import pytest

from gentianstair.util import idle_timeout

KEEP_ALIVE_S = 75.0
REQUEST_WAIT_S = idle_timeout.REQUEST_WAIT_S
# Each step: what happens, and when.
SERVED = [('request_started', 1.0), ('response_sent', 3.0)]


def deadline_s(steps):
    found = idle_timeout.IdleTimeout(lambda: KEEP_ALIVE_S, 0.0)
    for step, at_s in steps:
        if step == 'request_started':
            found.request_started()
        else:
            getattr(found, step)(at_s)
    return found.deadline_s


@pytest.mark.parametrize(
    ('steps', 'wanted_s'),
    [
        ([], KEEP_ALIVE_S),
        (SERVED, 3.0 + KEEP_ALIVE_S),
        ([('request_started', 1.0)], math.inf),
        ([*SERVED, ('stop', 5.0)], 5.0),
        # After its time, before the reader came to end it.
        ([*SERVED, ('stop', 90.0)], 3.0 + KEEP_ALIVE_S),
        # Under a request the end waits for the answer.
        ([('request_started', 1.0), ('stop', 2.0)], math.inf),
        (
            [('request_started', 1.0), ('stop', 2.0), ('response_sent', 3.0)],
            3.0,
        ),
        # A new connection has a request on its way.
        ([('stop', 0.2)], REQUEST_WAIT_S),
        ([('stop', REQUEST_WAIT_S + 1)], REQUEST_WAIT_S + 1),
        # So has one on which bytes came at the end.
        (
            [*SERVED, ('stop', 5.0), ('expect_request', 5.0)],
            5.0 + REQUEST_WAIT_S,
        ),
        ([('request_started', 1.0), ('expect_request', 5.0)], math.inf),
        ([*SERVED, ('stop', 5.0), ('request_started', 5.1)], math.inf),
    ],
)
def test_a_connection_ends_only_between_requests(steps, wanted_s):
    # A request under way lost its connection.
    assert deadline_s(steps) == wanted_s


@pytest.mark.parametrize('now_s', [0.0, 74.9, 75.0, 80.0])
def test_it_is_over_from_its_end_on(now_s):
    found = idle_timeout.IdleTimeout(lambda: KEEP_ALIVE_S, 0.0)
    assert found.has_expired(now_s) == (now_s >= KEEP_ALIVE_S)


def test_a_wait_has_the_time_that_is_in_force():
    # Callers reuse a connection for as long as the newest limit lets them.
    times_s = [75.0, 120.0]
    found = idle_timeout.IdleTimeout(lambda: times_s[0], 0.0)
    del times_s[0]
    found.request_started()
    found.response_sent(3.0)
    assert found.deadline_s == 123.0
