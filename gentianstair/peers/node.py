"""Run one VM among its peers: links, membership and configuration."""

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
from gentianstair.peers import broadcaster
from gentianstair.peers import dial_backoff
from gentianstair.peers import freshness as freshness_module
from gentianstair.peers import indirect_probe
from gentianstair.peers import link
from gentianstair.peers import membership
from gentianstair.peers import outgoing_messages
from gentianstair.peers import session as session_module
from gentianstair.peers import store_watcher
from gentianstair.peers import summaries as summaries_module
from gentianstair.peers import survey as survey_module
from gentianstair.peers import topology
from gentianstair.peers import tunnel
from gentianstair.store import store as store_module
from gentianstair.store import vm_list as vm_list_module
from gentianstair.util import clock as clock_module
from gentianstair.util import tasks

# Links at which further incoming ones are refused.
MAX_LINKS = 64
HELLO_TIMEOUT_S = 3.0
# Share of watch_s by which our view must be fresher than a peer's for a
# heartbeat ahead of schedule.
EARLY_HEARTBEAT_SHARE = 0.5
# Surveys for confirmed revisions, while VMs are missing.
CONFIRM_ATTEMPTS = 2
# Expected number of other nodes that start a survey when the first watchers'
# does not come.
BACKUP_SURVEYORS = 16
# Shortest time between two rounds of summaries, and the limit on the bytes a
# second that all VMs' summaries together send to one VM.
MIN_SUMMARY_INTERVAL_S = 0.25
MAX_SUMMARY_BYTES_PER_S = 200e3
# One in this many heartbeats carries the digest of the members.
HEARTBEATS_PER_MEMBERS_DIGEST = 8

LINK_COUNT = prometheus_client.Gauge(
    'gentianstair_peer_links', 'Links to peers that are up.'
)
CONFIG_AGE = prometheus_client.Gauge(
    'gentianstair_config_age_seconds',
    'Age of the last news from the store, by whatever way they came.',
)
CONFIG_REPAIRS = prometheus_client.Counter(
    'gentianstair_config_repairs',
    'Times a peer was asked for objects that had been missed.',
)


class PermitServer(typing.Protocol):
    """Answers questions for permits of upstreams that name a limit."""

    async def serve(self, channel: link.Channel, first: link.Message) -> None:
        """Answer those on a link, the first included, until it ends."""


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
        self._watcher = store_watcher.Watcher(
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
        self._prober = indirect_probe.IndirectProber(
            self._members,
            network,
            lambda: self._sessions,
            self._suspect,
            indirect_probe.Timing(settings.heartbeat_s, settings.suspect_s),
            clock,
            rng,
        )
        self._backoff = dial_backoff.DialBackoff(clock, settings.heartbeat_s)
        self._position: topology.Position | None = None
        self._position_key: typing.Any = None
        self._voter_count = 1
        self._voter_generation = -1
        self._members_digest: int | None = None
        self._heartbeat_rounds = 0
        self._surveying = False
        self._topology_changed = trio.Event()
        self._broadcaster = broadcaster.Broadcaster(
            self._members,
            view,
            self._summaries,
            lambda: self._sessions,
            clock,
            lambda: self._topology_changed.set(),
        )
        # Carries tunnels to upstreams for other VMs; None carries none.
        self.tunnel_server: tunnel.TunnelServer | None = None
        # Answers other VMs' questions for permits; None answers none.
        self.permit_server: PermitServer | None = None
        self._tasks: tasks.Tasks
        self.started = trio.Event()
        self.address = ''

    # Interface for the rest of the process.

    def is_fresh(self) -> bool:
        """Say whether callers may be served from this node's view."""
        return self._freshness.is_fresh(self._voter_count)

    def config_age_s(self) -> float | None:
        """Return the time since the view matched the store, if known."""
        return self._freshness.age_s()

    def members(self) -> list[membership.Member]:
        """Return all known VMs, sorted by name."""
        return sorted(self._members.by_name.values())

    def link_count(self) -> int:
        """Return the number of links that are up."""
        return len(self._sessions)

    def publish(self, topic: str, body: summaries_module.Body) -> None:
        """Publish this node's summary on a topic, replacing the last one."""
        self._summaries.publish(topic, body)

    def subscribe(self, topic: str, handler: summaries_module.Handler) -> None:
        """Call handler(vm_name, body) when another VM's summary changes."""
        self._summaries.subscribe(topic, handler)

    async def confirmed_revisions(
        self, timeout_s: float = 2.0
    ) -> dict[str, int]:
        """Return the configuration revision in force by VM name.

        Known VMs that did not answer in time are left out.
        """
        revisions_by_vm: dict[str, int] = {}
        voters = self._members.voters()
        # A link that closes during a survey loses the answers behind it, so
        # the survey is repeated when VMs are missing.
        for _ in range(CONFIRM_ATTEMPTS):
            result = await self._surveys.run(
                timeout_s / CONFIRM_ATTEMPTS, revisions=True
            )
            revisions_by_vm.update(result.revisions)
            if voters <= revisions_by_vm.keys():
                break
        return revisions_by_vm

    def leave(self) -> None:
        """Tell the peers that this VM is leaving; keep the links."""
        self._broadcaster.broadcast_members(self._members.leave(self._clock()))

    # Tasks.

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve and keep links to peers until cancelled."""
        async with trio.open_nursery() as nursery:
            self._tasks = running = tasks.Tasks(nursery)
            self.address = await nursery.start(
                self._network.serve, self._accept
            )
            if not self._settings.peer_advertise:
                self._members.set_address(self.address)
            task_status.started()
            self.started.set()
            running.keep_running('heartbeats', self._heartbeat_loop)
            running.keep_running('watch-store', self._watch_loop)
            running.keep_running('summaries', self._summary_loop)
            if self._vm_list is not None:
                running.keep_running(
                    'vm-list', self._vm_list_loop, self._vm_list
                )

    async def _accept(self, channel: link.Channel) -> None:
        if len(self._sessions) >= MAX_LINKS:
            link.DROPPED_MESSAGES.labels('too many links').inc()
            return
        await tasks.run_guarded('peer-link', self._run_session, channel, False)

    async def _dial(self, name: str, address: str) -> None:
        """Open a link and run it to its end."""
        self._dialing.add(name)
        connected = False
        try:
            async with self._network.open(address) as channel:
                connected = True
                await self._run_session(channel, dialed=True, dialed_name=name)
        except link.LinkClosedError:
            pass
        finally:
            self._dialing.discard(name)
            if not connected:
                self._backoff.record_failure(name)
        if not connected and name in self._members.by_name:
            self._tasks.start_soon('probe', self._prober.probe, name)

    async def _run_session(
        self, channel: link.Channel, dialed: bool, dialed_name: str = ''
    ) -> None:
        """Exchange hellos, then read and write until the link breaks."""
        try:
            await channel.send(
                link.encode(
                    outgoing_messages.make_hello(self._view, self._members)
                )
            )
            with trio.fail_after(HELLO_TIMEOUT_S):
                data = await channel.receive()
            hello = link.decode(data)
            if hello is not None and hello['type'] == 'tunnel':
                await self._serve_tunnel(channel, hello)
                return
            if hello is not None and hello['type'] == 'permit_ask':
                if self.permit_server is not None:
                    await self.permit_server.serve(channel, hello)
                return
            if hello is None or hello['type'] != 'hello':
                raise errors.DecodeError('first message is not a hello')
        except (link.LinkClosedError, errors.DecodeError, trio.TooSlowError):
            return
        peer = membership.from_message(hello['member'])
        if peer.name == self.name:
            if dialed_name:
                self._backoff.exclude(dialed_name)
            return
        now_s = self._clock()
        session = session_module.Session(channel, peer, dialed, now_s)
        self._sessions.append(session)
        self._close_duplicate_link(peer.name)
        self._backoff.reset(peer.name)
        self._broadcaster.sync_peer(
            session, typing.cast(messages.PeerHello, hello)
        )
        try:
            with session.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write, session)
                    await self._read(session)
        except* (link.LinkClosedError, errors.DecodeError) as group:
            loguru.logger.bind(peer=peer.name).debug('link closed: {}', group)
        finally:
            self._sessions.remove(session)
            self._topology_changed.set()
            survey_module.answer_for_lost_link(session)
            LINK_COUNT.set(len(self._sessions))
        if not self._is_linked(peer.name):
            self._tasks.start_soon('probe', self._prober.probe, peer.name)

    async def _serve_tunnel(
        self, channel: link.Channel, message: link.Message
    ) -> None:
        if self.tunnel_server is not None:
            await self.tunnel_server.serve(channel, message)

    def _close_duplicate_link(self, name: str) -> None:
        """Keep one link when two nodes dialed each other at once.

        Both ends keep the link that the lesser name dialed.
        """
        duplicates = [
            session for session in self._sessions if session.peer.name == name
        ]
        if len(duplicates) < 2:
            return
        keep_dialed = self.name < name
        kept = [
            session for session in duplicates if session.dialed == keep_dialed
        ]
        kept = kept[-1:] or duplicates[-1:]
        for session in duplicates:
            if session not in kept:
                session.scope.cancel()

    async def _write(self, session: session_module.Session) -> None:
        await session.write(self._make_heartbeat, self._clock)

    async def _read(self, session: session_module.Session) -> None:
        while True:
            message = link.decode(await session.channel.receive())
            session.last_received_s = self._clock()
            if message is not None:
                self._handle(session, message)

    def _handle(
        self, session: session_module.Session, message: link.Message
    ) -> None:
        """Handle a message; an invalid one closes only its own link."""
        try:
            self._handlers[message['type']](self, session, message)
        except (ArithmeticError, ValueError, TypeError, KeyError) as error:
            # The schema checks types, not ranges: a faulty peer may send a
            # time of 2**70 ms.
            link.DROPPED_MESSAGES.labels('senseless').inc()
            raise errors.DecodeError(f'{message["type"]}: {error}') from error

    async def _heartbeat_loop(self) -> None:
        """Run all periodic work once a heartbeat interval."""
        # One timer for all: wake-ups take most of an idle node's processor
        # time.
        interval_s = self._settings.heartbeat_s
        while True:
            now_s = self._clock()
            self._request_heartbeats(now_s)
            self._update_links(now_s)
            for session in list(self._sessions):
                if now_s - session.last_received_s > self._settings.suspect_s:
                    session.scope.cancel()
            gone_s = self._settings.gone_s
            self._broadcaster.broadcast_members(
                self._members.expire_suspects(now_s, gone_s)
            )
            self._members.forget_gone(now_s)
            self._start_survey_if_due()
            # Jittered, so that nodes started together do not stay in step.
            pause_s = interval_s * self._rng.uniform(0.9, 1.1)
            pause_s = min(pause_s, self._next_survey_in_s())
            await self._wait_and_update_links(now_s + pause_s)

    async def _wait_and_update_links(self, due_s: float) -> None:
        """Wait until due_s; update the links when members or links change."""
        while self._clock() < due_s:
            with trio.move_on_after(due_s - self._clock()) as scope:
                await self._topology_changed.wait()
            if scope.cancelled_caught:
                return
            # Batches changes that come at the same time.
            await trio.sleep(self._settings.heartbeat_s / 10)
            self._topology_changed = trio.Event()
            self._update_links(self._clock())

    def _request_heartbeats(self, now_s: float) -> None:
        self._heartbeat_rounds += 1
        if self._voter_generation != self._members.generation:
            self._voter_generation = self._members.generation
            self._voter_count = len(self._members.voters())
        if self._heartbeat_rounds % HEARTBEATS_PER_MEMBERS_DIGEST == 0:
            self._members_digest = self._members.digest()
            self._members.update_metrics()
        for session in self._sessions:
            if (
                now_s - session.heartbeat_sent_s
                >= self._settings.heartbeat_s / 2
            ):
                session.request_heartbeat()
        LINK_COUNT.set(len(self._sessions))
        age_s = self._freshness.age_s()
        CONFIG_AGE.set(-1.0 if age_s is None else age_s)

    def _update_links(self, now_s: float) -> None:
        """Open the links of this node's position, and close others."""
        position = self._find_position(now_s)
        for name in position.dial:
            member = self._members.by_name[name]
            self._dial_if_due(name, member.address, now_s)
        self._close_surplus_link(position)
        if not self._sessions:
            for address in self._settings.peer_seeds:
                self._dial_if_due(address, address, now_s)

    def _dial_if_due(self, name: str, address: str, now_s: float) -> None:
        if not address or address == self.address or name in self._dialing:
            return
        if self._is_linked(name) or self._backoff.is_waiting(name, now_s):
            return
        self._tasks.start_soon(
            'peer-link', self._dial, name, address, peer=address
        )

    def _close_surplus_link(self, position: topology.Position) -> None:
        """Close one link that this node dialed and no longer needs."""
        # One at a time and only while enough others are synced, so that the
        # node keeps receiving changes while its position moves.
        synced = [session for session in self._sessions if session.synced]
        if len(synced) <= len(position.dial):
            return
        for session in synced:
            if session.dialed and session.peer.name not in position.dial:
                session.scope.cancel()
                return

    async def _summary_loop(self) -> None:
        """Send changed summaries, at a rate that fits the fleet's size.

        Each summary goes to every VM, so the pause grows with their number
        to limit the bytes a second.
        """
        while True:
            await self._summaries.wait_published()
            size_bytes = 0
            for summary in self._summaries.take_due():
                size_bytes += len(link.encode(summary))
                self._broadcaster.broadcast(summary)
            deliveries = self._voter_count * max(1, len(self._sessions))
            pause_s = deliveries * size_bytes / MAX_SUMMARY_BYTES_PER_S
            await trio.sleep(max(MIN_SUMMARY_INTERVAL_S, pause_s))

    async def _watch_loop(self) -> None:
        """Watch the store while this node is a watcher or has no link."""
        # Peers may send the view first, which spares the store a listing for
        # each VM that starts.
        await self._wait_for_peers()
        while True:
            if not self._should_watch():
                await trio.sleep(self._settings.heartbeat_s)
                continue
            if any(session.synced for session in self._sessions):
                self._watcher.resume_from_view()
            applied, as_of_s = await self._watcher.step()
            self._broadcaster.broadcast_objects(applied, None)
            if as_of_s is not None and self._freshness.record_store_view(
                as_of_s
            ):
                self._send_early_heartbeats()

    async def _wait_for_peers(self) -> None:
        with trio.move_on_after(self._settings.heartbeat_s):
            while not any(session.synced for session in self._sessions):
                await trio.sleep(self._settings.heartbeat_s / 10)

    def _should_watch(self) -> bool:
        """Say whether this node is a watcher or has no link."""
        position = self._find_position(self._clock())
        return position.level == 0 or not self._sessions

    async def _vm_list_loop(self, vm_list: vm_list_module.VmList) -> None:
        """Read the platform's list of VMs while this node watches."""
        while True:
            if self._should_watch():
                try:
                    self._apply_vm_list(await vm_list.read())
                except (errors.StoreError, errors.DecodeError) as error:
                    loguru.logger.debug(
                        'cannot read the list of VMs: {}', error
                    )
            # The first watcher reads for its failure domain; the others read
            # less often, in case it cannot.
            position = self._find_position(self._clock())
            pause_s = self._settings.vms_s * (1 + 2 * position.rank)
            await trio.sleep(pause_s * self._rng.uniform(0.75, 1.25))

    def _apply_vm_list(self, listed_vms: list[vm_list_module.Vm]) -> None:
        now_s = self._clock()
        new_members = [
            membership.Member(
                vm.name,
                0,
                0,
                membership.LIVE,
                vm.failure_domain,
                vm.region,
                vm.address,
            )
            for vm in listed_vms
            if vm.name not in self._members.by_name
        ]
        # Not forwarded: peers learn of the VM once its process runs.
        self._members.apply(new_members, now_s)
        states = {vm.name: vm.state for vm in listed_vms}
        now_ms = int(time.time() * 1000)
        changes = self._members.diff_vm_list(states, now_ms)
        self._broadcaster.merge_listed(changes, None)

    def _suspect(self, name: str) -> None:
        changes = self._members.set_status(
            name, membership.SUSPECT, self._clock()
        )
        self._broadcaster.broadcast_members(changes)

    def _survey_after_s(self) -> float:
        """Return the store's silence after which this node runs a survey.

        The first watcher of each failure domain runs it early enough for
        the count to reach all VMs before a view is too old. The others wait
        longer.
        """
        first_watcher_s = self._settings.freshness_s / 2
        position = self._find_position(self._clock())
        is_first_watcher = position.level == 0 and position.rank == 0
        return first_watcher_s if is_first_watcher else 1.5 * first_watcher_s

    def _next_survey_in_s(self) -> float:
        """Return the time until a survey is due, at least a short pause."""
        min_wait_s = self._settings.freshness_s / 12
        silence_s = self._freshness.store_silence_s()
        if silence_s is None:
            return math.inf
        return max(min_wait_s, self._survey_after_s() - silence_s)

    def _start_survey_if_due(self) -> None:
        """Start a survey when the store has been silent for long."""
        silence_s = self._freshness.store_silence_s()
        survey_after_s = self._survey_after_s()
        if silence_s is None or silence_s < survey_after_s or self._surveying:
            return
        reached_age_s = self._freshness.reached_age_s()
        if reached_age_s is not None and reached_age_s < survey_after_s / 2:
            return
        is_first_watcher = survey_after_s <= self._settings.freshness_s / 2
        if (
            is_first_watcher
            or self._rng.random() < BACKUP_SURVEYORS / self._voter_count
        ):
            self._tasks.start_soon('survey', self._run_survey)

    async def _run_survey(self) -> None:
        self._surveying = True
        try:
            sent_s = self._clock()
            timeout_s = self._settings.freshness_s / 4
            result = await self._surveys.run(timeout_s, False)
            self._record_reached(result.reached, sent_s)
        finally:
            self._surveying = False

    def _record_reached(self, reached: int, at_s: float) -> None:
        """Record a count of VMs and forward it if it is newer."""
        if not self._freshness.record_reached(reached, at_s):
            return
        min_gain_s = self._settings.freshness_s / 8
        for session in self._sessions:
            if at_s - session.peer_reached_at_s >= min_gain_s:
                session.request_heartbeat()

    # Outgoing messages.

    def _make_heartbeat(self) -> link.Message:
        includes_members_digest = (
            self._heartbeat_rounds % HEARTBEATS_PER_MEMBERS_DIGEST == 0
        )
        return outgoing_messages.make_heartbeat(
            self._clock(),
            self._view,
            self._freshness,
            self._settings.freshness_s,
            self._members_digest if includes_members_digest else None,
        )

    def _send_early_heartbeats(self) -> None:
        """Send a heartbeat now to peers whose view is much older."""
        as_of_s = self._freshness.as_of_s or 0.0
        min_gain_s = EARLY_HEARTBEAT_SHARE * self._settings.watch_s
        for session in self._sessions:
            if as_of_s - session.peer_as_of_s >= min_gain_s:
                session.request_heartbeat()

    # Incoming messages.

    def _handle_members(
        self, session: session_module.Session, message: messages.PeerMembers
    ) -> None:
        members = [membership.from_message(m) for m in message['members']]
        changes = self._members.apply(members, self._clock())
        # A refutation must also reach the peer that made the claim.
        own = [member for member in changes if member.name == self.name]
        self._broadcaster.broadcast_members(own)
        others = [member for member in changes if member.name != self.name]
        self._broadcaster.broadcast_members(others, session)

    def _handle_listed(
        self, session: session_module.Session, message: messages.PeerListed
    ) -> None:
        entries = {
            name: membership.ListedState(**entry)
            for name, entry in message['states'].items()
        }
        self._broadcaster.merge_listed(entries, session)

    def _handle_objects(
        self, session: session_module.Session, message: messages.PeerObjects
    ) -> None:
        objects = store_watcher.to_stored_objects(message['objects'])
        for item in objects:
            session.drop_queued(item)
        self._broadcaster.broadcast_objects(self._view.apply(objects), session)
        if message['final']:
            session.synced = True
            session.differing_since_s = None

    def _handle_ask(
        self, session: session_module.Session, message: messages.PeerAsk
    ) -> None:
        missing = self._view.differing_objects(message['buckets'])
        session.queue_objects(missing, final=True)

    def _handle_heartbeat(
        self, session: session_module.Session, heartbeat: messages.PeerBeat
    ) -> None:
        now_s = self._clock()
        send_time = session.record_heartbeat(heartbeat, now_s)
        session.record_peer_freshness(heartbeat, send_time)
        self._repair_if_due(session, heartbeat, now_s)
        self._broadcaster.repair_members(session, heartbeat)
        if send_time is None or not session.synced:
            return
        self._record_freshness(session, heartbeat, send_time.sent_after_s)

    def _record_freshness(
        self,
        session: session_module.Session,
        heartbeat: messages.PeerBeat,
        sent_after_s: float,
    ) -> None:
        """Record how fresh a heartbeat shows the sender's view to be."""
        if 'age_ms' in heartbeat:
            as_of_s = sent_after_s - heartbeat['age_ms'] / 1000
            if self._freshness.record_store_view(as_of_s):
                self._send_early_heartbeats()
        if 'outage_age_ms' in heartbeat:
            silence_s = heartbeat['outage_age_ms'] / 1000
            self._freshness.record_peer_view(sent_after_s - silence_s)
        if 'reached' in heartbeat and 'reached_age_ms' in heartbeat:
            at_s = sent_after_s - heartbeat['reached_age_ms'] / 1000
            session.peer_reached_at_s = max(session.peer_reached_at_s, at_s)
            self._record_reached(heartbeat['reached'], at_s)

    def _repair_if_due(
        self,
        session: session_module.Session,
        heartbeat: messages.PeerBeat,
        now_s: float,
    ) -> None:
        """Ask for objects when the peer's view stays different from ours.

        Views differ briefly after each change; they stay different only
        when an object was missed.
        """
        if heartbeat['digest'] == self._view.digest:
            session.differing_since_s = None
            return
        peer_changed = heartbeat['digest'] != session.peer_digest
        session.peer_digest = heartbeat['digest']
        if session.differing_since_s is None or peer_changed:
            session.differing_since_s = now_s
        if now_s - session.differing_since_s < 2 * self._settings.heartbeat_s:
            return
        session.differing_since_s = now_s
        if heartbeat['revision'] >= self._view.revision:
            # Its freshness says nothing of our view until the repair.
            session.synced = False
        CONFIG_REPAIRS.inc()
        buckets = self._view.buckets if self._view.objects else []
        session.queue({'type': 'ask', 'buckets': buckets})

    def _handle_summary(
        self, session: session_module.Session, message: messages.PeerSummary
    ) -> None:
        if self._summaries.apply(message):
            self._broadcaster.broadcast(
                typing.cast(link.Message, message), session
            )

    def _handle_survey(
        self, session: session_module.Session, message: messages.PeerSurvey
    ) -> None:
        self._tasks.start_soon(
            'answer-survey', self._surveys.answer, session, message
        )

    def _handle_survey_answer(
        self,
        session: session_module.Session,
        message: messages.PeerSurveyAnswer,
    ) -> None:
        self._surveys.handle_answer(session, message)

    def _handle_probe(
        self, session: session_module.Session, message: messages.PeerProbe
    ) -> None:
        if 'heard' in message:
            self._prober.handle_answer(message)
        else:
            self._tasks.start_soon(
                'answer-probe',
                self._prober.answer_probe,
                session,
                message['name'],
            )

    _handlers: typing.ClassVar[dict[str, typing.Any]] = {
        'members': _handle_members,
        'listed': _handle_listed,
        'objects': _handle_objects,
        'ask': _handle_ask,
        'beat': _handle_heartbeat,
        'summary': _handle_summary,
        'survey': _handle_survey,
        'survey_answer': _handle_survey_answer,
        'probe': _handle_probe,
        'hello': lambda self, session, message: None,
    }

    # Topology.

    def _is_linked(self, name: str) -> bool:
        return any(session.peer.name == name for session in self._sessions)

    def _find_position(self, now_s: float) -> topology.Position:
        unreachable = frozenset(
            name
            for name in self._backoff.waiting_names(now_s)
            if not self._is_linked(name)
        )
        key = (self._members.generation, unreachable)
        if key != self._position_key or self._position is None:
            self._position_key = key
            self._position = topology.find_position(
                self.name,
                self._members.tree_domains(),
                self._settings.watchers_per_domain,
                self._settings.peer_fanout,
                unreachable,
            )
        return self._position


def make_node(
    settings: typing.Any,
    view: view_module.View,
    store: store_module.Store,
    clock: clock_module.Clock = clock_module.boottime_s,
    network: link.Network | None = None,
    vm_list: vm_list_module.VmList | None = None,
    rng: random.Random | None = None,
) -> Node:
    """Return a node; by default its network and list are as configured.

    Raise SettingsError when the settings do not allow such links.
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
