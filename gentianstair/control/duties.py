"""Name the scopes there are, and what the holder of each one does."""

import collections.abc
import functools
import typing

import httpx
import loguru
import trio

from gentianstair import errors
from gentianstair import verdict
from gentianstair.config import view as views
from gentianstair.control import lease
from gentianstair.control import orders as engine_orders
from gentianstair.control import upstream_orders
from gentianstair.control import usage
from gentianstair.generated import messages
from gentianstair.generated import settings
from gentianstair.store import store as stores
from gentianstair.util import clock as clocks

USAGE_SCOPE = 'usage'
CAPACITY_SCOPE = 'capacity'
ENGINES_PREFIX = 'engines-'
LEAVING_STATES = ('draining', 'withdrawn')
LOOK_S = 1.0
USAGE_LOOK_S = 2.0
LOAD_TIMEOUT_S = 2.0


class Context(typing.NamedTuple):
    """What duties work with."""

    settings: settings.ControlSettings
    clock: clocks.Clock
    store: stores.Store
    view: views.View
    orders: engine_orders.Orders
    upstream_orders: upstream_orders.UpstreamOrders
    sealer: usage.Sealer
    client: httpx.AsyncClient


# A duty runs for as long as its authority stands. It may let StoreError,
# UpstreamError and LeaseLostError out of one round; see ``repeat``.
Round = collections.abc.Callable[
    [Context, lease.Authority], collections.abc.Awaitable[None]
]


def engines(
    context: Context, failure_domain: str
) -> dict[str, messages.UpstreamValue]:
    """Return the engines of a failure domain by name."""
    found = {}
    for name in context.view.names('upstream'):
        value = typing.cast(
            messages.UpstreamValue, context.view.upstream(name)
        )
        mine = value['failure_domain'] == failure_domain
        if mine and value['type'] == 'engine':
            found[name] = value
    return found


def target(name: str, value: messages.UpstreamValue) -> engine_orders.Engine:
    """Return an engine as orders need it."""
    return engine_orders.Engine(name, value['url'], value['checks_fencing'])


async def repeat(
    context: Context, authority: lease.Authority, round_: Round, every_s: float
) -> None:
    """Run rounds of a duty; a failed one is logged and tried again."""
    while True:
        authority.check()
        try:
            await round_(context, authority)
        except (errors.StoreError, errors.UpstreamError) as error:
            loguru.logger.warning('{}: {}', authority.scope, error)
        await trio.sleep(every_s)


async def seal_usage(context: Context, authority: lease.Authority) -> None:
    """Seal and report the usage windows that are due."""
    await context.sealer.run_once(authority)


async def follow_states(context: Context, authority: lease.Authority) -> None:
    """Drain engines that operators withdraw, and undrain the others.

    Entries give a leaving engine no work from the moment they see its
    object; the order makes the engine refuse what still comes.
    """
    domain = authority.scope.removeprefix(ENGINES_PREFIX)
    for name, value in engines(context, domain).items():
        leaving = value['state'] in LEAVING_STATES
        try:
            state = await _engine_state(context, value['url'])
            order = await _wanted_order(context, value['url'], leaving, state)
            if order is not None:
                await context.orders.order(
                    authority, target(name, value), order, ''
                )
        except errors.UpstreamError as error:
            loguru.logger.info('{}: {}', name, error)


async def _engine_state(context: Context, url: str) -> str:
    try:
        answer = await context.client.get(
            f'{url}/load', timeout=LOAD_TIMEOUT_S
        )
        return str(answer.json()['state'])
    except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
        known = verdict.Verdict.NOT_RUN
        raise errors.UpstreamError(f'{url}: {error!r}', known) from error


async def _wanted_order(
    context: Context, url: str, leaving: bool, state: str
) -> str | None:
    if leaving:
        return 'drain' if state == 'serving' else None
    if state != 'draining':
        return None
    # An engine also drains on its way to another role; only one that was
    # told to drain is told to stop draining.
    last = await context.orders.last(url)
    return 'undrain' if last['type'] == 'drain' else None


class Duty(typing.NamedTuple):
    """One thing the holder of a scope does, every so many seconds."""

    round: Round
    every_s: float


# Planners of roles and of capacity add themselves here.
DUTIES: dict[str, list[Duty]] = {
    USAGE_SCOPE: [Duty(seal_usage, USAGE_LOOK_S)],
    CAPACITY_SCOPE: [],
    ENGINES_PREFIX: [Duty(follow_states, LOOK_S)],
}


async def _serve(
    context: Context, duties: list[Duty], authority: lease.Authority
) -> None:
    async with trio.open_nursery() as nursery:
        for duty in duties:
            nursery.start_soon(
                repeat, context, authority, duty.round, duty.every_s
            )


def scopes(context: Context) -> dict[str, lease.HolderTask]:
    """Return the scopes that exist now and the role of their holders."""
    found = {}
    for scope in (USAGE_SCOPE, CAPACITY_SCOPE):
        if DUTIES[scope]:
            found[scope] = functools.partial(_serve, context, DUTIES[scope])
    domains = {
        context.view.upstream(name)['failure_domain']
        for name in context.view.names('upstream')
    }
    for domain in sorted(domains):
        found[f'{ENGINES_PREFIX}{domain}'] = functools.partial(
            _serve, context, DUTIES[ENGINES_PREFIX]
        )
    return found
