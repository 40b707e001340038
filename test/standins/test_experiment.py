"""Test the experiment on a described site: sheet, troubles and readings."""

import itertools
import math
import types

import pytest
import trio

from standins.experiment import play
from standins.experiment import readings
from standins.experiment import requesters
from standins.experiment import single_events
from standins.experiment import troubles
from standins.site import replica as replicas
from standins.site import sheet as sheets
from standins.soak import odd_answers
from standins.soak import order
from standins.soak import record

SHEET = """
zones = [{ name = "n" }, { name = "s" }]
machines = [{ zone = "n", count = 2 }, { zone = "s", count = 1 }]
services = [
  { name = "makers", model = "llm", servers = [
    { zone = "n", count = 2 }, { zone = "s", count = 1 }] },
  { name = "desk", servers = [{ zone = "n", count = 1 }] },
]
traffic = [
  { zone = "n", per_s = 30, mix = { draft = 1, enter = 2, read = 3 } },
  { zone = "s", per_s = 6, mix = { draft = 1, enter = 1 } },
]
troubles = [
  { kind = "srv_grey", how = "busy" }, { kind = "srv_crash" },
  { kind = "burst", x = 2 },
]
[[classes]]
name = "draft"
kind = "stream"
service = "makers"
method = "POST"
aim_ms = 800
deadline_ms = 4000
priority = 1
attempts = 1
stream = { resume = false, gap_aim_ms = 300 }
[[classes]]
name = "enter"
kind = "unsafe"
service = "desk"
method = "POST"
aim_ms = 100
deadline_ms = 1000
timeout_ms = 900
priority = 2
attempts = 1
[[classes]]
name = "read"
kind = "safe"
service = "desk"
method = "GET"
aim_ms = 100
deadline_ms = 1000
priority = 2
attempts = 2
"""


@pytest.fixture
def sheet(tmp_path):
    file = tmp_path / 'site.toml'
    file.write_text(SHEET)
    return sheets.read(file)


def test_sheet_says_how_often_each_kind_comes(sheet):
    found = {kind.name: kind.per_s for kind in sheet.kinds}
    assert found == {'draft': 8.0, 'enter': 13.0, 'read': 15.0}
    assert [kind.may_repeat for kind in sheet.kinds] == [False, False, True]
    assert sheet.vms == 3


def test_sheet_gives_routes_and_replicas(sheet):
    config = sheets.config(sheet)
    routes = {route['name']: route for route in config['routes']}
    assert routes['enter']['type'] == 'non_idempotent'
    assert routes['enter']['timeout_ms'] == 900
    assert routes['read']['timeout_ms'] == 1000
    found = [(r.service, r.failure_domain, r.stage) for r in made(sheet)]
    assert found == [
        ('makers', 'a', 'prefill'),
        ('makers', 'a', 'decode'),
        ('makers', 'b', 'decode'),
        ('desk', 'a', ''),
    ]


def made(sheet):
    return sheets.make_replicas(sheet)


def test_troubles_of_a_sheet_are_drawn(sheet):
    assert troubles.kinds(sheet.troubles)[:2] == [
        ('replica', 'busy'),
        ('replica', 'ends'),
    ]
    drawn = troubles.draw(3, 20.0, sheet, 'denials')
    assert drawn == troubles.draw(3, 20.0, sheet, 'denials')
    assert {'answer', 'replica'} <= {fault.where for fault in drawn}


def seen(ran, answer, status=503, repeatable=False, is_prefill=False):
    """Return a request and the replica that it reached."""
    replica = replicas.Replica('r1', 'desk', 'a')
    replica.came.append(replicas.Arrival(1.0, 'q1', 1.0, 1, is_prefill))
    if ran:
        replica.runs.append(replicas.Run('q1', None, False, 1, 'v1', at_s=1.1))
    if answer is not None:
        replica.answers.append(answer)
    told = record.Told(
        'q1', 'enter', repeatable, 'POST', '/x', 'vm-1', 0.9, 1.3, status
    )
    return [told], [replica]


def answered(status, marks=(), signed=False):
    denies = status == 421 or bool(marks)
    return replicas.Answer(1.2, 'q1', status, denies, False, marks, signed)


NAMES = list(readings.READINGS)


@pytest.mark.parametrize(
    ('history', 'first'),
    [
        (seen(True, answered(503, ('1',))), 0),
        (seen(False, None), 1),
        (seen(False, answered(503)), 1),
        (seen(False, answered(504, ('1',))), 2),
        (seen(False, answered(503, ('0',))), 3),
        (seen(False, answered(503, ('1', '1'))), 3),
        (seen(False, answered(503, ('1',), signed=True)), 3),
        (seen(False, answered(503, ('1',))), 4),
        (seen(False, answered(421)), 4),
        (seen(False, None, is_prefill=True), None),
        (seen(True, answered(503, ('1',)), status=502), None),
        (seen(True, answered(503, ('1',)), repeatable=True), None),
    ],
)
def test_each_reading_counts_what_those_before_it_do(history, first):
    # Guards against counts that hide in which reading something has run.
    found = readings.counts(*history)
    counted = [bool(found[name]) for name in NAMES]
    begins = len(NAMES) if first is None else first
    assert counted == [number >= begins for number in range(len(NAMES))]


def test_played_site_refuses_nothing_that_ran(sheet, tmp_path, monkeypatch):
    monkeypatch.setattr(play, 'MIN_VMS', 2)
    small = sheet._replace(vms=2)
    setting = play.Setting(small, 1, 4.0, 1.0, 'denials', None)
    result = trio.run(play.play, setting, tmp_path)
    assert sum(result.statuses.values()) > 20
    assert result.ran['work began'] == []
    assert result.ran_twice == []


@pytest.mark.parametrize(
    'event', ['replica-drains', 'vm-paused', 'crowd-of-bodies']
)
def test_single_event_beside_failures_refuses_nothing_that_ran(
    sheet, tmp_path, monkeypatch, event
):
    # Guards against refusals of what ran that only one event brings about.
    monkeypatch.setattr(play, 'MIN_VMS', 2)
    setting = play.Setting(
        sheet._replace(vms=2), 1, 10.0, 1.0, 'failures', None, event=event
    )
    result = trio.run(play.play, setting, tmp_path)
    assert sum(result.statuses.values()) > 20
    assert result.ran['work began'] == []
    assert result.ran_twice == []


@pytest.mark.parametrize('event', single_events.EVENTS)
def test_single_event_is_drawn_with_odd_answers_around_it(event):
    # Guards against odd answers that are over before their event begins.
    where, what, _ = single_events.EVENTS[event]
    drawn = single_events.draw(event, 7, odd_answers.FAILURES)
    assert drawn == single_events.draw(event, 7, odd_answers.FAILURES)
    (struck,) = [f for f in drawn if (f.where, f.what) == (where, what)]
    odd = [fault for fault in drawn if fault is not struck]
    assert len(odd) == single_events.ODD_REPLICAS
    for fault in odd:
        assert fault.at_s < struck.at_s
        assert fault.at_s + fault.lasts_s > struck.at_s + struck.lasts_s


@pytest.mark.parametrize('seed', range(5))
def test_pair_of_events_is_drawn_with_odd_answers_around_both(seed):
    # Guards against pairs that are one event, or far apart.
    kinds = {value[:2] for value in single_events.EVENTS.values()}
    drawn = single_events.draw(single_events.PAIR, seed, odd_answers.FAILURES)
    first, second = [f for f in drawn if (f.where, f.what) in kinds]
    assert first[1:3] != second[1:3]
    assert second.at_s - first.at_s <= single_events.PAIR_APART_S
    odd = [fault for fault in drawn if fault not in (first, second)]
    assert len(odd) == single_events.ODD_REPLICAS
    for fault in odd:
        assert fault.at_s < first.at_s
        for struck in (first, second):
            assert fault.at_s + fault.lasts_s > struck.at_s + struck.lasts_s


def test_prompts_of_a_sheet_are_read(tmp_path):
    told = SHEET.replace(
        'gap_aim_ms = 300',
        'gap_aim_ms = 300, prompt_tokens = { mean = 70.5 }, '
        'chain = [{ tokens = { mean = 900.0 }, things = 3 }]',
    )
    file = tmp_path / 'site.toml'
    file.write_text(told)
    kind = sheets.read(file).kinds[0]
    assert kind.shared == (sheets.PromptPart(900, 3),)
    assert kind.own_tokens == 70


@pytest.mark.parametrize(
    ('versions', 'expected'),
    [
        ((('v1', 'v1'), ('v1',)), []),
        (
            (('v1', 'v1'), ('v2',)),
            ["q1: [['2 of v1'], ['1 of v2']]"],
        ),
        (
            (('v1', 'v2'), ('v2',)),
            ["q1: [['1 of v1', '1 of v2'], ['1 of v2']]"],
        ),
    ],
    ids=['one', 'over-tries', 'within-a-try'],
)
def test_streams_of_two_versions_are_counted(versions, expected):
    # Guards against a play of releases that looks at numbers only.
    numbers = itertools.count(1)
    parts = [
        order.Part(tuple((next(numbers), version) for version in of_part))
        for of_part in versions
    ]
    found = readings.streams({'q1': parts}, [], 3)
    assert found.mixed == expected
    assert found.out_of_order == []


@pytest.mark.parametrize(('odd', 'outages'), troubles.LADDER.items())
def test_ladder_of_outages_has_one_kind_beside_the_releases(
    odd, outages, sheet
):
    # Guards against plays that tell outages apart and hold other troubles.
    faults = [
        fault
        for seed in range(10)
        for fault in troubles.draw(seed, 20.0, sheet, odd)
    ]
    found = {(fault.where, fault.what) for fault in faults}
    kinds = {one for one in found if one[0] != 'release'}
    assert kinds == {('outage', what) for what in outages}
    starts = [fault for fault in faults if fault.where == 'release']
    assert {fault.lasts_s for fault in starts} == {0.0}
    assert not any(' ' in fault.what for fault in starts)
    # Its only replicas that write streams.
    assert {fault.whom for fault in starts} == {0, 1}


def test_callers_leave_a_share_of_resumable_streams(sheet):
    # Guards against plays in which only what breaks is resumed.
    found = sheet.kinds[0]._replace(may_repeat=True)
    soak = types.SimpleNamespace(gateways=[])
    drawn = [
        requesters.Requesters(soak, sheet, 1, 1.0, share)._leaves_after(kind)
        for share, kind in (
            (0.0, found),
            (1.0, found),
            (1.0, found._replace(may_repeat=False)),
        )
    ]
    assert drawn[0] == drawn[2] == math.inf
    assert 1 <= drawn[1] < sheets.MAX_EVENTS


def test_streams_out_of_order_are_counted():
    # Guards against a play that sees requests and no streams.
    first, second = order.Part(((1, 'v1'),)), order.Part(((1, 'v1'),))
    found = readings.streams({'q1': [first, second], 'q2': [first]}, [], 3)
    assert (found.followed, found.resumed) == (2, 1)
    assert found.out_of_order == ['q1: again or late: events [1]: [[1], [1]]']
