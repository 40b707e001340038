"""Choose the replicas that serve a streamed request, with their permits."""

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.gateway import calls
from gentianstair.gateway import catalog
from gentianstair.gateway import plans
from gentianstair.gateway import prefill_costs
from gentianstair.gateway import remote_prefill
from gentianstair.gateway import replicas
from gentianstair.gateway import request_state
from gentianstair.generated import events

# A request is refused when the expected time to its first event exceeds the
# remaining time by this factor, which allows for errors of the estimate.
REFUSAL_FACTOR = 1.5


class StreamPlanner:
    """Makes the plans of one streamed request."""

    def __init__(
        self,
        request: request_state.RequestState,
        prompt: calls.Prompt,
        engine: catalog.Engine,
        prefill: remote_prefill.RemotePrefill,
    ) -> None:
        self._request = request
        self._node = request.node
        self._prompt = prompt
        self._engine = engine
        self._remote_prefill = prefill

    async def make(self) -> plans.Plan | None:
        """Return a plan with permits for its replicas, None without one.

        Raise RequestError if there is too little time for it.
        """
        request = self._request
        while True:
            plan = self._node.placement.plan_stream(
                self._candidates(),
                self._prompt,
                self._engine,
                len(request.body),
                request.choices.kv_copy_sources(),
                request.objective_left_s(),
            )
            if plan is None:
                if not await request.wait_for_turn():
                    return None
                continue
            if await self._take_prefill_turn(plan):
                continue
            if self._cannot_meet_deadline(plan):
                raise request.no_time_error(plan.queued_s)
            if await self._has_permits(plan):
                self._log_plan(plan)
                return plan

    def _cannot_meet_deadline(self, plan: plans.Plan) -> bool:
        """Return whether a request can't get its first event in time.

        Serving it would only delay others. A request that may have run
        already is never refused here.
        """
        request = self._request
        if request.verdict is not verdicts.Verdict.NOT_RUN:
            return False
        if self._prompt.tokens > self._engine.kv_tokens:
            return True
        return plan.first_event_s > REFUSAL_FACTOR * request.remaining_s()

    def _candidates(self) -> list[replicas.Replica]:
        """Return the replicas to plan with.

        A stream that goes on has its prompt read where it is decoded: from
        another's KV cache a replica may begin with the first event.
        """
        found = self._request.choices.candidates()
        if not self._request.order.has_events:
            return found
        return [r for r in found if r.stage != prefill_costs.PREFILL]

    async def _take_prefill_turn(self, plan: plans.Plan) -> bool:
        """Get a spare prefill permit for a plan that is late without.

        Return whether there is one, so that a better plan may be made.
        """
        request = self._request
        if plan.prefill_replica is not None or self._remote_prefill.source:
            return False
        if self._request.order.has_events:
            return False
        if plan.first_event_s <= request.objective_left_s():
            return False
        return await request.take_prefill_turn()

    async def _has_permits(self, plan: plans.Plan) -> bool:
        """Acquire the permits of a plan; return false if one is denied.

        A decode replica is chosen again after a prefill elsewhere; its permit
        is acquired before only if the prefill might be in vain otherwise.
        """
        request = self._request
        prefill = plan.prefill_replica
        if prefill is None or self._remote_prefill.source:
            return await request.permits.acquire(plan.decode_replica)
        if not request.has_unlimited_candidate():
            if not await request.permits.acquire(plan.decode_replica):
                return False
        return await request.permits.acquire(prefill)

    def _log_plan(self, plan: plans.Plan) -> None:
        request = self._request
        request.log(
            events.ROUTE,
            'chose replicas',
            replica=plan.decode_replica.name,
            version=plan.decode_replica.version,
            started_ms=plan.decode_replica.started_ms,
            events=self._request.order.event_count,
            backed_off=sorted(request.choices.backed_off),
            reader=plan.prefill_replica.name if plan.prefill_replica else None,
            unread_tokens=plan.uncached_tokens,
            copied_tokens=plan.copy.tokens,
            prompt_tokens=self._prompt.tokens,
            expected_s=round(plan.first_event_s, 3),
            left_s=round(request.remaining_s(), 3),
        )

    async def without_prefill_replica(self, plan: plans.Plan) -> plans.Plan:
        """Return a plan in which the decode replica prefills the prompt too.

        It needs one attempt instead of two. Raise UpstreamError if there is
        no permit for it.
        """
        if not await self._request.permits.acquire(plan.decode_replica):
            raise errors.UpstreamError(
                'no permit of the decode replica', verdicts.Verdict.NOT_RUN
            )
        direct_plan = self._node.placement.plan_stream(
            [plan.decode_replica],
            self._prompt,
            self._engine,
            len(self._request.body),
        )
        assert direct_plan is not None
        return direct_plan

    async def choose_decode_replica(self) -> replicas.Replica:
        """Choose the decode replica once the prompt has been prefilled.

        Prefill may take seconds; by now the planned replica may be draining
        or others may have less load. A permit of a limited replica is used,
        as it is one of few.
        """
        request = self._request
        while True:
            replica = request.permits.reserved(request.choices.candidates())
            if replica is not None:
                return replica
            replica = self._node.placement.choose_decode_replica(
                request.choices.candidates(), len(request.body)
            )
            if replica is None and not await request.wait_for_turn():
                raise errors.UpstreamError(
                    'no decode replica is available', verdicts.Verdict.NOT_RUN
                )
            if replica is not None and await request.permits.acquire(replica):
                return replica
