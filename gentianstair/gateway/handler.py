"""Serve one caller's request, from its headers to the end of the response."""

import functools
import typing

import loguru
import prometheus_client
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import asgi
from gentianstair.core import byte_account
from gentianstair.core import exchange as exchanges
from gentianstair.core import refusals
from gentianstair.core import request_lifetime
from gentianstair.core import run_verdict
from gentianstair.gateway import calls
from gentianstair.gateway import catalog
from gentianstair.gateway import forward
from gentianstair.gateway import node as nodes
from gentianstair.gateway import request_state
from gentianstair.gateway import streaming
from gentianstair.gateway import unary
from gentianstair.generated import events
from gentianstair.limits import limiter as limiters
from gentianstair.platform import http_codec
from gentianstair.util import connections

# Retry-After of a process that has no configuration yet; it gets one as soon
# as the store or a peer responds.
NO_CONFIG_RETRY_AFTER_S = 0.7
# How long a request waits in a process that has just started for the first
# listings of the store. Bounded so that callers get an error soon when the
# store is down.
INITIAL_SYNC_TIMEOUT_S = 0.5
# For how long after its start a process waits for what other VMs report of
# the rate limits, before it serves a customer that has one.
INITIAL_LIMITS_S = 3.0
LIMITS_CHECK_S = 0.02
# Reserved before a caller's deadline so that a timeout response still reaches
# the caller in time.
RESPONSE_MARGIN_S = 0.05

REQUESTS = prometheus_client.Counter(
    'gentianstair_gateway_requests',
    'Requests of callers by their answer',
    ['status', 'verdict'],
)
RUNNING = prometheus_client.Gauge(
    'gentianstair_gateway_requests_running', 'Requests being served'
)
DURATION_S = prometheus_client.Histogram(
    'gentianstair_gateway_request_duration_seconds',
    'Time from a request to the end of its answer',
)


class RequestHandler:
    """Serve one request from start to end."""

    def __init__(self, node: nodes.Node, exchange: exchanges.Exchange):
        self._node = node
        self._exchange = exchange
        # While the process drains, responses ask callers to close their
        # connections.
        exchange.should_close = node.draining.is_set
        self._holding = exchange.holding = node.byte_account.open()
        self._arrived_s = node.clock()
        self._call: calls.Call | None = None
        self._request: request_state.RequestState | None = None
        self._status = 0

    async def serve(self) -> None:
        """Serve the request; every failure ends in a final response."""
        RUNNING.inc()
        try:
            await self._serve()
        except errors.RequestError as error:
            await self._send_error(error)
        except exchanges.CallerDisconnectedError as error:
            self._log_disconnect(error)
            if self._exchange.started:
                # The server closes a connection whose response is not
                # complete.
                raise
        except Exception:
            # A bug in this program: the caller gets a 500 at once, and the
            # log has the traceback.
            self._status = 500
            loguru.logger.bind(
                event=events.FAULT, **self._request_id_field()
            ).exception('internal error while serving a request')
            if self._exchange.started:
                raise
            await self._respond(500, [], b'')
        finally:
            RUNNING.dec()
            self._holding.release()
            # A request without a status was cancelled: the grace period is
            # over, or the process ends.
            self._status = self._status or exchanges.HTTP_CLOSED_BY_SERVER
            self._record_result()

    def _log_disconnect(
        self, error: exchanges.CallerDisconnectedError
    ) -> None:
        """Log that the connection has ended, and which side closed it."""
        connection = self._exchange.connection
        self._status = self._exchange.disconnect_status()
        # An HTTP/2 stream may be reset while its connection stays open.
        end = connection.end_reason or connections.EndReason.STREAM_RESET
        logger = loguru.logger.bind(
            end=end.value,
            closed_by=end.closed_by.value,
            **self._request_id_field(),
        )
        if connection.is_closed_here:
            logger.bind(event=events.CLOSED_HERE).info(
                'this process closed the connection: {}', end.value
            )
        else:
            logger.bind(event=events.CALLER_GONE).info('{}', error)

    def _request_id_field(self) -> dict[str, str]:
        return {'request_id': self._call.request_id if self._call else ''}

    def _verdict(self) -> verdicts.Verdict:
        """Return whether the request may have run so far."""
        if self._request is None:
            return verdicts.Verdict.NOT_RUN
        return self._request.verdict

    def _record_result(self) -> None:
        took_s = self._node.clock() - self._arrived_s
        DURATION_S.observe(took_s)
        request = self._request
        verdict = self._verdict().name
        REQUESTS.labels(str(self._status), verdict).inc()
        loguru.logger.bind(
            event=events.ANSWER,
            request_id=self._call.request_id if self._call else '',
            customer=request.customer_name if request else None,
            route=request.route.name if request else None,
            digest=request.digest if request else '',
            status=self._status,
            verdict=verdict,
            sent=request.attempts if request else 0,
            **self._verdict_fields(),
            first_s=self._time_to_first_event_s(),
            **self._objective_fields(),
            took_s=round(took_s, 3),
        ).info('answered {}', self._status)

    def _verdict_fields(self) -> dict[str, typing.Any]:
        """Return what set the verdict, and the latest attempt's answer."""
        request = self._request
        if request is None:
            return {}
        return {
            **request.outcome_fields(),
            'verdict_by': request.runs.decisive.reason.value,
            'attempts': [
                reason.value
                for reason in request.runs.reasons()[
                    : run_verdict.MAX_LOGGED_ATTEMPTS
                ]
            ],
            'replica': request.replica_name,
            **request.answer_fields(),
        }

    def _objective_fields(self) -> dict[str, typing.Any]:
        """Return the events sent, the objectives and how they were met."""
        request = self._request
        if request is None:
            return {}
        prompt = request.call.prompt
        return {
            **(request.order.log_fields() if request.order.has_events else {}),
            **request.producer_fields(),
            'objective_s': request.route.objective_s,
            'pause_s': request.route.max_pause_s,
            'longest_pause_s': round(request.event_times.longest_pause_s, 3),
            'prompt_tokens': prompt.tokens if prompt else 0,
        }

    def _time_to_first_event_s(self) -> float | None:
        """Return the time from arrival to a stream's first event."""
        if self._request is None:
            return None
        first_s = self._request.event_times.first_s
        return None if first_s is None else round(first_s - self._arrived_s, 3)

    async def _send_error(self, error: errors.RequestError) -> None:
        self._status = error.status
        exchange = self._exchange
        if exchange.ended:
            return
        if exchange.started:
            loguru.logger.bind(
                event=events.CUT,
                kind=error.kind,
                verdict=error.verdict.name,
                **self._request_id_field(),
            ).info('response cut off: {}', error.detail)
            # A truncated response must not look complete.
            raise exchanges.CallerDisconnectedError(f'cut off: {error.detail}')
        call = self._call
        headers = http_codec.error_headers(
            call.request_id if call else '', error.retry_after_s
        )
        loguru.logger.bind(
            event=events.REFUSAL,
            request_id=call.request_id if call else '',
            status=error.status,
            kind=error.kind,
            verdict=error.verdict.name,
            **(self._request.outcome_fields() if self._request else {}),
            retry_after_s=error.retry_after_s,
        ).info('refused: {}', error.detail)
        await self._respond(error.status, headers, b'')

    async def _respond(
        self, status: int, headers: calls.Headers, body: bytes
    ) -> None:
        """Send a whole response; no refusal of what may have run."""
        request_id = self._request_id_field()['request_id']
        request = self._request
        told = refusals.told_status(
            status,
            self._verdict(),
            request_id,
            request.sent_once if request else run_verdict.Sent.NOTHING,
        )
        if told != status:
            # Under another status a replica's headers would prove nothing.
            headers, body = http_codec.error_headers(request_id, None), b''
        self._status = told
        headers = [*headers, (b'content-length', b'%d' % len(body))]
        if self._exchange.connection.abort is not None:
            self._holding.wait_for_caller(
                self._exchange.connection.abort, byte_account.ANSWER_PATIENCE_S
            )
        await self._exchange.start(told, headers)
        await self._exchange.end(body)

    async def _serve(self) -> None:
        node, exchange = self._node, self._exchange
        call = self._call = http_codec.decode_call(
            exchange.method,
            exchange.raw_path,
            exchange.query,
            exchange.raw_headers,
        )
        exchange.connection.request_id = call.request_id
        limits = (
            node.active_config.catalog.limits
            if node.active_config.catalog
            else (catalog.Limits())
        )
        exchange.check_header_size(limits.max_header_bytes)
        # Read the body before any response: a connection with an unread body
        # can't be reused, and the caller would not know.
        body = await exchange.read_body(
            limits.max_body_bytes, call.timeout_s or limits.idle_timeout_s
        )
        active_catalog = await self._wait_for_catalog(call)
        if active_catalog is None:
            raise errors.RequestError(
                503,
                'no-configuration',
                'this VM has no configuration yet',
                retry_after_s=NO_CONFIG_RETRY_AFTER_S,
            )
        route = active_catalog.route(call.host, call.path)
        if route is None:
            raise errors.RequestError(404, 'no-route', 'no such route')
        customer = self._authenticate(active_catalog, route, call)
        request = self._request = self._make_request_state(
            call, body, route, customer
        )
        node.retry_budget.record_request(request.service)
        permit = await self._charge(active_catalog, request)
        try:
            with node.places.take():
                await self._run_to_deadline(
                    request, active_catalog.services.get(request.service)
                )
        finally:
            if permit and request.verdict is verdicts.Verdict.NOT_RUN:
                permit.refund()

    async def _charge(
        self,
        active_catalog: catalog.Catalog,
        request: request_state.RequestState,
    ) -> limiters.Permit | None:
        """Charge the customer's rate limit; raise RequestError beyond it."""
        node, call = self._node, request.call
        customer = request.customer_name
        limit = active_catalog.rate_limits.get(customer or '')
        if customer is None or limit is None:
            return None
        if limit.counts_tokens and call.has_bad_token_count:
            # What the request uses of the limit is not known.
            raise errors.RequestError(
                400, 'bad-token-count', 'the count of tokens is unreadable'
            )
        await self._wait_for_limits(customer, call.token_count)
        return node.limiter.admit(customer, call.token_count, call.request_id)

    async def _wait_for_limits(
        self, customer: str, token_count: int | None
    ) -> None:
        """Wait in a process that has just started for reports of others."""
        node = self._node
        end_s = min(
            node.started_s + INITIAL_LIMITS_S,
            self._arrived_s + INITIAL_SYNC_TIMEOUT_S,
        )
        while node.clock() < end_s and node.limiter.must_wait(
            customer, token_count
        ):
            await trio.sleep(LIMITS_CHECK_S)

    async def _wait_for_catalog(
        self, call: calls.Call
    ) -> catalog.Catalog | None:
        """Return the active configuration, None if there is none yet.

        Callers reconnect to a restarted process at once. A short wait for
        the first listings serves them sooner than a refusal and their retry.
        """
        node = self._node
        if not node.is_synced():
            timeout_s = call.timeout_s or INITIAL_SYNC_TIMEOUT_S
            with trio.move_on_after(
                min(INITIAL_SYNC_TIMEOUT_S, timeout_s / 3)
            ):
                await node.wait_synced()
        return node.active_config.catalog

    def _authenticate(
        self,
        active_catalog: catalog.Catalog,
        route: catalog.Route,
        call: calls.Call,
    ) -> catalog.Customer | None:
        customer = (
            active_catalog.customers.get(call.api_key)
            if call.api_key
            else None
        )
        if (
            customer is None
            and active_catalog.requires_keys
            and not route.public
        ):
            raise errors.RequestError(401, 'unknown-key', 'unknown key')
        return customer

    def _make_request_state(
        self,
        call: calls.Call,
        body: bytes,
        route: catalog.Route,
        customer: catalog.Customer | None,
    ) -> request_state.RequestState:
        timeout_s = route.timeout_s
        if call.timeout_s is not None:
            timeout_s = min(timeout_s, call.timeout_s)
        return request_state.RequestState(
            self._node,
            self._exchange,
            call,
            body,
            route,
            catalog.pick_service(route, call.resumed_id or call.request_id),
            customer,
            self._arrived_s + timeout_s - RESPONSE_MARGIN_S,
        )

    async def _run_to_deadline(
        self,
        request: request_state.RequestState,
        service: catalog.Service | None,
    ) -> None:
        """Serve until done, the caller disconnects or the deadline passes."""
        if request.remaining_s() < request_state.MIN_REMAINING_S:
            # An attempt made now would time out, possibly after it had run.
            raise request.final_error()
        end = await request_lifetime.run_until_ended(
            self._exchange,
            functools.partial(self._forward, request, service),
            request.remaining_s(),
            self._node.grace_period,
        )
        if end is request_lifetime.EndReason.DONE:
            return
        request.record_attempt_end()
        if end is request_lifetime.EndReason.DISCONNECTED:
            raise exchanges.CallerDisconnectedError('the caller disconnected')
        raise self._timeout_error(request, end)

    def _timeout_error(
        self,
        request: request_state.RequestState,
        end: request_lifetime.EndReason,
    ) -> errors.RequestError:
        """Return the error of a request that ran out of time."""
        if request.verdict is verdicts.Verdict.NOT_RUN:
            return request.final_error()
        if end is request_lifetime.EndReason.SHUT_DOWN:
            return errors.RequestError(
                504,
                'stopping',
                'no answer before the process stopped',
                request.verdict,
            )
        return errors.RequestError(
            504, 'deadline-passed', 'no answer in time', request.verdict
        )

    async def _forward(
        self,
        request: request_state.RequestState,
        service: catalog.Service | None,
    ) -> None:
        await request.parts.enter()
        if request.parts.is_trial:
            request.log(
                events.PROMPT_PART_TRIAL, 'tries a part that is held back'
            )
        response = None
        with request.parts.until_held(request.may_give_up) as scope:
            response = await _serve_at_replicas(request, service)
        if scope.cancelled_caught:
            raise request.give_up()
        if response is None:
            self._status = 200
            return
        await self._respond(response.status, response.headers, response.body)


def make_app(node: nodes.Node) -> asgi.App:
    """Return the ASGI application that serves callers."""

    async def serve(exchange: exchanges.Exchange) -> None:
        await RequestHandler(node, exchange).serve()

    return asgi.make_app(serve)


async def _serve_at_replicas(
    request: request_state.RequestState, service: catalog.Service | None
) -> forward.ReplicaResponse | None:
    """Return a response to pass on, None if it was streamed already."""
    if request.route.kind is catalog.CallKind.STREAM:
        engine = service.engine if service else None
        return await streaming.StreamingResponse(request, engine).serve()
    return await unary.serve(request)
