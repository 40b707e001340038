"""Test where the events of a stream end."""

import pytest

from gentianstair.gateway import event_stream

EVENTS = [b'id: 1\ndata: a', b'id: 2\ndata: b\ndata: c', b': none']


def stream_of(end):
    """Return the events with this end of a line, and as one stream."""
    events = [event.replace(b'\n', end) + 2 * end for event in EVENTS]
    return events, b''.join(events)


@pytest.mark.parametrize('step', [1, 2, 5, 1000])
@pytest.mark.parametrize('end', [b'\n', b'\r\n', b'\r'], ids=repr)
def test_events_end_with_an_empty_line_of_each_kind(end, step):
    # Guards against streams of which nothing is forwarded, as their lines end
    # otherwise than with LF.
    events, data = stream_of(end)
    buffer = event_stream.EventBuffer()
    found = []
    for begin in range(0, len(data), step):
        found += buffer.feed(data[begin : begin + step])
    assert found == events
    assert buffer.at_event_boundary()


@pytest.mark.parametrize('end', [b'\n', b'\r\n', b'\r'], ids=repr)
def test_part_of_an_event_is_kept_back(end):
    # Guards against half an event that looks whole.
    events, data = stream_of(end)
    buffer = event_stream.EventBuffer()
    assert buffer.feed(data[: -len(end)]) == events[:-1]
    assert not buffer.at_event_boundary()
