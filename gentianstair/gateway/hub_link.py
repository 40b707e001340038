"""Tell one leaf what this hub knows, and count the leaf's work as its own."""

import typing

from gentianstair import errors
from gentianstair.gateway import following
from gentianstair.gateway import hubs
from gentianstair.gateway import loads
from gentianstair.gateway import node as nodes
from gentianstair.generated import messages
from gentianstair.peers import link


class HubLink:
    """The hub's end of one leaf's link: what that leaf has been told."""

    def __init__(self, node: nodes.Node, touch: following.Touch) -> None:
        self._node = node
        self._touch = touch
        # The leaf's process, empty until it has said it.
        self._leaf = ''
        self._replicas_at: int | None = None
        self._cache_at = 0

    def answer(self, told: messages.GatewayLoad) -> messages.GatewayFeed:
        """Take a leaf's word and return what is new since the last one."""
        node = self._node
        self._leaf = told['process']
        node.roster.leaves[self._leaf] = self
        node.loads.tell(
            self._leaf, loads.decode(told['loads']), passed_on=True
        )
        node.cache_news.take(told.get('cache', ()), passed_on=True)
        return self._news(told['config_version'])

    def end(self) -> None:
        """Forget the leaf, unless it has a newer link to this hub."""
        leaves = self._node.roster.leaves
        if leaves.get(self._leaf) is self:
            del leaves[self._leaf]
            self._node.loads.forget(self._leaf)

    def _news(self, known_version: int) -> messages.GatewayFeed:
        node = self._node
        replicas, gone, whole = self._replicas()
        cache = node.cache_news.known.since(self._cache_at)
        self._cache_at = node.cache_news.known.position
        feed: messages.GatewayFeed = {
            'version': link.VERSION,
            'type': 'feed',
            'process': node.roster.process,
            'age_ms': int(self._touch.told_age_s * 1000),
            'loads': loads.encode(node.loads.without(self._leaf)),
            'cache': [list(change) for _, change in cache],
            'replicas': replicas,
            'gone': gone,
            'whole': whole,
            'vms': node.roster.count(),
            'hubs': [encode_hub(hub) for hub in node.roster.hubs()],
            'follow': node.roster.follows_of(self._leaf),
        }
        force = node.active_config.catalog
        if force is not None and force.version > known_version:
            feed['config'] = force.raw
        return feed

    def _replicas(self) -> tuple[list[list[typing.Any]], list[str], bool]:
        """Return replicas that are new to the leaf, those gone, and if all."""
        registry = self._node.registry
        since = self._replicas_at
        if not registry.known.is_set():
            return [], [], False
        self._replicas_at = registry.changes.position
        if since is None:
            return [list(replica) for replica in registry.all()], [], True
        changes = registry.changes.since(since)
        there = [list(replica) for _, replica in changes if replica]
        gone = [name for name, replica in changes if replica is None]
        return there, gone, False


def encode_hub(hub: hubs.Vm) -> list[str]:
    """Return a hub as leaves are told of it."""
    return [hub.name, hub.failure_domain, hub.peer_address]


def decode_hub(row: list[str]) -> hubs.Vm:
    """Return a hub from what a leaf was told; raise DecodeError."""
    try:
        name, failure_domain, peer_address = row
    except ValueError as error:
        raise errors.DecodeError(f'a hub: {error}') from error
    return hubs.Vm(name, failure_domain, peer_address, 0.0)
