"""Test where requests are sent, beside a twin that goes by load alone."""

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

ENGINE = catalog.Engine(64, 400000, 18432, 180000.0, 5.0, 3.0, ('m',))
BODY_BYTES = 17000


def replica(name, stage, domain='a', slots=64):
    return replicas.Replica(
        name, 's', f'{name}:80', domain, slots, False, stage, 1, 0, False, ()
    )


def prompt(shared, own, name='book'):
    parts = (
        calls.PromptPart(name, shared),
        calls.PromptPart(f'{name}-{own}-own', own),
    )
    return calls.Prompt('m', shared + own, 100, parts)


class Model:
    """A placement and what it knows."""

    def __init__(self):
        self.now_s = 0.0
        self.work = replica_load.LoadTracker(lambda: self.now_s)
        self.cache = prefix_index.PrefixIndex()
        self.placement = placement.Placement(
            'a',
            self.work,
            self.cache,
            prefill_costs.PrefillCosts(),
            random.Random(7),
        )

    def stream(self, found, wanted):
        return self.placement.plan_stream(
            found, wanted, ENGINE, BODY_BYTES, found
        )


FLEET = [
    replica('reader-1', 'prefill'),
    replica('reader-2', 'prefill'),
    replica('maker-1', 'decode'),
    replica('maker-2', 'decode'),
]


def test_a_long_prompt_is_read_by_a_reader():
    model = Model()
    plan = model.stream(FLEET, prompt(13300, 3700))
    assert plan.prefill_replica.stage == 'prefill'
    assert plan.uncached_tokens == 17000


def test_shared_parts_are_sought_where_they_lie():
    model = Model()
    wanted = prompt(13300, 3700)
    model.cache.expect('reader-2', wanted, ENGINE.kv_tokens)
    plan = model.stream(FLEET, prompt(13300, 3800))
    assert plan.prefill_replica.name == 'reader-2'
    assert plan.uncached_tokens == 3800


def test_a_crowded_home_is_left():
    """Waiting longer than the part takes to read anew helps nobody."""
    model = Model()
    model.cache.expect('reader-1', prompt(13300, 3700), ENGINE.kv_tokens)
    model.work.begin('reader-1', 1.6, 1.6)
    plan = model.stream(FLEET, prompt(13300, 3800))
    assert (
        plan.prefill_replica is None or plan.prefill_replica.name == 'reader-2'
    )


def test_reads_are_kept_off_makers_with_streams():
    """A maker keeps all but 2,000 tokens of a prompt and runs 20 streams.

    Reading there would hold each of the streams up; their answers ran past
    their deadlines and were cut.
    """
    model = Model()
    model.cache.expect('maker-1', prompt(13300, 3700), ENGINE.kv_tokens)
    model.cache.expect('reader-1', prompt(13300, 3700), ENGINE.kv_tokens)
    for _ in range(20):
        model.work.begin('maker-1')
    plan = model.stream(FLEET, prompt(13300, 2000))
    assert plan.prefill_replica.name == 'reader-1'
    assert plan.decode_replica.name == 'maker-2'


def test_peers_loads_count_and_are_forgotten():
    model = Model()
    model.work.update_peer('peer', {'maker-1': replica_load.Load(60, 0)})
    makers = FLEET[2:]
    short = prompt(100, 200)
    names = {
        model.stream(makers, short).decode_replica.name for _ in range(20)
    }
    assert names == {'maker-2'}
    model.now_s += replica_load.PEER_TIMEOUT_S + 0.1
    names = {
        model.stream(makers, short).decode_replica.name for _ in range(20)
    }
    assert names == {'maker-1', 'maker-2'}


@pytest.mark.parametrize(
    ('near', 'far', 'wanted'), [(0, 0, 'near'), (1, 0, 'far'), (3, 4, 'near')]
)
def test_plain_calls_go_to_the_least_work(near, far, wanted):
    model = Model()
    found = [replica('far', '', 'b', 6), replica('near', '', 'a', 6)]
    for name, count in (('near', near), ('far', far)):
        for _ in range(count):
            model.work.begin(name)
    assert model.placement.choose_plain(found).name == wanted


@pytest.mark.parametrize('found', [[], FLEET[:2]])
def test_nowhere_to_make_output(found):
    assert Model().stream(found, prompt(10, 10)) is None


def run_day(choose, seed):
    """Return the tokens read of a day's prompts, with memory for half.

    34 shared parts of 13,300 tokens are asked for unevenly, and each of two
    readers keeps the last 16 of them.
    """
    chance = random.Random(seed)
    kept = {name: [] for name in ('reader-1', 'reader-2')}
    read = 0
    for number in range(1500):
        book = f'book{min(33, int(chance.expovariate(1 / 12)))}'
        name = choose(prompt(13300, 1000 + number, book))
        parts = kept[name]
        if book in parts:
            parts.remove(book)
        else:
            read += 13300
        parts.append(book)
        del parts[:-16]
    return read


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_less_is_read_again_than_by_load_alone(seed):
    """Prompts share 34 long parts, more than one reader keeps.

    By load alone each reader reads all of them again and again; by what
    lies where, each part has a home. At most 0.6 of the tokens are read.
    """
    model = Model()
    readers = [*FLEET[:2], replica('maker', 'decode', 'b')]

    def by_cache(wanted):
        plan = model.stream(readers, wanted)
        name = (
            plan.prefill_replica.name if plan.prefill_replica else 'reader-1'
        )
        model.cache.expect(name, wanted, 16 * 14300)
        return name

    turns = iter(range(10**6))

    def by_load(_):
        return ('reader-1', 'reader-2')[next(turns) % 2]

    assert run_day(by_cache, seed) < 0.6 * run_day(by_load, seed)


@pytest.mark.parametrize(
    ('domain', 'shared', 'copied'),
    [
        # 13,300 tokens are read in 0.4 s and moved in some 0.03 s.
        ('a', 13300, 13300),
        ('b', 13300, 13300),
        # Not worth a move: some hundred tokens are read as soon.
        ('a', 300, 0),
    ],
)
def test_a_cold_replica_copies_what_another_keeps(domain, shared, copied):
    """A replica has just started beside one that keeps all shared parts.

    Callers of a prompt that the warm one keeps would queue there, or wait
    until the cold one has read it anew.
    """
    model = Model()
    warm = replica('reader-1', 'prefill', domain)
    cold = replica('reader-2', 'prefill')
    fleet = [warm, cold, replica('maker-1', 'decode')]
    kept = prompt(shared, 100)
    model.cache.expect('reader-1', kept, ENGINE.kv_tokens)
    model.cache.confirm('reader-1', kept)
    # The warm one has much to read already.
    model.work.begin('reader-1', 2.4, 2.4)
    plan = model.stream(fleet, prompt(shared, 3700))
    reader = plan.prefill_replica or plan.decode_replica
    assert reader.name != 'reader-1'
    assert plan.copy.tokens == copied
    assert plan.uncached_tokens == shared + 3700 - copied
    assert plan.copy.address == (warm.address if copied else None)


def test_what_is_only_being_read_is_not_copied():
    """Two requests of one long part come within a tenth of a second.

    The second was sent to a cold reader that was to copy what the first
    one's reader had not read yet; it read everything anew, in 2 s.
    """
    model = Model()
    fleet = [
        replica('reader-1', 'prefill'),
        replica('reader-2', 'prefill'),
        replica('maker-1', 'decode'),
    ]
    model.cache.expect('reader-1', prompt(13300, 100), ENGINE.kv_tokens)
    model.work.begin('reader-1', 2.4, 2.4)
    plan = model.stream(fleet, prompt(13300, 3700))
    assert plan.copy.tokens == 0


def test_short_prompts_are_kept_off_long_reads():
    """A reader has just begun a prompt of a second's work.

    A short prompt that is sent there waits for all of it; a maker reads it
    between the tokens of its streams at once.
    """
    model = Model()
    model.work.begin('reader-1', 1.0, 1.0)
    model.work.begin('reader-2', 1.0, 1.0)
    plan = model.stream(FLEET, prompt(100, 200))
    assert plan.prefill_replica is None


@pytest.mark.parametrize(
    ('now_s', 'left_ms'),
    [(0.0, 500), (1.0, 500), (1.25, 250), (1.5, 150), (9.0, 150)],
)
def test_a_read_counts_for_what_is_left_of_it(now_s, left_ms):
    """It waits for a second and then takes half a second.

    What is queued is judged by these; one that is overdue is not nothing.
    """
    model = Model()
    model.work.begin('reader-1', 0.5, 1.5)
    model.now_s = now_s
    assert model.work.load_of('reader-1') == replica_load.Load(1, left_ms)


@pytest.mark.parametrize(
    ('now_s', 'left_ms'), [(0.0, 100), (0.15, 50), (0.2, 2000), (1.2, 1000)]
)
def test_an_overdue_read_counts_for_all_of_its_prompt(now_s, left_ms):
    """A read of 0.1 s was to copy most of a long prompt; the source is gone.

    Short prompts were sent behind it for two seconds, as it counted for
    nothing from when it should have ended.
    """
    model = Model()
    model.work.begin('maker-1', 0.1, 0.2, miss_penalty_s=2.0)
    model.now_s = now_s
    assert model.work.load_of('maker-1').queued_prefill_ms == left_ms


def test_a_choice_among_many_replicas_is_quick():
    """Seventy replicas, each keeping something else of a prompt."""
    model = Model()
    fleet = [
        replica(f'r-{number}', 'decode', f'd{number % 4}')
        for number in range(70)
    ]
    for number, one in enumerate(fleet):
        found = prompt(100 * number + 1, 50)
        model.cache.expect(one.name, found, ENGINE.kv_tokens)
    started_s = time.process_time()
    for _ in range(20):
        model.stream(fleet, prompt(13300, 3700))
    # 0.6 ms each on one core; with each pair compared it was 4 ms.
    assert (time.process_time() - started_s) / 20 < 0.01
