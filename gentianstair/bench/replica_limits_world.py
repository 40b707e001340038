"""Play requests at replicas that name a limit, under ways to keep it."""

import bisect
import collections
import heapq
import random
import typing

from gentianstair.bench import limits_world
from gentianstair.limits import rate_limit

# What the users allow in a window, and from when they count.
WINDOW_S = 4.0
OVERAGE_RATIO = 0.5
ALLOWANCE = 5.0
BEGIN_S = 3.0
# Callers come back once, up to this long after a rejection.
MAX_RETURN_S = 2.0


class Case(typing.NamedTuple):
    """What is played."""

    vms: int
    # Of each replica, and how many there are.
    limit_per_s: float
    replicas: int = 3
    # What is asked for, of what the replicas take.
    load: float = 4.0
    end_s: float = 40.0
    # Part of the VMs that hear of no other for a while.
    cut_share: float = 0.0
    cut: tuple[float, float] = (10.0, 22.0)
    loss: float = 0.0
    # When all processes start anew.
    restart_s: float = 1e9


class Result(typing.NamedTuple):
    """What came of a play."""

    # Most arrivals of a window at a replica over what is allowed.
    worst: float
    # Of what the replicas take, what they got.
    used: float
    # Of all requests.
    served: float
    # Sent by all VMs a second.
    messages_per_s: float


class Choice(typing.NamedTuple):
    """The replica that takes a request, or when its caller may return."""

    replica: str | None
    wait_s: float = 0.0


class Way(typing.Protocol):
    """A way to keep the limits of replicas at many VMs."""

    def choose(self, vm: int, replicas: list[str]) -> Choice:
        """Return which of the replicas takes a request at a VM."""

    def step(self, events: list) -> None:
        """Start the exchange of messages, as events (time, callable)."""

    def restart(self) -> None:
        """Start all processes anew."""

    def messages(self) -> int:
        """Return how many were sent."""


class OneByOne:
    """A way of customers' limits, asked for one replica after the other."""

    def __init__(self, way: limits_world.Way) -> None:
        self._way = way
        self.step = way.step
        self.restart = way.restart
        self.messages = way.rows

    def choose(self, vm: int, replicas: list[str]) -> Choice:
        """See Way.choose."""
        waits_s = []
        for replica in replicas:
            wait_s = self._way.admit(vm, replica, 1)
            if wait_s <= 0.0:
                return Choice(replica)
            waits_s.append(wait_s)
        return Choice(None, min(waits_s))


MakeWay = typing.Callable[[limits_world.World], Way]


class Play:
    """One play of a case under a way."""

    def __init__(self, case: Case, make_way: MakeWay, seed: int) -> None:
        self._case = case
        self._rng = random.Random(seed)
        self._now_s = 0.0
        self._arrivals: dict[str, list[float]] = collections.defaultdict(list)
        self._asked = self._served = 0
        self._limit = rate_limit.RateLimit(case.limit_per_s, 1.0)
        scenario = limits_world.Scenario(
            vms=case.vms,
            end_s=case.end_s,
            cut_share=case.cut_share,
            cut=case.cut,
            loss=case.loss,
        )
        self._way = make_way(
            limits_world.World(
                scenario,
                random.Random(seed + 1),
                lambda: self._now_s,
                lambda replica: self._limit,
                rate_limit.Tolerance(WINDOW_S, OVERAGE_RATIO, ALLOWANCE),
                self._is_cut,
                self._would_be_cut,
            )
        )

    def _would_be_cut(self, vm: int) -> bool:
        share = self._case.cut_share
        return share > 0 and vm % max(1, round(1 / share)) == 0

    def _is_cut(self, vm: int) -> bool:
        begin_s, end_s = self._case.cut
        return begin_s <= self._now_s < end_s and self._would_be_cut(vm)

    def run(self) -> Result:
        """Play it all; return the result."""
        case, events = self._case, []
        rate_per_s = case.load * case.limit_per_s * case.replicas
        at_s = 0.0
        while at_s < case.end_s:
            at_s += self._rng.expovariate(rate_per_s)
            limits_world.push(events, at_s, lambda: self._try(events, None))
        self._way.step(events)
        limits_world.push(events, case.restart_s, self._way.restart)
        while events:
            at_s, _, _, what = heapq.heappop(events)
            if at_s > case.end_s:
                break
            self._now_s = max(self._now_s, at_s)
            what()
        return self._result()

    def _try(self, events: list, rejected_by: int | None) -> None:
        vms = self._case.vms
        # Some VMs get several times as many callers as others.
        vm = min(vms - 1, int(self._rng.random() ** 1.3 * vms))
        is_first = rejected_by is None
        self._asked += is_first
        names = [f'i-{number}' for number in range(self._case.replicas)]
        self._rng.shuffle(names)
        choice = self._way.choose(vm, names)
        if choice.replica is not None:
            self._arrivals[choice.replica].append(self._now_s)
            self._served += 1
        elif is_first and choice.wait_s <= MAX_RETURN_S:
            limits_world.push(
                events,
                self._now_s + choice.wait_s,
                lambda: self._try(events, vm),
            )

    def _worst(self) -> float:
        allowed = (
            self._case.limit_per_s * WINDOW_S * (1 + OVERAGE_RATIO) + ALLOWANCE
        )
        most = 0
        for arrivals_s in self._arrivals.values():
            for position, at_s in enumerate(arrivals_s):
                if at_s >= BEGIN_S:
                    end = bisect.bisect_left(arrivals_s, at_s + WINDOW_S)
                    most = max(most, end - position)
        return most / allowed

    def _result(self) -> Result:
        case = self._case
        takes = case.limit_per_s * case.replicas * case.end_s
        got = sum(map(len, self._arrivals.values()))
        return Result(
            self._worst(),
            got / takes,
            self._served / max(1, self._asked),
            self._way.messages() / case.end_s,
        )
