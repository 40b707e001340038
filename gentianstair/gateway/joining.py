"""Find a hub at the start, before the first listing of the fleet."""

import random

import loguru
import trio

from gentianstair import errors
from gentianstair.gateway import hub_list
from gentianstair.gateway import members as memberships
from gentianstair.gateway import roster as rosters
from gentianstair.generated import events
from gentianstair.store import store as stores

# How long the list of hubs is waited for. Callers of a process that starts
# wait for what it reads next, and not for long.
READ_LIMIT_S = 0.1
# How long a leaf waits for the first feed before it reads the store itself.
FEED_WAIT_S = 1.0
FEED_CHECK_S = 0.02
# At the first start of a fleet a VM with this many cores waits for half of
# the spread and a random part of the other half, one with fewer for longer.
REFERENCE_CORES = 1.0
MAX_DELAY_SPREADS = 2.0


def first_write_delay_s(
    cores: float, spread_s: float, rng: random.Random
) -> float:
    """Return how long a VM waits at the first start of its fleet.

    VMs with many cores, which are to be hubs, register first; the others
    then see them and need not register.

    >>> first_write_delay_s(1.0, 0.0, random.Random(1))
    0.0
    >>> first_write_delay_s(0.1, 1.0, random.Random(1)) <= 2.5
    True
    """
    share = min(MAX_DELAY_SPREADS, REFERENCE_CORES / max(cores, 0.01) / 2)
    return spread_s * (share + rng.random() / 2)


async def learn_hubs(
    store: stores.Store,
    members: memberships.Members,
    roster: rosters.Roster,
    first_start_spread_s: float,
) -> None:
    """Learn the hubs from the list in the store.

    At the first start of a fleet there is none: then wait in turn, and list
    the VMs that have registered by then. first_start_spread_s is 0 at any
    other start.
    """
    known = None
    try:
        with trio.move_on_after(READ_LIMIT_S):
            known = await hub_list.read(store)
    except errors.StoreError as error:
        loguru.logger.bind(event=events.HUBS_FAILED).info('{}', error)
        return
    if known is not None:
        roster.remember_hubs(known.vm_count, known.vms())
    elif first_start_spread_s:
        own = roster.own_vm
        delay_s = first_write_delay_s(
            own.cores, first_start_spread_s, random.Random(own.name)
        )
        await trio.sleep(delay_s)
        await members.refresh()


async def wait_for_feed(roster: rosters.Roster) -> None:
    """Return when a hub feeds this leaf, or after FEED_WAIT_S.

    On a hub, return at once.
    """
    with trio.move_on_after(FEED_WAIT_S):
        while not roster.is_hub() and not roster.has_hub_feed():
            await trio.sleep(FEED_CHECK_S)
