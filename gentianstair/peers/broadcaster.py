"""Forward changes of members, the list of VMs and objects to peers."""

import collections.abc
import typing

import loguru

from gentianstair.config import view as view_module
from gentianstair.generated import messages
from gentianstair.peers import link
from gentianstair.peers import membership
from gentianstair.peers import outgoing_messages
from gentianstair.peers import session as session_module
from gentianstair.peers import summaries as summaries_module
from gentianstair.store import store as store_module
from gentianstair.util import clock as clock_module

MAX_MEMBERS_PER_MESSAGE = 500

Sessions = collections.abc.Callable[
    [], collections.abc.Sequence[session_module.Session]
]


class Broadcaster:
    """Forwards changes on all links but the one they came from."""

    def __init__(
        self,
        members: membership.Members,
        view: view_module.View,
        summaries: summaries_module.Summaries,
        sessions: Sessions,
        clock: clock_module.Clock,
        on_members_changed: collections.abc.Callable[[], None],
    ) -> None:
        self._members = members
        self._view = view
        self._summaries = summaries
        self._sessions = sessions
        self._clock = clock
        self._on_members_changed = on_members_changed

    def sync_peer(
        self, session: session_module.Session, hello: messages.PeerHello
    ) -> None:
        """Send a new peer all that its hello shows to be missing."""
        self.broadcast_members(
            self._members.apply([session.peer], self._clock()), session
        )
        session.queue_objects(
            self._view.differing_objects(hello['buckets']), final=True
        )
        if hello['members_digest'] != self._members.digest():
            self._send_members(session)
        for summary in self._summaries.latest():
            session.queue(summary)
        session.request_heartbeat()

    def _send_members(self, session: session_module.Session) -> None:
        members = list(self._members.by_name.values())
        for start in range(0, len(members), MAX_MEMBERS_PER_MESSAGE):
            batch = members[start : start + MAX_MEMBERS_PER_MESSAGE]
            session.queue(outgoing_messages.make_members(batch))
        session.queue(outgoing_messages.make_listed(self._members.listed))

    def broadcast(
        self,
        message: link.Message,
        exclude: session_module.Session | None = None,
    ) -> None:
        """Send a message on all links but one."""
        for session in self._sessions():
            if session is not exclude:
                session.queue(message)

    def broadcast_members(
        self,
        changes: list[membership.Member],
        exclude: session_module.Session | None = None,
    ) -> None:
        """Forward changed members."""
        if not changes:
            return
        self._on_members_changed()
        for member in changes:
            if member.status == membership.LIVE:
                continue
            log = loguru.logger.bind(vm=member.name, status=member.status)
            log.info('VM status changed')
            if member.status == membership.GONE:
                self._summaries.forget_origins({member.name})
        self.broadcast(outgoing_messages.make_members(changes), exclude)

    def merge_listed(
        self,
        entries: dict[str, membership.ListedState],
        exclude: session_module.Session | None,
    ) -> None:
        """Apply entries of the platform's list and forward what changed."""
        now_s = self._clock()
        applied, changed = self._members.apply_vm_list(entries, now_s)
        if applied:
            self.broadcast(outgoing_messages.make_listed(applied), exclude)
        self.broadcast_members(changed)

    def broadcast_objects(
        self,
        applied: typing.Sequence[store_module.StoredObject],
        exclude: session_module.Session | None,
    ) -> None:
        """Forward changed objects."""
        if not applied:
            return
        for session in self._sessions():
            if session is not exclude:
                session.queue_objects(list(applied))

    def repair_members(
        self, session: session_module.Session, heartbeat: messages.PeerBeat
    ) -> None:
        """Send all members to a peer whose digest differs twice in a row."""
        peer_digest = heartbeat.get('members_digest')
        if peer_digest is None:
            return
        if peer_digest == self._members.digest():
            session.members_mismatches = 0
            return
        session.members_mismatches += 1
        if session.members_mismatches >= 2:
            session.members_mismatches = 0
            self._send_members(session)
