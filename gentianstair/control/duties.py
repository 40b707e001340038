"""Define the scopes and the periodic duties of each scope's holder."""

import collections.abc
import functools
import typing

import httpx
import loguru
import trio

from gentianstair import errors
from gentianstair import verdict
from gentianstair.config import view as views
from gentianstair.control import engine_orders
from gentianstair.control import lease
from gentianstair.control import upstream_orders
from gentianstair.control import usage_sealer
from gentianstair.generated import messages
from gentianstair.generated import settings
from gentianstair.store import store as stores
from gentianstair.util import clock as clocks
from gentianstair.util import json_codec
from gentianstair.util import tasks

USAGE_SCOPE = 'usage'
CAPACITY_SCOPE = 'capacity'
ENGINES_PREFIX = 'engines-'
LEAVING_STATES = ('draining', 'withdrawn')
DRAIN_INTERVAL_S = 1.0
USAGE_INTERVAL_S = 2.0
LOAD_REQUEST_TIMEOUT_S = 2.0


class Context(typing.NamedTuple):
    """The settings, clients and state that duties share."""

    settings: settings.ControlSettings
    clock: clocks.Clock
    store: stores.Store
    view: views.View
    orders: engine_orders.EngineOrders
    upstream_orders: upstream_orders.UpstreamOrders
    sealer: usage_sealer.Sealer
    client: httpx.AsyncClient


# One run of a duty. It may raise StoreError and UpstreamError, after which
# it is tried again, and LeaseLostError, which ends it.
RunOnce = collections.abc.Callable[
    [Context, lease.Authority], collections.abc.Awaitable[None]
]


def engines_of_domain(
    context: Context, failure_domain: str
) -> dict[str, messages.UpstreamValue]:
    """Return the engines of a failure domain by name."""
    engines = {}
    for name in context.view.valid_names('upstream'):
        value = typing.cast(
            messages.UpstreamValue, context.view.upstream(name)
        )
        in_domain = value['failure_domain'] == failure_domain
        if in_domain and value['type'] == 'engine':
            engines[name] = value
    return engines


def engine_target(
    name: str, value: messages.UpstreamValue
) -> engine_orders.EngineTarget:
    """Return the target of orders to an engine."""
    return engine_orders.EngineTarget(
        name, value['url'], value['checks_fencing']
    )


async def run_periodically(
    context: Context,
    authority: lease.Authority,
    run_once: RunOnce,
    interval_s: float,
) -> None:
    """Run a duty until its authority lapses; log failed runs."""
    while True:
        authority.check()
        try:
            await run_once(context, authority)
        except (errors.StoreError, errors.UpstreamError) as error:
            loguru.logger.warning('{}: {}', authority.scope, error)
        await trio.sleep(interval_s)


async def seal_usage(context: Context, authority: lease.Authority) -> None:
    """Seal and report the usage windows that are due."""
    await context.sealer.run_once(authority)


async def reconcile_drains(
    context: Context, authority: lease.Authority
) -> None:
    """Drain engines that operators withdraw, and undrain the others.

    Entries stop routing to a leaving engine when they see its object; the
    drain order makes the engine refuse requests that still arrive.
    """
    domain = authority.scope.removeprefix(ENGINES_PREFIX)
    for name, value in engines_of_domain(context, domain).items():
        leaving = value['state'] in LEAVING_STATES
        try:
            state = await _engine_state(context, value['url'])
            order = await _drain_order(context, value['url'], leaving, state)
            if order is not None:
                await context.orders.order(
                    authority, engine_target(name, value), order, ''
                )
        except errors.UpstreamError as error:
            loguru.logger.info('{}: {}', name, error)


async def _engine_state(context: Context, url: str) -> str:
    try:
        response = await context.client.get(
            f'{url}/load', timeout=LOAD_REQUEST_TIMEOUT_S
        )
        return str(json_codec.decode(response.content)['state'])
    except (
        httpx.HTTPError,
        errors.DecodeError,
        KeyError,
        TypeError,
    ) as error:
        not_run = verdict.Verdict.NOT_RUN
        raise errors.UpstreamError(f'{url}: {error!r}', not_run) from error


async def _drain_order(
    context: Context, url: str, leaving: bool, state: str
) -> str | None:
    if leaving:
        return 'drain' if state == 'serving' else None
    if state != 'draining':
        return None
    # An engine also drains while it changes its role; undrain it only if its
    # last order was to drain.
    last = await context.orders.fetch_last(url)
    return 'undrain' if last['type'] == 'drain' else None


class Duty(typing.NamedTuple):
    """Work that the holder of a scope repeats at an interval."""

    run_once: RunOnce
    interval_s: float


# The role planner and the capacity planner append to these lists.
DUTIES: dict[str, list[Duty]] = {
    USAGE_SCOPE: [Duty(seal_usage, USAGE_INTERVAL_S)],
    CAPACITY_SCOPE: [],
    ENGINES_PREFIX: [Duty(reconcile_drains, DRAIN_INTERVAL_S)],
}


async def _run_duties(
    context: Context, duties: list[Duty], authority: lease.Authority
) -> None:
    async with trio.open_nursery() as nursery:
        running = tasks.Tasks(nursery)
        for duty in duties:
            running.keep_running(
                'duty',
                run_periodically,
                context,
                authority,
                duty.run_once,
                duty.interval_s,
            )


def make_holder_tasks(context: Context) -> dict[str, lease.HolderTask]:
    """Return the scopes that exist now and the task of each holder."""
    tasks = {}
    for scope in (USAGE_SCOPE, CAPACITY_SCOPE):
        if DUTIES[scope]:
            tasks[scope] = functools.partial(
                _run_duties, context, DUTIES[scope]
            )
    domains = {
        context.view.upstream(name)['failure_domain']
        for name in context.view.valid_names('upstream')
    }
    for domain in sorted(domains):
        tasks[f'{ENGINES_PREFIX}{domain}'] = functools.partial(
            _run_duties, context, DUTIES[ENGINES_PREFIX]
        )
    return tasks
