"""Poll model replicas for changes of their KV caches."""

import typing

import httpx
import loguru
import trio

from gentianstair import errors
from gentianstair.gateway import cache_updates
from gentianstair.gateway import forward
from gentianstair.gateway import node as nodes
from gentianstair.gateway import replicas
from gentianstair.generated import events
from gentianstair.platform import cache_codec
from gentianstair.util import tasks

# Long-poll timeout at the replica. The platform counts shorter ones as
# probes.
POLL_TIMEOUT_S = 1.0
# Time after POLL_TIMEOUT_S in which the response must arrive.
RESPONSE_GRACE_S = 0.8
# Pause after a failed call.
RETRY_PAUSE_S = 0.5
# Pause between calls, so that one response returns several changes.
BATCH_PAUSE_S = 0.2
# The same in a large fleet, where VMs forward changes to each other: the
# calls for all of a VM's replicas are a large part of its work.
SHARED_BATCH_PAUSE_S = 0.6
# How often the set of followed replicas is checked.
ASSIGNMENT_CHECK_S = 0.5


class _ReplicaStart(typing.NamedTuple):
    """One start of a replica; its cache is empty at first."""

    name: str
    born_ms: int


async def run(node: nodes.Node) -> None:
    """Follow the caches assigned to this VM until cancelled."""
    await node.registry.loaded.wait()
    scopes: dict[_ReplicaStart, trio.CancelScope] = {}
    async with trio.open_nursery() as nursery:
        running = tasks.Tasks(nursery)
        known: set[_ReplicaStart] = set()
        while True:
            starts = {
                _ReplicaStart(replica.name, replica.started_ms): replica
                for replica in node.registry.all()
                if replica.stage
            }
            for start in known - set(starts):
                node.cache_updates.forget(start.name)
            known = set(starts)
            followed = node.roster.followed_replicas()
            wanted = {start for start in starts if start.name in followed}
            for start in set(scopes) - wanted:
                scopes.pop(start).cancel()
            for start in wanted - set(scopes):
                scopes[start] = trio.CancelScope()
                running.keep_running(
                    'cache-events',
                    _follow,
                    node,
                    starts[start],
                    until=scopes[start],
                )
            await trio.sleep(ASSIGNMENT_CHECK_S)


async def _follow(node: nodes.Node, replica: replicas.Replica) -> None:
    """Apply the changes of one replica's cache until cancelled."""
    since = 0
    epoch: str | None = None
    while True:
        try:
            request = cache_codec.cache_events_request(
                replica.address,
                replica.name,
                since,
                POLL_TIMEOUT_S,
                forward.CONNECT_TIMEOUT_S,
            )
            changes = cache_codec.decode_cache_events(
                await _call(node, replica, request)
            )
            if epoch is not None and changes.epoch != epoch:
                node.cache_updates.forget(replica.name)
                # A new start counts its changes anew.
                since = 0
            else:
                since = changes.next_sequence
                shared = node.roster.shares_cache_updates()
                _apply(node, replica, changes, shared)
                if changes.lost:
                    since = await _resync(node, replica, since)
            epoch = changes.epoch
        except (errors.UpstreamError, errors.DecodeError) as error:
            loguru.logger.bind(
                event=events.CACHE_WATCH_FAILED, replica=replica.name
            ).debug('{}', error)
            await trio.sleep(RETRY_PAUSE_S)
            continue
        is_shared = node.roster.shares_cache_updates()
        await trio.sleep(SHARED_BATCH_PAUSE_S if is_shared else BATCH_PAUSE_S)


def _apply(
    node: nodes.Node,
    replica: replicas.Replica,
    changes: cache_codec.CacheChanges,
    to_hubs: bool,
) -> None:
    for part, sequence, tokens in changes.changes:
        node.cache_updates.apply(
            cache_updates.Change(replica.name, part, sequence, tokens), to_hubs
        )


async def _resync(
    node: nodes.Node, replica: replicas.Replica, since: int
) -> int:
    """List a replica's cache if needed; return where polling resumes.

    After a restart of all VMs no other source names the cached parts, and
    they would be prefilled again on other replicas. The list is costly for
    the replica, so only a few VMs read it and forward it.
    """
    lists_cache = node.roster.lists_cache(
        replica.name
    ) and not node.upstream_permits.is_limited(replica.run)
    loguru.logger.bind(
        event=events.CACHE_GAP, replica=replica.name, listed=lists_cache
    ).info('missed changes of a replica cache')
    if not lists_cache:
        return since
    request = cache_codec.cache_list_request(
        replica.address, replica.name, forward.CONNECT_TIMEOUT_S
    )
    listing = cache_codec.decode_cache_list(
        await _call(node, replica, request)
    )
    _apply(node, replica, listing, to_hubs=True)
    return listing.next_sequence


async def _call(
    node: nodes.Node, replica: replicas.Replica, request: httpx.Request
) -> bytes:
    """Return the body of a replica's response; raise DecodeError if none."""
    with trio.move_on_after(POLL_TIMEOUT_S + RESPONSE_GRACE_S):
        response = await node.replica_client.send(replica.run, request)
        try:
            body = await forward.read_body(response)
        finally:
            await response.stream.aclose()
        if response.status_code != 200:
            raise errors.DecodeError(f'status {response.status_code}')
        return body
    raise errors.DecodeError('no answer in time')
