"""Test the sums of loads that VMs tell each other."""

import random

import pytest

from gentianstair.gateway import replica_load


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def summed(parts):
    found = {}
    for part in parts:
        for name, load in part.items():
            known = found.get(name, replica_load.IDLE)
            found[name] = replica_load.Load(
                *map(sum, zip(known, load, strict=True))
            )
    return found


@pytest.mark.parametrize('seed', range(5))
def test_sums_are_those_of_a_twin_that_adds_anew(seed):
    """Peers tell, fall silent, and are forgotten, in any order."""
    chance, clock = random.Random(seed), Clock()
    work = replica_load.LoadTracker(clock)
    told = {}
    for _ in range(300):
        clock.now_s += chance.uniform(0, 0.3)
        peer = f'p{chance.randrange(6)}'
        if chance.random() < 0.1:
            work.remove_peer(peer)
            told.pop(peer, None)
        else:
            part = {
                f'i-{chance.randrange(8)}': replica_load.Load(
                    chance.randrange(5), chance.randrange(900)
                )
                for _ in range(chance.randrange(4))
            }
            work.update_peer(peer, part)
            told[peer] = (clock.now_s, part)
        # A silent peer is dropped within a tenth of a second more.
        clock.now_s += replica_load.EXPIRY_INTERVAL_S
        oldest_s = clock.now_s - replica_load.PEER_TIMEOUT_S
        told = {n: found for n, found in told.items() if found[0] >= oldest_s}
        parts = {name: part for name, (_, part) in told.items()}
        everything = summed(parts.values())
        for number in range(8):
            name = f'i-{number}'
            assert work.load_of(name) == everything.get(
                name, replica_load.IDLE
            )
        others = summed(p for n, p in parts.items() if n != peer)
        busy = {
            n: one for n, one in others.items() if one != replica_load.IDLE
        }
        assert work.excluding(peer) == busy


def test_a_hub_passes_on_its_leaves_and_its_own():
    clock = Clock()
    work = replica_load.LoadTracker(clock)
    work.update_peer(
        'leaf', {'i-1': replica_load.Load(2, 100)}, from_leaf=True
    )
    work.update_peer('hub', {'i-1': replica_load.Load(7, 300)})
    sent = work.begin('i-1', 0.5, 9.0)
    assert work.subtree() == {'i-1': replica_load.Load(3, 600)}
    assert work.excluding('leaf') == {'i-1': replica_load.Load(8, 800)}
    work.end(sent)
    assert work.subtree() == {'i-1': replica_load.Load(2, 100)}
