"""Test when a connection without a request is to end."""

import math

import pytest

from gentianstair.util import idleness

KEEP_ALIVE_S = 75.0
ARRIVAL_S = idleness.ARRIVAL_S
# Each step: what happens, and when.
SERVED = [('begin', 1.0), ('rest', 3.0)]


def end_s(steps):
    found = idleness.Idleness(lambda: KEEP_ALIVE_S, 0.0)
    for step, at_s in steps:
        if step == 'begin':
            found.begin()
        else:
            getattr(found, step)(at_s)
    return found.end_s


@pytest.mark.parametrize(
    ('steps', 'wanted_s'),
    [
        ([], KEEP_ALIVE_S),
        (SERVED, 3.0 + KEEP_ALIVE_S),
        ([('begin', 1.0)], math.inf),
        ([*SERVED, ('stop', 5.0)], 5.0),
        # After its time, before the reader came to end it.
        ([*SERVED, ('stop', 90.0)], 3.0 + KEEP_ALIVE_S),
        # Under a request the end waits for the answer.
        ([('begin', 1.0), ('stop', 2.0)], math.inf),
        ([('begin', 1.0), ('stop', 2.0), ('rest', 3.0)], 3.0),
        # A new connection has a request on its way.
        ([('stop', 0.2)], ARRIVAL_S),
        ([('stop', ARRIVAL_S + 1)], ARRIVAL_S + 1),
        # So has one on which bytes came at the end.
        ([*SERVED, ('stop', 5.0), ('wait_arrival', 5.0)], 5.0 + ARRIVAL_S),
        ([('begin', 1.0), ('wait_arrival', 5.0)], math.inf),
        ([*SERVED, ('stop', 5.0), ('begin', 5.1)], math.inf),
    ],
)
def test_a_connection_ends_only_between_requests(steps, wanted_s):
    # A request under way lost its connection.
    assert end_s(steps) == wanted_s


@pytest.mark.parametrize('now_s', [0.0, 74.9, 75.0, 80.0])
def test_it_is_over_from_its_end_on(now_s):
    found = idleness.Idleness(lambda: KEEP_ALIVE_S, 0.0)
    assert found.is_over(now_s) == (now_s >= KEEP_ALIVE_S)


def test_a_wait_has_the_time_that_is_in_force():
    # Callers reuse a connection for as long as the newest limit lets them.
    times_s = [75.0, 120.0]
    found = idleness.Idleness(lambda: times_s[0], 0.0)
    del times_s[0]
    found.begin()
    found.rest(3.0)
    assert found.end_s == 123.0
