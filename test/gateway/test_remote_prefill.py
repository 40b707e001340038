"""Test what reads of prompts cost when replicas refuse or are gone."""

import contextlib

import loguru
import pytest

from gentianstair.gateway import retry_budget
from standins import ports
from standins.site import site as sites
from test.gateway import gateways

# What the sample settings allow: a fifth of the requests, and so many.
RATIO = 0.2
ALLOWANCE = 52


@contextlib.contextmanager
def logged(event):
    """Yield the log records of one event."""
    found = []

    def take(message):
        if message.record['extra'].get('event') == event:
            found.append(message.record['extra'])

    number = loguru.logger.add(take)
    try:
        yield found
    finally:
        loguru.logger.remove(number)


def models(site):
    return [r for r in site.replicas if r.service == 'models']


def slow_makers(site, tokens_per_s):
    """Have makers read more slowly, so that the reader is preferred."""
    for name in ('i-maker-1', 'i-maker-2'):
        site.replica(name).tokens_per_s = tokens_per_s


async def ask(gateway, number):
    """Send a prompt that no replica keeps any part of."""
    prompt = {
        'x-model': 'm',
        'x-token-count': '2000,80',
        'x-prefix-hash': f'{number + 0xA00:x}:2000',
    }
    return await gateway.call('POST', '/ask/rule', f'q{number}', **prompt)


async def test_a_prompt_is_read_once_though_its_maker_has_changed(tmp_path):
    """A maker started anew at the address of the one that is known.

    It says so and runs nothing. The prompt, already read, was read again
    for the next maker: its time and one more arrival at the service, which
    a day of many such replicas cannot pay.
    """
    async with sites.running() as site:
        site.replica('i-maker-1').faults.changed = True
        async with gateways.running(site, tmp_path) as (gateway,):
            for number in range(6):
                answer = await ask(gateway, number)
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
)
async def test_reads_and_repeats_stay_within_the_budget(
    tmp_path, names, fault
):
    """Replicas that read prompts, or that make output, refuse for long.

    A request was read again for each try at a maker, and only the try was
    paid for: the service got more arrivals beyond the first of each request
    than all VMs together may send. Only the first read that is accepted is
    no such arrival.
    """
    requests = 60
    async with sites.running() as site:
        # All in less than a window.
        slow_makers(site, 40000.0)
        for name in names:
            setattr(site.replica(name).faults, fault, True)
        async with gateways.running(site, tmp_path) as (gateway,):
            for number in range(requests):
                await ask(gateway, number)
        arrivals = sum(replica.arrivals for replica in models(site))
        read = set(site.replica('i-reader').reads)
        part = RATIO * requests + ALLOWANCE
        assert (
            arrivals - len(read) - requests <= retry_budget.SAFETY_SHARE * part
        )


async def test_a_reader_that_is_gone_is_not_asked_each_time(tmp_path):
    """The process of the replica that reads prompts is gone.

    Its entry stays for some seconds. Every request was first sent there in
    vain, since failed reads were not held against a replica.
    """
    async with sites.running() as site:
        site.replica('i-reader').address = f'127.0.0.1:{ports.free_port()}'
        slow_makers(site, 10000.0)
        with logged('try-failed') as failures:
            async with gateways.running(site, tmp_path) as (gateway,):
                for number in range(3):
                    answer = await ask(gateway, number)
                    assert answer.status_code == 200
        assert len(failures) == 1
