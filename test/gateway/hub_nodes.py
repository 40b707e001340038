"""Make the parts of a node that the links of hubs and leaves use."""

import random
import types

from gentianstair.core import peer_choice
from gentianstair.core import prompt_faults
from gentianstair.core import upstream_limits
from gentianstair.core import upstream_permits
from gentianstair.gateway import cache_updates
from gentianstair.gateway import hubs
from gentianstair.gateway import leaf_records
from gentianstair.gateway import origin_keepers
from gentianstair.gateway import part_trials
from gentianstair.gateway import permit_keepers
from gentianstair.gateway import prefill_costs
from gentianstair.gateway import prefix_index
from gentianstair.gateway import replica_load
from gentianstair.gateway import replicas
from gentianstair.gateway import roster as rosters
from gentianstair.gateway import tunnel_peers
from gentianstair.gateway import usage_counter
from gentianstair.limits import limiter
from gentianstair.limits import rate_limit
from gentianstair.limits import reach
from gentianstair.util import clock as clocks


def clock():
    """Return the time at which all of it happens."""
    return 100.0


def make_limiter(roster, now):
    """Return a limiter under which the customer 'club' has a limit."""
    limits = {'club': rate_limit.RateLimit(1000.0, 1000.0, True, 200)}
    return limiter.Limiter(
        limits.get,
        rate_limit.Tolerance,
        reach.Fleet(
            roster.is_hub, roster.known_vm_count, lambda: len(roster.leaves)
        ),
        now,
        random.Random(1),
        starts_full=True,
    )


def make_tunnel_peers(vm, now):
    """Return the peers that a VM knows to carry tunnels: none yet."""
    own = peer_choice.TunnelPeer(vm.failure_domain, vm.peer_address)
    return tunnel_peers.TunnelPeers(own, now, random.Random(1))


def make_permits(roster, own_address, limits, registry, now):
    """Return the parts of a node that know what other VMs told it."""
    known = upstream_limits.UpstreamLimits(now)
    keepers = permit_keepers.PermitKeepers(
        permit_keepers.Fleet(
            own_address,
            roster.is_hub,
            lambda: False,
            limits.reach,
            roster.vm_count,
        ),
        known,
        now,
    )
    permits = upstream_permits.UpstreamPermits(
        known, keepers, now, random.Random(1)
    )
    faults = prompt_faults.PromptFaults(now)
    return {
        'tasks': None,
        'prompt_faults': faults,
        'part_trials': part_trials.PartTrials(faults, keepers, now),
        'origin_keepers': origin_keepers.OriginKeepers(
            keepers, registry.versions, now
        ),
        'upstream_limits': known,
        'permit_keepers': keepers,
        'upstream_permits': permits,
    }


def make_node():
    """Return the parts of a node that a hub's links use."""
    members = types.SimpleNamespace(
        name='vm-1.cd',
        count=lambda: 2,
        listed_at_s=clock(),
        alive_vms=dict,
        leaves=leaf_records.LeafRecords(
            usage_counter.UsageCounter(clock, 5.0)
        ),
    )
    registry = replicas.Registry(clock)
    own = types.SimpleNamespace(
        name='vm-1', failure_domain='a', peer_address='10.0.0.1:1'
    )
    roster = rosters.Roster(own, members, registry, clock)
    roster.hubs = list
    roster.assigned_replicas = lambda process: []
    limits = make_limiter(roster, clock)
    return types.SimpleNamespace(
        **make_permits(roster, own.peer_address, limits, registry, clock),
        roster=roster,
        limiter=limits,
        clock=clock,
        load_tracker=replica_load.LoadTracker(clock),
        cache_updates=cache_updates.CacheUpdates(prefix_index.PrefixIndex()),
        prefill_costs=prefill_costs.PrefillCosts(),
        registry=registry,
        tunnel_peers=make_tunnel_peers(own, clock),
        carries_tunnels=lambda: True,
        active_config=types.SimpleNamespace(catalog=None),
        deployment=types.SimpleNamespace(
            peer_seeds=(), peer_address='10.0.0.1:1', failure_domain='a'
        ),
    )


def make_leaf():
    """Return the parts of a leaf's node, which knows hub-0 as its hub.

    Its clock is that of trio.
    """
    now = clocks.trio_time_s
    members = types.SimpleNamespace(
        name='leaf.1', listed_at_s=now(), count=lambda: 2, alive_vms=dict
    )
    registry = replicas.Registry(now)
    own = hubs.Vm('leaf', 'a', '10.0.0.99:1', 0.5)
    roster = rosters.Roster(own, members, registry, now)
    roster.remember_hubs(195, [hubs.Vm('hub-0', 'a', 'hub-0:1', 0.0)])
    limits = make_limiter(roster, now)
    return types.SimpleNamespace(
        **make_permits(roster, own.peer_address, limits, registry, now),
        roster=roster,
        limiter=limits,
        clock=now,
        registry=registry,
        tunnel_peers=make_tunnel_peers(own, now),
        carries_tunnels=lambda: True,
        load_tracker=replica_load.LoadTracker(now),
        cache_updates=cache_updates.CacheUpdates(prefix_index.PrefixIndex()),
        prefill_costs=prefill_costs.PrefillCosts(),
        usage_counter=usage_counter.UsageCounter(now, 5.0),
        active_config=types.SimpleNamespace(catalog=None),
        is_synced=lambda: True,
        deployment=types.SimpleNamespace(
            peer_address='10.0.0.99:1',
            failure_domain='a',
            bounds=types.SimpleNamespace(drain_s=2.0),
        ),
    )


def make_feed(process, hub_rows):
    """Return the message with which a hub feeds a leaf, with nothing new."""
    return {
        'type': 'feed',
        'process': process,
        'age_ms': 10,
        'loads': {},
        'cache': [],
        'replicas': [],
        'gone': [],
        'whole': True,
        'vms': 195,
        'hubs': hub_rows,
        'follow': [],
    }
