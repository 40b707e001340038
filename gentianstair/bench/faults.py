"""Run the whole path as processes under a seeded mix of failures."""

import argparse
import collections
import json
import pathlib
import tempfile
import typing

import trio

from gentianstair.bench import faults_menu
from gentianstair.bench import faults_world as worlds
from gentianstair.bench import lines
from standins import callers
from standins import checkers
from standins import history

STREAMS = 12
CALLS = 4
CALM_S = 6.0
# A revoked key may still work while a VM that hears nobody counts as fresh.
REVOKED_BOUND_S = 10.0
SETTLE_S = 4.0
READY_S = 20.0
CUTS = 'cuts and one-way cuts (--cuts)'
NOT_RUN = (
    'cuts between entry VMs',
    'clocks that jump',
    'failure domain of cheap upstreams reclaimed',
    'several hundred processes',
)


class Run(typing.NamedTuple):
    """What the callers saw: when each phase began, and all outcomes."""

    calm_s: tuple[float, float]
    faults_s: tuple[float, float]
    outcomes: list[tuple[float, str, callers.Outcome]]


async def _wait_ready(world: worlds.World) -> None:
    async with callers.make_client() as client:
        with trio.fail_after(READY_S):
            for url in world.urls:
                while (await client.get(f'{url}/readyz')).status_code != 200:
                    await trio.sleep(0.05)


async def _drive(
    world: worlds.World, record: history.History, seed: int, faults_s: float
) -> Run:
    await _wait_ready(world)
    everybody: list[callers.Caller] = []
    target = callers.Target(world.urls, worlds.KEY, 'stays')
    doomed = callers.Target(world.urls, worlds.REVOKED_KEY, 'revoked')
    async with callers.make_client() as client, trio.open_nursery() as nursery:

        def add(
            kind: str, number: int, whom: callers.Target
        ) -> callers.Caller:
            made = callers.Caller(
                whom, client, record, f'{seed}/{kind}/{number}'
            )
            everybody.append(made)
            return made

        for number in range(STREAMS):
            caller = add('stream', number, target)
            nursery.start_soon(caller.run_streams, worlds.MODEL, f's{number}')
        for number in range(CALLS):
            caller = add('call', number, target)
            nursery.start_soon(caller.run_calls, f'c{number}')
        caller = add('revoked', 0, doomed)
        nursery.start_soon(caller.run_streams, worlds.MODEL, 'revoked')
        started_s = trio.current_time()
        await trio.sleep(CALM_S)
        faulty_s = trio.current_time()
        await trio.to_thread.run_sync(world.revoke_key)
        record.add('key_revoked', key_label='revoked')
        await faults_menu.run_faults(world, faults_s)
        ended_s = trio.current_time()
        await trio.sleep(SETTLE_S)
        nursery.cancel_scope.cancel()
    outcomes = [item for caller in everybody for item in caller.outcomes]
    return Run((started_s, faulty_s), (faulty_s, ended_s), sorted(outcomes))


def _goodput(run: Run, span_s: tuple[float, float]) -> float:
    whole = [
        at_s
        for at_s, _, outcome in run.outcomes
        if outcome.ending == 'whole' and span_s[0] <= at_s < span_s[1]
    ]
    return len(whole) / (span_s[1] - span_s[0])


def _longest_gap_s(run: Run) -> float:
    begin_s, end_s = run.faults_s
    times = [begin_s, end_s] + [
        at_s
        for at_s, _, outcome in run.outcomes
        if outcome.ending == 'whole' and begin_s <= at_s < end_s
    ]
    times.sort()
    return max(b - a for a, b in zip(times, times[1:], strict=False))


def _lost(world: worlds.World, run: Run) -> int:
    """Return how many answers broke off though no entry VM was killed.

    A killed VM cuts its connections; its callers see that at once, as a
    stream without its end or a connection without an answer.
    """

    def excused(at_s: float) -> bool:
        return any(
            -0.5 < at_s - killed_s < 2.5 for killed_s in world.killed_at_s
        )

    return sum(
        1
        for at_s, _, outcome in run.outcomes
        if outcome.ending == 'cut'
        and outcome.status == 200
        and not excused(at_s)
    )


def figures(
    world: worlds.World, run: Run, events: list[history.Event]
) -> list[lines.Figure]:
    """Return the figures of a run; the first ones must be 0."""
    found = []
    breaches = {name: check(events) for name, check in checkers.ALL.items()}
    breaches['revoked_keys'] = checkers.check_revoked_keys(
        events, REVOKED_BOUND_S
    )
    breaches['keys_seen'] = checkers.check_keys_unseen(
        events, [worlds.KEY, worlds.REVOKED_KEY]
    )
    for name, rows in breaches.items():
        found.append(lines.Figure(name, 'gentianstair', len(rows), 'breaches'))
        for row in rows[:3]:
            found.append(
                lines.Figure(f'{name}_detail', 'gentianstair', row, '-')
            )
    lost = _lost(world, run)
    found.append(lines.Figure('lost_answers', 'gentianstair', lost, 'count'))
    counts = collections.Counter(
        f'{kind}/{outcome.ending}/{outcome.verdict}'
        for _, kind, outcome in run.outcomes
    )
    for name, count in sorted(counts.items()):
        found.append(lines.Figure(name, 'gentianstair', count, 'requests'))
    calm, faulty = _goodput(run, run.calm_s), _goodput(run, run.faults_s)
    found += [
        lines.Figure('goodput', 'calm', calm, 'requests/s'),
        lines.Figure('goodput', 'faults', faulty, 'requests/s'),
        lines.Figure('longest_gap', 'faults', _longest_gap_s(run), 's'),
        lines.Figure('faults_run', 'faults', world.done, '-'),
    ]
    return found


def bad(found: list[lines.Figure]) -> int:
    """Return the number of breaches and lost answers among figures."""
    return sum(
        figure.value
        for figure in found
        if figure.unit == 'breaches' or figure.measure == 'lost_answers'
    )


def measure(
    seed: int,
    faults_s: float,
    keep: pathlib.Path | None = None,
    cuts: bool = False,
) -> list[lines.Figure]:
    """Run one seed and return its figures."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = keep or pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        world = worlds.World(folder, seed, cuts)
        record = history.History('callers')
        try:
            world.start()
            run = trio.run(_drive, world, record, seed, faults_s)
        finally:
            world.group.stop_all()
        events = world.merged(record)
        if keep:
            text = '\n'.join(json.dumps(e._asdict()) for e in record.events)
            (folder / 'callers.json').write_text(text)
        return figures(world, run, events)


def main(argv: list[str]) -> int:
    """Run the experiment; exit 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog='bench faults')
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument('--json', action='store_true')
    parser.add_argument('--faults-s', type=float, default=18.0)
    parser.add_argument(
        '--cuts', action='store_true', help='cut VMs from store and engines'
    )
    parser.add_argument('--keep', type=pathlib.Path)
    args = parser.parse_args(argv)
    found = measure(args.seed, args.faults_s, args.keep, args.cuts)
    not_run = NOT_RUN if args.cuts else (CUTS, *NOT_RUN)
    lines.show(found, args.json, not_run)
    return 1 if bad(found) else 0
