"""Test remote prefills when replicas refuse them or are gone.

The sample site has the prefill replica i-reader, and the decode replicas
i-maker-1 and i-maker-2.
"""

import contextlib

import loguru
import pytest

from gentianstair.gateway import retry_budget
from standins import ports
from standins.site import site as sites
from test.gateway import gateways

# The retry limits of the sample settings.
RATIO = 0.2
ALLOWANCE = 52


@contextlib.contextmanager
def logged(event):
    """Yield the log records of one event."""
    records = []

    def collect(message):
        if message.record['extra'].get('event') == event:
            records.append(message.record['extra'])

    sink = loguru.logger.add(collect)
    try:
        yield records
    finally:
        loguru.logger.remove(sink)


def models(site):
    return [r for r in site.replicas if r.service == 'models']


def slow_decode_replicas(site, tokens_per_s):
    """Slow prefills on decode replicas, so that remote ones are chosen."""
    for name in ('i-maker-1', 'i-maker-2'):
        site.replica(name).tokens_per_s = tokens_per_s


async def send_prompt(gateway, number):
    """Send a prompt that no replica has cached any part of."""
    prompt = {
        'x-model': 'm',
        'x-token-count': '2000,80',
        'x-prefix-hash': f'{number + 0xA00:x}:2000',
    }
    return await gateway.call('POST', '/ask/rule', f'q{number}', **prompt)


async def test_no_second_prefill_when_the_decode_replica_restarted(tmp_path):
    """It refuses the request and leaves the KV cache to the next replica.

    Another prefill would cost time and retry budget.
    """
    async with sites.running() as site:
        site.replica('i-maker-1').faults.changed = True
        async with gateways.running(site, tmp_path) as (gateway,):
            for number in range(6):
                answer = await send_prompt(gateway, number)
                assert answer.status_code == 200
        assert site.replica('i-maker-1').arrivals
        assert len(site.replica('i-reader').reads) == 6
        assert site.replica('i-reader').handles == {}


@pytest.mark.parametrize(
    ('names', 'fault'),
    [
        (['i-reader'], 'full'),
        (['i-maker-1', 'i-maker-2'], 'changed'),
    ],
    ids=['prefill-replica-is-full', 'decode-replicas-restarted'],
)
async def test_prefills_and_retries_stay_within_the_budget(
    tmp_path, names, fault
):
    """The prefill replica, or all decode replicas, refuse every request.

    Of each request the users count all arrivals as retries but the first
    and the first accepted prefill.
    """
    requests = 60
    async with sites.running() as site:
        # All requests must fit in one window.
        slow_decode_replicas(site, 40000.0)
        for name in names:
            setattr(site.replica(name).faults, fault, True)
        async with gateways.running(site, tmp_path) as (gateway,):
            for number in range(requests):
                await send_prompt(gateway, number)
        arrivals = sum(replica.arrivals for replica in models(site))
        prefilled = set(site.replica('i-reader').reads)
        allowed = RATIO * requests + ALLOWANCE
        assert (
            arrivals - len(prefilled) - requests
            <= retry_budget.SAFETY_SHARE * allowed
        )


async def test_unreachable_prefill_replica_is_ejected(tmp_path):
    """Its entry stays registered for some seconds after its process died.

    Not every request may be sent there first.
    """
    async with sites.running() as site:
        site.replica('i-reader').address = f'127.0.0.1:{ports.free_port()}'
        slow_decode_replicas(site, 10000.0)
        with logged('try-failed') as failures:
            async with gateways.running(site, tmp_path) as (gateway,):
                for number in range(3):
                    answer = await send_prompt(gateway, number)
                    assert answer.status_code == 200
        assert len(failures) == 1
