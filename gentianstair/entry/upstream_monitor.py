"""Apply upstream objects and poll the load and cache reports of engines."""

import collections.abc
import typing

import httpx
import loguru
import trio

from gentianstair import errors
from gentianstair.entry import node as nodes
from gentianstair.entry import relay
from gentianstair.entry import routing
from gentianstair.entry import services
from gentianstair.generated import messages
from gentianstair.util import json_codec
from gentianstair.util import tasks

LOAD_POLL_INTERVAL_S = 0.5
LOAD_TIMEOUT_S = 2.0
# How long an engine may hold a request for events until it has some.
EVENTS_LONG_POLL_S = 2.0
EVENTS_POLL_INTERVAL_S = 0.05
# Delay after a failed poll.
RETRY_S = 1.0
HTTP_OK = 200
STATE_ACTIVE = 'active'
TYPE_ENGINE = 'engine'


def upstream_info(
    name: str, value: messages.UpstreamValue
) -> routing.UpstreamInfo:
    """Return the routing information of an upstream's object.

    Names of plain services have a namespace apart from models, so that a
    service call cannot reach an engine and bypass the check of who may use
    its models.
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
    """Set the upstreams of routing, ejection and admission.

    Return them by name. An upstream that is draining gets no new requests;
    requests in flight continue.
    """
    upstreams = {
        name: typing.cast(messages.UpstreamValue, node.view.upstream(name))
        for name in node.view.valid_names('upstream')
    }
    infos = [upstream_info(name, value) for name, value in upstreams.items()]
    node.router.set_upstreams(infos)
    node.ejector.set_upstreams(set(upstreams))
    slots: dict[str, int] = {}
    for info in infos:
        for model in info.models:
            ready = info.concurrent if info.state == 'serving' else 0
            slots[model] = slots.get(model, 0) + ready
    for model, count in slots.items():
        node.queue.set_capacity(model, count)
    return upstreams


def decode_report(body: bytes, kind: type) -> typing.Any:
    """Return a decoded engine report; raise DecodeError if it is invalid."""
    return json_codec.decode(body, kind)


async def _fetch(node: nodes.Node, url: str, limit_s: float) -> bytes:
    request = httpx.Request('GET', url)
    response_context = relay.open_response(node, request, limit_s)
    async with response_context as (response, _):
        if response.status_code != HTTP_OK:
            raise errors.DecodeError(f'status {response.status_code}')
        return await relay.read_all(response)


async def poll_forever(
    poll: collections.abc.Callable[[], collections.abc.Awaitable[None]],
    name: str,
    interval_s: float,
) -> None:
    """Call poll each interval_s, and RETRY_S after a failure.

    An engine that is unreachable or sends an invalid report must not stop the
    process; routing then uses its last known state.
    """
    while True:
        try:
            await poll()
        except errors.GentianstairError as error:
            loguru.logger.debug(
                'cannot read the report of {}: {}', name, error
            )
            await trio.sleep(RETRY_S)
        else:
            await trio.sleep(interval_s)


async def _poll_load(node: nodes.Node, name: str, url: str) -> None:
    async def poll() -> None:
        body = await _fetch(node, f'{url}/load', LOAD_TIMEOUT_S)
        report = decode_report(body, messages.LoadReport)
        node.router.on_load(name, report, node.clock())

    await poll_forever(poll, name, LOAD_POLL_INTERVAL_S)


async def _poll_cache_events(node: nodes.Node, name: str, url: str) -> None:
    last_seq = 0

    async def poll() -> None:
        nonlocal last_seq
        path = f'/cache-events?after={last_seq}&wait_s={EVENTS_LONG_POLL_S}'
        body = await _fetch(
            node, url + path, EVENTS_LONG_POLL_S + LOAD_TIMEOUT_S
        )
        batch = decode_report(body, messages.CacheEvents)
        events = batch['events']
        gap = bool(events) and events[0]['seq'] > last_seq + 1
        # A restarted engine numbers its events from the start again.
        gap = gap or batch['next'] < last_seq
        last_seq = batch['next']
        node.router.on_cache_events(name, events, gap)

    await poll_forever(poll, name, EVENTS_POLL_INTERVAL_S)


async def _poll_engine(node: nodes.Node, name: str, url: str) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_poll_load, node, name, url)
        nursery.start_soon(_poll_cache_events, node, name, url)


def _select_engines(
    node: nodes.Node, upstreams: dict[str, messages.UpstreamValue]
) -> dict[str, str]:
    """Return the URLs of engines in the routing subset, by name."""
    models = {
        model
        for value in upstreams.values()
        if value['type'] == TYPE_ENGINE
        for model in value['models']
    }
    names = {name for model in models for name in node.router.subset(model)}
    return {
        name: upstreams[name]['url']
        for name in names
        if name in upstreams and upstreams[name]['type'] == TYPE_ENGINE
    }


async def run(node: nodes.Node) -> None:
    """Apply each change of upstreams and poll the engines' reports."""
    scopes: dict[tuple[str, str], trio.CancelScope] = {}
    async with trio.open_nursery() as nursery:
        running = tasks.Tasks(nursery)
        while True:
            wanted = set(_select_engines(node, apply_upstreams(node)).items())
            for gone in set(scopes) - wanted:
                scopes.pop(gone).cancel()
            for name, url in wanted - set(scopes):
                scope = scopes[(name, url)] = trio.CancelScope()
                running.keep_running(
                    'engine', _poll_engine, node, name, url, until=scope
                )
            await node.view.wait_for_change()
