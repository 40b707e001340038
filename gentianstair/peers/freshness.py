"""Decide whether a node's configuration is recent enough to serve."""

import typing

from gentianstair.util import clock as clock_module


class Freshness:
    """How recent the node's view is, and how many VMs it last reached.

    ``as_of_s`` is the latest time, on this node's clock, at which its view
    is known to have matched the store. ``reached`` is the number of VMs
    that the newest survey reached, taken at ``reached_at_s``.
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
        # Like as_of_s, but of a peer's view and however old: lets a VM that
        # started during an outage of the store serve with the majority.
        self.peer_as_of_s: float | None = None

    def record_store_view(self, as_of_s: float) -> bool:
        """Record that the view matched the store; say if as_of_s is newer."""
        if self.as_of_s is not None and as_of_s <= self.as_of_s:
            return False
        self.as_of_s = as_of_s
        return True

    def record_reached(self, reached: int, at_s: float) -> bool:
        """Record how many VMs a survey reached; say if at_s is newer."""
        if self.reached_at_s is not None and at_s <= self.reached_at_s:
            return False
        self.reached = reached
        self.reached_at_s = at_s
        return True

    def record_peer_view(self, as_of_s: float) -> None:
        """Record when a peer's view last matched the store."""
        if self.peer_as_of_s is None or as_of_s > self.peer_as_of_s:
            self.peer_as_of_s = as_of_s

    def age_s(self) -> float | None:
        """Return the time since the view last matched the store."""
        if self.as_of_s is None:
            return None
        return max(0.0, self._clock() - self.as_of_s)

    def reached_age_s(self) -> float | None:
        """Return the age of the newest survey's count."""
        if self.reached_at_s is None:
            return None
        return max(0.0, self._clock() - self.reached_at_s)

    def store_silence_s(self) -> float | None:
        """Return the time since this view or a peer's matched the store."""
        times_s = [
            t for t in (self.as_of_s, self.peer_as_of_s) if t is not None
        ]
        if not times_s:
            return None
        return max(0.0, self._clock() - max(times_s))

    def has_recent_view(self) -> bool:
        """Say whether the view matched the store within freshness_s."""
        age_s = self.age_s()
        return age_s is not None and age_s <= self._freshness_s

    def has_majority(self, voters: int) -> bool:
        """Say whether a recent survey reached a majority of the voters.

        A minority refuses, since a key may have been revoked on the other
        side of a partition. A majority goes on for up to outage_limit_s:
        while the store is down for all, no key can be revoked.
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
        """Say whether callers may be served, given the number of voters."""
        return self.has_recent_view() or self.has_majority(voters)


class SendTime(typing.NamedTuple):
    """Lower bound, on our clock, of the time at which a peer sent.

    A heartbeat can wait in a socket or buffer during a partition or a pause
    of this VM and then look new. So the peer echoes our last timestamp and
    how long it held it: it sent after the sum of the two, however long the
    delivery took.
    """

    sent_after_s: float


def earliest_send_time(
    echo_ms: int | None, held_ms: int | None
) -> SendTime | None:
    """Return when a heartbeat was sent at the earliest; None without echo.

    >>> earliest_send_time(5000, 250)
    SendTime(sent_after_s=5.25)
    """
    if echo_ms is None or held_ms is None:
        return None
    return SendTime((echo_ms + held_ms) / 1000)
