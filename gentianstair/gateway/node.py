"""Hold the components that the tasks of a gateway process share."""

import typing

import trio

from gentianstair.core import byte_account
from gentianstair.core import ejection
from gentianstair.core import grace_period
from gentianstair.core import path_keeper
from gentianstair.core import places
from gentianstair.core import process_limits
from gentianstair.core import prompt_faults
from gentianstair.core import recent_rejections
from gentianstair.core import upstream_backoffs
from gentianstair.core import upstream_limits
from gentianstair.core import upstream_paths
from gentianstair.core import upstream_permits
from gentianstair.gateway import cache_updates
from gentianstair.gateway import catalog
from gentianstair.gateway import deployment
from gentianstair.gateway import end_checks
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
from gentianstair.gateway import retry_budget
from gentianstair.gateway import roster
from gentianstair.gateway import tunnel_peers
from gentianstair.gateway import usage_counter
from gentianstair.limits import limiter
from gentianstair.peers import tunnel
from gentianstair.store import store as stores
from gentianstair.upstreams import transport as transports
from gentianstair.util import clock as clocks
from gentianstair.util import tasks


class ActiveConfig:
    """The active configuration; its version only increases."""

    def __init__(self) -> None:
        self.catalog: catalog.Catalog | None = None
        # Set once a configuration has been applied.
        self.loaded = trio.Event()

    def apply(self, new_catalog: catalog.Catalog) -> bool:
        """Activate a catalog if it is newer; return whether it was."""
        if self.catalog and new_catalog.version <= self.catalog.version:
            return False
        self.catalog = new_catalog
        self.loaded.set()
        return True


class Node(typing.NamedTuple):
    """The shared components of one gateway process."""

    live_settings: deployment.LiveSettings
    clock: clocks.Clock
    # Unix time, which ignores short jumps of the VM's clock.
    wall_clock: clocks.Clock
    started_s: float
    active_config: ActiveConfig
    registry: replicas.Registry
    load_tracker: replica_load.LoadTracker
    prefix_index: prefix_index.PrefixIndex
    cache_updates: cache_updates.CacheUpdates
    roster: roster.Roster
    prefill_costs: prefill_costs.PrefillCosts
    placement: placement.Placement
    retry_budget: retry_budget.RetryBudget
    limiter: limiter.Limiter
    upstream_limits: upstream_limits.UpstreamLimits
    permit_keepers: permit_keepers.PermitKeepers
    upstream_permits: upstream_permits.UpstreamPermits
    upstream_backoffs: upstream_backoffs.UpstreamBackoffs
    recent_rejections: recent_rejections.RecentRejections
    origin_keepers: origin_keepers.OriginKeepers
    prompt_faults: prompt_faults.PromptFaults
    part_trials: part_trials.PartTrials
    end_checks: end_checks.EndChecks
    # Whose process is at the other end of a connection to a replica.
    process_starts: process_starts.ProcessStarts
    ejector: ejection.Ejector
    paths: upstream_paths.UpstreamPaths
    transport: transports.Transport
    replica_client: replica_client.ReplicaClient
    tunnel_peers: tunnel_peers.TunnelPeers
    tunnel_server: tunnel.TunnelServer
    process_limits: process_limits.ProcessLimits
    byte_account: byte_account.ByteAccount
    # Of requests under way at replicas.
    places: places.Places
    path_keeper: path_keeper.PathKeeper
    store: stores.Store
    usage_counter: usage_counter.UsageCounter
    # Set when a shutdown begins; responses then close their connections.
    draining: trio.Event
    grace_period: grace_period.GracePeriod
    # Runs what outlives a request, such as freeing a KV cache.
    tasks: tasks.Tasks

    def is_synced(self) -> bool:
        """Return whether configuration and replicas have been read."""
        return (
            self.active_config.loaded.is_set()
            and self.registry.loaded.is_set()
        )

    async def wait_synced(self) -> None:
        """Return when configuration and replicas have been read."""
        await self.active_config.loaded.wait()
        await self.registry.loaded.wait()

    def carries_tunnels(self) -> bool:
        """Return whether this process carries tunnels to replicas now."""
        return self.tunnel_server.has_room and not self.paths.is_cut()

    @property
    def deployment(self) -> deployment.Deployment:
        """Return the current settings."""
        return self.live_settings.current
