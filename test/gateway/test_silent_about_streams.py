"""Test streams about whose replicas nobody tells in time.

A replica is back at another version under its name, and begins streams while
its entry still has the version of before. Who could tell that of a stream is
then late, silent, or has started once more.
"""

import typing

import pytest
import trio

from gentianstair.gateway import origin_keepers
from test.gateway import test_stream_versions as streams

VMS = 3
# So many that each replica begins some, and not all go on where they began.
STREAMS = 48
NEW, OLD = streams.NEW, streams.OLD
# More than a VM waits for the start of a stream's last replica.
LATE_S = 0.4
# More than a VM waits for other VMs.
SILENT_S = 1.5
# More than clocks of two machines are taken to differ.
AGAIN_S = 0.7
PAUSE_S = 0.3
# Of those that are resumed while two replicas of their version serve.
LEAST_SHARE = 0.5


class Row(typing.NamedTuple):
    """Who is late to tell, or has started again, as streams are resumed."""

    # The versions that entries name.
    listed: int = 2
    # VMs that are told that the system has run before.
    is_fresh: bool = False
    report_late_s: float = 0.0
    # Whether reports are late from the first event, or later, on.
    is_late_from_start: bool = True
    # How long after its last stream the replica starts once more.
    again_after_s: float | None = None
    vms_late_s: float = 0.0


ROWS = {
    'all-tell': Row(),
    'report-late': Row(report_late_s=LATE_S),
    'report-late-when-resumed': Row(
        report_late_s=LATE_S, is_late_from_start=False
    ),
    'report-silent': Row(report_late_s=SILENT_S),
    'report-silent-when-resumed': Row(
        report_late_s=SILENT_S, is_late_from_start=False
    ),
    'starts-once-more': Row(again_after_s=AGAIN_S),
    'starts-once-more-report-late': Row(
        again_after_s=AGAIN_S, report_late_s=LATE_S
    ),
    'vms-late': Row(vms_late_s=0.1),
    'vms-silent': Row(vms_late_s=SILENT_S),
    'one-listed': Row(listed=1),
    'one-listed-vms-late': Row(listed=1, vms_late_s=0.1),
    'one-listed-starts-once-more': Row(listed=1, again_after_s=AGAIN_S),
    'one-listed-fresh': Row(listed=1, is_fresh=True),
    'one-listed-fresh-report-late': Row(
        listed=1, is_fresh=True, report_late_s=LATE_S
    ),
    'one-listed-fresh-starts-once-more': Row(
        listed=1, is_fresh=True, again_after_s=AGAIN_S
    ),
}


def replicas_of(row):
    found = streams.two_versions()
    if row.listed == 1:
        for replica in found:
            replica.version = OLD
    return found


def slow_down_vms(monkeypatch, late_s):
    """Have VMs answer questions about streams so much later."""
    answer = origin_keepers.OriginKeepers.answer

    async def answer_late(self, message):
        await trio.sleep(late_s)
        return await answer(self, message)

    if late_s:
        monkeypatch.setattr(
            origin_keepers.OriginKeepers, 'answer', answer_late
        )


def be_late(found, row, from_start):
    """Have replicas be late to tell their starts, if that is the moment."""
    if row.is_late_from_start == from_start:
        for replica in found:
            replica.faults.report_late_s = row.report_late_s


async def begin_all(site, vms, back):
    """Begin streams, as replicas are back and their entries don't tell."""
    for replica in back:
        site.keep_entry(replica)
        replica.restart(NEW)
    # No part of a prompt is shared, so that all replicas begin some.
    callers = [
        streams.Caller(number, **{'x-prefix-hash': f'{number + 0xA00:x}:1460'})
        for number in range(STREAMS)
    ]
    await streams.each(
        callers, lambda c: c.ask(vms[c.number % VMS], streams.BREAKS_AFTER)
    )
    return callers


def begun_by(found, callers):
    """Return the callers whose streams these replicas began."""
    ran = {run.request_id for replica in found for run in replica.runs}
    return [caller for caller in callers if caller.stream_id in ran]


async def resume_all(vms, callers):
    await trio.sleep(PAUSE_S)
    await streams.each(callers, lambda c: c.ask(vms[(c.number + 1) % VMS]))


@pytest.mark.parametrize('row', ROWS.values(), ids=ROWS)
async def test_no_stream_is_mixed_as_nobody_tells(tmp_path, monkeypatch, row):
    # Guards against silence that counts as an answer.
    slow_down_vms(monkeypatch, row.vms_late_s)
    async with streams.running(
        tmp_path, replicas_of(row), restarted=row.is_fresh
    ) as (site, vms):
        back = streams.makers(site)[: 3 - row.listed]
        be_late(back, row, from_start=True)
        callers = await begin_all(site, vms, back)
        doubtful = begun_by(back, callers)
        be_late(back, row, from_start=False)
        if row.again_after_s is not None:
            await trio.sleep(row.again_after_s)
            for replica in back:
                replica.restart(NEW)
        await resume_all(vms, callers)
    assert doubtful
    mixed = [c.parts for c in callers if len(c.produced_by()) > 1]
    assert not mixed, f'{len(mixed)} of {len(callers)} mixed: {mixed[0]}'


async def test_stream_begun_before_an_entry_told_goes_on_after_it(tmp_path):
    # Guards against streams that are lost though their version is known, and
    # two replicas of it serve.
    async with streams.running(tmp_path) as (site, vms):
        back = streams.makers(site)[:1]
        callers = await begin_all(site, vms, back)
        doubtful = begun_by(back, callers)
        for replica in back:
            site.register(replica)
        await resume_all(vms, callers)
    assert doubtful
    assert not [c.parts for c in callers if len(c.produced_by()) > 1]
    whole = [caller for caller in doubtful if caller.is_whole()]
    least = LEAST_SHARE * len(doubtful)
    assert len(whole) >= least, f'{len(whole)} of {len(doubtful)} go on'
