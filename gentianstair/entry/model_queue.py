"""Queue one model's requests for this VM's share of the fleet's slots."""

import collections
import heapq

from gentianstair.entry import admission_types
from gentianstair.entry import fairness
from gentianstair.entry import reservations
from gentianstair.entry import service_times
from gentianstair.entry import work as works
from gentianstair.generated import messages
from gentianstair.util import decaying_rate

# Half-life of the measured demand of a customer.
DEMAND_HALF_LIFE_S = 2.0
# Queued cost counts as demand spread over this time. A shorter time makes
# the shares follow noise, and they add up to more than the fleet.
BACKLOG_DRAIN_S = 10.0
# Throughput of a slot in cost units, until one is configured or measured.
INITIAL_SLOT_COST_PER_S = 200.0
# Retry-After if there is no upstream, as no wait can be estimated then.
NO_UPSTREAM_RETRY_AFTER_S = 5.0
# Time in which the VM shares are to even out customers' counters.
CATCH_UP_S = 10.0
# Concurrency is cut for each request that does not finish and raised for
# each one that does, since an upstream may still run abandoned requests.
# The factor is steady at about one unfinished request in six.
CONCURRENCY_DECREASE = 0.95
CONCURRENCY_INCREASE = 0.01
MIN_CONCURRENCY_FACTOR = 0.2
# Weight of the newest finished request in the mean service time.
NEWEST_WEIGHT = 0.05
# Part of a caller's patience that a reservation keeps as a safety margin.
RESERVATION_MARGIN = 0.5


class ModelQueue:
    """The queue, service counters and service times of one model."""

    def __init__(
        self, model: str, weight_of: fairness.WeightOf, now_s: float
    ) -> None:
        self.model = model
        self.counters = fairness.Counters(weight_of)
        self._customer_heap = fairness.CustomerHeap(self.counters)
        # Number of peers that have requests of a customer queued, and the
        # lowest counter of all backlogged customers at the last update.
        self._peer_backlogs: collections.Counter[str] = collections.Counter()
        self._lowest_value: float | None = None
        self.running_count = 0
        self.slots = 0.0
        self._weight_of = weight_of
        self._fleet_slots = 0
        self.service_times = service_times.ServiceTimes()
        # Part of the slots to use; reduced while requests do not finish.
        self.concurrency_factor = 1.0
        self._mean_service_s = 0.0
        # Heap of waiters by rank, for each customer.
        self._queues: dict[
            str, list[tuple[tuple[int, int], admission_types.Waiter]]
        ] = {}
        self._queued_cost: dict[str, float] = {}
        self._demand: dict[str, decaying_rate.DecayingRate] = {}
        self._reservations: dict[str, reservations.Reservations] = {}
        self._peer_rows: dict[str, dict[str, messages.ServiceRow]] = {}

    def set_capacity(self, slots: int, cost_per_s: float) -> None:
        """Set the fleet's slots, and its throughput until one is measured."""
        self._fleet_slots = slots
        if cost_per_s > 0.0 and slots > 0:
            weight = works.DEFAULT_WEIGHTS.output_token
            self.service_times.set_initial_speed(cost_per_s / slots, weight)

    def waiting_count(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue) for queue in self._queues.values())

    # Estimates.

    @property
    def _slot_cost_per_s(self) -> float:
        return self.service_times.slot_cost_per_s(INITIAL_SLOT_COST_PER_S)

    def _estimate_waiter(self, waiter: admission_types.Waiter) -> None:
        """Set the waiter's expected cost and service times."""
        work = waiter.work
        output_tokens = self.service_times.expected_output_tokens(
            work.customer, work.max_tokens
        )
        weights = works.DEFAULT_WEIGHTS
        waiter.cost = (
            work.prompt_tokens * weights.prompt_token
            + output_tokens * weights.output_token
        )
        waiter.mean_service_s = self.service_times.service_s(
            work.prompt_tokens, output_tokens
        )
        waiter.safe_service_s = (
            waiter.mean_service_s * self.service_times.safety_factor()
        )

    def latest_start_s(self, waiter: admission_types.Waiter) -> float:
        """Return the latest start at which the deadline can be met."""
        latest_s = waiter.work.deadline_s - waiter.safe_service_s
        return max(latest_s, waiter.queued_at_s)

    def customer_cost_per_s(self, customer: str) -> float:
        """Return the customer's fair share of this VM's throughput."""
        others = sum(
            self._weight_of(name) for name in self._queues if name != customer
        )
        weight = max(self._weight_of(customer), 1e-9)
        slots = max(self.slots * self.concurrency_factor, 1e-9)
        cost_per_s = slots * self._slot_cost_per_s
        return cost_per_s * weight / (weight + others)

    def _ahead_cost(self, waiter: admission_types.Waiter) -> float:
        """Return the cost queued ahead of the waiter for its customer."""
        queue = self._queues.get(waiter.work.customer, [])
        if not queue or waiter.work.priority == 0:
            return self._queued_cost.get(waiter.work.customer, 0.0)
        return sum(w.cost for rank, w in queue if rank < waiter.rank)

    def _has_free_slot(self) -> bool:
        # Every VM has at least one slot.
        return self.running_count < max(
            1, round(self.slots * self.concurrency_factor)
        )

    def _wait_s(self, customer: str, ahead_cost: float) -> float:
        if self._has_free_slot() and not self._queues:
            return 0.0
        # Mean time until a slot is free, with all in use.
        first_s = self._mean_service_s / max(self.slots, 1.0)
        return first_s + ahead_cost / self.customer_cost_per_s(customer)

    # Admission and release.

    def offer(
        self,
        waiter: admission_types.Waiter,
        now_s: float,
        returning: bool = False,
    ) -> admission_types.Decision:
        """Queue or refuse the waiter; grant the slots that are free.

        Reservations do not delay a returning caller. A customer gains nothing
        by marking every request as returning, as reservations delay only
        requests of the same customer.
        """
        work = waiter.work
        self._estimate_waiter(waiter)
        self._record_demand(work.customer, waiter.cost, now_s)
        customer_reservations = self._reservations.setdefault(
            work.customer, reservations.Reservations()
        )
        is_exempt = customer_reservations.redeem(now_s) or returning
        left_s = work.deadline_s - now_s
        patience_s = max(0.0, left_s - waiter.safe_service_s)
        ahead_cost = self._ahead_cost(waiter)
        reserved_cost = 0.0
        allowed_s = patience_s
        customer_reservations.callers_mark_returns = (
            customer_reservations.callers_mark_returns or returning
        )
        if not is_exempt and customer_reservations.total_cost(now_s) > 0.0:
            if customer_reservations.callers_mark_returns:
                # Leave room for callers that return. If callers did not mark
                # their returns, this would delay the returns as well.
                allowed_s *= RESERVATION_MARGIN
            # Reservations that are due before it would start go first.
            start_s = ahead_cost / self.customer_cost_per_s(work.customer)
            reserved_cost = customer_reservations.due_cost(now_s + start_s)
        wait_s = self._wait_s(work.customer, ahead_cost + reserved_cost)
        reason = self._admission_reason(waiter, wait_s, allowed_s, now_s)
        retry_after_s = None
        if reason == 'no-upstream':
            retry_after_s = NO_UPSTREAM_RETRY_AFTER_S
        elif reason not in ('admitted', 'deadline-too-short'):
            retry_after_s = self._reserve_retry(waiter, patience_s, now_s)
        decision = self._make_decision(
            waiter,
            reason,
            ahead_cost,
            reserved_cost,
            wait_s,
            left_s,
            retry_after_s,
        )
        if decision.admitted:
            self._enqueue(waiter)
        return decision

    def _admission_reason(
        self,
        waiter: admission_types.Waiter,
        wait_s: float,
        allowed_s: float,
        now_s: float,
    ) -> str:
        customer = waiter.work.customer
        if self._fleet_slots <= 0:
            return 'no-upstream'
        if self._is_deadline_too_short(waiter, now_s):
            return 'deadline-too-short'
        if wait_s <= allowed_s:
            return 'admitted'
        others = [name for name in self._queues if name != customer]
        return 'over-share' if others else 'busy'

    def _is_deadline_too_short(
        self, waiter: admission_types.Waiter, now_s: float
    ) -> bool:
        """Return whether even an idle fleet would miss the deadline.

        Answers often use far less than max_tokens, so this needs recent
        answers to the customer. With a slot free the request is run anyway,
        as otherwise estimates from a slow period would never be corrected.
        """
        left_s = waiter.work.deadline_s - now_s
        if left_s <= 0.0:
            return True
        if self._has_free_slot() and not self._queues:
            return False
        is_known = self.service_times.knows_output_share(
            waiter.work.customer, now_s
        )
        return is_known and waiter.mean_service_s > left_s

    def _reserve_retry(
        self, waiter: admission_types.Waiter, patience_s: float, now_s: float
    ) -> float:
        """Return the Retry-After delay, and reserve capacity for that time."""
        customer = waiter.work.customer
        customer_reservations = self._reservations.setdefault(
            customer, reservations.Reservations()
        )
        ahead_cost = self._queued_cost.get(
            customer, 0.0
        ) + customer_reservations.total_cost(now_s)
        wait_s = self._wait_s(customer, ahead_cost + waiter.cost)
        delay_s = max(1.0, wait_s - RESERVATION_MARGIN * max(0.0, patience_s))
        customer_reservations.reserve(now_s + delay_s, waiter.cost, patience_s)
        return delay_s

    def _make_decision(
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
            backlogged_customers=len(self._queues),
            wait_s=wait_s,
            service_s=waiter.safe_service_s,
            left_s=left_s,
            retry_after_s=retry_after_s,
        )

    def _enqueue(self, waiter: admission_types.Waiter) -> None:
        customer = waiter.work.customer
        if customer not in self._queues:
            if not self._peer_backlogs[customer]:
                self._lift_idle_customer(customer)
            self._queues[customer] = []
            self._customer_heap.add(customer)
        heapq.heappush(self._queues[customer], (waiter.rank, waiter))
        cost = self._queued_cost.get(customer, 0.0) + waiter.cost
        self._queued_cost[customer] = cost
        self._grant()

    def _lift_idle_customer(self, customer: str) -> None:
        """Raise an idle customer's counter to the lowest backlogged one."""
        lowest = self._customer_heap.lowest()
        floors = [] if self._lowest_value is None else [self._lowest_value]
        if lowest is not None:
            floors.append(self.counters.value(lowest))
        if floors:
            self.counters.lift(customer, min(floors))

    def _backlogged_customers(self) -> set[str]:
        """Return the customers with queued requests on any known VM."""
        return set(self._queues) | set(+self._peer_backlogs)

    def _remove(self, waiter: admission_types.Waiter) -> None:
        customer = waiter.work.customer
        queue = self._queues[customer]
        queue.remove((waiter.rank, waiter))
        heapq.heapify(queue)
        self._update_after_dequeue(customer, waiter)

    def _update_after_dequeue(
        self, customer: str, waiter: admission_types.Waiter
    ) -> None:
        self._queued_cost[customer] -= waiter.cost
        if not self._queues[customer]:
            del self._queues[customer]
            del self._queued_cost[customer]
            self._customer_heap.remove(customer)

    def _grant(self) -> None:
        while self._queues and self._has_free_slot():
            customer = self._customer_heap.lowest()
            if customer is None:
                return
            _, waiter = heapq.heappop(self._queues[customer])
            self._update_after_dequeue(customer, waiter)
            waiter.running = True
            self.running_count += 1
            self.counters.charge(customer, waiter.cost)
            waiter.granted.set()

    def refuse_late_waiter(
        self, waiter: admission_types.Waiter, now_s: float
    ) -> admission_types.Decision:
        """Refuse a waiter whose deadline can no longer be met."""
        left_s = waiter.work.deadline_s - now_s
        patience_s = waiter.work.deadline_s - waiter.queued_at_s
        retry_after_s = self._reserve_retry(waiter, patience_s, now_s)
        ahead_cost = self._ahead_cost(waiter)
        wait_s = self._wait_s(waiter.work.customer, ahead_cost)
        return self._make_decision(
            waiter, 'waited', ahead_cost, 0.0, wait_s, left_s, retry_after_s
        )

    def release(
        self,
        waiter: admission_types.Waiter,
        usage: admission_types.Usage | None,
        started_s: float | None,
        now_s: float,
    ) -> None:
        """Free the waiter's queue entry or slot and charge its real cost.

        Without a usage, as for a failed request, the expected cost stands.
        """
        if not waiter.running:
            if not waiter.granted.is_set():
                self._remove(waiter)
            return
        self.running_count -= 1
        customer = waiter.work.customer
        if started_s is None:
            # Its caller disconnected before it could start.
            self.counters.charge(customer, -waiter.cost)
        elif usage is not None:
            self.counters.charge(customer, usage.cost - waiter.cost)
            self._learn(waiter, usage, now_s - started_s, now_s)
        elif now_s - started_s > waiter.mean_service_s:
            # It was stopped after running longer than expected. With only
            # finished requests counted, a slow fleet would seem fast.
            self._learn_unfinished(waiter, now_s - started_s)
        if customer in self._queues:
            self._customer_heap.add(customer)
        self._grant()

    def _learn(
        self,
        waiter: admission_types.Waiter,
        usage: admission_types.Usage,
        took_s: float,
        now_s: float,
    ) -> None:
        work = waiter.work
        self.concurrency_factor = min(
            1.0, self.concurrency_factor + CONCURRENCY_INCREASE
        )
        if took_s <= 0.0:
            return
        self.service_times.learn(
            usage.uncached_tokens, usage.output_tokens, usage.cost, took_s
        )
        output_share = usage.output_tokens / max(1, work.max_tokens)
        self.service_times.learn_output_share(
            work.customer, min(output_share, 1.0), now_s
        )
        self._mean_service_s += NEWEST_WEIGHT * (took_s - self._mean_service_s)

    def _learn_unfinished(
        self, waiter: admission_types.Waiter, took_s: float
    ) -> None:
        work = waiter.work
        self.concurrency_factor = max(
            MIN_CONCURRENCY_FACTOR,
            self.concurrency_factor * CONCURRENCY_DECREASE,
        )
        output_tokens = self.service_times.expected_output_tokens(
            work.customer, work.max_tokens
        )
        self.service_times.learn(
            work.prompt_tokens, output_tokens, waiter.cost, took_s
        )

    def refuse_late_waiters(self, now_s: float) -> None:
        """Refuse waiters that can no longer start in time."""
        late_waiters = []
        for customer, queue in list(self._queues.items()):
            cost_per_s = self.customer_cost_per_s(customer)
            ahead_cost = 0.0
            for _, waiter in sorted(queue):
                # Half the estimate: to refuse a request that could be served
                # is worse than to keep one too long.
                wait_s = 0.5 * ahead_cost / cost_per_s
                if self._fleet_slots <= 0:
                    wait_s = NO_UPSTREAM_RETRY_AFTER_S
                if now_s + wait_s > self.latest_start_s(waiter):
                    late_waiters.append(waiter)
                else:
                    ahead_cost += waiter.cost
        for waiter in late_waiters:
            waiter.refusal = self.refuse_late_waiter(waiter, now_s)
            self._remove(waiter)
            waiter.granted.set()

    # Sharing of the fleet between VMs.

    def _record_demand(self, customer: str, cost: float, now_s: float) -> None:
        rate = self._demand.get(customer)
        if rate is None:
            rate = decaying_rate.DecayingRate(DEMAND_HALF_LIFE_S, now_s)
            self._demand[customer] = rate
        rate.add(cost, now_s)

    def summary_rows(self, now_s: float) -> list[messages.ServiceRow]:
        """Return this VM's served cost and demand, one row per customer."""
        return [
            {
                'model': self.model,
                'customer': customer,
                'served_cost': self.counters.served_here.get(customer, 0.0),
                'demand_cost_per_s': rate.per_s(now_s),
                'waiting_cost': self._queued_cost.get(customer, 0.0),
            }
            for customer, rate in self._demand.items()
        ]

    def merge_row(self, vm: str, row: messages.ServiceRow) -> None:
        """Merge one row of a peer's summary."""
        rows = self._peer_rows.setdefault(vm, {})
        last = rows.get(row['customer'])
        if last is not None:
            served = row['served_cost'] - last['served_cost']
            self.counters.charge_remote(row['customer'], served)
        self._record_peer_backlog(row['customer'], last, row)
        rows[row['customer']] = row

    def _record_peer_backlog(
        self,
        customer: str,
        last: messages.ServiceRow | None,
        row: messages.ServiceRow | None,
    ) -> None:
        """Record that a customer's backlog at a peer begins or ends."""
        before = last is not None and last['waiting_cost'] > 0.0
        after = row is not None and row['waiting_cost'] > 0.0
        has_peer_backlog = self._peer_backlogs[customer] > 0
        if after and not has_peer_backlog and customer not in self._queues:
            self._lift_idle_customer(customer)
        self._peer_backlogs[customer] += after - before

    def remove_peer(self, vm: str) -> None:
        """Drop a peer's rows; the cost that it served stays counted."""
        for customer, row in self._peer_rows.pop(vm, {}).items():
            self._record_peer_backlog(customer, row, None)

    def update_share(
        self,
        own_vm: str,
        heard_vms: set[str],
        live_vm_count: int,
        now_s: float,
    ) -> None:
        """Set this VM's share of the fleet's slots.

        heard_vms are the VMs whose demand is known. The other live VMs keep
        an even share each, so a partitioned VM does not use the whole fleet.
        """
        demands: dict[str, dict[str, float]] = {vm: {} for vm in heard_vms}
        for vm, rows in self._peer_rows.items():
            if vm in demands:
                demands[vm] = {
                    customer: _demand_cost_per_s(row)
                    for customer, row in rows.items()
                }
        demands[own_vm] = {
            row['customer']: _demand_cost_per_s(row)
            for row in self.summary_rows(now_s)
        }
        heard_share = len(heard_vms) / max(1, live_vm_count)
        cost_per_s = self._fleet_slots * self._slot_cost_per_s * heard_share
        if cost_per_s <= 0.0:
            self.slots = 0.0
            return
        shares = fairness.vm_shares(
            cost_per_s, demands, self._catch_up_weights(cost_per_s)
        )
        self.slots = shares[own_vm] / self._slot_cost_per_s
        self._grant()

    def _catch_up_weights(self, cost_per_s: float) -> fairness.WeightOf:
        """Return weights that favour backlogged customers with low counters.

        Customers on different VMs share no queue. Without this correction of
        the VM shares, rounding would make their counters drift apart.
        """
        backlogged = self._backlogged_customers()
        values = {name: self.counters.value(name) for name in backlogged}
        self._lowest_value = min(values.values()) if values else None
        if len(backlogged) < 2:
            return self._weight_of
        mean = sum(values.values()) / len(values)
        total = sum(self._weight_of(name) for name in backlogged)
        step = cost_per_s * CATCH_UP_S / max(total, 1e-9)

        def weight_of(customer: str) -> float:
            weight = self._weight_of(customer)
            if customer not in values:
                return weight
            behind = (mean - values[customer]) / step
            return weight * min(max(1.0 + behind, 0.5), 2.0)

        return weight_of


def _demand_cost_per_s(row: messages.ServiceRow) -> float:
    """Return the demand of a row: arriving cost plus queued cost."""
    return row['demand_cost_per_s'] + row['waiting_cost'] / BACKLOG_DRAIN_S
