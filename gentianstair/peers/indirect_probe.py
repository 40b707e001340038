"""Probe a silent VM through other peers before suspecting it.

When only the path between two VMs is cut, the silent VM would refute each
suspicion through others, and its status would flap for as long as the cut
lasts. So a few peers are asked first; the VM is suspected only when none of
them reaches it.
"""

import collections.abc
import random
import typing

import trio

from gentianstair import errors
from gentianstair.generated import messages
from gentianstair.peers import link
from gentianstair.peers import membership
from gentianstair.peers import session as session_module
from gentianstair.util import clock as clocks

# Peers that are asked in each round whether they reach a silent VM.
PROBE_HELPERS = 3
# Silence, in heartbeat intervals, up to which a peer counts as reachable.
RECENT_HEARTBEATS = 2.5


class Timing(typing.NamedTuple):
    """Heartbeat interval and the time a probe may take."""

    heartbeat_s: float
    suspect_s: float


class IndirectProber:
    """Ask peers about silent VMs, and answer their probes."""

    def __init__(
        self,
        members: membership.Members,
        network: link.Network,
        open_sessions: collections.abc.Callable[
            [], list[session_module.Session]
        ],
        on_unreachable: collections.abc.Callable[[str], None],
        timing: Timing,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._members = members
        self._network = network
        self._open_sessions = open_sessions
        self._on_unreachable = on_unreachable
        self._timing = timing
        self._clock = clock
        self._rng = rng
        self._probing: set[str] = set()

    def _is_linked(self, name: str) -> bool:
        return any(
            session.peer.name == name for session in self._open_sessions()
        )

    async def probe(self, name: str) -> None:
        """Ask peers about a VM; report it unless one of them reaches it."""
        member = self._members.by_name.get(name)
        if member is None or name in self._probing:
            return
        if member.status in (membership.GONE, membership.LEAVING):
            return
        self._probing.add(name)
        try:
            deadline_s = self._clock() + self._timing.suspect_s
            while self._clock() < deadline_s:
                for session in self._sample_sessions(PROBE_HELPERS):
                    session.queue({'type': 'probe', 'name': name})
                await trio.sleep(self._timing.heartbeat_s)
                if self._is_linked(name) or name not in self._probing:
                    return
            self._on_unreachable(name)
        finally:
            self._probing.discard(name)

    def _sample_sessions(self, count: int) -> list[session_module.Session]:
        sessions = self._open_sessions()
        return self._rng.sample(sessions, min(count, len(sessions)))

    def handle_answer(self, answer: messages.PeerProbe) -> None:
        """End the probe of a VM that a peer reaches."""
        if answer['heard']:
            self._probing.discard(answer['name'])

    async def answer_probe(
        self, requester: session_module.Session, name: str
    ) -> None:
        """Tell a peer whether this node reaches a VM; dial it if needed."""
        recent_s = RECENT_HEARTBEATS * self._timing.heartbeat_s
        recently_heard = any(
            session.peer.name == name
            and self._clock() - session.last_received_s <= recent_s
            for session in self._open_sessions()
        )
        member = self._members.by_name.get(name)
        if not recently_heard and member is not None and member.address:
            recently_heard = await self._can_reach(member)
        requester.queue(
            {'type': 'probe', 'name': name, 'heard': recently_heard}
        )

    async def _can_reach(self, member: membership.Member) -> bool:
        """Dial a VM and say whether it answers with a hello in its name."""
        with trio.move_on_after(self._timing.suspect_s / 2):
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
