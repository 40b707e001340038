"""Admit a customer's requests within its limit, at all VMs together.

Every VM tells its hub what its requests use, the hubs tell each other, and
each keeps the level of one bucket for the whole fleet. A hub tells its leaves
the levels that are low. A VM that hears of no others admits from a small
credit of its own.
"""

import random
import typing

import loguru
import prometheus_client

from gentianstair import errors
from gentianstair.generated import events
from gentianstair.limits import admission_rules
from gentianstair.limits import cut_off_credit
from gentianstair.limits import hub_use
from gentianstair.limits import levels
from gentianstair.limits import rate_limit
from gentianstair.limits import reach as reaches
from gentianstair.limits import use as uses
from gentianstair.util import clock as clocks

# A report of the hub that is older than this is not used.
MAX_REPORT_AGE_S = 1.5
# A hub whose reports and those of its peers cover fewer of the VMs counts as
# cut off.
MIN_REACH = 0.1
# For how long a hub takes the levels that other hubs report, after its start.
ADOPTION_S = 2.0
# Retry-After of a VM that is cut off; the next attempt reaches another VM.
CUT_OFF_RETRY_S = 0.15
# What a customer asks for of which the hub reports nothing.
NOTHING_ASKED = (0.0,) * uses.CLASS_COUNT
# Bounds of the Retry-After of a customer that asks for too much.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 10.0
# Retry-After is longer by up to this part, so that callers do not return
# together.
RETRY_SPREAD = 0.5

REQUESTS = prometheus_client.Counter(
    'gentianstair_limited_requests',
    'Requests of customers with a rate limit, by what was decided',
    ['outcome'],
)
UNITS = prometheus_client.Counter(
    'gentianstair_limited_units',
    'Requests or tokens of customers with a rate limit, by what was decided',
    ['outcome'],
)
REACH = prometheus_client.Gauge(
    'gentianstair_limits_reach',
    'Part of the VMs whose requests this one counts',
)


class HubReport(typing.NamedTuple):
    """What a hub told this leaf of the limits."""

    received_s: float
    reach: float
    low: dict[str, levels.Reported]


class Decision(typing.NamedTuple):
    """Whether a request is admitted, and what that was decided by."""

    admitted: bool
    # 'within', 'over' or 'cut-off'.
    outcome: str
    level: float
    # By class of cost.
    asked_per_s: tuple[float, ...]
    retry_after_s: float = 0.0


class Permit:
    """The units of one admitted request."""

    def __init__(self, limiter: 'Limiter', customer: str, units: int) -> None:
        self._limiter = limiter
        self._customer = customer
        self._units = units

    def refund(self) -> None:
        """Take back the units: the request has not run and never will."""
        units, self._units = self._units, 0
        if units:
            self._limiter.refund(self._customer, units)


class Limiter:
    """The rate limits of one process, which may be a hub or a leaf."""

    def __init__(
        self,
        limits_of: typing.Callable[[str], rate_limit.RateLimit | None],
        tolerance_of: typing.Callable[[], rate_limit.Tolerance],
        fleet: reaches.Fleet,
        clock: clocks.Clock,
        rng: random.Random,
        starts_full: bool,
    ) -> None:
        self._limits_of = limits_of
        self._tolerance_of = tolerance_of
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._started_s = clock()
        self._reach = reaches.Reach(clock)
        self._levels = levels.Levels(
            limits_of, tolerance_of, clock, starts_full
        )
        self._credits = cut_off_credit.Credits(clock)
        self._hub_report: HubReport | None = None
        self._flushed_s = clock()
        self._last_reach = 0.0
        # Whether this VM is cut off, and how often it was.
        self._is_cut_off = False
        self._outage = 0
        self._pending = uses.PendingUse()
        self.hub_use = hub_use.HubUse(clock)

    def admit(
        self, customer: str, token_count: int | None, request_id: str = ''
    ) -> Permit | None:
        """Charge a request; return None if its customer has no limit.

        token_count is None if the request does not state it; request_id is
        for the log. Raise RequestError (429) beyond the limit.
        """
        limit = self._limits_of(customer)
        if limit is None:
            return None
        cost = limit.cost(token_count)
        decision = self._decide(customer, limit, cost)
        admitted = cost if decision.admitted else 0
        use = uses.of_request(admitted, cost)
        self._pending.record(customer, use)
        self._levels.record(customer, use)
        REQUESTS.labels(decision.outcome).inc()
        UNITS.labels(decision.outcome).inc(cost)
        if not decision.admitted:
            self._reject(customer, cost, decision, request_id)
        return Permit(self, customer, cost)

    def refund(self, customer: str, units: int) -> None:
        """Take back the units of a request that did not run."""
        self._pending.refund(customer, units)
        self._levels.refund(customer, units)

    def is_informed(self) -> bool:
        """Return whether this VM knows of the other VMs' requests."""
        return self.reach() >= MIN_REACH

    def must_wait(self, customer: str, token_count: int | None) -> bool:
        """Return whether a request had better wait for other VMs' reports."""
        limit = self._limits_of(customer)
        if limit is None or self.is_informed():
            return False
        credit = self._credit(customer, limit)
        return credit is None or credit.units < limit.cost(token_count)

    def reach(self) -> float:
        """Return the part of the VMs whose requests are known here."""
        vm_count = self._fleet.vm_count()
        if vm_count:
            self._reach.record_vm_count(vm_count)
        if self._fleet.is_hub():
            reach = self._reach.of_hub(self._fleet.leaf_count())
        else:
            report = self._hub_report
            is_current = (
                report is not None
                and self._clock() - report.received_s <= MAX_REPORT_AGE_S
            )
            reach = report.reach if report and is_current else 0.0
        REACH.set(reach)
        self._last_reach = reach
        return reach

    def _decide(
        self, customer: str, limit: rate_limit.RateLimit, cost: int
    ) -> Decision:
        reach = self.reach()
        if self._fleet.is_hub():
            self._flush_old()
        credit = self._credit(customer, limit)
        if reach < MIN_REACH:
            if not self._is_cut_off:
                self._is_cut_off = True
                self._outage += 1
            return self._decide_cut_off(customer, credit, cost)
        self._is_cut_off = False
        self._levels.reach = reach
        rules = self._levels.rules(customer)
        assert rules is not None
        level, asked_per_s = self._known_level(customer, rules)
        unreported = self._pending.admitted(customer)
        return self._decide_by_level(
            rules, level, asked_per_s, unreported, cost
        )

    def _credit(
        self, customer: str, limit: rate_limit.RateLimit
    ) -> cut_off_credit.CutOffCredit | None:
        """Return this VM's credit for when it is cut off, None without."""
        return self._credits.refilled(
            customer, limit, self._tolerance_of(), self._reach.vm_count
        )

    def _decide_cut_off(
        self,
        customer: str,
        credit: cut_off_credit.CutOffCredit | None,
        cost: int,
    ) -> Decision:
        """Decide on a VM that knows of no others."""
        admitted = False
        if credit is not None:
            report = self._hub_report
            told = report.low.get(customer) if report else None
            if told is not None:
                credit.forget_burst(told.level, self._outage)
            admitted = credit.admit(cost, self._rng)
        retry_after_s = self._spread(CUT_OFF_RETRY_S)
        return Decision(admitted, 'cut-off', 0.0, (), retry_after_s)

    def _known_level(
        self, customer: str, rules: admission_rules.Rules
    ) -> tuple[float, tuple[float, ...]]:
        """Return a customer's level and what it asks for in a second."""
        if self._fleet.is_hub() or self._hub_report is None:
            return (
                self._levels.level(customer, rules),
                self._levels.asked_per_s(customer, rules),
            )
        told = self._hub_report.low.get(customer)
        since = self._pending.admitted(customer)
        if told is None:
            return rules.assumed_level - since, NOTHING_ASKED
        return told.level - since, told.asked_per_s

    def _decide_by_level(
        self,
        rules: admission_rules.Rules,
        level: float,
        asked_per_s: tuple[float, ...],
        unreported: int,
        cost: int,
    ) -> Decision:
        wait_s = admission_rules.wait_for_level_s(rules, level, cost)
        own_level = max(0.0, level) / max(1, self._reach.vm_count)
        if unreported >= rules.max_unreported + own_level:
            wait_s = max(wait_s, MIN_RETRY_S)
        if wait_s <= 0.0:
            probability = admission_rules.admission_probability(
                rules, level, asked_per_s, uses.cost_class(cost)
            )
            if self._rng.random() >= probability:
                wait_s = admission_rules.excess_wait_s(
                    rules, level, sum(asked_per_s)
                )
        if wait_s <= 0.0:
            return Decision(True, 'within', level, asked_per_s)
        wait_s = min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
        return Decision(
            False, 'over', level, asked_per_s, self._spread(wait_s)
        )

    def _spread(self, wait_s: float) -> float:
        return wait_s * (1.0 + RETRY_SPREAD * self._rng.random())

    def _reject(
        self, customer: str, cost: int, decision: Decision, request_id: str
    ) -> typing.NoReturn:
        retry_after_s = round(decision.retry_after_s, 2)
        loguru.logger.bind(
            event=events.OVER_LIMIT,
            request_id=request_id,
            customer=customer,
            units=cost,
            outcome=decision.outcome,
            level=round(decision.level),
            asked_per_s=round(sum(decision.asked_per_s)),
            reach=round(self._last_reach, 3),
            report_age_s=self._report_age_s(),
            retry_after_s=retry_after_s,
        ).info('beyond the rate limit of the customer')
        raise errors.RequestError(
            429,
            'rate-limit',
            'the rate limit of this customer is used up',
            retry_after_s=retry_after_s,
        )

    def _report_age_s(self) -> float | None:
        """Return the age of what the hub told, None on a hub."""
        if self._fleet.is_hub() or self._hub_report is None:
            return None
        return round(self._clock() - self._hub_report.received_s, 2)

    # A leaf's side.

    def pending(self) -> dict[str, uses.Use]:
        """Return this leaf's use that its hub does not know yet."""
        return self._pending.export()

    def apply_hub_report(
        self,
        acknowledged: dict[str, uses.Use],
        reach: float,
        low: dict[str, levels.Reported],
    ) -> None:
        """Take what a hub answered to a report with the acknowledged use."""
        self._pending.acknowledge(acknowledged)
        self._hub_report = HubReport(self._clock(), reach, low)
        self._levels.reach = max(reach, MIN_REACH)
        # In case this VM becomes a hub.
        self._levels.lower(low)

    # A hub's side.

    def apply_leaf(self, reported: dict[str, uses.Use]) -> None:
        """Count the use that a leaf reports for the first time."""
        for customer, use in reported.items():
            self._levels.record(customer, use)
            self.hub_use.add(customer, use)

    def flush_own(self) -> None:
        """Add this hub's own use to what it tells the other hubs."""
        self._flushed_s = self._clock()
        own = self._pending.export()
        for customer, use in own.items():
            self.hub_use.add(customer, use)
        self._pending.acknowledge(own)

    def _flush_old(self) -> None:
        """Do so also on a hub that has no others to tell."""
        if self._clock() - self._flushed_s >= admission_rules.UNREPORTED_S:
            self.flush_own()

    def report_to_leaf(self) -> tuple[float, dict[str, levels.Reported]]:
        """Return this hub's reach and the levels that leaves have to know."""
        reach = self.reach()
        self._levels.reach = max(reach, MIN_REACH)
        return reach, self._levels.low()

    def report_to_hub(self) -> dict[str, levels.Reported] | None:
        """Return the low levels, which a hub that has just started takes.

        It is None on a hub that has just started itself.
        """
        return None if self._is_new() else self._levels.low()

    def apply_hub(
        self,
        process: str,
        vm_count: int,
        totals: dict[str, uses.Use],
        low: dict[str, levels.Reported] | None,
    ) -> None:
        """Count what another hub and its leaves, vm_count VMs, have used.

        low is None if the other hub has just started.
        """
        self._reach.record_hub(process, vm_count)
        window_s = self._tolerance_of().window_s
        for customer, use in self.hub_use.apply(
            process, totals, window_s
        ).items():
            self._levels.record(customer, use)
        if low is not None and self._is_new():
            self._levels.set_known()
            self._levels.lower(low)

    def _is_new(self) -> bool:
        return self._clock() - self._started_s < ADOPTION_S
