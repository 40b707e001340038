"""Test what callers are told of requests that replicas have turned away."""

import pytest
import trio

from standins.site import replica as replicas
from standins.site import site as sites
from test.gateway import gateways

# Statuses that say: it has not run, and never will.
REFUSALS = (408, 421, 429, 503)
NO_BUDGET = {'budget_ratio': 0.0, 'retry_slack': 0}
ONCE, LOOKUP = '/register/2f', '/lookup/a'
STREAM, RESUMABLE = '/draft/one', '/ask/rule'
REQUESTS = 4
# Requests by which a VM knows all replicas, and some after them.
FINDING, AFTER = 12, 4
# After which replicas that have room again are asked.
BACK_S = 1.5
PREFILL, DECODE = 'prefill', 'decode'


def make_replicas(path, count, turned_away_by):
    """Return replicas for a path, of which some stages turn all away."""
    if path in (ONCE, LOOKUP):
        found = [replicas.Replica(f'i-{n}', 'desk', 'a') for n in range(count)]
    else:
        found = [
            replicas.Replica(f'i-{stage}-{n}', 'models', 'a', stage)
            for stage in (PREFILL, DECODE)
            for n in range(count)
        ]
        for replica in found:
            if replica.stage == DECODE:
                # So slow at prompts that they are read apart.
                replica.tokens_per_s = 1000.0
    for replica in found:
        if replica.stage in turned_away_by or not replica.stage:
            replica.faults.full = True
    return found


async def play(tmp_path, found, path, how, **values):
    """Return the statuses told, and the ids that came to a replica."""
    for replica in found:
        if how == 'busy' and replica.faults.full:
            replica.faults.full, replica.faults.busy = False, True
        if how == 'changed' and replica.faults.full:
            replica.faults.full, replica.faults.changed = False, True
    async with sites.running(found) as site:
        async with gateways.running(site, tmp_path, **values) as (gateway,):
            told = {}
            for number in range(REQUESTS):
                answer = await gateway.call(
                    'POST', path, f'r{number}', **gateways.PROMPT
                )
                told[f'r{number}'] = answer.status_code
    came = {one.request_id for replica in found for one in replica.came}
    return told, came


@pytest.mark.parametrize('how', ['full', 'busy', 'changed'])
@pytest.mark.parametrize(
    ('path', 'count', 'by', 'values'),
    [
        (ONCE, 1, (), {}),
        (ONCE, 3, (), {}),
        (ONCE, 3, (), NO_BUDGET),
        (STREAM, 1, (DECODE,), {}),
        (STREAM, 2, (PREFILL, DECODE), {}),
        (STREAM, 2, (PREFILL, DECODE), NO_BUDGET),
    ],
    ids=[
        'one', 'all-of-three', 'no-budget', 'stream', 'stream-of-two',
        'stream-no-budget',
    ],
)  # fmt: skip
async def test_what_reached_a_replica_and_may_run_once_is_not_refused(
    tmp_path, path, count, by, values, how
):
    # Guards against a promise that rests on the word of a replica alone.
    found = make_replicas(path, count, by)
    told, came = await play(tmp_path, found, path, how, **values)
    assert came
    refused = {name for name in told if told[name] in REFUSALS}
    assert refused & came == set(), told
    assert not any(replica.runs for replica in found)


@pytest.mark.parametrize('path', [ONCE, STREAM], ids=['plain', 'stream'])
async def test_request_is_refused_unsent_where_all_are_known_to_turn_away(
    tmp_path, path
):
    # Guards against callers who do not come back, though their VM knew that
    # no replica would take their request.
    found = make_replicas(path, 2, (PREFILL, DECODE))
    async with sites.running(found) as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            answers = [
                await gateway.call('POST', path, f'r{n}', **gateways.PROMPT)
                for n in range(FINDING + AFTER)
            ]
            came = {one.request_id for r in found for one in r.came}
            for replica in found:
                replica.faults.full = False
            await trio.sleep(BACK_S)
            later = await gateway.call('POST', path, 'l', **gateways.PROMPT)
    last = {f'r{FINDING + n}': answers[FINDING + n] for n in range(AFTER)}
    assert not came & last.keys()
    assert {answer.status_code for answer in last.values()} == {503}
    for answer in last.values():
        assert 0 < float(answer.headers['retry-after']) <= 1.0
    assert later.status_code == 200


@pytest.mark.parametrize(
    ('path', 'by'), [(LOOKUP, ()), (RESUMABLE, (DECODE,))]
)
async def test_what_may_be_repeated_is_refused_after_a_denial(
    tmp_path, path, by
):
    # Guards against callers that are told less than is true.
    found = make_replicas(path, 1, by)
    told, came = await play(tmp_path, found, path, 'full')
    assert came
    assert set(told.values()) == {503}
