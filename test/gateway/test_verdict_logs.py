"""Test that a request's log lines say what set its verdict."""

import loguru
import pytest

from gentianstair.generated import events
from standins.site import site as sites
from test.gateway import gateways

ONCE = '/register/2f'


@pytest.fixture
def lines():
    """Yield the fields of the lines of requests, as they are logged."""
    found = []
    handler = loguru.logger.add(
        lambda message: found.append(message.record['extra']), level='DEBUG'
    )
    yield found
    loguru.logger.remove(handler)


def only(lines, event):
    (line,) = [line for line in lines if line.get('event') == event]
    return line


@pytest.mark.parametrize(
    ('faults', 'told', 'expected'),
    [
        ({}, 200, ('answer', 200, False)),
        ({'fails_with': 503}, 502, ('answer', 503, False)),
        ({'full': True}, 503, ('answer', 503, True)),
        ({'silent': True}, 504, ('sent', None, None)),
    ],
    ids=['served', 'unsaid', 'rejected', 'silent'],
)
async def test_answered_line_says_what_set_the_verdict(
    tmp_path, lines, faults, told, expected
):
    # Guards against a refusal of what ran that no log line can explain.
    replica = [r for r in sites.default_replicas() if not r.stage][0]
    async with sites.running([replica]) as site:
        for name, value in faults.items():
            setattr(replica.faults, name, value)
        async with gateways.running(site, tmp_path) as (gateway,):
            answer = await gateway.call(
                'POST', ONCE, 'r1', **{'x-request-deadline-ms': '400'}
            )
    assert answer.status_code == told
    line = only(lines, events.ANSWER)
    assert line['replica'] == replica.name
    found = (
        line['verdict_by'],
        line.get('replica_status'),
        line.get('not_executed'),
    )
    assert found == expected


async def test_failed_try_says_what_its_answer_was(tmp_path, lines):
    # Guards against a try whose answer nobody can tell from its verdict.
    replica = [r for r in sites.default_replicas() if not r.stage][0]
    async with sites.running([replica]) as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            await gateway.call('GET', '/lookup/a', 'r0')
            replica.faults.full = True
            await gateway.call('GET', '/lookup/a', 'r1')
    line = only(lines, events.TRY_FAILED)
    assert line['replica_status'] == 503
    assert line['not_executed'] is True
    assert line['connection'] == 'kept'
