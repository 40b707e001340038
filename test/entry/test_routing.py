"""Test the choice of upstreams with stale and incomplete information."""

import collections

import pytest

from gentianstair.bench import baselines
from gentianstair.entry import routing
from gentianstair.entry import upstream_load
from gentianstair.entry import work as works

NONE: frozenset[str] = frozenset()
BLOCKS = tuple(range(0, 128, 2))


def make_work(name='r', blocks=(), model='m'):
    tokens = len(blocks) * works.BLOCK_TOKENS + 50
    return works.Work(name, 'c', model, tokens, 100, 60.0, block_hashes=blocks)


def make_infos(count, **fields):
    return [
        routing.UpstreamInfo(f'e{index}', 'd0', **fields)
        for index in range(count)
    ]


def make_router(infos, vm_name='vm-0'):
    router = routing.make_router(vm_name, 'd0', 7)
    router.set_upstreams(infos)
    return router


def report(requests=0, prefill_tokens=0, age_s=1.0):
    return {
        'age_s': age_s,
        'running': requests,
        'waiting': 0,
        'waiting_prefill_tokens': prefill_tokens,
        'kv_used_blocks': 0,
        'kv_total_blocks': 2000,
    }


@pytest.mark.parametrize(
    ('started_s', 'reported', 'others'),
    [
        # The report was made at 9.0; the request was sent before or after.
        (8.5, 3000, 0),
        (8.5, 5000, 2000),
        (9.5, 0, 0),
        (9.5, 2000, 2000),
    ],
    ids=[
        'sent-before-alone',
        'sent-before-with-others',
        'sent-after-alone',
        'sent-after-with-others',
    ],
)
def test_delayed_report_does_not_count_own_requests_twice(
    started_s, reported, others
):
    view = upstream_load.UpstreamLoad()
    view.started('r', 3000, started_s)
    view.on_report(upstream_load.parse_report(report(1, reported), 10.0))
    assert view.others_prefill_tokens == others
    assert view.estimate(10.0).prefill_tokens == 3000 + others


def test_report_that_arrives_after_a_newer_one_is_ignored():
    view = upstream_load.UpstreamLoad()
    view.on_report(upstream_load.parse_report(report(1, 100, 0.5), 10.0))
    view.on_report(upstream_load.parse_report(report(9, 900, 5.0), 10.1))
    assert view.others_prefill_tokens == 100


def test_entry_processes_with_the_same_stale_report_do_not_herd():
    # Eight entry processes read the same report, in which one engine is
    # idle. The least-loaded baseline sends all requests to that one.
    busiest = {}
    for kind in ('router', 'baseline'):
        counts = collections.Counter()
        for vm in range(8):
            if kind == 'router':
                router = make_router(make_infos(10), f'vm-{vm}')
            else:
                router = baselines.LeastLoadedRouter(f'vm-{vm}', 7)
                router.set_upstreams(make_infos(10))
            for index in range(10):
                load = report(0 if index == 3 else 10)
                router.on_load(f'e{index}', load, 10.0)
            for number in range(10):
                work = make_work(f'{vm}-{number}')
                choice = router.choose(work, 10.0, NONE)
                router.started(choice, work, 10.0)
                counts[choice.upstream] += 1
        busiest[kind] = max(counts.values())
    assert busiest['baseline'] == 80
    assert busiest['router'] <= 24


def test_shared_prefix_stays_on_one_engine_until_its_queue_costs_more():
    routers = [make_router(make_infos(5), f'vm-{vm}') for vm in range(8)]
    work = make_work('first', BLOCKS)
    home = routers[0].choose(work, 0.0, NONE)
    routers[0].started(home, work, 0.0)
    routers[0].first_token(home, work, 0.5)
    routers[0].finished(home, work, 1.0, 0, 100, False)
    again = routers[0].choose(make_work('again', BLOCKS), 1.0, NONE)
    assert again.upstream == home.upstream
    assert again.inputs['cached_tokens'] == 4096
    # A queue of 20,000 tokens takes 2 s; another prefill of 4,096 takes less.
    routers[0].on_load(home.upstream, report(4, 20000, 0.1), 1.1)
    moved = routers[0].choose(make_work('moved', BLOCKS), 1.1, NONE)
    assert moved.upstream != home.upstream


def test_cache_hits_that_never_occur_are_no_longer_expected():
    # Removal events were lost, so the index still holds 4,096 tokens that
    # the engine does not have cached.
    router = make_router(make_infos(1))
    expected = []
    for number in range(30):
        work = make_work(f'r{number}', BLOCKS)
        choice = router.choose(work, float(number), NONE)
        expected.append(choice.inputs['cached_tokens'])
        router.started(choice, work, float(number))
        router.finished(choice, work, number + 0.5, 0, 100, False)
    assert expected[1] == 4096
    assert expected[-1] < 400


def test_removal_event_counts_although_earlier_events_were_lost():
    router = make_router(make_infos(1))
    work = make_work('r', BLOCKS)
    choice = router.choose(work, 0.0, NONE)
    router.started(choice, work, 0.0)
    events = [{'type': 'removed', 'hashes': list(BLOCKS[10:])}]
    router.on_cache_events('e0', events, True)
    again = router.choose(work, 0.1, NONE)
    assert again.inputs['cached_tokens'] == 640


def test_engine_that_fails_fast_is_not_preferred_for_its_low_load():
    # Failed requests end at once, so a failing engine has the fewest in
    # flight.
    router = make_router(make_infos(2))
    chosen = collections.Counter()
    for number in range(100):
        now_s = number * 0.1
        work = make_work(f'r{number}')
        choice = router.choose(work, now_s, NONE)
        chosen[choice.upstream] += 1
        router.started(choice, work, now_s)
        if choice.upstream == 'e0':
            router.finished(choice, work, now_s + 0.001, 0, 0, True)
    assert chosen['e0'] <= 5
    # Its failure rate has decayed, so it is tried again.
    work = make_work('late')
    assert router.choose(work, 100.0, NONE).upstream == 'e0'


def test_engine_that_changes_its_role_is_not_chosen():
    # During the change it is idle, which makes it the best by load, but it
    # refuses requests.
    router = make_router(make_infos(2))
    router.on_load('e0', {**report(), 'state': 'changing'}, 1.0)
    router.on_load('e1', {**report(20, 9000), 'state': 'serving'}, 1.0)
    for number in range(20):
        choice = router.choose(make_work(f'r{number}'), 1.1, NONE)
        assert choice.upstream == 'e1'
    router.on_load('e0', {**report(), 'state': 'serving'}, 2.0)
    assert router.choose(make_work('back'), 2.1, NONE).upstream == 'e0'


@pytest.mark.parametrize(
    'make',
    [
        lambda: routing.make_router('vm-0', 'd0', 7),
        lambda: baselines.RandomRouter('vm-0', 7),
        lambda: baselines.RoundRobinRouter('vm-0', 7),
        lambda: baselines.LeastLoadedRouter('vm-0', 7),
    ],
    ids=['router', 'random', 'round-robin', 'least-loaded'],
)
@pytest.mark.parametrize('count', [0, 1, 2, 3, 5, 100])
def test_upstream_excluded_draining_or_without_the_model_is_not_chosen(
    make, count
):
    router = make()
    good = [routing.UpstreamInfo(f'g{i}', 'd0', ('m',)) for i in range(count)]
    bad = [
        routing.UpstreamInfo('draining', 'd0', ('m',), state='draining'),
        routing.UpstreamInfo('other', 'd0', ('n',)),
    ]
    router.set_upstreams(good + bad)
    exclude = frozenset({'g0', 'g2'})
    allowed = {info.name for info in good} - exclude
    for number in range(200):
        work = make_work(f'r{number}', (number, *BLOCKS))
        choice = router.choose(work, number * 0.01, exclude)
        if choice is None:
            assert not allowed
            continue
        assert choice.upstream in allowed
        router.started(choice, work, number * 0.01)


def test_reported_role_takes_precedence_over_the_configured_one():
    # The planner changed an engine's role to prefill, but its configuration
    # still says mixed.
    router = routing.make_router('vm', 'd0', split=True)
    infos = make_infos(2)
    router.set_upstreams(infos)
    report = {
        'running': 0,
        'waiting': 0,
        'waiting_prefill_tokens': 0,
        'kv_used_blocks': 0,
        'kv_total_blocks': 2000,
        'state': 'serving',
    }
    for name, role in (('e0', 'prefill'), ('e1', 'decode')):
        router.on_load(name, {**report, 'role': role}, 0.0)
    for _ in range(2):
        work = make_work('r')._replace(prompt_tokens=8000)
        choice = router.choose(work, 0.1, NONE)
        assert (choice.prefill_upstream, choice.upstream) == ('e0', 'e1')
        # Each change of the configuration brings the old role again.
        router.set_upstreams(infos)
