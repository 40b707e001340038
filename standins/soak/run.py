"""Play one seed: gateways as processes, faults from outside them."""

import collections.abc
import pathlib
import typing

import trio

from standins import lateness
from standins.site import processes
from standins.site import site as sites
from standins.soak import callers
from standins.soak import checks
from standins.soak import kept
from standins.soak import parts
from standins.soak import paths
from standins.soak import plan
from standins.soak import strikes
from standins.soak import versions

VMS = strikes.VMS
# With more VMs than hubs.MAX_MESH_VMS there are leaves.
VMS_WITH_LEAVES = 14
CALLERS = 6
# Enough that the service of single VMs can be compared; there are no kept
# connections beside them, which all send at once.
CALLERS_OF_CUTS = 30
# Kept connections to each of the first VMS, by how they are used.
KEPT = {kept.Use.OFTEN: 4, kept.Use.RARELY: 8, kept.Use.AT_CLOSE: 150}
# After the last fault all must be served again within this time.
RECOVERY_S = 15.0
PROOF_CALLS = 12
# A key must be gone by then also where a VM was paused or without the store.
REVOKE_S = 12.0
# Faults beside which callers resume streams.
WITH_RESUMING = ('version', 'order', 'release')
Draw = collections.abc.Callable[[int, float], list[plan.Fault]]


def default_vms(plan_name: str) -> int:
    """Return how many VMs a plan is played with."""
    return VMS_WITH_LEAVES if plan_name == 'hubs' else VMS


class Result(typing.NamedTuple):
    """What a run showed."""

    breaches: list[str]
    # By callers of all VMs, with their successes, and on kept connections.
    sent: int
    served: int
    sent_kept: int
    served_kept: int
    # Requests on kept connections that were closed with no answer.
    crossed: int
    # Requests that resumed a stream, and those that brought more of it.
    resumed: int
    gone_on: int
    # Of this process, which plays replicas, store and callers: its turns, and
    # its replicas' reading of requests.
    late: lateness.Lateness
    read_late: lateness.Lateness


async def play(
    seed: int,
    length_s: float,
    folder: pathlib.Path,
    draw: Draw = plan.draw_both,
    vms: int = VMS,
) -> Result:
    """Play a seed for so long; logs of the processes stay in folder."""
    recorder = lateness.Recorder()
    faults = draw(seed, length_s)
    found = None
    is_slow = _has(faults, 'order')
    if is_slow or _has(faults, 'version'):
        found = versions.make_replicas(
            versions.SLOW_TOKENS_PER_S if is_slow else versions.TOKENS_PER_S
        )
    if _has(faults, 'release'):
        found = versions.make_replicas(versions.TOKENS_PER_S, ('v1',))
    if _has(faults, 'part'):
        found = parts.make_replicas()
    async with sites.running(found) as site, trio.open_nursery() as nursery:
        nursery.start_soon(recorder.run)
        soak = strikes.Soak(site, folder, vms)
        await soak.start_links(nursery)
        if _has(faults, 'paths'):
            soak.paths = paths.Paths(site)
            for gateway in soak.gateways:
                await soak.paths.add(gateway.vm, nursery)
        try:
            await soak.start_all()
            await _strike_all(soak, seed, faults)
        finally:
            await soak.kill_all()
        nursery.cancel_scope.cancel()
    return _result(soak, recorder.result())


def _has(faults: list[plan.Fault], where: str) -> bool:
    return any(fault.where == where for fault in faults)


def _result(soak: strikes.Soak, late: lateness.Lateness) -> Result:
    seen = checks.Seen(
        soak.sent + soak.sent_kept,
        soak.asked,
        soak.site.replicas,
        soak.site.cloud,
        processes.LEASE_MS / 1000,
        soak.revoked_s,
        REVOKE_S,
        soak.breaks,
        soak.cuts,
        soak.disturbed,
        soak.limits,
        soak.streams,
        soak.timeline.all(),
        soak.asked_parts,
        soak.out_of_touch,
    )
    return Result(
        soak.breaches + checks.all_breaches(seen),
        len(soak.sent),
        _count_served(soak.sent),
        len(soak.sent_kept),
        _count_served(soak.sent_kept),
        sum(sent.hung_up for sent in seen.sent),
        sum(len(stream.parts) - 1 for stream in seen.streams),
        sum(bool(p.events) for s in seen.streams for p in s.parts[1:]),
        late,
        lateness.summary(
            arrival.read_s - arrival.at_s
            for replica in seen.replicas
            for arrival in replica.came
        ),
    )


def _count_served(sent: list[callers.Sent]) -> int:
    return sum(one.status == 200 and one.whole for one in sent)


async def _strike_all(
    soak: strikes.Soak, seed: int, faults: list[plan.Fault]
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(soak.watch_exits)
        _start_callers(soak, seed, nursery)
        if any(_has(faults, where) for where in WITH_RESUMING):
            _start_resuming(soak, seed, nursery)
        if _has(faults, 'part'):
            _start_with_parts(soak, seed, nursery)
        async with trio.open_nursery() as kept_nursery:
            if soak.paths is None and not any(
                _has(faults, where)
                for where in (*WITH_RESUMING, 'part', 'notice')
            ):
                _start_kept(soak, seed, kept_nursery)
            async with trio.open_nursery() as fault_nursery:
                for fault in faults:
                    fault_nursery.start_soon(soak.strike, fault)
            # They are a load by themselves, and no part of the proof.
            kept_nursery.cancel_scope.cancel()
        await _prove_recovery(soak, seed)
        nursery.cancel_scope.cancel()


def _start_callers(
    soak: strikes.Soak, seed: int, nursery: trio.Nursery
) -> None:
    for number in range(CALLERS if soak.paths is None else CALLERS_OF_CUTS):
        nursery.start_soon(
            callers.run,
            soak.gateways,
            number,
            seed,
            soak.asked,
            soak.sent,
        )


def _start_resuming(
    soak: strikes.Soak, seed: int, nursery: trio.Nursery
) -> None:
    for number in range(versions.CALLERS):
        caller = versions.Caller(
            soak.gateways, number, seed, soak.asked, soak.streams
        )
        nursery.start_soon(caller.run)


def _start_with_parts(
    soak: strikes.Soak, seed: int, nursery: trio.Nursery
) -> None:
    kinds = [(f'b{part[-1]}', part) for part in parts.BAD]
    kinds.append(('w', parts.OWN))
    kinds += [(f'f{number}', '') for number in range(parts.SOUND_CALLERS)]
    for name, part in kinds:
        caller = parts.Caller(
            soak.gateways, name, seed, part, soak.asked, soak.asked_parts
        )
        nursery.start_soon(caller.run, soak.bad_parts)


def _start_kept(soak: strikes.Soak, seed: int, nursery: trio.Nursery) -> None:
    for gateway in soak.gateways[:VMS]:
        for use, number in KEPT.items():
            for one in range(number):
                caller = kept.Caller(
                    gateway,
                    f'{gateway.vm[-1]}{use.value}{one:02x}',
                    use,
                    seed,
                    soak.stopped_s,
                    soak.asked,
                    soak.sent_kept,
                )
                nursery.start_soon(caller.run)


async def _prove_recovery(soak: strikes.Soak, seed: int) -> None:
    """See that all VMs serve again once the faults are over."""
    with trio.move_on_after(RECOVERY_S) as late:
        for gateway in soak.gateways:
            while not await gateway.is_ready():
                await trio.sleep(0.1)
    if late.cancelled_caught:
        soak.breaches.append('not all are ready again')
    before = len(soak.sent)
    with trio.move_on_after(RECOVERY_S):
        while not _served_since(soak, before):
            before = max(before, len(soak.sent) - PROOF_CALLS)
            await trio.sleep(0.1)
        return
    soak.breaches.append(f'seed {seed}: not served again')


def _served_since(soak: strikes.Soak, before: int) -> bool:
    """Return whether the calls since then were all served."""
    found = soak.sent[before:]
    wanted = [s for s in found if s.key not in soak.revoked_s]
    return len(found) >= PROOF_CALLS and all(
        sent.status == 200 for sent in wanted
    )
