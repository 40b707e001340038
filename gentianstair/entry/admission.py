"""Admit requests in fair order; refuse early those that would be late."""

import collections.abc
import contextlib
import itertools
import uuid

import loguru
import trio

from gentianstair import errors
from gentianstair.entry import admission_types
from gentianstair.entry import fairness
from gentianstair.entry import model_queue
from gentianstair.entry import work as works
from gentianstair.generated import messages
from gentianstair.util import clock as clocks

# A summary is sent at least this often, even without rows. A peer that was
# silent for PEER_TIMEOUT_S may be cut off, so an even share is left to it.
HEARTBEAT_S = 2.0
PEER_TIMEOUT_S = 3.0 * HEARTBEAT_S
# Unchanged rows are sent again this often, in case a summary was lost.
FULL_SUMMARY_INTERVAL_S = 10.0
MAX_RETRY_AFTER_S = 3600.0

RecordDecision = collections.abc.Callable[[admission_types.Decision], None]


def _log(decision: admission_types.Decision) -> None:
    loguru.logger.bind(**decision._asdict()).debug('admission')


class Ticket:
    """The right to run a request, with the usage charged for it."""

    def __init__(
        self,
        waiter: admission_types.Waiter,
        decision: admission_types.Decision,
    ) -> None:
        self.work = waiter.work
        self.decision = decision
        self.usage: admission_types.Usage | None = None

    def charge(
        self, prompt_tokens: int, output_tokens: int, cached_tokens: int = 0
    ) -> None:
        """Charge the tokens that the upstream reported.

        Cached prompt tokens cost nothing. The last call counts; without one
        the expected cost is charged.
        """
        weights = works.DEFAULT_WEIGHTS
        uncached = max(0, prompt_tokens - cached_tokens)
        cost = (
            uncached * weights.prompt_token
            + output_tokens * weights.output_token
        )
        self.usage = admission_types.Usage(uncached, output_tokens, cost)


class Queue:
    """The requests of one entry process that wait for a slot, by model.

    The VMs share each model's capacity by the demand that they report to
    each other in summaries.
    """

    def __init__(
        self,
        vm: str,
        weight_of: fairness.WeightOf,
        clock: clocks.Clock,
        record: RecordDecision,
    ) -> None:
        self._vm = vm
        self._weight_of = weight_of
        self._clock = clock
        self._record = record
        self._pools: dict[str, model_queue.ModelQueue] = {}
        # Numbers waiters and sent rows.
        self._sequence = itertools.count()
        self._incarnation = uuid.uuid4().hex[:12]
        self._live_vms: set[str] = {vm}
        self._heard_at_s: dict[str, float] = {}
        self._peer_incarnation: dict[str, str] = {}
        # Last sent rows and the order of sending, by model and customer.
        self._sent_rows: dict[tuple[str, str], messages.ServiceRow] = {}
        self._row_send_order: dict[tuple[str, str], int] = {}
        self._full_summary_at_s = -FULL_SUMMARY_INTERVAL_S
        self._summary_sent_at_s = -HEARTBEAT_S

    def set_capacity(
        self, model: str, slots: int, cost_per_s: float = 0.0
    ) -> None:
        """Set the capacity of the whole fleet for a model.

        slots is the number of requests that can run at once, cost_per_s the
        throughput in cost units to assume until it is measured here. This VM
        uses the share that its part of the fleet's demand gives it.
        """
        pool = self._pool(model)
        pool.set_capacity(slots, cost_per_s)
        self._update_shares(pool)

    def set_vms(self, live: collections.abc.Iterable[str]) -> None:
        """Set the live entry VMs; this one is always included."""
        self._live_vms = {self._vm, *live}
        for pool in self._pools.values():
            self._update_shares(pool)

    def _pool(self, model: str) -> model_queue.ModelQueue:
        if model not in self._pools:
            now_s = self._clock()
            self._pools[model] = model_queue.ModelQueue(
                model, self._weight_of, now_s
            )
        return self._pools[model]

    @contextlib.asynccontextmanager
    async def admit(
        self, work: works.Work, returning: bool = False
    ) -> collections.abc.AsyncIterator[Ticket]:
        """Wait for a slot in fair order and hold it for the block.

        Raise RequestError (429 or 503, NOT_RUN) as soon as the deadline
        cannot be met; the request is then no longer queued. returning says
        that the caller marked the request as a retry after a refusal, which
        may have come from another VM.
        """
        pool = self._pool(work.model)
        now_s = self._clock()
        waiter = admission_types.Waiter(work, next(self._sequence), now_s)
        decision = pool.offer(waiter, now_s, returning)
        self._record(decision)
        if not decision.admitted:
            raise _refusal(decision)
        ticket = Ticket(waiter, decision)
        started_s = None
        try:
            left_s = pool.latest_start_s(waiter) - self._clock()
            with trio.move_on_after(max(0.0, left_s)):
                await waiter.granted.wait()
            if not waiter.running:
                decision = waiter.refusal or pool.refuse_late_waiter(
                    waiter, self._clock()
                )
                self._record(decision)
                raise _refusal(decision)
            started_s = self._clock()
            yield ticket
        finally:
            # Cancellation by a caller that hung up also frees the slot or
            # the place in the queue.
            pool.release(waiter, ticket.usage, started_s, self._clock())

    def waiting_count(self, model: str) -> int:
        """Return how many requests of a model are queued here."""
        return self._pool(model).waiting_count()

    def running_count(self, model: str) -> int:
        """Return how many requests of a model hold a slot here."""
        return self._pool(model).running_count

    def counters(self, model: str) -> fairness.Counters:
        """Return the service counters of a model's customers."""
        return self._pool(model).counters

    def summary(
        self, max_rows: int | None = None
    ) -> messages.FairnessSummary | None:
        """Return the rows that changed since the last call.

        Without any, return None until HEARTBEAT_S has passed. Of more rows
        than max_rows, those sent longest ago are returned and the others by
        later calls.
        """
        now_s = self._clock()
        if now_s - self._full_summary_at_s >= FULL_SUMMARY_INTERVAL_S:
            self._full_summary_at_s = now_s
            self._sent_rows.clear()
        rows = []
        for pool in self._pools.values():
            for row in pool.summary_rows(now_s):
                key = (row['model'], row['customer'])
                if fairness.has_changed(row, self._sent_rows.get(key)):
                    rows.append(row)
            self._update_shares(pool)
        if max_rows is not None and len(rows) > max_rows:
            rows.sort(key=self._send_order_of)
            del rows[max_rows:]
        for row in rows:
            key = (row['model'], row['customer'])
            self._sent_rows[key] = row
            self._row_send_order[key] = next(self._sequence)
        if not rows and now_s - self._summary_sent_at_s < HEARTBEAT_S:
            return None
        self._summary_sent_at_s = now_s
        return {
            'version': fairness.SUMMARY_VERSION,
            'vm': self._vm,
            'incarnation': self._incarnation,
            'rows': rows,
        }

    def _send_order_of(self, row: messages.ServiceRow) -> int:
        return self._row_send_order.get((row['model'], row['customer']), -1)

    def merge(self, vm: str, summary: messages.FairnessSummary) -> None:
        """Take a peer's summary; a repeated or delayed one is harmless."""
        if vm == self._vm or summary['version'] != fairness.SUMMARY_VERSION:
            return
        if self._peer_incarnation.get(vm) != summary['incarnation']:
            # A restarted peer counts from zero. Compared with the old
            # totals, that would lower the counters of its customers.
            self._drop_peer(vm)
            self._peer_incarnation[vm] = summary['incarnation']
        self._heard_at_s[vm] = self._clock()
        for row in summary['rows']:
            self._pool(row['model']).merge_row(vm, row)

    def _drop_peer(self, vm: str) -> None:
        self._peer_incarnation.pop(vm, None)
        for pool in self._pools.values():
            pool.remove_peer(vm)

    def _update_shares(self, pool: model_queue.ModelQueue) -> None:
        now_s = self._clock()
        for vm, heard_at_s in list(self._heard_at_s.items()):
            if vm not in self._live_vms or now_s - heard_at_s > PEER_TIMEOUT_S:
                del self._heard_at_s[vm]
                self._drop_peer(vm)
        heard = {self._vm, *self._heard_at_s} & self._live_vms
        pool.update_share(self._vm, heard, len(self._live_vms), now_s)
        pool.refuse_late_waiters(now_s)


def _refusal(decision: admission_types.Decision) -> errors.RequestError:
    retry_after_s = decision.retry_after_s
    if retry_after_s is not None:
        retry_after_s = min(retry_after_s, MAX_RETRY_AFTER_S)
    return errors.RequestError(
        429 if decision.reason == 'over-share' else 503,
        decision.reason,
        f'expected to start after {decision.wait_s:.1f} s and to take '
        f'{decision.service_s:.1f} s, of {decision.left_s:.1f} s left',
        retry_after_s=retry_after_s,
    )


def make_queue(
    vm: str = 'local',
    weight_of: fairness.WeightOf = lambda customer: 1.0,
    clock: clocks.Clock = clocks.trio_time_s,
    record: RecordDecision = _log,
) -> Queue:
    """Return the queue of one entry process.

    weight_of gives a customer's weight, for example from the view; record
    is called with each decision.
    """
    return Queue(vm, weight_of, clock, record)


__all__ = ('Queue', 'RecordDecision', 'Ticket', 'make_queue')
