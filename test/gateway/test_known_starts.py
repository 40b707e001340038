"""Test what is remembered of the starts of replicas."""

import pytest

from gentianstair.core import upstream_limits
from gentianstair.gateway import known_starts


def run_of(started_ms, name='i-1'):
    return upstream_limits.UpstreamRun(name, started_ms)


def test_heartbeat_of_an_earlier_start_takes_nothing_back():
    # Guards against the version before, after a release under kept names.
    known = known_starts.KnownStarts()
    known.record_entry(run_of(9), 'models', 'v2')
    known.record_entry(run_of(5), 'models', 'v1')
    assert known.newest('i-1') == run_of(9)
    assert known.version_of(run_of(9)) == 'v2'
    assert known.version_of(run_of(5)) == 'v1'


def test_start_that_no_entry_has_told_has_no_version():
    known = known_starts.KnownStarts()
    known.record_entry(run_of(5), 'models', 'v1')
    assert known.record_process(run_of(9), 'models')
    assert not known.record_process(run_of(9), 'models')
    assert known.version_of(run_of(9)) is None
    known.record_entry(run_of(9), 'models', 'v2')
    assert known.version_of(run_of(9)) == 'v2'


@pytest.mark.parametrize(
    ('record', 'expected'),
    [('record_process', 5), ('record_heard', 9)],
)
def test_process_that_answers_is_the_newest_start(record, expected):
    # Guards against a replica whose clock was set back between two starts.
    known = known_starts.KnownStarts()
    known.record_entry(run_of(9), 'models', 'v1')
    getattr(known, record)(run_of(5), 'models')
    assert known.newest('i-1') == run_of(expected)


def test_entries_that_differ_leave_a_version_unclear():
    known = known_starts.KnownStarts()
    for version in ('v1', 'v2', 'v1'):
        known.record_entry(run_of(5), 'models', version)
    assert known.version_of(run_of(5)) == known_starts.UNCLEAR


def test_starts_heard_of_last_are_kept(monkeypatch):
    monkeypatch.setattr(known_starts, 'MAX_STARTS', 3)
    known = known_starts.KnownStarts()
    for started_ms in range(1, 6):
        known.record_entry(run_of(started_ms, f'i-{started_ms}'), 's', 'v1')
        known.record_entry(run_of(1, 'i-1'), 's', 'v1')
    assert known.newest('i-1') == run_of(1, 'i-1')
    assert known.newest('i-2') is None
    assert known.newest('i-5') == run_of(5, 'i-5')
