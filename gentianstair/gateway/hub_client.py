"""Keep a leaf's link to a hub: report load, and apply the hub's feed."""

import math

import loguru
import msgspec
import trio

from gentianstair import errors
from gentianstair.core import draining_upstreams
from gentianstair.core import prompt_fault_rows
from gentianstair.gateway import hubs
from gentianstair.gateway import leaf_feed
from gentianstair.gateway import leaf_knowledge
from gentianstair.gateway import leaf_records
from gentianstair.gateway import node as nodes
from gentianstair.gateway import peer_questions
from gentianstair.gateway import peer_updates
from gentianstair.gateway import prefill_costs
from gentianstair.gateway import replica_load
from gentianstair.gateway import replica_rows
from gentianstair.gateway import roster as rosters
from gentianstair.gateway import store_watch
from gentianstair.generated import events
from gentianstair.generated import messages
from gentianstair.limits import levels
from gentianstair.limits import use as uses
from gentianstair.peers import link

# How often a leaf sends its load and gets the feed in return.
REPORT_INTERVAL_S = 0.25
# Shortest pause between two reports, also if something is to be told at once.
MIN_PAUSE_S = 0.03
# Timeout of the hub's feed in response to a report.
RESPONSE_TIMEOUT_S = 0.5
OPEN_TIMEOUT_S = 0.6
# How long a hub that failed, or that lost the store, is avoided.
HUB_COOLDOWN_S = 4.0
# A leaf changes to another hub if the store last answered its hub longer ago
# than this share of the time within which a draining replica may still get
# new work. Together with RESPONSE_TIMEOUT_S it must be less than that time,
# and it must be more than the timeout of a hub's watch.
MAX_STORE_AGE_SHARE = 0.45
# How often a report repeats what the hub stores for this leaf, if no request
# has started since.
MEMBER_INTERVAL_S = 2.0
# Pause while no hub is known, or all of them have failed recently.
HUB_RETRY_S = 0.5


def max_store_age_s(drain_s: float) -> float:
    """Return the age of a hub's data at which its leaves leave it.

    >>> max_store_age_s(2.0), max_store_age_s(4.0)
    (0.9, 1.8)
    """
    return MAX_STORE_AGE_SHARE * min(drain_s, store_watch.MAX_USED_BOUND_S)


class HubClient:
    """A leaf's link to a hub; it fails over to another hub."""

    def __init__(
        self,
        node: nodes.Node,
        network: link.Network,
        updates: peer_updates.PeerUpdates,
    ) -> None:
        self._node = node
        self._network = network
        self._updates = updates
        self._questions = peer_questions.PeerQuestions(node)
        # The pause before the next report, and whether it is short, also
        # when it has not begun.
        self._pause = trio.CancelScope()
        self._is_report_urgent = False
        node.prompt_faults.listeners.append(self._shorten_pause)
        # Until when each hub is avoided, by VM name.
        self._avoided_until_s: dict[str, float] = {}
        # Whether the cost estimates of a hub have been taken over; later
        # this process has its own.
        self._has_costs = False

    async def run(self) -> None:
        """Keep a link to a hub while this VM is a leaf, until cancelled."""
        while True:
            hub = self._choose_hub()
            if hub is not None and self._is_avoided(hub):
                # All hubs failed recently, as in an outage of the store.
                # Without a pause the leaf would open hundreds of links a
                # second.
                await trio.sleep(HUB_RETRY_S)
                hub = self._choose_hub()
            if hub is None:
                await trio.sleep(HUB_RETRY_S)
                continue
            await self._use_hub(hub)

    def _is_avoided(self, hub: hubs.Vm) -> bool:
        return self._avoided_until_s.get(hub.name, 0.0) > self._node.clock()

    def _choose_hub(self) -> hubs.Vm | None:
        """Return the hub to link to; None for a hub, or if none is known."""
        roster = self._node.roster
        if roster.is_hub():
            return None
        own, now_s = roster.own_vm, self._node.clock()
        preferred = hubs.by_preference(
            own.name, own.failure_domain, roster.hubs()
        )
        return min(
            preferred,
            # If all are avoided, the one whose cooldown ends first.
            key=lambda hub: max(
                now_s, self._avoided_until_s.get(hub.name, 0.0)
            ),
            default=None,
        )

    async def _use_hub(self, hub: hubs.Vm) -> None:
        """Exchange reports and feeds with one hub until it fails."""
        failure = 'no connection in time'
        try:
            with trio.CancelScope() as opening:
                opening.deadline = trio.current_time() + OPEN_TIMEOUT_S
                async with self._network.open(hub.peer_address) as channel:
                    opening.deadline = float('inf')
                    failure = await self._exchange(channel, hub)
        except link.LinkClosedError as error:
            failure = str(error)
        if not failure:
            return
        # The last feed must not be used any longer.
        self._node.roster.clear_hub_feed()
        self._avoided_until_s[hub.name] = self._node.clock() + HUB_COOLDOWN_S
        loguru.logger.bind(event=events.LINK_LOST, peer=hub.name).info(
            'left the hub: {}', failure
        )

    async def _exchange(self, channel: link.Channel, hub: hubs.Vm) -> str:
        """Send reports to hub and apply feeds; return what ends it.

        It is empty if this VM has become a hub.
        """
        node = self._node
        sent_position = 0
        process = ''
        known_hubs: tuple[hubs.Vm, ...] = ()
        member = _MemberReports(node)
        sent_limits_position = 0
        part_faults = prompt_fault_rows.Feed(
            node.prompt_faults, node.clock, to_hubs=True
        )
        draining = draining_upstreams.Feed(
            node.registry.draining, to_hubs=True
        )
        try:
            node.permit_keepers.link_to_hub = channel
            while not node.roster.is_hub():
                position = node.cache_updates.hub_log.position
                use = node.limiter.pending()
                self._is_report_urgent = False
                report = self._make_report(sent_position)
                limits = node.upstream_limits
                if limits.hub_log.position != sent_limits_position:
                    report['limits'] = limits.rows_since(
                        sent_limits_position, to_hubs=True
                    )
                    sent_limits_position = limits.hub_log.position
                part_faults.add_to(report)
                draining.add_to(report)
                member.add_to(report)
                if use:
                    report['use'] = uses.encode(use)
                if not process:
                    report['known'] = leaf_knowledge.describe(
                        node.registry, node.cache_updates
                    )
                await channel.send(link.encode(report))
                sent_position = position
                feed = await self._receive_feed(channel)
                if feed is None:
                    return 'no feed in time'
                process = feed['process']
                try:
                    if 'hubs' in feed:
                        known_hubs = leaf_feed.decode_hubs(feed['hubs'])
                    age_s = self._apply_feed(feed, known_hubs)
                    self._record_tunnel_peers(feed, hub)
                    self._apply_limits(feed, use)
                except errors.DecodeError as error:
                    _log_unreadable(error)
                    return 'invalid feed'
                if age_s > self._max_store_age_s():
                    return 'its data from the store is too old'
                if all(known.name != hub.name for known in known_hubs):
                    # It would store nothing for this leaf any more.
                    return 'it is no hub any more'
                await self._receive_answers(channel)
            return ''
        finally:
            node.permit_keepers.link_to_hub = None
            node.load_tracker.remove_peer(process)

    def _apply_limits(
        self, feed: messages.GatewayFeed, use: dict[str, uses.Use]
    ) -> None:
        """Apply what a hub says of requests that may not be served now.

        use is what the last report said of this leaf. Raise DecodeError.
        """
        node, process = self._node, feed['process']
        node.upstream_limits.apply_rows(feed.get('limits', ()), process)
        prompt_fault_rows.apply(
            node.prompt_faults,
            feed.get('part_faults', ()),
            node.clock(),
            process,
        )
        node.registry.apply_draining_rows(feed.get('draining', ()), process)
        node.limiter.apply_hub_report(
            use,
            feed.get('reach', 0.0),
            levels.decode(feed.get('low', {})),
        )

    def _make_report(self, sent_position: int) -> messages.GatewayLoad:
        node = self._node
        return load_message(
            node, node.load_tracker.local(), sent_position, is_leaf=True
        )

    async def _receive_feed(
        self, channel: link.Channel
    ) -> messages.GatewayFeed | None:
        with trio.move_on_after(RESPONSE_TIMEOUT_S):
            while True:
                try:
                    message = link.decode(await channel.receive())
                except errors.DecodeError as error:
                    _log_unreadable(error)
                    return None
                if message is not None and message['type'] == 'feed':
                    return message
                if message is not None:
                    self._questions.handle(channel, message)
        return None

    async def _receive_answers(self, channel: link.Channel) -> None:
        """Take answers of the hub until the next report is due."""
        pause_s = MIN_PAUSE_S if self._is_report_urgent else REPORT_INTERVAL_S
        with trio.move_on_after(pause_s) as self._pause:
            await self._receive_until_cancelled(channel)

    def _shorten_pause(self) -> None:
        """Send the next report soon, as the hub may not know something."""
        self._is_report_urgent = True
        soon_s = trio.current_time() + MIN_PAUSE_S
        self._pause.deadline = min(self._pause.deadline, soon_s)

    async def _receive_until_cancelled(self, channel: link.Channel) -> None:
        while True:
            data = await channel.receive()
            try:
                message = link.decode(data)
                if message is not None:
                    self._questions.handle(channel, message)
            except errors.DecodeError as error:
                _log_unreadable(error)
                raise link.LinkClosedError('unreadable') from error

    def _max_store_age_s(self) -> float:
        return max_store_age_s(self._node.deployment.bounds.drain_s)

    def _apply_feed(
        self, feed: messages.GatewayFeed, known_hubs: tuple[hubs.Vm, ...]
    ) -> float:
        """Apply a hub's feed; return the age of its data from the store.

        known_hubs are those that the hub named last.
        """
        node, updates = self._node, self._updates
        if 'config' in feed:
            updates.apply_config(feed['config'])
        age_s = feed['age_ms'] / 1000
        node.load_tracker.update_peer(
            feed['process'], replica_load.decode(feed['loads'])
        )
        node.cache_updates.apply_rows(feed['cache'], to_hubs=False)
        self._adopt_costs(feed)
        max_age_s = self._max_store_age_s()
        if age_s <= max(max_age_s, updates.store_health.age_s):
            self._apply_replicas(feed)
            updates.store_health.record_hub_answer(age_s)
        if age_s <= max_age_s and node.is_synced():
            node.roster.set_hub_feed(
                rosters.HubFeed(
                    node.clock(),
                    feed['vms'],
                    known_hubs,
                    frozenset(feed['follow']),
                )
            )
        return age_s

    def _record_tunnel_peers(
        self, feed: messages.GatewayFeed, hub: hubs.Vm
    ) -> None:
        peers = self._node.tunnel_peers
        # The hub names itself among them if it carries tunnels.
        peers.record_report(hub.peer_address, None)
        if 'tunnel_peers' in feed:
            peers.record_named(hub.peer_address, feed['tunnel_peers'])

    def _adopt_costs(self, feed: messages.GatewayFeed) -> None:
        if self._has_costs or not feed.get('costs'):
            return
        try:
            fits = msgspec.convert(
                feed['costs'], list[prefill_costs.FittedCosts]
            )
        except msgspec.ValidationError as error:
            raise errors.DecodeError(f'bad costs: {error}') from error
        self._node.prefill_costs.seed(fits)
        self._has_costs = True

    def _apply_replicas(self, feed: messages.GatewayFeed) -> None:
        registry = self._node.registry
        try:
            received = replica_rows.decode(
                feed['replicas'], feed.get('replica_versions')
            )
        except errors.DecodeError as error:
            _log_unreadable(error)
            return
        if feed['whole']:
            registry.replace(received)
            return
        for replica in received:
            registry.put(replica)
        for name in feed['gone']:
            registry.remove(name)


class _MemberReports:
    """Adds to reports on one link what the hub stores for this leaf."""

    def __init__(self, node: nodes.Node) -> None:
        self._node = node
        self._sent_s = -math.inf
        self._sent_requests = -1

    def add_to(self, report: messages.GatewayLoad) -> None:
        """Add it if it has changed, or after a while."""
        node, now_s = self._node, self._node.clock()
        requests = node.usage_counter.request_count
        if (
            requests == self._sent_requests
            and now_s - self._sent_s < MEMBER_INTERVAL_S
        ):
            return
        self._sent_s, self._sent_requests = now_s, requests
        own = node.roster.own_vm
        windows = node.usage_counter.windows()
        report['member'] = leaf_feed.encode_member(
            leaf_records.LeafRecord(
                name=node.roster.process_name,
                vm=own.name,
                failure_domain=own.failure_domain,
                peer_address=own.peer_address,
                cores=own.cores,
                windows={str(w): counts for w, counts in windows.items()},
            )
        )


def load_message(
    node: nodes.Node,
    loads: dict[str, replica_load.Load],
    sent_position: int,
    is_leaf: bool,
) -> messages.GatewayLoad:
    """Return a VM's load report, with cache changes since sent_position."""
    current = node.active_config.catalog
    cache_changes = node.cache_updates.hub_log.since(sent_position)
    message: messages.GatewayLoad = {
        'version': link.PROTOCOL_VERSION,
        'type': 'load',
        'process': node.roster.process_name,
        'address': node.deployment.peer_address,
        'config_version': current.version if current else 0,
        'loads': replica_load.encode(loads),
        'leaf': is_leaf,
        'cache': [list(change) for _, change in cache_changes],
    }
    if node.carries_tunnels():
        message['tunnels_from'] = node.deployment.failure_domain
    return message


def _log_unreadable(error: Exception) -> None:
    loguru.logger.bind(event=events.PEER_UNREADABLE).warning('{}', error)
