"""Test streams whose route moves to another service while under way."""

import copy
import typing

import pytest
import trio

from gentianstair.gateway import origin_keepers
from standins.site import site as sites
from test.gateway import test_stream_versions as streams

VMS = 3
STREAMS = 12
KILLED = -1
# A change is known to all VMs in this time.
SETTLED_S = 0.8
MOVED = {'service': 'others'}
SPLIT = {
    'traffic_split': [
        {'service': 'models', 'weight': 1},
        {'service': 'others', 'weight': 99},
    ]
}


@pytest.fixture(autouse=True)
def patient_vms(monkeypatch):
    streams.be_patient(monkeypatch)
    monkeypatch.setattr(origin_keepers, 'SETTLED_WAIT_S', streams.PATIENCE_S)


def config_with(version, target):
    """Return the configuration with two services, and the route's target."""
    config = copy.deepcopy(sites.CONFIG)
    config['version'] += version
    config['services'].append({**config['services'][0], 'name': 'others'})
    (route,) = [r for r in config['routes'] if r['name'] == 'ask']
    del route['service']
    route.update(target)
    return config


class Row(typing.NamedTuple):
    """To where a route is moved, and at which VM its streams are resumed."""

    target: dict
    # From the VM at which the stream began, in turn; KILLED if that is gone.
    vms_on: int
    versions: int = 1


ROWS = {
    'moved-same-vm': Row(MOVED, 0),
    'moved-other-vm': Row(MOVED, 1),
    'moved-other-vm-two-versions': Row(MOVED, 1, versions=2),
    'moved-own-vm-killed': Row(MOVED, KILLED),
    'moved-own-vm-killed-two-versions': Row(MOVED, KILLED, versions=2),
    'split-same-vm': Row(SPLIT, 0),
    'split-other-vm': Row(SPLIT, 1),
    'split-other-vm-two-versions': Row(SPLIT, 1, versions=2),
}


def services_of(site, caller):
    """Return the services that ran requests for a caller's stream."""
    prefix = f's{caller.number}-'
    return {
        replica.service
        for replica in site.replicas
        for run in replica.runs
        if run.request_id.startswith(prefix)
    }


async def end_first(vms, callers):
    """End a VM; leave its streams, and return a VM for each other number."""
    vms[0].scope.cancel()
    callers[:] = [c for c in callers if not c.number % VMS]
    return [vms[1], vms[2], vms[1]]


@pytest.mark.parametrize('row', ROWS.values(), ids=ROWS)
async def test_no_stream_joins_two_services(tmp_path, row):
    # Guards against a stream that goes on where its route leads by now.
    found = streams.two_versions()
    for number, replica in enumerate(streams.makers_of(found)):
        replica.service = 'models' if number % 2 else 'others'
        if row.versions == 1:
            replica.version = streams.OLD
    async with sites.running(found) as site:
        site.put_config(config_with(1, {'service': 'models'}))
        async with streams.gateways.running(site, tmp_path, count=VMS) as vms:
            await trio.sleep(streams.LINKED_S)
            callers = await streams.play(
                lambda c: c.ask(vms[c.number % VMS], streams.BREAKS_AFTER),
                STREAMS,
            )
            if row.vms_on == KILLED:
                vms = await end_first(vms, callers)
            site.put_config(config_with(2, row.target))
            await trio.sleep(SETTLED_S)
            await streams.each(
                callers, lambda c: c.ask(vms[(c.number + row.vms_on) % VMS])
            )
    assert all(caller.stream_id for caller in callers)
    mixed = [c.parts for c in callers if len(services_of(site, c)) > 1]
    assert not mixed, f'{len(mixed)} of {len(callers)} at two services'
