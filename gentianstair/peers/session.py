"""Hold one established link: what waits to be sent, and what was heard."""

import collections
import typing

import trio

from gentianstair.generated import messages
from gentianstair.peers import freshness
from gentianstair.peers import link
from gentianstair.peers import membership
from gentianstair.store import store

# Objects in one message; a slow peer gets newer beats between two.
MAX_OBJECTS_PER_MESSAGE = 200
# Messages other than objects that may wait for a slow peer.
MAX_QUEUED_MESSAGES = 5000


class Session:
    """One link to one peer, from its hello on.

    ``synced`` says that all the peer holds was sent to us on this link: its
    answer to our hello has ended, and what it learns it sends in order
    before its next beat. Only then do its beats say anything of our view.
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
        # When the last beat was sent, and how recent the peer's news are
        # at the least, by what it told us and what we told it.
        self.heartbeat_sent_s = now_s
        self.peer_as_of_s = 0.0
        # When the newest count of VMs that both ends know of was made.
        self.peer_reached_at_s = 0.0
        self.peer_digest = 0
        self.differing_since_s: float | None = None
        self.members_mismatches = 0
        self.survey_answers: dict[str, trio.MemorySendChannel] = {}
        self._last_stamp: tuple[int, float] | None = None
        self._objects: dict[tuple[str, str], store.StoredObject] = {}
        self._finals_due = 0
        self._messages: collections.deque[link.Message] = collections.deque()
        self._heartbeat_due = False
        self._wake = trio.Event()

    def queue_objects(
        self, objects: typing.Iterable[store.StoredObject], final: bool = False
    ) -> None:
        """Queue objects; a newer version replaces one that still waits."""
        for item in objects:
            self._objects.pop((item.kind, item.name), None)
            self._objects[(item.kind, item.name)] = item
        self._finals_due += final
        self._wake.set()

    def queue(self, message: link.Message) -> None:
        """Queue any other message."""
        if len(self._messages) >= MAX_QUEUED_MESSAGES:
            # The peer shows life but does not read, and what waits for it
            # would grow for as long as it does. A new link starts clean.
            self.scope.cancel()
            return
        self._messages.append(message)
        self._wake.set()

    def request_heartbeat(self) -> None:
        """Send a beat once all that waits is out."""
        self._heartbeat_due = True
        self._wake.set()

    def drop_queued(self, item: store.StoredObject) -> None:
        """Note that the peer sent this object, so it need not be sent."""
        waiting = self._objects.get((item.kind, item.name))
        if waiting is not None and waiting.version <= item.version:
            del self._objects[(item.kind, item.name)]

    def record_heartbeat(
        self, heartbeat: messages.PeerBeat, now_s: float
    ) -> freshness.SendTime | None:
        """Note the peer's stamp; return when the beat was sent."""
        self._last_stamp = (heartbeat['sent_ms'], now_s)
        return freshness.earliest_send_time(
            heartbeat.get('echo_ms'), heartbeat.get('held_ms')
        )

    def record_peer_freshness(
        self,
        heartbeat: messages.PeerBeat,
        send_time: freshness.SendTime | None,
    ) -> None:
        """Note how recent the peer's own news are."""
        if send_time is not None and 'age_ms' in heartbeat:
            as_of_s = send_time.sent_after_s - heartbeat['age_ms'] / 1000
            self.peer_as_of_s = max(self.peer_as_of_s, as_of_s)

    def _echo_fields(self, now_s: float) -> link.Message:
        if self._last_stamp is None:
            return {}
        sent_ms, received_s = self._last_stamp
        # Rounded down, so that the peer never takes us for fresher.
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

        Objects go first and a beat goes last, made when nothing else waits:
        a beat vouches for the peer having all that is in our view.
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
