"""Test admission: fair order, deadlines, slots and refusals."""

import pytest
import trio
import trio.testing

from gentianstair import errors
from gentianstair import verdict
from gentianstair.entry import admission
from gentianstair.entry import work


def make_work(number, customer='a', deadline_s=1e6, **other):
    values = {'prompt_tokens': 100, 'max_tokens': 25, **other}
    return work.Work(
        f'r{number}', customer, 'm', deadline_s=deadline_s, **values
    )


def make_queue(slots=1, cost_per_s=200.0, **options):
    """Return a queue whose slots take 1 s for a request by make_work."""
    queue = admission.make_queue(**options)
    queue.set_capacity('m', slots, cost_per_s * slots)
    return queue


async def run(queue, item, outcomes, service_s=1.0):
    """Run a request; add its id to outcomes, with the error if refused."""
    try:
        async with queue.admit(item):
            outcomes.append(item.request_id)
            await trio.sleep(service_s)
    except errors.RequestError as error:
        assert error.verdict is verdict.Verdict.NOT_RUN
        outcomes.append((item.request_id, error))


@pytest.mark.parametrize(
    ('items', 'order'),
    [
        ('a a a b', 'a b a a'),
        ('a a a+ b', 'a b a+ a'),
    ],
    ids=['new-customer', 'priority-within-customer'],
)
async def test_no_customer_waits_behind_the_queue_of_another(
    autojump_clock, items, order
):
    queue = make_queue()
    outcomes = []
    async with trio.open_nursery() as nursery:
        for number, name in enumerate(items.split()):
            item = make_work(
                number, name.strip('+'), priority=int(name.endswith('+'))
            )._replace(request_id=name)
            nursery.start_soon(run, queue, item, outcomes)
            await trio.testing.wait_all_tasks_blocked()
    assert ' '.join(outcomes) == order


@pytest.mark.promise
async def test_request_that_would_be_late_is_refused_and_not_queued(
    autojump_clock,
):
    # A request that cannot meet its deadline must not take engine time. It
    # is refused with a Retry-After and leaves the queue unchanged.
    queue = make_queue()
    outcomes = []
    async with trio.open_nursery() as nursery:
        for number in range(5):
            nursery.start_soon(run, queue, make_work(number), outcomes)
            await trio.testing.wait_all_tasks_blocked()
        before = queue.waiting_count('m')
        await run(
            queue, make_work(9, deadline_s=trio.current_time() + 2), outcomes
        )
        assert queue.waiting_count('m') == before
    refused = next(item for item in outcomes if isinstance(item, tuple))
    assert refused[1].retry_after_s > 0


async def test_caller_that_hangs_up_frees_its_slot_or_place(autojump_clock):
    # One caller hangs up while it is queued, another while it runs. Guards
    # against lost slots and work that nobody waits for.
    queue = make_queue()
    outcomes = []
    async with trio.open_nursery() as first:
        first.start_soon(run, queue, make_work(1), outcomes, 100)
        await trio.testing.wait_all_tasks_blocked()
        async with trio.open_nursery() as second:
            second.start_soon(run, queue, make_work(2), outcomes)
            await trio.testing.wait_all_tasks_blocked()
            second.cancel_scope.cancel()
        assert queue.waiting_count('m') == 0
        first.cancel_scope.cancel()
    assert queue.running_count('m') == 0
    await run(queue, make_work(3), outcomes)
    assert outcomes == ['r1', 'r3']


async def test_lost_capacity_refuses_the_queue_at_once(autojump_clock):
    # All engines of a model go while requests are queued. Guards against
    # requests that are refused only at their deadline, minutes later.
    queue = make_queue(slots=2)
    outcomes = []
    async with trio.open_nursery() as nursery:
        for number in range(6):
            item = make_work(number, deadline_s=trio.current_time() + 5)
            nursery.start_soon(run, queue, item, outcomes)
        await trio.testing.wait_all_tasks_blocked()
        queue.set_capacity('m', 0)
        await trio.testing.wait_all_tasks_blocked()
        assert queue.waiting_count('m') == 0
    assert sum(isinstance(item, tuple) for item in outcomes) == 4
