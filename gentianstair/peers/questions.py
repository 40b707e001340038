"""Find out whether a VM that is silent here is silent to all.

A cut between two VMs, one way or both, shows here as silence. Were that
enough to suspect, the VM would refute it by way of others, and its status
would flap for as long as the cut lasts. So a few others are asked first, and
one that reaches the VM ends the matter.
"""

import collections.abc
import random
import typing

import trio

from gentianstair import errors
from gentianstair.generated import messages
from gentianstair.peers import link
from gentianstair.peers import membership
from gentianstair.peers import session as sessions
from gentianstair.util import clock as clocks

# Other nodes that are asked whether they reach a silent VM.
PROBES = 3
# Heartbeats of silence up to which a peer counts as heard.
HEARD_BEATS = 2.5


class Terms(typing.NamedTuple):
    """How often peers speak, and after what silence one is suspected."""

    heartbeat_s: float
    suspect_s: float


class Questions:
    """Ask peers about silent VMs, and answer what peers ask."""

    def __init__(
        self,
        members: membership.Members,
        network: link.Network,
        open_sessions: collections.abc.Callable[[], list[sessions.Session]],
        suspect: collections.abc.Callable[[str], None],
        terms: Terms,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._members = members
        self._network = network
        self._open_sessions = open_sessions
        self._suspect = suspect
        self._terms = terms
        self._clock = clock
        self._rng = rng
        self._asked: set[str] = set()

    def _linked(self, name: str) -> bool:
        return any(one.peer.name == name for one in self._open_sessions())

    async def ask(self, name: str) -> None:
        """Ask about a VM; suspect it unless somebody reaches it."""
        member = self._members.by_name.get(name)
        if member is None or name in self._asked:
            return
        if member.status in (membership.GONE, membership.LEAVING):
            return
        self._asked.add(name)
        try:
            deadline_s = self._clock() + self._terms.suspect_s
            while self._clock() < deadline_s:
                for one in self._some(PROBES):
                    one.add({'type': 'probe', 'name': name})
                await trio.sleep(self._terms.heartbeat_s)
                if self._linked(name) or name not in self._asked:
                    return
            self._suspect(name)
        finally:
            self._asked.discard(name)

    def _some(self, number: int) -> list[sessions.Session]:
        found = self._open_sessions()
        return self._rng.sample(found, min(number, len(found)))

    def take_answer(self, message: messages.PeerProbe) -> None:
        """Take what a peer says of a VM that it was asked about."""
        if message['heard']:
            self._asked.discard(message['name'])

    async def answer(self, asker: sessions.Session, name: str) -> None:
        """Tell a peer whether this node reaches a VM, trying it if need be."""
        heard_s = HEARD_BEATS * self._terms.heartbeat_s
        heard = any(
            one.peer.name == name and self._clock() - one.heard_s <= heard_s
            for one in self._open_sessions()
        )
        member = self._members.by_name.get(name)
        if not heard and member is not None and member.address:
            heard = await self._reaches(member)
        asker.add({'type': 'probe', 'name': name, 'heard': heard})

    async def _reaches(self, member: membership.Member) -> bool:
        """Try whether a VM answers with a hello as the same incarnation."""
        with trio.move_on_after(self._terms.suspect_s / 2):
            try:
                async with self._network.open(member.address) as channel:
                    hello = link.decode(await channel.receive())
            except (link.LinkClosedError, errors.DecodeError):
                return False
            return (
                hello is not None
                and hello['type'] == 'hello'
                and hello['member']['name'] == member.name
            )
        return False
