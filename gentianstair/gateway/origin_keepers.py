"""Keep at several VMs which software version began each stream.

While more than one version serves, a VM tells the first event of each of its
streams to the hubs that rank highest for the stream. A VM at which a stream
is resumed asks these and a few more. A leaf tells and asks through its hub.
"""

import collections
import collections.abc
import functools
import typing

import loguru
import prometheus_client
import trio

from gentianstair.core import stream_origins
from gentianstair.core import upstream_limits
from gentianstair.gateway import hubs
from gentianstair.gateway import origin_messages
from gentianstair.gateway import version_history
from gentianstair.generated import events
from gentianstair.generated import messages
from gentianstair.peers import link
from gentianstair.peers import questions
from gentianstair.util import clock as clocks

# Hubs that are told of a stream: two may fail together with its VM.
KEEPERS = 3
# Hubs that are asked about one; more than KEEPERS, as hubs come and go and
# VMs see that at different times.
ASKED_HUBS = 6
# More questions at a time are not sent, so that callers that resume streams
# which never were do not fill the links.
MAX_QUESTIONS = 500
# How long an answer is waited for. A busy VM may take a while, and a stream
# that is known to nobody is lost.
ANSWER_TIMEOUT_S = 0.5
# How long a VM that has seen but one version for a stream's whole life waits
# for more answers than it needs.
SETTLED_WAIT_S = 0.05
# How long a VM that does not know a stream reads on before it says so.
UNREAD_PAUSE_S = 0.005
# Untold starts that are remembered as told to all hubs.
MAX_ANNOUNCED = 10000
# How soon what could not be told is told again.
RETRY_S = 0.25
# Streams in one message.
MAX_ROWS = 1000

TOLD = prometheus_client.Counter(
    'gentianstair_streams_told', 'Streams that were told to other VMs'
)

Told = origin_messages.Told
Knowledge = origin_messages.Knowledge
Question = origin_messages.Question


class Links(typing.Protocol):
    """The open links to other VMs."""

    # A hub's to other hubs, by address.
    hub_links: dict[str, link.Channel]
    # A leaf's to its hub.
    link_to_hub: link.Channel | None


class _Own(typing.NamedTuple):
    """A stream that this VM began, or resumed, and has told nobody of."""

    origin: stream_origins.Origin
    until_s: float


class OriginKeepers:
    """What this VM knows of streams, and the VMs that know of others."""

    def __init__(
        self,
        links: Links,
        history: version_history.VersionHistory,
        clock: clocks.Clock,
        domains: collections.abc.Callable[[], dict[str, str]] = dict,
    ) -> None:
        self._links = links
        # The failure domains of other hubs, by address.
        self._domains = domains
        self._history = history
        self._clock = clock
        self._origins = stream_origins.StreamOrigins(clock)
        self._questions: questions.Questions[Knowledge] = questions.Questions()
        self._open_questions = 0
        # Those that are to be told once a second version serves.
        self._untold: collections.OrderedDict[bytes, _Own] = (
            collections.OrderedDict()
        )
        # Untold starts of which all hubs were told.
        self._announced: collections.OrderedDict[
            upstream_limits.UpstreamRun, None
        ] = collections.OrderedDict()
        self._wake = trio.Event()
        history.on_new_version = self._wake_up
        # Called with the origin of a stream whose start no entry has told.
        self.on_untold_start: collections.abc.Callable[
            [stream_origins.Origin], None
        ] = self._record_untold

    def _wake_up(self) -> None:
        self._wake.set()

    def _record_untold(self, origin: stream_origins.Origin) -> None:
        self._history.record_untold(origin.service, origin.run)

    def record(
        self, key: bytes, origin: stream_origins.Origin, lifetime_s: float
    ) -> None:
        """Remember a stream that this VM forwards, and tell others of it.

        Call it before the event goes to the caller.
        """
        self._origins.put(key, origin, lifetime_s)
        self._untold.pop(key, None)
        self._untold[key] = _Own(origin, self._clock() + lifetime_s)
        self._forget_ended()
        if self._is_due(origin, lifetime_s):
            self._wake_up()

    def _forget_ended(self) -> None:
        now_s = self._clock()
        while len(self._untold) > stream_origins.MAX_ORIGINS or (
            next(iter(self._untold.values())).until_s < now_s
        ):
            self._untold.popitem(last=False)

    def _is_due(
        self, origin: stream_origins.Origin, lifetime_s: float
    ) -> bool:
        """Return whether others have to know of a stream now.

        They may take one that they don't know for one of the only version.
        """
        if origin.version in stream_origins.WITHOUT_VERSION:
            return True
        reach_s = lifetime_s + version_history.LATE_RESUME_S
        return not self._history.within(origin.service, reach_s).is_settled

    async def run(self) -> None:
        """Tell other VMs of streams, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            if not await self._tell_all():
                self._wake_up()
                await trio.sleep(RETRY_S)

    async def _tell_all(self) -> bool:
        """Tell of all streams that are due; return whether that worked."""
        due = self._take_due()
        told = await self._spread(due)
        if told:
            return True
        for one in due:
            own = _Own(one.origin, self._clock() + one.lifetime_s)
            self._untold.setdefault(one.key, own)
        return not due

    def _take_due(self) -> list[Told]:
        """Remove and return the streams that others have to know now."""
        now_s = self._clock()
        due = []
        for key, own in list(self._untold.items()):
            lifetime_s = own.until_s - now_s
            if lifetime_s <= 0:
                del self._untold[key]
            elif self._is_due(own.origin, lifetime_s):
                del self._untold[key]
                due.append(Told(key, own.origin, lifetime_s))
        return due

    async def _spread(self, found: list[Told]) -> bool:
        """Tell the hub, or the keepers of each; return false if nobody."""
        channel = self._links.link_to_hub
        if channel is not None:
            return await self._send(channel, found, spread=True)
        by_address: dict[str, list[Told]] = {}
        for told in found:
            for address in self._to_tell(told):
                by_address.setdefault(address, []).append(told)
        sent = False
        for address, rows in by_address.items():
            open_channel = self._links.hub_links.get(address)
            if open_channel is not None:
                sent |= await self._send(open_channel, rows, spread=False)
        return sent

    def _to_tell(self, told: Told) -> list[str]:
        """Return the addresses of the hubs that are told of a stream.

        All are told of one that may go on nowhere, and of an untold start.
        """
        origin = told.origin
        if origin.version == stream_origins.UNTOLD_VERSION:
            is_new = origin.run not in self._announced
            self._announced[origin.run] = None
            if len(self._announced) > MAX_ANNOUNCED:
                self._announced.popitem(last=False)
        else:
            is_new = _is_spoiled(origin)
        if is_new:
            return list(self._links.hub_links)
        return self._ranked(told.key, KEEPERS)

    def _ranked(self, key: bytes, limit: int) -> list[str]:
        """Return the addresses of the hubs that rank highest for a key.

        Those that lead their failure domains come first.
        """
        found = self._links.hub_links
        domains = self._domains()
        places: collections.Counter[str] = collections.Counter()
        ranked = []
        for address in hubs.top_ranked(found, key.hex(), len(found)):
            domain = domains.get(address, '')
            ranked.append((places[domain], address))
            places[domain] += 1
        ranked.sort(key=lambda pair: pair[0])
        return [address for _, address in ranked[:limit]]

    async def _send(
        self, channel: link.Channel, found: list[Told], spread: bool
    ) -> bool:
        """Send streams on a link; return whether that worked."""
        try:
            for first in range(0, len(found), MAX_ROWS):
                rows = found[first : first + MAX_ROWS]
                await link.send_in_time(
                    channel, origin_messages.encode_origins(rows, spread)
                )
                TOLD.inc(len(rows))
        except link.LinkClosedError as error:
            loguru.logger.bind(event=events.LINK_LOST).debug('{}', error)
            return False
        return True

    async def handle_origins(self, message: messages.StreamOrigins) -> None:
        """Take what another VM tells of streams; raise DecodeError."""
        found = origin_messages.decode_rows(message['rows'])
        for told in found:
            self._origins.put(told.key, told.origin, told.lifetime_s)
            if told.origin.version == stream_origins.UNTOLD_VERSION:
                self.on_untold_start(told.origin)
        if message['spread']:
            await self._spread(found)

    async def ask(
        self, question: Question, hops: int = origin_messages.MAX_HOPS
    ) -> Knowledge:
        """Return what this VM and those that it asks know of a stream."""
        own = self.own_knowledge(question)
        if not hops or _is_spoiled(own.origin):
            return own
        asked, expected = self._asked(question.key)
        enough = _enough_of(expected)
        answers = await self._ask_each(
            asked,
            question,
            hops - 1 if self._links.link_to_hub else 0,
            enough if own.origin or own.versions.is_settled else None,
        )
        found = combine([own, *answers])
        if len(answers) < enough:
            # Who is silent may know another version.
            return found._replace(versions=found.versions.with_untold())
        return found

    async def confirm(self, question: Question) -> bool:
        """Tell others of a stream; return whether one of them has it then.

        It is true where there are no others.
        """
        asked, expected = self._asked(question.key)
        await self._tell_all()
        answers = await self._ask_each(
            asked, question, 1 if self._links.link_to_hub else 0, None
        )
        return not expected or any(one.origin for one in answers)

    def _asked(self, key: bytes) -> tuple[list[link.Channel], int]:
        """Return the links on which to ask, and how many there should be."""
        channel = self._links.link_to_hub
        if channel is not None:
            return [channel], 1
        links = self._links.hub_links
        asked = [links[address] for address in self._ranked(key, ASKED_HUBS)]
        most = max(len(links), len(self._domains()))
        return asked, min(ASKED_HUBS, most)

    def own_knowledge(self, question: Question) -> Knowledge:
        """Return what this VM itself knows."""
        return Knowledge(
            self._origins.get(question.key),
            self._history.within(question.service, question.lifetime_s),
        )

    async def _ask_each(
        self,
        asked: list[link.Channel],
        question: Question,
        hops: int,
        enough: int | None,
    ) -> list[Knowledge]:
        """Ask on several links at once, and return the answers.

        The first that knows the stream ends it. After a short while so many
        as are enough do, if that is given.
        """
        found: list[Knowledge] = []
        if self._open_questions + len(asked) > MAX_QUESTIONS:
            return found
        due_s = trio.current_time() + SETTLED_WAIT_S

        def is_enough() -> bool:
            if found and found[-1].origin is not None:
                return True
            is_late = trio.current_time() >= due_s
            return is_late and enough is not None and len(found) >= enough

        async def ask_one(channel: link.Channel) -> None:
            answer = await self._questions.ask(
                channel,
                lambda number: origin_messages.encode_question(
                    number, question, hops
                ),
                ANSWER_TIMEOUT_S,
            )
            if answer is not None:
                found.append(answer)
                if is_enough():
                    scope.cancel()

        async def end_when_due() -> None:
            await trio.sleep_until(due_s)
            if is_enough():
                scope.cancel()

        self._open_questions += len(asked)
        try:
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(end_when_due)
                    async with trio.open_nursery() as asking_nursery:
                        for channel in asked:
                            asking_nursery.start_soon(ask_one, channel)
                    nursery.cancel_scope.cancel()
        finally:
            self._open_questions -= len(asked)
        return found

    async def answer(
        self, message: messages.StreamAsk
    ) -> messages.StreamAnswer:
        """Return the answer to another VM's question."""
        question = origin_messages.decode_question(message)
        hops = min(origin_messages.MAX_HOPS - 1, max(0, message['hops']))
        if self._origins.get(question.key) is None:
            # What was told before the question may not have been read yet.
            await trio.sleep(UNREAD_PAUSE_S)
        knowledge = await self.ask(question, hops)
        return origin_messages.encode_answer(
            message['id'],
            question.key,
            knowledge,
            self._origins.remaining_s(question.key),
        )

    def handle_answer(self, message: messages.StreamAnswer) -> None:
        """Take another VM's answer; raise DecodeError."""
        self._questions.handle(
            message['id'], origin_messages.decode_answer(message)
        )


def _is_spoiled(origin: stream_origins.Origin | None) -> bool:
    """Return whether a stream is known to go on nowhere."""
    return (
        origin is not None and origin.version == stream_origins.UNKNOWN_VERSION
    )


def _enough_of(asked: int) -> int:
    """Return how many answers show that nobody knows a stream.

    Fewer may be those of VMs that were not told of it.
    """
    return asked - min(KEEPERS - 1, asked // 2)


def combine(found: list[Knowledge]) -> Knowledge:
    """Return what several VMs know together.

    Two that name different versions of a stream leave it unknown. The
    versions that served are complete if one of them has seen all.
    """
    origins = [one.origin for one in found if one.origin is not None]
    origin = None
    if origins:
        origin = functools.reduce(stream_origins.joined, origins)
    versions = version_history.Versions(
        frozenset().union(*(one.versions.found for one in found)),
        any(one.versions.is_complete for one in found),
    )
    return Knowledge(origin, versions)
