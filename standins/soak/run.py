"""Play one seed: gateways as processes, faults from outside them."""

import collections.abc
import contextlib
import copy
import pathlib
import random
import signal
import typing

import trio

from gentianstair.gateway import hubs
from gentianstair.gateway import main as gateways
from standins import lateness
from standins.site import processes
from standins.site import replica as replicas
from standins.site import site as sites
from standins.soak import callers
from standins.soak import checks
from standins.soak import kept
from standins.soak import paths
from standins.soak import plan
from standins.soak import proxy

VMS = 3
# With more VMs than hubs.MAX_MESH_VMS there are leaves.
VMS_WITH_LEAVES = 14
DOMAINS = 'abc'
CALLERS = 6
# Enough that the service of single VMs can be compared; there are no kept
# connections beside them, which all send at once.
CALLERS_OF_CUTS = 30
# Kept connections to each of the first VMS, by how they are used.
KEPT = {kept.Use.OFTEN: 4, kept.Use.RARELY: 8, kept.Use.AT_CLOSE: 150}
RESTART_S = 0.5
# After the last fault all must be served again within this time.
RECOVERY_S = 15.0
PROOF_CALLS = 12
# A key must be gone by then also where a VM was paused or without the store.
REVOKE_S = 12.0
REFUSED_STATUS = 503
_REPLICA_FAULTS: dict[str, dict[str, typing.Any]] = {
    'fails': {'fails_with': 500},
    'full': {'full': True},
    'silent': {'silent': True},
    'breaks': {'breaks_after': 2},
    'changed': {'changed': True},
}


def default_vms(plan_name: str) -> int:
    """Return how many VMs a plan is played with."""
    return VMS_WITH_LEAVES if plan_name == 'hubs' else VMS


Draw = collections.abc.Callable[[int, float], list[plan.Fault]]


class Soak:
    """One run and what its faults act on."""

    def __init__(
        self, site: sites.Site, folder: pathlib.Path, vms: int = VMS
    ) -> None:
        self.site = site
        self.gateways = [
            processes.Gateway(folder, number, kept.KEEP_ALIVE_S)
            for number in range(vms)
        ]
        if vms > VMS:
            for number, gateway in enumerate(self.gateways):
                gateway.failure_domain = DOMAINS[number % len(DOMAINS)]
        self.store_links = [proxy.Proxy(site.store_port) for _ in range(vms)]
        self.replica_links = [
            proxy.Proxy(int(replica.address.rpartition(':')[2]))
            for replica in site.replicas
        ]
        self.asked: dict[str, callers.Asked] = {}
        self.sent: list[callers.Sent] = []
        self.sent_kept: list[callers.Sent] = []
        self.breaks: list[checks.Break] = []
        # When SIGTERM came, by VM; the latest.
        self.stopped_s: dict[str, float] = {}
        self.revoked_s: dict[str, float] = {}
        self.breaches: list[str] = []
        # VMs cut from all replicas, and those whose process was disturbed.
        self.cuts: list[checks.Cut] = []
        self.disturbed: list[checks.Break] = []
        self.limits: list[checks.Limit] = []
        # Each VM's own paths to replicas; none if they are never cut.
        self.paths: paths.Paths | None = None
        self._version = int(sites.CONFIG['version'])
        self._config = copy.deepcopy(sites.CONFIG)
        # VMs whose process is meant to be away.
        self._away: set[str] = set()

    def start(self, number: int, bootstrap: bool) -> None:
        """Start the process of a VM."""
        self.gateways[number].start(
            self.store_links[number].port,
            self.site.cloud_port,
            self.gateways[0].ports['control'],
            bootstrap,
        )

    async def watch_exits(self) -> None:
        """Note processes that end though nobody ended them."""
        while True:
            for gateway in self.gateways:
                if gateway.vm in self._away or gateway.is_running():
                    continue
                code = await gateway.wait()
                self.breaches.append(f'{gateway.vm} ended by itself: {code}')
                self._away.add(gateway.vm)
            await trio.sleep(0.1)

    async def strike(self, fault: plan.Fault) -> None:
        """Carry one fault out, from its time to its end."""
        await trio.sleep(fault.at_s)
        strikes = {
            'process': self._strike_process,
            'hub': self._strike_hub,
            'replica': self._strike_replica,
            'store': self._strike_store,
            'store-link': self._strike_link,
            'replica-link': self._strike_link,
            'change': self._change,
            'paths': self._strike_paths,
            'limit': self._strike_limit,
        }
        await strikes[fault.where](fault)

    async def _strike_process(self, fault: plan.Fault) -> None:
        numbers = [fault.whom % len(self.gateways)]
        if fault.what == 'kill-all':
            numbers = list(range(len(self.gateways)))
        async with trio.open_nursery() as nursery:
            for number in numbers:
                nursery.start_soon(self._signal, number, fault)

    async def _strike_hub(self, fault: plan.Fault) -> None:
        found = hubs.select(
            hubs.Vm(gateway.vm, gateway.failure_domain, '', 0.0)
            for gateway in self.gateways
        )
        vm = found[fault.whom % len(found)].name
        if fault.what == 'refuses':
            await self._refuse(vm, fault.lasts_s)
            return
        (number,) = [
            number
            for number, gateway in enumerate(self.gateways)
            if gateway.vm == vm
        ]
        await self._signal(number, fault)

    async def _refuse(self, vm: str, lasts_s: float) -> None:
        """Let the store refuse a VM's calls for so long."""
        faults = self.site.faults
        faults.refused_status = REFUSED_STATUS
        faults.refused_vms.add(vm)
        await trio.sleep(lasts_s)
        faults.refused_vms.discard(vm)

    async def _strike_paths(self, fault: plan.Fault) -> None:
        """Cut some VMs, but not all, from all replicas for so long."""
        assert self.paths is not None
        vms = [gateway.vm for gateway in self.gateways]
        chance = random.Random(fault.whom)
        cut = chance.sample(vms, chance.randrange(1, len(vms)))
        for vm in cut:
            self.paths.cut(vm, paths.Cut(fault.what))
        from_s = trio.current_time()
        await trio.sleep(fault.lasts_s)
        for vm in cut:
            self.paths.heal(vm)
        self.cuts.append(
            checks.Cut(frozenset(cut), from_s, trio.current_time())
        )

    async def _strike_limit(self, fault: plan.Fault) -> None:
        """Have a replica name a limit for so long, unless it does."""
        number = fault.whom % len(self.site.replicas)
        found = self.site.replicas[number]
        record = self.replica_links[number].record
        if found.limit_per_s is not None:
            return
        limit_per_s = float(fault.what)
        record.forget_limits()
        found.name_limit(limit_per_s)
        await trio.sleep(fault.lasts_s)
        named_s = record.limit_named_s(str(limit_per_s))
        if named_s is not None:
            self.limits.append(
                checks.Limit(
                    found.name, limit_per_s, named_s, trio.current_time()
                )
            )
        found.name_limit(None)

    async def _signal(self, number: int, fault: plan.Fault) -> None:
        gateway = self.gateways[number]
        if fault.what == 'hup':
            # Also to one that is about to end.
            if gateway.has_started():
                gateway.signal(signal.SIGHUP)
            return
        if gateway.vm in self._away:
            if fault.what == 'stop':
                # A stop is asked for again; it changes nothing.
                gateway.signal(signal.SIGTERM)
            return
        now_s = trio.current_time()
        if fault.what == 'pause':
            gateway.signal(signal.SIGSTOP)
            await trio.sleep(fault.lasts_s)
            gateway.signal(signal.SIGCONT)
            self._note_disturbed(gateway.vm, now_s)
            return
        self._away.add(gateway.vm)
        # A stop before it serves cuts nobody, and ends an interpreter.
        planned = fault.what == 'stop' and gateway.has_started()
        gentle = fault.what == 'stop'
        breaks_s = now_s
        if planned:
            self.stopped_s[gateway.vm] = now_s
            breaks_s += gateways.connection_grace_s(processes.GRACE_S)
        gateway.signal(signal.SIGTERM if gentle else signal.SIGKILL)
        # One that is paused at this moment must be able to end.
        gateway.signal(signal.SIGCONT)
        code = await gateway.wait()
        if planned and code != 0:
            self.breaches.append(f'{gateway.vm}: a planned stop gave {code}')
        self._note_break(gateway.vm, breaks_s)
        await trio.sleep(RESTART_S)
        self.start(number, bootstrap=False)
        self._note_disturbed(gateway.vm, now_s)
        self._away.discard(gateway.vm)

    def _note_disturbed(self, vm: str, from_s: float) -> None:
        self.disturbed.append(checks.Break(vm, from_s, trio.current_time()))

    def _note_break(self, who: str, from_s: float) -> None:
        """Note that answers of a VM or replica may have ended until now."""
        now_s = trio.current_time()
        self.breaks.append(checks.Break(who, from_s, now_s))

    async def _strike_replica(self, fault: plan.Fault) -> None:
        found = self.site.replicas[fault.whom % len(self.site.replicas)]
        if fault.what == 'drains':
            found.draining = True
            await trio.sleep(fault.lasts_s)
            found.draining = False
            return
        vars(found.faults).update(_REPLICA_FAULTS[fault.what])
        from_s = trio.current_time()
        await trio.sleep(fault.lasts_s)
        if fault.what == 'breaks':
            self._note_break(found.name, from_s)
        found.faults = replicas.Faults()

    async def _strike_store(self, fault: plan.Fault) -> None:
        faults = self.site.faults
        if fault.what == 'compacts':
            listing = self.site.table.list('servers')
            faults.compacted_revision = listing.revision
            return
        if fault.what == 'refuses':
            gateway = self.gateways[fault.whom % len(self.gateways)]
            await self._refuse(gateway.vm, fault.lasts_s)
            return
        if fault.what == 'down':
            faults.down = True
        else:
            faults.lose_answers, faults.late_s = 0.4, 1.0
        await trio.sleep(fault.lasts_s)
        faults.down = False
        faults.lose_answers = 0.0

    async def _strike_link(self, fault: plan.Fault) -> None:
        links = self.store_links
        if fault.where == 'replica-link':
            links = self.replica_links
        number = fault.whom % len(links)
        link, mode = links[number], proxy.Mode(fault.what)
        link.set(mode)
        from_s = trio.current_time()
        await trio.sleep(fault.lasts_s)
        if links is self.replica_links and mode is proxy.Mode.RESET:
            self._note_break(self.site.replicas[number].name, from_s)
        link.set(proxy.Mode.PASS)

    async def _change(self, fault: plan.Fault) -> None:
        self._version += 1 + fault.whom % 3
        if fault.what == 'revoke' and not self.revoked_s:
            self._config['tenants'][1]['api_keys'] = []
            self.revoked_s['guild-key-1'] = trio.current_time()
        self.site.put_config({**self._config, 'version': self._version})

    async def prove_recovery(self, seed: int) -> None:
        """See that all VMs serve again once the faults are over."""
        with trio.move_on_after(RECOVERY_S) as late:
            for gateway in self.gateways:
                while not await gateway.is_ready():
                    await trio.sleep(0.1)
        if late.cancelled_caught:
            self.breaches.append('not all are ready again')
        before = len(self.sent)
        with trio.move_on_after(RECOVERY_S):
            while not self._served_since(before):
                before = max(before, len(self.sent) - PROOF_CALLS)
                await trio.sleep(0.1)
            return
        self.breaches.append(f'seed {seed}: not served again')

    def _served_since(self, before: int) -> bool:
        """Return whether the calls since then were all served."""
        found = self.sent[before:]
        wanted = [s for s in found if s.key not in self.revoked_s]
        return len(found) >= PROOF_CALLS and all(
            sent.status == 200 for sent in wanted
        )


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
    # Of this process, which plays replicas, store and callers.
    late: lateness.Lateness


async def play(
    seed: int,
    length_s: float,
    folder: pathlib.Path,
    draw: Draw = plan.draw_both,
    vms: int = VMS,
) -> Result:
    """Play a seed for so long; logs of the processes stay in folder."""
    recorder = lateness.Recorder()
    async with sites.running() as site, trio.open_nursery() as nursery:
        nursery.start_soon(recorder.run)
        soak = Soak(site, folder, vms)
        for link in (*soak.store_links, *soak.replica_links):
            await nursery.start(link.run)
        pairs = zip(site.replicas, soak.replica_links, strict=True)
        for replica, link in pairs:
            replica.address = f'127.0.0.1:{link.port}'
            replica.received_s = link.record.received_s
        faults = draw(seed, length_s)
        if any(fault.where == 'paths' for fault in faults):
            soak.paths = paths.Paths(site)
            for gateway in soak.gateways:
                await soak.paths.add(gateway.vm, nursery)
        try:
            for number in range(vms):
                soak.start(number, bootstrap=True)
            for gateway in soak.gateways:
                await gateway.ready()
            await _strike_all(soak, seed, faults)
        finally:
            for gateway in soak.gateways:
                gateway.signal(signal.SIGKILL)
                with contextlib.suppress(AssertionError):
                    await gateway.wait()
        nursery.cancel_scope.cancel()
    seen = checks.Seen(
        soak.sent + soak.sent_kept,
        soak.asked,
        site.replicas,
        site.cloud,
        processes.LEASE_MS / 1000,
        soak.revoked_s,
        REVOKE_S,
        soak.breaks,
        soak.cuts,
        soak.disturbed,
        soak.limits,
    )
    found = soak.breaches + checks.all_breaches(seen)
    crossed = sum(sent.hung_up for sent in seen.sent)
    return Result(
        found,
        len(soak.sent),
        _count_served(soak.sent),
        len(soak.sent_kept),
        _count_served(soak.sent_kept),
        crossed,
        recorder.result(),
    )


def _count_served(sent: list[callers.Sent]) -> int:
    return sum(one.status == 200 and one.whole for one in sent)


async def _strike_all(soak: Soak, seed: int, faults: list[plan.Fault]) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(soak.watch_exits)
        _start_callers(soak, seed, nursery)
        async with trio.open_nursery() as kept_nursery:
            if soak.paths is None:
                _start_kept(soak, seed, kept_nursery)
            async with trio.open_nursery() as strikes:
                for fault in faults:
                    strikes.start_soon(soak.strike, fault)
            # They are a load by themselves, and no part of the proof.
            kept_nursery.cancel_scope.cancel()
        await soak.prove_recovery(seed)
        nursery.cancel_scope.cancel()


def _start_callers(soak: Soak, seed: int, nursery: trio.Nursery) -> None:
    for number in range(CALLERS if soak.paths is None else CALLERS_OF_CUTS):
        nursery.start_soon(
            callers.run,
            soak.gateways,
            number,
            seed,
            soak.asked,
            soak.sent,
        )


def _start_kept(soak: Soak, seed: int, nursery: trio.Nursery) -> None:
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
