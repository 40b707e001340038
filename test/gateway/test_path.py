"""Test the whole path: callers, gateway, replicas, store and duties."""

import subprocess
import sys

import httpx
import pytest
import trio

from standins.site import replica as replicas
from standins.site import site as sites
from test.gateway import gateways


def makers(site):
    return [r for r in site.replicas if r.stage == 'decode']


async def test_a_stream_is_read_moved_and_passed_on(tmp_path):
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            answer = await gateway.call(
                'POST', '/ask/rule', 's1', **gateways.PROMPT
            )
        assert answer.status_code == 200
        assert answer.headers['x-response-signature'].startswith('signed-by')
        assert answer.text.count('data: word') == 5
        runs = [run for maker in makers(site) for run in maker.runs]
        assert [run.request_id for run in runs] == ['s1']
        assert runs[0].customer == 'club'
        assert not runs[0].key_shown
        # Each handle was taken or freed.
        assert site.replica('i-reader').handles == {}


async def test_what_a_leaving_replica_keeps_is_copied(tmp_path):
    """The replica that has read a long shared part leaves.

    The callers of that part waited until another one had read it anew,
    though the one that leaves keeps it for some seconds more.
    """
    async with sites.running() as site:
        warm = site.replica('i-reader')
        warm.kept = {'c0de': 13300}
        warm.changes = [[1, '+', '', 'c0de', 13300, 'm']]
        async with gateways.running(site, tmp_path) as (gateway,):
            # Until the gateway has heard what the replica keeps.
            await trio.sleep(1)
            warm.draining = True
            # Until it has heard that the replica leaves.
            await trio.sleep(1)
            headers = {
                'x-model': 'm',
                'x-token-count': '13400,80',
                'x-prefix-hash': 'c0de:13300,b0b:100',
            }
            answer = await gateway.call('POST', '/ask/rule', 'k', **headers)
            assert answer.status_code == 200
        assert warm.arrivals == 0
        copied = [maker.copied for maker in makers(site) if maker.runs]
        assert copied == [['c0de']]


@pytest.mark.parametrize('tokens', [90000, 5000000])
async def test_what_cannot_be_served_in_time_is_refused_at_once(
    tmp_path, tokens
):
    """A prompt takes longer to read than its caller waits.

    It was read all the same until the deadline, and others waited behind.
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


async def test_a_gap_in_cache_events_is_closed(tmp_path):
    """All VMs lost power. The replicas still keep the prompts' shared parts.

    They tell only their newest changes, so the new processes took the rest
    for gone and had long prompts read anew, elsewhere.
    """
    async with sites.running() as site:
        warm = site.replica('i-maker-1')
        warm.kept = {'c0de': 13300, 'beef': 900}
        warm.changes = [
            [1, '+', '', 'c0de', 13300, 'm'],
            [2, '+', '', 'beef', 900, 'm'],
        ]
        warm.forgotten = 1
        async with gateways.running(site, tmp_path, 2) as found:
            await trio.sleep(1)
            for number, gateway in enumerate(found):
                headers = {
                    'x-model': 'm',
                    'x-token-count': '13400,80',
                    'x-prefix-hash': f'c0de:13300,b0b{number}:100',
                }
                answer = await gateway.call(
                    'POST', '/ask/rule', f'k{number}', **headers
                )
                assert answer.status_code == 200
        assert warm.lists_read == 2
        kept_or_copied = warm.arrivals + sum(
            'c0de' in replica.copied for replica in site.replicas
        )
        assert kept_or_copied >= 2


async def test_a_stream_goes_on_where_its_replica_stopped(tmp_path):
    """A replica is lost in the middle of an event.

    The caller sees one whole answer: the two events that were passed on,
    and the rest from another replica that was asked to go on after them.
    """
    async with sites.running() as site:
        for maker in makers(site):
            maker.faults.breaks_after = 2
        async with gateways.running(site, tmp_path) as (gateway,):
            answer = await gateway.call(
                'POST', '/ask/rule', 's2', **gateways.PROMPT
            )
        text = answer.text
        words = [f'word{number}' for number in range(1, 6)]
        found = [line[6:] for line in text.split('\n') if 'data' in line]
        assert found == words
        firsts = [run.first_event for m in makers(site) for run in m.runs]
        assert sorted(firsts) == [1, 3]


async def test_a_stream_that_may_not_be_resumed_is_cut(tmp_path):
    """A broken stream of such a route must not look complete."""
    async with sites.running() as site:
        for maker in makers(site):
            maker.faults.breaks_after = 2
        async with gateways.running(site, tmp_path) as (gateway,):
            with pytest.raises(httpx.RemoteProtocolError):
                await gateway.call(
                    'POST', '/draft/one', 's3', **gateways.PROMPT
                )
        assert sum(len(maker.runs) for maker in makers(site)) == 1


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
)
async def test_what_a_caller_gets(tmp_path, method, path, headers, status):
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            answer = await gateway.call(method, path, **headers)
            assert answer.status_code == status
            # The connection is good for the next request.
            again = await gateway.call('GET', '/lookup/entry', 'r2')
            assert again.status_code == 200


async def test_headers_of_the_system_are_its_own(tmp_path):
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
        # May have run: never sent again, and not called not run.
        ('/register/x', {'silent': True}, 504, 1),
        ('/register/x', {'fails_with': 500}, 500, 1),
        # Did not run anywhere.
        ('/register/x', {'full': True}, 503, 0),
        ('/lookup/x', {'full': True}, 503, 0),
        # May run again, at another replica.
        ('/lookup/x', {'fails_with': 500}, 500, 2),
    ],
)
async def test_verdicts_under_faults(tmp_path, path, fault, status, runs):
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


async def test_a_caller_that_leaves_stops_the_work(tmp_path):
    """The caller hangs up in the middle of a stream.

    Its replica must stop within half a second, or it works for nobody.
    """
    async with sites.running() as site:
        for maker in makers(site):
            maker.events = 2000
        async with gateways.running(site, tmp_path) as (gateway,):
            headers = gateway.headers('l1', **gateways.PROMPT)
            async with gateway.client.stream(
                'POST', '/ask/rule', headers=headers
            ) as answer:
                await anext(answer.aiter_bytes())
            with trio.fail_after(0.5):
                while not sum(maker.cancelled for maker in makers(site)):
                    await trio.sleep(0.01)


async def test_usage_is_reported_once_by_one_holder(tmp_path):
    async with sites.running() as site:
        terms = {'usage_window_s': 1, 'usage_late_s': 2, 'lease_ms': 2400}
        async with gateways.running(site, tmp_path, 2, **terms) as found:
            for number in range(6):
                gateway = found[number % 2]
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


async def test_an_entry_of_another_writer_is_passed_over(tmp_path):
    async with sites.running() as site:
        for number, entry in enumerate(
            [{}, {'service': 'desk', 'state': 'odd'}, 'text', None, [1]]
        ):
            site.table.write('servers', f'i-0{number}', entry or {}, 0)
        async with gateways.running(site, tmp_path) as (gateway,):
            answer = await gateway.call('GET', '/lookup/entry')
            assert answer.status_code == 200


async def test_a_draining_replica_gets_no_more(tmp_path):
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            site.replica('i-desk-1').draining = True
            # The bound is two seconds.
            await trio.sleep(1.9)
            before = len(site.replica('i-desk-1').runs)
            for number in range(5):
                await gateway.call('GET', '/lookup/entry', f'd{number}')
            assert len(site.replica('i-desk-1').runs) == before
            assert len(site.replica('i-desk-2').runs) >= 5


async def test_a_maker_that_leaves_during_the_read_gets_no_more(tmp_path):
    """A prompt is read for over two seconds; its maker says it is leaving.

    The caller saw nothing, but the leaving replica got new work later than
    the bound: the maker was chosen before the read and not looked at again.
    """
    reader, leaving = (
        replicas.Replica('i-reader', 'models', 'a', 'prefill'),
        replicas.Replica('i-leaving', 'models', 'a', 'decode'),
    )
    staying = replicas.Replica('i-staying', 'models', 'a', 'decode')
    reader.tokens_per_s = 1460 / 2.2
    # Reading beside the output would take far longer still.
    leaving.tokens_per_s = 1.0
    async with sites.running([reader, leaving, staying]) as site:
        staying.draining = True
        async with gateways.running(site, tmp_path) as (gateway,):
            task = []

            async def call():
                task.append(
                    await gateway.call(
                        'POST', '/ask/rule', 'm1', **gateways.PROMPT
                    )
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                with trio.fail_after(2):
                    while not reader.reads:
                        await trio.sleep(0.01)
                leaving.draining = True
                staying.draining = False
        assert task[0].status_code == 200
        assert [run.request_id for run in staying.runs] == ['m1']
        assert leaving.runs == []


async def test_a_changed_configuration_comes_into_force(tmp_path):
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
            # An older version that is written again changes nothing.
            site.put_config(sites.CONFIG)
            await trio.sleep(0.3)
            answer = await gateway.call('GET', '/lookup/entry')
            assert answer.status_code == 401


async def test_a_vm_without_the_store_learns_from_a_peer(tmp_path):
    """The store turns one VM away just as a key is taken away.

    It would let the revoked key pass for as long as that lasts; a peer that
    has read the new version tells it.
    """
    async with sites.running() as site:
        async with gateways.running(site, tmp_path, 2) as (one, _):
            # Time for the links to stand.
            await trio.sleep(1.5)
            site.faults.refused_status = 503
            site.faults.refused_vms = {'front-a-0'}
            tenants = [{'name': 'club', 'api_keys': ['club-key-2']}]
            site.put_config({**sites.CONFIG, 'version': 9, 'tenants': tenants})
            # The bound is seven seconds: two, and five for such a VM.
            with trio.fail_after(5):
                while (
                    await one.call('GET', '/lookup/entry')
                ).status_code != 401:
                    await trio.sleep(0.1)


async def test_a_start_without_the_store_says_not_yet(tmp_path):
    """A VM that knows no configuration must not deny what is allowed."""
    async with sites.running() as site:
        site.faults.down = True
        async with gateways.starting(site, tmp_path) as gateway:
            answer = await gateway.first_answer()
            assert answer.status_code == 503
            assert float(answer.headers['retry-after']) > 0
            assert not await gateway.ready()


async def test_a_call_during_the_start_waits_for_the_store(tmp_path):
    """All VMs were killed, and callers are back before the store answered.

    Refused, each came back a second later; the configuration was there a
    few hundredths after the refusal.
    """
    async with sites.running() as site:
        site.faults.delay_s = 0.2
        async with gateways.starting(site, tmp_path) as gateway:
            answer = await gateway.first_answer()
            assert answer.status_code == 200


def test_a_start_imports_no_framework():
    """A killed process serves nobody until its imports are done.

    Quart and what it brings took a third of them, for two small paths.
    """
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


def test_replicas_sample_matches_the_registry():
    names = {replica.name for replica in sites.default_replicas()}
    assert len(names) == 5
    assert replicas.Faults().fails_with == 0
