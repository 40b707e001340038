"""Test that a stalled log reader does not block the program."""

import json
import os
import threading
import time

import pytest

from gentianstair.util import line_writer

TIMEOUT_S = 5.0


@pytest.fixture
def pipe():
    read_fd, write_fd = os.pipe()
    os.set_blocking(read_fd, False)
    yield read_fd, write_fd
    os.close(read_fd)
    os.close(write_fd)


def drain(fd):
    parts = []
    while True:
        try:
            parts.append(os.read(fd, 65536))
        except BlockingIOError:
            return b''.join(parts)


def test_stalled_reader_does_not_block_or_split_lines(pipe):
    """Guards against blocking, split lines and uncounted dropped lines.

    The reader resumes after a while.
    """
    read_fd, write_fd = pipe
    now_s = 0.0
    writer = line_writer.LineWriter(write_fd, lambda: now_s)
    for number in range(1000):
        now_s += 0.1
        writer.write(json.dumps({'n': number, 'x': 'y' * 1000}) + '\n')
    found = b''
    for _ in range(10):
        found += drain(read_fd)
        writer.flush()
    now_s += 10
    writer.write('{"n": -1}\n')
    found += drain(read_fd)
    lines = [json.loads(line) for line in found.splitlines()]
    assert lines[-1] == {'n': -1}
    assert lines[-2]['event'] == 'log-dropped'
    assert lines[-2]['lines'] + len(lines) - 2 == 1000


def test_lines_above_the_rate_limit_are_dropped(pipe):
    read_fd, write_fd = pipe
    now_s = 0.0
    writer = line_writer.LineWriter(write_fd, lambda: now_s)
    written = 0
    for _ in range(100):
        now_s += 0.1
        for _ in range(400):
            writer.write('{}\n')
        written += drain(read_fd).count(b'{}')
    max_lines = line_writer.MAX_BURST_LINES + 10 * line_writer.LINES_PER_S
    assert 0.9 * max_lines < written <= max_lines + 1


def test_last_line_passes_the_rate_limit_and_is_flushed(pipe):
    # Guards against losing the line that says why the process exits.
    read_fd, write_fd = pipe
    writer = line_writer.LineWriter(write_fd, time.monotonic)
    for _ in range(5000):
        writer.write('x' * 200 + '\n')
    found = bytearray()

    def read():
        until_s = time.monotonic() + TIMEOUT_S
        while b'last' not in found and time.monotonic() < until_s:
            time.sleep(0.01)
            found.extend(drain(read_fd))

    reader = threading.Thread(target=read)
    reader.start()
    writer.drain(TIMEOUT_S)
    writer.allow_one_line()
    writer.write('last\n')
    writer.drain(TIMEOUT_S)
    reader.join()
    assert found.endswith(b'}\nlast\n')


def test_drain_stops_waiting_for_a_stalled_reader(pipe):
    # Guards against a process that cannot exit.
    writer = line_writer.LineWriter(pipe[1], time.monotonic)
    for _ in range(1000):
        writer.write('x' * 200 + '\n')
    began_s = time.monotonic()
    writer.drain(0.2)
    assert 0.15 < time.monotonic() - began_s < TIMEOUT_S


def test_write_without_a_reader_raises_nothing():
    read_fd, write_fd = os.pipe()
    os.close(read_fd)
    writer = line_writer.LineWriter(write_fd, lambda: 0.0)
    writer.write('{}\n')
    os.close(write_fd)
