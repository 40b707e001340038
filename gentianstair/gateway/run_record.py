"""Record prefills and runs in the log, cost model and prefix index."""

from gentianstair.gateway import calls
from gentianstair.gateway import plans
from gentianstair.gateway import replicas
from gentianstair.gateway import request_state
from gentianstair.generated import events


def record_prefill(
    request: request_state.RequestState,
    prompt: calls.Prompt,
    replica: replicas.Replica,
    plan: plans.Plan,
    took_s: float,
) -> None:
    """Record a prefill that ended took_s after its attempt began."""
    node = request.node
    request.log(
        events.READ,
        'prefill completed',
        replica=replica.name,
        version=replica.version,
        started_ms=replica.started_ms,
        stage=replica.stage,
        unread_tokens=plan.uncached_tokens,
        prompt_tokens=prompt.tokens,
        queued_s=round(plan.queued_s, 3),
        work_s=round(plan.work_s, 3),
        copied_tokens=plan.copy.tokens,
        expected_s=round(plan.prefill_end_s, 3),
        took_s=round(took_s, 3),
    )
    node.prefix_index.confirm(replica.name, prompt)
    node.prefill_costs.record(
        replica.service,
        replica.stage,
        plan.uncached_tokens,
        prompt.tokens,
        took_s - plan.copy.duration_s - plan.queued_s,
    )


class ReplicaRun:
    """One attempt at a decode replica, from its start to its end."""

    def __init__(
        self,
        request: request_state.RequestState,
        prompt: calls.Prompt,
        decode_replica: replicas.Replica,
        plan: plans.Plan | None,
        kv_tokens: int,
    ) -> None:
        self._request = request
        self._prompt = prompt
        self.replica = decode_replica
        # None if another replica has prefilled the prompt.
        self._plan = plan
        node = request.node
        self._started_s = node.clock()
        work_s = plan.work_s if plan else 0.0
        miss_penalty_s = plan.miss_penalty_s if plan else 0.0
        prefill_end_s = self._started_s + (plan.prefill_end_s if plan else 0.0)
        self._load = node.load_tracker.begin(
            decode_replica.name, work_s, prefill_end_s, miss_penalty_s
        )
        self.first_event_s: float | None = None
        # Since when the next event is waited for; None before the first one
        # and while its caller takes one.
        self.waiting_since_s: float | None = None
        # The parts that the replica holds only if this run gets to its output.
        self._expected = (
            node.prefix_index.expect(decode_replica.name, prompt, kv_tokens)
            if prompt.parts
            else []
        )

    def record_event(self) -> bool:
        """Record an event; return whether it is the run's first."""
        if self.first_event_s is not None:
            return False
        node = self._request.node
        self.first_event_s = node.clock()
        node.usage_counter.count_start(self._request.customer_name)
        self._load.prefill_done()
        took_s = self.first_event_s - self._started_s
        if self._plan is None:
            self._record_kv_transfer(took_s)
        else:
            record_prefill(
                self._request,
                self._prompt,
                self.replica,
                self._plan,
                took_s,
            )
        return True

    def since_first_event_s(self) -> float:
        """Return how long ago the first event came, 0 without one."""
        if self.first_event_s is None:
            return 0.0
        return self._request.node.clock() - self.first_event_s

    def record_waiting(self) -> None:
        """Record that more data of a stream that has begun is waited for."""
        if self.first_event_s is not None:
            self.waiting_since_s = self._request.node.clock()

    def stalled_in_s(self, stall_timeout_s: float) -> float:
        """Return the time until the stream counts as stalled."""
        if self.waiting_since_s is None:
            return stall_timeout_s
        now_s = self._request.node.clock()
        return self.waiting_since_s + stall_timeout_s - now_s

    def record_stall(self) -> None:
        """Report a stalled stream, which goes on, to the ejector."""
        self._request.record_late(self.replica, self._started_s)

    def _record_kv_transfer(self, took_s: float) -> None:
        self._request.log(
            events.MOVED,
            'first event after a KV cache transfer',
            replica=self.replica.name,
            version=self.replica.version,
            started_ms=self.replica.started_ms,
            took_s=round(took_s, 3),
        )
        self._request.node.prefix_index.confirm(
            self.replica.name, self._prompt
        )

    def finish(self) -> None:
        """Remove the run from the load of its replica.

        Without any output its prompt was not computed, or not whole.
        """
        if self.first_event_s is None:
            self._request.node.prefix_index.retract(
                self.replica.name, self._expected
            )
        self._request.node.load_tracker.end(self._load)
