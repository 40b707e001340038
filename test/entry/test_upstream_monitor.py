"""Test what an entry process makes of engines' reports."""

import json

import pytest
import trio

from gentianstair import errors
from gentianstair.entry import upstream_monitor
from gentianstair.generated import messages

GOOD_LOAD = {
    'running': 1,
    'waiting': 0,
    'waiting_prefill_tokens': 0,
    'kv_used_blocks': 1,
    'kv_total_blocks': 2000,
    'tokens_per_s': 30.0,
    'role': 'mixed',
    'state': 'serving',
    'newer_field': 'ignored',
}


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'no json',
        b'[]',
        b'{"running": 1}',
        json.dumps({**GOOD_LOAD, 'running': 'many'}).encode(),
        b'[' * 100000,
    ],
)
def test_bad_report_is_a_decode_error(body):
    # An engine of another version leaves a field out of its load report.
    # The KeyError ended the task that read it, and with it the whole entry
    # process: one odd engine took every VM that followed it out of service.
    with pytest.raises(errors.DecodeError):
        upstream_monitor.decode_report(body, messages.LoadReport)


def test_unknown_fields_are_ignored():
    found = upstream_monitor.decode_report(
        json.dumps(GOOD_LOAD).encode(), messages.LoadReport
    )
    assert found['running'] == 1
    assert 'newer_field' not in found


async def test_a_failing_report_reader_goes_on(autojump_clock):
    calls = []

    async def read():
        calls.append(trio.current_time())
        if len(calls) < 3:
            raise errors.DecodeError('odd')
        raise KeyboardInterrupt

    with pytest.raises(KeyboardInterrupt):
        await upstream_monitor.poll_forever(read, 'engine-1', 0.5)
    assert calls == [
        0.0,
        upstream_monitor.RETRY_S,
        2 * upstream_monitor.RETRY_S,
    ]
