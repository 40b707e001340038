"""Test that logs of any state are read, and tell a request's story."""

import io
import json
import subprocess
import sys

import pytest

from gentianstair.ui import stories
from gentianstair.util import log_lines


def line(at, vm, event, **more):
    return json.dumps({'at': at, 'vm': vm, 'event': event, **more}) + '\n'


LOG_A = (
    line('T2', 'a', 'route', request_id='r1', replica='i-1', left_s=2.5)
    + 'a note that is no line of ours\n'
    + line('T9', 'a', 'answer', request_id='r1', status=502)
    + line('T3', 'a', 'store-lost', why='no answer')
    + line('T5', 'a', 'store-back', away_s=2)
    + '{"at": "T9", "event": "cut in the mid'
)
LOG_B = line('T1', 'b', 'refusal', request_id='r1', kind='no-replica') + line(
    'T4', 'b', 'answer', request_id='r2'
)


def reader(*texts):
    return log_lines.Reader(io.BytesIO(text.encode()) for text in texts)


def test_a_request_over_several_vms():
    found = reader(LOG_A, LOG_B)
    rows = stories.of_request(found, 'r1')
    assert [(row.at, row.vm, row.event) for row in rows] == [
        ('T1', 'b', 'refusal'),
        ('T2', 'a', 'route'),
        ('T9', 'a', 'answer'),
    ]
    assert rows[1].detail == 'replica=i-1 left_s=2.5'
    assert (found.line_count, found.unreadable_count) == (8, 2)


@pytest.mark.parametrize(
    ('since', 'events'),
    [('', ['store-lost', 'store-back']), ('T4', ['store-back']), ('T6', [])],
)
def test_dependencies_since(since, events):
    rows = stories.of_dependencies(reader(LOG_A, LOG_B), since)
    assert [row.event for row in rows] == events


@pytest.mark.parametrize(
    'data',
    [
        b'\xff\xfe{\x00',
        b'[1, 2]\n{"at": 5}\nnull\n',
        b'{' * 1000,
        b'x' * (3 * log_lines.MAX_LINE_BYTES) + b'\n',
        b'\n\n\n',
    ],
)
def test_what_is_no_log_is_counted(data):
    after = line('T1', 'a', 'answer', request_id='r1').encode()
    stream = io.BytesIO(data.rstrip(b'\n') + b'\n' + after)
    found = log_lines.Reader([stream])
    assert len(stories.of_request(found, 'r1')) == 1
    assert found.unreadable_count == found.line_count - 1 >= 1


class Endless:
    """A log far larger than memory may be, made as it is read."""

    def __init__(self, lines):
        self.left = lines
        self.data = line('T1', 'a', 'answer', request_id='other').encode()

    def readline(self, limit):
        self.left -= 1
        return self.data if self.left >= 0 else b''


def test_a_huge_log_is_not_kept():
    found = log_lines.Reader([Endless(200_000)])
    assert stories.of_request(found, 'r1') == []
    assert found.line_count == 200_000


@pytest.mark.process
@pytest.mark.parametrize(
    ('words', 'code', 'shown'),
    [
        (['r1', '--logs', '-'], 0, 'no-replica'),
        (['--since', 'T4', '--logs', '-'], 0, 'store-back'),
        (['r9', '--logs', '-'], 1, 'nothing found in 8 lines'),
        (['--logs', '-'], 1, 'name a request'),
        (['r1', '--logs', '/nowhere'], 1, '/nowhere'),
    ],
)
def test_the_command(words, code, shown):
    done = subprocess.run(
        [sys.executable, '-m', 'gentianstair.ui.main', 'explain', *words],
        input=LOG_A + '\n' + LOG_B,
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert done.returncode == code, done.stderr
    assert shown in done.stdout + done.stderr
