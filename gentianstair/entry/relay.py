"""Relay completions between callers and engines."""

import collections.abc
import contextlib
import functools
import json

import httpx
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import exchange as exchanges
from gentianstair.entry import callers
from gentianstair.entry import completions
from gentianstair.entry import node as nodes
from gentianstair.entry import request as requests
from gentianstair.entry import streams
from gentianstair.entry import tries
from gentianstair.upstreams import transport

NOT_STARTED_HEADER = 'x-not-started'
EVENT_STREAM_TYPE = b'text/event-stream'
JSON_TYPE = 'application/json'
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
BILLING_STEP_TOKENS = 64
BILLING_MARGIN_TOKENS = 4


def engine_request(
    request: requests.Request,
    tried: tries.Try,
    path: str,
    body: bytes,
) -> httpx.Request:
    """Return the request for an engine; no header of the caller is in it."""
    headers = [
        (b'content-type', b'application/json'),
        (b'x-request-id', request.request_id.encode()),
    ]
    url = tried.upstream['url'] + path
    return httpx.Request('POST', url, headers=headers, content=body)


def check_status(response: httpx.Response) -> None:
    """Raise UpstreamError for an answer that is no answer.

    An engine that says it did not start is believed, so such a try counts
    as not run; any other failure may have run.
    """
    status = response.status_code
    if status < 500 and status != 429:
        return
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    if response.headers.get(NOT_STARTED_HEADER) == '1':
        verdict = verdicts.Verdict.NOT_RUN
    raise errors.UpstreamError(f'the upstream answered {status}', verdict)


class StallTimeout:
    """End a try whose upstream has fallen silent.

    Moving a deadline at each token costs more than it is worth, so it moves
    in steps: a silence ends after limit_s at the least and an eighth more at
    the most. While the caller is written to, the wait is not the
    upstream's, and the server bounds it.
    """

    def __init__(self, scope: trio.CancelScope, limit_s: float) -> None:
        self._scope = scope
        self._limit_s = limit_s
        self._step_s = limit_s / 8
        self._next_s = 0.0
        self.waiting_for_caller = False
        self.record_progress()

    def record_progress(self) -> None:
        """Note that the upstream sent something."""
        self.waiting_for_caller = False
        now_s = trio.current_time()
        if now_s >= self._next_s:
            self._next_s = now_s + self._step_s
            self._scope.deadline = now_s + self._limit_s + self._step_s


@contextlib.asynccontextmanager
async def open_response(
    node: nodes.Node, outgoing: httpx.Request, stall_s: float
) -> collections.abc.AsyncIterator[tuple[httpx.Response, StallTimeout]]:
    """Yield the response at its headers, and the guard of its body."""
    response = None
    with trio.CancelScope() as scope:
        guard = StallTimeout(scope, stall_s)
        try:
            response = await node.transport.handle_async_request(outgoing)
            yield response, guard
        finally:
            if response is not None:
                with trio.CancelScope(
                    shield=True, deadline=_close_deadline_s()
                ):
                    await response.stream.aclose()
    if not scope.cancelled_caught:
        return
    if guard.waiting_for_caller:
        raise exchanges.CallerDisconnectedError('the caller stopped reading')
    raise errors.UpstreamError(
        f'no data for {stall_s:g} s', verdicts.Verdict.MAY_HAVE_RUN
    )


def _close_deadline_s() -> float:
    return trio.current_time() + 1.0


async def read_all(response: httpx.Response) -> bytes:
    """Return a whole body; raise UpstreamError for one that is too long."""
    return await transport.read_all(response, MAX_RESPONSE_BYTES)


def record_usage(
    node: nodes.Node,
    request: requests.Request,
    tried: tries.Try,
    usage: streams.Usage,
) -> None:
    """Count tokens for the request's customer and the upstream's kind."""
    if usage == streams.Usage():
        return
    node.usage.count(
        request.caller.customer,
        tried.upstream['capacity_class'],
        requests=1 if usage.prompt_tokens else 0,
        prompt_tokens=usage.prompt_tokens,
        output_tokens=usage.output_tokens,
    )


class StreamingRelay:
    """A streamed answer over as many engines as it takes."""

    def __init__(
        self,
        node: nodes.Node,
        exchange: exchanges.Exchange,
        request: requests.Request,
        completion: completions.Completion,
        model: callers.Model,
    ) -> None:
        self._node = node
        self._exchange = exchange
        self._request = request
        self._completion = completion
        self._model = model
        self._billed_tokens = 0
        self.response = streams.StreamedResponse(completion.wants_usage)

    async def attempt(self, tried: tries.Try) -> streams.Usage:
        """Stream from one engine, going on after what was delivered."""
        node = self._node
        if self.response.has_finish_reason:
            # The engine was lost after the last word, before its end.
            self.response.end_received = True
            return self.response.total_usage()
        body = completions.engine_body(
            self._completion, self._model, self.response.resume_text()
        )
        outgoing = engine_request(
            self._request, tried, self._completion.path, body
        )
        stall_s = node.settings.upstream_stall_s
        try:
            opened = open_response(node, outgoing, stall_s)
            async with opened as (found, guard):
                check_status(found)
                if found.status_code != 200:
                    await self._forward_refusal(found)
                    return streams.Usage()
                await self._start_response()
                self._billed_tokens = 0
                bill_part = functools.partial(self._bill_delivered, tried)
                with node.usage.track_stream(bill_part):
                    await self._forward_stream(found, guard, tried, bill_part)
            self.response.final_events()
        finally:
            # Each run is billed by itself, also one that was cut, since
            # the runs of one answer may be on upstreams of other kinds.
            used = self.response.attempt_usage(
                self._request.work.prompt_tokens
            )
            left = max(0, used.output_tokens - self._billed_tokens)
            record_usage(
                node, self._request, tried, used._replace(output_tokens=left)
            )
        return self.response.total_usage()

    async def _forward_refusal(self, found: httpx.Response) -> None:
        """Hand on an engine's own refusal, such as a bad field."""
        body = await read_all(found)
        if self._exchange.started:
            raise errors.UpstreamError(
                f'the upstream answered {found.status_code} to a resumption',
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        await self._exchange.respond(
            found.status_code,
            found.headers.get('content-type', JSON_TYPE),
            body,
            response_headers(self._request),
        )

    async def _start_response(self) -> None:
        if self._exchange.started:
            return
        headers = [
            (b'content-type', EVENT_STREAM_TYPE),
            (b'cache-control', b'no-cache'),
            *response_headers(self._request),
        ]
        await self._exchange.start(200, headers)

    async def _forward_stream(
        self,
        found: httpx.Response,
        guard: StallTimeout,
        tried: tries.Try,
        bill_part: collections.abc.Callable[[], None],
    ) -> None:
        answer = self.response
        write = self._exchange.write
        bill_at = answer.delivered_tokens + BILLING_STEP_TOKENS
        first = True
        async for data in found.stream:
            out = answer.feed(data)
            if out:
                if first:
                    first = False
                    tried.first_token()
                guard.waiting_for_caller = True
                await write(out)
            guard.record_progress()
            if answer.delivered_tokens >= bill_at:
                bill_at += BILLING_STEP_TOKENS
                bill_part()

    def _bill_delivered(self, tried: tries.Try) -> None:
        """Count what was delivered of an answer before its end.

        What is not counted is lost if this VM is killed, and a stream may
        run for minutes. It is a little less than was delivered, since an
        engine may send an event without a token.
        """
        made = self.response.attempt_tokens
        steps = -(-made // BILLING_STEP_TOKENS)
        tokens = made - BILLING_MARGIN_TOKENS * steps - self._billed_tokens
        if tokens <= 0:
            return
        self._billed_tokens += tokens
        used = streams.Usage(output_tokens=tokens)
        record_usage(self._node, self._request, tried, used)

    async def run(self, attempt: tries.Attempt) -> streams.Usage:
        """Stream the whole answer; raise RequestError if it can't be had.

        attempt is the method above, or one that goes around it.
        """
        usage = await tries.run(self._node, self._request, attempt)
        if not self._exchange.ended:
            await self._exchange.end(self.response.final_events())
        return usage


class BufferedRelay:
    """An answer that is sent at once when it is complete."""

    def __init__(
        self,
        node: nodes.Node,
        request: requests.Request,
        completion: completions.Completion,
        model: callers.Model,
    ) -> None:
        self._node = node
        self._request = request
        self._completion = completion
        self._model = model
        self.status = 0
        self.content_type = JSON_TYPE
        self.body = b''

    async def attempt(self, tried: tries.Try) -> streams.Usage:
        """Take the whole answer of one engine."""
        node = self._node
        body = completions.engine_body(self._completion, self._model)
        outgoing = engine_request(
            self._request, tried, self._completion.path, body
        )
        left_s = self._request.work.deadline_s - node.clock()
        async with open_response(node, outgoing, left_s) as (found, _):
            check_status(found)
            self.status = found.status_code
            self.content_type = found.headers.get('content-type', JSON_TYPE)
            self.body = await read_all(found)
        tried.first_token()
        if self.status != 200:
            return streams.Usage()
        try:
            usage = streams.parse_usage(json.loads(self.body)['usage'])
        except (ValueError, KeyError, TypeError) as error:
            raise errors.UpstreamError(
                'the answer is not whole', verdicts.Verdict.MAY_HAVE_RUN
            ) from error
        record_usage(node, self._request, tried, usage)
        return usage

    async def run(self, attempt: tries.Attempt) -> streams.Usage:
        """Return the usage once status and body are set.

        attempt is the method above, or one that goes around it.
        """
        return await tries.run(self._node, self._request, attempt)


def response_headers(request: requests.Request) -> exchanges.Headers:
    """Return the headers that every answer of ours carries."""
    return [(b'x-request-id', request.request_id.encode())]
