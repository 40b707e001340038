"""Test to which version a request that resumes a stream is bound."""

import types

import pytest

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import stream_origins
from gentianstair.core import upstream_limits
from gentianstair.gateway import known_starts
from gentianstair.gateway import origin_messages
from gentianstair.gateway import stream_version
from gentianstair.gateway import version_history

ORIGIN = stream_origins.Origin('models', 'v1', 'i-1', 17, 50_000)
UNTOLD = ORIGIN._replace(version=stream_origins.UNTOLD_VERSION, started_ms=19)
ENTRIES = [(17, 'v1')]


def run_of(started_ms):
    return upstream_limits.UpstreamRun('i-1', started_ms)


REPLICA = types.SimpleNamespace(name='i-1')
RESPONSE = types.SimpleNamespace(
    extensions={'connection': None, 'opened_at': 1}
)


def versions(*found, complete=True, current=True):
    return version_history.Versions(frozenset(found), complete, current)


class Request:
    """A request that resumes a stream, at a VM that sees some versions.

    Entries are starts of the replica that began it, with their versions.
    """

    customer_name = 'club'
    service = 'models'
    verdict = verdicts.Verdict.NOT_RUN
    route = types.SimpleNamespace(timeout_s=4.0, retryable=True)

    def __init__(self, call, seen, told, entries=ENTRIES):
        self.call = types.SimpleNamespace(
            request_id='r2', resumed_id=call[0], last_event_id=call[1]
        )
        self.digest = 'd1'
        self.producer = None
        self.recorded = []
        self.untold = []
        # What the process at the other end turns out to be.
        self.found = None
        self.is_confirmed = True
        self.starts = known_starts.KnownStarts()
        for started_ms, version in entries:
            self.starts.record_entry(run_of(started_ms), 'models', version)
        self.node = types.SimpleNamespace(
            registry=types.SimpleNamespace(
                versions=types.SimpleNamespace(
                    within=lambda *_: seen, widen=lambda _, time_s: time_s
                ),
                starts=self.starts,
                record_served=self._record_served,
            ),
            origin_keepers=self,
            process_starts=self,
            wall_clock=lambda: 50.0,
        )
        self._told = told

    def _record_served(self, service, run):
        if self.starts.version_of(run) is None:
            self.untold.append(run)

    async def ask(self, question):
        return self._told

    async def confirm(self, question):
        return self.is_confirmed

    async def find(self, replica, connection, answered_at, limit_s):
        return self.found

    def record(self, key, origin, lifetime_s):
        self.recorded.append(origin.version)

    def record_newest_start(self, replica):
        pass

    def bind(self, producer):
        self.producer = producer

    @property
    def version(self):
        return self.producer and self.starts.version_by(self.producer)

    def log(self, *args, **fields):
        pass


def told(origin=None, seen=None):
    return origin_messages.Knowledge(origin, seen or versions('v1', 'v2'))


RESUMED = ('r1', '6')
UNNAMED = (None, '6')
NO_EVENT = ('r1', None)
TWO = versions('v1', 'v2')
ONE = versions('v2')
FRESH = versions('v2', complete=False)


@pytest.mark.parametrize(
    ('call', 'seen', 'knowledge', 'expected'),
    [
        (RESUMED, TWO, told(ORIGIN), 'v1'),
        (RESUMED, ONE, told(ORIGIN), 'v1'),
        (RESUMED, ONE, told(UNTOLD), None),
        (RESUMED, ONE, told(None, ONE), 'v2'),
        (RESUMED, FRESH, told(None, ONE), 'v2'),
        (UNNAMED, ONE, told(None, ONE), 'v2'),
        (UNNAMED, FRESH, told(None, ONE), 'v2'),
        (NO_EVENT, TWO, told(), None),
        (NO_EVENT, TWO, told(ORIGIN), 'v1'),
        ((None, None), TWO, told(ORIGIN), None),
    ],
    ids=[
        'known',
        'known-though-gone',
        'known-and-untold',
        'one-version',
        'one-version-as-others-say',
        'unnamed-one-version',
        'unnamed-one-version-as-others-say',
        'no-event-unknown',
        'no-event-known',
        'new-stream',
    ],
)
async def test_resumed_stream_is_bound(call, seen, knowledge, expected):
    request = Request(call, seen, knowledge)
    await stream_version.StreamVersion(request).resolve()
    assert request.version == expected


@pytest.mark.parametrize(
    ('call', 'seen', 'knowledge'),
    [
        (RESUMED, TWO, told()),
        (RESUMED, FRESH, told(None, FRESH)),
        (RESUMED, ONE, told(None, TWO)),
        (RESUMED, ONE, told(None, ONE.with_untold())),
        (UNNAMED, TWO, told()),
        (UNNAMED, FRESH, told(None, FRESH)),
        (UNNAMED, ONE, told(None, TWO)),
        (RESUMED, TWO, told(ORIGIN._replace(service='others'))),
        (RESUMED, TWO, told(ORIGIN._replace(version=''))),
    ],
    ids=[
        'unknown',
        'unknown-at-a-fresh-fleet',
        'others-see-a-second-version',
        'others-may-see-a-second-version',
        'unnamed-two-versions',
        'unnamed-at-a-fresh-fleet',
        'unnamed-and-others-see-a-second-version',
        'other-service',
        'id-used-twice-or-spoiled',
    ],
)
async def test_what_cannot_be_known_is_rejected(call, seen, knowledge):
    # Guards against a guess; such a request has not run.
    request = Request(call, seen, knowledge)
    with pytest.raises(errors.RequestError) as caught:
        await stream_version.StreamVersion(request).resolve()
    assert caught.value.status == 503
    assert caught.value.verdict is verdicts.Verdict.NOT_RUN


OLD, NEWER, AGAIN = (17, 'v1'), (19, 'v2'), (21, 'v1')


@pytest.mark.parametrize(
    ('origin', 'entries', 'found_ms', 'goes_on'),
    [
        (ORIGIN, [OLD], 17, True),
        (ORIGIN, [OLD, NEWER], 17, True),
        (ORIGIN, [OLD, NEWER], 19, False),
        (ORIGIN, [OLD, NEWER, AGAIN], 21, True),
        (ORIGIN, [OLD], 19, False),
        (ORIGIN, [OLD], None, False),
        (UNTOLD, [OLD], 19, True),
        (UNTOLD, [OLD], 17, False),
        (UNTOLD, [OLD], 21, False),
        (UNTOLD, [OLD], None, False),
        (UNTOLD, [OLD, NEWER], 19, True),
        (UNTOLD, [OLD, NEWER, AGAIN], 21, False),
        (UNTOLD, [OLD, (19, 'v1'), AGAIN], 21, True),
        (UNTOLD, [OLD, (19, ''), (21, '')], 21, False),
    ],
    ids=[
        'its-start',
        'its-start-after-a-later-entry',
        'a-later-start-at-another-version',
        'a-later-start-at-its-version',
        'a-later-start-that-is-untold',
        'nobody-tells',
        'untold-start-itself',
        'untold-and-an-earlier-start',
        'untold-and-another-untold-start',
        'untold-and-nobody-tells',
        'told-by-now',
        'told-by-now-and-another-version',
        'told-by-now-and-its-version',
        'entries-name-no-version',
    ],
)
async def test_stream_goes_on_only_where_its_process_proves_the_version(
    origin, entries, found_ms, goes_on
):
    # Guards against a process other than the one in the entry.
    request = Request(RESUMED, ONE, told(origin), entries)
    request.found = found_ms and run_of(found_ms)
    version = stream_version.StreamVersion(request)
    await version.resolve()
    if goes_on:
        await version.check_producer(REPLICA, RESPONSE, 1.0)
        assert request.recorded
        return
    with pytest.raises(errors.OtherStartError) as caught:
        await version.check_producer(REPLICA, RESPONSE, 1.0)
    assert caught.value.verdict is verdicts.Verdict.RAN
    assert not request.recorded


@pytest.mark.parametrize(
    ('found_ms', 'recorded'),
    [
        (17, 'v1'),
        (19, stream_origins.UNTOLD_VERSION),
        (None, stream_origins.UNKNOWN_VERSION),
    ],
    ids=['told', 'untold', 'not-known'],
)
async def test_new_stream_is_of_the_process_that_sends_its_events(
    found_ms, recorded
):
    # Guards against the version of an entry that is out of date.
    request = Request((None, None), ONE, told())
    request.found = found_ms and run_of(found_ms)
    version = stream_version.StreamVersion(request)
    await version.resolve()
    await version.check_producer(REPLICA, RESPONSE, 1.0)
    assert set(request.recorded) == {recorded}
    assert request.untold == ([run_of(19)] if found_ms == 19 else [])


async def test_new_stream_without_an_id_is_kept_by_what_it_asks_for():
    # Guards against a stream of an untold start that no name is kept of.
    request = Request((None, None), ONE, told())
    request.call.request_id = ''
    request.found = run_of(19)
    version = stream_version.StreamVersion(request)
    await version.check_producer(REPLICA, RESPONSE, 1.0)
    assert request.recorded == [stream_origins.UNKNOWN_VERSION]


@pytest.mark.parametrize(
    ('found_ms', 'is_confirmed', 'goes_on'),
    [(19, True, True), (19, False, False), (17, False, True)],
    ids=['others-know', 'nobody-else-knows', 'told-version'],
)
async def test_stream_of_an_untold_start_is_known_to_others_first(
    found_ms, is_confirmed, goes_on
):
    # Guards against a VM that is killed as the only one that knows.
    request = Request((None, None), ONE, told())
    request.found, request.is_confirmed = run_of(found_ms), is_confirmed
    version = stream_version.StreamVersion(request)
    if goes_on:
        await version.check_producer(REPLICA, RESPONSE, 1.0)
        return
    with pytest.raises(errors.OtherStartError):
        await version.check_producer(REPLICA, RESPONSE, 1.0)


@pytest.mark.parametrize(
    ('before_s', 'after_s', 'late_s', 'is_bound'),
    [
        (60.0, 1.0, 5.0, False),
        (60.0, 1.0, 64.0, False),
        (200.0, 1.0, 64.0, False),
        (200.0, 200.0, 100.0, False),
        (1.0, 200.0, 100.0, False),
        (200.0, 1.0, 3000.0, True),
    ],
)
async def test_versions_count_for_a_timeout_that_is_changed(
    before_s, after_s, late_s, is_bound
):
    # Guards against a release that is forgotten before its streams end.
    assert await is_bound_after_release(before_s, after_s, late_s) is is_bound


async def test_versions_count_for_a_timeout_that_was_longer():
    # Guards against looking back by the present timeout for a stream that
    # began under a longer one.
    assert not await is_bound_after_release(200.0, 1.0, 100.0)


async def is_bound_after_release(before_s, after_s, late_s):
    """Return whether a stream that nobody knows is bound, so late.

    A VM has forwarded a request under the first timeout.
    """
    now_s = 1000.0
    history = version_history.VersionHistory(lambda: now_s)
    history.is_of_first_start = True
    history.begin_at_start()
    history.record({'models': frozenset(['v1'])})
    request = Request(RESUMED, ONE, None)
    request.node.registry.versions = history

    async def ask(question):
        seen = history.within(question.service, question.lifetime_s)
        return told(None, seen)

    request.ask = ask
    request.route = types.SimpleNamespace(timeout_s=before_s, retryable=True)
    stream_version.StreamVersion(request)
    history.record({'models': frozenset(['v2'])})
    now_s += late_s
    request.route = types.SimpleNamespace(timeout_s=after_s, retryable=True)
    try:
        await stream_version.StreamVersion(request).resolve()
    except errors.RequestError:
        return False
    return True
