"""Test that a request's log lines say what set its verdict."""

import httpx
import loguru
import pytest

from gentianstair import verdict as verdicts
from gentianstair.core import run_verdict
from gentianstair.generated import events
from gentianstair.util import build_info
from standins.site import replica as replicas
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
        ({'full': True}, 502, ('answer', 503, True)),
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


@pytest.mark.parametrize(
    ('full', 'values', 'path', 'outcomes', 'no_retry'),
    [
        (1, {}, ONCE, '503 denied', 'no-replica'),
        (3, {}, ONCE, '503 denied, 503 denied', 'max-attempts'),
        (3, {'budget_ratio': 0.0, 'retry_slack': 0}, ONCE, '503 denied',
         'no-budget'),
        (3, {'budget_ratio': 0.0, 'retry_slack': 0}, '/lookup/2f',
         '503 denied', 'no-budget'),
    ],
    ids=['one-replica', 'all-allowed', 'no-budget', 'no-budget-look-up'],
)  # fmt: skip
async def test_refusal_says_why_no_attempt_followed(
    tmp_path, lines, full, values, path, outcomes, no_retry
):
    # Guards against a refusal beside free replicas that nothing explains.
    found = [replicas.Replica(f'i-{n}', 'desk', 'a') for n in range(full)]
    for replica in found:
        replica.faults.full = True
    async with sites.running(found) as site:
        async with gateways.running(site, tmp_path, **values) as (gateway,):
            answer = await gateway.call('POST', path, 'r1')
    assert answer.status_code in (502, 503)
    for event in (events.REFUSAL, events.ANSWER):
        line = only(lines, event)
        found = (line['outcomes'], line['no_retry'])
        assert found == (outcomes, no_retry)


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


@pytest.mark.parametrize(
    ('path', 'status', 'count'),
    [('/draft/one', 502, 1), ('/ask/rule', 503, 0)],
    ids=['once', 'resumable'],
)
async def test_refusal_after_a_prefill_says_so(
    tmp_path, lines, path, status, count
):
    # Guards against a refusal that can't be told from one of what ran.
    found = [r for r in sites.default_replicas() if r.stage]
    for replica in found:
        if replica.stage == 'decode':
            # So slow at prompts that they are read apart.
            replica.tokens_per_s = 1000.0
    async with sites.running(found) as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            for replica in found:
                replica.faults.full = replica.stage == 'decode'
            answer = await gateway.call('POST', path, 'r1', **gateways.PROMPT)
    line = only(lines, events.ANSWER)
    assert answer.status_code == status
    assert line['verdict'] == 'NOT_RUN'
    assert line['attempts'][:2] == ['prefill', 'answer']
    held_back = [
        one
        for one in lines
        if one.get('event') == events.REFUSAL_AFTER_PREFILL
    ]
    assert len(held_back) == count


def test_reason_is_that_of_the_highest_verdict():
    # Guards against a reason in a request's last line that is another try's.
    runs = run_verdict.RunVerdict()
    runs.begin().record_send()
    rejected = runs.begin()
    rejected.record_send()
    rejected.record_answer(verdicts.Verdict.NOT_RUN)
    assert runs.verdict is verdicts.Verdict.MAY_HAVE_RUN
    assert runs.decisive.reason is run_verdict.Reason.SENT


async def test_operators_can_ask_for_the_build(tmp_path):
    # Guards against a fleet of two builds that nobody can tell apart.
    async with sites.running() as site:
        async with gateways.running(site, tmp_path, metrics=True) as (vm,):
            url = f'http://127.0.0.1:{vm.values["metrics"]}'
            async with httpx.AsyncClient(trust_env=False) as client:
                version = (await client.get(f'{url}/version')).json()
                metrics = (await client.get(f'{url}/metrics')).text
    assert version == {'build': build_info.build()}
    assert f'gentianstair_build_info{{build="{build_info.build()}"}}' in (
        metrics
    )
