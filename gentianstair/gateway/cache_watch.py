"""Hear from each model replica which parts of prompts it keeps."""

import typing

import httpx
import loguru
import trio

from gentianstair import errors
from gentianstair.gateway import cache_news
from gentianstair.gateway import forward
from gentianstair.gateway import node as nodes
from gentianstair.gateway import replicas
from gentianstair.generated import events
from gentianstair.platform import wire

# A call waits at the replica until something changes; shorter waits are
# counted as probes by the users.
WAIT_S = 1.0
GRACE_S = 0.8
RETRY_S = 0.5
# Pause between calls, so that a busy replica's changes come in one answer.
GATHER_S = 0.2
# The same in a large fleet, where what is heard takes as long again to reach
# all VMs, and calls for all its replicas are a large part of its work.
LARGE_GATHER_S = 0.6
LOOK_S = 0.5


class _Start(typing.NamedTuple):
    """One start of a replica."""

    name: str
    born_ms: int


async def run(node: nodes.Node) -> None:
    """Follow the caches that this VM is to follow, until cancelled."""
    await node.registry.known.wait()
    following: dict[_Start, trio.CancelScope] = {}
    async with trio.open_nursery() as nursery:
        known: set[_Start] = set()
        while True:
            there = {
                _Start(replica.name, replica.born_ms): replica
                for replica in node.registry.all()
                if replica.stage
            }
            for start in known - set(there):
                node.cache_news.forget(start.name)
            known = set(there)
            mine = node.roster.follows()
            wanted = {start for start in there if start.name in mine}
            for start in set(following) - wanted:
                following.pop(start).cancel()
            for start in wanted - set(following):
                following[start] = trio.CancelScope()
                nursery.start_soon(
                    _follow, node, there[start], following[start]
                )
            await trio.sleep(LOOK_S)


async def _follow(
    node: nodes.Node, replica: replicas.Replica, scope: trio.CancelScope
) -> None:
    since = 0
    epoch: str | None = None
    with scope:
        while True:
            try:
                request = wire.cache_events_request(
                    replica.address, since, WAIT_S, forward.CONNECT_TIMEOUT_S
                )
                changes = wire.decode_cache_events(await _ask(node, request))
                if epoch is not None and changes.epoch != epoch:
                    node.cache_news.forget(replica.name)
                epoch, since = changes.epoch, changes.next
                _take(node, replica, changes, node.roster.shares_cache_news())
                if changes.lost:
                    since = await _close_gap(node, replica, since)
            except (errors.UpstreamError, errors.DecodeError) as error:
                loguru.logger.bind(
                    event=events.CACHE_WATCH_FAILED, replica=replica.name
                ).debug('{}', error)
                await trio.sleep(RETRY_S)
                continue
            large = node.roster.shares_cache_news()
            await trio.sleep(LARGE_GATHER_S if large else GATHER_S)


def _take(
    node: nodes.Node,
    replica: replicas.Replica,
    changes: wire.CacheChanges,
    passed_on: bool,
) -> None:
    for part, number, tokens in changes.changes:
        node.cache_news.heard(
            cache_news.Change(replica.name, part, number, tokens), passed_on
        )


async def _close_gap(
    node: nodes.Node, replica: replicas.Replica, since: int
) -> int:
    """Read all that a replica keeps, and return from where to go on.

    After a restart of all VMs nobody would know it, and each shared part
    would be read again elsewhere. The list costs the replica time, so a few
    VMs read it and tell the others.
    """
    reads = node.roster.reads_cache_list(replica.name)
    loguru.logger.bind(
        event=events.CACHE_GAP, replica=replica.name, listed=reads
    ).info('changes of a replica cache are missing')
    if not reads:
        return since
    request = wire.cache_list_request(
        replica.address, forward.CONNECT_TIMEOUT_S
    )
    listing = wire.decode_cache_list(await _ask(node, request))
    _take(node, replica, listing, passed_on=True)
    return listing.next


async def _ask(node: nodes.Node, request: httpx.Request) -> bytes:
    """Return the body of a replica's answer; raise if there is none."""
    with trio.move_on_after(WAIT_S + GRACE_S):
        response = await node.transport.handle_async_request(request)
        try:
            body = await forward.read_body(response)
        finally:
            await response.stream.aclose()
        if response.status_code != 200:
            raise errors.DecodeError(f'status {response.status_code}')
        return body
    raise errors.DecodeError('no answer in time')
