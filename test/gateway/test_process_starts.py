"""Test how a VM finds out which start of a replica answers it."""

import types

import pytest
import trio

from gentianstair import errors
from gentianstair.core import upstream_limits
from gentianstair.gateway import calls
from gentianstair.gateway import known_starts
from gentianstair.gateway import process_starts
from gentianstair.upstreams import transport
from gentianstair.util import moments
from gentianstair.util import tasks

FIRST_MS, SECOND_MS = 5, 9
LIMIT_S = 0.5
REPLICA = types.SimpleNamespace(
    name='i-1', address='127.0.0.1:1', service='models', started_ms=FIRST_MS
)


def run_of(started_ms):
    return upstream_limits.UpstreamRun('i-1', started_ms)


class Stream:
    """A connection that nothing goes through."""


def connection():
    """Return a connection that is opened now."""
    return transport.Connection(Stream(), moments.next_moment())


class Play:
    """A replica that tells its start, and what a VM finds out of it."""

    def __init__(self, nursery):
        self.started_ms = FIRST_MS
        self.asks = 0
        self.takes_s = 0.01
        self.error = None
        self.asked_fresh = []
        self.only_kept_fail = False
        # The connection that reports come on.
        self.told_on = Stream()
        self.known = known_starts.KnownStarts()
        self.starts = process_starts.ProcessStarts(
            self._tell, self._record, self.known, tasks.Tasks(nursery)
        )

    async def _tell(self, replica, limit_s, *, fresh):
        self.asks += 1
        self.asked_fresh.append(fresh)
        started_ms = self.started_ms
        await trio.sleep(self.takes_s)
        if self.error is not None and not (fresh and self.only_kept_fail):
            raise self.error
        body = b'{"born": %d}' % started_ms
        return calls.Report(200, body, self.told_on)

    def _record(self, replica, run):
        self.known.record_process(run, replica.service)

    def hear(self, started_ms):
        self.known.record_entry(run_of(started_ms), 'models', 'v1')

    def ask(self, found):
        """Ask about a connection on which an answer comes now."""
        self.starts.ask(REPLICA, found, moments.next_moment())

    async def find(self, found):
        moment = moments.next_moment()
        return await self.starts.find(REPLICA, found, moment, LIMIT_S)


@pytest.fixture
async def play():
    async with trio.open_nursery() as nursery:
        yield Play(nursery)
        nursery.cancel_scope.cancel()


async def test_connection_is_of_the_start_that_was_heard_of_before(
    autojump_clock, play
):
    play.hear(FIRST_MS)
    assert await play.find(connection()) == run_of(FIRST_MS)


@pytest.mark.parametrize('asked_before', [True, False])
async def test_start_that_may_be_newer_than_a_connection_is_none(
    autojump_clock, play, asked_before
):
    # Guards against a process that took the address after the connection
    # to the one before it was opened.
    play.hear(FIRST_MS)
    early = connection()
    if asked_before:
        play.ask(early)
    play.started_ms = SECOND_MS
    assert await play.find(early) is None
    assert await play.find(early) is None
    assert not play.starts.accepts(REPLICA, early)
    assert await play.find(connection()) == run_of(SECOND_MS)


async def test_answer_to_an_earlier_question_proves_nothing(
    autojump_clock, play
):
    # Guards against a process that ended after it had told its start.
    play.hear(FIRST_MS)
    play.hear(SECOND_MS)
    play.ask(connection())
    await trio.sleep(play.takes_s / 2)
    late = connection()
    play.started_ms = SECOND_MS
    assert await play.find(late) == run_of(SECOND_MS)


async def test_connection_that_is_known_asks_nothing(autojump_clock, play):
    play.hear(FIRST_MS)
    kept = connection()
    for _ in range(5):
        assert await play.find(kept) == run_of(FIRST_MS)
    assert play.starts.accepts(REPLICA, kept)
    assert play.asks == 1


async def test_connections_opened_at_once_share_questions(
    autojump_clock, play
):
    # Guards against a burst of questions to one replica.
    play.hear(FIRST_MS)
    for _ in range(20):
        play.ask(connection())
        await trio.sleep(play.takes_s / 100)
    opened = [connection() for _ in range(20)]
    async with trio.open_nursery() as nursery:
        for one in opened:
            nursery.start_soon(play.find, one)
    assert play.asks <= 3
    assert all(play.starts.accepts(REPLICA, one) for one in opened)


@pytest.mark.parametrize(
    ('error', 'takes_s'),
    [
        (errors.DecodeError('no report in time'), 0.01),
        (errors.UnreachableError('refused'), 0.01),
        (None, 3.0),
    ],
    ids=['undecodable', 'unreachable', 'slow'],
)
async def test_replica_that_does_not_tell_is_not_known(
    autojump_clock, play, error, takes_s
):
    # Guards against silence that is taken for an answer.
    play.hear(FIRST_MS)
    play.error, play.takes_s = error, takes_s
    found = connection()
    assert await play.find(found) is None
    play.error, play.takes_s = None, 0.01
    await trio.sleep(5.0)
    assert await play.find(found) == run_of(FIRST_MS)


async def test_connection_of_unknown_age_is_not_known(autojump_clock, play):
    play.hear(FIRST_MS)
    found = transport.Connection(Stream(), None)
    assert await play.find(found) is None
    assert not play.starts.accepts(REPLICA, found)


async def test_connection_of_an_earlier_start_is_not_used_again(
    autojump_clock, play
):
    play.hear(FIRST_MS)
    kept = connection()
    await play.find(kept)
    play.hear(SECOND_MS)
    assert not play.starts.accepts(REPLICA, kept)


async def test_kept_connection_that_breaks_is_followed_by_a_new_one(
    autojump_clock, play
):
    # Guards against a question that its replica has never read.
    play.hear(FIRST_MS)
    play.error = errors.ConnectionBrokenError('closed')
    play.only_kept_fail = True
    assert await play.find(connection()) == run_of(FIRST_MS)
    assert play.asked_fresh == [False, True]


async def test_connection_on_which_a_start_is_told_is_its_own(
    autojump_clock, play
):
    # Guards against asking again on each connection.
    play.hear(FIRST_MS)
    await play.find(connection())
    told_on = transport.Connection(play.told_on, None)
    assert play.starts.accepts(REPLICA, told_on)
    assert await play.find(told_on) == run_of(FIRST_MS)
    assert play.asks == 1


async def test_replica_that_names_no_start_is_not_known(autojump_clock, play):
    # Guards against all starts of it being taken for one.
    play.hear(0)
    play.started_ms = 0
    assert await play.find(connection()) is None
