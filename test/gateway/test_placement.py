"""Test the choice of replicas by load and cached prefixes."""

import random
import time

import pytest

from gentianstair.gateway import calls
from gentianstair.gateway import catalog
from gentianstair.gateway import placement
from gentianstair.gateway import prefill_costs
from gentianstair.gateway import prefix_index
from gentianstair.gateway import replica_load
from gentianstair.gateway import replicas

ENGINE = catalog.Engine(64, 400000, 18432, 180000.0, ('m',))
BODY_BYTES = 17000


def replica(name, stage, domain='a', slots=64):
    return replicas.Replica(
        name, 's', f'{name}:80', domain, slots, False, stage, 1, 0, False, ()
    )


def prompt(shared, own, name='book'):
    """Return a prompt with a shared prefix and a part of its own."""
    parts = (
        calls.PromptPart(name, shared),
        calls.PromptPart(f'{name}-{own}-own', own),
    )
    return calls.Prompt('m', shared + own, 100, parts)


class Scheduler:
    """A placement with its load tracker and prefix index."""

    def __init__(self):
        self.now_s = 0.0
        self.load = replica_load.LoadTracker(lambda: self.now_s)
        self.index = prefix_index.PrefixIndex()
        self.placement = placement.Placement(
            'a',
            self.load,
            self.index,
            prefill_costs.PrefillCosts(),
            random.Random(7),
        )

    def plan(self, candidates, prompt_):
        return self.placement.plan_stream(
            candidates, prompt_, ENGINE, BODY_BYTES, candidates
        )


# The prefill replicas are named reader, the decode replicas maker.
FLEET = [
    replica('reader-1', 'prefill'),
    replica('reader-2', 'prefill'),
    replica('maker-1', 'decode'),
    replica('maker-2', 'decode'),
]


def test_long_prompt_goes_to_a_prefill_replica():
    scheduler = Scheduler()
    plan = scheduler.plan(FLEET, prompt(13300, 3700))
    assert plan.prefill_replica.stage == 'prefill'
    assert plan.uncached_tokens == 17000


def test_prompt_goes_to_the_replica_with_its_prefix():
    scheduler = Scheduler()
    earlier = prompt(13300, 3700)
    scheduler.index.expect('reader-2', earlier, ENGINE.kv_tokens)
    plan = scheduler.plan(FLEET, prompt(13300, 3800))
    assert plan.prefill_replica.name == 'reader-2'
    assert plan.uncached_tokens == 3800


def test_prompt_waits_no_longer_than_a_prefill_elsewhere():
    """The replica with the prefix has a queue of 1.6 s."""
    scheduler = Scheduler()
    scheduler.index.expect('reader-1', prompt(13300, 3700), ENGINE.kv_tokens)
    scheduler.load.begin('reader-1', 1.6, 1.6)
    plan = scheduler.plan(FLEET, prompt(13300, 3800))
    assert (
        plan.prefill_replica is None or plan.prefill_replica.name == 'reader-2'
    )


def test_prefill_does_not_delay_running_streams():
    """A decode replica with 20 streams has cached all but 2,000 tokens.

    A prefill there would delay these streams beyond their deadlines.
    """
    scheduler = Scheduler()
    scheduler.index.expect('maker-1', prompt(13300, 3700), ENGINE.kv_tokens)
    scheduler.index.expect('reader-1', prompt(13300, 3700), ENGINE.kv_tokens)
    for _ in range(20):
        scheduler.load.begin('maker-1')
    plan = scheduler.plan(FLEET, prompt(13300, 2000))
    assert plan.prefill_replica.name == 'reader-1'
    assert plan.decode_replica.name == 'maker-2'


def test_load_of_silent_peers_expires():
    scheduler = Scheduler()
    scheduler.load.update_peer('peer', {'maker-1': replica_load.Load(60, 0)})
    decoders = FLEET[2:]
    short = prompt(100, 200)
    names = {
        scheduler.plan(decoders, short).decode_replica.name for _ in range(20)
    }
    assert names == {'maker-2'}
    scheduler.now_s += replica_load.PEER_TIMEOUT_S + 0.1
    names = {
        scheduler.plan(decoders, short).decode_replica.name for _ in range(20)
    }
    assert names == {'maker-1', 'maker-2'}


@pytest.mark.parametrize(
    ('near', 'far', 'chosen'), [(0, 0, 'near'), (1, 0, 'far'), (3, 4, 'near')]
)
def test_unary_request_goes_to_the_least_loaded_replica(near, far, chosen):
    scheduler = Scheduler()
    candidates = [replica('far', '', 'b', 6), replica('near', '', 'a', 6)]
    for name, count in (('near', near), ('far', far)):
        for _ in range(count):
            scheduler.load.begin(name)
    found = scheduler.placement.choose_unary(candidates, {})
    assert found.name == chosen


@pytest.mark.parametrize(
    ('far_running', 'near_share', 'chosen'),
    [
        (0, 0.0, 'near'),
        (0, 0.4, 'far'),
        (6, 0.4, 'near'),
        (6, 1.0, 'near'),
        (5, 1.0, 'far'),
    ],
)
def test_unary_request_goes_first_where_it_is_likely_accepted(
    far_running, near_share, chosen
):
    # Guards against first choices of a replica that turns all away, which
    # has no load for that.
    scheduler = Scheduler()
    far, near = replica('far', '', 'b', 6), replica('near', '', 'a', 6)
    for _ in range(far_running):
        scheduler.load.begin('far')
    shares = {far.run: 0.0, near.run: near_share}
    found = scheduler.placement.choose_unary([far, near], shares)
    assert found.name == chosen


@pytest.mark.parametrize(
    'candidates',
    [[], FLEET[:2]],
    ids=['no-replicas', 'prefill-replicas-only'],
)
def test_no_plan_without_a_decode_replica(candidates):
    assert Scheduler().plan(candidates, prompt(10, 10)) is None


def recomputed_tokens(choose, seed):
    """Return how many prefix tokens two replicas compute in a simulation.

    34 prefixes of 13,300 tokens are in uneven demand. Each replica caches
    the last 16 of its prefixes.
    """
    rng = random.Random(seed)
    cached = {name: [] for name in ('reader-1', 'reader-2')}
    computed = 0
    for number in range(1500):
        book = f'book{min(33, int(rng.expovariate(1 / 12)))}'
        name = choose(prompt(13300, 1000 + number, book))
        parts = cached[name]
        if book in parts:
            parts.remove(book)
        else:
            computed += 13300
        parts.append(book)
        del parts[:-16]
    return computed


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_fewer_prefixes_are_recomputed_than_with_round_robin(seed):
    """More prefixes are in use than one replica can cache.

    Requests that share a prefix must stay at one replica.
    """
    scheduler = Scheduler()
    fleet = [*FLEET[:2], replica('maker', 'decode', 'b')]

    def by_cache(prompt_):
        plan = scheduler.plan(fleet, prompt_)
        name = (
            plan.prefill_replica.name if plan.prefill_replica else 'reader-1'
        )
        scheduler.index.expect(name, prompt_, 16 * 14300)
        return name

    turns = iter(range(10**6))

    def round_robin(_):
        return ('reader-1', 'reader-2')[next(turns) % 2]

    assert recomputed_tokens(by_cache, seed) < 0.6 * recomputed_tokens(
        round_robin, seed
    )


@pytest.mark.parametrize(
    ('domain', 'shared', 'copied'),
    [
        # Copying a long prefix is faster than computing it.
        ('a', 13300, 13300),
        ('b', 13300, 13300),
        # Computing a short prefix is about as fast.
        ('a', 300, 0),
    ],
)
def test_cold_replica_copies_a_cached_prefix(domain, shared, copied):
    """The replica with the prefix has a long queue, the other is cold.

    Callers must not wait for the queue, nor until the cold replica has
    computed the whole prompt.
    """
    scheduler = Scheduler()
    warm = replica('reader-1', 'prefill', domain)
    cold = replica('reader-2', 'prefill')
    fleet = [warm, cold, replica('maker-1', 'decode')]
    earlier = prompt(shared, 100)
    scheduler.index.expect('reader-1', earlier, ENGINE.kv_tokens)
    scheduler.index.confirm('reader-1', earlier)
    scheduler.load.begin('reader-1', 2.4, 2.4)
    plan = scheduler.plan(fleet, prompt(shared, 3700))
    replica_ = plan.prefill_replica or plan.decode_replica
    assert replica_.name != 'reader-1'
    assert plan.copy.tokens == copied
    assert plan.uncached_tokens == shared + 3700 - copied
    assert plan.copy.address == (warm.address if copied else None)


def test_no_copy_of_a_prefix_whose_prefill_is_running():
    """The source can't send it yet, so the copy would save nothing."""
    scheduler = Scheduler()
    fleet = [
        replica('reader-1', 'prefill'),
        replica('reader-2', 'prefill'),
        replica('maker-1', 'decode'),
    ]
    scheduler.index.expect('reader-1', prompt(13300, 100), ENGINE.kv_tokens)
    scheduler.load.begin('reader-1', 2.4, 2.4)
    plan = scheduler.plan(fleet, prompt(13300, 3700))
    assert plan.copy.tokens == 0


def test_short_prompt_does_not_queue_behind_long_prefills():
    """A decode replica runs it at once, between tokens of its streams."""
    scheduler = Scheduler()
    scheduler.load.begin('reader-1', 1.0, 1.0)
    scheduler.load.begin('reader-2', 1.0, 1.0)
    plan = scheduler.plan(FLEET, prompt(100, 200))
    assert plan.prefill_replica is None


@pytest.mark.parametrize(
    ('now_s', 'left_ms'),
    [(0.0, 500), (1.0, 500), (1.25, 250), (1.5, 150), (9.0, 150)],
)
def test_prefill_counts_with_its_remaining_work(now_s, left_ms):
    """It is queued for a second and then takes half a second.

    An overdue prefill must not count as done.
    """
    scheduler = Scheduler()
    scheduler.load.begin('reader-1', 0.5, 1.5)
    scheduler.now_s = now_s
    assert scheduler.load.load_of('reader-1') == replica_load.Load(1, left_ms)


@pytest.mark.parametrize(
    ('now_s', 'left_ms'), [(0.0, 100), (0.15, 50), (0.2, 2000), (1.2, 1000)]
)
def test_overdue_prefill_counts_with_its_whole_prompt(now_s, left_ms):
    """The source of its copy is gone, so it takes two seconds longer.

    Short prompts must not be queued behind it.
    """
    scheduler = Scheduler()
    scheduler.load.begin('maker-1', 0.1, 0.2, miss_penalty_s=2.0)
    scheduler.now_s = now_s
    assert scheduler.load.load_of('maker-1').queued_prefill_ms == left_ms


def test_planning_for_many_replicas_is_fast():
    """Seventy replicas have cached different numbers of tokens."""
    scheduler = Scheduler()
    fleet = [
        replica(f'r-{number}', 'decode', f'd{number % 4}')
        for number in range(70)
    ]
    for number, one in enumerate(fleet):
        cached = prompt(100 * number + 1, 50)
        scheduler.index.expect(one.name, cached, ENGINE.kv_tokens)
    started_s = time.process_time()
    for _ in range(20):
        scheduler.plan(fleet, prompt(13300, 3700))
    assert (time.process_time() - started_s) / 20 < 0.01


class CountedLoads(replica_load.LoadTracker):
    """Counts how often it is asked for a replica's load."""

    asked = 0

    def load_of(self, replica):
        self.asked += 1
        return super().load_of(replica)


@pytest.mark.parametrize('holders', [0, 40, 900])
def test_work_for_a_request_does_not_grow_with_the_fleet(holders):
    # Guards against a gateway that spends its processor on comparing all
    # replicas of a large fleet for each request.
    asked = {}
    for size in (1000, 3000):
        scheduler = Scheduler()
        scheduler.load = CountedLoads(lambda: 0.0)
        scheduler.placement._load_tracker = scheduler.load
        fleet = [
            replica(f'i-{n}', 'prefill' if n % 3 == 0 else 'decode')
            for n in range(size)
        ]
        for held in fleet[:holders]:
            scheduler.index.update(held.name, 'book', 13300)
        for _ in range(10):
            scheduler.plan(fleet, prompt(13300, 3700))
            scheduler.placement.choose_decode_replica(fleet, BODY_BYTES)
        asked[size] = scheduler.load.asked
    assert asked[3000] <= 1.1 * asked[1000]
    # Each candidate's load is asked for a few times.
    candidates = 2 * placement.MAX_COMPARED + 2 * placement.SAMPLE_SIZE
    assert asked[3000] <= 10 * 4 * candidates
