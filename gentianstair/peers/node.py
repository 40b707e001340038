"""Run one node's part in the fleet: links, membership, spread."""

import math
import random
import time
import typing

import loguru
import prometheus_client
import trio

from gentianstair import errors
from gentianstair.config import view as view_module
from gentianstair.generated import messages
from gentianstair.peers import avoidance
from gentianstair.peers import freshness as freshness_module
from gentianstair.peers import link
from gentianstair.peers import membership
from gentianstair.peers import outgoing
from gentianstair.peers import questions
from gentianstair.peers import session as session_module
from gentianstair.peers import spread
from gentianstair.peers import summaries as summaries_module
from gentianstair.peers import survey as survey_module
from gentianstair.peers import teller
from gentianstair.peers import topology
from gentianstair.store import store as store_module
from gentianstair.store import vm_list as vm_list_module
from gentianstair.util import clock as clock_module

MAX_LINKS = 64
HELLO_TIMEOUT_S = 3.0
# Share of watch_s by which news must be newer than what a peer has, to be
# passed on before the next heartbeat.
PASS_ON_SHARE = 0.5
CONFIRM_TRIES = 2
# Nodes that count when the first watchers' count does not come.
STAND_INS = 16
# Shortest time between two rounds of summaries, and the bytes a second that
# all VMs' summaries together may bring to one VM.
SUMMARY_PAUSE_S = 0.25
SUMMARY_BYTES_PER_S = 200e3
# Beats that carry the digest of the members: one in so many.
MEMBERS_BEATS = 8

LINKS = prometheus_client.Gauge(
    'gentianstair_peer_links', 'Links to peers that are up.'
)
FRESH_AGE = prometheus_client.Gauge(
    'gentianstair_config_age_seconds',
    'Age of the last news from the store, by whatever way they came.',
)
REPAIRS = prometheus_client.Counter(
    'gentianstair_config_repairs',
    'Times a peer was asked for objects that had been missed.',
)


class Node:
    """One VM among its peers; make it with make_node and run it once."""

    def __init__(
        self,
        settings: typing.Any,
        view: view_module.View,
        store: store_module.Store,
        clock: clock_module.Clock,
        network: link.Network,
        vm_list: vm_list_module.VmList | None,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._view = view
        self._clock = clock
        self._network = network
        self._vm_list = vm_list
        self._rng = rng
        self.name = settings.vm_name
        self._members = membership.Members(
            membership.Member(
                self.name,
                time.time_ns() // 1000,
                0,
                membership.LIVE,
                settings.failure_domain,
                settings.region,
                settings.peer_advertise or settings.peer_listen,
            )
        )
        self._freshness = freshness_module.Freshness(
            clock, settings.freshness_s, settings.outage_limit_s
        )
        self._watcher = spread.Watcher(
            view, store, clock, settings.watch_s, rng
        )
        self._summaries = summaries_module.Summaries(
            self.name, lambda: self._members.own.incarnation
        )
        self._surveys = survey_module.Surveys(
            self.name, lambda: view.revision, lambda: self._sessions
        )
        self._sessions: list[session_module.Session] = []
        self._dialing: set[str] = set()
        self._questions = questions.Questions(
            self._members,
            network,
            lambda: self._sessions,
            self._suspect,
            questions.Terms(settings.heartbeat_s, settings.suspect_s),
            clock,
            rng,
        )
        self._avoidance = avoidance.Avoidance(clock, settings.heartbeat_s)
        self._place: topology.Place | None = None
        self._place_key: typing.Any = None
        self._known = 1
        self._known_at = -1
        self._members_digest: int | None = None
        self._beats = 0
        self._surveying = False
        self._hurry = trio.Event()
        self._teller = teller.Teller(
            self._members,
            view,
            self._summaries,
            lambda: self._sessions,
            clock,
            lambda: self._hurry.set(),
        )
        self._nursery: trio.Nursery
        self.started = trio.Event()
        self.address = ''

    # What the rest of the process asks.

    def is_fresh(self) -> bool:
        """Say whether callers may be served from this node's view."""
        return self._freshness.is_fresh(self._known)

    def fresh_age_s(self) -> float | None:
        """Return the age of the news from the store; None without any."""
        return self._freshness.age_s()

    def members(self) -> list[membership.Member]:
        """Return all VMs known, by name."""
        return sorted(self._members.by_name.values())

    def links(self) -> int:
        """Return how many links to peers are up."""
        return len(self._sessions)

    def publish(self, topic: str, body: summaries_module.Body) -> None:
        """Spread this node's summary on a topic; a later one replaces it."""
        self._summaries.publish(topic, body)

    def subscribe(self, topic: str, handler: summaries_module.Handler) -> None:
        """Call handler(vm_name, body) when another VM's summary changes."""
        self._summaries.subscribe(topic, handler)

    async def confirmed(self, timeout_s: float = 2.0) -> dict[str, int]:
        """Return the configuration revision in force by VM name.

        A VM that is known and left out did not confirm in time.
        """
        found: dict[str, int] = {}
        known = self._members.known()
        # A link that closes during a survey takes the answers behind it
        # along, so VMs that are missing are asked for again.
        for _ in range(CONFIRM_TRIES):
            result = await self._surveys.start(
                timeout_s / CONFIRM_TRIES, revisions=True
            )
            found.update(result.revisions)
            if known <= found.keys():
                break
        return found

    def leave(self) -> None:
        """Tell the peers that this VM is leaving; links stay up."""
        self._teller.spread_members(self._members.leave(self._clock()))

    # Tasks.

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Take part until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.address = await nursery.start(
                self._network.serve, self._accept
            )
            if not self._settings.peer_advertise:
                self._members.set_address(self.address)
            task_status.started()
            self.started.set()
            nursery.start_soon(self._beat_loop)
            nursery.start_soon(self._watch_loop)
            nursery.start_soon(self._summary_loop)
            if self._vm_list is not None:
                nursery.start_soon(self._list_loop, self._vm_list)

    async def _accept(self, channel: link.Channel) -> None:
        if len(self._sessions) >= MAX_LINKS:
            link.DROPPED.labels('too many links').inc()
            return
        await self._run_session(channel, dialed=False)

    async def _dial(self, name: str, address: str) -> None:
        """Open a link and run it to its end."""
        self._dialing.add(name)
        reached = False
        try:
            async with self._network.open(address) as channel:
                reached = True
                await self._run_session(channel, dialed=True, wanted=name)
        except link.LinkClosedError:
            pass
        finally:
            self._dialing.discard(name)
            if not reached:
                self._avoidance.failed(name)
        if not reached and name in self._members.by_name:
            self._nursery.start_soon(self._questions.ask, name)

    async def _run_session(
        self, channel: link.Channel, dialed: bool, wanted: str = ''
    ) -> None:
        """Exchange hellos, then read and write until the link breaks."""
        try:
            await channel.send(
                link.encode(outgoing.hello(self._view, self._members))
            )
            with trio.fail_after(HELLO_TIMEOUT_S):
                data = await channel.receive()
            hello = link.decode(data)
            if hello is None or hello['type'] != 'hello':
                raise errors.DecodeError('a link must open with a hello')
        except (link.LinkClosedError, errors.DecodeError, trio.TooSlowError):
            return
        peer = membership.from_message(hello['member'])
        if peer.name == self.name:
            if wanted:
                self._avoidance.never(wanted)
            return
        now_s = self._clock()
        one = session_module.Session(channel, peer, dialed, now_s)
        self._sessions.append(one)
        self._close_double(peer.name)
        self._avoidance.reached(peer.name)
        self._teller.greet(one, typing.cast(messages.PeerHello, hello))
        try:
            with one.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write, one)
                    await self._read(one)
        except* (link.LinkClosedError, errors.DecodeError) as group:
            loguru.logger.bind(peer=peer.name).debug('link ended: {}', group)
        finally:
            self._sessions.remove(one)
            self._hurry.set()
            survey_module.lost_link(one)
            LINKS.set(len(self._sessions))
        if not self._linked(peer.name):
            self._nursery.start_soon(self._questions.ask, peer.name)

    def _close_double(self, name: str) -> None:
        """Keep one link when two nodes dialed each other at once.

        Both ends keep the one that the lesser name dialed.
        """
        doubles = [one for one in self._sessions if one.peer.name == name]
        if len(doubles) < 2:
            return
        keep_dialed = self.name < name
        kept = [one for one in doubles if one.dialed == keep_dialed]
        kept = kept[-1:] or doubles[-1:]
        for one in doubles:
            if one not in kept:
                one.scope.cancel()

    async def _write(self, one: session_module.Session) -> None:
        await one.write(self._make_beat, self._clock)

    async def _read(self, one: session_module.Session) -> None:
        while True:
            message = link.decode(await one.channel.receive())
            one.heard_s = self._clock()
            if message is not None:
                self._handle(one, message)

    def _handle(
        self, one: session_module.Session, message: link.Message
    ) -> None:
        """Act on a message; one that makes no sense ends its link alone."""
        try:
            self._handlers[message['type']](self, one, message)
        except (ArithmeticError, ValueError, TypeError, KeyError) as error:
            # The schema bounds types, not sense: a peer with a fault can
            # send a time of 2**70 ms, and must not take this VM with it.
            link.DROPPED.labels('senseless').inc()
            raise errors.DecodeError(f'{message["type"]}: {error}') from error

    async def _beat_loop(self) -> None:
        """Do once a heartbeat all that is due by time."""
        # One loop and one timer: most of an idle node's processor time is
        # spent on waking up.
        interval_s = self._settings.heartbeat_s
        while True:
            now_s = self._clock()
            self._beat_round(now_s)
            self._dial_wanted(now_s)
            for one in list(self._sessions):
                if now_s - one.heard_s > self._settings.suspect_s:
                    one.scope.cancel()
            gone_s = self._settings.gone_s
            self._teller.spread_members(self._members.expire(now_s, gone_s))
            self._members.forget(now_s)
            self._start_survey_if_due()
            # Jittered, so that nodes started together do not beat together.
            pause_s = interval_s * self._rng.uniform(0.9, 1.1)
            pause_s = min(pause_s, self._until_survey_s())
            await self._wait_hurry(now_s + pause_s)

    async def _wait_hurry(self, due_s: float) -> None:
        """Wait until due_s, and meanwhile replace links that ended."""
        while self._clock() < due_s:
            with trio.move_on_after(due_s - self._clock()) as scope:
                await self._hurry.wait()
            if scope.cancelled_caught:
                return
            # A pause, so that many changes at once cost one look.
            await trio.sleep(self._settings.heartbeat_s / 10)
            self._hurry = trio.Event()
            self._dial_wanted(self._clock())

    def _beat_round(self, now_s: float) -> None:
        self._beats += 1
        if self._known_at != self._members.generation:
            self._known_at = self._members.generation
            self._known = len(self._members.known())
        if self._beats % MEMBERS_BEATS == 0:
            self._members_digest = self._members.digest()
            self._members.count()
        for one in self._sessions:
            if now_s - one.beat_s >= self._settings.heartbeat_s / 2:
                one.ask_beat()
        LINKS.set(len(self._sessions))
        age_s = self._freshness.age_s()
        FRESH_AGE.set(-1.0 if age_s is None else age_s)

    def _dial_wanted(self, now_s: float) -> None:
        """Open the links that this node's place asks for, close others."""
        place = self._find_place(now_s)
        for name in place.dial:
            member = self._members.by_name[name]
            self._dial_if_due(name, member.address, now_s)
        self._close_surplus(place)
        if not self._sessions:
            for address in self._settings.peer_seeds:
                self._dial_if_due(address, address, now_s)

    def _dial_if_due(self, name: str, address: str, now_s: float) -> None:
        if not address or address == self.address or name in self._dialing:
            return
        if self._linked(name) or self._avoidance.avoids(name, now_s):
            return
        self._nursery.start_soon(self._dial, name, address)

    def _close_surplus(self, place: topology.Place) -> None:
        """Close a link we opened that our place no longer asks for."""
        # One a round, and only with the others up, so that a node is never
        # without news while it moves.
        ready = [one for one in self._sessions if one.synced]
        if len(ready) <= len(place.dial):
            return
        for one in ready:
            if one.dialed and one.peer.name not in place.dial:
                one.scope.cancel()
                return

    async def _summary_loop(self) -> None:
        """Send summaries that changed, seldom enough for the fleet's size.

        Each summary goes to every VM, so its cost grows with their number;
        the pause grows with it and the bytes a second stay bounded.
        """
        while True:
            await self._summaries.wait_published()
            size_bytes = 0
            for summary in self._summaries.due():
                size_bytes += len(link.encode(summary))
                self._teller.send_all(summary)
            copies = self._known * max(1, len(self._sessions))
            pause_s = copies * size_bytes / SUMMARY_BYTES_PER_S
            await trio.sleep(max(SUMMARY_PAUSE_S, pause_s))

    async def _watch_loop(self) -> None:
        """Watch the store while this node's place asks for it."""
        # A moment for peers to bring the view, which spares the store a
        # listing for each VM that starts.
        await self._wait_for_peers()
        while True:
            if not self._should_watch():
                await trio.sleep(self._settings.heartbeat_s)
                continue
            if any(one.synced for one in self._sessions):
                self._watcher.start_from_view()
            taken, as_of_s = await self._watcher.step()
            self._teller.spread_objects(taken, None)
            if as_of_s is not None and self._freshness.heard_store(as_of_s):
                self._pass_on_news()

    async def _wait_for_peers(self) -> None:
        with trio.move_on_after(self._settings.heartbeat_s):
            while not any(one.synced for one in self._sessions):
                await trio.sleep(self._settings.heartbeat_s / 10)

    def _should_watch(self) -> bool:
        """Say whether to watch: by place, or for want of any peer."""
        place = self._find_place(self._clock())
        return place.level == 0 or not self._sessions

    async def _list_loop(self, vm_list: vm_list_module.VmList) -> None:
        """Read the platform's list of VMs while this node watches."""
        while True:
            if self._should_watch():
                try:
                    self._take_list(await vm_list.read())
                except (errors.StoreError, errors.DecodeError) as error:
                    loguru.logger.debug(
                        'the list of VMs was not read: {}', error
                    )
            # The first watcher reads for its failure domain; the others
            # read seldom, in case it cannot.
            place = self._find_place(self._clock())
            pause_s = self._settings.vms_s * (1 + 2 * place.rank)
            await trio.sleep(pause_s * self._rng.uniform(0.75, 1.25))

    def _take_list(self, found: list[vm_list_module.Vm]) -> None:
        now_s = self._clock()
        new = [
            membership.Member(
                vm.name,
                0,
                0,
                membership.LIVE,
                vm.failure_domain,
                vm.region,
                vm.address,
            )
            for vm in found
            if vm.name not in self._members.by_name
        ]
        # Not spread: the VM itself will be, once its process runs.
        self._members.apply(new, now_s)
        states = {vm.name: vm.state for vm in found}
        now_ms = int(time.time() * 1000)
        changes = self._members.poll_changes(states, now_ms)
        self._teller.spread_listed(changes, None)

    def _suspect(self, name: str) -> None:
        changes = self._members.mark(name, membership.SUSPECT, self._clock())
        self._teller.spread_members(changes)

    def _quiet_s(self) -> float:
        """Return the store's silence after which this node counts VMs.

        The first watcher of each failure domain counts for all, early
        enough for the count to be everywhere before any view is stale.
        The others wait longer.
        """
        quiet_s = self._settings.freshness_s / 2
        place = self._find_place(self._clock())
        first = place.level == 0 and place.rank == 0
        return quiet_s if first else 1.5 * quiet_s

    def _until_survey_s(self) -> float:
        """Return the seconds until a survey would be due; never none."""
        least_s = self._settings.freshness_s / 12
        silent_s = self._freshness.outage_age_s()
        if silent_s is None:
            return math.inf
        return max(least_s, self._quiet_s() - silent_s)

    def _start_survey_if_due(self) -> None:
        """Count who is in reach when the store has been silent."""
        silent_s = self._freshness.outage_age_s()
        quiet_s = self._quiet_s()
        if silent_s is None or silent_s < quiet_s or self._surveying:
            return
        reached_s = self._freshness.reached_age_s()
        if reached_s is not None and reached_s < quiet_s / 2:
            return
        first = quiet_s <= self._settings.freshness_s / 2
        if first or self._rng.random() < STAND_INS / self._known:
            self._nursery.start_soon(self._survey)

    async def _survey(self) -> None:
        self._surveying = True
        try:
            sent_s = self._clock()
            timeout_s = self._settings.freshness_s / 4
            found = await self._surveys.start(timeout_s, False)
            self._hear_count(found.reached, sent_s)
        finally:
            self._surveying = False

    def _hear_count(self, reached: int, at_s: float) -> None:
        """Take a count of VMs within reach and pass it on if it is news."""
        if not self._freshness.heard_count(reached, at_s):
            return
        gain_s = self._settings.freshness_s / 8
        for one in self._sessions:
            if at_s - one.count_s >= gain_s:
                one.ask_beat()

    # What is sent.

    def _make_beat(self) -> link.Message:
        with_members = self._beats % MEMBERS_BEATS == 0
        return outgoing.beat(
            self._clock(),
            self._view,
            self._freshness,
            self._settings.freshness_s,
            self._members_digest if with_members else None,
        )

    def _pass_on_news(self) -> None:
        """Beat early to the peers that our news would make much fresher."""
        as_of_s = self._freshness.as_of_s or 0.0
        gain_s = PASS_ON_SHARE * self._settings.watch_s
        for one in self._sessions:
            if as_of_s - one.news_s >= gain_s:
                one.ask_beat()

    # What is heard.

    def _take_members(
        self, one: session_module.Session, message: messages.PeerMembers
    ) -> None:
        found = [membership.from_message(m) for m in message['members']]
        changes = self._members.apply(found, self._clock())
        # A refutation of a claim about us must reach the claimant too.
        own = [member for member in changes if member.name == self.name]
        self._teller.spread_members(own)
        others = [member for member in changes if member.name != self.name]
        self._teller.spread_members(others, one)

    def _take_listed(
        self, one: session_module.Session, message: messages.PeerListed
    ) -> None:
        found = {
            name: membership.ListedState(**entry)
            for name, entry in message['states'].items()
        }
        self._teller.spread_listed(found, one)

    def _take_objects(
        self, one: session_module.Session, message: messages.PeerObjects
    ) -> None:
        found = spread.as_objects(message['objects'])
        for item in found:
            one.has(item)
        self._teller.spread_objects(self._view.apply(found), one)
        if message['final']:
            one.synced = True
            one.differed_s = None

    def _take_ask(
        self, one: session_module.Session, message: messages.PeerAsk
    ) -> None:
        missing = self._view.differing(message['buckets'])
        one.add_objects(missing, final=True)

    def _take_beat(
        self, one: session_module.Session, beat: messages.PeerBeat
    ) -> None:
        now_s = self._clock()
        known = one.heard_beat(beat, now_s)
        one.heard_news(beat, known)
        self._repair_if_due(one, beat, now_s)
        self._teller.compare_members(one, beat)
        if known is None or not one.synced:
            return
        self._hear(one, beat, known.sent_after_s)

    def _hear(
        self,
        one: session_module.Session,
        beat: messages.PeerBeat,
        sent_after_s: float,
    ) -> None:
        """Take from a beat how fresh the sender's view was."""
        if 'age_ms' in beat:
            as_of_s = sent_after_s - beat['age_ms'] / 1000
            if self._freshness.heard_store(as_of_s):
                self._pass_on_news()
        if 'outage_age_ms' in beat:
            silent_s = beat['outage_age_ms'] / 1000
            self._freshness.heard_outage(sent_after_s - silent_s)
        if 'reached' in beat and 'reached_age_ms' in beat:
            at_s = sent_after_s - beat['reached_age_ms'] / 1000
            one.count_s = max(one.count_s, at_s)
            self._hear_count(beat['reached'], at_s)

    def _repair_if_due(
        self,
        one: session_module.Session,
        beat: messages.PeerBeat,
        now_s: float,
    ) -> None:
        """Ask for objects when two views stay different.

        Views differ for an instant at each change. They stay different when
        an object was missed, for which the cause does not matter here.
        """
        if beat['digest'] == self._view.digest:
            one.differed_s = None
            return
        moved = beat['digest'] != one.peer_digest
        one.peer_digest = beat['digest']
        if one.differed_s is None or moved:
            one.differed_s = now_s
        if now_s - one.differed_s < 2 * self._settings.heartbeat_s:
            return
        one.differed_s = now_s
        if beat['revision'] >= self._view.revision:
            # Its news say nothing of our view until the hole is mended.
            one.synced = False
        REPAIRS.inc()
        buckets = self._view.buckets if self._view.objects else []
        one.add({'type': 'ask', 'buckets': buckets})

    def _take_summary(
        self, one: session_module.Session, message: messages.PeerSummary
    ) -> None:
        if self._summaries.take(message):
            self._teller.send_all(typing.cast(link.Message, message), one)

    def _take_survey(
        self, one: session_module.Session, message: messages.PeerSurvey
    ) -> None:
        self._nursery.start_soon(self._surveys.answer, one, message)

    def _take_survey_answer(
        self,
        one: session_module.Session,
        message: messages.PeerSurveyAnswer,
    ) -> None:
        self._surveys.take_answer(one, message)

    def _take_probe(
        self, one: session_module.Session, message: messages.PeerProbe
    ) -> None:
        if 'heard' in message:
            self._questions.take_answer(message)
        else:
            self._nursery.start_soon(
                self._questions.answer, one, message['name']
            )

    _handlers: typing.ClassVar[dict[str, typing.Any]] = {
        'members': _take_members,
        'listed': _take_listed,
        'objects': _take_objects,
        'ask': _take_ask,
        'beat': _take_beat,
        'summary': _take_summary,
        'survey': _take_survey,
        'survey_answer': _take_survey_answer,
        'probe': _take_probe,
        'hello': lambda self, one, message: None,
    }

    # Places.

    def _linked(self, name: str) -> bool:
        return any(one.peer.name == name for one in self._sessions)

    def _find_place(self, now_s: float) -> topology.Place:
        avoid = frozenset(
            name
            for name in self._avoidance.names(now_s)
            if not self._linked(name)
        )
        key = (self._members.generation, avoid)
        if key != self._place_key or self._place is None:
            self._place_key = key
            self._place = topology.place(
                self.name,
                self._members.placed(),
                self._settings.watchers_per_domain,
                self._settings.peer_fanout,
                avoid,
            )
        return self._place


def make_node(
    settings: typing.Any,
    view: view_module.View,
    store: store_module.Store,
    clock: clock_module.Clock = clock_module.boottime_s,
    network: link.Network | None = None,
    vm_list: vm_list_module.VmList | None = None,
    rng: random.Random | None = None,
) -> Node:
    """Return a node; without a network or list, those of the settings.

    Raise SettingsError when the settings do not allow the links they ask.
    """
    return Node(
        settings,
        view,
        store,
        clock,
        network or link.make_network(settings),
        vm_list
        or vm_list_module.connect(
            settings.platform_url, settings.store_timeout_s
        ),
        rng or random.Random(),
    )
