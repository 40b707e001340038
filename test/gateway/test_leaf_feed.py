"""Test the feeds that a hub serves to its leaves."""

import types

import pytest

from gentianstair import errors
from gentianstair.gateway import leaf_feed
from gentianstair.gateway import leaf_records
from gentianstair.gateway import replica_load
from test.gateway import hub_nodes

LEAF = 'vm-2.ab'
REPORT = {
    'process': LEAF,
    'address': '10.0.0.2:1',
    'loads': replica_load.encode({'i-1': replica_load.Load(3, 40.0)}),
    'config_version': 0,
}


def test_closing_a_replaced_link_keeps_the_leaf():
    # The leaf has already reported on a newer link.
    node = hub_nodes.make_node()
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


def member(windows):
    return leaf_feed.encode_member(
        leaf_records.LeafRecord(LEAF, 'vm-2', 'a', '10.0.0.2:1', 0.5, windows)
    )


def test_counts_of_a_killed_leaf_stay_until_their_windows_are_over():
    # Its last requests would not be billed.
    node = hub_nodes.make_node()
    feed = leaf_feed.LeafFeed(node, types.SimpleNamespace(reported_age_s=0.0))
    current = 20
    windows = {str(current): {'club': 2}, str(current - 9): {'club': 9}}
    feed.handle_report({**REPORT, 'member': member(windows)})
    assert [leaf.vm for leaf in node.roster.leaf_records.linked()] == ['vm-2']
    feed.close()
    assert node.roster.leaf_records.linked() == []
    (kept,) = node.roster.leaf_records.export()
    assert kept.windows == {str(current): {'club': 2}}
    assert not kept.linked


@pytest.mark.parametrize(
    'row',
    [
        {},
        {**member({}), 'windows': 'many'},
        {**member({}), 'windows': {'this week': {'club': 1}}},
        {**member({}), 'cores': None},
    ],
    ids=['empty', 'windows of another type', 'no number', 'no cores'],
)
def test_unreadable_member_is_a_decode_error(row):
    with pytest.raises(errors.DecodeError):
        leaf_feed.decode_member(row)


def test_costs_are_in_the_first_feed_only():
    node = hub_nodes.make_node()
    feed = leaf_feed.LeafFeed(node, types.SimpleNamespace(reported_age_s=0.0))
    node.registry.loaded.set()
    assert 'costs' in feed.handle_report(REPORT)
    assert 'costs' not in feed.handle_report(REPORT)
