"""Test that links stay few and stable, whatever the fleet's size."""

import collections

import pytest

from gentianstair.peers import topology

WATCHERS = 3
FANOUT = 4


def make_domains(number, domains):
    return {f'vm-{i}': f'd{i % domains}' for i in range(number)}


def find_dialed(domains):
    return {
        name: topology.find_position(name, domains, WATCHERS, FANOUT).dial
        for name in domains
    }


@pytest.mark.parametrize(
    'number, domains', [(1, 1), (2, 1), (8, 3), (32, 4), (400, 2), (400, 10)]
)
def test_links_are_bounded_and_connect_all_vms(number, domains):
    """A VM's links grow with the fleet, or part of it is unreachable."""
    dialed = find_dialed(make_domains(number, domains))
    links = collections.defaultdict(set)
    for name, peers in dialed.items():
        for other in peers:
            links[name].add(other)
            links[other].add(name)
    max_links = max((len(linked) for linked in links.values()), default=0)
    assert max_links <= 32
    reached, queue = {'vm-0'}, ['vm-0']
    while queue:
        unvisited = links[queue.pop()] - reached
        reached |= unvisited
        queue += unvisited
    assert len(reached) == number


@pytest.mark.parametrize('lost', ['vm-0', 'vm-7', 'vm-100'])
def test_lost_vm_changes_few_links(lost):
    """The loss of one VM makes much of the fleet open new links."""
    domains = make_domains(200, 4)
    before = find_dialed(domains)
    del domains[lost]
    after = find_dialed(domains)
    changed = [name for name in after if after[name] != before[name]]
    assert len(changed) <= 40


def test_unreachable_parent_is_replaced_by_another():
    domains = make_domains(40, 1)
    position = topology.find_position('vm-9', domains, WATCHERS, FANOUT)
    assert position.level > 0
    unreachable = position.dial[0]
    other = topology.find_position(
        'vm-9', domains, WATCHERS, FANOUT, {unreachable}
    )
    assert unreachable not in other.dial
    assert len(other.dial) == len(position.dial)
