"""Test prompts with a part under which each replica ends that runs it."""

import io
import math
import typing

import pytest
import trio

from gentianstair.core import part_knowledge
from gentianstair.gateway import end_checks
from gentianstair.gateway import forward
from gentianstair.ui import output
from gentianstair.ui import session as sessions
from gentianstair.ui.commands import part
from standins.site import replica as replicas
from standins.site import site as sites
from test.gateway import ends_play
from test.gateway import gateways

MAKERS = ends_play.MAKERS
CONTACT_S = ends_play.CONTACT_S
# From twice that on, sound requests are served nearly as before.
LEAST_SHARE = 0.9
WARM_S, PLAY_S = 2.0, 15.0
# A part is held back at all VMs after this time.
HELD_BACK_S = 5.0
SOUND_PER_S = 12.0
# How long it takes to find out whether a replica has ended.
CHECK_S = 0.03
# A caller is told at once that its request is rejected.
AT_ONCE_S = 0.6
PATIENCE_S = 2.5
BAD = 'bad0'
SHARED = ('5c1e', '91bd', 'e440')


@pytest.fixture(autouse=True)
def patient_vms(monkeypatch):
    """Let VMs wait longer for replicas, as all share one event loop."""
    monkeypatch.setattr(forward, 'CONNECT_TIMEOUT_S', PATIENCE_S)


class Row(typing.NamedTuple):
    """What one play is like."""

    parts: tuple[str, ...] = (*SHARED[:2], BAD)
    events: int = 0
    bad_per_s: float = 3.0
    vms: int = 3
    killed: int = 0


def spoil(site, events=0):
    """Let replicas end under a part, which may be taken back."""
    parts = {BAD}
    for replica in ends_play.makers(site):
        replica.faults.ends_under = parts
        replica.faults.ends_after_events = events
    return parts


ROWS = {
    'third-of-four': Row(),
    'after-an-event': Row(events=1),
    'first': Row((BAD, *SHARED[1:])),
    'second-of-three': Row((SHARED[0], BAD)),
    'rare-at-five-vms': Row(bad_per_s=1.4, vms=5),
    'vms-killed': Row(vms=4, killed=2),
}


@pytest.mark.parametrize('row', ROWS.values(), ids=ROWS)
async def test_part_that_ends_replicas_is_known_to_all_vms(tmp_path, row):
    # Guards against requests with one part that end replica after replica.
    async with (
        ends_play.running(tmp_path, row.vms) as play,
        trio.open_nursery() as all_,
    ):
        spoil(play.site, row.events)
        began_s = play.began_s + WARM_S
        all_.start_soon(
            play.keep_asking, 'sound', SHARED, SOUND_PER_S, math.inf
        )
        await trio.sleep(WARM_S)
        all_.start_soon(
            play.keep_asking, 'bad', row.parts, row.bad_per_s, math.inf
        )
        if row.killed:
            await trio.sleep(2.0)
            all_.start_soon(ends_play.replace_vms, play, tmp_path, row.killed)
        await play.reach_late(began_s + PLAY_S)
        ends = play.ends()
        all_.cancel_scope.cancel()
    assert ends, 'no replica ended'
    bound_s = ends[min(len(ends), ends_play.ENDS) - 1]
    later = play.arrived('bad', bound_s + CONTACT_S)
    assert len(later) <= ends_play.LATER_REQUESTS, (
        f'{len(later)}, {len(ends)} ended'
    )
    share = play.share_begun('sound', ends[1] + 2 * CONTACT_S)
    if len(ends) >= ends_play.ENDS:
        late = play.share_begun('sound', bound_s + 2 * CONTACT_S)
        share = min(share, late)
    before = play.share_begun('sound', play.began_s, began_s)
    assert share >= LEAST_SHARE * before, f'{share} served'


@pytest.fixture
def no_trials(monkeypatch):
    """Let no request try a part that is held back."""
    never = dict.fromkeys(part_knowledge.TRIAL_INTERVALS_S, 600.0)
    monkeypatch.setattr(part_knowledge, 'TRIAL_INTERVALS_S', never)


async def test_part_that_ends_replicas_is_rejected_at_once(
    tmp_path, no_trials
):
    # Guards against callers that wait for, or are sent to, what can't run.
    async with (
        ends_play.running(tmp_path) as play,
        trio.open_nursery() as all_,
    ):
        spoil(play.site)
        # What only bad requests have cannot be told apart from what is bad.
        all_.start_soon(play.keep_asking, 'sound', SHARED, 6.0, 9.0)
        await play.keep_asking('bad', (*SHARED[:2], BAD), 3.0, 8.0)
        before = len(play.arrived('bad', 0.0))
        found = [await play.ask('late', (BAD,), vm) for vm in (0, 1, 2)]
        assert len(play.arrived('bad', 0.0)) == before
    assert [one.status for one in found] == [503] * 3
    assert max(one.took_s for one in found) < AT_ONCE_S
    assert not play.arrived('late', 0.0)


async def test_request_under_which_replicas_end_ends_few(tmp_path):
    # Guards against one request that is sent on from end to end, by its VM
    # and by its caller.
    async with ends_play.running(tmp_path) as play:
        spoil(play.site)
        for turn in range(6):
            await play.ask('bad', (SHARED[0], BAD), turn % 3)
    assert len(play.ends()) <= 4


async def test_attempt_waits_until_the_end_before_is_known(
    tmp_path, monkeypatch
):
    # Guards against a second attempt that ends a replica, too, while it is
    # being looked up whether the first one's has ended.
    ask = end_checks.EndChecks._ask

    async def ask_slowly(checks, replica, run):
        await trio.sleep(CHECK_S)
        return await ask(checks, replica, run)

    monkeypatch.setattr(end_checks.EndChecks, '_ask', ask_slowly)
    prompt = f'{SHARED[0]}:300,{BAD}:300,ff00:10'
    headers = {'x-model': 'm', 'x-token-count': '610,80'}
    async with ends_play.running(tmp_path, vms=1) as play:
        spoil(play.site)
        for number, path in enumerate(['/draft/one', '/ask/rule']):
            answer = await play.vms[0].call(
                'POST',
                path,
                f'bad-{number}',
                **headers,
                **{'x-prefix-hash': prompt},
            )
            assert answer.status_code == 502
            await trio.sleep(2 * CHECK_S)
    assert len(play.ends()) == 2


@pytest.mark.parametrize('at_once', [False, True], ids=['in-turn', 'at-once'])
async def test_replicas_that_end_by_themselves_have_no_part_blamed(
    tmp_path, at_once
):
    # Guards against sound requests that are rejected for what ran beside
    # them when replicas ended.
    async with (
        ends_play.running(tmp_path) as play,
        trio.open_nursery() as all_,
    ):
        all_.start_soon(play.keep_asking, 'sound', SHARED, SOUND_PER_S, 12.0)
        for one in range(6):
            parts = (SHARED[0], f'ab{one}')
            all_.start_soon(play.keep_asking, 'rare', parts, 1.5, 12.0)
        await trio.sleep(WARM_S)
        for number in range(12):
            ends_play.makers(play.site)[number % MAKERS].end()
            if not at_once or number == MAKERS // 2:
                await trio.sleep(0.25 if not at_once else 3.0)
        ended_s = trio.current_time()
    for kind in ('sound', 'rare'):
        share = play.share_begun(kind, ended_s + replicas.DOWN_S + 0.5)
        assert share >= LEAST_SHARE, f'{kind}: {share}'


async def hold_back(play):
    """Have a part held back at all VMs."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            play.keep_asking, 'sound', SHARED, SOUND_PER_S, HELD_BACK_S
        )
        await play.keep_asking('bad', (SHARED[0], BAD), 4.0, HELD_BACK_S)


async def test_part_that_is_mended_is_served_again(tmp_path, monkeypatch):
    # Guards against a part that is rejected for ever, and callers with it.
    monkeypatch.setattr(part_knowledge, 'MIN_RARE_TRIAL_S', 2.0)
    async with ends_play.running(tmp_path) as play:
        bad = spoil(play.site)
        await hold_back(play)
        bad.clear()
        ended = len(play.ends())
        mended_s = trio.current_time()
        with trio.fail_after(10.0):
            while not (await play.ask('mended', (SHARED[0], BAD))).begun:
                await trio.sleep(0.2)
        await trio.sleep(0.5)
        found = [await play.ask('after', (BAD,), vm) for vm in (0, 1, 2)]
    assert all(one.begun for one in found)
    assert len(play.ends()) == ended
    assert len(set(play.arrived('mended', mended_s))) <= 2


async def test_part_is_still_known_after_a_restart_of_all_vms(
    tmp_path, no_trials
):
    # Guards against a fleet that forgets what ends replicas with its VMs.
    async with sites.running(ends_play.make_replicas()) as site:
        async with gateways.running(site, tmp_path, count=3) as vms:
            await trio.sleep(ends_play.LINKED_S)
            play = ends_play.Play(site, list(vms))
            spoil(site)
            await hold_back(play)
            await trio.sleep(2.5)
        ended = len(play.ends())
        assert ended
        async with gateways.running(site, tmp_path, count=3) as vms:
            play.vms = list(vms)
            await trio.sleep(ends_play.LINKED_S)
            found = [await play.ask('bad', (BAD,), vm) for vm in (0, 1, 2)]
    assert [one.status for one in found] == [503] * 3
    assert len(play.ends()) == ended


async def test_operator_lifts_a_part_at_all_vms(tmp_path, no_trials):
    # Guards against callers who wait for a trial when the cause is mended.
    async with ends_play.running(tmp_path, metrics=True) as play:
        bad = spoil(play.site)
        await hold_back(play)
        bad.clear()
        rejected = await play.ask('bad', (BAD,), 0)
        shown = io.StringIO()
        session = sessions.Session(
            None,
            None,
            (f'http://127.0.0.1:{play.vms[1].values["metrics"]}',),
            'operator',
            output.Output(True, shown),
        )
        await sessions.run(part.List(), session)
        assert f'"{BAD}"' in shown.getvalue()
        await sessions.run(part.Lift(BAD), session)
        await trio.sleep(0.5)
        found = [await play.ask('after', (BAD,), vm) for vm in (0, 1, 2)]
    assert rejected.status == 503
    assert all(one.begun for one in found)


@pytest.mark.parametrize(
    ('path', 'headers'),
    [
        ('/ask/rule', {'resumes': 'gone-1', 'last-event-id': '3'}),
        ('/draft/one', {}),
        ('/ask/rule', {'x-token-count': 'many'}),
    ],
    ids=['resumed', 'runs-once', 'odd-token-count'],
)
async def test_each_way_to_a_replica_is_held_back(
    tmp_path, no_trials, path, headers
):
    # Guards against requests with the part that come in another form.
    async with ends_play.running(tmp_path) as play:
        spoil(play.site)
        await hold_back(play)
        prefix = f'{SHARED[0]}:300,{BAD.upper()}:300,ff00:10'
        headers = {'x-model': 'm', 'x-token-count': '610,80', **headers}
        answer = await play.vms[0].call(
            'POST', path, 'other-1', **{**headers, 'x-prefix-hash': prefix}
        )
        assert answer.status_code == 503
        assert not play.arrived('other', 0.0)
