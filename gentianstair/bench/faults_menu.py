"""What may go wrong in the faults bench, and when it does."""

import functools
import signal
import typing

import httpx
import trio

from gentianstair.bench import faults_world

FAULT_EVERY_S = 2.5
# Longer than a lease of the bench stands.
CUT_S = 5.0

World = faults_world.World


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


async def run_faults(world: World, for_s: float) -> None:
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
