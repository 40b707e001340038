"""Test streams that are resumed after all VMs were killed at once."""

import contextlib
import typing

import pytest
import trio

from standins.site import site as sites
from test.gateway import gateways
from test.gateway import test_stream_versions as streams

VMS = 3
TURNS = 4
TURN_S = 0.3
SETTLED_S = 0.6
NEW, OLD, THIRD = streams.NEW, streams.OLD, 'v1.2'
# By whom the names of resumed streams are told.
NAMED = {}
UNNAMED = {'resumes': None}


@pytest.fixture(autouse=True)
def patient_vms(monkeypatch):
    streams.be_patient(monkeypatch)


def keep_all(site):
    """Leave both versions in service."""


def start_again(site, replica, version):
    replica.restart(version)
    site.register(replica)


def keep_one(site):
    """Take the old version out of service."""
    for replica in site.replicas:
        if replica.stage == 'prefill':
            start_again(site, replica, NEW)
        elif replica.stage and replica.version == OLD:
            site.remove(replica)


def replace_both(site):
    """Start all replicas of the service again at a third version."""
    for replica in site.replicas:
        if replica.stage:
            start_again(site, replica, THIRD)


class Row(typing.NamedTuple):
    """What becomes of the versions, and when, around a kill of all VMs."""

    change: typing.Callable
    # Before the kill, while all are gone, or after the start.
    when: str = 'gone'
    kills: int = 1
    # Between the starts of two VMs.
    apart_s: float = 0.0
    # From the start to the first resume.
    late_s: float = 0.0


ROWS = {
    'both-serve': Row(keep_all),
    'one-left-before': Row(keep_one, 'before'),
    'one-left-while-gone': Row(keep_one),
    'one-left-after': Row(keep_one, 'after'),
    'both-gone-before': Row(replace_both, 'before'),
    'both-gone-while-gone': Row(replace_both),
    'both-gone-after': Row(replace_both, 'after'),
    'back-one-by-one': Row(keep_one, apart_s=1.0),
    'killed-twice': Row(keep_one, kills=2),
    'resumed-late': Row(keep_one, late_s=11.0),
}


@contextlib.asynccontextmanager
async def killed(site, tmp_path, number, row):
    """Yield the VMs that are back after a kill of all."""
    if not row.apart_s:
        async with gateways.running(
            site, tmp_path, count=VMS, restarted=True
        ) as vms:
            yield vms
        return
    async with contextlib.AsyncExitStack() as stack:
        vms = []
        for index in range(VMS):
            folder = tmp_path / f'{number}-{index}'
            folder.mkdir()
            vms += await stack.enter_async_context(
                gateways.running(site, folder, restarted=True)
            )
            await trio.sleep(row.apart_s)
        yield vms


async def change_at(site, row, when):
    if row.when == when:
        row.change(site)
        await trio.sleep(SETTLED_S)


async def resume_all(callers, vms, headers):
    """Have each caller resume its stream a few times, at any VM."""

    async def go_on(caller):
        for turn in range(TURNS):
            if caller.is_whole():
                return
            vm = vms[(caller.number + turn) % len(vms)]
            await caller.ask(vm, **headers)
            await trio.sleep(TURN_S)

    await streams.each(callers, go_on)


@pytest.mark.parametrize('headers', [NAMED, UNNAMED], ids=['named', 'unnamed'])
@pytest.mark.parametrize('row', ROWS.values(), ids=ROWS)
async def test_no_stream_joins_two_versions_after_all_vms_were_killed(
    tmp_path, row, headers
):
    # Guards against fresh VMs that take the one version that they see for
    # the only one that there was.
    async with sites.running(streams.two_versions()) as site:
        async with gateways.running(site, tmp_path, count=VMS) as vms:
            await trio.sleep(streams.LINKED_S)
            callers = await streams.play(
                lambda c: c.ask(vms[c.number % VMS], streams.BREAKS_AFTER)
            )
            await change_at(site, row, 'before')
        await change_at(site, row, 'gone')
        for number in range(row.kills):
            async with killed(site, tmp_path, number, row) as vms:
                await change_at(site, row, 'after')
                await trio.sleep(row.late_s)
                await resume_all(callers, vms, headers)
    assert {v for c in callers for v in c.produced_by()} >= {OLD, NEW}
    mixed = [c.parts for c in callers if len(c.produced_by()) > 1]
    assert not mixed, f'{len(mixed)} of {len(callers)} mixed: {mixed[0]}'


@pytest.mark.parametrize('headers', [NAMED, UNNAMED], ids=['named', 'unnamed'])
async def test_stream_begun_after_a_kill_goes_on(tmp_path, headers):
    # Guards against VMs that reject for a while all that is resumed.
    headers = {**headers}
    async with sites.running(streams.two_versions()) as site:
        keep_one(site)
        async with gateways.running(
            site, tmp_path, count=VMS, restarted=True
        ) as vms:
            await trio.sleep(streams.LINKED_S)
            callers = await streams.play(
                lambda c: c.ask(vms[c.number % VMS], streams.BREAKS_AFTER)
            )
            await resume_all(callers, vms, NAMED)
    streams.check(callers)


@pytest.mark.parametrize(
    'restarted', [True, False], ids=['fresh', 'since-the-first-start']
)
async def test_entry_out_of_date_mixes_no_stream_where_one_version_is_listed(
    tmp_path, restarted
):
    # Guards against the first replica that is back at another version, and
    # begins streams that its entry still gives the version of before.
    found = streams.two_versions()
    for replica in found:
        replica.version = OLD
    async with sites.running(found) as site:
        async with gateways.running(
            site, tmp_path, count=VMS, restarted=restarted
        ) as vms:
            await trio.sleep(streams.LINKED_S)
            for replica in streams.makers(site)[:2]:
                site.keep_entry(replica)
                replica.restart(NEW)
            callers = await streams.play(
                lambda c: c.ask(vms[c.number % VMS], streams.BREAKS_AFTER)
            )
            await resume_all(callers, vms, NAMED)
    assert {v for c in callers for v in c.produced_by()} == {OLD, NEW}
    mixed = [c.parts for c in callers if len(c.produced_by()) > 1]
    assert not mixed, f'{len(mixed)} of {len(callers)} mixed: {mixed[0]}'
