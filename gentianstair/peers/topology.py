"""Choose which peers a node links to, bounded whatever the fleet's size."""

import typing

import xxhash

# Links of a watcher to watchers of other failure domains, at most.
ACROSS = 4
# Peers of the level above that a node subscribes to.
PARENTS = 2


class Place(typing.NamedTuple):
    """Where a node stands; level 0 watches the store.

    ``dial`` are the peers that the node opens links to, best first.
    """

    level: int
    rank: int
    dial: tuple[str, ...]


def _score(*parts: str) -> int:
    return xxhash.xxh64_intdigest('\0'.join(parts).encode())


def levels(
    names: typing.Iterable[str], watchers: int, fanout: int
) -> list[list[str]]:
    """Split a failure domain's VMs into levels that each feed the next.

    The order is by hash, so a VM that goes moves one VM of each level up
    and leaves all others where they were.

    >>> [len(level) for level in levels(map(str, range(300)), 3, 6)]
    [3, 18, 108, 171]
    """
    order = sorted(names, key=lambda name: (_score(name), name))
    found = []
    size = watchers
    while order:
        found.append(order[:size])
        order = order[size:]
        size *= fanout
    return found


def _nearest(name: str, candidates: typing.Iterable[str]) -> list[str]:
    """Return candidates by rendezvous hash with name, best first."""
    return sorted(candidates, key=lambda other: (_score(name, other), other))


def _across(
    name: str,
    rank: int,
    domain: str,
    tree: typing.Mapping[str, list[list[str]]],
) -> list[str]:
    """Return watchers of the same rank in other failure domains."""
    found = [
        split[0][rank]
        for other, split in sorted(tree.items())
        if other != domain and rank < len(split[0])
    ]
    return _nearest(name, found)[:ACROSS]


def place(
    name: str,
    domains: typing.Mapping[str, str],
    watchers: int,
    fanout: int,
    unreachable: typing.Container[str] = (),
) -> Place:
    """Return the place of a VM; domains gives each VM's failure domain.

    VMs that are unreachable from here are passed over, so that a cut to one
    parent leads to another.
    """
    own = domains[name]
    tree: dict[str, list[list[str]]] = {}
    for domain in sorted(set(domains.values())):
        names = [vm for vm, where in domains.items() if where == domain]
        tree[domain] = levels(names, watchers, fanout)
    split = tree[own]
    level = next(i for i, names in enumerate(split) if name in names)
    rank = split[level].index(name)
    if level == 0:
        mates = [vm for vm in split[0] if vm != name]
        wanted = mates + _across(name, rank, own, tree)
        dial = [vm for vm in wanted if vm not in unreachable]
        return Place(level, rank, tuple(dial))
    parents = _nearest(name, split[level - 1])
    dial = [vm for vm in parents if vm not in unreachable][:PARENTS]
    # One link leaves the failure domain at each node, by rendezvous among
    # all others: when every watcher of the domain is lost, news still come.
    others = [vm for vm, where in domains.items() if where != own]
    if others:
        reachable = [vm for vm in others if vm not in unreachable]
        dial += _nearest(name, reachable)[:1]
    return Place(level, rank, tuple(dial))
