"""Tell one leaf what this hub knows, and count the leaf's work as its own."""

import typing

from gentianstair import errors
from gentianstair.gateway import hubs
from gentianstair.gateway import loads
from gentianstair.gateway import node as nodes
from gentianstair.gateway import store_watch
from gentianstair.generated import messages
from gentianstair.peers import link


class LeafFeed:
    """The hub's end of one leaf's link: what that leaf has been told."""

    def __init__(
        self, node: nodes.Node, store_health: store_watch.StoreHealth
    ) -> None:
        self._node = node
        self._store_health = store_health
        # The leaf's process, empty until it has said it.
        self._leaf = ''
        self._replicas_at: int | None = None
        self._cache_at = 0

    def handle_report(
        self, report: messages.GatewayLoad
    ) -> messages.GatewayFeed:
        """Take a leaf's word and return what is new since the last one."""
        node = self._node
        self._leaf = report['process']
        node.roster.leaves[self._leaf] = self
        node.work.tell(
            self._leaf, loads.decode(report['loads']), passed_on=True
        )
        node.cache_news.apply_rows(report.get('cache', ()), to_hubs=True)
        return self._news(report['config_version'])

    def close(self) -> None:
        """Forget the leaf, unless it has a newer link to this hub."""
        leaves = self._node.roster.leaves
        if leaves.get(self._leaf) is self:
            del leaves[self._leaf]
            self._node.work.forget(self._leaf)

    def _news(self, known_version: int) -> messages.GatewayFeed:
        node = self._node
        replicas, gone, whole = self._replicas()
        cache = node.cache_news.leaf_log.since(self._cache_at)
        self._cache_at = node.cache_news.leaf_log.position
        feed: messages.GatewayFeed = {
            'version': link.VERSION,
            'type': 'feed',
            'process': node.roster.process_name,
            'age_ms': int(self._store_health.reported_age_s * 1000),
            'loads': loads.encode(node.work.without(self._leaf)),
            'cache': [list(change) for _, change in cache],
            'replicas': replicas,
            'gone': gone,
            'whole': whole,
            'vms': node.roster.vm_count(),
            'hubs': [encode_hub(hub) for hub in node.roster.hubs()],
            'follow': node.roster.assigned_replicas(self._leaf),
        }
        force = node.force.catalog
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
