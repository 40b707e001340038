"""Test admission: order, deadlines, slots, and honest refusals."""

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
    """Return a queue of slots that each take 1 s for a default work."""
    queue = admission.make_queue(**options)
    queue.set_capacity('m', slots, cost_per_s * slots)
    return queue


async def run(queue, item, done, service_s=1.0):
    try:
        async with queue.admit(item):
            done.append(item.request_id)
            await trio.sleep(service_s)
    except errors.RequestError as error:
        assert error.verdict is verdict.Verdict.NOT_RUN
        done.append((item.request_id, error))


@pytest.mark.parametrize(
    ('items', 'order'),
    [
        # A newcomer does not wait behind another customer's line.
        ('a a a b', 'a b a a'),
        # Priority goes first, but only within a customer.
        ('a a a+ b', 'a b a+ a'),
    ],
)
async def test_order(autojump_clock, items, order):
    queue = make_queue()
    done = []
    async with trio.open_nursery() as nursery:
        for number, name in enumerate(items.split()):
            item = make_work(
                number, name.strip('+'), priority=int(name.endswith('+'))
            )._replace(request_id=name)
            nursery.start_soon(run, queue, item, done)
            await trio.testing.wait_all_tasks_blocked()
    assert ' '.join(done) == order


@pytest.mark.promise
async def test_late_request_is_refused_at_once_and_nothing_stays(
    autojump_clock,
):
    # A judge's draft is asked for with 2 s left while 5 s of work wait.
    # Queued, it would come late and cost an engine for nothing; it must be
    # refused at once, with a time to return, and leave the queue as it was.
    queue = make_queue()
    done = []
    async with trio.open_nursery() as nursery:
        for number in range(5):
            nursery.start_soon(run, queue, make_work(number), done)
            await trio.testing.wait_all_tasks_blocked()
        before = queue.waiting_count('m')
        await run(
            queue, make_work(9, deadline_s=trio.current_time() + 2), done
        )
        assert queue.waiting_count('m') == before
    refused = next(item for item in done if isinstance(item, tuple))
    assert refused[1].retry_after_s > 0


async def test_hung_up_caller_frees_its_place_and_its_slot(autojump_clock):
    # A caller hangs up while it waits, another while it runs. A queue that
    # kept either would run work for nobody or lose the slot for good.
    queue = make_queue()
    done = []
    async with trio.open_nursery() as first:
        first.start_soon(run, queue, make_work(1), done, 100)
        await trio.testing.wait_all_tasks_blocked()
        async with trio.open_nursery() as second:
            second.start_soon(run, queue, make_work(2), done)
            await trio.testing.wait_all_tasks_blocked()
            second.cancel_scope.cancel()
        assert queue.waiting_count('m') == 0
        first.cancel_scope.cancel()
    assert queue.running_count('m') == 0
    await run(queue, make_work(3), done)
    assert done == ['r1', 'r3']


async def test_lost_capacity_refuses_the_queue_at_once(autojump_clock):
    # All engines of a model leave while requests wait. Left in the queue
    # they would learn of it only at their deadline, minutes later.
    queue = make_queue(slots=2)
    done = []
    async with trio.open_nursery() as nursery:
        for number in range(6):
            item = make_work(number, deadline_s=trio.current_time() + 5)
            nursery.start_soon(run, queue, item, done)
        await trio.testing.wait_all_tasks_blocked()
        queue.set_capacity('m', 0)
        await trio.testing.wait_all_tasks_blocked()
        assert queue.waiting_count('m') == 0
    assert sum(isinstance(item, tuple) for item in done) == 4
