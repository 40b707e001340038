"""Queue the requests of one model for this VM's part of its capacity."""

import collections
import heapq

from gentianstair.entry import admission_types
from gentianstair.entry import fairness
from gentianstair.entry import reservations
from gentianstair.entry import service_times
from gentianstair.entry import work as works
from gentianstair.generated import messages

# How fast demand and speed are forgotten.
DEMAND_HALF_LIFE_S = 2.0
# Time in which waiting work asks to be served; shorter, the split follows
# each summary's chance and the VMs' parts add up to more than the fleet.
DRAIN_S = 10.0
# Assumed until told or learned, in cost units a second for each slot.
FIRST_SLOT_COST_PER_S = 200.0
# Told to those refused for want of any upstream, which no queue can date.
NO_UPSTREAM_RETRY_S = 5.0
# Time in which the split tries to level customers that differ.
CATCH_UP_S = 10.0
# An upstream may go on with work that was given up, so a slot that is free
# here can still be taken there, and each new request makes all of them
# later. So unfinished requests close slots and finished ones open them;
# they balance at one unfinished in six.
BRAKE_DOWN = 0.95
BRAKE_UP = 0.01
LEAST_BRAKE = 0.2
# Weight of the newest finished request in the mean service time.
NEWEST = 0.05
# Share of the patience that a promise leaves unused, against its error.
PROMISE_SLACK = 0.5


class Pool:
    """The queue, the counters and the learned speed of one model."""

    def __init__(
        self, model: str, weight_of: fairness.WeightOf, now_s: float
    ) -> None:
        self.model = model
        self.counters = fairness.Counters(weight_of)
        self._turns = fairness.CustomerHeap(self.counters)
        # How many peers have a customer waiting, and the lowest counter of
        # all that wait anywhere, as of the last split.
        self._waits_at_peers: collections.Counter[str] = collections.Counter()
        self._floor: float | None = None
        self.running_count = 0
        self.slots = 0.0
        self._weight_of = weight_of
        self._fleet_slots = 0
        self.speed = service_times.ServiceTimes()
        # Part of the slots in use; falls while requests do not finish.
        self.brake = 1.0
        self._mean_service_s = 0.0
        # Waiters by customer, each line ordered by rank.
        self._lines: dict[
            str, list[tuple[tuple[int, int], admission_types.Waiter]]
        ] = {}
        self._line_cost: dict[str, float] = {}
        self._demand: dict[str, fairness.DecayingRate] = {}
        self._promises: dict[str, reservations.Reservations] = {}
        self._peer_rows: dict[str, dict[str, messages.ServiceRow]] = {}

    def set_capacity(self, slots: int, cost_per_s: float) -> None:
        """Set the fleet's slots, and its speed until one is learned."""
        self._fleet_slots = slots
        if cost_per_s > 0.0 and slots > 0:
            weight = works.DEFAULT_WEIGHTS.output_token
            self.speed.set_initial_speed(cost_per_s / slots, weight)

    def waiting_count(self) -> int:
        """Return how many requests wait."""
        return sum(len(line) for line in self._lines.values())

    # Estimates.

    @property
    def _slot_cost_per_s(self) -> float:
        return self.speed.slot_cost_per_s(FIRST_SLOT_COST_PER_S)

    def _estimate(self, waiter: admission_types.Waiter) -> None:
        """Set the cost and the time on a slot that are to be expected."""
        work = waiter.work
        output = self.speed.expected_output_tokens(
            work.customer, work.max_tokens
        )
        weights = works.DEFAULT_WEIGHTS
        waiter.cost = (
            work.prompt_tokens * weights.prompt_token
            + output * weights.output_token
        )
        waiter.mean_service_s = self.speed.service_s(
            work.prompt_tokens, output
        )
        waiter.safe_service_s = (
            waiter.mean_service_s * self.speed.safety_factor()
        )

    def latest_start_s(self, waiter: admission_types.Waiter) -> float:
        """Return the time after which the deadline cannot be met."""
        latest_s = waiter.work.deadline_s - waiter.safe_service_s
        return max(latest_s, waiter.queued_at_s)

    def customer_cost_per_s(self, customer: str) -> float:
        """Return the part of this VM's speed that a customer is sure of."""
        others = sum(
            self._weight_of(name) for name in self._lines if name != customer
        )
        weight = max(self._weight_of(customer), 1e-9)
        slots = max(self.slots * self.brake, 1e-9)
        speed = slots * self._slot_cost_per_s
        return speed * weight / (weight + others)

    def _ahead_cost(self, waiter: admission_types.Waiter) -> float:
        """Return the cost in the customer's line before the waiter."""
        line = self._lines.get(waiter.work.customer, [])
        if not line or waiter.work.priority == 0:
            return self._line_cost.get(waiter.work.customer, 0.0)
        return sum(w.cost for rank, w in line if rank < waiter.rank)

    def _free(self) -> bool:
        # No VM is left without a slot while the fleet has one.
        return self.running_count < max(1, round(self.slots * self.brake))

    def _wait_s(self, customer: str, ahead_cost: float) -> float:
        if self._free() and not self._lines:
            return 0.0
        # All slots are taken: the next one ends after this, on average.
        first_s = self._mean_service_s / max(self.slots, 1.0)
        return first_s + ahead_cost / self.customer_cost_per_s(customer)

    # Entering and leaving.

    def offer(
        self,
        waiter: admission_types.Waiter,
        now_s: float,
        returning: bool = False,
    ) -> admission_types.Decision:
        """Queue the waiter, or refuse it; grant slots that are free.

        A returning caller is not held up by promises to others. Marking
        every request as returning wins a customer nothing: promises hold
        up only its own callers.
        """
        work = waiter.work
        self._estimate(waiter)
        self._note_demand(work.customer, waiter.cost, now_s)
        book = self._promises.setdefault(
            work.customer, reservations.Reservations()
        )
        kept = book.redeem(now_s) or returning
        left_s = work.deadline_s - now_s
        patience_s = max(0.0, left_s - waiter.safe_service_s)
        ahead = self._ahead_cost(waiter)
        promised = 0.0
        allowed_s = patience_s
        book.callers_mark_returns = book.callers_mark_returns or returning
        if not kept and book.total_cost(now_s) > 0.0:
            if book.callers_mark_returns:
                # The line must leave room for those told to return. Where
                # callers do not mark their return this would hit them too.
                allowed_s *= PROMISE_SLACK
            # Promises due before this one would start go first.
            start_s = ahead / self.customer_cost_per_s(work.customer)
            promised = book.due_cost(now_s + start_s)
        wait_s = self._wait_s(work.customer, ahead + promised)
        reason = self._judge(waiter, wait_s, allowed_s, now_s)
        retry_after_s = None
        if reason == 'no-upstream':
            retry_after_s = NO_UPSTREAM_RETRY_S
        elif reason not in ('admitted', 'deadline-too-short'):
            retry_after_s = self._promise(waiter, patience_s, now_s)
        decision = self._decision(
            waiter, reason, ahead, promised, wait_s, left_s, retry_after_s
        )
        if decision.admitted:
            self._enter(waiter)
        return decision

    def _judge(
        self,
        waiter: admission_types.Waiter,
        wait_s: float,
        allowed_s: float,
        now_s: float,
    ) -> str:
        customer = waiter.work.customer
        if self._fleet_slots <= 0:
            return 'no-upstream'
        if self._too_short(waiter, now_s):
            return 'deadline-too-short'
        if wait_s <= allowed_s:
            return 'admitted'
        others = [name for name in self._lines if name != customer]
        return 'over-share' if others else 'busy'

    def _too_short(self, waiter: admission_types.Waiter, now_s: float) -> bool:
        """Return whether even an idle fleet would be too late.

        max_tokens is often far above what is used, so this needs recent
        answers to the same customer. With a slot free the request runs all
        the same: were all refused by what a slow time taught, no answer
        would ever teach that it is over.
        """
        left_s = waiter.work.deadline_s - now_s
        if left_s <= 0.0:
            return True
        if self._free() and not self._lines:
            return False
        certain = self.speed.knows_output_share(waiter.work.customer, now_s)
        return certain and waiter.mean_service_s > left_s

    def _promise(
        self, waiter: admission_types.Waiter, patience_s: float, now_s: float
    ) -> float:
        """Return when to come back, and keep the place for then."""
        customer = waiter.work.customer
        book = self._promises.setdefault(customer, reservations.Reservations())
        ahead = self._line_cost.get(customer, 0.0) + book.total_cost(now_s)
        wait_s = self._wait_s(customer, ahead + waiter.cost)
        delay_s = max(1.0, wait_s - PROMISE_SLACK * max(0.0, patience_s))
        book.reserve(now_s + delay_s, waiter.cost, patience_s)
        return delay_s

    def _decision(
        self,
        waiter: admission_types.Waiter,
        reason: str,
        ahead_cost: float,
        promised_cost: float,
        wait_s: float,
        left_s: float,
        retry_after_s: float | None,
    ) -> admission_types.Decision:
        work = waiter.work
        return admission_types.Decision(
            request_id=work.request_id,
            customer=work.customer,
            model=work.model,
            admitted=reason == 'admitted',
            reason=reason,
            priority=work.priority,
            cost=waiter.cost,
            ahead_cost=ahead_cost,
            promised_cost=promised_cost,
            customer_cost_per_s=self.customer_cost_per_s(work.customer),
            slots=self.slots,
            running=self.running_count,
            backlogged_customers=len(self._lines),
            wait_s=wait_s,
            service_s=waiter.safe_service_s,
            left_s=left_s,
            retry_after_s=retry_after_s,
        )

    def _enter(self, waiter: admission_types.Waiter) -> None:
        customer = waiter.work.customer
        if customer not in self._lines:
            if not self._waits_at_peers[customer]:
                self._lift(customer)
            self._lines[customer] = []
            self._turns.add(customer)
        heapq.heappush(self._lines[customer], (waiter.rank, waiter))
        cost = self._line_cost.get(customer, 0.0) + waiter.cost
        self._line_cost[customer] = cost
        self._grant()

    def _lift(self, customer: str) -> None:
        """Take from a customer that was idle what it saved up."""
        lowest = self._turns.lowest()
        floors = [] if self._floor is None else [self._floor]
        if lowest is not None:
            floors.append(self.counters.value(lowest))
        if floors:
            self.counters.lift(customer, min(floors))

    def _backlogged(self) -> set[str]:
        """Return the customers that wait anywhere, as far as known."""
        return set(self._lines) | set(+self._waits_at_peers)

    def _remove(self, waiter: admission_types.Waiter) -> None:
        customer = waiter.work.customer
        line = self._lines[customer]
        line.remove((waiter.rank, waiter))
        heapq.heapify(line)
        self._taken(customer, waiter)

    def _taken(self, customer: str, waiter: admission_types.Waiter) -> None:
        self._line_cost[customer] -= waiter.cost
        if not self._lines[customer]:
            del self._lines[customer]
            del self._line_cost[customer]
            self._turns.remove(customer)

    def _grant(self) -> None:
        while self._lines and self._free():
            customer = self._turns.lowest()
            if customer is None:
                return
            _, waiter = heapq.heappop(self._lines[customer])
            self._taken(customer, waiter)
            waiter.running = True
            self.running_count += 1
            self.counters.charge(customer, waiter.cost)
            waiter.granted.set()

    def give_up(
        self, waiter: admission_types.Waiter, now_s: float
    ) -> admission_types.Decision:
        """Refuse a waiter whose deadline can no longer be met."""
        left_s = waiter.work.deadline_s - now_s
        patience_s = waiter.work.deadline_s - waiter.queued_at_s
        retry_after_s = self._promise(waiter, patience_s, now_s)
        ahead = self._ahead_cost(waiter)
        wait_s = self._wait_s(waiter.work.customer, ahead)
        return self._decision(
            waiter, 'waited', ahead, 0.0, wait_s, left_s, retry_after_s
        )

    def leave(
        self,
        waiter: admission_types.Waiter,
        usage: admission_types.Usage | None,
        started_s: float | None,
        now_s: float,
    ) -> None:
        """Free the waiter's place or slot and settle its true cost.

        Without a usage the expected cost stands, as of work that failed.
        """
        if not waiter.running:
            if not waiter.granted.is_set():
                self._remove(waiter)
            return
        self.running_count -= 1
        customer = waiter.work.customer
        if started_s is None:
            # Granted in the same instant as its caller hung up.
            self.counters.charge(customer, -waiter.cost)
        elif usage is not None:
            self.counters.charge(customer, usage.cost - waiter.cost)
            self._learn(waiter, usage, now_s - started_s, now_s)
        elif now_s - started_s > waiter.mean_service_s:
            # Cut off by its deadline, a failure or its caller, it had
            # already run longer than expected. Learning only from what
            # ends in time, a slow fleet would look fast.
            self._learn_unfinished(waiter, now_s - started_s)
        if customer in self._lines:
            self._turns.add(customer)
        self._grant()

    def _learn(
        self,
        waiter: admission_types.Waiter,
        usage: admission_types.Usage,
        took_s: float,
        now_s: float,
    ) -> None:
        work = waiter.work
        self.brake = min(1.0, self.brake + BRAKE_UP)
        if took_s <= 0.0:
            return
        self.speed.learn(
            usage.uncached_tokens, usage.output_tokens, usage.cost, took_s
        )
        used = usage.output_tokens / max(1, work.max_tokens)
        self.speed.learn_output_share(work.customer, min(used, 1.0), now_s)
        self._mean_service_s += NEWEST * (took_s - self._mean_service_s)

    def _learn_unfinished(
        self, waiter: admission_types.Waiter, took_s: float
    ) -> None:
        work = waiter.work
        self.brake = max(LEAST_BRAKE, self.brake * BRAKE_DOWN)
        output = self.speed.expected_output_tokens(
            work.customer, work.max_tokens
        )
        self.speed.learn(work.prompt_tokens, output, waiter.cost, took_s)

    def drop_late(self, now_s: float) -> None:
        """Refuse waiters whom a loss of capacity has made too late."""
        late = []
        for customer, line in list(self._lines.items()):
            speed = self.customer_cost_per_s(customer)
            ahead = 0.0
            for _, waiter in sorted(line):
                # Half the estimate, since refusing a waiter that would
                # have been served is worse than keeping one too long.
                wait_s = 0.5 * ahead / speed
                if self._fleet_slots <= 0:
                    wait_s = NO_UPSTREAM_RETRY_S
                if now_s + wait_s > self.latest_start_s(waiter):
                    late.append(waiter)
                else:
                    ahead += waiter.cost
        for waiter in late:
            waiter.refusal = self.give_up(waiter, now_s)
            self._remove(waiter)
            waiter.granted.set()

    # What VMs tell each other.

    def _note_demand(self, customer: str, cost: float, now_s: float) -> None:
        rate = self._demand.get(customer)
        if rate is None:
            rate = fairness.DecayingRate(DEMAND_HALF_LIFE_S, now_s)
            self._demand[customer] = rate
        rate.add(cost, now_s)

    def rows(self, now_s: float) -> list[messages.ServiceRow]:
        """Return what this VM serves and is asked, a row a customer."""
        return [
            {
                'model': self.model,
                'customer': customer,
                'served_cost': self.counters.served_here.get(customer, 0.0),
                'demand_cost_per_s': rate.per_s(now_s),
                'waiting_cost': self._line_cost.get(customer, 0.0),
            }
            for customer, rate in self._demand.items()
        ]

    def merge(self, vm: str, row: messages.ServiceRow) -> None:
        """Take one row of a peer."""
        rows = self._peer_rows.setdefault(vm, {})
        last = rows.get(row['customer'])
        if last is not None:
            served = row['served_cost'] - last['served_cost']
            self.counters.charge_remote(row['customer'], served)
        self._note_wait(row['customer'], last, row)
        rows[row['customer']] = row

    def _note_wait(
        self,
        customer: str,
        last: messages.ServiceRow | None,
        row: messages.ServiceRow | None,
    ) -> None:
        """Count that a customer begins or ends to wait at a peer."""
        before = last is not None and last['waiting_cost'] > 0.0
        after = row is not None and row['waiting_cost'] > 0.0
        waits_elsewhere = self._waits_at_peers[customer] > 0
        if after and not waits_elsewhere and customer not in self._lines:
            self._lift(customer)
        self._waits_at_peers[customer] += after - before

    def forget(self, vm: str) -> None:
        """Drop a peer's rows; what it served stays counted."""
        for customer, row in self._peer_rows.pop(vm, {}).items():
            self._note_wait(customer, row, None)

    def resplit(
        self, own_vm: str, heard: set[str], vms: int, now_s: float
    ) -> None:
        """Set this VM's part of the fleet's slots.

        heard are the VMs whose demand is known, of so many that are live;
        each of the others keeps an even part. A VM that is cut off hears
        nobody, and so does not take the whole fleet for itself.
        """
        demands: dict[str, dict[str, float]] = {vm: {} for vm in heard}
        for vm, rows in self._peer_rows.items():
            if vm in demands:
                demands[vm] = {
                    customer: _asked(row) for customer, row in rows.items()
                }
        demands[own_vm] = {
            row['customer']: _asked(row) for row in self.rows(now_s)
        }
        known = len(heard) / max(1, vms)
        speed = self._fleet_slots * self._slot_cost_per_s * known
        if speed <= 0.0:
            self.slots = 0.0
            return
        parts = fairness.vm_shares(speed, demands, self._caught_up(speed))
        self.slots = parts[own_vm] / self._slot_cost_per_s
        self._grant()

    def _caught_up(self, speed: float) -> fairness.WeightOf:
        """Return weights that favour customers who wait and are behind.

        Customers on different VMs meet in no queue, so only the split can
        level them; without this, rounding makes them drift apart for ever.
        """
        backlogged = self._backlogged()
        values = {name: self.counters.value(name) for name in backlogged}
        self._floor = min(values.values()) if values else None
        if len(backlogged) < 2:
            return self._weight_of
        mean = sum(values.values()) / len(values)
        total = sum(self._weight_of(name) for name in backlogged)
        step = speed * CATCH_UP_S / max(total, 1e-9)

        def weight_of(customer: str) -> float:
            weight = self._weight_of(customer)
            if customer not in values:
                return weight
            behind = (mean - values[customer]) / step
            return weight * min(max(1.0 + behind, 0.5), 2.0)

        return weight_of


def _asked(row: messages.ServiceRow) -> float:
    """Return the cost a second asked: what arrives, and what waits."""
    return row['demand_cost_per_s'] + row['waiting_cost'] / DRAIN_S
