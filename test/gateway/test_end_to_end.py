"""Test the gateway end to end with callers, replicas, store and cloud."""

import subprocess
import sys

import httpx
import pytest
import trio

from standins.site import replica as replicas
from standins.site import site as sites
from test.gateway import gateways


def decode_replicas(site):
    return [r for r in site.replicas if r.stage == 'decode']


async def test_stream_is_prefilled_and_decoded_at_two_replicas(tmp_path):
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            answer = await gateway.call(
                'POST', '/ask/rule', 's1', **gateways.PROMPT
            )
        assert answer.status_code == 200
        assert answer.headers['x-response-signature'].startswith('signed-by')
        assert answer.text.count('data: word') == 5
        runs = [
            run for replica in decode_replicas(site) for run in replica.runs
        ]
        assert [run.request_id for run in runs] == ['s1']
        assert runs[0].customer == 'club'
        assert not runs[0].key_shown
        # Each KV cache handle was fetched or freed.
        assert site.replica('i-reader').handles == {}


async def test_kv_cache_is_copied_from_a_draining_replica(tmp_path):
    """Guard against a prefill of parts that a draining replica still caches.

    It keeps them for some seconds, in which they can be copied.
    """
    async with sites.running() as site:
        caching_replica = site.replica('i-reader')
        caching_replica.kept = {'c0de': 13300}
        caching_replica.changes = [[1, '+', '', 'c0de', 13300, 'm']]
        async with gateways.running(site, tmp_path) as (gateway,):
            # Wait until the gateway knows what the replica caches.
            await trio.sleep(1)
            caching_replica.draining = True
            # Wait until it knows that the replica drains.
            await trio.sleep(1)
            headers = {
                'x-model': 'm',
                'x-token-count': '13400,80',
                'x-prefix-hash': 'c0de:13300,b0b:100',
            }
            answer = await gateway.call('POST', '/ask/rule', 'k', **headers)
            assert answer.status_code == 200
        assert caching_replica.arrivals == 0
        copied = [
            replica.copied for replica in decode_replicas(site) if replica.runs
        ]
        assert copied == [['c0de']]


@pytest.mark.parametrize('tokens', [90000, 5000000])
async def test_request_that_cannot_meet_its_deadline_is_refused_at_once(
    tmp_path, tokens
):
    """Guard against a prefill that can't meet the deadline.

    It would delay other requests for nothing.
    """
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            started_s = trio.current_time()
            answer = await gateway.call(
                'POST',
                '/ask/rule',
                'big',
                **{
                    'x-model': 'm',
                    'x-token-count': f'{tokens},80',
                    'x-prefix-hash': f'abc:{tokens}',
                    'x-request-deadline-ms': '2000',
                },
            )
            took_s = trio.current_time() - started_s
        assert answer.status_code == 503
        assert float(answer.headers['retry-after']) > 0
        assert took_s < 0.5
        assert sum(replica.arrivals for replica in site.replicas) == 0


async def test_cache_list_is_read_after_missed_cache_events(tmp_path):
    """Guard against new processes that miss what replicas have cached.

    Replicas send only their latest cache events; the rest must be listed.
    """
    async with sites.running() as site:
        caching_replica = site.replica('i-maker-1')
        caching_replica.kept = {'c0de': 13300, 'beef': 900}
        caching_replica.changes = [
            [1, '+', '', 'c0de', 13300, 'm'],
            [2, '+', '', 'beef', 900, 'm'],
        ]
        caching_replica.forgotten = 1
        async with gateways.running(site, tmp_path, 2) as running:
            await trio.sleep(1)
            for number, gateway in enumerate(running):
                headers = {
                    'x-model': 'm',
                    'x-token-count': '13400,80',
                    'x-prefix-hash': f'c0de:13300,b0b{number}:100',
                }
                answer = await gateway.call(
                    'POST', '/ask/rule', f'k{number}', **headers
                )
                assert answer.status_code == 200
        assert caching_replica.lists_read == 2
        kept_or_copied = caching_replica.arrivals + sum(
            'c0de' in replica.copied for replica in site.replicas
        )
        assert kept_or_copied >= 2


async def test_stream_resumes_at_another_replica_without_gap(tmp_path):
    """Guard against lost or repeated events when a replica is lost.

    The caller gets two events of the first replica and the rest of another,
    which resumes the stream after them.
    """
    async with sites.running() as site:
        for replica in decode_replicas(site):
            replica.faults.breaks_after = 2
        async with gateways.running(site, tmp_path) as (gateway,):
            answer = await gateway.call(
                'POST', '/ask/rule', 's2', **gateways.PROMPT
            )
        text = answer.text
        words = [f'word{number}' for number in range(1, 6)]
        found = [line[6:] for line in text.split('\n') if 'data' in line]
        assert found == words
        first_events = [
            run.first_event
            for replica in decode_replicas(site)
            for run in replica.runs
        ]
        assert sorted(first_events) == [1, 3]


async def test_broken_stream_of_unresumable_route_does_not_look_complete(
    tmp_path,
):
    """Guard against a truncated stream that looks complete."""
    async with sites.running() as site:
        for replica in decode_replicas(site):
            replica.faults.breaks_after = 2
        async with gateways.running(site, tmp_path) as (gateway,):
            with pytest.raises(httpx.RemoteProtocolError):
                await gateway.call(
                    'POST', '/draft/one', 's3', **gateways.PROMPT
                )
        assert sum(len(replica.runs) for replica in decode_replicas(site)) == 1


@pytest.mark.parametrize(
    ('method', 'path', 'headers', 'status'),
    [
        ('GET', '/lookup/entry', {}, 200),
        ('GET', '/notice/today', {'authorization': ''}, 200),
        ('GET', '/nowhere/', {}, 404),
        ('GET', '/lookup/entry', {'host': 'other.example'}, 404),
        ('GET', '/lookup/entry', {'authorization': 'Bearer no'}, 401),
        ('GET', '/lookup/entry', {'authorization': ''}, 401),
        ('GET', '/lookup/entry', {'x-request-deadline-ms': 'soon'}, 400),
        ('GET', '/lookup/entry', {'x-request-deadline-ms': '10'}, 503),
    ],
    ids=[
        'valid-key',
        'public-route',
        'unknown-path',
        'unknown-host',
        'unknown-key',
        'no-key',
        'invalid-deadline',
        'deadline-too-short',
    ],
)
async def test_status_is_right_and_connection_stays_usable(
    tmp_path, method, path, headers, status
):
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            answer = await gateway.call(method, path, **headers)
            assert answer.status_code == status
            # The connection can be used for the next request.
            again = await gateway.call('GET', '/lookup/entry', 'r2')
            assert again.status_code == 200


async def test_caller_cannot_forge_internal_headers(tmp_path):
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            forged = {
                'x-tenant': 'guild',
                'x-kv-hold': 'h',
                'x-kv-backup': '1.2.3.4:5',
                'x-pin-ms': '1000',
                'x-kv-source': '1.2.3.4:5/6',
                'x-stage': 'prefill',
                'x-expect-version': '9',
                'kv-fetch': '1.2.3.4:5',
                'x-own-word': 'kept',
            }
            await gateway.call('POST', '/register/x', 'f1', **forged)
        desks = [r for r in site.replicas if r.service == 'desk']
        (seen,) = [found for desk in desks for found in desk.headers]
        assert seen['x-tenant'] == 'club'
        assert seen['x-own-word'] == 'kept'
        for name in set(forged) - {'x-tenant', 'x-own-word'}:
            assert name not in seen


@pytest.mark.parametrize(
    ('path', 'fault', 'status', 'runs'),
    [
        # May have run: not retried, and not reported as not run.
        ('/register/x', {'silent': True}, 504, 1),
        ('/register/x', {'fails_with': 500}, 500, 1),
        # Ran at no replica, by their own word.
        ('/register/x', {'full': True}, 502, 0),
        ('/lookup/x', {'full': True}, 503, 0),
        # Idempotent: retried at another replica.
        ('/lookup/x', {'fails_with': 500}, 500, 2),
    ],
    ids=[
        'at-most-once-timeout',
        'at-most-once-error',
        'at-most-once-full',
        'idempotent-full',
        'idempotent-error',
    ],
)
async def test_replica_fault_is_retried_only_where_safe(
    tmp_path, path, fault, status, runs
):
    async with sites.running() as site:
        desks = [r for r in site.replicas if r.service == 'desk']
        for desk in desks:
            vars(desk.faults).update(fault)
        async with gateways.running(site, tmp_path) as (gateway,):
            answer = await gateway.call('POST', path, 'v1')
        assert answer.status_code == status
        assert sum(len(desk.runs) for desk in desks) == runs
        if status == 503:
            assert float(answer.headers['retry-after']) > 0


async def test_disconnect_cancels_the_replicas_work(tmp_path):
    """Guard against a replica that keeps working for a caller that is gone."""
    async with sites.running() as site:
        for replica in decode_replicas(site):
            replica.events = 2000
        async with gateways.running(site, tmp_path) as (gateway,):
            headers = gateway.headers('l1', **gateways.PROMPT)
            async with gateway.client.stream(
                'POST', '/ask/rule', headers=headers
            ) as answer:
                await anext(answer.aiter_bytes())
            with trio.fail_after(0.5):
                while not sum(
                    replica.cancelled for replica in decode_replicas(site)
                ):
                    await trio.sleep(0.01)


async def test_usage_is_reported_once_by_one_lease_holder(tmp_path):
    async with sites.running() as site:
        settings = {'usage_window_s': 1, 'usage_late_s': 2, 'lease_ms': 2400}
        async with gateways.running(site, tmp_path, 2, **settings) as running:
            for number in range(6):
                gateway = running[number % 2]
                answer = await gateway.call(
                    'GET', '/lookup/entry', f'u{number}'
                )
                assert answer.status_code == 200
            with trio.fail_after(12):
                while site.cloud.counts() != {'club': 6}:
                    await trio.sleep(0.05)
        windows = [report['window'] for report in site.cloud.reports]
        assert len(windows) == len(set(windows))
        assert len(set(site.cloud.holders)) == 1


async def test_malformed_replica_entry_is_skipped(tmp_path):
    async with sites.running() as site:
        for number, entry in enumerate(
            [{}, {'service': 'desk', 'state': 'odd'}, 'text', None, [1]]
        ):
            site.table.write('servers', f'i-0{number}', entry or {}, 0)
        async with gateways.running(site, tmp_path) as (gateway,):
            answer = await gateway.call('GET', '/lookup/entry')
            assert answer.status_code == 200


async def test_draining_replica_gets_no_new_request(tmp_path):
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            site.replica('i-desk-1').draining = True
            # Just below drain_ms of the settings.
            await trio.sleep(1.9)
            before = len(site.replica('i-desk-1').runs)
            for number in range(5):
                await gateway.call('GET', '/lookup/entry', f'd{number}')
            assert len(site.replica('i-desk-1').runs) == before
            assert len(site.replica('i-desk-2').runs) >= 5


async def test_replica_that_drains_during_prefill_gets_no_decode(tmp_path):
    """Guard against decode at a replica that began to drain during prefill.

    The decode replica must be chosen again when a long prefill has ended.
    """
    prefill_replica, draining_replica = (
        replicas.Replica('i-reader', 'models', 'a', 'prefill'),
        replicas.Replica('i-leaving', 'models', 'a', 'decode'),
    )
    staying_replica = replicas.Replica('i-staying', 'models', 'a', 'decode')
    prefill_replica.tokens_per_s = 1460 / 2.2
    # Prefill at the decode replica would take far longer.
    draining_replica.tokens_per_s = 1.0
    async with sites.running(
        [prefill_replica, draining_replica, staying_replica]
    ) as site:
        staying_replica.draining = True
        async with gateways.running(site, tmp_path) as (gateway,):
            answers = []

            async def call():
                answers.append(
                    await gateway.call(
                        'POST', '/ask/rule', 'm1', **gateways.PROMPT
                    )
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                with trio.fail_after(2):
                    while not prefill_replica.reads:
                        await trio.sleep(0.01)
                draining_replica.draining = True
                staying_replica.start_again()
        assert answers[0].status_code == 200
        assert [run.request_id for run in staying_replica.runs] == ['m1']
        assert draining_replica.runs == []


async def test_only_a_newer_configuration_is_applied(tmp_path):
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            tenants = [{'name': 'club', 'api_keys': ['club-key-2']}]
            changed = {**sites.CONFIG, 'version': 9, 'tenants': tenants}
            site.put_config(changed)
            with trio.fail_after(2):
                while (
                    await gateway.call('GET', '/lookup/entry')
                ).status_code != 401:
                    await trio.sleep(0.05)
            # An older version has no effect.
            site.put_config(sites.CONFIG)
            await trio.sleep(0.3)
            answer = await gateway.call('GET', '/lookup/entry')
            assert answer.status_code == 401


async def test_vm_without_the_store_gets_configuration_from_a_peer(tmp_path):
    """Guard against a revoked key that stays valid without store access.

    A peer sends the new configuration to a VM that the store refuses.
    """
    async with sites.running() as site:
        async with gateways.running(site, tmp_path, 2) as (one, _):
            # Wait until the peers are connected.
            await trio.sleep(1.5)
            site.faults.refused_status = 503
            site.faults.refused_vms = {'front-a-0'}
            tenants = [{'name': 'club', 'api_keys': ['club-key-2']}]
            site.put_config({**sites.CONFIG, 'version': 9, 'tenants': tenants})
            # Below config_apply_ms plus max_stretch_ms of the settings.
            with trio.fail_after(5):
                while (
                    await one.call('GET', '/lookup/entry')
                ).status_code != 401:
                    await trio.sleep(0.1)


async def test_start_without_the_store_answers_503(tmp_path):
    """Guard against a 401 or 404 from a VM that has no configuration yet."""
    async with sites.running() as site:
        site.faults.down = True
        async with gateways.starting(site, tmp_path) as gateway:
            answer = await gateway.first_answer()
            assert answer.status_code == 503
            assert float(answer.headers['retry-after']) > 0
            assert not await gateway.ready()


async def test_request_during_the_start_waits_for_the_store(tmp_path):
    """Guard against refusals while a new process reads its configuration."""
    async with sites.running() as site:
        site.faults.delay_s = 0.2
        async with gateways.starting(site, tmp_path) as gateway:
            answer = await gateway.first_answer()
            assert answer.status_code == 200


def test_start_imports_no_web_framework():
    """Guard against imports that slow down the restart of a process."""
    code = (
        'import sys; import gentianstair.gateway.main;'
        "print({'quart', 'flask', 'jinja2', 'cappa'} & set(sys.modules))"
    )
    found = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        timeout=30,
        check=True,
    )
    assert found.stdout.strip() == 'set()'


def test_default_replicas_are_distinct_and_without_fault():
    names = {replica.name for replica in sites.default_replicas()}
    assert len(names) == 5
    assert replicas.Faults().fails_with == 0
