"""Serve one relayed request, from authentication to the response."""

import collections.abc
import re
import typing
import uuid

import loguru
import prometheus_client
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import byte_account
from gentianstair.core import exchange as exchanges
from gentianstair.core import refusals
from gentianstair.core import request_digest
from gentianstair.core import request_lifetime
from gentianstair.core import run_verdict
from gentianstair.entry import callers
from gentianstair.entry import completions
from gentianstair.entry import node as nodes
from gentianstair.entry import relay
from gentianstair.entry import remote_prefill
from gentianstair.entry import request as requests
from gentianstair.entry import services
from gentianstair.entry import streams
from gentianstair.entry import work as works
from gentianstair.util import prefix_hashing

_REQUEST_ID = re.compile(r'[A-Za-z0-9._-]{1,64}')
# Retry-After of requests refused while the configuration is not fresh.
NOT_FRESH_RETRY_AFTER_S = 1.0
# Set by common client libraries to the number of earlier tries.
RETRY_COUNT_HEADER = 'x-stainless-retry-count'
# What a byte of a completion's body becomes at most as it is parsed.
PARSED_BYTES_PER_BYTE = 16
# Prompt tokens and max tokens that admission counts for a service call.
SERVICE_CALL_TOKENS = 1

REQUESTS = prometheus_client.Counter(
    'gentianstair_requests',
    'Requests by their answer',
    ['route', 'status', 'verdict'],
)
RUNNING_REQUESTS = prometheus_client.Gauge(
    'gentianstair_requests_running', 'Requests being served'
)
TOKENS = prometheus_client.Counter(
    'gentianstair_tokens', 'Tokens served', ['direction']
)
DURATION_S = prometheus_client.Histogram(
    'gentianstair_request_duration_seconds', 'Time to the end of the answer'
)


def _request_id(exchange: exchanges.Exchange) -> str:
    given = exchange.header('x-request-id')
    if given and _REQUEST_ID.fullmatch(given):
        return f'{given}-{uuid.uuid4().hex[:8]}'
    return uuid.uuid4().hex


def check_fresh(node: nodes.Node) -> None:
    """Raise RequestError 503 if the configuration may be out of date.

    A key may then have been revoked without this VM knowing it.
    """
    if not node.freshness.is_fresh():
        raise errors.RequestError(
            503,
            'not-fresh',
            'this VM has not heard lately whether its configuration stands',
            retry_after_s=NOT_FRESH_RETRY_AFTER_S,
        )


class Handler:
    """Serve one relayed request and record its outcome."""

    def __init__(self, node: nodes.Node, exchange: exchanges.Exchange) -> None:
        self._node = node
        self._exchange = exchange
        self._request_id = uuid.uuid4().hex
        self._customer = ''
        self._status = 0
        self._verdict = verdicts.Verdict.NOT_RUN
        self._runs = run_verdict.RunVerdict()
        # Whether its caller may send it again whatever was done with it.
        self._may_repeat = True
        self._holding = exchange.holding = node.byte_account.open()

    async def serve(self) -> None:
        """Serve the request; every failure ends in an error response."""
        started_s = self._node.clock()
        RUNNING_REQUESTS.inc()
        try:
            self._request_id = _request_id(self._exchange)
            self._exchange.connection.request_id = self._request_id
            await self._handle()
        except errors.RequestError as error:
            await self._send_failure(error)
        except exchanges.CallerDisconnectedError as error:
            self._record_disconnect(error)
            if self._exchange.started:
                # The server closes the connection of an incomplete response.
                raise
        except Exception:
            # The caller still gets an error response; what has run is not
            # known.
            loguru.logger.exception('request failed with an internal error')
            await self._send_failure(_internal_error())
        finally:
            RUNNING_REQUESTS.dec()
            self._holding.release()
            # Without a status the request was cancelled, by the end of the
            # grace period or of the process.
            self._status = self._status or exchanges.HTTP_CLOSED_BY_SERVER
            DURATION_S.observe(self._node.clock() - started_s)
            self._log_request()

    def _record_disconnect(
        self, error: exchanges.CallerDisconnectedError
    ) -> None:
        connection = self._exchange.connection
        self._status = self._exchange.disconnect_status()
        if connection.is_closed_here:
            self._add_explanation(
                'closed-here', why=connection.end_reason.value
            )
        else:
            self._add_explanation('caller-gone', why=str(error))

    def _log_request(self) -> None:
        route = 'services'
        if self._exchange.path in completions.PATHS:
            route = 'completions'
        REQUESTS.labels(route, str(self._status), self._verdict.name).inc()
        loguru.logger.bind(
            request_id=self._request_id,
            customer=self._customer,
            status=self._status,
            verdict=self._verdict.name,
        ).info('request')

    def _add_explanation(self, step: str, /, **detail: typing.Any) -> None:
        self._node.explanations.add(
            self._request_id, self._customer, step, **detail
        )

    async def _send_failure(self, error: errors.RequestError) -> None:
        """Tell of an error; no refusal of what may have run."""
        error.verdict = verdicts.combine(error.verdict, self._runs.verdict)
        error.status = self._status = refusals.told_status(
            error.status, error.verdict, self._request_id, self._sent_once()
        )
        self._verdict = error.verdict
        self._add_explanation('refused', **error.to_problem())
        if not self._exchange.started:
            await self._exchange.send_error(error, self._request_id)
        elif not self._exchange.ended:
            event = streams.error_event(error, self._request_id)
            await self._exchange.end(event)

    def _sent_once(self) -> run_verdict.Sent:
        """Return what was sent of a request that may run once."""
        if self._may_repeat:
            return run_verdict.Sent.NOTHING
        return self._runs.sent

    async def _handle(self) -> None:
        node = self._node
        exchange = self._exchange
        exchange.check_header_size()
        authorization = exchange.header('authorization')
        caller = callers.authenticate(node.view, authorization)
        check_fresh(node)
        self._customer = caller.customer
        limit_s = exchange.request_timeout_s(node.settings.request_timeout_s)
        deadline_s = node.clock() + limit_s
        body = await exchange.read_body(
            node.settings.max_body_bytes, node.settings.body_timeout_s
        )
        # The key may have been revoked while the body was received.
        caller = callers.authenticate(node.view, authorization)
        if exchange.path in completions.PATHS:
            await self._serve_completion(caller, body, deadline_s)
        else:
            await self._serve_service_call(caller, body, deadline_s)

    def _describe_work(
        self,
        caller: callers.Caller,
        completion: completions.Completion,
        model: callers.Model,
        deadline_s: float,
    ) -> works.Work:
        words = completion.prompt.split()
        salt = f'{model.adapter or model.engine_model}\0{model.cache_salt}'
        return works.Work(
            self._request_id,
            caller.customer,
            model.engine_model,
            len(words),
            completion.max_tokens,
            deadline_s,
            completion.priority,
            prefix_hashing.block_hashes(words, salt),
        )

    async def _serve_completion(
        self, caller: callers.Caller, body: bytes, deadline_s: float
    ) -> None:
        node = self._node
        if not self._holding.grow(PARSED_BYTES_PER_BYTE * len(body)):
            raise byte_account.no_room_for_body()
        completion = completions.parse(self._exchange.path, body)
        bundle = node.view.active_bundle()
        model = callers.resolve_model(bundle, caller, completion.model)
        work = self._describe_work(caller, completion, model, deadline_s)
        request = requests.Request(
            self._request_id,
            caller,
            work,
            bundle,
            digest=self._digest(body),
            runs=self._runs,
        )
        is_client_retry = self._is_client_retry()

        async def run() -> None:
            tokens = work.prompt_tokens + work.max_tokens
            with node.limits.acquire(caller.customer, tokens) as permit:
                async with node.queue.admit(work, is_client_retry) as ticket:
                    usage = await self._relay_completion(
                        request, completion, model
                    )
                    permit.settle(usage.prompt_tokens + usage.output_tokens)
                    ticket.charge(*usage)

        await self._run_until_ended(run, deadline_s)

    def _digest(self, body: bytes) -> str:
        """Return the name of what is asked for, whatever the request's id."""
        exchange = self._exchange
        return request_digest.of(
            [exchange.method.encode(), exchange.raw_path, exchange.query, body]
        )

    def _is_client_retry(self) -> bool:
        """Return whether the client library marked the request as a retry."""
        return (self._exchange.header(RETRY_COUNT_HEADER) or '0') != '0'

    async def _run_until_ended(
        self,
        run: collections.abc.Callable[[], collections.abc.Awaitable[None]],
        deadline_s: float,
    ) -> None:
        """Run until done, the caller disconnects or the deadline passes.

        The grace period of a shutdown ends it as well.
        """
        node = self._node
        remaining_s = deadline_s - node.clock()
        end = await request_lifetime.run_until_ended(
            self._exchange, run, remaining_s, node.grace
        )
        if end is request_lifetime.EndReason.TIMED_OUT:
            raise _incomplete_error(
                'deadline-passed',
                'the answer was not complete at its deadline',
            )
        if end is request_lifetime.EndReason.SHUT_DOWN:
            raise _shutdown_error()
        if end is request_lifetime.EndReason.DISCONNECTED:
            raise exchanges.CallerDisconnectedError('the caller hung up')

    async def _relay_completion(
        self,
        request: requests.Request,
        completion: completions.Completion,
        model: callers.Model,
    ) -> streams.Usage:
        node = self._node
        exchange = self._exchange
        if completion.stream:
            streaming = relay.StreamingRelay(
                node, exchange, request, completion, model
            )
            usage = await streaming.run(
                remote_prefill.with_remote_prefill(
                    node, request, completion, model, streaming.attempt
                )
            )
            self._status = 200
        else:
            buffered = relay.BufferedRelay(node, request, completion, model)
            usage = await buffered.run(
                remote_prefill.with_remote_prefill(
                    node, request, completion, model, buffered.attempt
                )
            )
            self._status = buffered.status
            await exchange.respond(
                buffered.status,
                buffered.content_type,
                buffered.body,
                relay.response_headers(request),
            )
        self._verdict = verdicts.Verdict.RAN
        TOKENS.labels('prompt').inc(usage.prompt_tokens)
        TOKENS.labels('output').inc(usage.output_tokens)
        return usage

    async def _serve_service_call(
        self, caller: callers.Caller, body: bytes, deadline_s: float
    ) -> None:
        node = self._node
        call = services.parse(self._exchange, body)
        self._may_repeat = call.repeatable or bool(call.idempotency_key)
        services.check_service_exists(node, call.service)
        work = works.Work(
            self._request_id,
            caller.customer,
            services.routing_name(call.service),
            SERVICE_CALL_TOKENS,
            SERVICE_CALL_TOKENS,
            deadline_s,
            repeatable=call.repeatable,
        )
        request = requests.Request(
            self._request_id,
            caller,
            work,
            node.view.active_bundle(),
            is_service=True,
            digest=self._digest(body),
            runs=self._runs,
        )

        async def run() -> None:
            with node.limits.acquire(caller.customer, 0):
                await self._send_response(
                    await services.run(node, request, call)
                )

        if call.repeatable:
            await self._run_until_ended(run, deadline_s)
            return
        # An unrepeatable call goes on after its caller disconnects: its
        # outcome is stored for a retry by the caller.
        with trio.CancelScope() as scope, node.grace.limit(scope):
            await run()
        if scope.cancelled_caught:
            raise _shutdown_error()

    async def _send_response(self, response: services.ServiceResponse) -> None:
        self._verdict = verdicts.Verdict.RAN
        self._status = refusals.told_status(
            response.status, self._verdict, self._request_id
        )
        headers = [
            *response.headers,
            (b'content-length', b'%d' % len(response.body)),
            (b'x-request-id', self._request_id.encode()),
        ]
        await self._exchange.start(self._status, headers)
        await self._exchange.end(response.body)


def _incomplete_error(kind: str, detail: str) -> errors.RequestError:
    return errors.RequestError(
        504,
        kind,
        detail,
        verdicts.Verdict.MAY_HAVE_RUN,
        retry_after_s=1.0,
    )


def _shutdown_error() -> errors.RequestError:
    return _incomplete_error(
        'stopping', 'this VM stopped before the answer was complete'
    )


def _internal_error() -> errors.RequestError:
    return errors.RequestError(
        500,
        'internal-error',
        'the request failed inside this VM',
        verdicts.Verdict.MAY_HAVE_RUN,
        retry_after_s=1.0,
    )
