"""Measure what is not billed when an entry VM is killed under load."""

import concurrent.futures
import time

import httpx
import pytest

from standins import fleet
from test import test_path

FLUSH_S = 0.5
# A flush is a write and waits for nothing else; this is ample on loopback.
WRITE_S = 0.5
LOAD_S = 5.0
CALLERS = 8
# An engine so slow takes some seconds for one answer, and is killed when most
# of the first eight has been delivered.
SLOW_SCALE = 4
SLOW_TOKENS = 52 * CALLERS
FLAGS = (
    '--failure-domain=north',
    '--usage-window-s=1',
    '--usage-grace-s=1.5',
    f'--usage-flush-s={FLUSH_S}',
)


def start(run, time_scale=1):
    """Start a fleet of one entry; return it and the platform."""
    platform = run.start('platform', 'standins.platform')
    engine = run.start(
        'engine',
        'standins.engine',
        f'--models={test_path.MODEL}',
        f'--time-scale={time_scale}',
    )
    objects = {
        **test_path.OBJECTS,
        'upstream/engine': test_path.upstream(engine.url),
    }
    test_path.store(platform.url, objects)
    common = (*FLAGS, f'--platform-url={platform.url}')
    run.start(
        'control',
        'gentianstair.control',
        '--vm-name=control',
        '--listen=127.0.0.1:0',
        *common,
    )
    entry = run.start(
        'entry',
        'gentianstair.entry',
        '--vm-name=entry',
        '--listen=127.0.0.1:0',
        '--operator-listen=127.0.0.1:0',
        '--peer-listen=127.0.0.1:0',
        *common,
    )
    test_path.wait_ready(entry.url)
    return platform, entry


def call(url, delivered, end_s):
    """Stream completions until the entry is gone; note each word."""
    body = {
        'model': test_path.MODEL,
        'prompt': test_path.PROMPT,
        'max_tokens': 60,
        'stream': True,
    }
    while time.monotonic() < end_s:
        try:
            with httpx.stream(
                'POST',
                f'{url}/v1/completions',
                json=body,
                headers=test_path.AUTH,
            ) as answer:
                for line in answer.iter_lines():
                    if '"text"' in line:
                        delivered.append(time.monotonic())
        except httpx.HTTPError:
            return


def billed(platform):
    """Return the output tokens of all reports, each window once."""
    found = httpx.get(f'{platform.url}/v1/usage-reports').json()['reports']
    by_window = {report['window']: report for report in found}
    return sum(
        row['output_tokens']
        for report in by_window.values()
        for row in (*report['rows'], *report['late'])
    )


@pytest.mark.promise
@pytest.mark.process
def test_killed_entry_leaves_unbilled_what_it_had_not_flushed(tmp_path):
    """An entry that relays eight streams is killed.

    All that was delivered is billed, but for what was delivered since the
    flush before the kill.
    """
    run = fleet.Fleet(tmp_path)
    delivered = []
    try:
        platform, entry = start(run)
        end_s = time.monotonic() + 60.0
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            for _ in range(CALLERS):
                pool.submit(call, entry.url, delivered, end_s)
            time.sleep(LOAD_S)
            killed_s = time.monotonic()
            run.kill('entry')
        time.sleep(6.0)
        total = billed(platform)
    finally:
        run.stop_all()
    exposed = sum(at_s > killed_s - FLUSH_S - WRITE_S for at_s in delivered)
    missing = len(delivered) - total
    print(f'{len(delivered)} delivered, {missing} unbilled, {exposed} exposed')
    assert len(delivered) > 500
    assert missing <= exposed
    # Pieces are counted before they are passed on.
    assert total <= len(delivered) + 60 * CALLERS


@pytest.mark.promise
@pytest.mark.process
def test_running_streams_are_flushed_before_they_end(tmp_path):
    # Of short streams that had run for seconds nothing was billed.
    run = fleet.Fleet(tmp_path)
    delivered = []
    try:
        platform, entry = start(run, SLOW_SCALE)
        end_s = time.monotonic() + 60.0
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            for _ in range(CALLERS):
                pool.submit(call, entry.url, delivered, end_s)
            while len(delivered) < SLOW_TOKENS and time.monotonic() < end_s:
                time.sleep(0.01)
            killed_s = time.monotonic()
            run.kill('entry')
        time.sleep(6.0)
        total = billed(platform)
    finally:
        run.stop_all()
    exposed = sum(at_s > killed_s - FLUSH_S - WRITE_S for at_s in delivered)
    missing = len(delivered) - total
    print(f'{len(delivered)} delivered, {missing} unbilled, {exposed} exposed')
    assert SLOW_TOKENS <= len(delivered) < 60 * CALLERS
    assert missing <= exposed
    assert total <= len(delivered) + 60 * CALLERS
