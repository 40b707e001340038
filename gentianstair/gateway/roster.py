"""Track the fleet's VMs, this VM's role (hub or leaf) and its replicas.

A leaf learns from its hub's feed how many VMs there are, which are hubs and
whose replicas' caches it follows. Without a current feed it reads the store
itself, as a hub does.
"""

import math
import typing

from gentianstair.gateway import hubs
from gentianstair.gateway import leaf_records
from gentianstair.gateway import members as memberships
from gentianstair.gateway import replicas
from gentianstair.util import clock as clocks

# A leaf without a feed for this long reads the store itself. Together with
# the call to the store it must take less than the two seconds within which a
# draining replica may still get new work.
MAX_FEED_AGE_S = 1.2
# How long a leaf that has neither a feed nor a listing of the store goes by
# the hubs and the number of VMs in its last feed. It tries each of those hubs
# meanwhile; after this time all of them may be gone.
MAX_REMEMBERED_FEED_S = 10.0
# How long a selection of hubs is reused.
HUB_SELECTION_S = 0.3
# How many hubs compete for the duties; each check of a lease is a call to the
# store. The first hubs of a selection are in different failure domains.
MAX_DUTY_CANDIDATES = 4
# How long an assignment of replicas to VMs is reused.
ASSIGNMENT_S = 0.5
# Pending calls at a replica that are left to VMs which were replaced and
# whose calls have not ended yet.
RESERVED_CALLS = 2


class HubFeed(typing.NamedTuple):
    """The fleet as the last feed of a leaf's hub described it."""

    received_s: float
    vm_count: int
    hubs: tuple[hubs.Vm, ...]
    followed_replicas: frozenset[str]


class Roster:
    """The VMs of the fleet as this one knows them."""

    def __init__(
        self,
        own_vm: hubs.Vm,
        members: memberships.Members,
        registry: replicas.Registry,
        clock: clocks.Clock,
    ) -> None:
        self.own_vm = own_vm
        self._members = members
        self._registry = registry
        self._clock = clock
        self._hub_feed: HubFeed | None = None
        # Whether the hub of the last feed has been left since.
        self._left_hub = False
        # The hubs selected from the VMs in the store, and until when this
        # selection is reused.
        self._selected: list[hubs.Vm] = []
        self._selected_until_s = -math.inf
        # The newest link of each leaf that this hub serves, by the name of
        # the leaf's process.
        self.leaves: dict[str, typing.Any] = {}
        # The replicas that each process follows, by its name.
        self._assigned: dict[str, list[str]] = {}
        self._assigned_at_s: float | None = None

    @property
    def process_name(self) -> str:
        """Return this process's name."""
        return self._members.name

    @property
    def leaf_records(self) -> leaf_records.LeafRecords:
        """Return what this hub stores for its leaves."""
        return self._members.leaves

    def set_hub_feed(self, feed: HubFeed) -> None:
        """Set the hub's newest feed."""
        self._hub_feed = feed
        self._left_hub = False

    def remember_hubs(self, vm_count: int, known: list[hubs.Vm]) -> None:
        """Go by these hubs until there is a feed or a newer listing."""
        self._hub_feed = HubFeed(
            self._clock(), vm_count, tuple(known), frozenset()
        )
        self._left_hub = True

    def clear_hub_feed(self) -> None:
        """Record that the hub of the last feed was left."""
        self._left_hub = True

    def has_hub_feed(self) -> bool:
        """Return whether this VM is a leaf with a current feed."""
        return self._current_feed() is not None and not self.is_hub()

    def knows_fleet(self) -> bool:
        """Return whether anything has told of the other VMs."""
        return self.remembers_hubs() or bool(self._members.alive_vms())

    def remembers_hubs(self) -> bool:
        """Return whether hubs are known from a feed or the published list."""
        return self._newest_feed() is not None

    def _current_feed(self) -> HubFeed | None:
        """Return the hub's last feed, or None if it is too old."""
        feed = self._hub_feed
        if feed is None or self._left_hub:
            return None
        return None if self._age_s(feed) > MAX_FEED_AGE_S else feed

    def _newest_feed(self) -> HubFeed | None:
        """Return the last feed if nothing newer tells of the fleet.

        A leaf does not list the VMs while it has a feed. If then its hub
        fails and the store refuses it, its own listing is as old as its
        process; going by it, the leaf would take itself for a hub.
        """
        current = self._current_feed()
        if current is not None:
            return current
        feed = self._hub_feed
        if feed is None or feed.received_s < self._members.listed_at_s:
            return None
        return None if self._age_s(feed) > MAX_REMEMBERED_FEED_S else feed

    def _age_s(self, feed: HubFeed) -> float:
        return self._clock() - feed.received_s

    def vms(self) -> list[hubs.Vm]:
        """Return the VMs that this one sees in the store, itself included."""
        by_name = {
            name: hubs.Vm(
                name, record.failure_domain, record.peer_address, record.cores
            )
            for name, record in self._members.alive_vms().items()
        }
        by_name[self.own_vm.name] = self.own_vm
        return list(by_name.values())

    def vm_count(self) -> int:
        """Return how many VMs there are, or an assumed number."""
        feed = self._newest_feed()
        return feed.vm_count if feed else self._members.count()

    def known_vm_count(self) -> int:
        """Return how many VMs there are, 0 if nothing has told it."""
        return self.vm_count() if self.knows_fleet() else 0

    def duty_candidates(self) -> list[hubs.Vm]:
        """Return the hubs that compete for the duties."""
        return self.hubs()[:MAX_DUTY_CANDIDATES]

    def hubs(self) -> list[hubs.Vm]:
        """Return the hubs of the fleet."""
        feed = self._newest_feed()
        if feed is not None:
            return list(feed.hubs)
        now_s = self._clock()
        if now_s >= self._selected_until_s:
            self._selected = hubs.select(self.vms())
            self._selected_until_s = now_s + HUB_SELECTION_S
        return self._selected

    def is_hub(self) -> bool:
        """Return whether this VM is one of the hubs."""
        return any(hub.name == self.own_vm.name for hub in self.hubs())

    def store_reader_count(self) -> int:
        """Return how many VMs read the store when this one does.

        A VM that is no hub reads it if no hub serves it, and then probably
        none serves the others either.
        """
        return len(self.hubs()) if self.is_hub() else self.vm_count()

    def is_duty_candidate(self) -> bool:
        """Return whether this VM competes for the duties."""
        return any(
            vm.name == self.own_vm.name for vm in self.duty_candidates()
        )

    def is_mesh(self) -> bool:
        """Return whether all VMs are hubs, so that there are no leaves."""
        if self._newest_feed() is not None:
            return False
        vm_count = len(self.vms())
        return hubs.hub_count(vm_count) == vm_count

    def lists_cache(self, replica: str) -> bool:
        """Return whether this VM lists a replica's cache for all others.

        In a mesh a few hubs do; in a larger fleet any VM that follows it.
        """
        if not self.is_mesh():
            return True
        hub_names = [hub.name for hub in self.hubs()]
        return self.own_vm.name in hubs.top_ranked(hub_names, replica)

    def shares_cache_updates(self) -> bool:
        """Return whether VMs forward changes of replicas' caches.

        In a small fleet each VM polls each replica itself.
        """
        calls = self._registry.max_cache_calls
        return not self.is_mesh() or len(self.hubs()) > calls - RESERVED_CALLS

    def followed_replicas(self) -> set[str]:
        """Return the replicas whose caches this process follows."""
        feed = self._current_feed()
        if feed is not None and not self.is_hub():
            return set(feed.followed_replicas)
        return set(self.assigned_replicas(self._members.name))

    def assigned_replicas(self, process_name: str) -> list[str]:
        """Return the replicas that a process, a leaf's or this, follows."""
        now_s = self._clock()
        assigned_at_s = self._assigned_at_s
        if assigned_at_s is None or now_s - assigned_at_s > ASSIGNMENT_S:
            self._assigned = self._assign()
            self._assigned_at_s = now_s
        return self._assigned.get(process_name, [])

    def _assign(self) -> dict[str, list[str]]:
        """Distribute this hub's replicas over its leaves."""
        replica_names = [r.name for r in self._registry.all() if r.stage]
        if not self.shares_cache_updates():
            return {self._members.name: replica_names}
        hub_names = [hub.name for hub in self.hubs()]
        process_names = sorted(self.leaves) or [self._members.name]
        assigned: dict[str, list[str]] = {}
        for name in replica_names:
            if self.own_vm.name in hubs.top_ranked(hub_names, name):
                (process_name,) = hubs.top_ranked(process_names, name, 1)
                assigned.setdefault(process_name, []).append(name)
        return assigned
