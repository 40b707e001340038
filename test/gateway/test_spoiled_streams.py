"""Test streams of which a replica sent an event that was left out.

An event came that others of its part should have come after. Its VM ends the
part, and whoever resumes after the last id would never get that event.
"""

import typing

import pytest
import trio

from standins.site import site as sites
from test.gateway import test_stream_versions as streams

VMS = 3
STREAMS = 24
# Its two events after this many come the other way round.
SWAPS_AFTER = 6
# Callers of other streams leave after more events than these bring.
LEAVES_AFTER = 8
KILL_AFTER_S = 0.3
# Callers whose headers name the stream that they resume, or don't.
NAMED = {}
UNNAMED = {'resumes': None}


class Row(typing.NamedTuple):
    """Where and when a stream is resumed."""

    # From the VM at which the stream began, in turn.
    vms_on: int
    after_s: float = 0.0
    # The VM that saw it is killed in between.
    is_killed: bool = False
    versions: int = 1


ROWS = {
    'same-vm': Row(0),
    'same-vm-later': Row(0, 0.3),
    'other-vm-at-once': Row(1),
    'other-vm-later': Row(1, 0.3),
    'other-vm-two-versions': Row(1, 0.3, versions=2),
    'vm-killed': Row(1, KILL_AFTER_S, is_killed=True),
    'vm-killed-two-versions': Row(1, KILL_AFTER_S, True, versions=2),
}


def replicas_of(row):
    """Return replicas, of which every second one of a version swaps."""
    new = streams.NEW if row.versions == 2 else streams.OLD
    found = sites.replicas_of_makers(
        [streams.OLD] * 2 + [new] * 2, streams.EVENTS
    )
    for replica in streams.makers_of(found)[::2]:
        replica.faults.swaps_after = SWAPS_AFTER
    return found


async def play(row, vms, resume):
    """Begin streams and resume each; return their callers."""
    if not row.is_killed:

        async def play_one(caller):
            first = caller.number % VMS
            await caller.ask(vms[first], LEAVES_AFTER)
            await trio.sleep(row.after_s)
            await caller.ask(vms[(first + row.vms_on) % VMS], **resume)

        return await streams.play(play_one, STREAMS)
    gone, *left = vms
    callers = await streams.play(lambda c: c.ask(gone, LEAVES_AFTER), STREAMS)
    await trio.sleep(row.after_s)
    gone.scope.cancel()
    await streams.each(
        callers, lambda c: c.ask(left[c.number % len(left)], **resume)
    )
    return callers


def ran_at(found, request_id):
    """Return the replicas that ran a request."""
    return [
        replica.name
        for replica in found
        if any(run.request_id == request_id for run in replica.runs)
    ]


def split(found, callers):
    """Return the callers of spoiled streams, and those of sound ones."""
    swaps = [r.name for r in found if r.faults.swaps_after is not None]
    spoiled = [
        caller
        for caller in callers
        if set(ran_at(found, caller.stream_id)) & set(swaps)
    ]
    return spoiled, [one for one in callers if one not in spoiled]


@pytest.mark.parametrize('resume', [NAMED, UNNAMED], ids=['named', 'unnamed'])
@pytest.mark.parametrize('row', ROWS.values(), ids=ROWS)
async def test_spoiled_stream_goes_on_nowhere(tmp_path, row, resume):
    # Guards against a stream that goes on after an event that was left out.
    found = replicas_of(row)
    async with streams.running(tmp_path, found) as (_, vms):
        callers = await play(row, vms, resume)
    spoiled, _ = split(found, callers)
    assert spoiled
    begun = [[number for number, _ in c.parts[0].events] for c in spoiled]
    expected = [*range(1, SWAPS_AFTER + 1), SWAPS_AFTER + 2]
    assert [one for one in begun if one != expected] == []
    went_on = [
        (caller.number, caller.parts[1].status, len(caller.parts[1].events))
        for caller in spoiled
        if caller.parts[1].status != 503
        or ran_at(found, f's{caller.number}-1')
    ]
    assert not went_on, f'{len(went_on)} of {len(spoiled)}: {went_on}'


@pytest.mark.parametrize('row', ROWS.values(), ids=ROWS)
async def test_sound_stream_goes_on_beside_spoiled_ones(tmp_path, row):
    # Guards against streams that are given up with those of other replicas.
    found = replicas_of(row)
    async with streams.running(tmp_path, found) as (_, vms):
        callers = await play(row, vms, NAMED)
    spoiled, sound = split(found, callers)
    assert spoiled
    assert sound
    streams.check(sound)
