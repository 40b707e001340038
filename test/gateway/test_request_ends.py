"""Test what a request learns of replicas whose connections broke."""

import types

import pytest
import trio

from gentianstair.core import prompt_faults
from gentianstair.core import recent_rejections
from gentianstair.gateway import replicas
from gentianstair.gateway import request_ends
from gentianstair.util import tasks

REPLICA = replicas.Replica(
    'i-1', 'models', '10.0.0.1:1', 'a', 64, False, '', 1, 0, False, ()
)
END = prompt_faults.End('i-1', 1, 0.0, 0.1)
CHECK_S = 0.01


class Checks:
    """The checks of a VM, which all take some time and find an end."""

    def __init__(self, took_s):
        self.took_s = took_s

    async def has_ended(self, replica, run):
        await trio.sleep(self.took_s)
        return True


class Parts:
    """The parts of a request, and the ends recorded under them."""

    def __init__(self, end):
        self.end = end
        self.ends = []

    def end_of(self, replica):
        return self.end

    def record_end(self, end):
        self.ends.append(end)


def make_ends(nursery, parts, listed=REPLICA, took_s=CHECK_S):
    node = types.SimpleNamespace(
        tasks=tasks.Tasks(nursery),
        end_checks=Checks(took_s),
        recent_rejections=recent_rejections.RecentRejections(
            trio.current_time
        ),
        registry=types.SimpleNamespace(get=lambda name: listed),
    )
    return request_ends.RequestEnds(node, parts, 'r1')


@pytest.mark.parametrize(
    ('listed', 'expected'),
    [
        (REPLICA, [END]),
        (REPLICA._replace(draining=True), []),
        (None, []),
    ],
    ids=['ended', 'draining', 'not-listed'],
)
async def test_end_is_recorded_before_the_next_attempt(
    autojump_clock, nursery, listed, expected
):
    # Guards against attempts that end a replica while an end is not known,
    # and against ends of replicas that were stopped.
    parts = Parts(END)
    ends = make_ends(nursery, parts, listed)
    ends.record_broken(REPLICA, REPLICA.run)
    began_s = trio.current_time()
    await ends.wait_for_check()
    assert parts.ends == expected
    waited_s = trio.current_time() - began_s
    assert waited_s == pytest.approx(CHECK_S if expected else 0.0)


@pytest.mark.parametrize(
    ('rejections', 'has_begun', 'expected'),
    [(2, False, []), (2, True, [END]), (1, False, [END]), (0, False, [END])],
    ids=['rejects-all', 'had-begun', 'rejected-once', 'serves'],
)
async def test_end_of_what_turned_all_away_is_no_requests_fault(
    autojump_clock, nursery, rejections, has_begun, expected
):
    # Guards against parts that are held back for ends of replicas that ran
    # nothing, as of some that end again and again while they start.
    parts = Parts(END)
    ends = make_ends(nursery, parts)
    for _ in range(rejections):
        ends._node.recent_rejections.record_rejection(REPLICA.run)
    ends.record_broken(REPLICA, REPLICA.run, has_begun)
    await ends.wait_for_check()
    assert parts.ends == expected


async def test_attempt_waits_for_a_long_check_for_a_moment_only(
    autojump_clock, nursery
):
    # Guards against callers who wait for a replica that does not answer.
    parts = Parts(END)
    ends = make_ends(nursery, parts, took_s=1.0)
    ends.record_broken(REPLICA, REPLICA.run)
    began_s = trio.current_time()
    await ends.wait_for_check()
    waited_s = trio.current_time() - began_s
    assert waited_s == pytest.approx(request_ends.MAX_CHECK_WAIT_S)
    assert not parts.ends
    await trio.sleep(1.0)
    assert parts.ends == [END]


async def test_third_attempt_waits_until_two_ends_are_known(
    autojump_clock, nursery
):
    # Guards against a third replica that ends under a request while it is
    # being looked up whether two have.
    parts = Parts(END)
    ends = make_ends(nursery, parts, took_s=0.5)
    for _ in range(2):
        ends.record_broken(REPLICA, REPLICA.run)
        await ends.wait_for_check()
    assert len(parts.ends) == 2


async def test_request_learns_of_a_check_that_failed(autojump_clock, nursery):
    # Guards against requests that wait for a check that has ended by a fault.
    parts = Parts(END)
    ends = make_ends(nursery, parts)

    async def fail(replica, run):
        await trio.sleep(CHECK_S)
        raise RuntimeError('planted')

    ends._node.end_checks.has_ended = fail
    began_s = trio.current_time()
    for _ in range(2):
        ends.record_broken(REPLICA, REPLICA.run)
        await ends.wait_for_check()
    assert trio.current_time() - began_s == pytest.approx(2 * CHECK_S)
    assert not parts.ends
