"""Plan the roles of engines from their demand, and order the changes."""

import typing

import httpx
import loguru
import msgspec
import trio

from gentianstair import errors
from gentianstair.control import duties
from gentianstair.control import lease
from gentianstair.control import role_planner
from gentianstair.entry import usage
from gentianstair.generated import messages
from gentianstair.util import json_codec
from gentianstair.util import usage_rows

PURPOSE = 'status'
PLAN_INTERVAL_S = 2.0
ACTIVE = 'active'
# State of an engine that did not respond; the planner counts any state other
# than serving as changing.
UNREACHABLE = 'gone'
# Bounds the samples passed to a planner per run; if more requests were
# served, each sample stands for several.
MAX_SAMPLES = 500


class ServedWork(typing.NamedTuple):
    """Requests and tokens that all entries counted between two reads."""

    requests: int
    prompt_tokens: int
    output_tokens: int
    duration_s: float


class UsageReader:
    """Derives the served work from the entries' usage counts.

    The entries flush these counts anyway, so a read costs one list call. It
    lags by one flush and shows requests when they are served, not when they
    arrive.
    """

    def __init__(self) -> None:
        self._last_rows: dict[
            str, dict[usage_rows.Key, messages.UsageRow]
        ] = {}
        self._last_read_s: float | None = None

    async def read(self, context: duties.Context) -> ServedWork | None:
        """Return the work served since the last read, None at the first."""
        listing = await context.store.list(usage.KIND, purpose=PURPOSE)
        now_s = context.clock()
        counts = [0, 0, 0]
        rows = {}
        for item in listing.objects:
            value = msgspec.convert(item.value, messages.UsageValue)
            rows[item.name] = usage_rows.sum_by_key(value['rows'])
            last_rows = self._last_rows.get(item.name, {})
            for key, row in rows[item.name].items():
                added = usage_rows.subtract(row, last_rows.get(key))
                for index, name in enumerate(usage_rows.COUNT_FIELDS):
                    counts[index] += added[name]
        last_read_s = self._last_read_s
        self._last_rows, self._last_read_s = rows, now_s
        if last_read_s is None:
            return None
        return ServedWork(*counts, now_s - last_read_s)


class RoleDuty:
    """Plans the roles of the engines in the scopes this process holds."""

    def __init__(self) -> None:
        self._reader = UsageReader()
        self._planners: dict[tuple, role_planner.RolePlanner] = {}

    async def run_once(
        self, context: duties.Context, authority: lease.Authority
    ) -> None:
        """Plan once for each group of engines, and order the changes."""
        domain = authority.scope.removeprefix(duties.ENGINES_PREFIX)
        engines = _active(duties.engines_of_domain(context, domain))
        served = await self._reader.read(context)
        views = await _poll_engines(context, engines)
        active_engines = sum(
            context.view.upstream(name)['type'] == 'engine'
            and context.view.upstream(name)['state'] == ACTIVE
            for name in context.view.valid_names('upstream')
        )
        for models in {tuple(item['models']) for item in engines.values()}:
            group = [
                view
                for view in views
                if tuple(engines[view.name]['models']) == models
            ]
            planner = self._planner(authority, models)
            if served is not None:
                share = len(group) / max(1, active_engines)
                _observe_served(planner, served, share, context.clock())
            for change in planner.plan(group, context.clock()):
                await self._order(context, authority, engines, change)

    def _planner(
        self, authority: lease.Authority, models: tuple[str, ...]
    ) -> role_planner.RolePlanner:
        """Return the planner of a group; each epoch starts a new one."""
        key = (authority.scope, authority.epoch, models)
        if key not in self._planners:
            self._planners = {
                known: planner
                for known, planner in self._planners.items()
                if known[0] != authority.scope or known[1] == authority.epoch
            }
            self._planners[key] = role_planner.make_planner()
        return self._planners[key]

    async def _order(
        self,
        context: duties.Context,
        authority: lease.Authority,
        engines: dict[str, messages.UpstreamValue],
        change: role_planner.Change,
    ) -> None:
        loguru.logger.info(
            'role {} for {}: {}', change.role, change.upstream, change.inputs
        )
        target = duties.engine_target(
            change.upstream, engines[change.upstream]
        )
        await context.orders.order(authority, target, 'set_role', change.role)


def _active(
    engines: dict[str, messages.UpstreamValue],
) -> dict[str, messages.UpstreamValue]:
    return {
        name: value
        for name, value in engines.items()
        if value['state'] == ACTIVE
    }


async def _poll_engines(
    context: duties.Context, engines: dict[str, messages.UpstreamValue]
) -> list[role_planner.EngineView]:
    """Poll all engines concurrently, so that a slow one delays no other."""
    views = []

    async def poll(name: str, value: messages.UpstreamValue) -> None:
        views.append(await _poll_engine(context, name, value))

    async with trio.open_nursery() as nursery:
        for name, value in engines.items():
            nursery.start_soon(poll, name, value)
    return sorted(views)


async def _poll_engine(
    context: duties.Context, name: str, value: messages.UpstreamValue
) -> role_planner.EngineView:
    try:
        response = await context.client.get(
            f'{value["url"]}/load', timeout=duties.LOAD_REQUEST_TIMEOUT_S
        )
        load = json_codec.decode(response.content)
        return role_planner.EngineView(
            name, str(load['role']), str(load['state']), int(load['running'])
        )
    except (
        httpx.HTTPError,
        errors.DecodeError,
        ValueError,
        OverflowError,
        KeyError,
        TypeError,
    ) as error:
        loguru.logger.debug('cannot read the report of {}: {!r}', name, error)
        return role_planner.EngineView(name, value['role'], UNREACHABLE, 0)


def _observe_served(
    planner: role_planner.RolePlanner,
    served: ServedWork,
    share: float,
    now_s: float,
) -> None:
    """Pass requests of mean size to the planner, evenly spread over time."""
    if not served.requests or not share:
        return
    prompt_tokens = served.prompt_tokens / served.requests
    output_tokens = served.output_tokens / served.requests
    # The group's share of all requests; above MAX_SAMPLES each sample weighs
    # more than one request.
    requests = served.requests * share
    samples = max(1, min(MAX_SAMPLES, round(requests)))
    weight = requests / samples
    for index in range(samples):
        arrival_s = now_s - served.duration_s * (1 - (index + 1) / samples)
        planner.observe(
            arrival_s,
            prompt_tokens * weight,
            output_tokens * weight,
            prompt_tokens * weight,
        )


def add_duties() -> None:
    """Add role planning to the duties of the engine scopes."""
    duty = RoleDuty()
    duties.DUTIES[duties.ENGINES_PREFIX].append(
        duties.Duty(duty.run_once, PLAN_INTERVAL_S)
    )


__all__ = ('UsageReader', 'RoleDuty', 'ServedWork', 'add_duties')
