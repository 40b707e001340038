"""Test whether a replica whose connection broke is taken for ended."""

import pytest
import trio

from gentianstair import errors
from gentianstair.gateway import calls
from gentianstair.gateway import end_checks
from gentianstair.gateway import replicas

STARTED_MS = 17
REPLICA = replicas.Replica(
    'i-1', 'models', '10.0.0.1:1', 'a', 64, False, '', STARTED_MS, 0, False, ()
)


class Reports:
    """A replica that reports of itself, or does not."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.asked = 0

    async def fetch(self, replica, limit_s):
        self.asked += 1
        await trio.sleep(0.01)
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


def record_start(replica, run):
    """Take the start that a replica tells."""


def report(status=200, born=STARTED_MS):
    return calls.Report(status, b'{"born": %d}' % born)


@pytest.mark.parametrize(
    ('outcome', 'expected'),
    [
        (errors.UnreachableError('refused'), True),
        (errors.ConnectionBrokenError('closed'), True),
        (report(421), True),
        (report(born=18), True),
        (report(), False),
        (report(born=0), False),
        (report(503), False),
        (errors.DecodeError('no report in time'), False),
        (errors.InvalidResponseError('no response'), False),
        (errors.UpstreamBackoffError('asked for a pause'), False),
    ],
    ids=[
        'refused',
        'broken-again',
        'another-replica',
        'started-again',
        'lives',
        'hides-its-start',
        'no-report',
        'silent',
        'sends-no-response',
        'wants-a-pause',
    ],
)
async def test_end_is_told_from_a_broken_connection(
    autojump_clock, outcome, expected
):
    # Guards against a replica that breaks answers off and lives on.
    checks = end_checks.EndChecks(
        Reports(outcome).fetch, record_start, trio.current_time
    )
    assert await checks.has_ended(REPLICA, REPLICA.run) == expected


@pytest.mark.parametrize(
    ('outcome', 'later'),
    [(errors.UnreachableError('refused'), 1), (report(), 2)],
)
async def test_requests_that_lost_a_replica_share_a_check(
    autojump_clock, outcome, later
):
    # Guards against a check for each of hundreds of requests.
    reports = Reports(outcome)
    checks = end_checks.EndChecks(
        reports.fetch, record_start, trio.current_time
    )
    async with trio.open_nursery() as nursery:
        for _ in range(100):
            nursery.start_soon(checks.has_ended, REPLICA, REPLICA.run)
    assert reports.asked == 1
    await trio.sleep(2.0)
    await checks.has_ended(REPLICA, REPLICA.run)
    assert reports.asked == later


async def test_start_that_no_entry_tells_is_not_taken_for_ended(
    autojump_clock,
):
    # Guards against ends of a start that lives and broke an answer off.
    told = []
    checks = end_checks.EndChecks(
        Reports(report(born=18)).fetch,
        lambda replica, run: told.append(run),
        trio.current_time,
    )
    assert await checks.has_ended(REPLICA, REPLICA.run)
    newest = REPLICA.run._replace(started_ms=18)
    assert told == [newest]
    assert not await checks.has_ended(REPLICA, newest)
