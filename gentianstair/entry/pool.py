"""Queue the requests of one model for this VM's part of its capacity."""

import heapq
import typing

import trio

from gentianstair.entry import fairness
from gentianstair.entry import promises as promise_books
from gentianstair.entry import speed as speeds
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
# A deadline is refused as too short if the service is expected to take this
# many times what is left; below it the expectation is too rough.
TOO_SHORT_TIMES = 1.25
# Weight of the newest finished request in the mean service time.
NEWEST = 0.05
# Share of the patience that a promise leaves unused, against its error.
PROMISE_SLACK = 0.5


class Decision(typing.NamedTuple):
    """One decision on a request with all it was based on."""

    request_id: str
    customer: str
    model: str
    admitted: bool
    reason: str
    priority: int
    cost: float
    ahead_cost: float
    promised_cost: float
    customer_cost_per_s: float
    slots: float
    running: int
    backlogged_customers: int
    wait_s: float
    service_s: float
    left_s: float
    retry_after_s: float | None


class Usage(typing.NamedTuple):
    """What an upstream says that a request used."""

    fresh_tokens: int
    output_tokens: int
    cost: float


class Waiter:
    """One request in the queue or on a slot."""

    def __init__(self, work: works.Work, order: int, now_s: float) -> None:
        self.work = work
        self.order = order
        self.queued_s = now_s
        self.cost = works.cost(work)
        # The time on a slot: the mean, and one that few requests exceed.
        self.mean_s = 0.0
        self.service_s = 0.0
        self.granted = trio.Event()
        self.running = False
        self.refusal: Decision | None = None

    @property
    def rank(self) -> tuple[int, int]:
        """Return the place within its customer's line; lowest first."""
        return (-self.work.priority, self.order)


class Pool:
    """The queue, the counters and the learned speed of one model."""

    def __init__(
        self, model: str, weight_of: fairness.WeightOf, now_s: float
    ) -> None:
        self.model = model
        self.counters = fairness.Counters(weight_of)
        self.running_count = 0
        self.slots = 0.0
        self._weight_of = weight_of
        self._fleet_slots = 0
        self.speed = speeds.Speed()
        # Part of the slots in use; falls while requests do not finish.
        self.brake = 1.0
        self._mean_service_s = 0.0
        # Waiters by customer, each line ordered by rank.
        self._lines: dict[str, list[tuple[tuple[int, int], Waiter]]] = {}
        self._line_cost: dict[str, float] = {}
        self._demand: dict[str, fairness.Rate] = {}
        self._promises: dict[str, promise_books.Book] = {}
        self._peer_rows: dict[str, dict[str, messages.ServiceRow]] = {}

    def set_capacity(self, slots: int, cost_per_s: float) -> None:
        """Set the fleet's slots, and its speed until one is learned."""
        self._fleet_slots = slots
        if cost_per_s > 0.0 and slots > 0:
            weight = works.DEFAULT_WEIGHTS.output_token
            self.speed.expect(cost_per_s / slots, weight)

    def waiting_count(self) -> int:
        """Return how many requests wait."""
        return sum(len(line) for line in self._lines.values())

    # Estimates.

    @property
    def _slot_cost_per_s(self) -> float:
        return self.speed.slot_cost_per_s(FIRST_SLOT_COST_PER_S)

    def _estimate(self, waiter: Waiter) -> None:
        """Set the cost and the time on a slot that are to be expected."""
        work = waiter.work
        output = self.speed.output_tokens(work.customer, work.max_tokens)
        weights = works.DEFAULT_WEIGHTS
        waiter.cost = (
            work.prompt_tokens * weights.prompt_token
            + output * weights.output_token
        )
        waiter.mean_s = self.speed.service_s(work.prompt_tokens, output)
        waiter.service_s = waiter.mean_s * self.speed.safe_factor()

    def latest_start_s(self, waiter: Waiter) -> float:
        """Return the time after which the deadline cannot be met."""
        latest_s = waiter.work.deadline_s - waiter.service_s
        return max(latest_s, waiter.queued_s)

    def customer_cost_per_s(self, customer: str) -> float:
        """Return the part of this VM's speed that a customer is sure of."""
        others = sum(
            self._weight_of(name) for name in self._lines if name != customer
        )
        weight = max(self._weight_of(customer), 1e-9)
        slots = max(self.slots * self.brake, 1e-9)
        speed = slots * self._slot_cost_per_s
        return speed * weight / (weight + others)

    def _ahead_cost(self, waiter: Waiter) -> float:
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
        self, waiter: Waiter, now_s: float, returning: bool = False
    ) -> Decision:
        """Queue the waiter, or refuse it; grant slots that are free.

        A returning caller is not held up by promises to others. Marking
        every request as returning wins a customer nothing: promises hold
        up only its own callers.
        """
        work = waiter.work
        self._estimate(waiter)
        self._note_demand(work.customer, waiter.cost, now_s)
        book = self._promises.setdefault(work.customer, promise_books.Book())
        kept = book.redeem(now_s) or returning
        left_s = work.deadline_s - now_s
        patience_s = max(0.0, left_s - waiter.service_s)
        ahead = self._ahead_cost(waiter)
        promised = 0.0
        allowed_s = patience_s
        book.marks = book.marks or returning
        if not kept and book.total_cost(now_s) > 0.0:
            if book.marks:
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
        self, waiter: Waiter, wait_s: float, allowed_s: float, now_s: float
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

    def _too_short(self, waiter: Waiter, now_s: float) -> bool:
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
        certain = self.speed.certain(waiter.work.customer, now_s)
        return certain and waiter.service_s > TOO_SHORT_TIMES * left_s

    def _promise(
        self, waiter: Waiter, patience_s: float, now_s: float
    ) -> float:
        """Return when to come back, and keep the place for then."""
        customer = waiter.work.customer
        book = self._promises.setdefault(customer, promise_books.Book())
        ahead = self._line_cost.get(customer, 0.0) + book.total_cost(now_s)
        wait_s = self._wait_s(customer, ahead + waiter.cost)
        delay_s = max(1.0, wait_s - PROMISE_SLACK * max(0.0, patience_s))
        book.promise(now_s + delay_s, waiter.cost, patience_s)
        return delay_s

    def _decision(
        self,
        waiter: Waiter,
        reason: str,
        ahead_cost: float,
        promised_cost: float,
        wait_s: float,
        left_s: float,
        retry_after_s: float | None,
    ) -> Decision:
        work = waiter.work
        return Decision(
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
            service_s=waiter.service_s,
            left_s=left_s,
            retry_after_s=retry_after_s,
        )

    def _enter(self, waiter: Waiter) -> None:
        customer = waiter.work.customer
        if customer not in self._lines:
            backlogged = self._backlogged()
            if customer not in backlogged:
                self.counters.join(customer, backlogged)
            self._lines[customer] = []
        heapq.heappush(self._lines[customer], (waiter.rank, waiter))
        cost = self._line_cost.get(customer, 0.0) + waiter.cost
        self._line_cost[customer] = cost
        self._grant()

    def _backlogged(self) -> set[str]:
        """Return the customers that wait anywhere, as far as known."""
        found = set(self._lines)
        for rows in self._peer_rows.values():
            found.update(
                customer
                for customer, row in rows.items()
                if row['waiting_cost'] > 0.0
            )
        return found

    def _remove(self, waiter: Waiter) -> None:
        customer = waiter.work.customer
        line = self._lines[customer]
        line.remove((waiter.rank, waiter))
        heapq.heapify(line)
        self._taken(customer, waiter)

    def _taken(self, customer: str, waiter: Waiter) -> None:
        self._line_cost[customer] -= waiter.cost
        if not self._lines[customer]:
            del self._lines[customer]
            del self._line_cost[customer]

    def _grant(self) -> None:
        while self._lines and self._free():
            customer = self.counters.lowest(self._lines)
            _, waiter = heapq.heappop(self._lines[customer])
            self._taken(customer, waiter)
            waiter.running = True
            self.running_count += 1
            self.counters.add(customer, waiter.cost)
            waiter.granted.set()

    def give_up(self, waiter: Waiter, now_s: float) -> Decision:
        """Refuse a waiter whose deadline can no longer be met."""
        left_s = waiter.work.deadline_s - now_s
        patience_s = waiter.work.deadline_s - waiter.queued_s
        retry_after_s = self._promise(waiter, patience_s, now_s)
        ahead = self._ahead_cost(waiter)
        wait_s = self._wait_s(waiter.work.customer, ahead)
        return self._decision(
            waiter, 'waited', ahead, 0.0, wait_s, left_s, retry_after_s
        )

    def leave(
        self,
        waiter: Waiter,
        usage: Usage | None,
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
            self.counters.add(customer, -waiter.cost)
        elif usage is not None:
            self.counters.add(customer, usage.cost - waiter.cost)
            self._learn(waiter, usage, now_s - started_s, now_s)
        elif now_s - started_s > waiter.mean_s:
            # Cut off by its deadline, a failure or its caller, it had
            # already run longer than expected. Learning only from what
            # ends in time, a slow fleet would look fast.
            self._learn_unfinished(waiter, now_s - started_s)
        self._grant()

    def _learn(
        self, waiter: Waiter, usage: Usage, took_s: float, now_s: float
    ) -> None:
        work = waiter.work
        self.brake = min(1.0, self.brake + BRAKE_UP)
        if took_s <= 0.0:
            return
        self.speed.learn(
            usage.fresh_tokens, usage.output_tokens, usage.cost, took_s
        )
        used = usage.output_tokens / max(1, work.max_tokens)
        self.speed.learn_used(work.customer, min(used, 1.0), now_s)
        self._mean_service_s += NEWEST * (took_s - self._mean_service_s)

    def _learn_unfinished(self, waiter: Waiter, took_s: float) -> None:
        work = waiter.work
        self.brake = max(LEAST_BRAKE, self.brake * BRAKE_DOWN)
        output = self.speed.output_tokens(work.customer, work.max_tokens)
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
            rate = fairness.Rate(DEMAND_HALF_LIFE_S, now_s)
            self._demand[customer] = rate
        rate.add(cost, now_s)

    def rows(self, now_s: float) -> list[messages.ServiceRow]:
        """Return what this VM serves and is asked, a row a customer."""
        return [
            {
                'model': self.model,
                'customer': customer,
                'served_cost': self.counters.own.get(customer, 0.0),
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
            self.counters.add_remote(row['customer'], served)
        if row['waiting_cost'] > 0.0:
            backlogged = self._backlogged()
            if row['customer'] not in backlogged:
                self.counters.join(row['customer'], backlogged)
        rows[row['customer']] = row

    def forget(self, vm: str) -> None:
        """Drop a peer's rows; what it served stays counted."""
        self._peer_rows.pop(vm, None)

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
        parts = fairness.split(speed, demands, self._caught_up(speed))
        self.slots = parts[own_vm] / self._slot_cost_per_s
        self._grant()

    def _caught_up(self, speed: float) -> fairness.WeightOf:
        """Return weights that favour customers who wait and are behind.

        Customers on different VMs meet in no queue, so only the split can
        level them; without this, rounding makes them drift apart for ever.
        """
        waiting = self._backlogged()
        if len(waiting) < 2:
            return self._weight_of
        values = {name: self.counters.value(name) for name in waiting}
        mean = sum(values.values()) / len(values)
        total = sum(self._weight_of(name) for name in waiting)
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
