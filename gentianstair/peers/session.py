"""Queue outgoing messages of one link and track the state of its peer."""

import collections
import typing

import trio

from gentianstair.config import view as views
from gentianstair.generated import messages
from gentianstair.peers import freshness
from gentianstair.peers import link
from gentianstair.peers import membership
from gentianstair.store import store

# Longer batches of objects are split into several messages.
MAX_OBJECTS_PER_MESSAGE = 200
# Queued messages, objects aside, at which a link to a slow peer is closed.
MAX_QUEUED_MESSAGES = 5000


class Session:
    """One link to one peer, from its hello on.

    ``synced`` is set once the peer has answered our hello with all objects
    that we lacked. As it sends later objects ahead of its heartbeats, its
    heartbeats then also tell how recent our own view is.
    """

    def __init__(
        self,
        channel: link.Channel,
        peer: membership.Member,
        dialed: bool,
        now_s: float,
    ) -> None:
        self.channel = channel
        self.peer = peer
        self.dialed = dialed
        self.last_received_s = now_s
        self.synced = False
        self.scope = trio.CancelScope()
        # When the last heartbeat was sent, and the latest time at which the
        # peer's view is known to have matched the store.
        self.heartbeat_sent_s = now_s
        self.peer_as_of_s = 0.0
        # Time of the newest survey count that both ends know.
        self.peer_reached_at_s = 0.0
        # Digest of the peer's view, and since when it differs from ours.
        self.peer_digest = 0
        self.differing_since_s: float | None = None
        # Consecutive heartbeats whose digest of the members differs from ours.
        self.members_mismatches = 0
        self.survey_answers: dict[str, trio.MemorySendChannel] = {}
        # The peer's last timestamp and when it arrived here.
        self._last_stamp: tuple[int, float] | None = None
        self._objects: dict[tuple[str, str], store.StoredObject] = {}
        # Answers whose last message must be marked as final.
        self._finals_due = 0
        self._messages: collections.deque[link.Message] = collections.deque()
        self._heartbeat_due = False
        self._wake = trio.Event()

    def queue_objects(
        self, objects: typing.Iterable[store.StoredObject], final: bool = False
    ) -> None:
        """Queue objects; a newer version replaces a queued one.

        ``final`` ends the answer to a hello or to a repair request.
        """
        for item in objects:
            self._objects.pop((item.kind, item.name), None)
            self._objects[(item.kind, item.name)] = item
        self._finals_due += final
        self._wake.set()

    def queue(self, message: link.Message) -> None:
        """Queue a message other than objects and heartbeats."""
        if len(self._messages) >= MAX_QUEUED_MESSAGES:
            # The peer sends but does not read, and the queue would grow
            # without bound.
            self.scope.cancel()
            return
        self._messages.append(message)
        self._wake.set()

    def request_heartbeat(self) -> None:
        """Send a heartbeat after all queued messages."""
        self._heartbeat_due = True
        self._wake.set()

    def drop_queued(self, item: store.StoredObject) -> None:
        """Drop an object from the queue that the peer itself has sent."""
        queued = self._objects.get((item.kind, item.name))
        if queued is not None and not views.is_newer(queued, item):
            del self._objects[(item.kind, item.name)]

    def record_heartbeat(
        self, heartbeat: messages.PeerBeat, now_s: float
    ) -> freshness.SendTime | None:
        """Keep the peer's timestamp to echo; return when it was sent."""
        self._last_stamp = (heartbeat['sent_ms'], now_s)
        return freshness.earliest_send_time(
            heartbeat.get('echo_ms'), heartbeat.get('held_ms')
        )

    def record_peer_freshness(
        self,
        heartbeat: messages.PeerBeat,
        send_time: freshness.SendTime | None,
    ) -> None:
        """Record when the peer's view last matched the store."""
        if send_time is not None and 'age_ms' in heartbeat:
            as_of_s = send_time.sent_after_s - heartbeat['age_ms'] / 1000
            self.peer_as_of_s = max(self.peer_as_of_s, as_of_s)

    def _echo_fields(self, now_s: float) -> link.Message:
        if self._last_stamp is None:
            return {}
        sent_ms, received_s = self._last_stamp
        # Rounded down, so that the peer never overrates our freshness.
        return {
            'echo_ms': sent_ms,
            'held_ms': int((now_s - received_s) * 1000),
        }

    async def write(
        self,
        make_heartbeat: typing.Callable[[], link.Message],
        clock: typing.Callable[[], float],
    ) -> None:
        """Send what is queued until cancelled.

        Objects go first. A heartbeat is built only when the queue is empty,
        since it tells the peer that it now has all objects of our view.
        """
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._objects or self._finals_due or self._messages:
                await self._write_objects()
                while self._messages:
                    message = self._messages.popleft()
                    await self.channel.send(link.encode(message))
            if self._heartbeat_due:
                self._heartbeat_due = False
                self.heartbeat_sent_s = clock()
                heartbeat = {
                    **make_heartbeat(),
                    **self._echo_fields(self.heartbeat_sent_s),
                }
                if 'age_ms' in heartbeat:
                    as_of_s = (
                        self.heartbeat_sent_s - heartbeat['age_ms'] / 1000
                    )
                    self.peer_as_of_s = max(self.peer_as_of_s, as_of_s)
                if 'reached_age_ms' in heartbeat:
                    reached_at_s = (
                        self.heartbeat_sent_s
                        - heartbeat['reached_age_ms'] / 1000
                    )
                    self.peer_reached_at_s = max(
                        self.peer_reached_at_s, reached_at_s
                    )
                await self.channel.send(link.encode(heartbeat))

    async def _write_objects(self) -> None:
        while self._objects or self._finals_due:
            keys = list(self._objects)[:MAX_OBJECTS_PER_MESSAGE]
            batch = [self._objects.pop(key)._asdict() for key in keys]
            final = not self._objects and self._finals_due > 0
            if final:
                self._finals_due = 0
            await self.channel.send(
                link.encode(
                    {'type': 'objects', 'objects': batch, 'final': final}
                )
            )
