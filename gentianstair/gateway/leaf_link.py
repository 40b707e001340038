"""Keep a leaf's one link to a hub, and take from it what it has to know."""

import loguru
import msgspec
import trio

from gentianstair import errors
from gentianstair.gateway import hub_link
from gentianstair.gateway import hubs
from gentianstair.gateway import knowledge as knowledges
from gentianstair.gateway import loads
from gentianstair.gateway import node as nodes
from gentianstair.gateway import replicas
from gentianstair.gateway import roster as rosters
from gentianstair.generated import events
from gentianstair.generated import messages
from gentianstair.peers import link

# A leaf tells its load and is told all others' this often.
ASK_S = 0.25
# A hub that is silent for so long may be frozen or cut off.
ANSWER_S = 0.5
OPEN_S = 0.6
# A hub that did not answer, or does not see the store, is tried again after
# this time.
AVOID_S = 4.0
# A hub whose store answered it longer ago than this is left for another. With
# the time to notice its silence it stays well below the two seconds in which
# a leaving replica may get new work; a hub's own watch takes less than this.
OLD_S = 0.9
# Pause while there is no hub to go to, or none that was not left lately.
LOOK_S = 0.5


class LeafLink:
    """The leaf's end of its link; it moves to another hub when it must."""

    def __init__(
        self,
        node: nodes.Node,
        network: link.Network,
        knowledge: knowledges.Knowledge,
    ) -> None:
        self._node = node
        self._network = network
        self._knowledge = knowledge
        # Until when a hub is passed over, by its VM.
        self._avoided_s: dict[str, float] = {}

    async def run(self) -> None:
        """Stay with a hub while this VM is a leaf, until cancelled."""
        while True:
            hub = self._choose()
            if hub is not None and self._is_avoided(hub):
                # All were left lately, as while the store is away. A leaf
                # that went on at once would open hundreds of links a second,
                # at a cost to itself and to the hubs.
                await trio.sleep(LOOK_S)
                hub = self._choose()
            if hub is None:
                await trio.sleep(LOOK_S)
                continue
            await self._stay(hub)

    def _is_avoided(self, hub: hubs.Vm) -> bool:
        return self._avoided_s.get(hub.name, 0.0) > self._node.clock()

    def _choose(self) -> hubs.Vm | None:
        """Return the hub to go to, None if this VM needs none."""
        roster = self._node.roster
        if roster.is_hub():
            return None
        own, now_s = roster.own, self._node.clock()
        found = hubs.preferred(own.name, own.failure_domain, roster.hubs())
        return min(
            found,
            # All others being avoided, the one that was left longest ago.
            key=lambda hub: max(now_s, self._avoided_s.get(hub.name, 0.0)),
            default=None,
        )

    async def _stay(self, hub: hubs.Vm) -> None:
        """Be told by one hub for as long as it knows what goes on."""
        why = 'no connection in time'
        try:
            with trio.CancelScope() as opening:
                opening.deadline = trio.current_time() + OPEN_S
                async with self._network.open(hub.peer_address) as channel:
                    opening.deadline = float('inf')
                    why = await self._converse(channel)
        except link.LinkClosedError as error:
            why = str(error)
        if not why:
            return
        # What this hub said last must not pass for current.
        self._node.roster.forget_told()
        self._avoided_s[hub.name] = self._node.clock() + AVOID_S
        loguru.logger.bind(event=events.LINK_LOST, peer=hub.name).info(
            'a hub is left: {}', why
        )

    async def _converse(self, channel: link.Channel) -> str:
        """Tell and be told; return why the hub is left, '' for no fault."""
        node = self._node
        told_at = 0
        process = ''
        try:
            while not node.roster.is_hub():
                position = node.cache_news.mine.position
                await channel.send(link.encode(self._word(told_at)))
                told_at = position
                feed = await self._hear(channel)
                if feed is None:
                    return 'silent'
                process = feed['process']
                try:
                    age_s = self._take(feed)
                except errors.DecodeError as error:
                    _unreadable(error)
                    return 'unreadable'
                if age_s > OLD_S:
                    return 'the store does not answer it'
                await trio.sleep(ASK_S)
            return ''
        finally:
            node.loads.forget(process)

    def _word(self, told_at: int) -> messages.GatewayLoad:
        node = self._node
        return load_message(node, node.loads.own(), told_at, leaf=True)

    async def _hear(
        self, channel: link.Channel
    ) -> messages.GatewayFeed | None:
        with trio.move_on_after(ANSWER_S):
            while True:
                try:
                    message = link.decode(await channel.receive())
                except errors.DecodeError as error:
                    _unreadable(error)
                    return None
                if message is not None and message['type'] == 'feed':
                    return message
        return None

    def _take(self, feed: messages.GatewayFeed) -> float:
        """Take what a hub says; return the age of what it knows."""
        node, knowledge = self._node, self._knowledge
        if 'config' in feed:
            knowledge.take_config(feed['config'])
        age_s = feed['age_ms'] / 1000
        node.loads.tell(feed['process'], loads.decode(feed['loads']))
        node.cache_news.take(feed['cache'], passed_on=False)
        if age_s <= max(OLD_S, knowledge.touch.age_s):
            self._take_replicas(feed)
            knowledge.touch.heard(age_s)
        if age_s <= OLD_S and node.is_synced():
            node.roster.tell(
                rosters.Told(
                    node.clock(),
                    feed['vms'],
                    tuple(hub_link.decode_hub(row) for row in feed['hubs']),
                    frozenset(feed['follow']),
                )
            )
        return age_s

    def _take_replicas(self, feed: messages.GatewayFeed) -> None:
        registry = self._node.registry
        try:
            known = msgspec.convert(feed['replicas'], list[replicas.Replica])
        except msgspec.ValidationError as error:
            _unreadable(error)
            return
        if feed['whole']:
            registry.replace(known, after_outage=False)
            return
        for replica in known:
            registry.put(replica)
        for name in feed['gone']:
            registry.remove(name)


def load_message(
    node: nodes.Node,
    work: dict[str, loads.Load],
    told_at: int,
    leaf: bool,
) -> messages.GatewayLoad:
    """Return what a VM tells of its load, and of caches since told_at."""
    force = node.active_config.catalog
    cache = node.cache_news.mine.since(told_at)
    return {
        'version': link.VERSION,
        'type': 'load',
        'process': node.roster.process,
        'address': node.deployment.peer_address,
        'config_version': force.version if force else 0,
        'loads': loads.encode(work),
        'leaf': leaf,
        'cache': [list(change) for _, change in cache],
    }


def _unreadable(error: Exception) -> None:
    loguru.logger.bind(event=events.PEER_UNREADABLE).warning('{}', error)
