"""Test that links stay few and mostly in place whatever the fleet's size."""

import collections

import pytest

from gentianstair.peers import topology

WATCHERS = 3
FANOUT = 4


def make_domains(number, domains):
    return {f'vm-{i}': f'd{i % domains}' for i in range(number)}


def dials(domains):
    return {
        name: topology.find_position(name, domains, WATCHERS, FANOUT).dial
        for name in domains
    }


@pytest.mark.parametrize(
    'number, domains', [(1, 1), (2, 1), (8, 3), (32, 4), (400, 2), (400, 10)]
)
def test_links_are_bounded_and_connect_all(number, domains):
    """One VM ends up with a link from every other as the fleet grows."""
    found = dials(make_domains(number, domains))
    links = collections.defaultdict(set)
    for name, wanted in found.items():
        for other in wanted:
            links[name].add(other)
            links[other].add(name)
    most = max((len(peers) for peers in links.values()), default=0)
    assert most <= 32
    reached, todo = {'vm-0'}, ['vm-0']
    while todo:
        new = links[todo.pop()] - reached
        reached |= new
        todo += new
    assert len(reached) == number


@pytest.mark.parametrize('gone', ['vm-0', 'vm-7', 'vm-100'])
def test_a_vm_that_goes_moves_few(gone):
    """Each restart makes half the fleet open new links."""
    domains = make_domains(200, 4)
    before = dials(domains)
    del domains[gone]
    after = dials(domains)
    moved = [name for name in after if after[name] != before[name]]
    assert len(moved) <= 40


def test_unreachable_parent_is_passed_over():
    domains = make_domains(40, 1)
    position = topology.find_position('vm-9', domains, WATCHERS, FANOUT)
    assert position.level > 0
    lost = position.dial[0]
    other = topology.find_position('vm-9', domains, WATCHERS, FANOUT, {lost})
    assert lost not in other.dial
    assert len(other.dial) == len(position.dial)
