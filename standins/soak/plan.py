"""Draw the faults of one run from its seed."""

import random
import typing

from standins.soak import proxy

# Between two faults, and how long each lasts.
GAP_S = (0.2, 1.2)
LASTS_S = (0.5, 4.0)
PROCESS_FAULTS = ('kill', 'stop', 'pause', 'hup', 'kill-all')
REPLICA_FAULTS = ('fails', 'full', 'silent', 'breaks', 'changed', 'drains')
STORE_FAULTS = ('down', 'refuses', 'loses', 'compacts')
CHANGES = ('config', 'revoke')
LINKS = ('store-link', 'replica-link')
_MODES = tuple(mode for mode in proxy.Mode if mode is not proxy.Mode.PASS)
# Where and what, each as likely as the others.
KINDS = (
    *(('process', what) for what in PROCESS_FAULTS),
    *(('replica', what) for what in REPLICA_FAULTS),
    *(('store', what) for what in STORE_FAULTS),
    *(('change', what) for what in CHANGES),
    *((where, mode.value) for where in LINKS for mode in _MODES),
)


class Fault(typing.NamedTuple):
    """One fault: what, to whom, when and for how long."""

    at_s: float
    # 'process', 'replica', 'store', 'store-link', 'replica-link', 'change'.
    where: str
    what: str
    # Chooses whom it hits, modulo how many there are.
    whom: int
    lasts_s: float


def draw(seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a run in order; they may overlap."""
    chance = random.Random(seed)
    found = []
    at_s = 1.0
    while at_s < length_s:
        where, what = chance.choice(KINDS)
        lasts_s = min(chance.uniform(*LASTS_S), length_s - at_s)
        found.append(Fault(at_s, where, what, chance.randrange(1000), lasts_s))
        at_s += chance.uniform(*GAP_S)
    return found
