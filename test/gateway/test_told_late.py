"""Test what VMs take for so of replicas whose entries are out of date."""

import typing

import pytest
import trio

from gentianstair.gateway import replica_client
from standins import limits
from standins.site import site as sites
from test.gateway import ends_play
from test.gateway import gateways
from test.gateway import test_replicas_that_leave as leaving

LATE_S = 3.0
PLAY_S = 4.0
# In which each VM hears of an entry.
HEARD_S = 0.6
REST_S = 4.0
LIMIT_PER_S = 1.0
# From so long after a replica said it, requests on their way are there.
ON_WAY_S = 0.5
# VMs know a limit from so long after it was named first.
NOTICE_S = 2.0
# VMs that are told of a pause or a limit anew may send so many at most.
MOST_REQUESTS = 2
UNARY, STREAM = leaving.UNARY, leaving.STREAM


def start_again_unlisted(site, replica):
    """Start a replica again, whose entry stays that of the start before."""
    site.keep_entry(replica)
    replica.restart(replica.version)


class Doors(typing.NamedTuple):
    """Requests of one kind, and the replica to which they may go."""

    path: str
    name: str


DOORS = {
    'plain': Doors(UNARY, 'i-desk-1'),
    'decode': Doors(STREAM, 'i-maker-1'),
    'prefill': Doors(STREAM, 'i-reader'),
}


class News(typing.NamedTuple):
    """When the entry of a new start comes, and one of the start before."""

    late_s: float = 0.0
    # Comes after the new one, which is written again after LATE_S.
    old_beat_s: float | None = None


NEWS = {
    'in-time': News(),
    'late': News(LATE_S),
    'old-beat': News(old_beat_s=1.0),
}


def write_entry(site, name, entry):
    current = site.table.get('servers', name)
    site.table.write('servers', name, entry, current.version)


async def write_entries(site, replica, news, old_entry):
    """Write the entries of a replica that has just started again."""
    await trio.sleep(news.late_s)
    site.register(replica)
    if news.old_beat_s is not None:
        await trio.sleep(news.old_beat_s)
        write_entry(site, replica.name, old_entry)
        await trio.sleep(LATE_S - news.old_beat_s)
        site.register(replica)


async def play_news(site, found, replica, path, news, say):
    """Return callers of a replica that starts again and says something.

    It says so in all answers from its start on.
    """
    old_entry = replica.entry()
    start_again_unlisted(site, replica)
    say(replica)
    callers = leaving.Callers(found, path)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run, LATE_S + PLAY_S)
        nursery.start_soon(write_entries, site, replica, news, old_entry)
    return callers


def say_leaving(replica):
    replica.leaving_headers = ('1',)


def say_rest(replica):
    replica.rest_headers = (f'{REST_S:g}',)


def say_limit(replica):
    replica.name_limit(LIMIT_PER_S)


@pytest.mark.parametrize('news', NEWS.values(), ids=NEWS)
@pytest.mark.parametrize('door', DOORS.values(), ids=DOORS)
async def test_replica_that_leaves_before_its_entry_comes_gets_no_more(
    tmp_path, door, news
):
    # Guards against a leaving start that is forgotten as its entry comes.
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as found:
            replica = site.replica(door.name)
            began_s = trio.current_time()
            callers = await play_news(
                site, found, replica, door.path, news, say_leaving
            )
    assert replica.told_leaving
    assert not callers.late_at(replica, began_s + leaving.DRAIN_S)


@pytest.mark.parametrize('news', NEWS.values(), ids=NEWS)
@pytest.mark.parametrize('door', DOORS.values(), ids=DOORS)
async def test_replica_that_rests_before_its_entry_comes_is_left_alone(
    tmp_path, door, news
):
    # Guards against a pause that is forgotten as the replica's entry comes.
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as found:
            replica = site.replica(door.name)
            await play_news(site, found, replica, door.path, news, say_rest)
    told_s = replica.rests_s[0]
    late = replica.calls_between(told_s + ON_WAY_S, told_s + REST_S)
    assert len(late) <= MOST_REQUESTS, [call.path for call in late]


@pytest.mark.parametrize('news', NEWS.values(), ids=NEWS)
@pytest.mark.parametrize('door', DOORS.values(), ids=DOORS)
async def test_limit_named_before_the_entry_comes_holds(tmp_path, door, news):
    # Guards against a limit that is forgotten as the replica's entry comes.
    async with sites.running() as site:
        async with gateways.running(site, tmp_path, count=3) as found:
            replica = site.replica(door.name)
            await play_news(site, found, replica, door.path, news, say_limit)
    named_s = replica.limit_named_s
    came_s = [arrival.at_s for arrival in replica.came]
    assert came_s
    most = limits.most_in_window(came_s, named_s + NOTICE_S)
    assert most <= limits.allowed(LIMIT_PER_S)


@pytest.mark.parametrize('late_s', [0.0, LATE_S], ids=['in-time', 'late'])
async def test_mark_of_the_start_before_does_not_keep_the_next_away(
    tmp_path, late_s
):
    # Guards against a start that never serves as the one before drained.
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as found:
            replica = site.replica('i-desk-1')
            replica.leaving_headers = ('1',)
            await leaving.Callers(found, UNARY).run(1.0)
            start_again_unlisted(site, replica)
            await trio.sleep(late_s)
            site.register(replica)
            await trio.sleep(HEARD_S)
            callers = leaving.Callers(found, UNARY)
            began_s = trio.current_time()
            await callers.run(1.0)
    assert callers.statuses() == {200}
    assert callers.late_at(replica, began_s)


@pytest.mark.parametrize('is_late', [False, True], ids=['in-time', 'late'])
async def test_unlisted_starts_that_break_streams_off_blame_no_part(
    tmp_path, is_late
):
    # Guards against sound requests that are held back as replicas, which
    # live on, are not those of their entries.
    parts = ('5c1e', '91bd')
    async with ends_play.running(tmp_path) as play:
        for replica in ends_play.makers(play.site):
            start_again_unlisted(play.site, replica)
            if not is_late:
                play.site.register(replica)
        await trio.sleep(HEARD_S)
        for replica in ends_play.makers(play.site):
            replica.faults.breaks_each_after = 2
        await play.keep_asking('broken', parts, 6.0, 3.0)
        for replica in ends_play.makers(play.site):
            replica.faults.breaks_each_after = None
        began_s = trio.current_time()
        await play.keep_asking('sound', parts, 6.0, 3.0)
        assert not play.ends()
        assert play.share_begun('sound', began_s) >= 0.9


class Sent(typing.NamedTuple):
    """A request to a replica."""

    kind: str
    expected: str | None


KINDS = {
    'cache-events': '/api/kv-events',
    'cache-list': '/api/kv-list',
    'report': '/api/report',
    'free': '/api/kv-handle/',
    'plain': '/lookup/',
    'run-once': '/register/',
    'stream': '/ask/',
}


def kind_of(request):
    target = request.extensions.get('target', b'').decode()
    path = target or request.url.path
    for kind, begin in KINDS.items():
        if path.startswith(begin):
            return kind
    return path


@pytest.fixture
def sent(monkeypatch):
    """Return all that is sent to replicas from now on."""
    found = []
    send = replica_client.ReplicaClient.send

    async def note(self, run, request, is_callers=False):
        expected = request.headers.get('x-expect-instance')
        found.append(Sent(kind_of(request), expected))
        return await send(self, run, request, is_callers)

    monkeypatch.setattr(replica_client.ReplicaClient, 'send', note)
    return found


async def use_all_doors(play):
    """Have a VM send to replicas all that it may send them."""
    for replica in play.site.replicas:
        replica.forgotten = 1
    for number in range(4):
        for way in (UNARY, '/register/x'):
            await play.ask('plain', (), own='', way=('POST', way))
        await play.ask('sound', (f'5c{number}',))
    for replica in ends_play.makers(play.site):
        replica.faults.full = True
    await play.ask('kept', ('91bd',))
    for replica in ends_play.makers(play.site):
        replica.faults.full = False
        replica.faults.breaks_each_after = 1
    await play.ask('broken', ('e440',))
    await trio.sleep(2.0)


@pytest.mark.parametrize('kind', KINDS)
async def test_all_that_is_sent_names_its_replica(tmp_path, sent, kind):
    # Guards against what reaches another replica that has the address now.
    async with ends_play.running(tmp_path, vms=1) as play:
        await use_all_doors(play)
    expected = {one.expected for one in sent if one.kind == kind}
    assert expected, {one.kind for one in sent}
    assert None not in expected


@pytest.mark.parametrize('path', [UNARY, '/register/x', STREAM])
async def test_address_that_another_replica_has_runs_nothing(tmp_path, path):
    # Guards against requests that another replica runs, or that it denies
    # for the listed one's next start.
    pairs = {STREAM: ('i-maker-1', 'i-maker-2')}
    name, other_name = pairs.get(path, ('i-desk-1', 'i-desk-2'))
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as found:
            replica, other = site.replica(name), site.replica(other_name)
            own_address = replica.address
            replica.address = other.address
            site.register(replica)
            await trio.sleep(HEARD_S)
            callers = leaving.Callers(found, path)
            await callers.run(2.0)
            replica.address = own_address
            replica.restart(replica.version)
            site.register(replica)
            await trio.sleep(HEARD_S)
            began_s = trio.current_time()
            again = leaving.Callers(found, path)
            # Its prompts are others than those before.
            again.sent_s.update(callers.sent_s)
            await again.run(2.0)
    assert not [
        one for one in other.headers if one['x-expect-instance'] != other.name
    ]
    assert again.statuses() == {200}
    assert again.late_at(replica, began_s)
    assert callers.statuses() <= {200, 503}
