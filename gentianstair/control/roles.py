"""Plan which engines of a group read prompts only and which do both."""

import typing

from gentianstair.control import demand as demands
from gentianstair.control import strain as strains

MIXED = 'mixed'
PREFILL = 'prefill'


class Policy(typing.NamedTuple):
    """How eagerly roles change."""

    # Windows of the two averages: the fast one sees a shift, the slow one
    # keeps chance from looking like a shift.
    fast_s: float = 4.0
    slow_s: float = 15.0
    # A plan that strains less than this is left alone.
    fine: float = 0.9
    # From this strain on answers are late, and the fast average decides.
    harm: float = 0.95
    # Another plan must strain so much less.
    better: float = 0.15
    # A change must look right so long, at once if the strain is past harm.
    hold_s: float = 3.0
    # Seconds that a change takes an engine away, and within which its gain
    # must repay them.
    change_s: float = 6.0
    repay_s: float = 45.0
    # Part of the engines that may change at once, at least one.
    changing_share: float = 0.2
    # A plan that is fine now is still left for one that would strain so much
    # less if the share of prompts moved by so much either way, as long as
    # the change itself strains little.
    prepare_share: float = 0.4
    prepare_better: float = 0.05
    # A shift that would strain less than this needs no preparing.
    prepare_from: float = 0.7
    prepare_hold_s: float = 4.0
    # Most that the engines that stay may work while one is away.
    floor: float = 1.6


class EngineView(typing.NamedTuple):
    """What the planner knows of an engine."""

    name: str
    role: str
    state: str
    running: int


class Change(typing.NamedTuple):
    """A role to order; ``inputs`` are the figures it was decided from."""

    upstream: str
    role: str
    inputs: dict[str, float]


class FixedRoles:
    """The naive twin: roles stay as they are."""

    def observe(
        self, at_s: float, prompt: float, output: float, unread: float
    ) -> None:
        """Learn nothing."""

    def plan(
        self, engines: typing.Sequence[EngineView], now_s: float
    ) -> list[Change]:
        """Return no change."""
        return []


def _loss(strain: float) -> float:
    """Return the part of the work that a strain is expected to make late."""
    return min(max(strain - 0.8, 0.0), 1.0)


def _sign(wanted: strains.Plan, now: strains.Plan) -> int:
    return 1 if wanted.prefill > now.prefill else -1


class RolePlanner:
    """Plan the roles of one group of engines with the same model."""

    def __init__(self, policy: Policy, rates: strains.Rates) -> None:
        self.policy = policy
        self.rates = rates
        self.fast = demands.Average(policy.fast_s)
        self.slow = demands.Average(policy.slow_s)
        # Whether more (1) or fewer (-1) prefill engines are wanted.
        self._direction = 0
        self._direction_since_s = 0.0

    def observe(
        self, at_s: float, prompt: float, output: float, unread: float
    ) -> None:
        """Count a request that arrived: prompt, output, uncached tokens."""
        self.fast.add(at_s, prompt, output, unread)
        self.slow.add(at_s, prompt, output, unread)

    def plan(
        self, engines: typing.Sequence[EngineView], now_s: float
    ) -> list[Change]:
        """Return the changes to order now; engines that change count."""
        ready = [item for item in engines if item.state == 'serving']
        allowed = max(int(len(engines) * self.policy.changing_share), 1)
        if len(engines) - len(ready) >= allowed or len(ready) < 2:
            return []
        prefill = sum(item.role == PREFILL for item in ready)
        now = strains.Plan(prefill, len(ready) - prefill)
        wanted = self._find(now, now_s)
        # Chance moves the best number up and down; its direction counts.
        direction = 0 if wanted is None else _sign(wanted, now)
        if direction != self._direction:
            self._direction = direction
            self._direction_since_s = now_s
        if wanted is None or not self._is_due(now, now_s):
            return []
        change = self._change(ready, now, wanted)
        if change is None or not self._floor_holds(now, change, now_s):
            return []
        self._direction = 0
        return [change]

    def _strain(self, demand: demands.Demand, plan: strains.Plan) -> float:
        return strains.strain(self.rates, demand, plan).worst

    def _find(self, now: strains.Plan, now_s: float) -> strains.Plan | None:
        """Return the plan to move to by one engine, if that repays."""
        policy = self.policy
        fast = self.fast.demand(now_s)
        slow = self.slow.demand(now_s)
        current = self._strain(fast, now)
        if current < policy.fine:
            return self._prepare(slow, now)
        plan, strain = strains.best(self.rates, fast, sum(now))
        gain = current - strain.worst
        # While little is late, the slow average must not say the opposite.
        against = self._strain(slow, plan) > self._strain(slow, now)
        if current < policy.harm and against:
            return None
        if plan == now or gain < policy.better:
            return None
        moved = abs(plan.prefill - now.prefill)
        lost = moved * policy.change_s * (1.0 / sum(now))
        won = (_loss(current) - _loss(strain.worst)) * policy.repay_s
        return plan if won > lost else None

    def _prepare(
        self, slow: demands.Demand, now: strains.Plan
    ) -> strains.Plan | None:
        """Return a plan that stands a shift better, if there is one.

        A change under full load costs most, so it is made before, while it
        costs little.
        """
        strain_now = self._shift_strain(slow, now)
        if strain_now < self.policy.prepare_from:
            return None
        total = sum(now)
        plans = [strains.Plan(count, total - count) for count in range(total)]
        fine = [
            plan
            for plan in plans
            if self._strain(slow, plan) < self.policy.fine
        ]
        if not fine:
            return None
        found = min(fine, key=lambda plan: self._shift_strain(slow, plan))
        least = self._shift_strain(slow, found)
        gain = strain_now - least
        return found if gain >= self.policy.prepare_better else None

    def _shift_strain(
        self, demand: demands.Demand, plan: strains.Plan
    ) -> float:
        """Return the worst strain of a plan if the mix shifts or stays."""
        points = self.policy.prepare_share
        return max(
            self._strain(strains.shifted(self.rates, demand, move), plan)
            for move in (-points, 0.0, points)
        )

    def _is_due(self, now: strains.Plan, now_s: float) -> bool:
        current = self._strain(self.fast.demand(now_s), now)
        if current < self.policy.fine:
            held_s = now_s - self._direction_since_s
            return held_s >= self.policy.prepare_hold_s
        hold_s = self.policy.hold_s / (1.0 + 2.0 * _loss(current))
        return now_s - self._direction_since_s >= hold_s

    def _change(
        self,
        ready: list[EngineView],
        now: strains.Plan,
        wanted: strains.Plan,
    ) -> Change | None:
        role = PREFILL if wanted.prefill > now.prefill else MIXED
        others = [item for item in ready if item.role != role]
        if not others:
            return None
        # The one with the least work is the soonest drained.
        engine = min(others, key=lambda item: (item.running, item.name))
        inputs = {
            'prefill_now': now.prefill,
            'prefill_wanted': wanted.prefill,
            'running': engine.running,
        }
        return Change(engine.name, role, inputs)

    def _floor_holds(
        self, now: strains.Plan, change: Change, now_s: float
    ) -> bool:
        """Return whether the engines that stay carry the current work.

        Without this, a shift under full load takes away an engine whose
        work the others can not carry, and everything is late until it
        is back.
        """
        left = now._replace(mixed=now.mixed - 1)
        if change.role == MIXED:
            left = now._replace(prefill=now.prefill - 1)
        fast = self.fast.demand(now_s)
        during = self._strain(fast, left)
        change.inputs['strain_now'] = self._strain(fast, now)
        change.inputs['strain_during'] = during
        return during <= self.policy.floor


def make_planner(
    policy: Policy | None = None, rates: strains.Rates | None = None
) -> RolePlanner:
    """Return a planner that has seen no work."""
    return RolePlanner(policy or Policy(), rates or strains.DEFAULT)
