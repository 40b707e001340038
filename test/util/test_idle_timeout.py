"""Test when an idle connection is closed."""

import math

import pytest

from gentianstair.util import idle_timeout

KEEP_ALIVE_S = 75.0
REQUEST_WAIT_S = idle_timeout.REQUEST_WAIT_S
# The steps of one request, each with its time in seconds.
SERVED = [('request_started', 1.0), ('response_sent', 3.0)]


def deadline_s(steps):
    timeout = idle_timeout.IdleTimeout(lambda: KEEP_ALIVE_S, 0.0)
    for step, at_s in steps:
        if step == 'request_started':
            timeout.request_started()
        else:
            getattr(timeout, step)(at_s)
    return timeout.deadline_s


@pytest.mark.parametrize(
    ('steps', 'expected_s'),
    [
        ([], KEEP_ALIVE_S),
        (SERVED, 3.0 + KEEP_ALIVE_S),
        ([('request_started', 1.0)], math.inf),
        ([*SERVED, ('stop', 5.0)], 5.0),
        # A stop after the deadline, before the reader has closed it.
        ([*SERVED, ('stop', 90.0)], 3.0 + KEEP_ALIVE_S),
        # With a request in flight the close waits for the response.
        ([('request_started', 1.0), ('stop', 2.0)], math.inf),
        (
            [('request_started', 1.0), ('stop', 2.0), ('response_sent', 3.0)],
            3.0,
        ),
        # A new connection is given time for its first request.
        ([('stop', 0.2)], REQUEST_WAIT_S),
        ([('stop', REQUEST_WAIT_S + 1)], REQUEST_WAIT_S + 1),
        # So is one on which data arrived at the deadline.
        (
            [*SERVED, ('stop', 5.0), ('expect_request', 5.0)],
            5.0 + REQUEST_WAIT_S,
        ),
        ([('request_started', 1.0), ('expect_request', 5.0)], math.inf),
        ([*SERVED, ('stop', 5.0), ('request_started', 5.1)], math.inf),
    ],
)
def test_deadline_does_not_interrupt_a_request(steps, expected_s):
    # Guards against closing a connection with a request in flight.
    assert deadline_s(steps) == expected_s


@pytest.mark.parametrize('now_s', [0.0, 74.9, 75.0, 80.0])
def test_timeout_expires_at_its_deadline(now_s):
    timeout = idle_timeout.IdleTimeout(lambda: KEEP_ALIVE_S, 0.0)
    assert timeout.has_expired(now_s) == (now_s >= KEEP_ALIVE_S)


def test_idle_period_uses_the_current_keep_alive_time():
    # Guards against keeping the time from when the connection was opened.
    times_s = [75.0, 120.0]
    timeout = idle_timeout.IdleTimeout(lambda: times_s[0], 0.0)
    del times_s[0]
    timeout.request_started()
    timeout.response_sent(3.0)
    assert timeout.deadline_s == 123.0
