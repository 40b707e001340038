"""Test streams whose route gets another timeout while they are under way."""

import contextlib
import copy
import typing

import pytest
import trio

from gentianstair.gateway import stream_version
from standins.site import site as sites
from test.gateway import gateways
from test.gateway import test_stream_versions as streams

VMS = 3
STREAMS = 12
# Replicas of the service.
ALL = 5
LONG_MS = 60_000
SHORT_MS = 1000
# In place of the seconds for which a VM looks back beyond a timeout.
RESUME_S = 0.5
# From a release to the resumes: longer than the short timeout looks back.
LATE_S = 2.5
# A change is known to all VMs in this time.
SETTLED_S = 0.6
NEW, OLD = streams.NEW, streams.OLD


@pytest.fixture(autouse=True)
def patient_vms(monkeypatch):
    streams.be_patient(monkeypatch)
    monkeypatch.setattr(stream_version, 'RESUME_S', RESUME_S)


def with_timeout(timeout_ms, version):
    """Return the configuration with a timeout of the streams' route."""
    config = copy.deepcopy(sites.CONFIG)
    config['version'] += version
    (route,) = [r for r in config['routes'] if r['name'] == 'ask']
    route['timeout_ms'] = timeout_ms
    return config


def release(site, count):
    """Start so many replicas of the streams' service again at NEW."""
    # The one that reads prompts comes last.
    found = sorted(site.replicas, key=lambda replica: replica.stage)
    for replica in [r for r in found if r.stage][:count]:
        replica.restart(NEW)
        site.register(replica)


class Play:
    """A site whose VMs may be killed and started."""

    def __init__(self, site, tmp_path, vms):
        self.site = site
        self.vms = vms
        self._tmp_path = tmp_path

    def any_but_first(self, number):
        return self.vms[1 + number % (len(self.vms) - 1)]

    @contextlib.asynccontextmanager
    async def fresh(self):
        """Yield a VM that starts after the release."""
        values = gateways.values_for(self.site)
        seed = self.vms[1].values['control']
        async with gateways.one_more(
            self._tmp_path, values, 'new', seed, restarted=True
        ) as vm:
            assert (await vm.first_answer()).status_code == 200
            yield vm


class Row(typing.NamedTuple):
    """Which timeouts the route has, and where its streams are resumed."""

    before_ms: int
    after_ms: int
    at: str
    # How many of all replicas a release starts at the new version.
    released: int = ALL


ROWS = {
    'lowered-same-vm': Row(LONG_MS, SHORT_MS, 'same'),
    'lowered-other-vm': Row(LONG_MS, SHORT_MS, 'other'),
    'lowered-fresh-vm': Row(LONG_MS, SHORT_MS, 'fresh'),
    'lowered-own-vm-killed': Row(LONG_MS, SHORT_MS, 'survivor'),
    'lowered-all-killed': Row(LONG_MS, SHORT_MS, 'restarted'),
    'lowered-part-released': Row(LONG_MS, SHORT_MS, 'other', 2),
    'lowered-part-released-own-vm-killed': Row(
        LONG_MS, SHORT_MS, 'survivor', 2
    ),
    'raised-other-vm': Row(SHORT_MS, LONG_MS, 'other'),
    'raised-own-vm-killed': Row(SHORT_MS, LONG_MS, 'survivor'),
    'raised-all-killed': Row(SHORT_MS, LONG_MS, 'restarted'),
    'unchanged-own-vm-killed': Row(LONG_MS, LONG_MS, 'survivor'),
    'unchanged-all-killed': Row(LONG_MS, LONG_MS, 'restarted'),
}


async def change(site, row):
    """Release a version, then give the route its other timeout."""
    release(site, row.released)
    await trio.sleep(SETTLED_S)
    site.put_config(with_timeout(row.after_ms, version=2))
    await trio.sleep(SETTLED_S)


async def resume(play, row, callers):
    """Resume all streams where the row says."""
    if row.at == 'same':
        await streams.each(callers, lambda c: c.ask(play.vms[0]))
    elif row.at == 'fresh':
        async with play.fresh() as vm:
            await trio.sleep(LATE_S)
            await streams.each(callers, lambda c: c.ask(vm))
    else:
        await streams.each(
            callers, lambda c: c.ask(play.any_but_first(c.number))
        )


async def play_row(tmp_path, row):
    """Return callers whose streams were resumed after both changes."""
    found = streams.two_versions()
    for replica in found:
        replica.version = OLD
    async with sites.running(found) as site:
        site.put_config(with_timeout(row.before_ms, version=1))
        async with gateways.running(site, tmp_path, count=VMS) as vms:
            await trio.sleep(streams.LINKED_S)
            play = Play(site, tmp_path, vms)
            callers = await streams.play(
                lambda c: c.ask(vms[0], streams.BREAKS_AFTER), STREAMS
            )
            # A later start did not produce their events.
            await trio.sleep(SETTLED_S)
            if row.at == 'survivor':
                play.vms[0].scope.cancel()
            if row.at != 'restarted':
                await change(site, row)
                await trio.sleep(LATE_S)
                await resume(play, row, callers)
                return callers
        release(site, row.released)
        async with gateways.running(
            site, tmp_path, count=VMS, restarted=True
        ) as vms:
            site.put_config(with_timeout(row.after_ms, version=2))
            await trio.sleep(LATE_S + SETTLED_S)
            await resume(Play(site, tmp_path, vms), row, callers)
    return callers


@pytest.mark.parametrize('row', ROWS.values(), ids=ROWS)
async def test_no_stream_joins_two_versions_after_its_timeout_changed(
    tmp_path, row
):
    # Guards against a VM that looks no further back for versions than the
    # present timeout, for a stream that began under a longer one.
    callers = await play_row(tmp_path, row)
    assert all(OLD in caller.produced_by() for caller in callers)
    is_known = row.at not in ('survivor', 'restarted')
    goes_on = row.released < ALL and is_known
    streams.check(callers, whole=len(callers) if goes_on else 0)
