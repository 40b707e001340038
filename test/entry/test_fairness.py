"""Test the service counters and the VMs' shares of capacity."""

import random

import pytest
import trio

from gentianstair.bench import fairness as bench
from gentianstair.entry import admission
from gentianstair.entry import fairness
from gentianstair.entry import work


@pytest.mark.parametrize(
    ('total', 'demands', 'weights', 'expected'),
    [
        (10, {'a': 3, 'b': 4}, {}, {'a': 3, 'b': 4}),
        (10, {'a': 100, 'b': 100}, {'b': 3}, {'a': 2.5, 'b': 7.5}),
        (10, {'a': 1, 'b': 100, 'c': 5}, {}, {'a': 1, 'b': 4.5, 'c': 4.5}),
        (0, {'a': 1}, {}, {'a': 0}),
    ],
    ids=['enough', 'weighted', 'small-demand', 'nothing'],
)
def test_weighted_shares_are_max_min_fair(total, demands, weights, expected):
    shares = fairness.max_min_fair(
        total, demands, lambda name: weights.get(name, 1)
    )
    assert shares == pytest.approx(expected)


def test_customer_that_was_idle_does_not_shut_out_others():
    # Without a counter lift, a customer that was idle is served alone until
    # it has caught up with the others.
    counters = fairness.Counters(lambda name: 1.0)
    for _ in range(1000):
        counters.charge('busy', 100.0)
    counters.lift('back', counters.value('busy'))
    heap = fairness.CustomerHeap(counters)
    heap.add('busy')
    heap.add('back')
    served = []
    for _ in range(10):
        name = heap.lowest()
        counters.charge(name, 100.0)
        served.append(name)
    assert served.count('busy') == 5


@pytest.mark.parametrize('seed', range(5))
def test_lazy_heap_finds_the_same_customer_as_a_full_search(seed):
    rng = random.Random(seed)
    counters = fairness.Counters(lambda name: 1.0 + ord(name) % 3)
    heap = fairness.CustomerHeap(counters)
    waiting = set()
    for _ in range(2000):
        name = rng.choice('abcdefgh')
        if rng.random() < 0.2 and name in waiting:
            waiting.discard(name)
            heap.remove(name)
        elif name not in waiting:
            waiting.add(name)
            heap.add(name)
        amount = rng.uniform(-30.0, 100.0)
        counters.charge(name, amount)
        if amount < 0.0 and name in waiting:
            heap.add(name)
        expected = min(waiting, key=counters.order_key, default=None)
        assert heap.lowest() == expected


def make_summary(incarnation, served, waiting=0.0):
    row = {
        'model': 'm',
        'customer': 'a',
        'served_cost': served,
        'demand_cost_per_s': 1.0,
        'waiting_cost': waiting,
    }
    return {
        'version': fairness.SUMMARY_VERSION,
        'vm': 'v2',
        'incarnation': incarnation,
        'rows': [row],
    }


@pytest.mark.parametrize(
    ('summaries', 'value'),
    [
        ([('x', 100.0), ('x', 150.0)], 50.0),
        ([('x', 100.0), ('x', 150.0), ('x', 150.0)], 50.0),
        ([('x', 100.0), ('x', 150.0), ('x', 120.0), ('x', 150.0)], 50.0),
        # A restarted peer counts from zero.
        ([('x', 100.0), ('x', 150.0), ('y', 5.0), ('y', 15.0)], 60.0),
    ],
    ids=['in-order', 'repeated', 'reordered', 'restarted-peer'],
)
def test_merge_counts_what_peers_served_once(summaries, value):
    queue = admission.make_queue('v1', clock=lambda: 0.0)
    queue.set_vms(['v1', 'v2'])
    for incarnation, served in summaries:
        queue.merge('v2', make_summary(incarnation, served))
    assert queue.counters('m').value('a') == value


@pytest.mark.promise
def test_customers_on_different_vms_do_not_drift_apart(monkeypatch):
    # Two backlogged customers share no VM, so no queue compares their
    # counters; only the VMs' shares of capacity can keep them level.
    monkeypatch.setattr(bench, 'RUN_S', 150.0)
    widest = bench.widest_gap('fair', 1, tuple(range(2, 8)), (0, 1))
    assert widest < bench.gap_bound(bench.GAP_WEIGHTS) / 4.0


@pytest.mark.parametrize(
    ('heard', 'running'),
    [([], 2), (['v2'], 4), (['v2', 'v3', 'v4'], 8)],
    ids=['hears-no-peer', 'hears-one-peer', 'hears-all-peers'],
)
async def test_vm_cut_off_from_peers_does_not_use_their_shares(
    autojump_clock, heard, running
):
    # A VM loses the links to its peers but not to the engines. If it took
    # their demand for zero, it would overload the engines.
    queue = admission.make_queue('v1')
    queue.set_vms(['v1', 'v2', 'v3', 'v4'])
    queue.set_capacity('m', 8, 800.0)
    for vm in heard:
        queue.merge(vm, {**make_summary('x', 0.0), 'vm': vm, 'rows': []})

    async def run(number):
        item = work.Work(f'r{number}', 'a', 'm', 100, 0, 1e6)
        async with queue.admit(item):
            await trio.sleep(60)

    async with trio.open_nursery() as nursery:
        for number in range(80):
            nursery.start_soon(run, number)
        await trio.sleep(1)
        queue.summary()
        await trio.sleep(1)
        assert queue.running_count('m') == running
        nursery.cancel_scope.cancel()


async def test_limited_summaries_send_every_row_in_turn(autojump_clock):
    # More customers are active than a summary has rows. Guards against
    # customers whose usage on this VM is never reported to peers.
    queue = admission.make_queue('v1')
    queue.set_capacity('m', 100, 1000.0)
    reported = set()
    for number in range(35):
        item = work.Work(f'r{number}', f'c{number}', 'm', 100, 0, 1e6)
        async with queue.admit(item):
            pass
    for _ in range(4):
        rows = queue.summary(10)['rows']
        assert len(rows) <= 10
        reported.update(row['customer'] for row in rows)
    assert len(reported) == 35
