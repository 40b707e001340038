"""Know this VM's place in the fleet: hub or leaf, and what it follows.

A leaf learns from its hub how many VMs there are, who the hubs are and which
replicas' caches it is to follow. While no hub tells it anything it reads the
store by itself, as a hub does.
"""

import math
import typing

from gentianstair.gateway import hubs
from gentianstair.gateway import members as memberships
from gentianstair.gateway import replicas
from gentianstair.util import clock as clocks

# A leaf whose hub was silent for so long reads the store by itself. With the
# call to the store it must stay below the time in which a leaving replica
# may get new work.
UNTOLD_S = 1.2
# A choice of hubs holds for so long.
CHOSEN_S = 0.3
# Assignments of replicas to VMs hold for so long.
ASSIGNED_S = 0.5
# Calls that a replica keeps waiting are shared with VMs that were replaced
# and whose calls have not ended yet.
SPARE_CALLS = 2


class Told(typing.NamedTuple):
    """What a leaf's hub said last."""

    at_s: float
    vms: int
    hubs: tuple[hubs.Vm, ...]
    follow: frozenset[str]


class Roster:
    """The VMs of the fleet as this one sees them."""

    def __init__(
        self,
        own: hubs.Vm,
        members: memberships.Members,
        registry: replicas.Registry,
        clock: clocks.Clock,
    ) -> None:
        self.own = own
        self._members = members
        self._registry = registry
        self._clock = clock
        self._told: Told | None = None
        # The hubs by what this VM sees itself, and until when that holds.
        self._chosen: list[hubs.Vm] = []
        self._chosen_until_s = -math.inf
        # The newest link of each leaf's process that this VM tells.
        self.leaves: dict[str, typing.Any] = {}
        self._assigned: dict[str, list[str]] = {}
        self._assigned_s: float | None = None

    @property
    def process(self) -> str:
        """Return this process's name."""
        return self._members.name

    def tell(self, told: Told) -> None:
        """Take what a hub says."""
        self._told = told

    def forget_told(self) -> None:
        """Forget what a hub said, as it says no more."""
        self._told = None

    def is_told(self) -> bool:
        """Return whether a hub keeps this VM up to date."""
        return self._fresh() is not None and not self.is_hub()

    def _fresh(self) -> Told | None:
        """Return what a hub said, unless that is long ago."""
        told = self._told
        if told is None or self._clock() - told.at_s > UNTOLD_S:
            return None
        return told

    def vms(self) -> list[hubs.Vm]:
        """Return the VMs that this one sees in the store, itself included."""
        found = {
            member.record.vm: hubs.Vm(
                member.record.vm,
                member.record.failure_domain,
                member.record.peer_address,
                member.record.cores,
            )
            for member in self._members.alive()
        }
        found[self.own.name] = self.own
        return list(found.values())

    def count(self) -> int:
        """Return how many VMs there are, if that is known."""
        told = self._fresh()
        return told.vms if told else self._members.count()

    def hubs(self) -> list[hubs.Vm]:
        """Return the hubs of the fleet."""
        told = self._fresh()
        if told is not None:
            return list(told.hubs)
        now_s = self._clock()
        if now_s >= self._chosen_until_s:
            self._chosen = hubs.choose(self.vms())
            self._chosen_until_s = now_s + CHOSEN_S
        return self._chosen

    def is_hub(self) -> bool:
        """Return whether this VM is one of the hubs."""
        return any(hub.name == self.own.name for hub in self.hubs())

    def is_mesh(self) -> bool:
        """Return whether all VMs are hubs, so that there are no leaves."""
        if self._fresh() is not None:
            return False
        return len(self.hubs()) == len(self.vms())

    def reads_cache_list(self, replica: str) -> bool:
        """Return whether this VM reads for all others what a replica keeps.

        A leaf that follows a replica was chosen to by its hub.
        """
        if not self.is_mesh():
            return True
        names = [hub.name for hub in self.hubs()]
        return self.own.name in hubs.keep(names, replica)

    def shares_cache_news(self) -> bool:
        """Return whether VMs tell each other what replicas keep.

        A small fleet need not, as each of its VMs asks each replica.
        """
        calls = self._registry.max_cache_calls
        return not self.is_mesh() or len(self.hubs()) > calls - SPARE_CALLS

    def follows(self) -> set[str]:
        """Return the names of the replicas whose caches to follow here."""
        told = self._fresh()
        if told is not None and not self.is_hub():
            return set(told.follow)
        return set(self.follows_of(self._members.name))

    def follows_of(self, process: str) -> list[str]:
        """Return the replicas that a leaf, or this process, is to follow."""
        now_s = self._clock()
        at_s = self._assigned_s
        if at_s is None or now_s - at_s > ASSIGNED_S:
            self._assigned = self._assign()
            self._assigned_s = now_s
        return self._assigned.get(process, [])

    def _assign(self) -> dict[str, list[str]]:
        """Share the replicas that this hub answers for with its leaves."""
        names = [r.name for r in self._registry.all() if r.stage]
        if not self.shares_cache_news():
            return {self._members.name: names}
        hub_names = [hub.name for hub in self.hubs()]
        takers = sorted(self.leaves) or [self._members.name]
        found: dict[str, list[str]] = {}
        for name in names:
            if self.own.name in hubs.keep(hub_names, name):
                (taker,) = hubs.keep(takers, name, 1)
                found.setdefault(taker, []).append(name)
        return found
