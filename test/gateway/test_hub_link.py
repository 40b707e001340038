"""Test a hub's ends of the links that its leaves open."""

import types

from gentianstair.gateway import cache_news
from gentianstair.gateway import hub_link
from gentianstair.gateway import loads
from gentianstair.gateway import prefix_cache
from gentianstair.gateway import replicas
from gentianstair.gateway import roster as rosters

LEAF = 'vm-2.ab'
WORD = {
    'process': LEAF,
    'loads': loads.encode({'i-1': loads.Load(3, 40.0)}),
    'config_version': 0,
}


def make_node():
    """Return what a hub's end of a link needs of a process."""

    def clock():
        return 100.0

    members = types.SimpleNamespace(name='vm-1.cd', count=lambda: 2)
    registry = replicas.Registry(clock)
    own = types.SimpleNamespace(
        name='vm-1', failure_domain='', peer_address=''
    )
    roster = rosters.Roster(own, members, registry, clock)
    roster.hubs = list
    roster.follows_of = lambda process: []
    return types.SimpleNamespace(
        roster=roster,
        loads=loads.Loads(clock),
        cache_news=cache_news.CacheNews(prefix_cache.PrefixCache()),
        registry=registry,
        active_config=types.SimpleNamespace(catalog=None),
    )


def test_the_end_of_a_replaced_link_forgets_nothing():
    # The hub forgot a leaf that had told it more on a new link.
    node = make_node()
    touch = types.SimpleNamespace(told_age_s=0.0)
    first, second = (hub_link.HubLink(node, touch) for _ in range(2))
    first.answer(WORD)
    second.answer(WORD)
    first.end()
    assert node.loads.at('i-1').running == 3
    assert LEAF in node.roster.leaves
    second.end()
    assert node.loads.at('i-1').running == 0
    assert LEAF not in node.roster.leaves
