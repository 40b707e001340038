"""Make the components of one gateway process, none of them running yet."""

import functools
import random
import time
import typing

import trio

from gentianstair import errors
from gentianstair.control import lease
from gentianstair.core import byte_account
from gentianstair.core import ejection
from gentianstair.core import grace_period
from gentianstair.core import path_keeper
from gentianstair.core import peer_choice
from gentianstair.core import places
from gentianstair.core import process_limits
from gentianstair.core import prompt_fault_rows
from gentianstair.core import prompt_faults
from gentianstair.core import recent_rejections
from gentianstair.core import upstream_backoffs
from gentianstair.core import upstream_connector
from gentianstair.core import upstream_limits
from gentianstair.core import upstream_paths
from gentianstair.core import upstream_permits
from gentianstair.gateway import autoscaler
from gentianstair.gateway import cache_updates
from gentianstair.gateway import deployment
from gentianstair.gateway import end_checks
from gentianstair.gateway import forward
from gentianstair.gateway import hubs
from gentianstair.gateway import leader_tasks
from gentianstair.gateway import members as memberships
from gentianstair.gateway import node as nodes
from gentianstair.gateway import origin_keepers
from gentianstair.gateway import part_trials
from gentianstair.gateway import permit_keepers
from gentianstair.gateway import placement
from gentianstair.gateway import prefill_costs
from gentianstair.gateway import prefix_index
from gentianstair.gateway import process_starts
from gentianstair.gateway import replica_client
from gentianstair.gateway import replica_load
from gentianstair.gateway import replicas
from gentianstair.gateway import request_choices
from gentianstair.gateway import retry_budget
from gentianstair.gateway import roster as rosters
from gentianstair.gateway import store_watch
from gentianstair.gateway import tunnel_directory
from gentianstair.gateway import tunnel_peers
from gentianstair.gateway import usage_counter
from gentianstair.limits import limiter
from gentianstair.limits import rate_limit
from gentianstair.limits import reach
from gentianstair.peers import link
from gentianstair.peers import tunnel
from gentianstair.platform import cloud_client
from gentianstair.platform import object_store
from gentianstair.store import confirmed_write
from gentianstair.upstreams import transport
from gentianstair.util import clock
from gentianstair.util import steady_wall_clock
from gentianstair.util import tasks as tasks_module

# How long idle connections to replicas are kept; shorter than the keep-alive
# timeout of any replica that does not announce one.
REPLICA_IDLE_TIMEOUT_S = 1.0
# Tunnels of peers, each of two descriptors, that a VM carries; most of its
# descriptors and of its processor are for its own callers.
MAX_TUNNELS_PER_FD = 1 / 16


class ProcessParts(typing.NamedTuple):
    """The components of one process, none of them running yet."""

    node: nodes.Node
    members: memberships.Members
    lease_manager: lease.LeaseManager
    usage_reporter: leader_tasks.UsageReporter
    autoscaler: autoscaler.Autoscaler
    store_health: store_watch.StoreHealth


def make_process_parts(
    live: deployment.LiveSettings, tasks: tasks_module.Tasks
) -> ProcessParts:
    """Return the components of a process for a deployment."""
    vm_settings = live.current
    now = clock.boottime_s
    store = object_store.connect(
        lambda: live.current.store_address, vm_settings.vm
    )
    bounds = vm_settings.bounds
    wall_clock = steady_wall_clock.SteadyWallClock(time.time, now)
    counts = usage_counter.UsageCounter(wall_clock, bounds.usage_window_s)
    name = f'{vm_settings.vm}.{confirmed_write.new_nonce()}'
    record = memberships.Record(
        vm=vm_settings.vm,
        failure_domain=vm_settings.failure_domain,
        peer_address=vm_settings.peer_address,
        beat=0,
        windows={},
        cores=vm_settings.cores,
    )
    costs = prefill_costs.PrefillCosts()
    faults = prompt_faults.PromptFaults(now)
    members = memberships.Members(
        store,
        name,
        record,
        counts,
        now,
        vm_settings.store_writes_per_s,
        costs,
        prompt_fault_rows.HeldParts(faults, now, wall_clock),
    )
    node = _make_node(
        live, store, counts, members, costs, faults, wall_clock, tasks
    )
    lease_manager = lease.make_lease_manager(
        store, name, now, leader_tasks.lease_timing(bounds.lease_s)
    )
    platform = cloud_client.CloudClient(
        lambda: live.current.duties_address, vm_settings.vm
    )
    store_health = store_watch.StoreHealth(now)
    versions = node.registry.versions
    versions.age_s = lambda: store_health.age_s
    versions.is_of_first_start = live.current.whole_system_starts
    usage_reporter = leader_tasks.UsageReporter(
        store,
        members,
        platform,
        counts,
        leader_tasks.ReportTiming(bounds.usage_window_s, bounds.usage_late_s),
        wall_clock,
    )
    scaler = autoscaler.Autoscaler(node, platform, store_health)
    return ProcessParts(
        node, members, lease_manager, usage_reporter, scaler, store_health
    )


def _retry_limits(live: deployment.LiveSettings) -> retry_budget.Limits:
    bounds = live.current.bounds
    return retry_budget.Limits(
        bounds.retry_ratio,
        bounds.retry_allowance,
        bounds.retry_window_s,
    )


def _make_limiter(
    live: deployment.LiveSettings,
    active_config: nodes.ActiveConfig,
    roster: rosters.Roster,
) -> limiter.Limiter:
    def limits_of(customer: str) -> rate_limit.RateLimit | None:
        active = active_config.catalog
        return active.rate_limits.get(customer) if active else None

    fleet = reach.Fleet(
        roster.is_hub, roster.known_vm_count, lambda: len(roster.leaves)
    )
    return limiter.Limiter(
        limits_of,
        lambda: live.current.bounds.limit_tolerance,
        fleet,
        clock.boottime_s,
        random.Random(live.current.vm),
        starts_full=live.current.whole_system_starts,
    )


async def _open_replica(
    registry: replicas.Registry,
    connector: upstream_connector.UpstreamConnector,
    backoffs: upstream_backoffs.UpstreamBackoffs,
    name: str,
    limit_s: float,
) -> trio.abc.Stream:
    """Connect to a replica for a peer; raise KeyError for an unknown name.

    Raise UnreachableError also while it wants nothing of this VM.
    """
    replica = registry.get(name)
    if replica is None:
        raise KeyError(name)
    if backoffs.pause_s(replica.run) > 0:
        raise errors.UnreachableError('the replica asked for a pause')
    limit_s = min(limit_s, forward.CONNECT_TIMEOUT_S)
    return await connector.connect_directly(replica.address, limit_s)


def _make_origin_keepers(
    links: origin_keepers.Links,
    registry: replicas.Registry,
    roster: rosters.Roster,
    own_address: str,
    now: clock.Clock,
) -> origin_keepers.OriginKeepers:
    """Return what this VM and others know of streams."""
    found = origin_keepers.OriginKeepers(
        links,
        registry.versions,
        now,
        lambda: {
            hub.peer_address: hub.failure_domain
            for hub in roster.hubs()
            if hub.peer_address != own_address
        },
    )
    found.on_untold_start = lambda origin: registry.record_heard(
        origin.service, origin.run
    )
    return found


def _record_pause(
    registry: replicas.Registry,
    backoffs: upstream_backoffs.UpstreamBackoffs,
    name: str,
    pause_s: float,
) -> None:
    """Take a pause of which a peer was told through this VM's tunnel."""
    replica = registry.get(name)
    if replica is not None:
        backoffs.record_pause(replica.run, pause_s)


def _make_node(
    live: deployment.LiveSettings,
    store: object_store.ObjectStore,
    counts: usage_counter.UsageCounter,
    members: memberships.Members,
    costs: prefill_costs.PrefillCosts,
    faults: prompt_faults.PromptFaults,
    wall_clock: clock.Clock,
    tasks: tasks_module.Tasks,
) -> nodes.Node:
    now = clock.boottime_s
    vm_settings = live.current
    own_limits = process_limits.derive(
        vm_settings.memory_mb, vm_settings.max_fds
    )
    load_tracker = replica_load.LoadTracker(now)
    index = prefix_index.PrefixIndex()
    registry = replicas.Registry(now)
    own_vm = hubs.Vm(
        vm_settings.vm,
        vm_settings.failure_domain,
        vm_settings.peer_address,
        vm_settings.cores,
    )
    roster = rosters.Roster(own_vm, members, registry, now)
    active_config = nodes.ActiveConfig()
    draining = trio.Event()
    paths = upstream_paths.UpstreamPaths(now)
    peers = tunnel_peers.TunnelPeers(
        peer_choice.TunnelPeer(own_vm.failure_domain, own_vm.peer_address),
        now,
        random.Random(vm_settings.vm),
    )
    connector = upstream_connector.UpstreamConnector(
        paths,
        tunnel_directory.TunnelDirectory(registry, peers),
        link.WebsocketNetwork(vm_settings.peer_address, None),
        tasks,
        now,
    )
    replica_transport = transport.make_transport(
        connector, REPLICA_IDLE_TIMEOUT_S
    )
    limits = _make_limiter(live, active_config, roster)
    known_limits = upstream_limits.UpstreamLimits(now)
    backoffs = upstream_backoffs.UpstreamBackoffs(
        now, random.Random(vm_settings.vm)
    )
    client = replica_client.ReplicaClient(
        replica_transport,
        registry,
        known_limits,
        backoffs,
        now,
        lambda: request_choices.sure_to_serve_s(live.current.bounds.drain_s),
    )
    keepers = permit_keepers.PermitKeepers(
        permit_keepers.Fleet(
            vm_settings.peer_address,
            roster.is_hub,
            draining.is_set,
            limits.reach,
            roster.vm_count,
        ),
        known_limits,
        now,
    )
    faults.listeners.append(load_tracker.ask_early_report)
    tunnel_server = tunnel.TunnelServer(
        functools.partial(_open_replica, registry, connector, backoffs),
        int(vm_settings.max_fds * MAX_TUNNELS_PER_FD),
        draining,
        functools.partial(_record_pause, registry, backoffs),
    )
    backoffs.listeners.append(lambda run: tunnel_server.ask_to_leave(run.name))
    return nodes.Node(
        live_settings=live,
        clock=now,
        wall_clock=wall_clock,
        started_s=now(),
        active_config=active_config,
        registry=registry,
        load_tracker=load_tracker,
        prefix_index=index,
        cache_updates=cache_updates.CacheUpdates(index),
        roster=roster,
        prefill_costs=costs,
        placement=placement.Placement(
            vm_settings.failure_domain,
            load_tracker,
            index,
            costs,
            random.Random(vm_settings.vm),
        ),
        retry_budget=retry_budget.RetryBudget(
            functools.partial(_retry_limits, live),
            now,
            roster.vm_count,
            restarted=not vm_settings.whole_system_starts,
        ),
        limiter=limits,
        upstream_limits=known_limits,
        permit_keepers=keepers,
        upstream_permits=upstream_permits.UpstreamPermits(
            known_limits, keepers, now, random.Random(vm_settings.vm)
        ),
        upstream_backoffs=backoffs,
        recent_rejections=recent_rejections.RecentRejections(now),
        origin_keepers=_make_origin_keepers(
            keepers, registry, roster, vm_settings.peer_address, now
        ),
        prompt_faults=faults,
        part_trials=part_trials.PartTrials(faults, keepers, now),
        end_checks=end_checks.EndChecks(
            functools.partial(forward.fetch_report, client, fresh=True),
            registry.record_process,
            now,
        ),
        process_starts=process_starts.ProcessStarts(
            functools.partial(forward.fetch_report, client),
            registry.record_process,
            registry.starts,
            tasks,
        ),
        ejector=ejection.Ejector(),
        paths=paths,
        transport=replica_transport,
        replica_client=client,
        tunnel_peers=peers,
        tunnel_server=tunnel_server,
        process_limits=own_limits,
        byte_account=byte_account.ByteAccount(own_limits.held_bytes),
        places=places.Places(own_limits.requests),
        path_keeper=path_keeper.PathKeeper(
            connector, replica_transport, now, random.Random(vm_settings.vm)
        ),
        store=store,
        usage_counter=counts,
        draining=draining,
        grace_period=grace_period.GracePeriod(),
        tasks=tasks,
    )
