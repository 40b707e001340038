"""Decide through which VMs a large fleet tells and learns.

In a fleet of some dozen VMs each may talk to each other one, watch the store
and ask every replica. All of that grows with the square of the fleet, so in
a larger one a few VMs, the hubs, do it, and each other VM, a leaf, keeps one
link to a hub. The load that this answers is the fleet's own: messages, calls
to the store and questions to replicas a second.
"""

import math
import typing

import xxhash

# Up to so many VMs all are hubs: in a mesh each hears the others without a
# hop between, and there are few enough links.
MAX_MESH_VMS = 12
# With fewer hubs the loss of a failure domain would leave too few.
MIN_HUBS = 6
# Hubs that have a replica's cache followed, so that one may be lost.
HUBS_PER_REPLICA = 2


class Vm(typing.NamedTuple):
    """What the choice needs to know of a VM."""

    name: str
    failure_domain: str
    # HOST:PORT of its links to peers.
    peer_address: str
    # Its share of a core times the core's speed.
    cores: float


def rendezvous_score(name: str, other: str) -> int:
    """Return how strongly one name prefers another; higher is more."""
    return xxhash.xxh64_intdigest(f'{name}\n{other}'.encode())


def hub_count(vms: int) -> int:
    """Return how many hubs a fleet has.

    The leaves of a hub and the hubs grow alike, with the fleet's root.

    >>> [hub_count(vms) for vms in (1, 9, 12, 13, 75, 300, 3000)]
    [1, 9, 12, 6, 6, 12, 38]
    """
    if vms <= MAX_MESH_VMS:
        return vms
    return max(MIN_HUBS, math.isqrt(vms // 2))


def select(vms: typing.Iterable[Vm]) -> list[Vm]:
    """Return the hubs: VMs with the most cores, spread over the domains.

    All that know the same VMs choose the same hubs.
    """
    known = {vm.name: vm for vm in vms}
    by_domain: dict[str, list[Vm]] = {}
    for vm in known.values():
        by_domain.setdefault(vm.failure_domain, []).append(vm)
    rows = []
    for domain, found in by_domain.items():
        found.sort(
            key=lambda vm: (-vm.cores, rendezvous_score('hub', vm.name))
        )
        rows += [(place, domain, vm) for place, vm in enumerate(found)]
    rows.sort(key=lambda row: row[:2])
    return [vm for _, _, vm in rows[: hub_count(len(known))]]


def by_preference(
    vm: str, failure_domain: str, hubs: typing.Iterable[Vm]
) -> list[Vm]:
    """Return the hubs in the order in which a leaf tries them.

    Those of its own failure domain go first, as bytes between domains are
    dear; the rest of the order differs between leaves.
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
    """Return those of some names that a replica prefers most.

    >>> len(top_ranked(['a', 'b', 'c'], 'i-1'))
    2
    """
    return sorted(names, key=lambda name: -rendezvous_score(replica, name))[
        :limit
    ]
