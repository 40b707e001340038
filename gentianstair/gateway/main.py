"""Run the gentianstair-gateway program, one process on each entry VM."""

import collections.abc
import functools
import os
import pathlib
import random
import sys
import time
import typing

import loguru
import trio

from gentianstair import errors
from gentianstair.control import lease
from gentianstair.core import ejection
from gentianstair.core import grace_period
from gentianstair.gateway import autoscaler
from gentianstair.gateway import cache_updates
from gentianstair.gateway import cache_watch
from gentianstair.gateway import catalog
from gentianstair.gateway import deployment
from gentianstair.gateway import environment
from gentianstair.gateway import handler
from gentianstair.gateway import hub_client
from gentianstair.gateway import hub_list
from gentianstair.gateway import hubs
from gentianstair.gateway import joining
from gentianstair.gateway import leader_tasks
from gentianstair.gateway import members as memberships
from gentianstair.gateway import monitoring
from gentianstair.gateway import node as nodes
from gentianstair.gateway import peer_links
from gentianstair.gateway import peer_updates
from gentianstair.gateway import placement
from gentianstair.gateway import prefill_costs
from gentianstair.gateway import prefix_index
from gentianstair.gateway import reload
from gentianstair.gateway import replica_load
from gentianstair.gateway import replicas
from gentianstair.gateway import retry_budget
from gentianstair.gateway import roster as rosters
from gentianstair.gateway import store_watch
from gentianstair.gateway import usage_counter
from gentianstair.generated import events
from gentianstair.platform import cloud_client
from gentianstair.platform import configuration
from gentianstair.platform import object_store
from gentianstair.platform import registry_entries
from gentianstair.platform import settings_file
from gentianstair.store import confirmed_write
from gentianstair.upstreams import transport
from gentianstair.util import clock
from gentianstair.util import connections
from gentianstair.util import line_writer
from gentianstair.util import logs
from gentianstair.util import serving
from gentianstair.util import steady_wall_clock

# How long new connections are accepted after a stop is requested. The load
# balancer checks readiness each second and needs two failures to notice.
BALANCER_DRAIN_S = 2.6
# Reserved at the end of the grace period for the last writes to the store.
FINAL_WRITES_S = 1.0
# Least share of the grace period in which requests may complete, even if less
# than the reserved time is left after it.
REQUEST_GRACE_SHARE = 0.85
# How long idle connections to replicas are kept; shorter than the keep-alive
# timeout of any replica that does not announce one.
REPLICA_IDLE_TIMEOUT_S = 1.0
# Grace period of the servers of the readiness check and the metrics.
READY_GRACE_S = 0.1
# Pause before failed background work is restarted.
FAULT_BACKOFF_S = 1.0
# How long a leaf's last report to its hub may take.
LAST_REPORT_S = 0.1
# How long to wait for the log buffer to drain before exiting on an error.
LAST_LINE_TIMEOUT_S = 0.5


class ProcessParts(typing.NamedTuple):
    """The components of one process, none of them running yet."""

    node: nodes.Node
    members: memberships.Members
    lease_manager: lease.LeaseManager
    usage_reporter: leader_tasks.UsageReporter
    autoscaler: autoscaler.Autoscaler
    store_health: store_watch.StoreHealth


def make_process_parts(
    live: deployment.LiveSettings, nursery: trio.Nursery
) -> ProcessParts:
    """Return the components of a process for a deployment."""
    vm_settings = live.current
    now = clock.boottime_s
    store = object_store.connect(vm_settings.store_address, vm_settings.vm)
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
    members = memberships.Members(
        store,
        name,
        record,
        counts,
        now,
        vm_settings.store_writes_per_s,
        costs,
    )
    node = _make_node(live, store, counts, members, costs, nursery)
    lease_manager = lease.make_lease_manager(
        store, name, now, leader_tasks.lease_timing(bounds.lease_s)
    )
    platform = cloud_client.CloudClient(
        vm_settings.duties_address, vm_settings.vm
    )
    store_health = store_watch.StoreHealth(now)
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


def _make_node(
    live: deployment.LiveSettings,
    store: object_store.ObjectStore,
    counts: usage_counter.UsageCounter,
    members: memberships.Members,
    costs: prefill_costs.PrefillCosts,
    nursery: trio.Nursery,
) -> nodes.Node:
    now = clock.boottime_s
    vm_settings = live.current
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
    return nodes.Node(
        live_settings=live,
        clock=now,
        started_s=now(),
        active_config=nodes.ActiveConfig(),
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
        ejector=ejection.Ejector(),
        transport=transport.make_transport(idle_s=REPLICA_IDLE_TIMEOUT_S),
        store=store,
        usage_counter=counts,
        draining=trio.Event(),
        grace_period=grace_period.GracePeriod(),
        nursery=nursery,
    )


def _apply_catalog(node: nodes.Node, new_catalog: catalog.Catalog) -> None:
    if node.active_config.apply(new_catalog):
        node.registry.max_cache_calls = min(
            (
                s.engine.max_cache_calls
                for s in new_catalog.services.values()
                if s.engine
            ),
            default=replicas.DEFAULT_CACHE_CALLS,
        )
        loguru.logger.bind(
            event=events.CONFIG, version=new_catalog.version
        ).info('configuration {} is active', new_catalog.version)


def _watch_sources(process: ProcessParts) -> list[store_watch.Source]:
    node = process.node
    bounds = node.deployment.bounds
    return [
        store_watch.config_source(
            configuration.decode,
            configuration.NAME,
            configuration.KIND,
            functools.partial(_apply_catalog, node),
            bounds.config_apply_s,
        ),
        store_watch.replica_source(
            registry_entries.decode,
            registry_entries.KIND,
            node.registry,
            bounds.drain_s,
        ),
    ]


async def _run_background(
    process: ProcessParts, first_start_spread_s: float
) -> None:
    """Find the hubs, then run the tasks that every process runs."""
    node = process.node
    is_first_start = node.deployment.whole_system_starts
    await joining.learn_hubs(
        node.store,
        process.members,
        node.roster,
        first_start_spread_s if is_first_start else 0.0,
    )
    updates = peer_updates.PeerUpdates(
        configuration.decode,
        functools.partial(_apply_catalog, node),
        process.store_health,
    )
    async with trio.open_nursery() as nursery:
        links = functools.partial(peer_links.run, node, updates)
        nursery.start_soon(restart_on_fault, links)
        await joining.wait_for_feed(node.roster)
        for work in _store_readers(process):
            nursery.start_soon(restart_on_fault, work)


def _store_readers(
    process: ProcessParts,
) -> list[collections.abc.Callable[[], collections.abc.Awaitable[None]]]:
    """Return the tasks that read the store unless a hub feeds this VM."""
    node = process.node
    roster = node.roster
    policy = store_watch.ReadPolicy(roster.has_hub_feed, roster.vm_count)
    watches = [
        functools.partial(
            store_watch.follow,
            node.store,
            source,
            process.store_health,
            policy,
        )
        for source in _watch_sources(process)
    ]
    feeds = memberships.Feeds(roster.has_hub_feed, roster.is_hub)
    return [
        *watches,
        functools.partial(process.members.run, feeds),
        functools.partial(cache_watch.run, node),
    ]


async def restart_on_fault(
    work: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Run background work and restart it after an unexpected exception.

    Otherwise a fault in it would end the process and cut off all requests.
    """
    while True:
        try:
            await work()
            return
        except errors.LeaseLostError:
            raise
        except Exception:
            loguru.logger.bind(event=events.FAULT).exception(
                'background work failed, restarting it'
            )
        await trio.sleep(FAULT_BACKOFF_S)


async def _run_duties(
    process: ProcessParts, authority: lease.Authority
) -> None:
    async with trio.open_nursery() as nursery:
        publisher = hub_list.Publisher(process.node.store, process.node.roster)
        for duty in (
            process.usage_reporter.run,
            process.autoscaler.run,
            publisher.run,
        ):
            nursery.start_soon(
                restart_on_fault, functools.partial(duty, authority)
            )


async def _campaign_for_duties(process: ProcessParts) -> None:
    """Campaign for the lease, and run the duties while it is held."""
    vm_settings = process.node.deployment
    if not vm_settings.whole_system_starts:
        # An earlier process on this VM may just have held the lease; the pause
        # lets other VMs take it, as between two terms of one holder.
        await trio.sleep(
            leader_tasks.lease_timing(vm_settings.bounds.lease_s).cooldown_s
        )
    scopes = {leader_tasks.SCOPE: functools.partial(_run_duties, process)}
    roster = process.node.roster

    def offered_scopes() -> dict[str, lease.HolderTask]:
        return scopes if roster.is_duty_candidate() else {}

    async with trio.open_nursery() as nursery:
        nursery.start_soon(process.lease_manager.run, offered_scopes)
        while True:
            process.lease_manager.candidates = (
                process.members.lease_candidates(
                    leader_tasks.takeover_delay_s(vm_settings.bounds.lease_s),
                    {vm.name for vm in roster.duty_candidates()},
                )
            )
            await trio.sleep(leader_tasks.POLL_INTERVAL_S)


def request_grace_s(grace_s: float) -> float:
    """Return how long requests may still run after a stop is requested.

    No request is ended before the last sixth of the grace period.
    """
    reserved_s = grace_period.RESPONSE_FLUSH_S + FINAL_WRITES_S
    return max(REQUEST_GRACE_SHARE * grace_s, grace_s - reserved_s)


def connection_grace_s(grace_s: float) -> float:
    """Return how long connections may last after a stop is requested."""
    return min(
        request_grace_s(grace_s) + grace_period.RESPONSE_FLUSH_S, grace_s
    )


def _idle_limit_s(node: nodes.Node) -> float:
    """Return how long callers may reuse an idle connection."""
    active_catalog = node.active_config.catalog
    return active_catalog.limits.idle_timeout_s if active_catalog else 0.0


async def _drain(node: nodes.Node, stop_requested: trio.Event) -> None:
    """Wait for a stop, then drain until the load balancer has noticed."""
    await stop_requested.wait()
    loguru.logger.bind(event=events.STOPPING).info('stopping')
    node.draining.set()
    node.grace_period.expire_in(
        request_grace_s(node.deployment.bounds.grace_s)
    )
    await trio.sleep(BALANCER_DRAIN_S)


async def _record_last_counts(process: ProcessParts) -> None:
    """Store the usage counts of a process that stops."""
    if process.node.roster.has_hub_feed():
        # The next report has them, and the hub stores them.
        await trio.sleep(hub_client.REPORT_INTERVAL_S + LAST_REPORT_S)
    else:
        await process.members.write_heartbeat()


async def run(
    file: pathlib.Path,
    vm_settings: deployment.Deployment,
    env_settings: environment.EnvironmentSettings = environment.DEFAULTS,
) -> None:
    """Serve until stopped, then let running requests complete."""
    stop_requested = serving.watch_stop_signals()
    live = deployment.LiveSettings(vm_settings)
    callers = serving.listen(vm_settings.callers_address)
    ready_sock = serving.listen(vm_settings.ready_address)
    async with trio.open_nursery() as nursery:
        process = make_process_parts(live, nursery)
        node = process.node
        reloader = reload.Reloader(file, live, settings_file.read)
        nursery.start_soon(reloader.run)
        apps = [(monitoring.make_readiness_app(node), ready_sock)]
        if env_settings.metrics_port is not None:
            sock = serving.listen(
                f'{vm_settings.ip}:{env_settings.metrics_port}'
            )
            apps.append((monitoring.make_metrics_app(), sock))
        for app, sock in apps:
            nursery.start_soon(
                functools.partial(
                    serving.serve,
                    app,
                    sock,
                    monitoring.serve_until_cancelled,
                    READY_GRACE_S,
                )
            )
        nursery.start_soon(
            _run_background, process, env_settings.first_start_spread_s
        )
        async with trio.open_nursery() as duty_nursery:
            duty_nursery.start_soon(_campaign_for_duties, process)
            loguru.logger.bind(event=events.STARTED).info('serving')
            await serving.serve(
                handler.make_app(node),
                callers,
                functools.partial(_drain, node, stop_requested),
                connection_grace_s(vm_settings.bounds.grace_s)
                - BALANCER_DRAIN_S,
                keep_alive_s=env_settings.keep_alive_s,
                min_keep_alive_s=functools.partial(_idle_limit_s, node),
            )
            duty_nursery.cancel_scope.cancel()
        with trio.move_on_after(FINAL_WRITES_S / 2):
            await _record_last_counts(process)
        loguru.logger.bind(event=events.STOPPED).info('stopped')
        nursery.cancel_scope.cancel()


def _leaf_errors(error: BaseException) -> list[BaseException]:
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [leaf for part in error.exceptions for leaf in _leaf_errors(part)]


def log_unexpected_exit(
    error: Exception, writer: line_writer.LineWriter
) -> None:
    """Log why the process exits unexpectedly, and flush the line.

    Log lines of the requests that are cut off come just before; they may
    have exhausted the rate limit and filled the buffer.
    """
    reason = '; '.join(f'{type(e).__name__}: {e}' for e in _leaf_errors(error))
    writer.drain(LAST_LINE_TIMEOUT_S)
    writer.allow_one_line()
    loguru.logger.opt(exception=error).bind(
        event=events.ENDED,
        error=reason,
        requests_cut=connections.count_cut(
            connections.EndReason.PROCESS_ENDED
        ),
    ).critical('the process exits on an unexpected error')
    writer.drain(LAST_LINE_TIMEOUT_S)


def _run(file: pathlib.Path, vm_settings: deployment.Deployment) -> None:
    writer = line_writer.LineWriter(sys.stdout.fileno(), time.monotonic)
    logs.setup('INFO', vm_settings.vm, vm_settings.failure_domain, writer)
    try:
        trio.run(run, file, vm_settings, environment.read(os.environ))
    except errors.UserError:
        raise
    except Exception as error:
        log_unexpected_exit(error, writer)
        sys.exit(1)


def main() -> None:
    """Read the settings and run; print a settings error as one line."""
    try:
        file = settings_file.path()
        _run(file, settings_file.read(file))
    except errors.UserError as error:
        print(error, file=sys.stderr)
        sys.exit(1)
