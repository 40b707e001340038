"""Test the play in which replicas turn requests away, and what it compares."""

import json

import httpx
import pytest
import trio

from standins.experiment import play
from standins.experiment import turned_away
from standins.experiment import vm_lines
from standins.site import replica as replicas
from standins.site import sheet as sheets
from standins.site import site as sites
from standins.soak import record
from standins.soak import strikes
from test.standins import test_experiment

LENGTH_S = 25.0
RUN_S, AGAIN_S = 0.4, 5.5


@pytest.fixture
def sheet(tmp_path):
    """Return a sheet with one run-once kind before three plain replicas."""
    file = tmp_path / 'site.toml'
    one = 'name = "desk", servers = [{ zone = "n", count = 1 }]'
    assert one in test_experiment.SHEET
    three = one.replace('count = 1', 'count = 3')
    file.write_text(test_experiment.SHEET.replace(one, three))
    return sheets.read(file)


@pytest.mark.parametrize('seed', range(6))
def test_some_plain_replicas_turn_away_for_seconds_and_others_serve(
    sheet, seed
):
    # Guards against plays of denials in which nobody denies, or all do.
    found = sheets.make_replicas(sheet)
    drawn = turned_away.draw(seed, LENGTH_S, sheet)
    assert drawn == turned_away.draw(seed, LENGTH_S, sheet)
    full = {fault.whom for fault in drawn if fault.what == 'full'}
    plain = {n for n, replica in enumerate(found) if not replica.stage}
    assert full
    assert full < plain
    assert not full & {f.whom for f in drawn if f.what == 'busy'}
    denied_s = [f.lasts_s for f in drawn if f.what == 'full']
    assert min(denied_s) >= turned_away.LASTS_S[0]
    assert {'ends', 'drains', 'change', 'config'} & {f.what for f in drawn}


def told(request_id, status):
    return record.Told(
        request_id, 'enter', False, 'POST', '/enter/x', 'vm-1', 1.0, 2.0,
        status,
    )  # fmt: skip


@pytest.mark.parametrize(
    ('status', 'line', 'came', 'began', 'expected'),
    [
        (200, (200, 'RAN', '200'), True, True, (0, 0, 0)),
        (503, (503, 'NOT_RUN', '503 denied'), True, False, (0, 0, 0)),
        (408, (200, 'RAN', '200'), True, True, (1, 0, 0)),
        (503, (503, 'NOT_RUN', 'not-sent'), True, False, (0, 1, 0)),
        (503, (503, 'NOT_RUN', ''), True, False, (0, 1, 0)),
        (503, (503, 'NOT_RUN', '503 denied'), True, True, (0, 0, 1)),
        (503, (503, 'NOT_RUN', 'not-sent'), False, False, (0, 0, 0)),
    ],
    ids=[
        'served',
        'denied',
        'another-door',
        'sent-unsaid',
        'no-attempt',
        'ran-though-denied',
        'not-sent',
    ],
)
def test_lines_of_vms_are_held_against_what_was_seen(
    tmp_path, status, line, came, began, expected
):
    # Guards against a refusal whose line differs from what happened.
    file = tmp_path / 'vm-1.jsonl'
    fields = dict(zip(vm_lines.Line._fields, line, strict=True))
    text = json.dumps({'event': 'answer', 'request_id': 'q1', **fields})
    file.write_text(f'{text}\n{{"event": "answer", cut')
    replica = replicas.Replica('i-1', 'desk', 'a')
    if came:
        replica.came.append(replicas.Arrival(1.0, 'q1', 1.0))
    if began:
        replica.runs.append(replicas.Run('q1', None, False, 0))
    lines = vm_lines.read([file])
    found = vm_lines.differences([told('q1', status)], [replica], lines)
    assert found.compared == 1
    assert tuple(map(len, found[1:])) == expected


def test_play_counts_what_run_once_callers_were_told(
    sheet, tmp_path, monkeypatch
):
    # Guards against refusals of what ran while replicas deny for seconds.
    monkeypatch.setattr(play, 'MIN_VMS', 2)
    setting = play.Setting(
        sheet._replace(vms=2), 1, 8.0, 1.0, 'turned-away', None
    )
    result = trio.run(play.play, setting, tmp_path)
    assert result.run_once > 10
    assert result.run_once_served > 0
    assert result.differences.compared > 10
    assert result.differences[1:] == ([], [], [])
    assert result.ran['work began'] == []
    assert result.ran_twice == []


async def test_replica_that_starts_again_beside_a_run_serves_on():
    # Guards against a site that ends as a replica starts a third time, more
    # than the library's 5 s for tasks in the background after the second.
    replica = replicas.Replica('i-1', 'desk', 'a')
    replica.faults.late_s = RUN_S
    async with sites.running([replica]):
        async with httpx.AsyncClient(trust_env=False) as client:

            async def ask(request_id):
                answer = await client.post(
                    f'http://{replica.address}/register/x',
                    headers={
                        'x-request-id': request_id,
                        'x-expect-instance': replica.name,
                    },
                )
                assert answer.status_code == 200

            for number in range(3):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(ask, f'q{number}')
                    await trio.sleep(RUN_S / 2)
                    replica.start_again()
                await trio.sleep(AGAIN_S)


async def test_all_processes_end_where_a_play_ends_with_an_error(tmp_path):
    # Guards against gateways that run on after a play that was cut short.
    async with sites.running([]) as site:
        soak = strikes.Soak(site, tmp_path, vms=2)
        for number in range(2):
            soak.start(number, bootstrap=True)
        with trio.CancelScope() as scope:
            scope.cancel()
            await soak.kill_all()
        with trio.fail_after(LENGTH_S):
            while any(gateway.is_running() for gateway in soak.gateways):
                await trio.sleep(0.05)
