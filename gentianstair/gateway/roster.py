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
FEED_TIMEOUT_S = 1.2
# A choice of hubs holds for so long.
HUB_SELECTION_S = 0.3
# Assignments of replicas to VMs hold for so long.
ASSIGNMENT_S = 0.5
# Calls that a replica keeps waiting are shared with VMs that were replaced
# and whose calls have not ended yet.
RESERVED_CALLS = 2


class HubFeed(typing.NamedTuple):
    """What a leaf's hub said last."""

    received_s: float
    vm_count: int
    hubs: tuple[hubs.Vm, ...]
    followed_replicas: frozenset[str]


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
        self._hub_feed: HubFeed | None = None
        # The hubs by what this VM sees itself, and until when that holds.
        self._selected: list[hubs.Vm] = []
        self._selected_until_s = -math.inf
        # The newest link of each leaf's process that this VM tells.
        self.leaves: dict[str, typing.Any] = {}
        self._assigned: dict[str, list[str]] = {}
        self._assigned_s: float | None = None

    @property
    def process_name(self) -> str:
        """Return this process's name."""
        return self._members.name

    def set_hub_feed(self, feed: HubFeed) -> None:
        """Take what a hub says."""
        self._hub_feed = feed

    def clear_hub_feed(self) -> None:
        """Forget what a hub said, as it says no more."""
        self._hub_feed = None

    def has_hub_feed(self) -> bool:
        """Return whether a hub keeps this VM up to date."""
        return self._current_feed() is not None and not self.is_hub()

    def _current_feed(self) -> HubFeed | None:
        """Return what a hub said, unless that is long ago."""
        feed = self._hub_feed
        if feed is None or self._clock() - feed.received_s > FEED_TIMEOUT_S:
            return None
        return feed

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

    def vm_count(self) -> int:
        """Return how many VMs there are, if that is known."""
        feed = self._current_feed()
        return feed.vm_count if feed else self._members.count()

    def hubs(self) -> list[hubs.Vm]:
        """Return the hubs of the fleet."""
        feed = self._current_feed()
        if feed is not None:
            return list(feed.hubs)
        now_s = self._clock()
        if now_s >= self._selected_until_s:
            self._selected = hubs.select(self.vms())
            self._selected_until_s = now_s + HUB_SELECTION_S
        return self._selected

    def is_hub(self) -> bool:
        """Return whether this VM is one of the hubs."""
        return any(hub.name == self.own.name for hub in self.hubs())

    def is_mesh(self) -> bool:
        """Return whether all VMs are hubs, so that there are no leaves."""
        if self._current_feed() is not None:
            return False
        return len(self.hubs()) == len(self.vms())

    def reads_cache_list(self, replica: str) -> bool:
        """Return whether this VM reads for all others what a replica keeps.

        A leaf that follows a replica was chosen to by its hub.
        """
        if not self.is_mesh():
            return True
        names = [hub.name for hub in self.hubs()]
        return self.own.name in hubs.top_ranked(names, replica)

    def shares_cache_updates(self) -> bool:
        """Return whether VMs tell each other what replicas keep.

        A small fleet need not, as each of its VMs asks each replica.
        """
        calls = self._registry.cache_calls
        return not self.is_mesh() or len(self.hubs()) > calls - RESERVED_CALLS

    def followed_replicas(self) -> set[str]:
        """Return the names of the replicas whose caches to follow here."""
        feed = self._current_feed()
        if feed is not None and not self.is_hub():
            return set(feed.followed_replicas)
        return set(self.assigned_replicas(self._members.name))

    def assigned_replicas(self, process: str) -> list[str]:
        """Return the replicas that a leaf, or this process, is to follow."""
        now_s = self._clock()
        at_s = self._assigned_s
        if at_s is None or now_s - at_s > ASSIGNMENT_S:
            self._assigned = self._assign()
            self._assigned_s = now_s
        return self._assigned.get(process, [])

    def _assign(self) -> dict[str, list[str]]:
        """Share the replicas that this hub answers for with its leaves."""
        names = [r.name for r in self._registry.all() if r.stage]
        if not self.shares_cache_updates():
            return {self._members.name: names}
        hub_names = [hub.name for hub in self.hubs()]
        takers = sorted(self.leaves) or [self._members.name]
        found: dict[str, list[str]] = {}
        for name in names:
            if self.own.name in hubs.top_ranked(hub_names, name):
                (taker,) = hubs.top_ranked(takers, name, 1)
                found.setdefault(taker, []).append(name)
        return found
