"""Draw plays in which plain replicas turn requests away for seconds.

Beside them replicas end and drain, and routes change.
"""

import random

from standins.site import sheet as sheets
from standins.soak import plan

# When replicas begin to turn all away, and for how long they do.
BEGINS_S = (2.0, 4.0)
LASTS_S = (6.0, 12.0)
# Of a service's plain replicas, at least one and not all.
FULL_SHARE = 0.5
# The same for replicas that have too much to do, one at a time.
BUSY_GAP_S = (1.0, 3.0)
BUSY_S = (0.5, 2.0)
# Between what happens beside these.
BESIDE_GAP_S = (1.5, 4.0)
BESIDE_S = (0.5, 2.0)
BESIDE = (
    ('replica', 'ends'),
    ('replica', 'drains'),
    ('routes', 'change'),
    ('change', 'config'),
)


def draw(seed: int, length_s: float, sheet: sheets.Sheet) -> list[plan.Fault]:
    """Return the troubles of a play in order; they come in series."""
    chance = random.Random(f'turned-away/{seed}')
    plain: dict[str, list[int]] = {}
    for number, replica in enumerate(sheets.make_replicas(sheet)):
        if not replica.stage:
            plain.setdefault(replica.service, []).append(number)
    found = plan.draw_series(
        chance, length_s, BESIDE, BESIDE_GAP_S, BESIDE_S, BEGINS_S[1]
    )
    for numbers in plain.values():
        count = max(1, round(FULL_SHARE * len(numbers)))
        full = chance.sample(numbers, min(count, max(1, len(numbers) - 1)))
        found += _draw_full(chance, length_s, full)
        free = [number for number in numbers if number not in full]
        if free:
            found += _draw_busy(chance, length_s, free)
    return sorted(found)


def _draw_full(
    chance: random.Random, length_s: float, numbers: list[int]
) -> list[plan.Fault]:
    """Return spans in which replicas of these numbers turn all away."""
    return [
        span._replace(whom=number)
        for span in _series(chance, length_s)
        for number in numbers
    ]


def _draw_busy(
    chance: random.Random, length_s: float, numbers: list[int]
) -> list[plan.Fault]:
    """Return spans in which one of these replicas has too much to do."""
    spans = plan.draw_series(
        chance, length_s, [('replica', 'busy')], BUSY_GAP_S, BUSY_S
    )
    return [span._replace(whom=chance.choice(numbers)) for span in spans]


def _series(chance: random.Random, length_s: float) -> list[plan.Fault]:
    """Return spans in which some turn all away, with pauses between."""
    found = []
    at_s = chance.uniform(*BEGINS_S)
    while at_s < length_s:
        lasts_s = chance.uniform(*LASTS_S)
        found.append(plan.Fault(at_s, 'replica', 'full', 0, lasts_s))
        at_s += lasts_s + chance.uniform(*BEGINS_S)
    return found


__all__ = ['draw']
