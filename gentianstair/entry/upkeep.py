"""Keep what an entry process knows of its upstreams up to date."""

import collections.abc
import typing

import httpx
import loguru
import msgspec
import trio

from gentianstair import errors
from gentianstair.entry import node as nodes
from gentianstair.entry import relay
from gentianstair.entry import routing
from gentianstair.entry import services
from gentianstair.generated import messages

LOAD_INTERVAL_S = 0.5
LOAD_TIMEOUT_S = 2.0
EVENTS_WAIT_S = 2.0
EVENTS_INTERVAL_S = 0.05
RETRY_S = 1.0
HTTP_OK = 200
STATE_ACTIVE = 'active'
TYPE_ENGINE = 'engine'


def upstream_info(
    name: str, value: messages.UpstreamValue
) -> routing.UpstreamInfo:
    """Return what routing needs of an upstream's object.

    A plain service is found by the names it serves, as an engine by its
    models, but in a space of its own: a caller that asks for a service must
    not reach an engine, past the check of who may use its models.
    """
    names = value['models']
    if value['type'] != TYPE_ENGINE:
        names = [services.routing_name(name) for name in names]
    state = 'serving' if value['state'] == STATE_ACTIVE else value['state']
    return routing.UpstreamInfo(
        name,
        value['failure_domain'],
        tuple(names),
        value['role'],
        state,
        value['concurrent'],
    )


def apply_upstreams(node: nodes.Node) -> dict[str, messages.UpstreamValue]:
    """Tell routing, ejection and admission which upstreams there are.

    A leaving upstream gets no new work from here on; requests that run
    there go on.
    """
    found = {
        name: typing.cast(messages.UpstreamValue, node.view.upstream(name))
        for name in node.view.valid_names('upstream')
    }
    infos = [upstream_info(name, value) for name, value in found.items()]
    node.router.set_upstreams(infos)
    node.ejector.set_upstreams(set(found))
    slots: dict[str, int] = {}
    for info in infos:
        for model in info.models:
            ready = info.concurrent if info.state == 'serving' else 0
            slots[model] = slots.get(model, 0) + ready
    for model, count in slots.items():
        node.queue.set_capacity(model, count)
    return found


def decode(body: bytes, kind: type) -> typing.Any:
    """Return what an engine published; raise DecodeError if it is odd."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise errors.DecodeError(str(error)) from error


async def _get(node: nodes.Node, url: str, limit_s: float) -> bytes:
    outgoing = httpx.Request('GET', url)
    opened = relay.open_response(node, outgoing, limit_s)
    async with opened as (found, _):
        if found.status_code != HTTP_OK:
            raise errors.DecodeError(f'status {found.status_code}')
        return await relay.read_all(found)


async def repeat(
    read: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    name: str,
    interval_s: float,
) -> None:
    """Call read again and again; wait longer after it failed.

    An engine that is gone or publishes what we can't read is no reason to
    stop: its state is then only known less well.
    """
    while True:
        try:
            await read()
        except errors.GentianstairError as error:
            loguru.logger.debug('no report of {}: {}', name, error)
            await trio.sleep(RETRY_S)
        else:
            await trio.sleep(interval_s)


async def _follow_load(node: nodes.Node, name: str, url: str) -> None:
    async def read() -> None:
        body = await _get(node, f'{url}/load', LOAD_TIMEOUT_S)
        report = decode(body, messages.LoadReport)
        node.router.on_load(name, report, node.clock())

    await repeat(read, name, LOAD_INTERVAL_S)


async def _follow_cache(node: nodes.Node, name: str, url: str) -> None:
    after = 0

    async def read() -> None:
        nonlocal after
        path = f'/cache-events?after={after}&wait_s={EVENTS_WAIT_S}'
        body = await _get(node, url + path, EVENTS_WAIT_S + LOAD_TIMEOUT_S)
        found = decode(body, messages.CacheEvents)
        events = found['events']
        gap = bool(events) and events[0]['seq'] > after + 1
        # An engine that started anew counts from the start again.
        gap = gap or found['next'] < after
        after = found['next']
        node.router.on_cache_events(name, events, gap)

    await repeat(read, name, EVENTS_INTERVAL_S)


async def _follow(node: nodes.Node, name: str, url: str) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_load, node, name, url)
        nursery.start_soon(_follow_cache, node, name, url)


def _wanted(
    node: nodes.Node, found: dict[str, messages.UpstreamValue]
) -> dict[str, str]:
    """Return the engines whose reports are worth reading, with their URLs."""
    models = {
        model
        for value in found.values()
        if value['type'] == TYPE_ENGINE
        for model in value['models']
    }
    names = {name for model in models for name in node.router.subset(model)}
    return {
        name: found[name]['url']
        for name in names
        if name in found and found[name]['type'] == TYPE_ENGINE
    }


async def run(node: nodes.Node) -> None:
    """Apply each change of the upstreams and follow their reports."""
    scopes: dict[tuple[str, str], trio.CancelScope] = {}

    async def follow(name: str, url: str, scope: trio.CancelScope) -> None:
        with scope:
            await _follow(node, name, url)

    async with trio.open_nursery() as nursery:
        while True:
            wanted = set(_wanted(node, apply_upstreams(node)).items())
            for gone in set(scopes) - wanted:
                scopes.pop(gone).cancel()
            for name, url in wanted - set(scopes):
                scope = scopes[(name, url)] = trio.CancelScope()
                nursery.start_soon(follow, name, url, scope)
            await node.view.wait_for_change()
