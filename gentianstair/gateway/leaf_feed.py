"""Serve one leaf: apply its reports, and send it what changed since."""

import math
import typing

import msgspec

from gentianstair import errors
from gentianstair.core import draining_upstreams
from gentianstair.core import prompt_fault_rows
from gentianstair.gateway import cache_updates
from gentianstair.gateway import hubs
from gentianstair.gateway import leaf_knowledge
from gentianstair.gateway import leaf_records
from gentianstair.gateway import node as nodes
from gentianstair.gateway import replica_load
from gentianstair.gateway import replica_rows
from gentianstair.gateway import replicas
from gentianstair.gateway import store_watch
from gentianstair.generated import messages
from gentianstair.limits import levels
from gentianstair.limits import use as uses
from gentianstair.peers import link

# How long a leaf is named the same VMs that carry tunnels.
TUNNEL_PEERS_S = 5.0


class LeafFeed:
    """The hub's end of a leaf's link: how much the leaf has been sent."""

    def __init__(
        self, node: nodes.Node, store_health: store_watch.StoreHealth
    ) -> None:
        self._node = node
        self._store_health = store_health
        # The name of the leaf's process, empty until its first report.
        self._process_name = ''
        # What the leaf knew at its first report; None if it did not say.
        self._knowledge: leaf_knowledge.Knowledge | None = None
        # Positions in the change logs up to which the leaf has been sent
        # the replicas and the changes of caches (None: nothing yet).
        self._replicas_position: int | None = None
        self._cache_position: int | None = None
        # The same of the limits that replicas name.
        self._limits_position = 0
        self._part_faults = prompt_fault_rows.Feed(
            node.prompt_faults, node.clock, to_hubs=False
        )
        self._draining = draining_upstreams.Feed(
            node.registry.draining, to_hubs=False
        )
        # Where peers connect to the leaf.
        self.address = ''
        self._sent_tunnel_peers: list[list[str]] = []
        # Until when these are kept while all of them carry tunnels.
        self._peers_until_s = -math.inf
        # The hubs that it was sent last.
        self._sent_hubs: list[hubs.Vm] | None = None

    def handle_report(
        self, report: messages.GatewayLoad
    ) -> messages.GatewayFeed:
        """Apply a leaf's report; return what changed since its last one."""
        node = self._node
        if 'known' in report:
            self._knowledge = leaf_knowledge.decode(report['known'])
        if 'member' in report:
            record = decode_member(report['member'])
            if record.name != report['process']:
                raise errors.DecodeError(
                    f'{report["process"]} reports as {record.name}'
                )
            node.roster.leaf_records.put(record)
        self._process_name = report['process']
        node.roster.leaves[self._process_name] = self
        node.load_tracker.update_peer(
            self._process_name,
            replica_load.decode(report['loads']),
            from_leaf=True,
        )
        self.address = report['address']
        node.tunnel_peers.record_report(
            self.address, report.get('tunnels_from')
        )
        node.cache_updates.apply_rows(report.get('cache', ()), to_hubs=True)
        node.upstream_limits.apply_rows(
            report.get('limits', ()), report['process'], to_hubs=True
        )
        prompt_fault_rows.apply(
            node.prompt_faults,
            report.get('part_faults', ()),
            node.clock(),
            report['process'],
            to_hubs=True,
        )
        node.registry.apply_draining_rows(
            report.get('draining', ()), report['process'], to_hubs=True
        )
        node.limiter.apply_leaf(uses.decode(report.get('use', {})))
        return self._make_feed(report['config_version'])

    def close(self) -> None:
        """Forget the leaf, unless it has a newer link to this hub."""
        leaves = self._node.roster.leaves
        if leaves.get(self._process_name) is self:
            del leaves[self._process_name]
            self._node.roster.leaf_records.unlink(self._process_name)
            self._node.load_tracker.remove_peer(self._process_name)

    def _make_feed(self, known_version: int) -> messages.GatewayFeed:
        node = self._node
        is_first = self._replicas_position is None
        changed, gone, is_whole = self._new_replicas()
        feed: messages.GatewayFeed = {
            'version': link.PROTOCOL_VERSION,
            'type': 'feed',
            'process': node.roster.process_name,
            'age_ms': int(self._store_health.reported_age_s * 1000),
            'loads': replica_load.encode(
                node.load_tracker.excluding(self._process_name)
            ),
            'cache': [list(change) for change in self._new_cache_changes()],
            'replicas': replica_rows.encode(changed),
            'gone': gone,
            'whole': is_whole,
            'vms': node.roster.vm_count(),
            'follow': node.roster.assigned_replicas(self._process_name),
        }
        if changed:
            feed['replica_versions'] = replica_rows.encode_versions(changed)
        feed['reach'], low = node.limiter.report_to_leaf()
        feed['low'] = levels.encode(low)
        limits = node.upstream_limits
        if limits.log.position != self._limits_position:
            feed['limits'] = limits.rows_since(
                self._limits_position, to_hubs=False
            )
            self._limits_position = limits.log.position
        self._part_faults.add_to(feed)
        self._draining.add_to(feed)
        current_hubs = node.roster.hubs()
        if self._knowledge is None or current_hubs != self._sent_hubs:
            feed['hubs'] = encode_hubs(current_hubs)
            self._sent_hubs = current_hubs
        if is_first:
            feed['costs'] = [list(fit) for fit in node.prefill_costs.export()]
        named = self._tunnel_peers()
        if named != self._sent_tunnel_peers:
            feed['tunnel_peers'] = self._sent_tunnel_peers = named
        current = node.active_config.catalog
        if current is not None and current.version > known_version:
            feed['config'] = current.raw
        return feed

    def _tunnel_peers(self) -> list[list[str]]:
        """Return rows of VMs through which the leaf may reach replicas.

        They stay the same for a while, as ranking all peers for each report
        of each leaf would cost a hub more than its requests.
        """
        node = self._node
        now_s = node.clock()
        sent = self._sent_tunnel_peers
        if (
            sent
            and now_s < self._peers_until_s
            and node.tunnel_peers.carry_all(sent)
        ):
            return sent
        self._peers_until_s = now_s + TUNNEL_PEERS_S
        record = node.roster.leaf_records.get(self._process_name)
        return node.tunnel_peers.named_to(
            self.address,
            record.failure_domain if record else '',
            node.carries_tunnels(),
        )

    def _new_replicas(
        self,
    ) -> tuple[list[replicas.Replica], list[str], bool]:
        """Return changed replicas, removed ones, and if the list is whole."""
        registry = self._node.registry
        since = self._replicas_position
        if not registry.loaded.is_set():
            return [], [], False
        self._replicas_position = registry.changes.position
        if since is None and self._knowledge:
            missing, gone = self._knowledge.missing_replicas(registry.all())
            return missing, gone, False
        if since is None:
            return registry.all(), [], True
        changes = registry.changes.since(since)
        changed = [replica for _, replica in changes if replica]
        gone = [name for name, replica in changes if replica is None]
        return changed, gone, False

    def _new_cache_changes(self) -> list[cache_updates.Change]:
        """Return the changes of caches that the leaf may not know."""
        node, since = self._node, self._cache_position
        log = node.cache_updates.leaf_log
        self._cache_position = log.position
        changes = [change for _, change in log.since(since or 0)]
        if since is None and self._knowledge:
            return self._knowledge.missing_changes(changes, node.registry)
        return changes


def encode_hubs(known: list[hubs.Vm]) -> list[list[str]]:
    """Return hubs as rows of a message."""
    return [[hub.name, hub.failure_domain, hub.peer_address] for hub in known]


def decode_hub(row: list[str]) -> hubs.Vm:
    """Return the hub in a row of a message; raise DecodeError."""
    try:
        name, failure_domain, peer_address = row
    except ValueError as error:
        raise errors.DecodeError(f'bad hub row: {error}') from error
    return hubs.Vm(name, failure_domain, peer_address, 0.0)


def decode_hubs(rows: list[list[str]]) -> tuple[hubs.Vm, ...]:
    """Return the hubs in a message; raise DecodeError."""
    return tuple(decode_hub(row) for row in rows)


def encode_member(record: leaf_records.LeafRecord) -> dict[str, typing.Any]:
    """Return a leaf's record in the form of a report."""
    return msgspec.to_builtins(record)


def decode_member(row: dict[str, typing.Any]) -> leaf_records.LeafRecord:
    """Return the record in a leaf's report; raise DecodeError."""
    try:
        record = msgspec.convert(row, leaf_records.LeafRecord)
        leaf_records.decode_windows(record.windows)
        return record
    except (msgspec.ValidationError, ValueError) as error:
        raise errors.DecodeError(f'bad member: {error}') from error
