"""Take how reads of prompts went: for the log, the costs and the caches."""

from gentianstair.gateway import calls
from gentianstair.gateway import placement
from gentianstair.gateway import replicas
from gentianstair.gateway import request_state
from gentianstair.generated import events


def record_prefill(
    request: request_state.RequestState,
    prompt: calls.Prompt,
    replica: replicas.Replica,
    plan: placement.Plan,
    took_s: float,
) -> None:
    """Take a prompt that was read, took_s after it was sent."""
    node = request.node
    request.log(
        events.READ,
        'a prompt was read',
        replica=replica.name,
        stage=replica.stage,
        unread_tokens=plan.uncached_tokens,
        prompt_tokens=prompt.tokens,
        queued_s=round(plan.queued_s, 3),
        work_s=round(plan.work_s, 3),
        copied_tokens=plan.copy.tokens,
        expected_s=round(plan.prefill_end_s, 3),
        took_s=round(took_s, 3),
    )
    node.cache.confirm(replica.name, prompt)
    node.read_costs.record(
        replica.service,
        replica.stage,
        plan.uncached_tokens,
        prompt.tokens,
        took_s - plan.copy.duration_s - plan.queued_s,
    )


class ReplicaRun:
    """One run at a maker, from its sending to the first event and its end."""

    def __init__(
        self,
        request: request_state.RequestState,
        prompt: calls.Prompt,
        maker: replicas.Replica,
        plan: placement.Plan | None,
    ) -> None:
        self._request = request
        self._prompt = prompt
        self._maker = maker
        # None if the prompt has been read elsewhere.
        self._plan = plan
        node = request.node
        self._started_s = node.clock()
        work_s = plan.work_s if plan else 0.0
        more_s = plan.miss_penalty_s if plan else 0.0
        ends_s = self._started_s + (plan.prefill_end_s if plan else 0.0)
        self._load = node.loads.begin(maker.name, work_s, ends_s, more_s)
        self.first_event_s: float | None = None

    def record_event(self) -> bool:
        """Note an event; say whether it is the run's first."""
        if self.first_event_s is not None:
            return False
        node = self._request.node
        self.first_event_s = node.clock()
        node.usage.count_start(self._request.customer_name)
        self._load.prefill_done()
        took_s = self.first_event_s - self._started_s
        if self._plan is None:
            self._record_kv_move(took_s)
        else:
            record_prefill(
                self._request, self._prompt, self._maker, self._plan, took_s
            )
        return True

    def _record_kv_move(self, took_s: float) -> None:
        self._request.log(
            events.MOVED,
            'the first event came',
            replica=self._maker.name,
            took_s=round(took_s, 3),
        )
        self._request.node.cache.confirm(self._maker.name, self._prompt)

    def finish(self) -> None:
        """Count the run as over."""
        self._request.node.loads.end(self._load)
