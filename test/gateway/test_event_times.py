"""Test what is known of the times at which a caller got events."""

import pytest

from gentianstair.gateway import event_times


@pytest.mark.parametrize(
    ('sent_s', 'expected_s'),
    [([], 0.0), ([1.0], 0.0), ([1.0, 1.2, 1.7, 1.8], 0.5)],
    ids=['no-event', 'one', 'several'],
)
def test_longest_pause_is_between_two_events(sent_s, expected_s):
    times_s = [0.4]
    events = event_times.EventTimes(lambda: times_s[0])
    assert events.first_s is None
    events.record_begin()
    for time_s in sent_s:
        times_s[0] = time_s
        events.record_sent()
    assert events.first_s == 0.4
    assert events.longest_pause_s == pytest.approx(expected_s)
