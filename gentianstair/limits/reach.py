"""Work out what part of the fleet's VMs this one knows the requests of."""

import typing

from gentianstair.util import clock as clocks

# A hub that is silent for this long may be cut off. Hubs report several
# times a second.
HUB_TIMEOUT_S = 1.2
# The highest number of VMs seen counts for this long: VMs that are cut off
# are missing from the fleet's list for a while, and serve on. It is longer
# than a window and the detection of a VM that is gone.
VM_COUNT_HOLD_S = 16.0


class Reach:
    """The number of VMs, and how many of them report to this hub."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._vm_count = 0
        self._held_until_s = 0.0
        # By hub: when it last reported, and of how many VMs.
        self._hubs: dict[str, tuple[float, int]] = {}

    def record_vm_count(self, vm_count: int) -> None:
        """Set the number of VMs that are known now."""
        now_s = self._clock()
        if vm_count >= self._vm_count or now_s >= self._held_until_s:
            self._vm_count = vm_count
            self._held_until_s = now_s + VM_COUNT_HOLD_S

    @property
    def vm_count(self) -> int:
        """Return the highest number of VMs known lately, 0 if none is."""
        return self._vm_count

    def record_hub(self, process: str, vm_count: int) -> None:
        """Record a report of another hub, for itself and its leaves."""
        self._hubs[process] = (self._clock(), max(1, vm_count))

    def of_hub(self, own_leaves: int) -> float:
        """Return this hub's reach; 0 if the number of VMs is unknown."""
        if not self._vm_count:
            return 0.0
        oldest_s = self._clock() - HUB_TIMEOUT_S
        for process, (heard_s, _) in list(self._hubs.items()):
            if heard_s < oldest_s:
                del self._hubs[process]
        reporting = sum(count for _, count in self._hubs.values())
        return min(1.0, (1 + own_leaves + reporting) / self._vm_count)


class Fleet(typing.NamedTuple):
    """What the limits ask about the fleet."""

    is_hub: typing.Callable[[], bool]
    # The number of VMs; 0 if nothing tells it.
    vm_count: typing.Callable[[], int]
    leaf_count: typing.Callable[[], int]
