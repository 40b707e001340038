"""Run the whole path as processes under a seeded mix of failures."""

import argparse
import collections
from concurrent import futures
import functools
import hashlib
import json
import pathlib
import random
import signal
import tempfile
import typing

import httpx
import trio

from gentianstair.bench import lines
from standins import callers
from standins import checkers
from standins import fleet
from standins import history

MODEL = 'judge'
KEY = 'a-key-that-stays'
REVOKED_KEY = 'a-key-that-is-revoked'
DOMAINS = ('north', 'south', 'west')
STREAMS = 12
CALLS = 4
CALM_S = 6.0
FAULT_EVERY_S = 2.5
# Longer than a lease of the bench stands.
CUT_S = 5.0
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


class World:
    """A running fleet, and what may be done to it."""

    def __init__(
        self, folder: pathlib.Path, seed: int, cuts: bool = False
    ) -> None:
        self.folder = folder
        self.cuts = cuts
        self.group = fleet.Fleet(folder)
        self.random = random.Random(seed)
        self.flags: dict[str, tuple[str, ...]] = {}
        self.urls: list[str] = []
        self.platform: fleet.Process
        self.killed_at_s: list[float] = []
        self.done: list[str] = []

    def _start(self, name: str, module: str, *flags: str) -> fleet.Process:
        """Start a process so that it can be started again as it was."""
        process = self.group.start(
            name, module, '--listen=127.0.0.1:0', *flags
        )
        address = f'--listen={fleet.HOST}:{process.ports[0]}'
        self.flags[name] = (module, address, *flags)
        return process

    def restart(self, name: str) -> None:
        """Start a process that has ended, at its address."""
        module, *flags = self.flags[name]
        self.group.start(name, module, *flags)

    def start(self) -> None:
        """Start everything and configure it."""
        self.platform = self._start(
            'platform', 'standins.platform', self._history('platform')
        )
        numbers = range(1, len(DOMAINS) + 1)
        objects = self._objects()
        with futures.ThreadPoolExecutor() as pool:
            service = pool.submit(
                self._start,
                'service',
                'standins.service',
                self._history('service'),
            )
            engines = list(pool.map(self._start_engine, numbers, DOMAINS))
        for number, value in zip(numbers, engines, strict=True):
            objects[f'upstream/engine-{number}'] = value
        objects['upstream/service'] = upstream(
            service.result().url, 'service', 'registration', 'north', True
        )
        for path, value in objects.items():
            self.write(path, value)
        with futures.ThreadPoolExecutor() as pool:
            self.urls += pool.map(self._start_vm, numbers, DOMAINS)

    def _start_engine(self, number: int, domain: str) -> dict:
        """Start an engine and return its object."""
        name = f'engine-{number}'
        flags = ['--name', name, self._history(name)]
        if number == 2:
            flags.append('--ignores-fencing')
        engine = self._start(name, 'standins.engine', *flags)
        url = self._wired(name, engine)
        return upstream(url, 'engine', MODEL, domain, number != 2)

    def _wired(self, name: str, process: fleet.Process) -> str:
        """Return a URL of a process, over a wire if there are cuts."""
        if not self.cuts:
            return process.url
        to = f'--to={fleet.HOST}:{process.ports[0]}'
        return self._start(f'wire-{name}', 'standins.wire', to).url

    def _history(self, name: str) -> str:
        return f'--history={self.folder}/{name}.jsonl'

    def _objects(self) -> dict[str, dict]:
        model = {
            'engine_model': MODEL,
            'adapter': None,
            'customers': [],
            'share_prefixes': False,
        }
        objects: dict[str, dict] = {
            'customer/burlwood': {
                'weight': 1.0,
                'requests_per_s': 0.0,
                'tokens_per_s': 0.0,
                'concurrent': 0,
                'enabled': True,
            },
            'bundle/1': {
                'number': 1,
                'models': {MODEL: model},
                'settings': {},
                'note': '',
                'signature': '',
            },
            'accepted/current': {'number': 1, 'previous': 0},
        }
        for key in (KEY, REVOKED_KEY):
            objects[f'key/{digest(key)}'] = key_value(False)
        return objects

    def _start_vm(self, number: int, domain: str) -> str:
        """Start the processes of a VM and return its entry's URL."""
        platform_url = self._wired(f'store-{number}', self.platform)
        common = (
            f'--vm-name=vm-{number}',
            f'--failure-domain={domain}',
            f'--platform-url={platform_url}',
            '--usage-window-s=3',
            '--usage-grace-s=2',
        )
        entry = self._start(
            f'entry-{number}',
            'gentianstair.entry.main',
            *common,
            '--operator-listen=127.0.0.1:0',
            '--peer-listen=127.0.0.1:0',
            '--leave-wait-s=0.2',
            '--upstream-stall-s=5',
        )
        if number < 3:
            self._start(
                f'control-{number}',
                'gentianstair.control.main',
                *common,
                '--lease-duration-s=3',
                '--lease-margin-s=0.3',
                '--order-lifetime-s=1',
            )
        return entry.url

    def write(self, path: str, value: dict) -> None:
        """Write an object whatever its version is."""
        url = f'{self.platform.url}/v1/objects/{path}'
        version = httpx.get(url).json()
        expect = version['version'] if version['value'] is not None else 0
        httpx.put(
            url, params={'expect_version': expect}, json=value
        ).raise_for_status()

    def switch(self, **faults: typing.Any) -> None:
        """Set faults of the platform."""
        url = f'{self.platform.url}/switch/faults'
        httpx.post(url, json=faults).raise_for_status()

    def merged(self, record: history.History) -> list[history.Event]:
        """Return what all stand-ins and the callers saw, in order."""
        paths = sorted(self.folder.glob('*.jsonl'))
        events = [*history.read(paths), *record.events]
        return sorted(events, key=lambda event: event.at_s)


def digest(key: str) -> str:
    """Return the name under which a key is kept."""
    return hashlib.sha256(key.encode()).hexdigest()


def key_value(revoked: bool) -> dict:
    """Return a key's object."""
    return {'customer': 'burlwood', 'label': '', 'revoked': revoked}


def upstream(
    url: str, kind: str, model: str, domain: str, checks: bool
) -> dict:
    """Return an upstream's object."""
    return {
        'url': url,
        'type': kind,
        'failure_domain': domain,
        'capacity_class': 'on-demand',
        'state': 'active',
        'role': 'mixed',
        'models': [model],
        'checks_fencing': checks,
        'concurrent': 32,
    }


async def _thread(function: typing.Callable, *args, **kwargs) -> None:
    await trio.to_thread.run_sync(functools.partial(function, *args, **kwargs))


async def _kill(world: World, name: str, away_s: float) -> None:
    if name.startswith('entry'):
        world.killed_at_s.append(trio.current_time())
    await _thread(world.group.kill, name)
    await trio.sleep(away_s)
    await _thread(world.restart, name)


async def _stop(world: World, name: str, away_s: float) -> None:
    await _thread(world.group.stop, name)
    await trio.sleep(away_s)
    await _thread(world.restart, name)


async def _pause(world: World, name: str, away_s: float) -> None:
    process = world.group.processes[name]
    process.send(signal.SIGSTOP)
    await trio.sleep(away_s)
    process.send(signal.SIGCONT)


async def _store(world: World, faults: dict, for_s: float) -> None:
    await _thread(world.switch, **faults)
    await trio.sleep(for_s)
    off = {'down': False, 'delay_s': 0.0, 'lose_answers': 0.0}
    await _thread(world.switch, **{name: off[name] for name in faults})


async def _drain(world: World, name: str, away_s: float) -> None:
    """Drain an engine and take it back, as an operator does."""
    url = f'{world.platform.url}/v1/objects/upstream/{name}'
    value = (await trio.to_thread.run_sync(httpx.get, url)).json()['value']
    for state in ('draining', 'active'):
        changed = {**value, 'state': state}
        await _thread(world.write, f'upstream/{name}', changed)
        await trio.sleep(away_s)


async def _cut(world: World, wire: str, back_only: bool) -> None:
    """Cut a wire for some seconds; what was held then arrives late."""
    process = world.group.processes[f'wire-{wire}']
    process.send(signal.SIGUSR2 if back_only else signal.SIGUSR1)
    await trio.sleep(CUT_S)
    process.send(signal.SIGHUP)


class Fault(typing.NamedTuple):
    """Something that goes wrong; ``lock`` is what it happens to."""

    name: str
    lock: str
    run: typing.Callable[[World], typing.Awaitable[None]]


def _cuts() -> list[Fault]:
    """Return the cuts of each VM from the store and of each engine."""
    found = []
    for number in (1, 2, 3):
        for name in (f'store-{number}', f'engine-{number}'):
            for back_only in (False, True):
                way = 'one-way ' if back_only else ''
                found.append(
                    Fault(
                        f'{way}cut {name}',
                        name,
                        lambda w, n=name, b=back_only: _cut(w, n, b),
                    )
                )
    return found


def _menu() -> list[Fault]:
    """Return all faults there are."""
    menu = []
    for number in (1, 2, 3):
        entry, engine = f'entry-{number}', f'engine-{number}'
        menu += [
            Fault(f'kill {entry}', entry, lambda w, n=entry: _kill(w, n, 1)),
            Fault(f'pause {entry}', entry, lambda w, n=entry: _pause(w, n, 3)),
            Fault(f'stop {entry}', entry, lambda w, n=entry: _stop(w, n, 0.5)),
            Fault(
                f'kill {engine}', engine, lambda w, n=engine: _kill(w, n, 2)
            ),
            Fault(
                f'stop {engine}', engine, lambda w, n=engine: _stop(w, n, 1)
            ),
            Fault(
                f'pause {engine}', engine, lambda w, n=engine: _pause(w, n, 7)
            ),
            Fault(
                f'drain {engine}', engine, lambda w, n=engine: _drain(w, n, 3)
            ),
        ]
    for number in (1, 2):
        name = f'control-{number}'
        menu += [
            Fault(f'kill {name}', name, lambda w, n=name: _kill(w, n, 1)),
            Fault(f'pause {name}', name, lambda w, n=name: _pause(w, n, 5)),
        ]
    menu += [
        Fault('store down', 'store', lambda w: _store(w, {'down': True}, 4)),
        Fault('store slow', 'store', lambda w: _store(w, {'delay_s': 0.4}, 4)),
        Fault(
            'store loses answers',
            'store',
            lambda w: _store(w, {'lose_answers': 0.3}, 4),
        ),
    ]
    return menu


async def _fault_loop(world: World, for_s: float) -> None:
    """Start a fault, or two, every so often; let all end."""
    busy: set[str] = set()

    async def run(fault: Fault) -> None:
        await fault.run(world)
        busy.discard(fault.lock)

    menu = _menu() + (2 * _cuts() if world.cuts else [])
    end_s = trio.current_time() + for_s
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end_s:
            for _ in range(world.random.choice((1, 1, 2))):
                fault = world.random.choice(menu)
                if fault.lock in busy or _last_left(fault, busy):
                    continue
                busy.add(fault.lock)
                world.done.append(fault.name)
                nursery.start_soon(run, fault)
            await trio.sleep(FAULT_EVERY_S)


def _last_left(fault: Fault, busy: set[str]) -> bool:
    """Return whether another of its kind is already away.

    With two of three entry VMs or engines gone the figures would show the
    size of this fleet more than what the system does.
    """
    kind = fault.lock.partition('-')[0]
    return any(name.startswith(kind) for name in busy)


class Run(typing.NamedTuple):
    """What the callers saw: when each phase began, and all outcomes."""

    calm_s: tuple[float, float]
    faults_s: tuple[float, float]
    outcomes: list[tuple[float, str, callers.Outcome]]


async def _wait_ready(world: World) -> None:
    async with callers.make_client() as client:
        with trio.fail_after(READY_S):
            for url in world.urls:
                while (await client.get(f'{url}/readyz')).status_code != 200:
                    await trio.sleep(0.05)


async def _drive(
    world: World, record: history.History, seed: int, faults_s: float
) -> Run:
    await _wait_ready(world)
    everybody: list[callers.Caller] = []
    target = callers.Target(world.urls, KEY, 'stays')
    doomed = callers.Target(world.urls, REVOKED_KEY, 'revoked')
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
            nursery.start_soon(caller.run_streams, MODEL, f's{number}')
        for number in range(CALLS):
            caller = add('call', number, target)
            nursery.start_soon(caller.run_calls, f'c{number}')
        caller = add('revoked', 0, doomed)
        nursery.start_soon(caller.run_streams, MODEL, 'revoked')
        started_s = trio.current_time()
        await trio.sleep(CALM_S)
        faulty_s = trio.current_time()
        await _thread(
            world.write, f'key/{digest(REVOKED_KEY)}', key_value(True)
        )
        record.add('key_revoked', key_label='revoked')
        await _fault_loop(world, faults_s)
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


def _lost(world: World, run: Run) -> int:
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
    world: World, run: Run, events: list[history.Event]
) -> list[lines.Figure]:
    """Return the figures of a run; the first ones must be 0."""
    found = []
    breaches = {name: check(events) for name, check in checkers.ALL.items()}
    breaches['revoked_keys'] = checkers.check_revoked_keys(
        events, REVOKED_BOUND_S
    )
    breaches['keys_seen'] = checkers.check_keys_unseen(
        events, [KEY, REVOKED_KEY]
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
        world = World(folder, seed, cuts)
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
