"""Run the tasks of a gateway process that serve no request by themselves."""

import functools

import loguru
import trio

from gentianstair.control import lease
from gentianstair.gateway import cache_watch
from gentianstair.gateway import catalog
from gentianstair.gateway import hub_client
from gentianstair.gateway import hub_list
from gentianstair.gateway import joining
from gentianstair.gateway import leader_tasks
from gentianstair.gateway import members as memberships
from gentianstair.gateway import node as nodes
from gentianstair.gateway import peer_links
from gentianstair.gateway import peer_updates
from gentianstair.gateway import process_parts
from gentianstair.gateway import replicas
from gentianstair.gateway import store_watch
from gentianstair.generated import events
from gentianstair.platform import configuration
from gentianstair.platform import registry_entries
from gentianstair.util import tasks

# How long a leaf's last report to its hub may take.
LAST_REPORT_S = 0.1


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


def _watch_sources(
    process: process_parts.ProcessParts,
) -> dict[str, store_watch.Source]:
    node = process.node
    bounds = node.deployment.bounds
    return {
        'watch-config': store_watch.config_source(
            configuration.decode,
            configuration.NAME,
            configuration.KIND,
            functools.partial(_apply_catalog, node),
            bounds.config_apply_s,
        ),
        'watch-replicas': store_watch.replica_source(
            registry_entries.decode,
            registry_entries.KIND,
            node.registry,
            bounds.drain_s,
        ),
    }


async def run(
    process: process_parts.ProcessParts, first_start_spread_s: float
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
        running = tasks.Tasks(nursery)
        running.keep_running('links', peer_links.run, node, updates)
        await joining.wait_for_feed(node.roster)
        for name, work in _store_readers(process).items():
            running.keep_running(name, work)


def _store_readers(
    process: process_parts.ProcessParts,
) -> dict[str, tasks.Work]:
    """Return the tasks that read the store unless a hub feeds this VM."""
    node = process.node
    roster = node.roster
    policy = store_watch.ReadPolicy(
        roster.has_hub_feed, roster.store_reader_count
    )
    watches = {
        name: functools.partial(
            store_watch.follow,
            node.store,
            source,
            process.store_health,
            policy,
        )
        for name, source in _watch_sources(process).items()
    }
    role = memberships.Role(
        roster.has_hub_feed, roster.is_hub, roster.remembers_hubs
    )
    return {
        **watches,
        'members': functools.partial(process.members.run, role),
        'cache-watch': functools.partial(cache_watch.run, node),
    }


async def _run_duties(
    process: process_parts.ProcessParts, authority: lease.Authority
) -> None:
    async with trio.open_nursery() as nursery:
        publisher = hub_list.Publisher(process.node.store, process.node.roster)
        duties = tasks.Tasks(nursery)
        duties.keep_running(
            'report-usage', process.usage_reporter.run, authority
        )
        duties.keep_running('scale', process.autoscaler.run, authority)
        duties.keep_running('publish-hubs', publisher.run, authority)


async def campaign_for_duties(process: process_parts.ProcessParts) -> None:
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
        tasks.Tasks(nursery).keep_running(
            'lease', process.lease_manager.run, offered_scopes
        )
        while True:
            process.lease_manager.candidates = (
                process.members.lease_candidates(
                    leader_tasks.takeover_delay_s(vm_settings.bounds.lease_s),
                    {vm.name for vm in roster.duty_candidates()},
                )
            )
            await trio.sleep(leader_tasks.POLL_INTERVAL_S)


async def record_last_counts(process: process_parts.ProcessParts) -> None:
    """Store the usage counts of a process that stops."""
    if process.node.roster.has_hub_feed():
        # The next report has them, and the hub stores them.
        await trio.sleep(hub_client.REPORT_INTERVAL_S + LAST_REPORT_S)
    else:
        await process.members.write_heartbeat()
