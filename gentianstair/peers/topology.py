"""Choose the peers that a node links to: few, whatever the fleet's size.

The VMs of each failure domain form a tree: watchers of the store at level 0,
each further level linked to the one above.
"""

import typing

import xxhash

# Links of a watcher to watchers of other failure domains, at most.
MAX_CROSS_DOMAIN_LINKS = 4
# Links of a node to the level above, at most.
MAX_PARENTS = 2


class Position(typing.NamedTuple):
    """A node's position in its failure domain's tree.

    Nodes at level 0 watch the store. ``rank`` is the index within the level,
    ``dial`` the peers that the node opens links to, most preferred first.
    """

    level: int
    rank: int
    dial: tuple[str, ...]


def _hash(*parts: str) -> int:
    return xxhash.xxh64_intdigest('\0'.join(parts).encode())


def split_levels(
    names: typing.Iterable[str], watchers: int, fanout: int
) -> list[list[str]]:
    """Split a failure domain's VMs into the levels of a tree.

    VMs are ordered by hash, so that the loss of one moves at most one VM of
    each level and leaves the others in place.

    >>> [len(level) for level in split_levels(map(str, range(300)), 3, 6)]
    [3, 18, 108, 171]
    """
    remaining = sorted(names, key=lambda name: (_hash(name), name))
    levels = []
    size = watchers
    while remaining:
        levels.append(remaining[:size])
        remaining = remaining[size:]
        size *= fanout
    return levels


def _rendezvous_order(
    name: str, candidates: typing.Iterable[str]
) -> list[str]:
    """Return candidates by rendezvous hash with name, best first."""
    return sorted(candidates, key=lambda other: (_hash(name, other), other))


def _cross_domain_watchers(
    name: str,
    rank: int,
    domain: str,
    levels_by_domain: typing.Mapping[str, list[list[str]]],
) -> list[str]:
    """Return watchers of the same rank in other failure domains."""
    watchers = [
        levels[0][rank]
        for other, levels in sorted(levels_by_domain.items())
        if other != domain and rank < len(levels[0])
    ]
    return _rendezvous_order(name, watchers)[:MAX_CROSS_DOMAIN_LINKS]


def find_position(
    name: str,
    domains: typing.Mapping[str, str],
    watchers: int,
    fanout: int,
    unreachable: typing.Container[str] = (),
) -> Position:
    """Return the position of a VM; domains maps VMs to failure domains.

    Unreachable VMs are skipped, so that another parent replaces one that
    cannot be reached.
    """
    own_domain = domains[name]
    levels_by_domain: dict[str, list[list[str]]] = {}
    for domain in sorted(set(domains.values())):
        names = [
            vm for vm, vm_domain in domains.items() if vm_domain == domain
        ]
        levels_by_domain[domain] = split_levels(names, watchers, fanout)
    own_levels = levels_by_domain[own_domain]
    level = next(i for i, names in enumerate(own_levels) if name in names)
    rank = own_levels[level].index(name)
    if level == 0:
        other_watchers = [vm for vm in own_levels[0] if vm != name]
        candidates = other_watchers + _cross_domain_watchers(
            name, rank, own_domain, levels_by_domain
        )
        dial = [vm for vm in candidates if vm not in unreachable]
        return Position(level, rank, tuple(dial))
    parents = _rendezvous_order(name, own_levels[level - 1])
    dial = [vm for vm in parents if vm not in unreachable][:MAX_PARENTS]
    # One link to another failure domain keeps the node up to date when all
    # watchers of its own are lost.
    others = [
        vm for vm, vm_domain in domains.items() if vm_domain != own_domain
    ]
    if others:
        reachable = [vm for vm in others if vm not in unreachable]
        dial += _rendezvous_order(name, reachable)[:1]
    return Position(level, rank, tuple(dial))
