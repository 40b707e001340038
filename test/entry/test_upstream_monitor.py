"""Test the decoding and polling of engines' reports."""

import json

import pytest
import trio

from gentianstair import errors
from gentianstair.entry import upstream_monitor
from gentianstair.generated import messages

VALID_LOAD = {
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
        json.dumps({**VALID_LOAD, 'running': 'many'}).encode(),
        b'[' * 100000,
    ],
)
def test_invalid_report_is_a_decode_error(body):
    # Guards against an invalid report that ends the entry process.
    with pytest.raises(errors.DecodeError):
        upstream_monitor.decode_report(body, messages.LoadReport)


def test_unknown_report_fields_are_ignored():
    found = upstream_monitor.decode_report(
        json.dumps(VALID_LOAD).encode(), messages.LoadReport
    )
    assert found['running'] == 1
    assert 'newer_field' not in found


async def test_polling_continues_after_invalid_reports(autojump_clock):
    calls = []

    async def poll():
        calls.append(trio.current_time())
        if len(calls) < 3:
            raise errors.DecodeError('odd')
        raise KeyboardInterrupt

    with pytest.raises(KeyboardInterrupt):
        await upstream_monitor.poll_forever(poll, 'engine-1', 0.5)
    assert calls == [
        0.0,
        upstream_monitor.RETRY_S,
        2 * upstream_monitor.RETRY_S,
    ]
