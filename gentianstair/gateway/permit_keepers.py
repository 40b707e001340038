"""Find the VM that keeps the permits of a limited replica, and ask it.

Each hub may keep permits. The keeper of a replica is the highest ranked of
the hubs that are heard; a hub that is asked and hears a higher ranked one
passes the question on. A leaf asks its hub.
"""

import collections.abc
import typing

from gentianstair.core import permit_keeper
from gentianstair.core import upstream_limits
from gentianstair.gateway import hubs
from gentianstair.generated import messages
from gentianstair.peers import link
from gentianstair.peers import permit_questions
from gentianstair.util import clock as clocks

# A hub that is silent for this long keeps no permits. Hubs report several
# times a second.
HUB_TIMEOUT_S = 1.2
# How long a VM that has started waits for the first report of a hub. Hubs list
# the VMs, and then link to a new one, within about two seconds.
FIRST_REPORT_S = 5.0
# Links that a question passes: from a leaf to its hub, to the keeper as that
# hub sees it, and to the keeper as this one sees it.
MAX_HOPS = 3


class Fleet(typing.NamedTuple):
    """What a keeper asks about its own VM and the fleet."""

    own_address: str
    is_hub: collections.abc.Callable[[], bool]
    # Whether this process is about to stop.
    is_stopping: collections.abc.Callable[[], bool]
    # The part of the VMs that this hub hears of, and how many there are.
    reach: collections.abc.Callable[[], float]
    vm_count: collections.abc.Callable[[], int]


class PermitKeepers:
    """The keepers that this VM knows; it may be one itself."""

    def __init__(
        self,
        fleet: Fleet,
        known: upstream_limits.UpstreamLimits,
        clock: clocks.Clock,
    ) -> None:
        self._fleet = fleet
        self._known = known
        self._clock = clock
        self._started_s = clock()
        self._has_heard = False
        self._own = permit_keeper.PermitKeeper(clock)
        self._questions = permit_questions.Questions()
        # When each hub that keeps permits last reported, by address.
        self._heard_s: dict[str, float] = {}
        # Open links: a hub's to other hubs by address, a leaf's to its hub.
        self.hub_links: dict[str, link.Channel] = {}
        self.link_to_hub: link.Channel | None = None

    @property
    def keeps(self) -> bool:
        """Return whether this VM keeps permits beside other hubs."""
        return self._fleet.is_hub() and not self._fleet.is_stopping()

    def record_report(self, address: str, keeps: bool) -> None:
        """Record a hub's report, and whether it keeps permits."""
        self._has_heard = True
        if keeps:
            self._heard_s[address] = self._clock()
        else:
            self._heard_s.pop(address, None)

    def awaits_reports(self) -> bool:
        """Return whether this VM is new and no hub has told it anything.

        Silence does not mean yet that there is no other hub.
        """
        if self._has_heard or self._fleet.vm_count() <= 1:
            return False
        return self._clock() - self._started_s < FIRST_REPORT_S

    def keeper_of(self, name: str) -> str | None:
        """Return the address of a keeper as this hub sees it.

        A hub that hears of no other keeps them also while it stops.
        """
        oldest_s = self._clock() - HUB_TIMEOUT_S
        heard = [
            address
            for address, heard_s in self._heard_s.items()
            if heard_s >= oldest_s
        ]
        if self.keeps or (self._fleet.is_hub() and not heard):
            heard.append(self._fleet.own_address)
        ranked = hubs.top_ranked(heard, name, 1)
        return ranked[0] if ranked else None

    def is_own(self, name: str) -> bool:
        """Return whether this VM keeps what is known by a name."""
        return (
            self.link_to_hub is None
            and self.keeper_of(name) == self._fleet.own_address
        )

    def link_towards(self, name: str) -> link.Channel | None:
        """Return the link on which to ask the keeper of a name, or None."""
        if self.link_to_hub is not None:
            return self.link_to_hub
        return self.hub_links.get(self.keeper_of(name) or '')

    async def ask(
        self, ask: permit_keeper.Ask, hops: int = MAX_HOPS
    ) -> permit_keeper.Grant:
        """Ask the keeper of a replica, over at most so many links."""
        if self.is_own(ask.run.name):
            return self._grant(ask)
        channel = self.link_towards(ask.run.name)
        if channel is None or not hops:
            return permit_questions.UNANSWERED
        return await self._questions.ask(channel, ask, hops - 1)

    def _grant(self, ask: permit_keeper.Ask) -> permit_keeper.Grant:
        own_rate_per_s = self._known.rate_per_s(ask.run)
        if own_rate_per_s is not None:
            ask = ask._replace(rate_per_s=own_rate_per_s)
        return self._own.grant(
            ask, self._fleet.reach(), self._fleet.vm_count()
        )

    def handle_answer(self, message: messages.Permit) -> None:
        """Take a keeper's answer."""
        self._questions.handle_answer(message)

    async def answer(self, message: messages.PermitAsk) -> messages.Permit:
        """Return the answer to another VM's question; raise DecodeError."""
        return await permit_questions.answer(message, self.ask, MAX_HOPS)
