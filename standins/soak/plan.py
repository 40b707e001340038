"""Draw the faults of one run from its seed."""

import random
import typing

from standins.soak import odd_answers
from standins.soak import parts
from standins.soak import paths
from standins.soak import proxy
from standins.soak import versions

# Between two faults, and how long each lasts.
GAP_S = (0.2, 1.2)
LASTS_S = (0.5, 4.0)
# Between two planned stops; the next often begins before one has ended.
STOP_GAP_S = (0.3, 2.5)
# Reloads and changes come from before a stop until its process has gone.
BESIDE_STOP_S = (-0.5, 3.5)
PROCESS_FAULTS = ('kill', 'stop', 'pause', 'hup', 'kill-all')
REPLICA_FAULTS = ('fails', 'full', 'silent', 'breaks', 'changed', 'drains')
STORE_FAULTS = ('down', 'refuses', 'loses', 'compacts')
HUB_FAULTS = ('kill', 'stop', 'pause', 'refuses')
# Between two faults of hubs.
HUB_GAP_S = (1.0, 3.0)
CHANGES = ('config', 'revoke')
# How long some VMs are cut from all replicas, and between two cuts.
CUT_S = (4.0, 8.0)
CUT_GAP_S = (0.5, 2.0)
# Between two faults beside cuts.
BESIDE_CUT_GAP_S = (1.0, 4.0)
BESIDE_CUT = (
    ('process', 'stop'),
    ('process', 'kill'),
    ('process', 'hup'),
    ('replica', 'drains'),
    ('replica', 'full'),
    ('change', 'config'),
)
# How long a replica names a limit, and between two that begin to.
LIMIT_S = (5.0, 9.0)
LIMITS_PER_S = ('0', '0.5', '1', '2', '5')
LIMIT_GAP_S = (0.5, 2.5)
# Between two faults beside limits.
BESIDE_LIMIT_GAP_S = (0.5, 2.0)
BESIDE_LIMIT = (
    ('process', 'stop'),
    ('process', 'kill'),
    ('process', 'pause'),
    ('process', 'hup'),
    ('replica', 'drains'),
    ('store', 'refuses'),
    ('change', 'config'),
)
# Between two replicas that start again at another version.
VERSION_GAP_S = (0.3, 2.0)
BESIDE_VERSIONS_GAP_S = (0.5, 2.0)
BESIDE_VERSIONS = (
    ('process', 'stop'),
    ('process', 'kill'),
    ('process', 'pause'),
    ('process', 'hup'),
    ('replica', 'drains'),
    ('replica', 'breaks'),
    ('store', 'refuses'),
    ('store', 'down'),
    ('change', 'config'),
)
# Between two replicas of a release, and until one starts a second time.
RELEASE_GAP_S = (0.3, 1.0)
SECOND_START_S = (0.2, 1.2)
SECOND_START_SHARE = 0.3
# How late entries tell of a start, and how far a replica's clock is ahead.
ENTRY_LATE_S = (0.0, 3.0)
CLOCKS_AHEAD_S = ('2', '-2', '2400', '-2400')
CLOCK_GAP_S = (1.0, 4.0)
CLOCK_LASTS_S = (2.0, 6.0)
# An entry that changes once, or a heartbeat of the start before after that.
RELEASE_ENTRIES = ('', ' after a late heartbeat')
OUTAGES = ('silent', 'busy', 'overloaded', 'resets')
OUTAGE_GAP_S = (3.0, 6.0)
BESIDE_RELEASES_GAP_S = (0.7, 2.5)
BESIDE_RELEASES = (
    ('process', 'stop'),
    ('process', 'kill'),
    ('process', 'hup'),
    ('change', 'config'),
)
# When each bad part begins to end replicas, and between faults beside it.
SPOILED_AT_S = ((1.5, 3.0), (3.0, 8.0))
OWN_SPOILED_AT_S = (2.0, 6.0)
BESIDE_PARTS_GAP_S = (0.5, 2.5)
BESIDE_PARTS = (
    ('process', 'stop'),
    ('process', 'kill'),
    ('process', 'pause'),
    ('process', 'hup'),
    ('replica', 'drains'),
    ('replica', 'breaks'),
    ('replica', 'ends'),
    ('store', 'refuses'),
    ('change', 'config'),
)
# How long a replica says that it leaves, or wants a pause at each request.
NOTICE_S = (2.0, 5.0)
NOTICES = ('leaves', 'leaves', 'asks 0.2', 'asks 1', 'asks 3', 'asks soon')
NOTICE_GAP_S = (0.5, 2.5)
# How old the copies are that the store comes back from, and between two.
COPY_S = (0.5, 5.0)
COPY_GAP_S = (1.5, 6.0)
BESIDE_NOTICES_GAP_S = (0.5, 2.5)
BESIDE_NOTICES = (
    ('process', 'stop'),
    ('process', 'kill'),
    ('process', 'pause'),
    ('process', 'hup'),
    ('replica', 'drains'),
    ('replica', 'full'),
    ('store', 'refuses'),
    ('store', 'down'),
    ('change', 'config'),
    ('change', 'revoke'),
)
# How long a replica's answers are odd, and between two that begin to be.
ODD_ANSWERS_S = (2.0, 5.0)
ODD_ANSWERS_GAP_S = (0.2, 1.0)
BESIDE_ODD_ANSWERS_GAP_S = (0.5, 2.5)
BESIDE_ODD_ANSWERS = (
    ('process', 'stop'),
    ('process', 'kill'),
    ('process', 'pause'),
    ('process', 'hup'),
    ('replica', 'drains'),
    ('replica', 'full'),
    ('replica', 'changed'),
    ('replica', 'ends'),
    ('replica-link', 'reset'),
    ('replica-link', 'delay'),
    ('store', 'refuses'),
    ('change', 'config'),
)
# How long a replica's events do not follow, and between two that begin to.
DISORDER_S = (2.0, 6.0)
DISORDER_GAP_S = (0.2, 1.0)
DISORDERS = (
    'starts over',
    'starts over with a handle',
    'begins early',
    'sends twice',
    'goes back',
    'unframed',
    'unframed',
)
BESIDE_DISORDER_GAP_S = (0.3, 1.2)
BESIDE_DISORDER = (
    *BESIDE_VERSIONS,
    ('replica', 'ends'),
    ('replica', 'ends'),
    ('replica-link', 'reset'),
)
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
    # 'process', 'hub', 'replica', 'store', 'store-link', 'replica-link',
    # 'change', 'paths', 'limit', 'version', 'part', 'notice', 'answer',
    # 'order', 'release', 'clock', 'outage', 'makers', 'routes', 'crowd'.
    where: str
    what: str
    # Chooses whom it hits, modulo how many there are.
    whom: int
    lasts_s: float


def draw(seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a run in order; they may overlap."""
    return draw_series(random.Random(seed), length_s, KINDS, GAP_S)


def draw_series(
    chance: random.Random,
    length_s: float,
    kinds: typing.Sequence[tuple[str, str]],
    gap_s: tuple[float, float],
    span_s: tuple[float, float] = LASTS_S,
    from_s: float = 1.0,
) -> list[Fault]:
    """Return faults of some kinds, one after the other.

    A kind is where and what; span_s is how long a fault lasts, and gap_s how
    long after one begins the next does.
    """
    found = []
    at_s = from_s
    while at_s < length_s:
        where, what = chance.choice(kinds)
        lasts_s = min(chance.uniform(*span_s), length_s - at_s)
        found.append(Fault(at_s, where, what, chance.randrange(1000), lasts_s))
        at_s += chance.uniform(*gap_s)
    return found


def draw_stops(seed: int, length_s: float) -> list[Fault]:
    """Return planned stops in series, with reloads and changes beside them."""
    chance = random.Random(f'stops/{seed}')
    found = []
    at_s = 1.0
    while at_s < length_s:
        whom = chance.randrange(1000)
        found.append(Fault(at_s, 'process', 'stop', whom, 0.0))
        for where, what in (('process', 'hup'), ('change', 'config')):
            beside_s = at_s + chance.uniform(*BESIDE_STOP_S)
            found.append(Fault(beside_s, where, what, whom, 0.0))
        at_s += chance.uniform(*STOP_GAP_S)
    return sorted(found)


def draw_both(seed: int, length_s: float) -> list[Fault]:
    """Return faults of all kinds, with planned stops all the while."""
    return sorted(draw(seed, length_s) + draw_stops(seed, length_s))


def draw_hubs(seed: int, length_s: float) -> list[Fault]:
    """Return faults of hubs in series, with those of all kinds beside them."""
    chance = random.Random(f'hubs/{seed}')
    kinds = [('hub', what) for what in HUB_FAULTS]
    return sorted(
        draw(seed, length_s) + draw_series(chance, length_s, kinds, HUB_GAP_S)
    )


def draw_paths(seed: int, length_s: float) -> list[Fault]:
    """Return cuts of some VMs from all replicas, one after the other.

    Planned stops, kills and changes come beside them.
    """
    chance = random.Random(f'paths/{seed}')
    found = []
    at_s = 1.0
    while at_s < length_s:
        how = chance.choice(list(paths.Cut)).value
        lasts_s = min(chance.uniform(*CUT_S), length_s - at_s)
        found.append(
            Fault(at_s, 'paths', how, chance.randrange(1000), lasts_s)
        )
        at_s += lasts_s + chance.uniform(*CUT_GAP_S)
    found += draw_series(chance, length_s, BESIDE_CUT, BESIDE_CUT_GAP_S)
    return sorted(found)


def draw_limits(seed: int, length_s: float) -> list[Fault]:
    """Return replicas that name limits, several at once.

    Planned stops, kills, pauses and changes come beside them.
    """
    chance = random.Random(f'limits/{seed}')
    kinds = [('limit', limit) for limit in LIMITS_PER_S]
    found = draw_series(
        chance, length_s, kinds, LIMIT_GAP_S, LIMIT_S, from_s=0.5
    )
    found += draw_series(chance, length_s, BESIDE_LIMIT, BESIDE_LIMIT_GAP_S)
    return sorted(found)


def draw_versions(seed: int, length_s: float) -> list[Fault]:
    """Return replicas that start again at one of two versions.

    Stops, kills and pauses of VMs and faults of the store come beside them.
    """
    chance = random.Random(f'versions/{seed}')
    found = []
    at_s = 0.5
    while at_s < length_s:
        what = chance.choice(versions.VERSIONS)
        found.append(Fault(at_s, 'version', what, chance.randrange(1000), 0.0))
        at_s += chance.uniform(*VERSION_GAP_S)
    found += draw_series(
        chance, length_s, BESIDE_VERSIONS, BESIDE_VERSIONS_GAP_S
    )
    return sorted(found)


def draw_rolling(
    chance: random.Random, length_s: float, makers: int
) -> list[Fault]:
    """Return releases: makers start again in turn, some of them twice.

    A fault lasts until an entry tells of the start.
    """
    found = []
    number, at_s = 0, 1.0
    while at_s < length_s:
        version = f'v{2 + number // makers}'
        starts_s = [at_s]
        if chance.random() < SECOND_START_SHARE:
            starts_s.append(at_s + chance.uniform(*SECOND_START_S))
        for start_s in starts_s:
            what = version + chance.choice(RELEASE_ENTRIES)
            late_s = chance.uniform(*ENTRY_LATE_S)
            found.append(
                Fault(start_s, 'release', what, number % makers, late_s)
            )
        number += 1
        at_s += chance.uniform(*RELEASE_GAP_S)
    return found


def draw_outages(
    chance: random.Random, length_s: float, whats: typing.Sequence[str]
) -> list[Fault]:
    """Return outages of the store for all, of some kinds."""
    kinds = [('outage', what) for what in whats]
    return draw_series(chance, length_s, kinds, OUTAGE_GAP_S)


def draw_releases(seed: int, length_s: float) -> list[Fault]:
    """Return releases under kept names, with entries that come late.

    Outages of the store, replicas' clocks that are off, and stops and kills
    of VMs come beside them.
    """
    chance = random.Random(f'releases/{seed}')
    clocks = [('clock', ahead_s) for ahead_s in CLOCKS_AHEAD_S]
    return sorted(
        draw_rolling(chance, length_s, versions.MAKERS)
        + draw_outages(chance, length_s, OUTAGES)
        + draw_series(
            chance, length_s, clocks, CLOCK_GAP_S, CLOCK_LASTS_S, from_s=0.5
        )
        + draw_series(chance, length_s, BESIDE_RELEASES, BESIDE_RELEASES_GAP_S)
    )


def draw_parts(seed: int, length_s: float) -> list[Fault]:
    """Return parts of prompts that begin to end replicas.

    Stops, kills and pauses of VMs, and replicas that drain, break streams off
    or end by themselves, come beside them.
    """
    chance = random.Random(f'parts/{seed}')
    found = [
        Fault(chance.uniform(*at_s), 'part', part, 0, 0.0)
        for part, at_s in zip(parts.BAD, SPOILED_AT_S, strict=True)
    ]
    found += draw_series(chance, length_s, BESIDE_PARTS, BESIDE_PARTS_GAP_S)
    # Drawn apart, as the rest of a seed stays as it was.
    own_at_s = random.Random(f'own-part/{seed}').uniform(*OWN_SPOILED_AT_S)
    found.append(Fault(own_at_s, 'part', parts.OWN, 0, 0.0))
    return sorted(found)


def draw_notices(seed: int, length_s: float) -> list[Fault]:
    """Return replicas that give notices, and a store that goes back.

    Stops, kills and pauses of VMs and changes come beside them.
    """
    chance = random.Random(f'notices/{seed}')
    found = []
    for where, whats, gap_s, span_s in (
        ('notice', NOTICES, NOTICE_GAP_S, NOTICE_S),
        ('store', ('goes-back',), COPY_GAP_S, COPY_S),
    ):
        at_s = chance.uniform(*gap_s)
        while at_s < length_s:
            lasts_s = min(chance.uniform(*span_s), length_s - at_s)
            whom = chance.randrange(1000)
            what = chance.choice(whats)
            found.append(Fault(at_s, where, what, whom, lasts_s))
            at_s += chance.uniform(*gap_s)
    found += draw_series(
        chance, length_s, BESIDE_NOTICES, BESIDE_NOTICES_GAP_S
    )
    return sorted(found)


def draw_answers(seed: int, length_s: float) -> list[Fault]:
    """Return replicas whose answers are odd, several at once.

    Stops, kills and pauses of VMs, full replicas, broken connections and
    changes come beside them.
    """
    chance = random.Random(f'answers/{seed}')
    return _draw_answers(chance, length_s, odd_answers.KINDS)


def _draw_answers(
    chance: random.Random, length_s: float, whats: typing.Iterable[str]
) -> list[Fault]:
    """Return odd answers of replicas, and the faults beside them."""
    found = draw_series(
        chance,
        length_s,
        [('answer', what) for what in whats],
        ODD_ANSWERS_GAP_S,
        ODD_ANSWERS_S,
        from_s=0.5,
    )
    found += draw_series(
        chance, length_s, BESIDE_ODD_ANSWERS, BESIDE_ODD_ANSWERS_GAP_S
    )
    return sorted(found)


def draw_rejections(seed: int, length_s: float) -> list[Fault]:
    """Return replicas that reject requests without saying so, several at once.

    The same faults come beside them as beside other odd answers.
    """
    chance = random.Random(f'rejections/{seed}')
    return _draw_answers(chance, length_s, odd_answers.REJECTIONS)


def draw_denials(seed: int, length_s: float) -> list[Fault]:
    """Return replicas that run requests and deny it, several at once.

    The same faults come beside them as beside other odd answers.
    """
    chance = random.Random(f'denials/{seed}')
    return _draw_answers(chance, length_s, odd_answers.DENIALS)


def draw_order(seed: int, length_s: float) -> list[Fault]:
    """Return replicas whose events do not follow, several at once.

    Replicas that end and start again, and stops, kills and pauses of VMs
    come beside them.
    """
    return _draw_order(seed, length_s, [('replica', 'ends')])


def draw_order_versions(seed: int, length_s: float) -> list[Fault]:
    """Return the same with replicas that start again at another version."""
    starts = [('version', version) for version in versions.VERSIONS]
    return _draw_order(seed, length_s, starts)


def _draw_order(
    seed: int, length_s: float, starts: list[tuple[str, str]]
) -> list[Fault]:
    chance = random.Random(f'order/{seed}')
    found = draw_series(
        chance,
        length_s,
        [('order', what) for what in DISORDERS],
        DISORDER_GAP_S,
        DISORDER_S,
        from_s=0.5,
    )
    found += draw_series(chance, length_s, starts, VERSION_GAP_S)
    found += draw_series(
        chance, length_s, BESIDE_DISORDER, BESIDE_DISORDER_GAP_S
    )
    return sorted(found)


PLANS = {
    'faults': draw,
    'stops': draw_stops,
    'both': draw_both,
    'hubs': draw_hubs,
    'paths': draw_paths,
    'limits': draw_limits,
    'versions': draw_versions,
    'parts': draw_parts,
    'notices': draw_notices,
    'answers': draw_answers,
    'rejections': draw_rejections,
    'denials': draw_denials,
    'order': draw_order,
    'order-versions': draw_order_versions,
    'releases': draw_releases,
}
