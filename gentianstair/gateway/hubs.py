"""Select the hubs of a fleet, and the hubs that serve a leaf or a replica.

In a small fleet each VM links to every other, watches the store and polls
every replica, so the work grows with the square of the fleet. In a larger
one only a few VMs, the hubs, do this; each other VM, a leaf, has one link
to a hub.
"""

import math
import typing

import xxhash

# Up to this many VMs all are hubs and form a full mesh: each hears the others
# without a hop between, and there are few enough links.
MAX_MESH_VMS = 12
# Lower bound in a larger fleet, so that enough hubs survive the loss of a
# failure domain.
MIN_HUBS = 6
# How many hubs have each replica's cache followed; one of them may fail.
HUBS_PER_REPLICA = 2


class Vm(typing.NamedTuple):
    """A VM as a candidate for a hub."""

    name: str
    failure_domain: str
    # HOST:PORT of its links to peers.
    peer_address: str
    # CPU cores that it may use, weighted by their speed.
    cores: float


def rendezvous_score(name: str, other: str) -> int:
    """Return the rendezvous hash of two names; the highest is preferred."""
    return xxhash.xxh64_intdigest(f'{name}\n{other}'.encode())


def hub_count(vms: int) -> int:
    """Return how many hubs a fleet has.

    Above MAX_MESH_VMS the hubs, and the leaves of each hub, grow with the
    square root of the fleet.

    >>> [hub_count(vms) for vms in (1, 9, 12, 13, 75, 300, 3000)]
    [1, 9, 12, 6, 6, 12, 38]
    """
    if vms <= MAX_MESH_VMS:
        return vms
    return max(MIN_HUBS, math.isqrt(vms // 2))


def select(vms: typing.Iterable[Vm]) -> list[Vm]:
    """Return the hubs: VMs with the most cores, spread over the domains.

    The result depends only on the set of VMs, so all VMs that see the same
    set agree on it.
    """
    by_name = {vm.name: vm for vm in vms}
    by_domain: dict[str, list[Vm]] = {}
    for vm in by_name.values():
        by_domain.setdefault(vm.failure_domain, []).append(vm)
    rows = []
    for domain, members in by_domain.items():
        members.sort(
            key=lambda vm: (-vm.cores, rendezvous_score('hub', vm.name))
        )
        rows += [(position, domain, vm) for position, vm in enumerate(members)]
    rows.sort(key=lambda row: row[:2])
    return [vm for _, _, vm in rows[: hub_count(len(by_name))]]


def by_preference(
    vm: str, failure_domain: str, hubs: typing.Iterable[Vm]
) -> list[Vm]:
    """Return the hubs in the order in which a leaf tries them.

    Hubs in the leaf's failure domain come first, as traffic between domains
    is charged. Otherwise the order differs between leaves, which spreads
    them over the hubs.
    """
    return sorted(
        (hub for hub in hubs if hub.name != vm),
        key=lambda hub: (
            hub.failure_domain != failure_domain,
            -rendezvous_score(vm, hub.name),
        ),
    )


def top_ranked(
    names: typing.Iterable[str], replica: str, limit: int = HUBS_PER_REPLICA
) -> list[str]:
    """Return the names with the highest rendezvous scores for a replica.

    >>> len(top_ranked(['a', 'b', 'c'], 'i-1'))
    2
    """
    return sorted(names, key=lambda name: -rendezvous_score(replica, name))[
        :limit
    ]
