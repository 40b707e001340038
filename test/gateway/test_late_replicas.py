"""Test attempts at replicas that answer late, with and without a retry."""

import socket
import time
import types

import pytest
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.gateway import late_attempt
from gentianstair.gateway import unary
from gentianstair.util import overrun
from standins.site import site as sites
from test.gateway import gateways

# Later than a retry would be sent, and in time for the caller.
LATE_S = {'desk': 0.8, 'models': 1.6}
NO_BUDGET = {'budget_ratio': 0.0, 'retry_slack': 0}
# A service's replicas that are left; one that is full is no other to try.
ALL_REPLICAS, ONE_REPLICA = 9, 1


@pytest.mark.parametrize(
    ('path', 'service', 'settings', 'usable', 'runs'),
    [
        ('/lookup/x', 'desk', {}, ALL_REPLICAS, 2),
        ('/lookup/x', 'desk', NO_BUDGET, ALL_REPLICAS, 1),
        ('/lookup/x', 'desk', {}, ONE_REPLICA, 1),
        ('/register/x', 'desk', {}, ALL_REPLICAS, 1),
        ('/ask/rule', 'models', {}, ALL_REPLICAS, 2),
        ('/ask/rule', 'models', NO_BUDGET, ALL_REPLICAS, 1),
        ('/ask/rule', 'models', {}, ONE_REPLICA, 1),
        ('/draft/one', 'models', {}, ALL_REPLICAS, 1),
    ],
    ids=[
        'unary, retried',
        'unary, no budget',
        'unary, no other replica',
        'unary, at most once',
        'stream, resumed',
        'stream, no budget',
        'stream, no other replica',
        'stream, not resumable',
    ],
)
async def test_late_answer_is_waited_for_where_no_retry_may_follow(
    tmp_path, path, service, settings, usable, runs
):
    # Guards against a 502 or a cut stream while the replica still works and
    # its answer would have come in time.
    async with sites.running() as site:
        able = [
            replica
            for replica in site.replicas
            if replica.service == service and replica.stage != 'prefill'
        ]
        for replica in able[usable:]:
            replica.draining = True
        for replica in able[:usable]:
            replica.faults.late_s = LATE_S[service]
        async with gateways.running(site, tmp_path, **settings) as (gateway,):
            prompt = gateways.PROMPT if service == 'models' else {}
            answer = await gateway.call('POST', path, 'l1', **prompt)
        assert answer.status_code == 200
        assert answer.text.startswith('done') or (
            answer.text.count('data: word') == 5
        )
        assert sum(len(replica.runs) for replica in able) == runs


class Attempt:
    """Counts what is asked of an attempt that is late from the start."""

    def __init__(self, budget_after_s):
        self.budget_at_s = trio.current_time() + budget_after_s
        self.late = 0

    def reserve_retry(self):
        return trio.current_time() >= self.budget_at_s

    def record_late(self):
        self.late += 1

    def ask(self, late_s=1.0):
        late_at_s = trio.current_time() + late_s
        return late_attempt.Attempt(
            lambda: late_at_s - trio.current_time(),
            self.reserve_retry,
            self.record_late,
        )


@pytest.mark.parametrize(
    ('work_s', 'budget_after_s', 'took_s', 'is_done', 'late'),
    [
        (0.5, 0.0, 0.5, True, 0),
        (5.0, 0.0, 1.0, False, 0),
        (5.0, 9.0, 5.0, True, 1),
        (5.0, 3.0, 3.0, False, 1),
    ],
    ids=['in time', 'replaced', 'no budget', 'budget comes later'],
)
async def test_attempt_ends_early_only_for_a_retry(
    autojump_clock, work_s, budget_after_s, took_s, is_done, late
):
    # Guards against giving an attempt up though nothing may take its place.
    attempt = Attempt(budget_after_s)
    started_s = trio.current_time()

    async def work():
        await trio.sleep(work_s)

    done = await late_attempt.run_unless_replaced(work, attempt.ask())
    assert done == is_done
    assert attempt.late == late
    elapsed_s = trio.current_time() - started_s
    assert took_s <= elapsed_s <= took_s + 2 * late_attempt.RETRY_CHECK_S


async def test_error_of_an_attempt_is_raised_as_it_is(autojump_clock):
    # Guards against a group of exceptions that nothing takes as a failure.
    async def fail():
        raise errors.UpstreamError('broken', verdicts.Verdict.RAN)

    with pytest.raises(errors.UpstreamError, match='broken'):
        await late_attempt.run_unless_replaced(fail, Attempt(0.0).ask())


async def test_answer_that_came_while_the_process_was_held_up_is_taken():
    # Guards against a retry, and a replica that counts as late, because this
    # process was frozen or had no processor.
    for _ in range(20):
        attempt = Attempt(budget_after_s=0.0)
        ours, theirs = socket.socketpair()

        async def read(ours=ours):
            await trio.lowlevel.wait_readable(ours)
            # A body takes more than one read.
            await trio.lowlevel.checkpoint()

        async def hold_up(theirs=theirs):
            await trio.lowlevel.checkpoint()
            theirs.send(b'answer')
            time.sleep(0.06 + overrun.HELD_UP_S)

        with ours, theirs:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(hold_up)
                assert await late_attempt.run_unless_replaced(
                    read, attempt.ask(late_s=0.05)
                )


@pytest.mark.parametrize(
    ('remaining_s', 'is_replaced'), [(1.0, True), (0.3, True), (0.2, False)]
)
def test_late_attempt_is_not_replaced_by_one_with_less_time(
    remaining_s, is_replaced
):
    # Guards against a budget that comes shortly before the deadline, and an
    # answer on its way that is given up for an attempt that can't end.
    request = types.SimpleNamespace(
        remaining_s=lambda: remaining_s, reserve_retry=lambda: True
    )
    assert unary._reserve_retry(request, 0.3) == is_replaced
