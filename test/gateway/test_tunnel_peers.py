"""Test which VMs are asked for tunnels, and named to leaves."""

import random

import pytest

from gentianstair import errors
from gentianstair.core import peer_choice
from gentianstair.gateway import tunnel_peers

OWN = peer_choice.TunnelPeer('a', 'own:1')


class Peers:
    """A VM's peers, with a clock of its own."""

    def __init__(self):
        self.now_s = 0.0
        self.peers = tunnel_peers.TunnelPeers(
            OWN, lambda: self.now_s, random.Random(1)
        )

    def report(self, *addresses):
        """Report that VMs, named DOMAIN-NUMBER, carry tunnels."""
        for address in addresses:
            self.peers.record_report(address, address[0])

    def chosen(self, domain='c', limit=9):
        return [peer.address for peer in self.peers.choose(domain, limit)]


def test_own_domain_goes_first_and_then_another():
    # Guards against asking only VMs of a domain that has lost its paths.
    found = Peers()
    found.report('a-1', 'a-2', 'b-1', 'c-1')
    chosen = found.chosen(limit=3)
    assert [address[0] for address in chosen] == ['a', 'c', 'b']


def test_peer_that_refused_is_asked_last_for_a_while():
    found = Peers()
    found.report('a-1', 'b-1')
    found.peers.record_refusal('a-1')
    assert found.chosen() == ['b-1', 'a-1']
    found.now_s += peer_choice.AVOIDED_S + 0.1
    found.report('a-1', 'b-1')
    assert found.chosen() == ['a-1', 'b-1']


@pytest.mark.parametrize(
    ('change', 'carries'),
    [
        (lambda f: None, True),
        (lambda f: f.peers.record_report('a-1', None), False),
        (lambda f: setattr(f, 'now_s', 0.9), True),
        (lambda f: setattr(f, 'now_s', 9.0), False),
    ],
    ids=['reports', 'has lost its paths', 'silent shortly', 'silent'],
)
def test_peer_that_stops_reporting_carries_nothing(change, carries):
    found = Peers()
    found.report('a-1')
    assert found.chosen() == ['a-1']
    change(found)
    assert found.peers.carries('a-1') == carries


def test_leaf_learns_peers_of_its_domain_and_of_others():
    # Guards against many cut VMs that all ask the few hubs.
    found = Peers()
    found.report(*(f'{d}-{n}' for d in 'ab' for n in range(30)))
    leaves = [f'a-{n}' for n in range(30)]
    named = {leaf: found.peers.named_to(leaf, 'a', True) for leaf in leaves}
    for leaf, rows in named.items():
        assert sum(domain == 'a' for domain, _ in rows) == 4
        assert sum(domain == 'b' for domain, _ in rows) == 4
        assert leaf not in [address for _, address in rows]
        assert found.peers.carry_all(rows)
    used = {address for rows in named.values() for _, address in rows}
    assert len(used) > 30


def test_hub_names_leaves_to_other_hubs():
    found = Peers()
    found.report('a-1', 'a-2', 'b-1')
    rows = found.peers.shared_leaves({'a-1', 'b-1', 'gone'})
    assert rows == [['a', 'a-1'], ['b', 'b-1']]
    other = Peers()
    other.peers.record_report('own:1', None)
    other.peers.record_named('own:1', rows)
    assert sorted(other.chosen()) == ['a-1', 'b-1']
    other.now_s += 9.0
    assert other.chosen() == []


def test_rows_of_another_shape_are_refused():
    with pytest.raises(errors.DecodeError):
        Peers().peers.record_named('hub:1', [['a', 'a-1', 'more']])
