"""Serve a streamed request: its events as they come, over several replicas.

The prompt is read by one replica and the output made by the same or by
another one, to which the KV cache is moved. Where a route's streams may be
resumed, one whose replica is lost goes on at another after the last event
that was passed on.
"""

import math

import httpx
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.gateway import calls
from gentianstair.gateway import catalog
from gentianstair.gateway import event_stream
from gentianstair.gateway import forward
from gentianstair.gateway import placement
from gentianstair.gateway import remote_prefill
from gentianstair.gateway import replicas
from gentianstair.gateway import request_state
from gentianstair.gateway import run_record
from gentianstair.generated import events
from gentianstair.platform import wire

# A replica whose stream pauses for so many times the longest pause that is
# on time is taken for lost. Callers give up after eight of those.
SILENT_PAUSES = 4.0
LEAST_SILENCE_S = 1.2
# A plan may be wrong by half; beyond that there is no hope.
HOPELESS_TIMES = 1.5
LOWEST_PRIORITY = 9
# Replicas rank requests from 0; requests with a rank of their own begin here
# and leave room above for streams that go on after a loss.
FIRST_ATTEMPT_PRIORITY = 2
# The engines' defaults when a service of streams says nothing of them.
ENGINE = catalog.Engine(64, 100000, 16384, 100000.0, 5.0, 3.0, ())


class StreamingResponse:
    """One streamed answer."""

    def __init__(
        self,
        request: request_state.RequestState,
        engine: catalog.Engine | None,
    ):
        self._request = request
        self._node = request.node
        self._engine = engine or ENGINE
        self._prompt = request.call.prompt or calls.Prompt('', 0, 0, ())
        self._events = event_stream.EventBuffer()
        self._read = remote_prefill.RemotePrefill(
            request, self._prompt, self._engine
        )
        # Passed through when a replica itself refuses or fails.
        self.answer: forward.ReplicaResponse | None = None

    async def serve(self) -> forward.ReplicaResponse | None:
        """Stream to the caller; return an answer that is no stream.

        Raise RequestError when there is nothing to pass on.
        """
        request = self._request
        try:
            while True:
                plan = self._plan()
                if plan is None:
                    break
                if self._is_hopeless(plan):
                    raise request.no_time_error(plan.queued_s)
                if not request.spend_retry():
                    break
                try:
                    await self._run(plan)
                    return self.answer
                except errors.UpstreamError as error:
                    if not request.may_retry(error.verdict):
                        break
                self._events.discard_partial()
        finally:
            self._read.free()
        if (
            request.failure_response is not None
            and not request.exchange.started
        ):
            return request.failure_response
        raise request.final_error()

    def _is_hopeless(self, plan: placement.Plan) -> bool:
        """Return whether a request is sure not to be served in time.

        Sent all the same it would only keep others waiting. What was sent
        before, or is half answered, goes on for as long as it may.
        """
        request = self._request
        if request.verdict is not verdicts.Verdict.NOT_RUN:
            return False
        if self._prompt.tokens > self._engine.kv_tokens:
            return True
        return plan.first_event_s > HOPELESS_TIMES * request.remaining_s()

    def _plan(self) -> placement.Plan | None:
        request = self._request
        plan = self._node.placement.plan_stream(
            request.candidates(),
            self._prompt,
            self._engine,
            len(request.body),
            request.kv_copy_sources(),
        )
        if plan is not None:
            request.log(
                events.ROUTE,
                'chose replicas',
                replica=plan.decode_replica.name,
                reader=plan.prefill_replica.name
                if plan.prefill_replica
                else None,
                unread_tokens=plan.uncached_tokens,
                copied_tokens=plan.copy.tokens,
                prompt_tokens=self._prompt.tokens,
                expected_s=round(plan.first_event_s, 3),
                left_s=round(request.remaining_s(), 3),
            )
        return plan

    async def _run(self, plan: placement.Plan) -> None:
        if plan.prefill_replica is not None and self._read.source is None:
            if self._read.may_prefill():
                await self._read.prefill(plan, self._priority())
            else:
                plan = self._without_reader(plan)
        source = self._read.source
        if source is None:
            await self._make(plan.decode_replica, None, plan)
            return
        try:
            await self._make(self._maker_now(), source, None)
            self._read.taken()
        except errors.UpstreamError as error:
            self._read.not_taken(error)
            raise

    def _without_reader(self, plan: placement.Plan) -> placement.Plan:
        """Have the maker read the prompt: one arrival in place of two."""
        direct = self._node.placement.plan_stream(
            [plan.decode_replica],
            self._prompt,
            self._engine,
            len(self._request.body),
        )
        assert direct is not None
        return direct

    def _maker_now(self) -> replicas.Replica:
        """Return the maker for a prompt that has just been read.

        A read may take seconds. The maker that was in mind may be leaving
        by now and must get no more work, and others may have less to do.
        """
        request = self._request
        maker = self._node.placement.choose_decode_replica(
            request.candidates(), len(request.body)
        )
        if maker is None:
            raise errors.UpstreamError(
                'nobody makes output now', verdicts.Verdict.NOT_RUN
            )
        return maker

    def _priority(self) -> int:
        if self._events.complete_events:
            return 0
        return min(
            LOWEST_PRIORITY, FIRST_ATTEMPT_PRIORITY + self._request.priority()
        )

    async def _make(
        self,
        maker: replicas.Replica,
        source: calls.KvSource | None,
        plan: placement.Plan | None,
    ) -> None:
        """Have the output made and pass it on.

        Without a plan there is nothing to read: the source holds it.
        """
        request, node = self._request, self._node
        copy = plan.copy if plan else placement.NO_KV_COPY
        started_s = request.begin_attempt(maker)
        if self._prompt.parts:
            node.cache.expect(maker.name, self._prompt, self._engine.kv_tokens)
        sending = request.make_attempt(
            maker,
            kv_source=source,
            kv_copy_address=copy.address,
            last_event_id=self._resume_event_id(),
            priority=self._priority(),
        )
        run = run_record.ReplicaRun(request, self._prompt, maker, plan)
        try:
            async with forward.open_response(
                node, request.call, sending
            ) as found:
                await self._pass_on(found, run)
        except errors.UpstreamError as error:
            request.record_failure(
                maker, error, started_s, events=self._events.complete_events
            )
            raise
        finally:
            run.finish()
        request.record_success(maker, run.first_event_s or started_s)

    def _resume_event_id(self) -> str | None:
        return self._events.last_id or self._request.call.last_event_id

    async def _pass_on(
        self, found: httpx.Response, run: run_record.ReplicaRun
    ) -> None:
        request = self._request
        verdict = wire.verdict_of(found)
        if found.status_code != 200:
            await self._refused(found, verdict)
            return
        silence_s = max(
            LEAST_SILENCE_S, SILENT_PAUSES * request.route.max_pause_s
        )
        stream = aiter(found.stream)
        # The first event may have to wait for its turn.
        limit_s = math.inf
        while True:
            data = None
            with trio.move_on_after(limit_s):
                data = await anext(stream, b'')
            if data is None:
                raise errors.UpstreamError(
                    f'silent for {silence_s:g} s', verdicts.Verdict.RAN
                )
            if not data:
                break
            whole = self._events.feed(data)
            if not whole:
                continue
            if run.record_event():
                limit_s = silence_s
                await self._start(found)
            request.record_event_sent()
            await request.exchange.write(whole)
        if (
            not self._events.at_event_boundary()
            or not self._events.complete_events
        ):
            raise errors.UpstreamError(
                'the stream ends in an event', verdicts.Verdict.RAN
            )
        request.record_verdict(verdicts.Verdict.RAN)
        await request.exchange.end()

    async def _start(self, found: httpx.Response) -> None:
        request = self._request
        if not request.exchange.started:
            request.first_event_s = request.node.clock()
            await request.exchange.start(200, wire.answer_headers(found))

    async def _refused(
        self, found: httpx.Response, verdict: verdicts.Verdict
    ) -> None:
        """Take an answer that is no stream."""
        answer = await forward.read_response(found)
        request = self._request
        if answer.status < 500 and verdict is verdicts.Verdict.RAN:
            request.record_verdict(verdict)
            if request.exchange.started:
                raise errors.UpstreamError(
                    f'a resumption was answered {answer.status}', verdict
                )
            self.answer = answer
            return
        if verdict is verdicts.Verdict.NOT_RUN:
            raise errors.TurnedAwayError(
                f'it answered {answer.status}', answer.status
            )
        request.failure_response = answer
        raise errors.UpstreamError(f'it answered {answer.status}', verdict)
