"""Link the hubs: tell loads, and learn from them when the store is away.

The store may refuse some VMs while it serves the others and the operator. A
VM that it refuses would go on with old keys and routes, so it asks its peers
for what they have read.
"""

import math
import random
import typing

import loguru
import msgspec
import trio

from gentianstair import errors
from gentianstair.gateway import hub_link
from gentianstair.gateway import knowledge as knowledges
from gentianstair.gateway import leaf_link
from gentianstair.gateway import loads
from gentianstair.gateway import node as nodes
from gentianstair.gateway import replicas
from gentianstair.generated import events
from gentianstair.generated import messages
from gentianstair.peers import link

# Loads are told this often. A choice of a replica goes wrong when it is made
# on a load older than the time in which a prompt is read, some 0.2 s.
TELL_S = 0.2
# Share of that pause which is kept also when there is more to tell.
LEAST_PAUSE_SHARE = 0.15
# With more peers than this they are told less often, so that telling costs
# a VM the same.
FULL_RATE_PEERS = 16
# A VM asks its peers when the store has not answered for this long: a watch
# that waits in vain is answered sooner.
STORE_AWAY_S = 2.4
# Pause between questions; a configuration must be in force everywhere
# within seconds although the store refuses this VM.
ASK_S = 0.8
# Mean pause before a lost link is opened again.
RECONNECT_S = 0.7
LOOK_S = 0.5
# The longest that one message may take to be sent before the link is dropped.
SEND_S = 1.0
# A peer that tells nothing for so long has gone without a word.
SILENT_S = 5.0


class Links:
    """Links of a hub: one to and one from each other, one from each leaf."""

    def __init__(
        self,
        node: nodes.Node,
        network: link.Network,
        knowledge: knowledges.Knowledge,
        chance: random.Random,
    ) -> None:
        self._node = node
        self._network = network
        self._knowledge = knowledge
        self._random = chance
        self._open: dict[str, link.Channel] = {}
        # Addresses heard of from seeds and peers, beside the members'.
        self._heard: set[str] = set(node.deployment.peer_seeds)
        # The highest version of the configuration a peer says it has.
        self._newest_version = 0

    async def run(self) -> None:
        """Keep the links until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._network.serve, self._accept)
            nursery.start_soon(self._ask_when_away)
            linked: dict[str, trio.CancelScope] = {}
            while True:
                wanted = self._wanted()
                for address in set(linked) - wanted:
                    linked.pop(address).cancel()
                for address in wanted - set(linked):
                    linked[address] = trio.CancelScope()
                    nursery.start_soon(self._keep, address, linked[address])
                await trio.sleep(LOOK_S)

    def _wanted(self) -> set[str]:
        roster = self._node.roster
        if not roster.is_hub():
            return set()
        found = {hub.peer_address for hub in roster.hubs()}
        if len(found) <= 1 or self._away():
            # The store does not show who is there.
            found |= self._heard
        else:
            self._heard = set(found)
        return found - {self._node.deployment.peer_address}

    def _away(self) -> bool:
        return self._knowledge.touch.age_s > STORE_AWAY_S

    async def _keep(self, address: str, scope: trio.CancelScope) -> None:
        """Keep a link to one peer open and tell it this VM's load."""
        with scope:
            while True:
                try:
                    async with self._network.open(address) as channel:
                        await self._speak(address, channel)
                except link.LinkClosedError as error:
                    loguru.logger.bind(
                        event=events.LINK_LOST, peer=address
                    ).debug('{}', error)
                await trio.sleep(RECONNECT_S * self._random.uniform(0.7, 1.3))

    async def _speak(self, address: str, channel: link.Channel) -> None:
        self._open[address] = channel
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._tell, channel)
                try:
                    # Only answers to questions come back on it.
                    await self._hear(channel, math.inf)
                finally:
                    nursery.cancel_scope.cancel()
        except* link.LinkClosedError as group:
            raise link.LinkClosedError(str(group.exceptions[0]))
        finally:
            if self._open.get(address) is channel:
                del self._open[address]

    async def _tell(self, channel: link.Channel) -> None:
        node = self._node
        told_at = 0
        while True:
            news = node.cache_news.mine
            message = leaf_link.load_message(
                node, node.loads.part(), told_at, leaf=False
            )
            told_at = news.position
            await _send(channel, message)
            crowd = len(self._open) / FULL_RATE_PEERS
            pause_s = TELL_S * max(1.0, crowd)
            await trio.sleep(pause_s * LEAST_PAUSE_SHARE)
            with trio.move_on_after(pause_s * (1 - LEAST_PAUSE_SHARE)):
                await node.loads.wait_long()

    async def _accept(self, channel: link.Channel) -> None:
        """Serve a link that a peer opened."""
        leaf = hub_link.HubLink(self._node, self._knowledge.touch)
        try:
            await self._hear(channel, SILENT_S, leaf)
        except link.LinkClosedError as error:
            loguru.logger.bind(event=events.LINK_LOST).debug('{}', error)
            await channel.aclose()
        finally:
            leaf.end()

    async def _hear(
        self,
        channel: link.Channel,
        limit_s: float,
        leaf: hub_link.HubLink | None = None,
    ) -> None:
        while True:
            data = None
            with trio.move_on_after(limit_s):
                data = await channel.receive()
            if data is None:
                raise link.LinkClosedError('silent')
            try:
                message = link.decode(data)
                if message is not None:
                    await self._take(channel, message, leaf)
            except errors.DecodeError as error:
                # One peer's fault must not end the links to all others.
                loguru.logger.bind(event=events.PEER_UNREADABLE).warning(
                    '{}', error
                )

    async def _take(
        self,
        channel: link.Channel,
        message: link.Message,
        leaf: hub_link.HubLink | None,
    ) -> None:
        if message['type'] == 'load' and message.get('leaf') and leaf:
            told = typing.cast(messages.GatewayLoad, message)
            await _send(channel, leaf.answer(told))
        elif message['type'] == 'load':
            self._take_load(typing.cast(messages.GatewayLoad, message))
        elif message['type'] == 'ask_news':
            await _send(channel, self._news(message['config_version']))
        elif message['type'] == 'news':
            self._take_news(typing.cast(messages.GatewayNews, message))

    def _take_load(self, message: messages.GatewayLoad) -> None:
        found = loads.decode(message['loads'])
        self._node.loads.tell(message['process'], found)
        self._node.cache_news.take(message.get('cache', ()), passed_on=False)
        self._heard.add(message['address'])
        self._newest_version = max(
            self._newest_version, message['config_version']
        )

    def _news(self, known_version: int) -> messages.GatewayNews:
        node = self._node
        news: messages.GatewayNews = {
            'version': link.VERSION,
            'type': 'news',
            'age_ms': int(self._knowledge.touch.age_s * 1000),
            'replicas': [list(r) for r in node.registry.all()],
            'addresses': sorted(self._heard),
        }
        force = node.active_config.catalog
        if force is not None and force.version > known_version:
            news['config'] = force.raw
        return news

    def _take_news(self, news: messages.GatewayNews) -> None:
        self._heard.update(news['addresses'])
        if 'config' in news:
            self._knowledge.take_config(news['config'])
        age_s = news['age_ms'] / 1000
        self._knowledge.touch.served_other(age_s)
        if not self._away() or age_s > self._knowledge.touch.age_s:
            return
        try:
            known = msgspec.convert(news['replicas'], list[replicas.Replica])
        except msgspec.ValidationError as error:
            loguru.logger.bind(event=events.PEER_UNREADABLE).warning(
                '{}', error
            )
            return
        self._node.registry.replace(known, after_outage=False)

    def _behind(self) -> bool:
        force = self._node.active_config.catalog
        return (force.version if force else 0) < self._newest_version

    async def _ask_when_away(self) -> None:
        """Ask a peer for news while the store is silent or others know more.

        A different peer is asked each time: one may be cut off as well.
        """
        while True:
            await trio.sleep(ASK_S)
            if not self._open or not (self._away() or self._behind()):
                continue
            address = self._random.choice(sorted(self._open))
            force = self._node.active_config.catalog
            ask: messages.GatewayAsk = {
                'version': link.VERSION,
                'type': 'ask_news',
                'config_version': force.version if force else 0,
            }
            try:
                await _send(self._open[address], ask)
            except link.LinkClosedError as error:
                loguru.logger.bind(event=events.LINK_LOST, peer=address).debug(
                    '{}', error
                )


async def _send(channel: link.Channel, message: typing.Any) -> None:
    """Send a message; a peer that takes none for long is dropped.

    A silent connection or a frozen peer would otherwise hold the link's
    task for minutes while new connections work.
    """
    with trio.move_on_after(SEND_S) as scope:
        await channel.send(link.encode(message))
    if scope.cancelled_caught:
        await channel.aclose()
        raise link.LinkClosedError('the peer takes nothing')


async def run(node: nodes.Node, knowledge: knowledges.Knowledge) -> None:
    """Keep the links of a process, as a hub or a leaf, until cancelled."""
    found = node.deployment
    network = link.WebsocketNetwork(found.peer_address, None)
    links = Links(node, network, knowledge, random.Random(found.vm))
    to_hub = leaf_link.LeafLink(node, network, knowledge)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(links.run)
        nursery.start_soon(to_hub.run)


__all__ = ['Links', 'run']
