"""Tell linked peers what is new of members, the list of VMs and objects."""

import collections.abc
import typing

import loguru

from gentianstair.config import view as view_module
from gentianstair.generated import messages
from gentianstair.peers import link
from gentianstair.peers import membership
from gentianstair.peers import outgoing
from gentianstair.peers import session as session_module
from gentianstair.peers import summaries as summaries_module
from gentianstair.store import store as store_module
from gentianstair.util import clock as clock_module

MAX_MEMBERS_MESSAGE = 500

Sessions = collections.abc.Callable[
    [], collections.abc.Sequence[session_module.Session]
]


class Teller:
    """Passes on what a node learns, never back to whom it came from."""

    def __init__(
        self,
        members: membership.Members,
        view: view_module.View,
        summaries: summaries_module.Summaries,
        sessions: Sessions,
        clock: clock_module.Clock,
        on_members: collections.abc.Callable[[], None],
    ) -> None:
        self._members = members
        self._view = view
        self._summaries = summaries
        self._sessions = sessions
        self._clock = clock
        self._on_members = on_members

    def greet(
        self, one: session_module.Session, hello: messages.PeerHello
    ) -> None:
        """Send a new link all that its hello shows to be missing."""
        self.spread_members(
            self._members.apply([one.peer], self._clock()), one
        )
        one.add_objects(self._view.differing(hello['buckets']), final=True)
        if hello['members_digest'] != self._members.digest():
            self._send_members(one)
        for summary in self._summaries.all():
            one.add(summary)
        one.ask_beat()

    def _send_members(self, one: session_module.Session) -> None:
        everyone = list(self._members.by_name.values())
        for start in range(0, len(everyone), MAX_MEMBERS_MESSAGE):
            part = everyone[start : start + MAX_MEMBERS_MESSAGE]
            one.add(outgoing.members(part))
        one.add(outgoing.listed(self._members.listed))

    def send_all(
        self,
        message: link.Message,
        but: session_module.Session | None = None,
    ) -> None:
        """Send a message on all links but one."""
        for one in self._sessions():
            if one is not but:
                one.add(message)

    def spread_members(
        self,
        changes: list[membership.Member],
        but: session_module.Session | None = None,
    ) -> None:
        """Pass on what changed of members."""
        if not changes:
            return
        self._on_members()
        for member in changes:
            if member.status == membership.LIVE:
                continue
            known = loguru.logger.bind(vm=member.name, status=member.status)
            known.info('a VM changed its status')
            if member.status == membership.GONE:
                self._summaries.forget({member.name})
        self.send_all(outgoing.members(changes), but)

    def spread_listed(
        self,
        found: dict[str, membership.ListedState],
        but: session_module.Session | None,
    ) -> None:
        """Take what the platform's list says, and pass on what is new."""
        now_s = self._clock()
        taken, changed = self._members.apply_listed(found, now_s)
        if taken:
            self.send_all(outgoing.listed(taken), but)
        self.spread_members(changed)

    def spread_objects(
        self,
        taken: typing.Sequence[store_module.StoredObject],
        but: session_module.Session | None,
    ) -> None:
        """Pass on changed objects."""
        if not taken:
            return
        for one in self._sessions():
            if one is not but:
                one.add_objects(list(taken))

    def compare_members(
        self, one: session_module.Session, beat: messages.PeerBeat
    ) -> None:
        """Send all members to a peer that stays different from this node."""
        theirs = beat.get('members_digest')
        if theirs is None:
            return
        if theirs == self._members.digest():
            one.members_differed = 0
            return
        one.members_differed += 1
        if one.members_differed >= 2:
            one.members_differed = 0
            self._send_members(one)
