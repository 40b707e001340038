"""Test the sums of the loads that peers report."""

import random

import pytest

from gentianstair.gateway import replica_load


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def summed(reports):
    totals = {}
    for report in reports:
        for name, load in report.items():
            known = totals.get(name, replica_load.IDLE)
            totals[name] = replica_load.Load(
                *map(sum, zip(known, load, strict=True))
            )
    return totals


@pytest.mark.parametrize('seed', range(5))
def test_incremental_sums_match_a_full_sum(seed):
    """Peers report, fall silent and are removed, in any order."""
    rng, clock = random.Random(seed), Clock()
    tracker = replica_load.LoadTracker(clock)
    reported = {}
    for _ in range(300):
        clock.now_s += rng.uniform(0, 0.3)
        peer = f'p{rng.randrange(6)}'
        if rng.random() < 0.1:
            tracker.remove_peer(peer)
            reported.pop(peer, None)
        else:
            report = {
                f'i-{rng.randrange(8)}': replica_load.Load(
                    rng.randrange(5), rng.randrange(900)
                )
                for _ in range(rng.randrange(4))
            }
            tracker.update_peer(peer, report)
            reported[peer] = (clock.now_s, report)
        clock.now_s += replica_load.EXPIRY_INTERVAL_S
        oldest_s = clock.now_s - replica_load.PEER_TIMEOUT_S
        reported = {
            n: row for n, row in reported.items() if row[0] >= oldest_s
        }
        reports = {name: report for name, (_, report) in reported.items()}
        totals = summed(reports.values())
        for number in range(8):
            name = f'i-{number}'
            assert tracker.load_of(name) == totals.get(name, replica_load.IDLE)
        others = summed(found for n, found in reports.items() if n != peer)
        expected = {
            n: one for n, one in others.items() if one != replica_load.IDLE
        }
        assert tracker.excluding(peer) == expected


def test_hub_reports_its_own_load_and_that_of_its_leaves():
    clock = Clock()
    tracker = replica_load.LoadTracker(clock)
    tracker.update_peer(
        'leaf', {'i-1': replica_load.Load(2, 100)}, from_leaf=True
    )
    tracker.update_peer('hub', {'i-1': replica_load.Load(7, 300)})
    request = tracker.begin('i-1', 0.5, 9.0)
    assert tracker.subtree() == {'i-1': replica_load.Load(3, 600)}
    assert tracker.excluding('leaf') == {'i-1': replica_load.Load(8, 800)}
    tracker.end(request)
    assert tracker.subtree() == {'i-1': replica_load.Load(2, 100)}
