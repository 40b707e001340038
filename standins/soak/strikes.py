"""Carry out the faults of a run, from outside its gateways."""

import contextlib
import copy
import pathlib
import random
import signal
import typing

import trio

from gentianstair.gateway import hubs
from gentianstair.gateway import main as gateways
from standins import crowd
from standins.site import processes
from standins.site import replica as replicas
from standins.site import site as sites
from standins.soak import callers
from standins.soak import checks
from standins.soak import kept
from standins.soak import odd_answers
from standins.soak import parts
from standins.soak import paths
from standins.soak import plan
from standins.soak import proxy
from standins.soak import versions

VMS = 3
DOMAINS = 'abc'
RESTART_S = 0.5
# How long the store is away before it comes back from a copy.
AWAY_S = 0.4
REFUSED_STATUS = 503
# With which a store that is busy answers all.
BUSY_STATUSES = {'busy': 429, 'overloaded': 503}
# Of a route's timeout, while routes change, and how long each change stands.
ROUTE_TIMEOUT_SHARE = 0.4
ROUTE_GAP_S = 0.3
# How long a late heartbeat stands for its replica's entry; the platform's.
BEAT_S = 1.2
# Whose bodies together are more than what a gateway of a run may hold.
CROWD_SIZE = 600
_FAULTS: dict[str, dict[str, typing.Any]] = {
    **odd_answers.FAILURES,
    **odd_answers.REJECTIONS,
    **odd_answers.DENIALS,
    'fails': {'fails_with': 500},
    'full': {'full': True},
    'busy': {'busy': True},
    'silent': {'silent': True},
    'breaks': {'breaks_after': 2},
    'changed': {'changed': True},
    'starts over': {'starts_over': 'always'},
    'starts over with a handle': {'starts_over': 'with-handle'},
    'begins early': {'begins_early': True},
    'sends twice': {'goes_back': 0},
    'goes back': {'goes_back': 2},
}


class Soak:
    """One run and what its faults act on."""

    def __init__(
        self,
        site: sites.Site,
        folder: pathlib.Path,
        vms: int = VMS,
        config: dict[str, typing.Any] | None = None,
        product: pathlib.Path | None = None,
        starts_over: str = '',
    ) -> None:
        self.site = site
        self.gateways = [
            processes.Gateway(folder, number, kept.KEEP_ALIVE_S, product)
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
        # VMs that the store refused, and times at which it was disturbed.
        self.out_of_touch: list[checks.Break] = []
        # Streams that callers resume, and who served which version.
        self.streams: list[versions.Stream] = []
        self.timeline = versions.Timeline(site.replicas)
        # Parts under which replicas end, and requests with and without.
        self.bad_parts: set[str] = set()
        for replica in site.replicas:
            replica.faults.ends_under = self.bad_parts
            replica.faults.starts_over = starts_over
        self.asked_parts: list[parts.Asked] = []
        # What all replicas do wrong; see replicas.Faults.
        self._starts_over = starts_over
        # Each VM's own paths to replicas; none if they are never cut.
        self.paths: paths.Paths | None = None
        self._config = copy.deepcopy(
            sites.CONFIG if config is None else config
        )
        self._version = int(self._config['version'])
        # VMs whose process is meant to be away.
        self._away: set[str] = set()

    async def start_links(self, nursery: trio.Nursery) -> None:
        """Start what stands between VMs, store and replicas."""
        for link in (*self.store_links, *self.replica_links):
            await nursery.start(link.run)
        pairs = zip(self.site.replicas, self.replica_links, strict=True)
        for replica, link in pairs:
            replica.address = f'127.0.0.1:{link.port}'
            replica.received_s = link.record.received_s

    def start(self, number: int, bootstrap: bool) -> None:
        """Start the process of a VM."""
        self.gateways[number].start(
            self.store_links[number].port,
            self.site.cloud_port,
            self.gateways[0].ports['control'],
            bootstrap,
        )

    async def start_all(self) -> None:
        """Start the processes of all VMs; return when they are ready."""
        for number in range(len(self.gateways)):
            self.start(number, bootstrap=True)
        for gateway in self.gateways:
            await gateway.ready()

    async def kill_all(self) -> None:
        """End all processes that this object started."""
        for gateway in self.gateways:
            gateway.signal(signal.SIGKILL)
        for gateway in self.gateways:
            with contextlib.suppress(AssertionError):
                await gateway.wait()

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
            'version': self._restart_replica,
            'release': self._release_replica,
            'clock': self._step_clock,
            'outage': self._strike_outage,
            'part': self._spoil_part,
            'notice': self._give_notice,
            'answer': self._spoil_answers,
            'order': self._spoil_order,
            'makers': self._strike_makers,
            'routes': self._change_routes,
            'crowd': self._send_crowd,
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
        from_s = trio.current_time()
        await trio.sleep(lasts_s)
        faults.refused_vms.discard(vm)
        self._note_out_of_touch(vm, from_s)

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

    async def _restart_replica(self, fault: plan.Fault) -> None:
        """Start a replica again at a version; its runs break off."""
        found = self._maker(fault)
        self.timeline.restart(found, fault.what)
        self._note_break(found.name, trio.current_time() - versions.CONTACT_S)

    def _maker(self, fault: plan.Fault) -> replicas.Replica:
        makers = [r for r in self.site.replicas if r.stage == 'decode']
        return makers[fault.whom % len(makers)]

    async def _release_replica(self, fault: plan.Fault) -> None:
        """Start a replica again at a version that its entry tells late.

        A heartbeat of the start before may come after that.
        """
        found = self._maker(fault)
        before, from_s = found.entry(), trio.current_time()
        version, _, is_followed = fault.what.partition(' ')
        await self._restart_replica(fault._replace(what=version))
        await self.site.show_earlier(found, before, fault.lasts_s)
        if is_followed:
            await trio.sleep(BEAT_S / 2)
            await self.site.show_earlier(found, before, BEAT_S)
        # Its version can't be known before.
        self.timeline.note_disorder(found.name, from_s, trio.current_time())

    async def _step_clock(self, fault: plan.Fault) -> None:
        """Have a replica's clock be off for so long."""
        found = self._maker(fault)
        found.clock_ahead_s = float(fault.what)
        await trio.sleep(fault.lasts_s)
        found.clock_ahead_s = 0.0

    async def _strike_outage(self, fault: plan.Fault) -> None:
        """Have the store be silent, busy or resetting for all VMs."""
        from_s, faults = trio.current_time(), self.site.faults
        vms = {gateway.vm for gateway in self.gateways}
        mode = proxy.Mode.PASS
        if fault.what in BUSY_STATUSES:
            faults.refused_status = BUSY_STATUSES[fault.what]
            faults.refused_vms |= vms
        else:
            is_silent = fault.what == 'silent'
            mode = proxy.Mode.SILENT if is_silent else proxy.Mode.RESET
        for link in self.store_links:
            link.set(mode)
        await trio.sleep(fault.lasts_s)
        for link in self.store_links:
            link.set(proxy.Mode.PASS)
        faults.refused_vms -= vms
        self._note_out_of_touch(checks.STORE, from_s)

    async def _spoil_part(self, fault: plan.Fault) -> None:
        """Have replicas end under a part of prompts from now on."""
        self.bad_parts.add(fault.what)

    def _end_replica(self, found: replicas.Replica) -> None:
        """End a replica by itself, whatever runs there."""
        found.end()
        now_s = trio.current_time()
        self.timeline.note_disorder(found.name, now_s, found.down_until_s)
        self._note_break(found.name, now_s - parts.CONTACT_S)

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

    def _note_out_of_touch(self, who: str, from_s: float) -> None:
        self.out_of_touch.append(
            checks.Break(who, from_s, trio.current_time())
        )

    def _note_break(self, who: str, from_s: float) -> None:
        """Note that answers of a VM or replica may have ended until now."""
        now_s = trio.current_time()
        self.breaks.append(checks.Break(who, from_s, now_s))

    async def _strike_replica(self, fault: plan.Fault) -> None:
        found = self.site.replicas[fault.whom % len(self.site.replicas)]
        if fault.what == 'drains':
            found.draining = True
            await trio.sleep(fault.lasts_s)
            found.start_again()
            return
        if fault.what == 'ends':
            self._end_replica(found)
            return
        vars(found.faults).update(_FAULTS[fault.what])
        from_s = trio.current_time()
        await trio.sleep(fault.lasts_s)
        if fault.what == 'breaks':
            self._note_break(found.name, from_s)
        found.faults = replicas.Faults(self.bad_parts, self._starts_over)

    async def _strike_makers(self, fault: plan.Fault) -> None:
        """Strike all that decode at once."""
        async with trio.open_nursery() as nursery:
            for number, found in enumerate(self.site.replicas):
                if found.stage == 'decode':
                    nursery.start_soon(
                        self._strike_replica, fault._replace(whom=number)
                    )

    async def _change_routes(self, fault: plan.Fault) -> None:
        """Change what may be repeated, and for how long, in quick turns."""
        first = self._config['routes']
        changed = copy.deepcopy(first)
        for route in changed:
            route['timeout_ms'] *= ROUTE_TIMEOUT_SHARE
            if route['type'] == 'idempotent':
                route['type'] = 'non_idempotent'
        ends_s = trio.current_time() + fault.lasts_s
        while trio.current_time() < ends_s:
            for routes in (changed, first):
                self._config['routes'] = routes
                await self._change(fault)
                await trio.sleep(ROUTE_GAP_S)

    async def _send_crowd(self, fault: plan.Fault) -> None:
        """Have callers that do not behave come to a VM, and stay so long."""
        gateway = self.gateways[fault.whom % len(self.gateways)]
        caller = crowd.silent
        if fault.what == 'bodies':
            caller = crowd.announced(
                self._config['limits']['max_body_bytes'],
                path=self._config['routes'][0]['path_prefix'] + 'crowd',
            )
        present = crowd.Crowd(crowd.connector(gateway.ports['front']), caller)
        async with trio.open_nursery() as nursery:
            await nursery.start(present.run, CROWD_SIZE)
            await trio.sleep(fault.lasts_s)
            present.leave()

    async def _spoil_answers(self, fault: plan.Fault) -> None:
        """Have answers come before a replica's own, or refuse what ran."""
        if fault.what in _FAULTS:
            await self._strike_replica(fault)
            return
        link = self.replica_links[fault.whom % len(self.replica_links)]
        link.added = odd_answers.ADDED[fault.what]
        await trio.sleep(fault.lasts_s)
        link.added = b''

    async def _spoil_order(self, fault: plan.Fault) -> None:
        """Have a maker's events not follow, or come without a length."""
        found = self.site.replicas
        makers = [n for n, r in enumerate(found) if r.stage == 'decode']
        number = makers[fault.whom % len(makers)]
        if fault.what != 'unframed':
            from_s = trio.current_time()
            await self._strike_replica(fault._replace(whom=number))
            self.timeline.note_disorder(
                found[number].name, from_s, trio.current_time()
            )
            return
        self.replica_links[number].is_unframed = True
        await trio.sleep(fault.lasts_s)
        self.replica_links[number].is_unframed = False

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
        if fault.what == 'goes-back':
            await self._go_back(fault.lasts_s)
            return
        from_s = trio.current_time()
        if fault.what == 'down':
            faults.down = True
        else:
            faults.lose_answers, faults.late_s = 0.4, 1.0
        await trio.sleep(fault.lasts_s)
        self._note_out_of_touch(checks.STORE, from_s)
        faults.down = False
        faults.lose_answers = 0.0

    async def _go_back(self, age_s: float) -> None:
        """Let the store come back from a copy that is then of age_s."""
        faults, table = self.site.faults, self.site.table
        copied = table.copy()
        await trio.sleep(age_s)
        from_s = trio.current_time()
        faults.down = True
        await trio.sleep(AWAY_S)
        table.go_back(copied)
        faults.down = False
        # The operator writes again what was lost.
        self.site.put_config({**self._config, 'version': self._version})
        self._note_out_of_touch(checks.STORE, from_s)

    async def _give_notice(self, fault: plan.Fault) -> None:
        """Let a replica say that it leaves, or ask for pauses."""
        found = self.site.replicas[fault.whom % len(self.site.replicas)]
        if fault.what == 'leaves':
            found.leaving_headers = ('1',)
            await trio.sleep(fault.lasts_s)
            found.start_again()
            return
        found.rest_headers = (fault.what.removeprefix('asks '),)
        await trio.sleep(fault.lasts_s)
        found.rest_headers = ()

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
