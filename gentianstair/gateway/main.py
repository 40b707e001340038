"""Run the program gentianstair-gateway: one process on each entry VM."""

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
from gentianstair.gateway import cache_news
from gentianstair.gateway import cache_watch
from gentianstair.gateway import catalog
from gentianstair.gateway import deployment
from gentianstair.gateway import duties
from gentianstair.gateway import environment
from gentianstair.gateway import fleet as fleets
from gentianstair.gateway import following
from gentianstair.gateway import handler
from gentianstair.gateway import hubs
from gentianstair.gateway import knowledge as knowledges
from gentianstair.gateway import links
from gentianstair.gateway import loads
from gentianstair.gateway import members as memberships
from gentianstair.gateway import node as nodes
from gentianstair.gateway import placement
from gentianstair.gateway import prefix_cache
from gentianstair.gateway import read_costs
from gentianstair.gateway import ready
from gentianstair.gateway import reload
from gentianstair.gateway import repeats
from gentianstair.gateway import replicas
from gentianstair.gateway import roster as rosters
from gentianstair.gateway import usage
from gentianstair.generated import events
from gentianstair.platform import cloud
from gentianstair.platform import configuration
from gentianstair.platform import objects
from gentianstair.platform import registry
from gentianstair.platform import settings
from gentianstair.store import settled
from gentianstair.upstreams import transport
from gentianstair.util import clock
from gentianstair.util import connections
from gentianstair.util import line_writer
from gentianstair.util import logs
from gentianstair.util import serving
from gentianstair.util import steady_wall

# The balancer asks each second and needs two refusals; until then it sends
# new connections here.
LEAVE_S = 2.6
# Left of the grace for the last writes.
LAST_WRITES_S = 1.0
# Share of a short grace in which requests may end, whatever that leaves.
ANSWERED_SHARE = 0.85
# Connections to replicas are kept for less than any of them keeps an idle
# one that it says nothing about.
REPLICA_IDLE_S = 1.0
READY_GRACE_S = 0.1
# Pause before background work that failed is begun anew.
FAULT_PAUSE_S = 1.0
# Longest wait for the log's reader before the process ends by itself.
LAST_LINE_S = 0.5


class Process(typing.NamedTuple):
    """The parts of one process, none of them running yet."""

    node: nodes.Node
    members: memberships.Members
    leases: lease.LeaseManager
    reporter: duties.UsageReporter
    fleet: fleets.Fleet
    touch: following.Touch


def make_process(live: deployment.Live, nursery: trio.Nursery) -> Process:
    """Return the parts of a process for a deployment."""
    found = live.value
    now = clock.boottime_s
    store = objects.connect(found.store_address, found.vm)
    bounds = found.bounds
    wall = steady_wall.SteadyWall(time.time, now)
    counts = usage.Counts(wall, bounds.usage_window_s)
    name = f'{found.vm}.{settled.new_nonce()}'
    record = memberships.Record(
        vm=found.vm,
        failure_domain=found.failure_domain,
        peer_address=found.peer_address,
        beat=0,
        windows={},
        cores=found.cores,
    )
    costs = read_costs.ReadCosts()
    members = memberships.Members(
        store, name, record, counts, now, found.store_writes_per_s, costs
    )
    node = _make_node(live, store, counts, members, costs, nursery)
    leases = lease.make_lease_manager(
        store, name, now, duties.lease_terms(bounds.lease_s)
    )
    platform = cloud.Cloud(found.duties_address, found.vm)
    touch = following.Touch(now)
    reporter = duties.UsageReporter(
        store,
        members,
        platform,
        counts,
        duties.Terms(bounds.usage_window_s, bounds.usage_late_s),
        wall,
    )
    fleet = fleets.Fleet(node, platform, touch)
    return Process(node, members, leases, reporter, fleet, touch)


def _repeat_terms(live: deployment.Live) -> repeats.Terms:
    bounds = live.value.bounds
    return repeats.Terms(
        bounds.repeat_ratio,
        bounds.repeat_allowance,
        bounds.repeat_window_s,
    )


def _make_node(
    live: deployment.Live,
    store: objects.ObjectStore,
    counts: usage.Counts,
    members: memberships.Members,
    costs: read_costs.ReadCosts,
    nursery: trio.Nursery,
) -> nodes.Node:
    now = clock.boottime_s
    found = live.value
    work = loads.Loads(now)
    cache = prefix_cache.PrefixCache()
    registry = replicas.Registry(now)
    own = hubs.Vm(
        found.vm, found.failure_domain, found.peer_address, found.cores
    )
    roster = rosters.Roster(own, members, registry, now)
    return nodes.Node(
        live=live,
        clock=now,
        started_s=now(),
        force=nodes.Force(),
        registry=registry,
        work=work,
        cache=cache,
        cache_news=cache_news.CacheNews(cache),
        roster=roster,
        read_costs=costs,
        placement=placement.Placement(
            found.failure_domain,
            work,
            cache,
            costs,
            random.Random(found.vm),
        ),
        repeats=repeats.Repeats(
            functools.partial(_repeat_terms, live),
            now,
            roster.count,
            restarted=not found.whole_system_starts,
        ),
        ejector=ejection.Ejector(),
        transport=transport.make_transport(idle_s=REPLICA_IDLE_S),
        store=store,
        usage=counts,
        leaving=trio.Event(),
        grace=grace_period.GracePeriod(),
        nursery=nursery,
    )


def _take_catalog(node: nodes.Node, found: catalog.Catalog) -> None:
    if node.force.take(found):
        node.registry.cache_calls = min(
            (
                s.engine.cache_calls
                for s in found.services.values()
                if s.engine
            ),
            default=replicas.CACHE_CALLS,
        )
        loguru.logger.bind(event=events.CONFIG, version=found.version).info(
            'configuration {} is in force', found.version
        )


def _sources(process: Process) -> list[following.Source]:
    node = process.node
    return [
        following.config_source(
            configuration.decode,
            configuration.NAME,
            configuration.KIND,
            functools.partial(_take_catalog, node),
        ),
        following.replica_source(
            registry.decode, registry.KIND, node.registry
        ),
    ]


def _background(
    process: Process,
) -> list[collections.abc.Callable[[], collections.abc.Awaitable[None]]]:
    """Return what a process does beside the requests and the duties."""
    node = process.node
    knowledge = knowledges.Knowledge(
        configuration.decode,
        functools.partial(_take_catalog, node),
        process.touch,
    )
    turn = following.Turn(node.roster.is_told, node.roster.count)
    follow = [
        functools.partial(
            following.follow, node.store, source, process.touch, turn
        )
        for source in _sources(process)
    ]
    return [
        *follow,
        functools.partial(process.members.run, node.roster.is_told),
        functools.partial(links.run, node, knowledge),
        functools.partial(cache_watch.run, node),
    ]


async def contain(
    work: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Do work beside the requests; a fault in it ends nothing else.

    Callers' requests run in the same process and would all be cut.
    """
    while True:
        try:
            await work()
            return
        except errors.LeaseLostError:
            raise
        except Exception:
            loguru.logger.bind(event=events.FAULT).exception(
                'background work failed'
            )
        await trio.sleep(FAULT_PAUSE_S)


async def _do_duties(process: Process, authority: lease.Authority) -> None:
    async with trio.open_nursery() as nursery:
        for duty in (process.reporter.run, process.fleet.run):
            nursery.start_soon(contain, functools.partial(duty, authority))


async def _hold_duties(process: Process) -> None:
    """Compete for the lease, and do the duties while it is held."""
    found = process.node.deployment
    if not found.whole_system_starts:
        # The process before this one may have held the lease a moment ago;
        # to take it right after another would be taking turns.
        await trio.sleep(duties.lease_terms(found.bounds.lease_s).cooldown_s)
    scopes = {duties.SCOPE: functools.partial(_do_duties, process)}
    roster = process.node.roster

    def scopes_here() -> dict[str, lease.HolderTask]:
        # Each look at the lease is a call to the store; a few VMs that look
        # are enough to have it taken.
        return scopes if roster.is_hub() else {}

    async with trio.open_nursery() as nursery:
        nursery.start_soon(process.leases.run, scopes_here)
        while True:
            process.leases.candidates = process.members.candidates(
                duties.watch_s(found.bounds.lease_s),
                {hub.name for hub in roster.hubs()},
            )
            await trio.sleep(duties.LOOK_S)


def answered_s(grace_s: float) -> float:
    """Return how long after a stop is asked for requests may end.

    Replicas that are at work in the last sixth of the grace are given up.
    """
    left_s = grace_period.RESPONSE_FLUSH_S + LAST_WRITES_S
    return max(ANSWERED_SHARE * grace_s, grace_s - left_s)


def served_s(grace_s: float) -> float:
    """Return how long after a stop is asked for connections may last."""
    return min(answered_s(grace_s) + grace_period.RESPONSE_FLUSH_S, grace_s)


def _idle_limit_s(node: nodes.Node) -> float:
    """Return how long callers may leave a connection idle and reuse it."""
    found = node.force.catalog
    return found.limits.idle_s if found else 0.0


async def _leave(node: nodes.Node, asked: trio.Event) -> None:
    """Return when callers have been told to go elsewhere."""
    await asked.wait()
    loguru.logger.bind(event=events.STOPPING).info('stopping')
    node.leaving.set()
    node.grace.expire_in(answered_s(node.deployment.bounds.grace_s))
    await trio.sleep(LEAVE_S)


async def run(
    file: pathlib.Path,
    found: deployment.Deployment,
    own: environment.Own = environment.DEFAULTS,
) -> None:
    """Serve until stopped, then let running requests end."""
    asked = serving.catch_stop()
    live = deployment.Live(found)
    callers = serving.listen(found.callers_address)
    ready_sock = serving.listen(found.ready_address)
    async with trio.open_nursery() as nursery:
        process = make_process(live, nursery)
        node = process.node
        reloader = reload.Reloader(file, live, settings.read)
        nursery.start_soon(reloader.run)
        apps = [(ready.make_app(node), ready_sock)]
        if own.metrics_port is not None:
            sock = serving.listen(f'{found.ip}:{own.metrics_port}')
            apps.append((ready.make_metrics_app(), sock))
        for app, sock in apps:
            nursery.start_soon(
                functools.partial(
                    serving.serve, app, sock, ready.never, READY_GRACE_S
                )
            )
        for work in _background(process):
            nursery.start_soon(contain, work)
        async with trio.open_nursery() as duty_nursery:
            duty_nursery.start_soon(_hold_duties, process)
            loguru.logger.bind(event=events.STARTED).info('serving')
            await serving.serve(
                handler.make_app(node),
                callers,
                functools.partial(_leave, node, asked),
                served_s(found.bounds.grace_s) - LEAVE_S,
                keep_alive_s=own.keep_alive_s,
                least_keep_alive_s=functools.partial(_idle_limit_s, node),
            )
            duty_nursery.cancel_scope.cancel()
        with trio.move_on_after(LAST_WRITES_S / 2):
            await process.members.beat()
        loguru.logger.bind(event=events.STOPPED).info('stopped')
        nursery.cancel_scope.cancel()


def _leaves(error: BaseException) -> list[BaseException]:
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [leaf for part in error.exceptions for leaf in _leaves(part)]


def tell_end(error: Exception, writer: line_writer.LineWriter) -> None:
    """Log why the process ends by itself, and see the line out.

    The lines of the requests that are cut come just before, and may have
    used up the rate and filled the buffer.
    """
    why = '; '.join(f'{type(e).__name__}: {e}' for e in _leaves(error))
    writer.drain(LAST_LINE_S)
    writer.admit_last()
    loguru.logger.opt(exception=error).bind(
        event=events.ENDED,
        error=why,
        requests_cut=connections.requests_cut(connections.End.PROCESS_ENDED),
    ).critical('the process ends by itself')
    writer.drain(LAST_LINE_S)


def _run(file: pathlib.Path, found: deployment.Deployment) -> None:
    writer = line_writer.LineWriter(sys.stdout.fileno(), time.monotonic)
    logs.setup('INFO', found.vm, found.failure_domain, writer)
    try:
        trio.run(run, file, found, environment.read(os.environ))
    except errors.UserError:
        raise
    except Exception as error:
        tell_end(error, writer)
        sys.exit(1)


def main() -> None:
    """Read settings and run; a bad setting is told in one line."""
    try:
        file = settings.path()
        _run(file, settings.read(file))
    except errors.UserError as error:
        print(error, file=sys.stderr)
        sys.exit(1)
