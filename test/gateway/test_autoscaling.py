"""Test how many replicas are ordered, and how often."""

import pytest

from gentianstair.gateway import autoscaling
from gentianstair.gateway import catalog
from gentianstair.gateway import replicas

PRICES = {'a': 1.0, 'b': 0.8, 'c': 1.25}
SCALING = catalog.Scaling(1, 3, 4.0, 0.22, PRICES)


def fleet(cheap='', dear='', draining=''):
    """Return replicas, one for each letter of the domains named."""
    kinds = ((cheap, True, False), (dear, False, False), (draining, 0, True))
    return [
        replicas.Replica(
            f'i-{domain}{number}{kind}',
            'models',
            '10.0.0.1:80',
            domain,
            64,
            leaves,
            'decode',
            1,
            0,
            kind,
            (),
        )
        for domains, kind, leaves in kinds
        for number, domain in enumerate(domains)
    ]


@pytest.mark.parametrize(
    ('cheap', 'dear', 'wanted_cheap', 'wanted_dear'),
    [
        # At the start: cheap ones are wanted, and the dear ones are kept.
        ('', 'aabcc', 9, 'aabcc'),
        # Enough cheap ones are there.
        ('aabbcc', 'aabcc', 9, ''),
        # One is missing; a dear one that runs is kept for it.
        ('aabb', 'cc', 9, 'c'),
        # A whole domain was reclaimed: still enough.
        ('aaabbb', '', 9, ''),
        # Two were: dear ones make up, first in the cheapest domain.
        ('aaa', '', 9, 'bc'),
        ('', '', 9, 'aabbc'),
    ],
)
def test_what_is_wanted(cheap, dear, wanted_cheap, wanted_dear):
    found = fleet(cheap, dear)
    wanted = autoscaling.desired_counts(SCALING, 5, found, names(found))
    assert sum(wanted.reclaimable.values()) == wanted_cheap
    on_demand = {d: wanted_dear.count(d) for d in PRICES}
    assert wanted.on_demand == on_demand


def names(found):
    return {replica.name for replica in found}


def test_dear_ones_stay_until_cheap_ones_are_warm():
    """All engines are swapped at once as the day begins.

    The new ones keep nothing yet, so every prompt is read anew while the
    callers' objectives run: the first seconds are the worst of the day.
    """
    found = fleet('aabbcc', 'abc')
    wanted = autoscaling.desired_counts(SCALING, 5, found, ())
    assert sum(wanted.on_demand.values()) == 3
    wanted = autoscaling.desired_counts(SCALING, 5, found, names(found))
    assert sum(wanted.on_demand.values()) == 0


def test_dear_ones_are_let_go_one_by_one():
    planner = autoscaling.OrderPlanner()
    found = fleet('aabbcc', 'abc')
    wanted = autoscaling.desired_counts(SCALING, 5, found, names(found))
    now_s, let_go = 100.0, []
    for _ in range(100):
        for order in planner.due_orders(
            'models', SCALING, wanted, found, now_s
        ):
            if not order.reclaimable:
                let_go.append((now_s, order.failure_domain, order.count))
                found = [
                    replica
                    for replica in found
                    if replica.reclaimable
                    or replica.failure_domain != order.failure_domain
                ]
        now_s += 0.1
    assert [count for _, _, count in let_go] == [0, 0, 0]
    times_s = [at_s for at_s, _, _ in let_go]
    assert times_s[2] - times_s[0] >= 2 * autoscaling.RELEASE_INTERVAL_S - 0.01


@pytest.mark.parametrize(
    ('price', 'total'), [(0.22, 9), (0.4, 6), (0.9, 5), (1.0, 0), (0.0, 0)]
)
def test_cheap_ones_by_their_price(price, total):
    scaling = SCALING._replace(reclaimable_price=price)
    wanted = autoscaling.desired_counts(scaling, 5, [], ())
    assert sum(wanted.reclaimable.values()) == total


def test_both_kinds_share_the_most_of_a_domain():
    """The platform refuses an order past the most of both kinds together."""
    planner = autoscaling.OrderPlanner()
    found = fleet('', 'aabcc')
    wanted = autoscaling.desired_counts(SCALING, 5, found, ())
    orders = planner.due_orders('models', SCALING, wanted, found, 0.0)
    counts = {o.failure_domain: o.count for o in orders if o.reclaimable}
    assert counts == {'a': 1, 'b': 2, 'c': 1}


def test_an_order_is_not_repeated_while_it_takes_effect():
    planner = autoscaling.OrderPlanner()
    found = fleet('', 'aabcc')
    wanted = autoscaling.desired_counts(SCALING, 5, found, ())
    for order in planner.due_orders('models', SCALING, wanted, found, 0.0):
        planner.record_accepted(order, SCALING, 0.0)
    assert planner.due_orders('models', SCALING, wanted, found, 3.0) == []
    later_s = SCALING.boot_s + autoscaling.ORDER_TIMEOUT_S + 0.1
    assert planner.due_orders('models', SCALING, wanted, found, later_s)


def test_none_to_be_had_is_asked_again_soon():
    planner = autoscaling.OrderPlanner()
    wanted = autoscaling.desired_counts(SCALING, 5, [], ())
    orders = planner.due_orders('models', SCALING, wanted, [], 0.0)
    for order in orders:
        planner.record_unavailable(order, 0.0)
    assert planner.due_orders('models', SCALING, wanted, [], 1.0) == []
    assert planner.due_orders('models', SCALING, wanted, [], 2.0) == orders


def test_reclaimed_ones_are_ordered_anew_at_once():
    """A domain is reclaimed seconds after an order there was accepted.

    The order was taken to be still under way, and for five seconds, under
    the day's heaviest load, nothing was asked for.
    """
    planner = autoscaling.OrderPlanner()
    found = fleet('aaabbbccc')
    wanted = autoscaling.desired_counts(SCALING, 5, found, names(found))
    for order in planner.due_orders(
        'models', SCALING, wanted, fleet('aaabbb'), 0.0
    ):
        planner.record_accepted(order, SCALING, 0.0)
    assert planner.due_orders('models', SCALING, wanted, found, 1.0) == []
    left = fleet('aaabbb', '', 'ccc')
    (order,) = planner.due_orders('models', SCALING, wanted, left, 1.5)
    assert order == autoscaling.Order('models', 'c', True, 3)


def test_a_draining_replica_does_not_count():
    found = fleet('aabb', '', 'cc')
    wanted = autoscaling.desired_counts(SCALING, 5, found, names(found))
    assert sum(wanted.on_demand.values()) == 1
