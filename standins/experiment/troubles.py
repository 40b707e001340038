"""Draw the troubles of a described site, as faults that a soak carries out."""

import random
import typing

from standins.experiment import single_events
from standins.experiment import turned_away
from standins.site import sheet as sheets
from standins.soak import odd_answers
from standins.soak import plan

# Between the beginnings of two troubles, and how long each lasts.
GAP_S = (0.8, 2.5)
LASTS_S = (1.0, 5.0)
# Where and what strikes for each kind of trouble, by the beginning of how;
# those that are not named here are of callers, or have no part here.
STRIKES: dict[str, dict[str, tuple[str, str]]] = {
    'srv_crash': {'dark': ('replica-link', 'silent'), '': ('replica', 'ends')},
    'srv_grey': {
        'errors': ('replica', 'fails'),
        'shed': ('replica', 'full'),
        'busy': ('replica', 'busy'),
        'hang': ('replica', 'silent'),
        'mute': ('replica', 'silent'),
        'reset': ('replica-link', 'reset'),
        'slow': ('replica-link', 'delay'),
        '': ('replica', 'fails'),
    },
    'srv_slow': {'': ('replica-link', 'delay')},
    'srv_cut': {'': ('store', 'compacts')},
    'release': {'': ('replica', 'drains')},
    'scale_in': {'': ('replica', 'drains')},
    'replace_with_reuse': {'': ('replica', 'changed')},
    'answer_lost': {
        'reset': ('replica-link', 'reset'),
        '': ('replica-link', 'one way'),
    },
    'garble': {
        'extra': ('answer', 'adds 503 of another'),
        'early': ('replica', 'full'),
        '': ('replica', 'breaks'),
    },
    'node_kill': {'': ('process', 'kill')},
    'herd_kill': {'': ('process', 'kill-all')},
    'node_freeze': {'': ('process', 'pause')},
    'node_slow': {'': ('process', 'pause')},
    'roll_term': {'': ('process', 'stop')},
    'after_ack_kill': {'': ('process', 'kill')},
    'hup': {'': ('process', 'hup')},
    'core_cut': {'': ('store-link', 'silent')},
    'node_cut': {'': ('store-link', 'silent')},
    'lossy': {'': ('replica-link', 'delay')},
    'reset_conns': {'': ('replica-link', 'reset')},
    'platform_down': {'nodes': ('store', 'refuses'), '': ('store', 'down')},
    'platform_slow': {'': ('store-link', 'delay')},
    'platform_lost': {'': ('store', 'loses')},
    'platform_compact': {'': ('store', 'compacts')},
    'config_change': {'': ('change', 'config')},
    'config_storm': {'': ('change', 'config')},
    'big_config': {'': ('change', 'config')},
    'revoke': {'': ('change', 'config')},
}
# What replicas may answer besides, by the name of the play.
ODD: dict[str, typing.Iterable[str]] = {
    'none': (),
    'unsaid': odd_answers.REJECTIONS,
    'failures': odd_answers.FAILURES,
    'denials': odd_answers.DENIALS,
    'order': plan.DISORDERS,
    'breaks': ('breaks',),
}
# Releases with one kind of outage of the store, by the name of the play; there
# is no other trouble, and entries are late only as the store is away.
LADDER: dict[str, typing.Sequence[str]] = {
    'releases-only': (),
    'releases-silent': ('silent',),
    'releases-busy': ('busy', 'overloaded'),
    'releases-resets': ('resets',),
}
RELEASES = 'releases'
# Plain replicas that turn all away for seconds, and no other trouble than
# what the module of that name draws.
TURNED_AWAY = 'turned-away'
ODD.update(dict.fromkeys((RELEASES, TURNED_AWAY, *LADDER), ()))
# Those that only replicas that write streams do.
OF_STREAMS = ('order', 'breaks')


def kinds(troubles: tuple[tuple[str, str], ...]) -> list[tuple[str, str]]:
    """Return where and what strikes, for the troubles that have a part."""
    found = []
    for kind, how in troubles:
        ways = STRIKES.get(kind)
        if ways is not None:
            found.append(next(ways[w] for w in ways if how.startswith(w)))
    # Any kind of trouble may come to any site.
    return found + [way for ways in STRIKES.values() for way in ways.values()]


def draw(
    seed: int,
    length_s: float,
    sheet: sheets.Sheet,
    odd: str,
    event: str = '',
) -> list[plan.Fault]:
    """Return the troubles of a play in order; they overlap.

    With an event it is the only one.
    """
    if event:
        return single_events.draw(event, seed, ODD[odd])
    if odd == TURNED_AWAY:
        return turned_away.draw(seed, length_s, sheet)
    if odd in LADDER:
        return [
            _on_time(fault)
            for fault in _draw_releases(seed, length_s, sheet, LADDER[odd])
        ]
    chance = random.Random(f'experiment/{seed}')
    found = plan.draw_series(
        chance, length_s, kinds(sheet.troubles), GAP_S, LASTS_S
    )
    where = 'order' if odd in OF_STREAMS else 'answer'
    answers = [(where, what) for what in ODD[odd]]
    if answers:
        found += plan.draw_series(chance, length_s, answers, GAP_S, LASTS_S)
    if odd == RELEASES:
        found += _draw_releases(seed, length_s, sheet, plan.OUTAGES)
    return sorted(found)


def _on_time(fault: plan.Fault) -> plan.Fault:
    """Return a fault; the entry that tells of a release is not late."""
    if fault.where != 'release':
        return fault
    version = fault.what.partition(' ')[0]
    return fault._replace(what=version, lasts_s=0.0)


def _draw_releases(
    seed: int, length_s: float, sheet: sheets.Sheet, outages: typing.Sequence
) -> list[plan.Fault]:
    """Return releases, and outages of some kinds if there are any."""
    chance = random.Random(f'releases/{seed}')
    found = sheets.make_replicas(sheet)
    makers = sum(replica.stage == 'decode' for replica in found)
    faults = plan.draw_rolling(chance, length_s, makers)
    if outages:
        faults += plan.draw_outages(chance, length_s, outages)
    return sorted(faults)
