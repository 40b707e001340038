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
CHUNK_OBJECTS = 200
# Messages other than objects that may wait for a slow peer.
MAX_WAITING = 5000


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
        self.heard_s = now_s
        self.synced = False
        self.scope = trio.CancelScope()
        # When the last beat was sent, and how recent the peer's news are
        # at the least, by what it told us and what we told it.
        self.beat_s = now_s
        self.news_s = 0.0
        # When the newest count of VMs that both ends know of was made.
        self.count_s = 0.0
        self.peer_digest = 0
        self.differed_s: float | None = None
        self.members_differed = 0
        self.answers: dict[str, trio.MemorySendChannel] = {}
        self._echo: tuple[int, float] | None = None
        self._objects: dict[tuple[str, str], store.StoredObject] = {}
        self._finals = 0
        self._others: collections.deque[link.Message] = collections.deque()
        self._beat_due = False
        self._wake = trio.Event()

    def add_objects(
        self, found: typing.Iterable[store.StoredObject], final: bool = False
    ) -> None:
        """Queue objects; a newer version replaces one that still waits."""
        for item in found:
            self._objects.pop((item.kind, item.name), None)
            self._objects[(item.kind, item.name)] = item
        self._finals += final
        self._wake.set()

    def add(self, message: link.Message) -> None:
        """Queue any other message."""
        if len(self._others) >= MAX_WAITING:
            # The peer shows life but does not read, and what waits for it
            # would grow for as long as it does. A new link starts clean.
            self.scope.cancel()
            return
        self._others.append(message)
        self._wake.set()

    def ask_beat(self) -> None:
        """Send a beat once all that waits is out."""
        self._beat_due = True
        self._wake.set()

    def has(self, item: store.StoredObject) -> None:
        """Note that the peer sent this object, so it need not be sent."""
        waiting = self._objects.get((item.kind, item.name))
        if waiting is not None and waiting.version <= item.version:
            del self._objects[(item.kind, item.name)]

    def heard_beat(
        self, beat: messages.PeerBeat, now_s: float
    ) -> freshness.Estimate | None:
        """Note the peer's stamp; return when the beat was sent."""
        self._echo = (beat['sent_ms'], now_s)
        return freshness.estimate(beat.get('echo_ms'), beat.get('held_ms'))

    def heard_news(
        self,
        beat: messages.PeerBeat,
        sent: freshness.Estimate | None,
    ) -> None:
        """Note how recent the peer's own news are."""
        if sent is not None and 'age_ms' in beat:
            news_s = sent.sent_after_s - beat['age_ms'] / 1000
            self.news_s = max(self.news_s, news_s)

    def _echoes(self, now_s: float) -> link.Message:
        if self._echo is None:
            return {}
        sent_ms, at_s = self._echo
        # Rounded down, so that the peer never takes us for fresher.
        return {'echo_ms': sent_ms, 'held_ms': int((now_s - at_s) * 1000)}

    async def write(
        self,
        make_beat: typing.Callable[[], link.Message],
        clock: typing.Callable[[], float],
    ) -> None:
        """Send what is queued until cancelled.

        Objects go first and a beat goes last, made when nothing else waits:
        a beat vouches for the peer having all that is in our view.
        """
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._objects or self._finals or self._others:
                await self._write_objects()
                while self._others:
                    message = self._others.popleft()
                    await self.channel.send(link.encode(message))
            if self._beat_due:
                self._beat_due = False
                self.beat_s = clock()
                beat = {**make_beat(), **self._echoes(self.beat_s)}
                if 'age_ms' in beat:
                    news_s = self.beat_s - beat['age_ms'] / 1000
                    self.news_s = max(self.news_s, news_s)
                if 'reached_age_ms' in beat:
                    count_s = self.beat_s - beat['reached_age_ms'] / 1000
                    self.count_s = max(self.count_s, count_s)
                await self.channel.send(link.encode(beat))

    async def _write_objects(self) -> None:
        while self._objects or self._finals:
            places = list(self._objects)[:CHUNK_OBJECTS]
            chunk = [self._objects.pop(place)._asdict() for place in places]
            final = not self._objects and self._finals > 0
            if final:
                self._finals = 0
            await self.channel.send(
                link.encode(
                    {'type': 'objects', 'objects': chunk, 'final': final}
                )
            )
