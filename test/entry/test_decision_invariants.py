"""Test invariants of queues and retries, also on the naive baselines."""

import random

import pytest
import trio

from gentianstair import errors
from gentianstair import verdict
from gentianstair.bench import twins
from gentianstair.entry import admission
from gentianstair.entry import retry_policy
from gentianstair.entry import work

SLOTS = 6


def make_queue(kind):
    if kind == 'fifo':
        return twins.FifoQueue(SLOTS)
    queue = admission.make_queue(record=lambda decision: None)
    queue.set_capacity('m', SLOTS, SLOTS * 100.0)
    return queue


class RandomLoad:
    """Random requests, hang-ups and failures against one queue."""

    def __init__(self, kind, seed):
        self.rng = random.Random(seed)
        self.queue = make_queue(kind)
        self.running = 0
        self.most_running = 0
        # Number and outcome of each request that ended.
        self.ended = []

    async def run_request(self, number):
        rng = random.Random(f'{number}')
        item = work.Work(
            f'r{number}',
            rng.choice('aabc'),
            'm',
            rng.randint(10, 300),
            rng.randint(0, 30),
            trio.current_time() + rng.uniform(0.0, 12.0),
            rng.choice((0, 0, 1)),
        )
        with trio.move_on_after(
            rng.choice((rng.uniform(0, 5), 100.0))
        ) as patience:
            try:
                await self.hold_slot(item, rng)
            except errors.RequestError as error:
                assert error.verdict is verdict.Verdict.NOT_RUN
                self.ended.append((number, 'refused'))
            except errors.UpstreamError:
                self.ended.append((number, 'failed'))
        if patience.cancelled_caught:
            self.ended.append((number, 'gone'))

    async def hold_slot(self, item, rng):
        async with self.queue.admit(item) as ticket:
            self.running += 1
            self.most_running = max(self.most_running, self.running)
            try:
                await trio.sleep(rng.uniform(0.0, 3.0))
                if rng.random() < 0.2:
                    raise errors.UpstreamError('x', verdict.Verdict.RAN)
                ticket.charge(item.prompt_tokens, item.max_tokens // 2)
            finally:
                self.running -= 1
        self.ended.append((int(item.request_id[1:]), 'served'))

    async def run(self, count):
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(self.run_request, number)
                await trio.sleep(self.rng.expovariate(8.0))


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('kind', ['fifo', 'fair'])
async def test_hangups_and_failures_neither_lose_nor_duplicate_slots(
    autojump_clock, kind, seed
):
    # Callers hang up and upstreams fail at any time, also when a slot is
    # being granted.
    load = RandomLoad(kind, seed)
    await load.run(400)
    assert sorted(number for number, _ in load.ended) == list(range(400))
    assert load.most_running <= SLOTS
    assert load.running == 0
    for number in range(SLOTS):
        item = work.Work(f'r{number}', 'z', 'm', 1, 1, 1e9)
        admitted = load.queue.admit(item)
        with trio.fail_after(1.0):
            await admitted.__aenter__()
    if kind == 'fair':
        assert load.queue.waiting_count('m') == 0


@pytest.mark.parametrize('attempt', range(1, 6))
@pytest.mark.parametrize('repeatable', [True, False])
@pytest.mark.parametrize('outcome', list(verdict.Verdict))
def test_request_that_may_have_run_is_not_retried(
    attempt, repeatable, outcome
):
    error = errors.UpstreamError('x', outcome)
    policy = retry_policy.make_retry_policy(1)
    retried = policy.decide(error, 'c', 'u', attempt, repeatable, 9.0).retry
    not_run = outcome is verdict.Verdict.NOT_RUN
    baseline_retried = twins.retry_at_once(attempt, repeatable, not_run)
    if not repeatable and not not_run:
        assert not retried and not baseline_retried
    assert not retried or baseline_retried
