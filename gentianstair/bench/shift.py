"""Measure goodput while the mix of prompt and output work shifts."""

import argparse
import json
import typing

import trio

from gentianstair.bench import fleet
from gentianstair.bench import shifts
from gentianstair.control import role_planner
from gentianstair.entry import routing
from standins.engine import model
from standins.engine import orders

# Replicas of the model with the most work at each site.
SITES = {'burlwood': 5, 'bluebonnet': 6}
SHARES = (0.2, 0.7, 0.2)
PLAN_EVERY_S = 1.0
# How late entries learn that an upstream leaves or is back.
SPREAD_S = 0.2


class Turn(typing.NamedTuple):
    """When the oracle wants so many prefill engines."""

    at_s: float
    prefill: int


class Arm(typing.NamedTuple):
    """Roles at the start, and what changes them later."""

    start: typing.Callable[[int], list[str]]
    planner: typing.Callable[[list[shifts.Phase], int], typing.Any]


def _first(count: int, role: str, rest: str, replicas: int) -> list[str]:
    return [role] * count + [rest] * (replicas - count)


class Oracle:
    """Know the phases, and order the best roles ahead of each.

    The numbers are the best that fixed roles reach in a phase, and the lead
    the best of a sweep; both were searched with this bench.
    """

    LEAD_S = 4.0
    READING = 0.6
    DRAFTING = 2

    def __init__(self, phases: list[shifts.Phase], replicas: int) -> None:
        self._turns = []
        at_s = 0.0
        for phase in phases:
            reads = phase.prompt_share > 0.5
            many = round(self.READING * replicas)
            count = many if reads else self.DRAFTING
            self._turns.append(Turn(at_s - self.LEAD_S, count))
            at_s += phase.duration_s

    def observe(self, *_: float) -> None:
        """Know it already."""

    def plan(
        self, engines: typing.Sequence[role_planner.EngineView], now_s: float
    ) -> list[role_planner.Change]:
        """Return the next change towards what is best."""
        if any(item.state != 'serving' for item in engines):
            return []
        wanted = [turn for turn in self._turns if turn.at_s <= now_s][-1]
        readers = [
            item for item in engines if item.role == role_planner.PREFILL
        ]
        others = [
            item for item in engines if item.role != role_planner.PREFILL
        ]
        if len(readers) == wanted.prefill:
            return []
        grow = len(readers) < wanted.prefill
        role = role_planner.PREFILL if grow else role_planner.MIXED
        engine = min(
            others if grow else readers, key=lambda item: item.running
        )
        return [role_planner.Change(engine.name, role, {})]


ARMS: dict[str, Arm] = {
    # Sized for the mix at the start, as an operator would leave it.
    'fixed_split': Arm(
        lambda n: _first(1, 'prefill', 'decode', n),
        lambda *_: role_planner.FixedRoles(),
    ),
    'fixed_mixed': Arm(
        lambda n: _first(0, 'prefill', 'mixed', n),
        lambda *_: role_planner.FixedRoles(),
    ),
    'ours': Arm(
        lambda n: _first(0, 'prefill', 'mixed', n),
        lambda *_: role_planner.make_planner(),
    ),
    'oracle': Arm(
        lambda n: _first(Oracle.DRAFTING, 'prefill', 'mixed', n), Oracle
    ),
    # The best of fixed roles, known only afterwards.
    'fixed_best': Arm(
        lambda n: _first(2, 'prefill', 'mixed', n),
        lambda *_: role_planner.FixedRoles(),
    ),
}
DEFAULT_ARMS = ('fixed_split', 'fixed_mixed', 'ours', 'oracle')


class Executor:
    """Carry out role changes as the control process would."""

    def __init__(
        self, run: fleet.Fleet, infos: list[routing.UpstreamInfo]
    ) -> None:
        self.run = run
        self.infos = {info.name: info for info in infos}
        self.changes: list[tuple[float, role_planner.Change]] = []

    async def tell(self, name: str, **fields: str) -> None:
        """Let all routers know, a little late."""
        self.infos[name] = self.infos[name]._replace(**fields)
        await trio.sleep(SPREAD_S)
        for router in self.run.routers:
            router.set_upstreams(self.infos.values())

    async def carry_out(self, change: role_planner.Change) -> None:
        """Stop new work at an engine, change its role, bring it back."""
        self.changes.append((trio.current_time(), change))
        name = change.upstream
        await self.tell(name, state='draining')
        await orders.set_role(self.run.engines[name], change.role)
        await self.tell(name, role=change.role, state='serving')

    def views(self) -> list[role_planner.EngineView]:
        """Return what the planner may know of the engines."""
        return [
            role_planner.EngineView(
                info.name,
                info.role,
                info.state,
                self.run.engines[info.name].load().running,
            )
            for info in self.infos.values()
        ]

    async def follow(self, planner: typing.Any) -> None:
        """Ask the planner again and again, and do what it says."""
        start_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(PLAN_EVERY_S)
                now_s = trio.current_time() - start_s
                for at_s, work in self.run.arrived:
                    planner.observe(
                        at_s - start_s,
                        work.prompt_tokens,
                        work.max_tokens,
                        work.prompt_tokens,
                    )
                self.run.arrived.clear()
                for change in planner.plan(self.views(), now_s):
                    nursery.start_soon(self.carry_out, change)


async def run_arm(
    arm: Arm, phases: list[shifts.Phase], replicas: int, seed: int
) -> tuple[fleet.Fleet, Executor]:
    """Replay the arrivals of a seed with one arm's planner."""
    network = fleet.Network()
    engines = []
    infos = []
    for index, role in enumerate(arm.start(replicas)):
        name = f'engine-{index}'
        options = model.Options(
            name=name, role=role, load_lag_s=network.load_lag_s, seed=seed
        )
        engines.append(model.Engine(options))
        domain = shifts.DOMAINS[index % len(shifts.DOMAINS)]
        infos.append(routing.UpstreamInfo(name, domain, role=role))
    routers = []
    for index in range(shifts.ENTRIES):
        domain = shifts.DOMAINS[index % len(shifts.DOMAINS)]
        router = routing.make_router(f'vm-{index}', domain, seed, split=True)
        router.set_upstreams(infos)
        routers.append(router)
    run = fleet.Fleet(engines, routers, network, shifts.GIVE_UP_S)
    executor = Executor(run, infos)
    planner = arm.planner(phases, replicas)

    async def follow() -> None:
        await executor.follow(planner)

    arrivals = shifts.make_arrivals(phases, replicas, seed)
    await run.replay(arrivals, [follow])
    return run, executor


def make_phases(load: float, phase_s: float) -> list[shifts.Phase]:
    """Return the shift: the middle phase is twice as long as the others."""
    return [
        shifts.Phase(
            phase_s * (2 if share > 0.5 else 1),
            share,
            shifts.requests_per_s(share, load),
        )
        for share in SHARES
    ]


def _work_s(outcome: fleet.Outcome) -> float:
    """Return the engine seconds of a request, by which it counts."""
    return (
        outcome.work.prompt_tokens * shifts.PROMPT_TOKEN_S
        + outcome.work.max_tokens * shifts.OUTPUT_TOKEN_S
    )


def _good_part(outcomes: typing.Iterable[fleet.Outcome]) -> float:
    items = list(outcomes)
    total = sum(map(_work_s, items))
    return sum(map(_work_s, filter(shifts.is_good, items))) / max(total, 1e-9)


def measure(
    run: fleet.Fleet, executor: Executor, phases: list[shifts.Phase]
) -> dict[str, tuple[float, str]]:
    """Return the measures of a replay, with their units."""
    outcomes = run.outcomes
    found = {
        'goodput': (_good_part(outcomes), 'share of work in deadline'),
        'goodput_requests': (
            sum(map(shifts.is_good, outcomes)) / max(len(outcomes), 1),
            'share of requests in deadline',
        ),
    }
    begin_s = 0.0
    for number, phase in enumerate(phases, 1):
        end_s = begin_s + phase.duration_s
        part = [o for o in outcomes if begin_s <= o.at_s < end_s]
        name = f'goodput_phase_{number}'
        found[name] = (_good_part(part), 'share of work in deadline')
        begin_s = end_s
    lost = sum(item.first_s is None for item in outcomes)
    found['role_changes'] = (len(executor.changes), 'changes')
    found['given_up'] = (lost, 'requests')
    return found


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='bench shift')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--json', action='store_true')
    parser.add_argument('--site', choices=sorted(SITES), default='burlwood')
    parser.add_argument('--arms', default=','.join(DEFAULT_ARMS))
    parser.add_argument('--load', type=float, default=0.9)
    parser.add_argument('--phase-s', type=float, default=40.0)
    return parser


def main(argv: list[str]) -> int:
    """Run the arms asked for and print a line for each measure."""
    args = _parser().parse_args(argv)
    phases = make_phases(args.load, args.phase_s)
    replicas = SITES[args.site]
    arms = args.arms.split(',')
    for arm in arms:
        run, executor = fleet.run_simulated(
            args.seed, run_arm, ARMS[arm], phases, replicas, args.seed
        )
        for name, (value, unit) in measure(run, executor, phases).items():
            line = {'measure': name, 'arm': arm, 'value': round(value, 4)}
            print(json.dumps({**line, 'unit': unit}), flush=True)
    missing = [name for name in ARMS if name not in arms]
    missing += [f'site {name}' for name in SITES if name != args.site]
    last = {'measure': 'not_run', 'arm': '-', 'value': missing, 'unit': '-'}
    print(json.dumps(last))
    return 0
