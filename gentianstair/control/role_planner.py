"""Plan which engines of a group only prefill and which also decode."""

import typing

from gentianstair.control import demand as demands
from gentianstair.control import utilization

MIXED = 'mixed'
PREFILL = 'prefill'


class Policy(typing.NamedTuple):
    """When roles change; at a utilization of 1 a target is just met."""

    # Windows of the two demand averages: the fast one follows shifts of the
    # mix, the slow one filters out random variation.
    fast_window_s: float = 4.0
    slow_window_s: float = 15.0
    # Below this utilization roles change only to prepare for a shift.
    target_utilization: float = 0.9
    # From this utilization on the fast average alone decides.
    overload_utilization: float = 0.95
    # Utilization that other role counts must save.
    min_gain: float = 0.15
    # Time for which the same direction must be wanted before a change; it
    # shrinks as the utilization rises.
    stable_s: float = 3.0
    # Time for which a change takes an engine out of service, and time within
    # which its gain must make up for that.
    change_cost_s: float = 6.0
    payback_s: float = 45.0
    # Share of the engines that may change at once, but at least one engine.
    max_changing_share: float = 0.2
    # Preparing for a shift: roles also change if that saves this utilization
    # when the prompt share of the work moves by this much either way.
    prepare_share_change: float = 0.4
    prepare_min_gain: float = 0.05
    # No preparation if the utilization after a shift stays below this.
    prepare_utilization: float = 0.7
    # As stable_s, for a change that prepares.
    prepare_stable_s: float = 4.0
    # Greatest utilization of the other engines while one changes its role.
    max_transition_utilization: float = 1.6


class EngineView(typing.NamedTuple):
    """An engine's role, state and number of running requests."""

    name: str
    role: str
    state: str
    running: int


class Change(typing.NamedTuple):
    """A role to order; ``inputs`` are the figures behind it, for the log."""

    upstream: str
    role: str
    inputs: dict[str, float]


class FixedRoles:
    """Baseline planner that never changes a role."""

    def observe(
        self,
        arrival_s: float,
        prompt_tokens: float,
        output_tokens: float,
        uncached_tokens: float,
    ) -> None:
        """Ignore the request."""

    def plan(
        self, engines: typing.Sequence[EngineView], now_s: float
    ) -> list[Change]:
        """Return no change."""
        return []


def _late_share(utilization_: float) -> float:
    """Return the share of the work expected to be late."""
    return min(max(utilization_ - 0.8, 0.0), 1.0)


def _direction_of(
    wanted: utilization.RoleCounts, counts: utilization.RoleCounts
) -> int:
    return 1 if wanted.prefill > counts.prefill else -1


class RolePlanner:
    """Plans the roles of one group of engines that serve the same models."""

    def __init__(self, policy: Policy, costs: utilization.EngineCosts) -> None:
        self.policy = policy
        self.costs = costs
        self.fast_average = demands.DemandAverage(policy.fast_window_s)
        self.slow_average = demands.DemandAverage(policy.slow_window_s)
        # Whether more (1) or fewer (-1) prefill engines are wanted.
        self._direction = 0
        self._direction_since_s = 0.0

    def observe(
        self,
        arrival_s: float,
        prompt_tokens: float,
        output_tokens: float,
        uncached_tokens: float,
    ) -> None:
        """Add an arrived request to the demand averages."""
        self.fast_average.add(
            arrival_s, prompt_tokens, output_tokens, uncached_tokens
        )
        self.slow_average.add(
            arrival_s, prompt_tokens, output_tokens, uncached_tokens
        )

    def plan(
        self, engines: typing.Sequence[EngineView], now_s: float
    ) -> list[Change]:
        """Return the changes to order now, at most one."""
        ready = [item for item in engines if item.state == 'serving']
        max_changing = max(
            int(len(engines) * self.policy.max_changing_share), 1
        )
        if len(engines) - len(ready) >= max_changing or len(ready) < 2:
            return []
        prefill = sum(item.role == PREFILL for item in ready)
        counts = utilization.RoleCounts(prefill, len(ready) - prefill)
        wanted = self._find_better(counts, now_s)
        # The best counts vary at random; only the direction must be stable.
        direction = 0 if wanted is None else _direction_of(wanted, counts)
        if direction != self._direction:
            self._direction = direction
            self._direction_since_s = now_s
        if wanted is None or not self._is_stable(counts, now_s):
            return []
        change = self._choose_change(ready, counts, wanted)
        if change is None or not self._rest_can_serve(counts, change, now_s):
            return []
        self._direction = 0
        return [change]

    def _utilization(
        self, demand: demands.Demand, counts: utilization.RoleCounts
    ) -> float:
        return utilization.predict_utilization(
            self.costs, demand, counts
        ).highest

    def _find_better(
        self, counts: utilization.RoleCounts, now_s: float
    ) -> utilization.RoleCounts | None:
        """Return the role counts to move towards, or None to keep these."""
        policy = self.policy
        fast = self.fast_average.demand(now_s)
        slow = self.slow_average.demand(now_s)
        current = self._utilization(fast, counts)
        if current < policy.target_utilization:
            return self._find_prepared(slow, counts)
        best, predicted = utilization.find_best_counts(
            self.costs, fast, sum(counts)
        )
        gain = current - predicted.highest
        # Below overload, the slow average must not favour the current counts.
        slow_opposes = self._utilization(slow, best) > self._utilization(
            slow, counts
        )
        if current < policy.overload_utilization and slow_opposes:
            return None
        if best == counts or gain < policy.min_gain:
            return None
        changes = abs(best.prefill - counts.prefill)
        cost_s = changes * policy.change_cost_s * (1.0 / sum(counts))
        gain_s = (
            _late_share(current) - _late_share(predicted.highest)
        ) * policy.payback_s
        return best if gain_s > cost_s else None

    def _find_prepared(
        self, slow: demands.Demand, counts: utilization.RoleCounts
    ) -> utilization.RoleCounts | None:
        """Return role counts that handle a shift of the mix better, if any.

        A role change costs least before the load is high.
        """
        current = self._shifted_utilization(slow, counts)
        if current < self.policy.prepare_utilization:
            return None
        total = sum(counts)
        candidates = [
            utilization.RoleCounts(prefill, total - prefill)
            for prefill in range(total)
        ]
        acceptable = [
            item
            for item in candidates
            if self._utilization(slow, item) < self.policy.target_utilization
        ]
        if not acceptable:
            return None
        found = min(
            acceptable, key=lambda item: self._shifted_utilization(slow, item)
        )
        lowest = self._shifted_utilization(slow, found)
        gain = current - lowest
        return found if gain >= self.policy.prepare_min_gain else None

    def _shifted_utilization(
        self, demand: demands.Demand, counts: utilization.RoleCounts
    ) -> float:
        """Return the highest utilization if the mix shifts or stays."""
        share_change = self.policy.prepare_share_change
        return max(
            self._utilization(
                utilization.shift_prompt_share(self.costs, demand, shift),
                counts,
            )
            for shift in (-share_change, 0.0, share_change)
        )

    def _is_stable(self, counts: utilization.RoleCounts, now_s: float) -> bool:
        current = self._utilization(self.fast_average.demand(now_s), counts)
        if current < self.policy.target_utilization:
            unchanged_s = now_s - self._direction_since_s
            return unchanged_s >= self.policy.prepare_stable_s
        required_s = self.policy.stable_s / (1.0 + 2.0 * _late_share(current))
        return now_s - self._direction_since_s >= required_s

    def _choose_change(
        self,
        ready: list[EngineView],
        counts: utilization.RoleCounts,
        wanted: utilization.RoleCounts,
    ) -> Change | None:
        role = PREFILL if wanted.prefill > counts.prefill else MIXED
        others = [item for item in ready if item.role != role]
        if not others:
            return None
        # The engine with the least work drains soonest.
        engine = min(others, key=lambda item: (item.running, item.name))
        inputs = {
            'prefill_now': counts.prefill,
            'prefill_wanted': wanted.prefill,
            'running': engine.running,
        }
        return Change(engine.name, role, inputs)

    def _rest_can_serve(
        self, counts: utilization.RoleCounts, change: Change, now_s: float
    ) -> bool:
        """Return whether the other engines can serve the current demand.

        Otherwise all requests would be late until the changed engine is back.
        """
        remaining = counts._replace(mixed=counts.mixed - 1)
        if change.role == MIXED:
            remaining = counts._replace(prefill=counts.prefill - 1)
        fast = self.fast_average.demand(now_s)
        during = self._utilization(fast, remaining)
        # In the log line, strain_now and strain_during hold the utilization
        # before the change and while the engine is away.
        change.inputs['strain_now'] = self._utilization(fast, counts)
        change.inputs['strain_during'] = during
        return during <= self.policy.max_transition_utilization


def make_planner(
    policy: Policy | None = None, costs: utilization.EngineCosts | None = None
) -> RolePlanner:
    """Return a planner that has seen no requests."""
    return RolePlanner(policy or Policy(), costs or utilization.DEFAULT_COSTS)
