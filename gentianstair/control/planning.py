"""Give the role planner what it needs, and order what it decides."""

import typing

import httpx
import loguru
import msgspec
import trio

from gentianstair.control import duties
from gentianstair.control import lease
from gentianstair.control import roles
from gentianstair.entry import usage
from gentianstair.generated import messages
from gentianstair.util import usage_rows

PURPOSE = 'status'
LOOK_S = 2.0
ACTIVE = 'active'
# How an engine shows that does not answer; it counts as changing.
GONE = 'gone'
# Beyond so many requests in one look each stands for several.
MAX_OBSERVED = 500


class Served(typing.NamedTuple):
    """What all entries counted between two looks."""

    requests: int
    prompt_tokens: int
    output_tokens: int
    seconds: float


class DemandReader:
    """Reads what was served off the entries' usage counts.

    They are flushed every few seconds anyway, so this costs one list a
    look and no messages of its own. It lags by a flush, and shows work
    when it is served, not when it arrives.
    """

    def __init__(self) -> None:
        self._rows: dict[str, dict[usage_rows.Key, messages.UsageRow]] = {}
        self._read_at_s: float | None = None

    async def read(self, context: duties.Context) -> Served | None:
        """Return what was served since the last look; None at the first."""
        listing = await context.store.list(usage.KIND, purpose=PURPOSE)
        now_s = context.clock()
        counts = [0, 0, 0]
        seen = {}
        for item in listing.objects:
            value = msgspec.convert(item.value, messages.UsageValue)
            seen[item.name] = usage_rows.by_key(value['rows'])
            before = self._rows.get(item.name, {})
            for key, row in seen[item.name].items():
                more = usage_rows.minus(row, before.get(key))
                for index, name in enumerate(usage_rows.COUNTS):
                    counts[index] += more[name]
        last_s = self._read_at_s
        self._rows, self._read_at_s = seen, now_s
        if last_s is None:
            return None
        return Served(*counts, now_s - last_s)


class RolePlanning:
    """Plans the roles of the engines of the scopes this process holds."""

    def __init__(self) -> None:
        self._reader = DemandReader()
        self._planners: dict[tuple, roles.RolePlanner] = {}

    async def round(
        self, context: duties.Context, authority: lease.Authority
    ) -> None:
        """Look at demand and engines, and order at most a few changes."""
        domain = authority.scope.removeprefix(duties.ENGINES_PREFIX)
        engines = _active(duties.engines(context, domain))
        served = await self._reader.read(context)
        views = await _look(context, engines)
        total = sum(
            context.view.upstream(name)['type'] == 'engine'
            and context.view.upstream(name)['state'] == ACTIVE
            for name in context.view.names('upstream')
        )
        for models in {tuple(item['models']) for item in engines.values()}:
            group = [
                view
                for view in views
                if tuple(engines[view.name]['models']) == models
            ]
            planner = self._planner(authority, models)
            if served is not None:
                share = len(group) / max(1, total)
                _observe(planner, served, share, context.clock())
            for change in planner.plan(group, context.clock()):
                await self._order(context, authority, engines, change)

    def _planner(
        self, authority: lease.Authority, models: tuple[str, ...]
    ) -> roles.RolePlanner:
        """Return the planner of a group; a new epoch begins with none."""
        key = (authority.scope, authority.epoch, models)
        if key not in self._planners:
            self._planners = {
                known: planner
                for known, planner in self._planners.items()
                if known[0] != authority.scope or known[1] == authority.epoch
            }
            self._planners[key] = roles.make_planner()
        return self._planners[key]

    async def _order(
        self,
        context: duties.Context,
        authority: lease.Authority,
        engines: dict[str, messages.UpstreamValue],
        change: roles.Change,
    ) -> None:
        loguru.logger.info(
            'role {} for {}: {}', change.role, change.upstream, change.inputs
        )
        target = duties.target(change.upstream, engines[change.upstream])
        await context.orders.order(authority, target, 'set_role', change.role)


def _active(
    engines: dict[str, messages.UpstreamValue],
) -> dict[str, messages.UpstreamValue]:
    return {
        name: value
        for name, value in engines.items()
        if value['state'] == ACTIVE
    }


async def _look(
    context: duties.Context, engines: dict[str, messages.UpstreamValue]
) -> list[roles.EngineView]:
    """Ask all engines at once, so that a slow one delays no other."""
    views = []

    async def look(name: str, value: messages.UpstreamValue) -> None:
        views.append(await _view(context, name, value))

    async with trio.open_nursery() as nursery:
        for name, value in engines.items():
            nursery.start_soon(look, name, value)
    return sorted(views)


async def _view(
    context: duties.Context, name: str, value: messages.UpstreamValue
) -> roles.EngineView:
    try:
        answer = await context.client.get(
            f'{value["url"]}/load', timeout=duties.LOAD_TIMEOUT_S
        )
        load = answer.json()
        return roles.EngineView(
            name, str(load['role']), str(load['state']), int(load['running'])
        )
    except (httpx.HTTPError, ValueError, KeyError, TypeError):
        return roles.EngineView(name, value['role'], GONE, 0)


def _observe(
    planner: roles.RolePlanner, served: Served, share: float, now_s: float
) -> None:
    """Tell the planner of mean requests, evenly over the time seen."""
    if not served.requests or not share:
        return
    prompt = served.prompt_tokens / served.requests
    output = served.output_tokens / served.requests
    # Fewer requests of the same rates, when each would stand for one.
    requests = served.requests * share
    count = max(1, min(MAX_OBSERVED, round(requests)))
    weight = requests / count
    for index in range(count):
        at_s = now_s - served.seconds * (1 - (index + 1) / count)
        planner.observe(
            at_s, prompt * weight, output * weight, prompt * weight
        )


def add_duties() -> None:
    """Have the holders of engines plan their roles."""
    planning = RolePlanning()
    duties.DUTIES[duties.ENGINES_PREFIX].append(
        duties.Duty(planning.round, LOOK_S)
    )


__all__ = ('DemandReader', 'RolePlanning', 'Served', 'add_duties')
