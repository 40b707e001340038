"""Draw plays of a described site with one event each, or two.

Answers that are odd may come around it, from replicas that are drawn.
"""

import random
import typing

from standins.soak import plan

# When the event begins, and for how long before and after it answers are odd.
BEGINS_S = (4.0, 8.0)
ODD_AROUND_S = 0.5
ODD_REPLICAS = 2
# Stands for two events, drawn by the seed, and how soon the second follows.
PAIR = 'pair'
PAIR_APART_S = 1.0

# What happens, by the name of the event: where, what, how long it lasts.
EVENTS: dict[str, tuple[str, str, float]] = {
    'replica-ends': ('replica', 'ends', 0.0),
    'replica-drains': ('replica', 'drains', 2.0),
    'address-of-another': ('replica', 'changed', 2.0),
    'release': ('release', 'v2 after a late heartbeat', 1.5),
    'replica-reset': ('replica-link', 'reset', 1.0),
    'replica-cut': ('replica-link', 'silent', 3.0),
    'answers-cut': ('replica-link', 'one way', 3.0),
    'replica-late': ('replica-link', 'delay', 3.0),
    'vm-paused': ('process', 'pause', 2.5),
    'vm-killed': ('process', 'kill', 0.0),
    'vm-stopped': ('process', 'stop', 0.0),
    'all-killed': ('process', 'kill-all', 0.0),
    'store-cut': ('store-link', 'silent', 3.0),
    'routes-change': ('routes', 'change', 3.0),
    'makers-full': ('makers', 'full', 1.0),
    'makers-end': ('makers', 'ends', 0.0),
    'makers-silent': ('makers', 'silent', 1.0),
    'crowd-of-bodies': ('crowd', 'bodies', 2.0),
    'crowd-silent': ('crowd', 'silent', 2.0),
    'calm': ('change', 'config', 0.0),
}


def draw(event: str, seed: int, odd: typing.Iterable[str]) -> list[plan.Fault]:
    """Return the events and the odd answers around them, in order.

    event names one of EVENTS, or is PAIR.
    """
    chance = random.Random(f'event/{event}/{seed}')
    names = chance.sample(sorted(EVENTS), 2) if event == PAIR else [event]
    at_s = chance.uniform(*BEGINS_S)
    begins_s = at_s
    found = []
    for name in names:
        where, what, lasts_s = EVENTS[name]
        if found:
            begins_s += chance.uniform(0.0, PAIR_APART_S)
        found.append(
            plan.Fault(begins_s, where, what, chance.randrange(1000), lasts_s)
        )
    ends_s = max(fault.at_s + fault.lasts_s for fault in found)
    kinds = sorted(odd)
    for _ in range(ODD_REPLICAS if kinds else 0):
        found.append(
            plan.Fault(
                at_s - ODD_AROUND_S,
                'answer',
                chance.choice(kinds),
                chance.randrange(1000),
                ends_s - at_s + 2 * ODD_AROUND_S,
            )
        )
    return sorted(found)


__all__ = ['EVENTS', 'PAIR', 'draw']
