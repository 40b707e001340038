"""Serve a streamed request by forwarding the events of its replicas.

One replica prefills the prompt. The same one decodes, or another one to which
the KV cache is transferred. If the route allows it, a stream that loses its
replica is resumed at another one after the last event that was forwarded.
"""

import functools

import httpx

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.gateway import calls
from gentianstair.gateway import catalog
from gentianstair.gateway import event_order
from gentianstair.gateway import event_stream
from gentianstair.gateway import forward
from gentianstair.gateway import late_attempt
from gentianstair.gateway import plans
from gentianstair.gateway import remote_prefill
from gentianstair.gateway import replicas
from gentianstair.gateway import request_state
from gentianstair.gateway import retry_ends
from gentianstair.gateway import run_record
from gentianstair.gateway import stream_planner
from gentianstair.gateway import stream_version
from gentianstair.generated import events
from gentianstair.platform import denials
from gentianstair.platform import http_codec

# A replica is considered lost when its stream pauses for this many times the
# route's pause objective. Callers give up after eight times.
STALL_PAUSES = 4.0
MIN_STALL_TIMEOUT_S = 1.2
LOWEST_PRIORITY = 9
# Characters of another request's id that a log line holds.
MAX_LOGGED_ID = 64
# Added to a request's priority at a replica, where 0 comes first; lower
# numbers are left for resumed streams.
PRIORITY_OFFSET = 2
# Used when the configuration gives no engine for a streaming service.
DEFAULT_ENGINE = catalog.Engine(64, 100000, 16384, 100000.0, ())


class StreamingResponse:
    """Serve one streamed request, with retries and resumption."""

    def __init__(
        self,
        request: request_state.RequestState,
        engine: catalog.Engine | None,
    ):
        self._request = request
        self._node = request.node
        self._engine = engine or DEFAULT_ENGINE
        self._prompt = request.call.prompt or calls.Prompt('', 0, 0, ())
        self._event_buffer = event_stream.EventBuffer()
        self._order = request.order
        self._version = stream_version.StreamVersion(request)
        self._remote_prefill = remote_prefill.RemotePrefill(
            request, self._prompt, self._engine
        )
        self._planner = stream_planner.StreamPlanner(
            request, self._prompt, self._engine, self._remote_prefill
        )
        # A replica's response that is no stream and goes to the caller as is.
        self.response: forward.ReplicaResponse | None = None

    async def serve(self) -> forward.ReplicaResponse | None:
        """Stream to the caller, or return a response that is no stream.

        Raise RequestError when there is nothing to forward.
        """
        request = self._request
        self._log_resumption()
        if not self._order.may_resume:
            raise errors.RequestError(
                400, 'bad-request', 'the last event id is no number'
            )
        await self._version.resolve()
        try:
            while True:
                plan = await self._planner.make()
                if plan is None:
                    request.record_no_retry(retry_ends.NoRetry.NO_REPLICA)
                    break
                if not request.spend_retry():
                    break
                try:
                    await self._run_plan(plan)
                    return self.response
                except errors.UpstreamError as error:
                    await request.ends.wait_for_check()
                    if not self._order.may_resume:
                        break
                    if not request.may_retry(error):
                        break
                self._event_buffer.discard_partial()
        finally:
            self._remote_prefill.free()
        if (
            request.failure_response is not None
            and not request.exchange.started
        ):
            return request.failure_response
        raise request.final_error()

    def _log_resumption(self) -> None:
        """Log that the caller resumes a stream, and which."""
        call = self._request.call
        if call.last_event_id is None and call.resumed_id is None:
            return
        self._request.log(
            events.STREAM_RESUMED,
            'the caller resumes a stream',
            stream=call.resumed_id and call.resumed_id[:MAX_LOGGED_ID],
            last_event_id=call.last_event_id,
        )

    async def _run_plan(self, plan: plans.Plan) -> None:
        if (
            plan.prefill_replica is not None
            and self._remote_prefill.source is None
        ):
            if self._remote_prefill.may_prefill():
                await self._remote_prefill.prefill(plan, self._priority())
            else:
                plan = await self._planner.without_prefill_replica(plan)
        kv_source = self._remote_prefill.source
        if kv_source is None:
            await self._run_at_replica(plan.decode_replica, None, plan)
            return
        try:
            await self._run_at_replica(
                await self._planner.choose_decode_replica(), kv_source, None
            )
            self._remote_prefill.record_fetched()
        except errors.UpstreamError as error:
            self._remote_prefill.handle_decode_failure(error)
            raise

    def _priority(self) -> int:
        if self._order.event_count:
            return 0
        return min(LOWEST_PRIORITY, PRIORITY_OFFSET + self._request.priority())

    async def _run_at_replica(
        self,
        decode_replica: replicas.Replica,
        kv_source: calls.KvSource | None,
        plan: plans.Plan | None,
    ) -> None:
        """Run the request at a replica and forward its events.

        Without a plan the prompt has been prefilled; kv_source holds its KV
        cache.
        """
        request, node = self._request, self._node
        copy = plan.copy if plan else plans.NO_KV_COPY
        started_s = request.begin_attempt(decode_replica)
        self._order.begin_part()
        attempt = request.make_attempt(
            decode_replica,
            kv_source=kv_source,
            kv_copy_address=copy.address,
            last_event_id=self._resume_event_id(),
            priority=self._priority(),
            accepts_connection=self._version.acceptor(decode_replica),
            question=self._version.question(decode_replica),
        )
        run = run_record.ReplicaRun(
            request,
            self._prompt,
            decode_replica,
            plan,
            self._engine.kv_tokens,
        )
        try:
            async with forward.open_response(
                node, request.call, attempt
            ) as response:
                await self._forward_response(response, run)
        except errors.UpstreamError as error:
            request.record_failure(
                decode_replica,
                error,
                started_s,
                from_handle=kv_source is not None,
                **self._order.log_fields(),
            )
            raise
        finally:
            run.finish()
        request.record_success(decode_replica, run.first_event_s or started_s)

    def _resume_event_id(self) -> str | None:
        return self._order.last_id

    async def _forward_response(
        self, response: httpx.Response, run: run_record.ReplicaRun
    ) -> None:
        """Forward a stream to its end; raise UpstreamError if it fails."""
        verdict = denials.verdict_of(response)
        if response.status_code != 200:
            await self._handle_non_stream(response, run.replica, verdict)
            return
        self._version.ask_producer(run.replica, response)
        forward_events = functools.partial(self._forward_events, response, run)
        if not self._request.route.retryable:
            await forward_events()
            return
        stall_timeout_s = self._stall_timeout_s()
        attempt = late_attempt.Attempt(
            lambda: run.stalled_in_s(stall_timeout_s),
            self._reserve_retry,
            run.record_stall,
        )
        if not await late_attempt.run_unless_replaced(forward_events, attempt):
            raise errors.UpstreamError(
                f'no event for {stall_timeout_s:g} s', verdicts.Verdict.RAN
            )

    def _reserve_retry(self) -> bool:
        """Pay for a retry after the events that the caller has."""
        return self._order.may_resume and self._request.reserve_retry()

    def _stall_timeout_s(self) -> float:
        return max(
            MIN_STALL_TIMEOUT_S, STALL_PAUSES * self._request.route.max_pause_s
        )

    async def _forward_events(
        self, response: httpx.Response, run: run_record.ReplicaRun
    ) -> None:
        request = self._request
        async for data in response.stream:
            complete_events = self._event_buffer.feed(data)
            if complete_events and run.first_event_s is None:
                # What is refused here is not to count as the caller's.
                await self._version.check_producer(
                    run.replica, response, self._stall_timeout_s()
                )
            disorder = self._admit(complete_events, run)
            if complete_events:
                run.waiting_since_s = None
                if run.record_event():
                    await self._start_response(response)
                request.event_times.record_sent()
                request.parts.record_progress(run.since_first_event_s())
                await request.exchange.write(b''.join(complete_events))
            if disorder is not None:
                raise disorder
            run.record_waiting()
        if (
            not self._event_buffer.at_event_boundary()
            or not self._order.part_count
        ):
            raise errors.UpstreamError(
                'the stream ended before an event was complete',
                verdicts.Verdict.RAN,
            )
        # No event is waited for any more.
        run.waiting_since_s = None
        if forward.ends_with_connection(response):
            await forward.check_end(self._node, request.call, run.replica)
        request.record_attempt_end()
        request.parts.record_answer()
        await request.exchange.end()

    def _admit(
        self, complete: list[bytes], run: run_record.ReplicaRun
    ) -> errors.UpstreamError | None:
        """Leave the events that may go to the caller in a list.

        Return the error that ends the part at the first other one.
        """
        for place, event in enumerate(complete):
            flaw = self._order.admit(event)
            if flaw is not None:
                del complete[place:]
                if not self._order.may_resume:
                    self._version.spoil()
                return self._disorder_error(flaw, event, run)
        return None

    def _disorder_error(
        self, flaw: event_order.Flaw, event: bytes, run: run_record.ReplicaRun
    ) -> errors.UpstreamError:
        """Count and log an event that may not follow; return the error."""
        event_order.DISORDERED.labels(flaw.value).inc()
        self._request.log(
            events.EVENT_DISORDERED,
            f'an event may not follow those that the caller has: {flaw.value}',
            flaw=flaw.value,
            after_id=self._order.last_id,
            event_id=event_order.first_id(event),
            replica=run.replica.name,
            started_ms=run.replica.started_ms,
            **self._request.answer_fields(),
        )
        message = f'an event may not follow: {flaw.value}'
        if self._order.resumes:
            return errors.NotResumedError(message, verdicts.Verdict.RAN)
        return errors.UpstreamError(message, verdicts.Verdict.RAN)

    async def _start_response(self, response: httpx.Response) -> None:
        request = self._request
        if not request.exchange.started:
            request.event_times.record_begin()
            await request.exchange.start(
                200, http_codec.response_headers(response)
            )

    async def _handle_non_stream(
        self,
        response: httpx.Response,
        replica: replicas.Replica,
        verdict: verdicts.Verdict,
    ) -> None:
        """Handle a response that is no stream; raise if it is a failure."""
        request = self._request
        replica_response = await forward.read_response(
            response, request.exchange.holding
        )
        if replica_response.may_be_part:
            await forward.check_end(self._node, request.call, replica)
        if not replica_response.is_failure and verdict is verdicts.Verdict.RAN:
            request.record_attempt_end()
            if request.exchange.started:
                raise errors.UpstreamError(
                    f'a resumed stream got status {replica_response.status}',
                    verdict,
                )
            self.response = replica_response
            return
        if verdict is not verdicts.Verdict.NOT_RUN:
            request.failure_response = replica_response
        raise forward.failed_error(replica_response)
