"""Test the feeds that a hub serves to its leaves."""

import types

from gentianstair.gateway import cache_updates
from gentianstair.gateway import leaf_feed
from gentianstair.gateway import prefix_index
from gentianstair.gateway import replica_load
from gentianstair.gateway import replicas
from gentianstair.gateway import roster as rosters

LEAF = 'vm-2.ab'
REPORT = {
    'process': LEAF,
    'loads': replica_load.encode({'i-1': replica_load.Load(3, 40.0)}),
    'config_version': 0,
}


def make_node():
    """Return the parts of a node that a leaf's feed uses."""

    def clock():
        return 100.0

    members = types.SimpleNamespace(name='vm-1.cd', count=lambda: 2)
    registry = replicas.Registry(clock)
    own = types.SimpleNamespace(
        name='vm-1', failure_domain='', peer_address=''
    )
    roster = rosters.Roster(own, members, registry, clock)
    roster.hubs = list
    roster.assigned_replicas = lambda process: []
    return types.SimpleNamespace(
        roster=roster,
        load_tracker=replica_load.LoadTracker(clock),
        cache_updates=cache_updates.CacheUpdates(prefix_index.PrefixIndex()),
        registry=registry,
        active_config=types.SimpleNamespace(catalog=None),
    )


def test_closing_a_replaced_link_keeps_the_leaf():
    # The leaf has already reported on a newer link.
    node = make_node()
    store_health = types.SimpleNamespace(reported_age_s=0.0)
    first, second = (leaf_feed.LeafFeed(node, store_health) for _ in range(2))
    first.handle_report(REPORT)
    second.handle_report(REPORT)
    first.close()
    assert node.load_tracker.load_of('i-1').running == 3
    assert LEAF in node.roster.leaves
    second.close()
    assert node.load_tracker.load_of('i-1').running == 0
    assert LEAF not in node.roster.leaves
