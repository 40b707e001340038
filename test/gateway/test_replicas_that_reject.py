"""Test replicas that turn all requests away without asking for rest."""

import pytest

from standins.site import replica as replicas
from standins.site import site as sites
from test.gateway import gateways

FULL, FREE = 6, 2
NO_BUDGET = {'budget_ratio': 0.0, 'retry_slack': 0}
# The first requests of a VM may find out which replicas are full.
FINDING, AFTER = 6, 10

ROWS = [
    pytest.param('/lookup/x', '', id='plain'),
    pytest.param('/register/x', '', id='run-once'),
    pytest.param('/ask/rule', 'decode', id='stream'),
    pytest.param('/draft/one', 'decode', id='run-once-stream'),
]


def make_replicas(stage):
    """Return replicas of one service, of which the first are full."""
    found = [
        replicas.Replica(
            f'i-{number}', 'models' if stage else 'desk', 'ab'[number % 2],
            stage,
        )
        for number in range(FULL + FREE)
    ]  # fmt: skip
    for replica in found[:FULL]:
        replica.faults.full = True
    return found


@pytest.mark.parametrize(('path', 'stage'), ROWS)
async def test_request_goes_from_a_full_replica_to_a_free_one(
    tmp_path, path, stage
):
    # Guards against requests that are refused beside free replicas, as each
    # attempt went to one that had just turned others away.
    async with sites.running(make_replicas(stage)) as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            answers = [
                await gateway.call('POST', path, f'r{number}')
                for number in range(FINDING + AFTER)
            ]
    statuses = [answer.status_code for answer in answers]
    assert statuses[FINDING:] == [200] * AFTER, statuses


@pytest.mark.parametrize('path', ['/lookup/x', '/register/x'])
async def test_first_attempt_goes_to_a_replica_that_accepts(tmp_path, path):
    # Guards against requests that are refused beside free replicas once the
    # budget for retries is spent, as their only attempt went to a full one.
    found = make_replicas('')
    async with sites.running(found) as site:
        async with gateways.running(site, tmp_path, **NO_BUDGET) as (gateway,):
            answers = [
                await gateway.call('POST', path, f'r{number}')
                for number in range(FULL + AFTER)
            ]
    statuses = [answer.status_code for answer in answers]
    assert statuses.count(200) >= AFTER, statuses
    # Each full one has to be found out.
    assert sum(replica.arrivals for replica in found[:FULL]) <= FULL
