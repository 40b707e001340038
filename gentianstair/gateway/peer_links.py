"""Keep the links between hubs, and serve the leaves that link to this hub.

Hubs send each other their load. A VM that the store refuses, while it
answers others, queries its peers for the configuration and the replicas.
"""

import math
import random
import typing

import loguru
import trio

from gentianstair import errors
from gentianstair.core import draining_upstreams
from gentianstair.core import prompt_fault_rows
from gentianstair.gateway import hub_client
from gentianstair.gateway import leaf_feed
from gentianstair.gateway import node as nodes
from gentianstair.gateway import peer_questions
from gentianstair.gateway import peer_updates
from gentianstair.gateway import replica_load
from gentianstair.gateway import replica_rows
from gentianstair.generated import events
from gentianstair.generated import messages
from gentianstair.limits import levels
from gentianstair.limits import use as uses
from gentianstair.peers import link
from gentianstair.util import tasks

# How often a hub sends its load to each other hub. Loads older than a
# typical prefill, some 0.2 s, lead to wrong choices of replicas.
LOAD_INTERVAL_S = 0.2
# Share of LOAD_INTERVAL_S that is always waited, also when a long prefill
# is to be reported at once.
MIN_PAUSE_SHARE = 0.15
# With more peers than this the interval grows in proportion, which bounds
# the messages that a VM sends a second.
FULL_RATE_PEERS = 16
# A VM that the store has not answered for this long queries its peers.
# Longer than the timeout of a watch.
STORE_OUTAGE_S = 2.4
# Pause between queries to peers. A new configuration must be in force on
# all VMs within seconds, also on one that the store refuses.
QUERY_INTERVAL_S = 0.8
# The same while this VM lacks configuration or replicas; its callers wait.
START_QUERY_INTERVAL_S = 0.1
# Mean pause before a lost link is opened again.
MEAN_RECONNECT_S = 0.7
# How often the set of peers to link to is checked.
PEERS_CHECK_S = 0.5
# How long the leaves that are named to other hubs are reused.
SHARED_LEAVES_S = 0.5
# Timeout of receiving on a link that a peer opened.
RECEIVE_TIMEOUT_S = 5.0


class PeerLinks:
    """A hub's links: one to and one from each hub, one from each leaf."""

    def __init__(
        self,
        node: nodes.Node,
        network: link.Network,
        updates: peer_updates.PeerUpdates,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._network = network
        self._updates = updates
        self._rng = rng
        self._open_channels = node.permit_keepers.hub_links
        # Peer addresses from the seeds and from peers, for use when the
        # store does not list the VMs.
        self._known_addresses: set[str] = set(node.deployment.peer_seeds)
        self._questions = peer_questions.PeerQuestions(node)
        # Rows of leaves that carry tunnels, and until when they are reused.
        self._leaf_rows: list[list[str]] = []
        self._leaves_until_s = -math.inf
        # The highest configuration version that a peer has reported.
        self._newest_config_version = 0

    async def run(self) -> None:
        """Keep a link to each peer until cancelled."""
        async with trio.open_nursery() as nursery:
            running = tasks.Tasks(nursery)
            running.keep_running('peer-server', self._serve)
            running.keep_running('query-peers', self._query_peers)
            scopes: dict[str, trio.CancelScope] = {}
            while True:
                wanted = self._wanted_peers()
                for address in set(scopes) - wanted:
                    scopes.pop(address).cancel()
                for address in wanted - set(scopes):
                    scopes[address] = trio.CancelScope()
                    running.keep_running(
                        'hub-link',
                        self._keep_link,
                        address,
                        until=scopes[address],
                    )
                self._forget_gone_replicas()
                await trio.sleep(PEERS_CHECK_S)

    def _forget_gone_replicas(self) -> None:
        """Forget what replicas said of themselves that are gone."""
        node = self._node
        said = [
            known
            for known in (
                node.upstream_limits,
                node.upstream_backoffs,
                node.registry.draining,
            )
            if not known.is_empty()
        ]
        if not said:
            return
        runs = {replica.run for replica in node.registry.all()}
        for known in said:
            known.forget_others(runs)

    def _wanted_peers(self) -> set[str]:
        roster = self._node.roster
        if not roster.is_hub():
            return set()
        addresses = {hub.peer_address for hub in roster.hubs()}
        if len(addresses) <= 1 or self._store_is_down():
            # The store may not list all VMs.
            addresses |= self._known_addresses
        else:
            self._known_addresses = set(addresses)
        return addresses - {self._node.deployment.peer_address}

    def _store_is_down(self) -> bool:
        return self._updates.store_health.age_s > STORE_OUTAGE_S

    async def _keep_link(self, address: str) -> None:
        """Keep a link to one peer open and send it this VM's load."""
        while True:
            try:
                async with self._network.open(address) as channel:
                    await self._use_link(address, channel)
            except link.LinkClosedError as error:
                loguru.logger.bind(event=events.LINK_LOST, peer=address).debug(
                    '{}', error
                )
            await trio.sleep(MEAN_RECONNECT_S * self._rng.uniform(0.7, 1.3))

    async def _use_link(self, address: str, channel: link.Channel) -> None:
        self._open_channels[address] = channel
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_loads, channel)
                try:
                    # The peer sends only replies to queries on this link.
                    await self._receive(channel, math.inf)
                finally:
                    nursery.cancel_scope.cancel()
        except* link.LinkClosedError as group:
            raise link.LinkClosedError(str(group.exceptions[0]))
        finally:
            if self._open_channels.get(address) is channel:
                del self._open_channels[address]

    async def _send_loads(self, channel: link.Channel) -> None:
        node = self._node
        sent_position = sent_use_position = sent_limits_position = 0
        sent_leaves: list[list[str]] = []
        part_faults = prompt_fault_rows.Feed(
            node.prompt_faults, node.clock, to_hubs=True
        )
        draining = draining_upstreams.Feed(
            node.registry.draining, to_hubs=True
        )
        while True:
            told = node.load_tracker.early_reports
            cache_log = node.cache_updates.hub_log
            message = hub_client.load_message(
                node, node.load_tracker.subtree(), sent_position, is_leaf=False
            )
            sent_position = cache_log.position
            sent_use_position = self._add_limits(message, sent_use_position)
            if node.permit_keepers.keeps:
                message['keeps_permits'] = True
            limits = node.upstream_limits
            if limits.hub_log.position != sent_limits_position:
                message['limits'] = limits.rows_since(
                    sent_limits_position, to_hubs=True
                )
                sent_limits_position = limits.hub_log.position
            part_faults.add_to(message)
            draining.add_to(message)
            shared = self._shared_leaves()
            if shared != sent_leaves:
                message['tunnel_peers'] = sent_leaves = shared
            await link.send_in_time(channel, message)
            slowdown = len(self._open_channels) / FULL_RATE_PEERS
            pause_s = LOAD_INTERVAL_S * max(1.0, slowdown)
            await trio.sleep(pause_s * MIN_PAUSE_SHARE)
            with trio.move_on_after(pause_s * (1 - MIN_PAUSE_SHARE)):
                await node.load_tracker.wait_early_report(told)

    def _shared_leaves(self) -> list[list[str]]:
        """Return rows of some leaves that carry tunnels, for other hubs."""
        now_s = self._node.clock()
        if now_s >= self._leaves_until_s:
            self._leaves_until_s = now_s + SHARED_LEAVES_S
            self._leaf_rows = self._node.tunnel_peers.shared_leaves(
                {leaf.address for leaf in self._node.roster.leaves.values()}
            )
        return self._leaf_rows

    def _add_limits(
        self, message: messages.GatewayLoad, sent_position: int
    ) -> int:
        """Add the use since sent_position; return the position after it."""
        limiter = self._node.limiter
        limiter.flush_own()
        changed = limiter.hub_use.log.since(sent_position)
        message['use'] = uses.encode(dict(changed))
        message['vms'] = 1 + len(self._node.roster.leaves)
        low = limiter.report_to_hub()
        if low is not None:
            message['low'] = levels.encode(low)
        return limiter.hub_use.log.position

    async def _serve(self) -> None:
        await self._network.serve(self._accept)

    async def _accept(self, channel: link.Channel) -> None:
        """Serve a link that a peer opened; a fault ends this one alone."""
        await tasks.run_guarded('peer-link', self._serve_link, channel)

    async def _serve_link(self, channel: link.Channel) -> None:
        """Serve a link that a peer opened, a hub or a leaf."""
        leaf = leaf_feed.LeafFeed(self._node, self._updates.store_health)
        try:
            await self._receive(channel, RECEIVE_TIMEOUT_S, leaf)
        except link.LinkClosedError as error:
            loguru.logger.bind(event=events.LINK_LOST).debug('{}', error)
            await channel.aclose()
        finally:
            leaf.close()

    async def _receive(
        self,
        channel: link.Channel,
        timeout_s: float,
        leaf: leaf_feed.LeafFeed | None = None,
    ) -> None:
        while True:
            data = None
            with trio.move_on_after(timeout_s):
                data = await channel.receive()
            if data is None:
                raise link.LinkClosedError('no message from the peer in time')
            try:
                message = link.decode(data)
                if message is not None:
                    await self._handle(channel, message, leaf)
            except errors.DecodeError as error:
                # What the peer sends next can't be trusted either; the other
                # links go on.
                loguru.logger.bind(event=events.PEER_UNREADABLE).warning(
                    '{}', error
                )
                raise link.LinkClosedError('unreadable message') from error

    async def _handle(
        self,
        channel: link.Channel,
        message: link.Message,
        leaf: leaf_feed.LeafFeed | None,
    ) -> None:
        if message['type'] == 'tunnel':
            await self._node.tunnel_server.serve(channel, message)
            raise link.LinkClosedError('the tunnel has ended')
        if message['type'] == 'load' and message.get('leaf') and leaf:
            report = typing.cast(messages.GatewayLoad, message)
            await link.send_in_time(channel, leaf.handle_report(report))
        elif message['type'] == 'load':
            self._handle_load(typing.cast(messages.GatewayLoad, message))
        elif message['type'] == 'ask_news':
            if self._node.is_synced():
                reply = self._make_reply(message['config_version'])
                await link.send_in_time(channel, reply)
        elif message['type'] == 'stream_origins':
            origins = typing.cast(messages.StreamOrigins, message)
            await self._node.origin_keepers.handle_origins(origins)
        elif message['type'] == 'news':
            self._handle_reply(typing.cast(messages.GatewayNews, message))
        else:
            self._questions.handle(channel, message)

    def _handle_load(self, message: messages.GatewayLoad) -> None:
        peer_loads = replica_load.decode(message['loads'])
        self._node.load_tracker.update_peer(message['process'], peer_loads)
        self._node.cache_updates.apply_rows(
            message.get('cache', ()), to_hubs=False
        )
        self._node.limiter.apply_hub(
            message['process'],
            message.get('vms', 1),
            uses.decode(message.get('use', {})),
            levels.decode(message['low']) if 'low' in message else None,
        )
        self._node.permit_keepers.record_report(
            message['address'], message.get('keeps_permits', False)
        )
        self._node.upstream_limits.apply_rows(
            message.get('limits', ()), message['process']
        )
        prompt_fault_rows.apply(
            self._node.prompt_faults,
            message.get('part_faults', ()),
            self._node.clock(),
            message['process'],
        )
        self._node.registry.apply_draining_rows(
            message.get('draining', ()), message['process']
        )
        peers = self._node.tunnel_peers
        peers.record_report(message['address'], message.get('tunnels_from'))
        if 'tunnel_peers' in message:
            peers.record_named(message['address'], message['tunnel_peers'])
        self._known_addresses.add(message['address'])
        self._newest_config_version = max(
            self._newest_config_version, message['config_version']
        )

    def _make_reply(self, known_version: int) -> messages.GatewayNews:
        """Return the reply to a query; its type on the wire is 'news'."""
        node = self._node
        known = node.registry.all()
        reply: messages.GatewayNews = {
            'version': link.PROTOCOL_VERSION,
            'type': 'news',
            'age_ms': int(self._updates.store_health.age_s * 1000),
            'replicas': replica_rows.encode(known),
            'replica_versions': replica_rows.encode_versions(known),
            'addresses': sorted(self._known_addresses),
        }
        if node.roster.knows_fleet() and not node.roster.is_mesh():
            reply['vms'] = node.roster.vm_count()
            reply['hubs'] = leaf_feed.encode_hubs(node.roster.hubs())
        current = node.active_config.catalog
        if current is not None and current.version > known_version:
            reply['config'] = current.raw
        return reply

    def _handle_reply(self, reply: messages.GatewayNews) -> None:
        self._known_addresses.update(reply['addresses'])
        self._adopt_hubs(reply)
        if 'config' in reply:
            self._updates.apply_config(reply['config'])
        age_s = reply['age_ms'] / 1000
        self._updates.store_health.record_peer_answer(age_s)
        if (
            not self._store_is_down()
            or age_s > self._updates.store_health.age_s
        ):
            return
        try:
            known = replica_rows.decode(
                reply['replicas'], reply.get('replica_versions')
            )
        except errors.DecodeError as error:
            loguru.logger.bind(event=events.PEER_UNREADABLE).warning(
                '{}', error
            )
            return
        self._node.registry.replace(known)

    def _adopt_hubs(self, reply: messages.GatewayNews) -> None:
        """Become a leaf if nothing else has told of the fleet."""
        if 'hubs' not in reply or 'vms' not in reply:
            return
        known = leaf_feed.decode_hubs(reply['hubs'])
        if known and not self._node.roster.knows_fleet():
            self._node.roster.remember_hubs(reply['vms'], list(known))

    def _config_is_behind(self) -> bool:
        current = self._node.active_config.catalog
        return (
            current.version if current else 0
        ) < self._newest_config_version

    async def _query_peers(self) -> None:
        """Query a peer while the store is down or a peer has newer config.

        Each query goes to a random peer, as the store may refuse some of
        them, too.
        """
        while True:
            is_synced = self._node.is_synced()
            await trio.sleep(
                QUERY_INTERVAL_S if is_synced else START_QUERY_INTERVAL_S
            )
            if not self._open_channels or not (
                self._store_is_down() or self._config_is_behind()
            ):
                continue
            address = self._rng.choice(sorted(self._open_channels))
            current = self._node.active_config.catalog
            query: messages.GatewayAsk = {
                'version': link.PROTOCOL_VERSION,
                'type': 'ask_news',
                'config_version': current.version if current else 0,
            }
            try:
                await link.send_in_time(self._open_channels[address], query)
            except link.LinkClosedError as error:
                loguru.logger.bind(event=events.LINK_LOST, peer=address).debug(
                    '{}', error
                )


async def run(node: nodes.Node, updates: peer_updates.PeerUpdates) -> None:
    """Keep this process's links, as a hub or a leaf, until cancelled."""
    deployment = node.deployment
    network = link.WebsocketNetwork(
        deployment.peer_address, None, node.process_limits.peer_connections
    )
    links = PeerLinks(node, network, updates, random.Random(deployment.vm))
    client = hub_client.HubClient(node, network, updates)
    async with trio.open_nursery() as nursery:
        running = tasks.Tasks(nursery)
        running.keep_running('hub-links', links.run)
        running.keep_running('path-keeper', node.path_keeper.run)
        running.keep_running('hub-client', client.run)
        running.keep_running('tell-streams', node.origin_keepers.run)


__all__ = ['PeerLinks', 'run']
