"""Say whether a node may trust that no key was revoked behind its back."""

import typing

from gentianstair.util import clock as clock_module


class Freshness:
    """The age of the node's news, and what still counts without a store.

    ``as_of_s`` is the latest time, on this node's clock, at which its view
    is known to have been the store's. ``reached_at_s`` is when a count of
    VMs within reach was true, ``reached`` that count.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        freshness_s: float,
        outage_limit_s: float,
    ) -> None:
        self._clock = clock
        self._freshness_s = freshness_s
        self._outage_limit_s = outage_limit_s
        self.as_of_s: float | None = None
        self.reached = 0
        self.reached_at_s: float | None = None
        # Set by peers that go on by majority, for a VM that came during the
        # outage and never had news of its own from the store.
        self.peer_as_of_s: float | None = None

    def record_store_view(self, as_of_s: float) -> bool:
        """Record that the view was current at as_of_s; say if that helps."""
        if self.as_of_s is not None and as_of_s <= self.as_of_s:
            return False
        self.as_of_s = as_of_s
        return True

    def record_reached(self, reached: int, at_s: float) -> bool:
        """Record how many VMs were reached at at_s; say if it is news."""
        if self.reached_at_s is not None and at_s <= self.reached_at_s:
            return False
        self.reached = reached
        self.reached_at_s = at_s
        return True

    def record_peer_view(self, as_of_s: float) -> None:
        """Record a peer's last news from the store, however old."""
        if self.peer_as_of_s is None or as_of_s > self.peer_as_of_s:
            self.peer_as_of_s = as_of_s

    def age_s(self) -> float | None:
        """Return the age of the news from the store, if there were any."""
        if self.as_of_s is None:
            return None
        return max(0.0, self._clock() - self.as_of_s)

    def reached_age_s(self) -> float | None:
        """Return the age of the count of VMs within reach."""
        if self.reached_at_s is None:
            return None
        return max(0.0, self._clock() - self.reached_at_s)

    def store_silence_s(self) -> float | None:
        """Return how long the store has been silent for this node's view."""
        times_s = [
            t for t in (self.as_of_s, self.peer_as_of_s) if t is not None
        ]
        if not times_s:
            return None
        return max(0.0, self._clock() - max(times_s))

    def has_recent_view(self) -> bool:
        """Say whether the news from the store are recent enough."""
        age_s = self.age_s()
        return age_s is not None and age_s <= self._freshness_s

    def has_majority(self, voters: int) -> bool:
        """Say whether most of the known VMs were reached just now.

        A key may have been revoked on the far side of a partition. A
        minority cannot tell and refuses; a majority goes on, since with
        the store down for all no key can have been revoked at all.
        """
        age_s = self.reached_age_s()
        silence_s = self.store_silence_s()
        if age_s is None or silence_s is None:
            return False
        return (
            age_s <= self._freshness_s
            and silence_s <= self._outage_limit_s
            and 2 * self.reached > voters
        )

    def is_fresh(self, voters: int) -> bool:
        """Say whether callers may be served; known VMs in number."""
        return self.has_recent_view() or self.has_majority(voters)


class SendTime(typing.NamedTuple):
    """When, on our clock, a peer told us something, at the earliest.

    A beat can lie in a socket through a partition, or in a buffer while
    this VM is paused, and then look new. The peer therefore echoes our own
    last stamp and how long it held it: the beat was sent after echo_s plus
    held_s on our clock, whatever time the way took.
    """

    sent_after_s: float


def earliest_send_time(
    echo_ms: int | None, held_ms: int | None
) -> SendTime | None:
    """Return the earliest time of sending, or None without an echo.

    >>> earliest_send_time(5000, 250)
    SendTime(sent_after_s=5.25)
    """
    if echo_ms is None or held_ms is None:
        return None
    return SendTime((echo_ms + held_ms) / 1000)
