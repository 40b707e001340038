"""Measure upstream spend for equal service through two reclaims.

Arms: ``mixed`` is ours; ``on_demand`` the same planner without the cheap
kind; ``reactive`` on demand only, from the demand of now, stopped at once.
"""

import argparse
import collections
import heapq
import math
import random
import typing

from gentianstair.bench import lines
from gentianstair.control import capacity

ARMS = ('mixed', 'on_demand', 'reactive')
DOMAINS = ('d1', 'd2', 'd3')
STEADY = capacity.Kind('on-demand', 1.0, 300.0, False)
CHEAP = capacity.Kind('spot', 0.35, 300.0, True)
RUN_S = 7200
PLAN_S = 10
SLOTS = 8
SERVICE_S = 8.0
DEADLINE_S = 20.0
DELAY_S = {'on-demand': (60.0, 100.0), 'spot': (80.0, 160.0)}
NOTICE_S = 20.0
# Two failure domains are reclaimed near the peak: ten minutes apart, so that
# the first loss is made good before the second; and a minute apart.
RECLAIMS = {
    'apart': ((2700, 'd1'), (3300, 'd2')),
    'together': ((2700, 'd1'), (2760, 'd2')),
}
GONE_S = 900.0


class Request(typing.NamedTuple):
    """One request: arrival and the service still to do."""

    at_s: float
    left_s: float


class Server(typing.NamedTuple):
    """One upstream of the simulated platform."""

    name: str
    kind: str
    failure_domain: str
    ordered_s: float
    ready_s: float


def demand(now_s: float, wobble: float) -> float:
    """Return requests a second: a slow wave, a ramp, and a fall."""
    wave = 9.0 + 6.0 * math.sin(2.0 * math.pi * (now_s - 600) / RUN_S)
    ramp = 5.0 * min(1.0, max(0.0, (now_s - 4200) / 300.0))
    fall = 6.0 * min(1.0, max(0.0, (now_s - 5400) / 300.0))
    return max(1.0, (wave + ramp - fall) * wobble)


class Fleet:
    """The platform, the upstreams and the requests of one arm."""

    def __init__(self, arm: str, seed: int, reclaims: str) -> None:
        self.arm = arm
        self.reclaims = RECLAIMS[reclaims]
        self.load = random.Random(f'{seed} load')
        self.rng = random.Random(f'{seed} {arm}')
        cheap = CHEAP if arm == 'mixed' else None
        self.planner = capacity.make_planner(STEADY, cheap, DOMAINS)
        self.servers: dict[str, Server] = {}
        self.draining: set[str] = set()
        self.running: dict[str, int] = collections.defaultdict(int)
        self.ends: list[tuple[float, int, str, Request]] = []
        self.queue: collections.deque[Request] = collections.deque()
        self.leaving: dict[str, float] = {}
        self.closed: dict[str, float] = {}
        self.numbers = 0
        self.spend = 0.0
        self.served = collections.Counter()
        self.lost = 0
        self.late = 0
        self.moved = 0
        self.orders = 0
        self.waits: list[float] = []

    # The platform.

    def start(self, kind: str, domain: str, now_s: float, wait=True) -> None:
        """Take an order; the cheap kind may be unavailable."""
        if kind == CHEAP.name and self.closed.get(domain, 0.0) > now_s:
            self.planner.refused(kind, domain, now_s)
            return
        self.numbers += 1
        delay_s = self.rng.uniform(*DELAY_S[kind]) if wait else 0.0
        name = f's{self.numbers}'
        self.servers[name] = Server(name, kind, domain, now_s, now_s + delay_s)
        self.orders += 1

    def _gone(self, name: str, now_s: float) -> None:
        """Remove an upstream and pay its windows; move what still runs."""
        server = self.servers.pop(name)
        self.draining.discard(name)
        self.leaving.pop(name, None)
        kind = STEADY if server.kind == STEADY.name else CHEAP
        windows = math.ceil(max(0.0, now_s - server.ready_s) / kind.window_s)
        self.spend += windows * kind.price_per_window
        kept = []
        for end_s, number, where, request in self.ends:
            if where == name:
                # The stream goes on elsewhere from what was delivered.
                self.moved += 1
                left_s = max(0.1, end_s - now_s)
                self.queue.appendleft(request._replace(left_s=left_s))
            else:
                kept.append((end_s, number, where, request))
        heapq.heapify(kept)
        self.ends = kept
        self.running.pop(name, None)

    def _reclaim(self, now_s: int) -> None:
        for at_s, domain in self.reclaims:
            if at_s != now_s:
                continue
            self.closed[domain] = now_s + GONE_S
            self.planner.lost(domain, now_s)
            for name, server in self.servers.items():
                if (server.kind, server.failure_domain) == ('spot', domain):
                    self.leaving[name] = now_s + NOTICE_S
                    self.draining.add(name)

    # The service.

    def _ready(self, now_s: float) -> list[str]:
        return [
            name
            for name, server in self.servers.items()
            if server.ready_s <= now_s and name not in self.draining
        ]

    def _serve(self, now_s: float) -> None:
        while self.ends and self.ends[0][0] <= now_s:
            _, _, name, _ = heapq.heappop(self.ends)
            self.running[name] -= 1
            self.served[self.servers[name].kind] += 1
        free = [
            name
            for name in self._ready(now_s)
            for _ in range(SLOTS - self.running[name])
        ]
        self.rng.shuffle(free)
        while self.queue and free:
            request = self.queue.popleft()
            name = free.pop()
            self.running[name] += 1
            self.numbers += 1
            if request.left_s == SERVICE_S:
                self.waits.append(now_s - request.at_s)
            end_s = now_s + request.left_s
            heapq.heappush(self.ends, (end_s, self.numbers, name, request))
            self.late += end_s > request.at_s + DEADLINE_S + SERVICE_S
        while self.queue and now_s - self.queue[0].at_s > DEADLINE_S:
            if self.queue[0].left_s < SERVICE_S:
                break
            self.queue.popleft()
            self.lost += 1

    # The plan.

    def _fleet(self) -> list[capacity.Upstream]:
        return [
            capacity.Upstream(
                server.name,
                server.kind,
                server.failure_domain,
                'ready' if server.ready_s <= self.now_s else 'ordered',
                server.ready_s,
            )
            for server in self.servers.values()
            if server.name not in self.draining
        ]

    def _plan(self, now_s: float, arrived: int) -> None:
        rate = arrived / PLAN_S * SERVICE_S / SLOTS
        waiting = len(self.queue) * SERVICE_S / SLOTS / 60.0
        if self.arm == 'reactive':
            self._react(now_s, rate + waiting)
            return
        self.planner.observe(now_s, rate + waiting)
        for order in self.planner.plan(now_s, self._fleet()).orders:
            if order.action == 'start':
                self.start(order.kind, order.failure_domain, now_s)
            else:
                self.draining.add(order.name)
                self.orders += 1

    def _react(self, now_s: float, rate: float) -> None:
        wanted = math.ceil(rate / capacity.TARGET_USE)
        fleet = self._fleet()
        for number in range(wanted - len(fleet)):
            self.start(STEADY.name, DOMAINS[number % 3], now_s)
        for item in fleet[: max(0, len(fleet) - wanted)]:
            self.draining.add(item.name)
            self.orders += 1

    def run(self) -> None:
        """Simulate the whole time in steps of a second."""
        for number in range(13):
            self.start(STEADY.name, DOMAINS[number % 3], 0.0, False)
        arrived = 0
        wobble = 1.0
        due = 0.0
        for second in range(RUN_S):
            self.now_s = float(second)
            if second % 30 == 0:
                wobble = self.load.uniform(0.9, 1.1)
            due += demand(second, wobble) * self.load.uniform(0.6, 1.4)
            count, due = int(due), due - int(due)
            arrived += count
            for _ in range(count):
                self.queue.append(Request(self.now_s, SERVICE_S))
            for server in self.servers.values():
                if 0.0 <= self.now_s - server.ready_s < 1.0 and second:
                    delay_s = server.ready_s - server.ordered_s
                    self.planner.arrived(
                        server.kind, server.failure_domain, delay_s
                    )
            self._reclaim(second)
            self._end_draining(self.now_s)
            self._serve(self.now_s)
            if second % PLAN_S == 0 and second:
                self._plan(self.now_s, arrived)
                arrived = 0
        for name in list(self.servers):
            self._gone(name, float(RUN_S))

    def _end_draining(self, now_s: float) -> None:
        for name in list(self.draining):
            leaves_s = self.leaving.get(name)
            if leaves_s is None and self.running[name] > 0:
                continue
            if leaves_s is None or now_s >= leaves_s:
                self._gone(name, now_s)


def figures(
    arm: str, seed: int, reclaims: str = 'apart'
) -> typing.Iterator[lines.Figure]:
    """Yield the figures of one arm."""
    fleet = Fleet(arm, seed, reclaims)
    fleet.run()
    total = sum(fleet.served.values())
    waits = sorted(fleet.waits)
    found = [
        ('spend', fleet.spend, 'on-demand windows'),
        ('work_on_cheap', fleet.served[CHEAP.name] / total, 'share'),
        ('lost', fleet.lost, 'requests'),
        ('late', fleet.late, 'requests'),
        ('served', total, 'requests'),
        ('resumed_elsewhere', fleet.moved, 'requests'),
        ('wait_p99', waits[int(0.99 * len(waits))], 's'),
        ('orders', fleet.orders, 'orders'),
    ]
    for name, value, unit in found:
        yield lines.Figure(f'{name}_{reclaims}', arm, value, unit)


def main(argv: list[str]) -> int:
    """Run all arms and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--json', action='store_true')
    args = parser.parse_args(argv)
    found: list[lines.Figure] = []
    for reclaims in RECLAIMS:
        spent: dict[str, float] = {}
        for arm in ARMS:
            mine = list(figures(arm, args.seed, reclaims))
            spent[arm] = mine[0].value
            found += mine
        for arm in ARMS[1:]:
            less = 1.0 - spent['mixed'] / spent[arm]
            name = f'spend_less_{reclaims}'
            found.append(lines.Figure(name, arm, less, 'share'))
    lines.show(found, args.json)
    return 0
