"""Play a part of prompts that ends replicas, at VMs that tell each other."""

import random
import typing

import cbor2

from gentianstair.core import prompt_fault_rows
from gentianstair.core import prompt_faults
from gentianstair.gateway import hubs

DOMAINS = 3
STEP_S = 0.01
WARM_S = 2.0
END_S = 22.0
# What goes wrong does so between these times.
FAULT_S = (3.0, 9.0)
RESTART_S = 1.5
CONTACT_S = 3.0
BOUND_ENDS = 5
# From the sending of a request with the part to the end of its replica.
RUN_S = 0.08
# How long a replica is away.
DOWN_S = 2.0
SOUND_RUN_S = 0.5
# Between two messages on a link of hubs, and of a leaf and its hub.
HUB_INTERVAL_S, LEAF_INTERVAL_S = 0.2, 0.25
FULL_RATE_HUBS = 16
EARLY_S = 0.03
BAD = prompt_faults.Part('models', 'm', 'bad')
BOOK = prompt_faults.Part('models', 'm', 'book')
# Parts that some of the sound requests share, and how many come anew a second.
CLASSES = 40
NEW_PARTS_PER_S = 2.0


class Case(typing.NamedTuple):
    """A fleet, its requests, and what goes wrong."""

    vms: int = 8
    replicas: int = 12
    bad_per_s: float = 3.0
    sound_per_s: float = 60.0
    # Requests that are under way at a replica when it ends.
    under_way: int = 8
    killed: float = 0.0
    frozen: float = 0.0
    cut: float = 0.0
    dead_hub: bool = False
    loss: float = 0.0
    # Ends of replicas by themselves, a second; the part is then sound.
    own_ends_per_s: float = 0.0


class Way(typing.NamedTuple):
    """A way to know the part."""

    # Whether VMs tell each other.
    tells: bool = True
    # Whether single ends go to all VMs, or only to the keeper of the part.
    to_leaves: bool = False
    only_keeper: bool = False
    # Whether anything is held back at all.
    holds: bool = True
    second_attempt: bool = True


class Vm:
    """One VM and what it knows."""

    def __init__(self, number: int, world: 'World') -> None:
        self.number = number
        self._world = world
        self.next_tell_s = world.rng.uniform(0.0, LEAF_INTERVAL_S)
        self.start()

    def start(self) -> None:
        """Start anew and know nothing."""
        self.faults = prompt_faults.PromptFaults(self._world.now)
        self.feeds: dict[int, prompt_fault_rows.Feed] = {}
        self.faults.listeners.append(self._tell_soon)

    def _tell_soon(self) -> None:
        soon_s = self._world.now_s + EARLY_S
        self.next_tell_s = min(self.next_tell_s, soon_s)


class World:
    """The VMs and replicas of a case, and what came of it."""

    def __init__(self, case: Case, way: Way, seed: int) -> None:
        self.case, self.way = case, way
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.hub_count = hubs.hub_count(case.vms)
        self.vms = [Vm(number, self) for number in range(case.vms)]
        self._killed = self._sample(case.killed)
        if case.dead_hub:
            self._killed.add(0)
        self._frozen = self._sample(case.frozen)
        self._cut = self._sample(case.cut)
        self._back_s = [0.0] * case.replicas
        self._starts = [0] * case.replicas
        self._rare = [self._rare_part(0)]
        # Runs under way that end a replica: when, at which, of which VM.
        self._runs: list[tuple[float, int, int, bool]] = []
        self.ends_s: list[float] = []
        self.sent: list[tuple[float, int]] = []
        self.sound = self.rejected = self.lost = 0
        self.messages = self.bytes = 0

    def now(self) -> float:
        """Return the time."""
        return self.now_s

    def _sample(self, share: float) -> set[int]:
        count = round(share * self.case.vms)
        return set(self.rng.sample(range(self.case.vms), count))

    def _rare_part(self, number: int) -> prompt_faults.Part:
        return prompt_faults.Part('models', 'm', f'new-{number}')

    def is_up(self, vm: int) -> bool:
        """Return whether a VM runs."""
        begin_s, end_s = FAULT_S
        if vm in self._killed and begin_s <= self.now_s < begin_s + RESTART_S:
            return False
        return not (vm in self._frozen and begin_s <= self.now_s < end_s)

    def is_in_touch(self, vm: int, at_s: float) -> bool:
        """Return whether a VM was undisturbed for a while."""
        if vm not in self._killed | self._frozen | self._cut:
            return True
        return not FAULT_S[0] <= at_s < FAULT_S[1] + CONTACT_S

    def _passes(self, sender: int, receiver: int) -> bool:
        """Return whether a message arrives."""
        if sender == receiver:
            return True
        in_fault = FAULT_S[0] <= self.now_s < FAULT_S[1]
        if in_fault and (sender in self._cut or receiver in self._cut):
            return False
        return self.is_up(receiver) and self.rng.random() >= self.case.loss

    def play(self) -> None:
        """Play the whole case."""
        killed = False
        while self.now_s < END_S:
            self.now_s += STEP_S
            if not killed and self.now_s >= FAULT_S[0]:
                killed = True
                for vm in self._killed:
                    self.vms[vm].start()
            if self.rng.random() < NEW_PARTS_PER_S * STEP_S:
                self._rare.append(self._rare_part(len(self._rare)))
            self._end_replicas()
            self._send_sound()
            if self.now_s > WARM_S:
                self._send_bad()
            if self.way.tells:
                self._tell_all()

    def _times(self, per_s: float) -> int:
        """Return how often something happens in a step."""
        expected = per_s * STEP_S
        return int(expected) + (self.rng.random() < expected % 1)

    def _up_replica(self) -> int | None:
        up = [n for n, s in enumerate(self._back_s) if s <= self.now_s]
        return self.rng.choice(up) if up else None

    def _send_bad(self) -> None:
        if self.case.own_ends_per_s:
            for _ in range(self._times(self.case.own_ends_per_s)):
                replica = self._up_replica()
                if replica is not None:
                    self._end(replica, None)
            return
        for _ in range(self._times(self.case.bad_per_s)):
            vm = self.rng.randrange(self.case.vms)
            if self.is_up(vm) and self._may_pass(vm, (BOOK, BAD)):
                self._run_bad(vm, self.way.second_attempt)

    def _run_bad(self, vm: int, again: bool) -> None:
        replica = self._up_replica()
        if replica is None:
            return
        self.sent.append((self.now_s, vm))
        self._runs.append((self.now_s + RUN_S, replica, vm, again))

    def _may_pass(
        self, vm: int, parts: tuple[prompt_faults.Part, ...]
    ) -> bool:
        """Return whether a request passes, as a trial maybe."""
        faults = self.vms[vm].faults
        holds = faults.holds([part.key for part in parts])
        if not self.way.holds or not holds:
            return True
        last = max(holds, key=lambda hold: hold.next_trial_s)
        if self.now_s < last.next_trial_s:
            return False
        keeper = self._keeper(last.key) if self.way.tells else vm
        if keeper is None or not self._passes(vm, keeper):
            return False
        self.messages += 2 * (keeper != vm)
        known = faults.get(last.key)
        assert known is not None
        self.vms[keeper].faults.learn(last.key, known)
        return (
            self.vms[keeper]
            .faults.grant_trial(last.key, last.interval_s)
            .is_granted
        )

    def _keeper(self, key: bytes) -> int | None:
        """Return the hub that ranks highest for a part, None without one."""
        up = [str(n) for n in range(self.hub_count) if self.is_up(n)]
        ranked = hubs.top_ranked(up, key.hex(), 1)
        return int(ranked[0]) if ranked else None

    def _end_replicas(self) -> None:
        due = [run for run in self._runs if run[0] <= self.now_s]
        self._runs = [run for run in self._runs if run[0] > self.now_s]
        for _, replica, vm, again in due:
            if self._back_s[replica] > self.now_s:
                continue
            self._end(replica, vm)
            held = self.vms[vm].faults.is_any_held([BAD.key])
            if again and not (self.way.holds and held) and self.is_up(vm):
                self._run_bad(vm, False)

    def _end(self, replica: int, bad_vm: int | None) -> None:
        """End a replica under the requests that are there."""
        self.ends_s.append(self.now_s)
        self._back_s[replica] = self.now_s + DOWN_S
        self._starts[replica] += 1
        name = f'i-{replica}'
        started_ms = self._starts[replica]
        if bad_vm is not None:
            end = prompt_faults.End(
                name, started_ms, self.now_s - RUN_S, self.now_s
            )
            self.vms[bad_vm].faults.record_end([BOOK, BAD], end)
        for _ in range(self.case.under_way):
            vm = self.rng.randrange(self.case.vms)
            sent_s = self.now_s - self.rng.uniform(0.0, SOUND_RUN_S)
            end = prompt_faults.End(name, started_ms, sent_s, self.now_s)
            self.vms[vm].faults.record_end(self._sound_parts(), end)
            self.lost += 1

    def _sound_parts(self) -> list[prompt_faults.Part]:
        number = self.rng.randrange(CLASSES)
        rare = self._rare[-1 - self.rng.randrange(min(10, len(self._rare)))]
        middle = prompt_faults.Part('models', 'm', f'class-{number}')
        return [BOOK, middle if self.rng.random() < 0.8 else rare]

    def _send_sound(self) -> None:
        for _ in range(self._times(self.case.sound_per_s)):
            vm = self.rng.randrange(self.case.vms)
            if not self.is_up(vm):
                continue
            parts = self._sound_parts()
            if self.now_s > WARM_S:
                self.sound += 1
            if not self._may_pass(vm, tuple(parts)):
                self.rejected += 1
            elif self._up_replica() is not None:
                self.vms[vm].faults.record_answer(parts)

    def _tell_all(self) -> None:
        for vm in self.vms:
            if vm.next_tell_s > self.now_s:
                continue
            is_hub = vm.number < self.hub_count
            slow = max(1.0, self.hub_count / FULL_RATE_HUBS)
            vm.next_tell_s = self.now_s + (
                HUB_INTERVAL_S * slow if is_hub else LEAF_INTERVAL_S
            )
            if self.is_up(vm.number):
                self._tell(vm, is_hub)

    def _tell(self, vm: Vm, is_hub: bool) -> None:
        if not is_hub:
            self._send(vm, vm.number % self.hub_count, to_hubs=True)
            return
        for other in range(self.hub_count):
            if other != vm.number:
                self._send(vm, other, to_hubs=True)
        for leaf in range(
            self.hub_count + vm.number, self.case.vms, self.hub_count
        ):
            self._send(vm, leaf, to_hubs=self.way.to_leaves)

    def _send(self, vm: Vm, receiver: int, to_hubs: bool) -> None:
        """Tell another VM; what is lost is told again as the link is new."""
        feed = vm.feeds.get(receiver)
        if feed is None:
            feed = prompt_fault_rows.Feed(vm.faults, self.now, to_hubs)
            vm.feeds[receiver] = feed
        rows = feed.take()
        if self.way.only_keeper:
            rows = [row for row in rows if self._goes_to(vm, row, receiver)]
        if not rows:
            return
        if not self._passes(vm.number, receiver):
            del vm.feeds[receiver]
            return
        self.messages += 1
        self.bytes += len(cbor2.dumps(rows))
        prompt_fault_rows.apply(
            self.vms[receiver].faults,
            rows,
            self.now_s,
            'peer',
            to_hubs=vm.number >= self.hub_count,
        )

    def _goes_to(self, vm: Vm, row: list[typing.Any], receiver: int) -> bool:
        """Return whether a hub tells another, if only keepers tell them."""
        if receiver >= self.hub_count or vm.number >= self.hub_count:
            return True
        return self._keeper(row[0]) in (vm.number, receiver)
