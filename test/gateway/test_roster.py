"""Test what a VM knows of the fleet when hub and store are out of reach."""

import types

import pytest

from gentianstair.gateway import hubs
from gentianstair.gateway import replicas
from gentianstair.gateway import roster as rosters

OWN = hubs.Vm('leaf', 'a', '10.0.0.99:1', 0.5)
HUBS = tuple(
    hubs.Vm(f'hub-{n}', 'abc'[n % 3], f'10.0.0.{n}:1', 0.0) for n in range(9)
)


class Fleet:
    """A leaf's roster whose store listing saw only a few VMs."""

    def __init__(self, listed=1):
        self.now_s = 100.0
        self.members = types.SimpleNamespace(
            name='leaf.1',
            listed_at_s=self.now_s,
            count=lambda: listed,
            alive_vms=dict,
        )
        self.roster = rosters.Roster(
            OWN, self.members, replicas.Registry(self.clock), self.clock
        )

    def clock(self):
        return self.now_s

    def receive_feed(self):
        self.roster.set_hub_feed(
            rosters.HubFeed(self.now_s, 195, HUBS, frozenset())
        )


@pytest.mark.parametrize('how', ['its hub fell silent', 'its hub was left'])
def test_leaf_that_the_store_refuses_does_not_act_as_a_hub(how):
    # Its only listing is from its start, when few VMs had registered.
    fleet = Fleet()
    fleet.now_s += 10.0
    fleet.receive_feed()
    if how == 'its hub was left':
        fleet.roster.clear_hub_feed()
    else:
        fleet.now_s += rosters.MAX_FEED_AGE_S + 0.1
    assert not fleet.roster.has_hub_feed()
    assert not fleet.roster.is_hub()
    assert not fleet.roster.is_mesh()
    assert fleet.roster.hubs() == list(HUBS)
    assert fleet.roster.vm_count() == 195


def test_listing_after_the_last_feed_decides():
    fleet = Fleet()
    fleet.receive_feed()
    fleet.roster.clear_hub_feed()
    fleet.now_s += 1.0
    fleet.members.listed_at_s = fleet.now_s
    assert fleet.roster.hubs() == [OWN]
    assert fleet.roster.vm_count() == 1


def test_mesh_that_has_just_grown_is_still_a_mesh():
    # Guards against a list of hubs that names one of three VMs.
    fleet = Fleet()
    assert fleet.roster.is_mesh()
    record = types.SimpleNamespace(
        failure_domain='b', peer_address='10.0.0.2:1', cores=0.5
    )
    fleet.members.alive_vms = lambda: {'vm-1': record, 'vm-2': record}
    assert fleet.roster.is_mesh()


def test_leaf_without_any_hub_acts_on_its_own_view_in_the_end():
    # All hubs of the last feed may be gone for good.
    fleet = Fleet()
    fleet.now_s += 1.0
    fleet.receive_feed()
    fleet.roster.clear_hub_feed()
    fleet.now_s += rosters.MAX_REMEMBERED_FEED_S + 0.1
    assert fleet.roster.is_hub()


@pytest.mark.parametrize(
    ('own', 'expected'),
    [(HUBS[0], True), (HUBS[3], True), (HUBS[4], False), (OWN, False)],
    ids=['first', 'fourth', 'fifth', 'no hub'],
)
def test_only_the_first_hubs_compete_for_duties(own, expected):
    # Each check of a lease is a priced call; its rate grew with the hubs.
    fleet = Fleet()
    fleet.now_s += 1.0
    fleet.receive_feed()
    fleet.roster.own_vm = own
    assert fleet.roster.is_duty_candidate() == expected


@pytest.mark.parametrize(
    ('own', 'readers'), [(OWN, 195), (HUBS[0], len(HUBS))], ids=['leaf', 'hub']
)
def test_hub_does_not_wait_for_the_store_as_long_as_a_whole_fleet(
    own, readers
):
    # One failed watch would leave it without the store for three seconds.
    fleet = Fleet()
    fleet.roster.own_vm = own
    fleet.receive_feed()
    assert fleet.roster.store_reader_count() == readers
