"""Test leases whose object another writer has made odd."""

import pytest
import trio

from test.control import test_lease_eras as leases

holders = leases.holders
ODD = [
    pytest.param({'holder': 3}, id='holder-of-another-type'),
    pytest.param({'epoch': 7}, id='no-holder'),
    pytest.param(
        {'holder': 'x', 'epoch': 'many', 'duration_s': 3, 'nonce': ''},
        id='epoch-of-another-type',
    ),
    pytest.param(['x'], id='no-map'),
    pytest.param('x', id='text'),
]


def write(table, value):
    """Write the lease's object as another program may."""
    current = table.get('lease', leases.SCOPE)
    version = current.version if current.value is not None else 0
    table.write('lease', leases.SCOPE, value, version)


@pytest.mark.parametrize('value', ODD)
async def test_odd_lease_is_taken_once_it_must_have_lapsed(
    holders, autojump_clock, value
):
    # Guards against an odd object that ends the processes of all VMs, and
    # leaves the duties to nobody.
    write(holders.table, value)
    for name in 'ab':
        holders.start(name)
    await trio.sleep(leases.TAKEN_S)
    assert holders.acts
    assert holders.acts[0][2] >= leases.TIMING.duration_s
    holders.check()


@pytest.mark.parametrize('value', ODD)
async def test_lease_that_is_made_odd_is_held_by_one_at_a_time(
    holders, autojump_clock, value
):
    # Guards against a holder that acts on while another takes its lease.
    for name in 'ab':
        holders.start(name)
    await trio.sleep(leases.TAKEN_S)
    before = len(holders.acts)
    assert before
    write(holders.table, value)
    await trio.sleep(2 * leases.TAKEN_S)
    assert len(holders.acts) > before
    holders.check()
