"""Check the engine stand-in against cases worked out by hand."""

import pytest
import trio

from standins import history
from standins.engine import costs
from standins.engine import model
from standins.engine import orders

HASHES = tuple(range(100, 115))


def request(name, prompt=1000, output=3, hashes=(), priority=0):
    return model.Request(name, prompt, output, hashes, priority)


def make_engine(nursery, **options):
    engine = model.Engine(model.Options(**options))
    nursery.start_soon(engine.run)
    return engine


@pytest.mark.parametrize(
    ('role', 'prompt', 'output', 'first_s', 'end_s'),
    [
        # 512 tokens: 12 + 52.736 ms; 488 tokens: 12 + 50.264 ms; then steps
        # with 1001 and 1002 tokens of context: 12.1 + 0.087087 and 0.087174.
        ('mixed', 1000, 3, 0.127, 0.151374261),
        # One step: 12 + 103 ms.
        ('prefill', 1000, 1, 0.115, 0.115),
        # 15 steps of 64 and one of 40 tokens: 16 x 12 + 103 ms.
        ('decode', 1000, 1, 0.295, 0.295),
    ],
)
async def test_lone_request_takes_the_time_worked_out(
    autojump_clock, role, prompt, output, first_s, end_s
):
    async with trio.open_nursery() as nursery:
        engine = make_engine(nursery, role=role)
        started_s = trio.current_time()
        sequence = engine.submit(request('a', prompt, output))
        await sequence.wait_end()
        assert sequence.first_token_s - started_s == pytest.approx(first_s)
        assert sequence.last_token_s - started_s == pytest.approx(end_s)
        nursery.cancel_scope.cancel()


async def test_prefill_delays_the_output_of_others(autojump_clock):
    # A sequence in decode makes a token each 12.1 ms; a prompt of 1024
    # tokens in two chunks stretches two of its steps by 52.7 ms each.
    async with trio.open_nursery() as nursery:
        engine = make_engine(nursery)
        first = engine.submit(request('a', 64, 200))
        await first.wait_past(10)
        before_s = first.last_token_s
        engine.submit(request('b', 1024, 1))
        await first.wait_past(13)
        gap_s = first.last_token_s - before_s
        assert gap_s == pytest.approx(3 * 0.0121 + 2 * 0.0527, abs=1e-3)
        nursery.cancel_scope.cancel()


async def test_cached_prefix_is_not_read_again(autojump_clock):
    async with trio.open_nursery() as nursery:
        engine = make_engine(nursery)
        for name, cached in [('a', 0), ('b', 960)]:
            sequence = engine.submit(request(name, 1000, 1, HASHES))
            await sequence.wait_end()
            assert sequence.cached_tokens == cached
        # The second one read 40 tokens: 12 + 4.12 ms.
        took_s = sequence.last_token_s - sequence.arrived_s
        assert took_s == pytest.approx(0.01612)
        assert engine.cache.used == 0
        nursery.cancel_scope.cancel()


async def test_cache_evicts_oldest_and_tells_late_with_gaps(autojump_clock):
    small = costs.DEFAULT._replace(blocks=20)
    async with trio.open_nursery() as nursery:
        engine = make_engine(
            nursery, costs=small, event_delay_s=5.0, event_loss=0.4, seed=3
        )
        others = tuple(range(200, 215))
        for name, hashes in [('a', HASHES), ('b', others)]:
            await engine.submit(request(name, 1000, 1, hashes)).wait_end()
        # 16 blocks for b leave 4 of 20: the start of a's prefix stays.
        assert engine.cache.match(HASHES) == 4
        assert engine.cache.events(0) == ([], 0)
        await trio.sleep(5.0)
        events, last = engine.cache.events(0)
        assert [item.seq for item in events] != list(range(1, last + 1))
        nursery.cancel_scope.cancel()


async def test_urgent_work_goes_first_and_cancel_frees(autojump_clock):
    one = costs.DEFAULT._replace(max_running=1)
    async with trio.open_nursery() as nursery:
        engine = make_engine(nursery, costs=one)
        running = engine.submit(request('a', 64, 10000))
        await running.wait_past(1)
        patient = engine.submit(request('b'))
        urgent = engine.submit(request('c', priority=5))
        assert engine.cancel('a')
        assert not engine.cancel('a')
        await patient.wait_end()
        assert urgent.last_token_s < patient.first_token_s
        assert engine.cache.used == 0
        assert running.state == 'cancelled'
        nursery.cancel_scope.cancel()


async def test_load_is_told_as_it_was(autojump_clock):
    async with trio.open_nursery() as nursery:
        engine = make_engine(nursery, load_lag_s=1.0)
        await trio.sleep(2.0)
        sequence = engine.submit(request('a', 1000, 200))
        await trio.sleep(0.5)
        assert engine.load().running + engine.load().waiting == 0
        await trio.sleep(0.7)
        assert engine.load().running + engine.load().waiting == 1
        await sequence.wait_end()
        await trio.sleep(1.1)
        assert engine.load().running == 0
        nursery.cancel_scope.cancel()


async def test_role_change_finishes_work_then_takes_seconds(autojump_clock):
    async with trio.open_nursery() as nursery:
        engine = make_engine(nursery)
        book = orders.OrderBook(engine, history.History('e'))
        running = engine.submit(request('a', 64, 100))
        await running.wait_past(1)
        order = orders.Order(2, 1, 'vm-1', 'set_role', 'decode')
        assert (await book.take(order, nursery))[0] == 200
        await trio.sleep(0.01)
        with pytest.raises(model.RefusedError) as caught:
            engine.submit(request('b'))
        assert caught.value.status == 503
        await running.wait_end()
        assert running.produced == 100
        await trio.sleep(3.9)
        assert engine.state == 'changing'
        await trio.sleep(0.2)
        assert (engine.state, engine.role) == ('serving', 'decode')
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('checks', 'second', 'status', 'reason'),
    [
        (True, orders.Order(1, 9, 'old', 'drain'), 409, 'stale_epoch'),
        (False, orders.Order(1, 9, 'old', 'drain'), 409, 'busy'),
        (True, orders.Order(2, 2, 'new', 'drain'), 409, 'busy'),
        (True, orders.Order(2, 1, 'new', 'set_role', 'decode'), 200, None),
        (True, orders.Order(2, 3, 'new', 'dance'), 400, 'unknown_type'),
    ],
)
async def test_second_order_while_one_is_carried_out(
    autojump_clock, checks, second, status, reason
):
    async with trio.open_nursery() as nursery:
        engine = make_engine(nursery, checks_fencing=checks)
        record = history.History('e')
        book = orders.OrderBook(engine, record)
        first = orders.Order(2, 1, 'new', 'set_role', 'decode')
        await book.take(first, nursery)
        found, body = await book.take(second, nursery)
        assert (found, body.get('reason')) == (status, reason)
        applied = [e for e in record.events if e.data.get('applied')]
        assert len(applied) == 1
        nursery.cancel_scope.cancel()
