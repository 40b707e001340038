"""Relay completions from engines to callers."""

import collections.abc
import contextlib
import functools
import typing

import httpx
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import exchange as exchanges
from gentianstair.core import refusals
from gentianstair.entry import attempts
from gentianstair.entry import callers
from gentianstair.entry import completions
from gentianstair.entry import node as nodes
from gentianstair.entry import request as requests
from gentianstair.entry import streams
from gentianstair.entry import upstream_permits
from gentianstair.upstreams import transport
from gentianstair.util import json_codec

# Set to 1 by an engine that did not start to run the request.
NOT_STARTED_HEADER = 'x-not-started'
EVENT_STREAM_TYPE = b'text/event-stream'
JSON_TYPE = 'application/json'
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Tokens that a stream delivers between two updates of its usage.
BILLING_STEP_TOKENS = 64
# Tokens per step not billed until the end, as events may have no token.
BILLING_MARGIN_TOKENS = 4


def send_extensions(
    tried: attempts.Attempt,
    check_send: collections.abc.Callable[[], None] | None,
) -> dict[str, typing.Any]:
    """Return the extensions of an attempt's request.

    They tell its run of the first byte and, in open_response, of an answer
    that denies it.
    """
    run = tried.run
    return {
        'before_send': check_send,
        'record_send': run and run.record_send,
        'record_answer': run and run.record_answer,
    }


def engine_request(
    request: requests.Request,
    tried: attempts.Attempt,
    path: str,
    body: bytes,
) -> httpx.Request:
    """Return the request for an engine, without any header of the caller."""
    headers = [
        (b'content-type', b'application/json'),
        (b'x-request-id', request.request_id.encode()),
    ]
    url = tried.upstream['url'] + path
    return httpx.Request(
        'POST',
        url,
        headers=headers,
        content=body,
        extensions=send_extensions(tried, tried.check_send),
    )


def denies_run(response: httpx.Response) -> bool:
    """Return whether an answer proves that its upstream did not start.

    One that contradicts itself proves nothing: it says so twice, with another
    status than that of a refusal, or with events.
    """
    return (
        response.status_code in refusals.STATUSES
        and response.headers.get_list(NOT_STARTED_HEADER) == ['1']
        and not _has_events(response)
    )


def _has_events(response: httpx.Response) -> bool:
    content_type = response.headers.get('content-type', '')
    return content_type.startswith(EVENT_STREAM_TYPE.decode())


def check_status(response: httpx.Response) -> None:
    """Raise UpstreamError for a status that means a failed attempt.

    The verdict is NOT_RUN if the engine says that it did not start, and
    MAY_HAVE_RUN for any other failure.
    """
    status = response.status_code
    if not refusals.is_failure(status):
        return
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    if denies_run(response):
        verdict = verdicts.Verdict.NOT_RUN
    message = f'the upstream answered {status}'
    if _asks_pause(response):
        raise errors.UpstreamPauseError(message, verdict)
    raise errors.UpstreamError(message, verdict)


def _asks_pause(response: httpx.Response) -> bool:
    try:
        return bool(upstream_permits.named_pause(response))
    except errors.DecodeError:
        # Logged where the value is taken.
        return False


class StallTimeout:
    """Cancel an attempt whose upstream sends nothing for too long.

    The deadline is extended in steps rather than at each token, to save
    work: it passes limit_s to limit_s * 9 / 8 after the last data.
    ``waiting_for_caller`` is true while data is written to the caller; a
    timeout is then not the fault of the upstream.
    """

    def __init__(self, scope: trio.CancelScope, limit_s: float) -> None:
        self._scope = scope
        self._limit_s = limit_s
        self._update_interval_s = limit_s / 8
        self._next_update_s = 0.0
        self.waiting_for_caller = False
        self.record_progress()

    def record_progress(self) -> None:
        """Extend the deadline, as the upstream sent something."""
        self.waiting_for_caller = False
        now_s = trio.current_time()
        if now_s >= self._next_update_s:
            self._next_update_s = now_s + self._update_interval_s
            self._scope.deadline = (
                now_s + self._limit_s + self._update_interval_s
            )


@contextlib.asynccontextmanager
async def open_response(
    node: nodes.Node, upstream_request: httpx.Request, stall_s: float
) -> collections.abc.AsyncIterator[tuple[httpx.Response, StallTimeout]]:
    """Yield the response once its headers came, and its stall timeout.

    Raise UpstreamError if the upstream stalls, CallerDisconnectedError if
    the caller does.
    """
    response = None
    with trio.CancelScope() as scope:
        stall_timeout = StallTimeout(scope, stall_s)
        try:
            sent_s = node.clock()
            response = await node.transport.handle_async_request(
                upstream_request
            )
            node.permits.record(response, upstream_request.url, sent_s)
            _record_answer(upstream_request, response)
            yield response, stall_timeout
        finally:
            if response is not None:
                with trio.CancelScope(
                    shield=True, deadline=_close_deadline_s()
                ):
                    await response.stream.aclose()
    if not scope.cancelled_caught:
        return
    if stall_timeout.waiting_for_caller:
        raise exchanges.CallerDisconnectedError('the caller stopped reading')
    raise errors.UpstreamError(
        f'no data for {stall_s:g} s', verdicts.Verdict.MAY_HAVE_RUN
    )


def _record_answer(
    upstream_request: httpx.Request, response: httpx.Response
) -> None:
    """Tell an attempt's run of an answer that says it did not start."""
    record = upstream_request.extensions.get('record_answer')
    if record is not None and denies_run(response):
        record(verdicts.Verdict.NOT_RUN)


def _close_deadline_s() -> float:
    return trio.current_time() + 1.0


async def read_all(response: httpx.Response) -> bytes:
    """Return the body; raise UpstreamError if it is too long."""
    return await transport.read_all(response, MAX_RESPONSE_BYTES)


def record_usage(
    node: nodes.Node,
    request: requests.Request,
    tried: attempts.Attempt,
    usage: streams.Usage,
) -> None:
    """Record usage for the customer and the upstream's capacity class."""
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
    """Stream a response, resuming it on another engine after a failure."""

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
        self.response = streams.StreamedResponse(
            completion.wants_usage, completion.has_one_choice
        )

    async def attempt(self, tried: attempts.Attempt) -> streams.Usage:
        """Stream from one engine, continuing after the delivered text."""
        node = self._node
        if self.response.has_all_tokens:
            # The engine was lost after the last token, before the end of its
            # stream.
            self.response.end()
            return self.response.total_usage()
        body = completions.engine_body(
            self._completion, self._model, self.response.resume_text()
        )
        upstream_request = engine_request(
            self._request, tried, self._completion.path, body
        )
        stall_s = node.settings.upstream_stall_s
        try:
            response_context = open_response(node, upstream_request, stall_s)
            async with response_context as (upstream_response, stall_timeout):
                check_status(upstream_response)
                if upstream_response.status_code != 200:
                    await self._forward_refusal(upstream_response)
                    return streams.Usage()
                await self._start_response()
                self._billed_tokens = 0
                bill_delivered = functools.partial(self._bill_delivered, tried)
                with node.usage.track_stream(bill_delivered):
                    await self._forward_stream(
                        upstream_response, stall_timeout, tried, bill_delivered
                    )
            self.response.final_events()
        finally:
            # Each attempt is billed separately, even if it failed, since
            # attempts may use upstreams of different capacity classes.
            usage = self.response.attempt_usage(
                self._request.work.prompt_tokens
            )
            unbilled = max(0, usage.output_tokens - self._billed_tokens)
            record_usage(
                node,
                self._request,
                tried,
                usage._replace(output_tokens=unbilled),
            )
        return self.response.total_usage()

    async def _forward_refusal(
        self, upstream_response: httpx.Response
    ) -> None:
        """Forward an engine's refusal, such as of an invalid field."""
        body = await read_all(upstream_response)
        if self._exchange.started:
            raise errors.UpstreamError(
                f'the upstream answered {upstream_response.status_code} '
                'to a resumption',
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        await self._exchange.respond(
            upstream_response.status_code,
            upstream_response.headers.get('content-type', JSON_TYPE),
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
        upstream_response: httpx.Response,
        stall_timeout: StallTimeout,
        tried: attempts.Attempt,
        bill_delivered: collections.abc.Callable[[], None],
    ) -> None:
        response = self.response
        write = self._exchange.write
        bill_at = response.delivered_tokens + BILLING_STEP_TOKENS
        is_first = True
        async for data in upstream_response.stream:
            events = response.feed(data)
            if events:
                if is_first:
                    is_first = False
                    tried.first_token()
                stall_timeout.waiting_for_caller = True
                await write(events)
            stall_timeout.record_progress()
            if response.delivered_tokens >= bill_at:
                bill_at += BILLING_STEP_TOKENS
                bill_delivered()

    def _bill_delivered(self, tried: attempts.Attempt) -> None:
        """Record usage of a running stream.

        Usage that is not recorded is lost if this VM is killed, and a stream
        may run for minutes. A margin stays unbilled until the end,
        since an engine may send events without a token.
        """
        delivered = self.response.attempt_tokens
        steps = -(-delivered // BILLING_STEP_TOKENS)
        tokens = (
            delivered - BILLING_MARGIN_TOKENS * steps - self._billed_tokens
        )
        if tokens <= 0:
            return
        self._billed_tokens += tokens
        usage = streams.Usage(output_tokens=tokens)
        record_usage(self._node, self._request, tried, usage)

    async def run(self, attempt: attempts.RunAttempt) -> streams.Usage:
        """Stream the complete response; raise RequestError if that fails.

        attempt is the method of this object, or a wrapper of it.
        """
        usage = await attempts.run(self._node, self._request, attempt)
        if not self._exchange.ended:
            await self._exchange.end(self.response.final_events())
        return usage


class BufferedRelay:
    """Read a complete response from an engine before it is sent."""

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

    async def attempt(self, tried: attempts.Attempt) -> streams.Usage:
        """Read the complete response of one engine."""
        node = self._node
        body = completions.engine_body(self._completion, self._model)
        upstream_request = engine_request(
            self._request, tried, self._completion.path, body
        )
        remaining_s = self._request.work.deadline_s - node.clock()
        async with open_response(node, upstream_request, remaining_s) as (
            upstream_response,
            _,
        ):
            check_status(upstream_response)
            self.status = upstream_response.status_code
            self.content_type = upstream_response.headers.get(
                'content-type', JSON_TYPE
            )
            self.body = await read_all(upstream_response)
        tried.first_token()
        if self.status != 200:
            return streams.Usage()
        try:
            usage = streams.parse_usage(json_codec.decode(self.body)['usage'])
        except (errors.DecodeError, KeyError, TypeError) as error:
            raise errors.UpstreamError(
                'the answer is not whole', verdicts.Verdict.MAY_HAVE_RUN
            ) from error
        record_usage(node, self._request, tried, usage)
        return usage

    async def run(self, attempt: attempts.RunAttempt) -> streams.Usage:
        """Return the usage, with status, content_type and body set.

        attempt is the method of this object, or a wrapper of it.
        """
        return await attempts.run(self._node, self._request, attempt)


def response_headers(request: requests.Request) -> exchanges.Headers:
    """Return the headers that are set on every completion response."""
    return [(b'x-request-id', request.request_id.encode())]
