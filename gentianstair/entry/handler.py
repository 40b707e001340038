"""Serve one caller's request: from the key to the whole answer."""

import collections.abc
import re
import typing
import uuid

import loguru
import prometheus_client
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import exchange as exchanges
from gentianstair.core import request_lifetime
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
NOT_FRESH_RETRY_S = 1.0
# Set by the usual client libraries to the number of the repeat.
RETRY_HEADER = 'x-stainless-retry-count'
SERVICE_TOKENS = 1

REQUESTS = prometheus_client.Counter(
    'gentianstair_requests',
    'Requests by their answer',
    ['route', 'status', 'verdict'],
)
RUNNING = prometheus_client.Gauge(
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
    """Raise RequestError when a key may have been revoked unheard."""
    if not node.freshness.is_fresh():
        raise errors.RequestError(
            503,
            'not-fresh',
            'this VM has not heard lately whether its configuration stands',
            retry_after_s=NOT_FRESH_RETRY_S,
        )


class Handler:
    """Serve one relayed request, written down from start to end."""

    def __init__(self, node: nodes.Node, exchange: exchanges.Exchange) -> None:
        self._node = node
        self._exchange = exchange
        self._request_id = uuid.uuid4().hex
        self._customer = ''
        self._status = 0
        self._verdict = verdicts.Verdict.NOT_RUN

    async def serve(self) -> None:
        """Serve the request; every failure ends in a final answer."""
        started_s = self._node.clock()
        RUNNING.inc()
        try:
            self._request_id = _request_id(self._exchange)
            self._exchange.connection.request_id = self._request_id
            await self._route()
        except errors.RequestError as error:
            await self._fail(error)
        except exchanges.CallerDisconnectedError as error:
            self._gone(error)
            if self._exchange.started:
                # The server closes a connection whose answer is not ended.
                raise
        except Exception:
            # A fault of ours: the caller still gets a final answer, and
            # nothing is claimed about what ran.
            loguru.logger.exception('a request failed inside')
            await self._fail(_internal())
        finally:
            RUNNING.dec()
            # Without a status it was cancelled: the grace is over, or the
            # process ends.
            self._status = self._status or exchanges.HTTP_CLOSED_BY_SERVER
            DURATION_S.observe(self._node.clock() - started_s)
            self._log()

    def _gone(self, error: exchanges.CallerDisconnectedError) -> None:
        connection = self._exchange.connection
        self._status = self._exchange.disconnect_status()
        if connection.is_closed_here:
            self._explain('closed-here', why=connection.end_reason.value)
        else:
            self._explain('caller-gone', why=str(error))

    def _log(self) -> None:
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

    def _explain(self, step: str, /, **detail: typing.Any) -> None:
        self._node.explanations.add(
            self._request_id, self._customer, step, **detail
        )

    async def _fail(self, error: errors.RequestError) -> None:
        self._status = error.status
        self._verdict = error.verdict
        self._explain('refused', **error.to_problem())
        if not self._exchange.started:
            await self._exchange.send_error(error, self._request_id)
        elif not self._exchange.ended:
            event = streams.error_event(error, self._request_id)
            await self._exchange.end(event)

    async def _route(self) -> None:
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
        # The key may have been revoked while the body came in.
        caller = callers.authenticate(node.view, authorization)
        if exchange.path in completions.PATHS:
            await self._complete(caller, body, deadline_s)
        else:
            await self._call(caller, body, deadline_s)

    def _work(
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

    async def _complete(
        self, caller: callers.Caller, body: bytes, deadline_s: float
    ) -> None:
        node = self._node
        completion = completions.parse(self._exchange.path, body)
        bundle = node.view.active_bundle()
        model = callers.resolve_model(bundle, caller, completion.model)
        work = self._work(caller, completion, model, deadline_s)
        request = requests.Request(self._request_id, caller, work, bundle)
        returning = self._returns()

        async def run() -> None:
            tokens = work.prompt_tokens + work.max_tokens
            with node.limits.acquire(caller.customer, tokens) as permit:
                async with node.queue.admit(work, returning) as ticket:
                    usage = await self._generate(request, completion, model)
                    permit.settle(usage.prompt_tokens + usage.output_tokens)
                    ticket.charge(*usage)

        await self._until_gone(run, deadline_s)

    def _returns(self) -> bool:
        """Return whether the caller says that it was told to come back."""
        return (self._exchange.header(RETRY_HEADER) or '0') != '0'

    async def _until_gone(
        self,
        run: collections.abc.Callable[[], collections.abc.Awaitable[None]],
        deadline_s: float,
    ) -> None:
        """Run until done, the caller hangs up or its deadline passes."""
        node = self._node
        left_s = deadline_s - node.clock()
        end = await request_lifetime.run_until_ended(
            self._exchange, run, left_s, node.grace
        )
        if end is request_lifetime.EndReason.TIMED_OUT:
            raise _unfinished(
                'deadline-passed',
                'the answer was not complete at its deadline',
            )
        if end is request_lifetime.EndReason.SHUT_DOWN:
            raise _stopping()
        if end is request_lifetime.EndReason.DISCONNECTED:
            raise exchanges.CallerDisconnectedError('the caller hung up')

    async def _generate(
        self,
        request: requests.Request,
        completion: completions.Completion,
        model: callers.Model,
    ) -> streams.Usage:
        node = self._node
        exchange = self._exchange
        if completion.stream:
            streaming = relay.Streaming(
                node, exchange, request, completion, model
            )
            usage = await streaming.run(
                remote_prefill.with_remote_prefill(
                    node, request, completion, model, streaming.attempt
                )
            )
            self._status = 200
        else:
            whole = relay.Whole(node, request, completion, model)
            usage = await whole.run(
                remote_prefill.with_remote_prefill(
                    node, request, completion, model, whole.attempt
                )
            )
            self._status = whole.status
            await exchange.respond(
                whole.status,
                whole.content_type,
                whole.body,
                relay.answer_headers(request),
            )
        self._verdict = verdicts.Verdict.RAN
        TOKENS.labels('prompt').inc(usage.prompt_tokens)
        TOKENS.labels('output').inc(usage.output_tokens)
        return usage

    async def _call(
        self, caller: callers.Caller, body: bytes, deadline_s: float
    ) -> None:
        node = self._node
        call = services.parse(self._exchange, body)
        services.check_known(node, call.service)
        work = works.Work(
            self._request_id,
            caller.customer,
            services.routing_name(call.service),
            SERVICE_TOKENS,
            SERVICE_TOKENS,
            deadline_s,
            repeatable=call.repeatable,
        )
        request = requests.Request(
            self._request_id,
            caller,
            work,
            node.view.active_bundle(),
            service=True,
        )

        async def run() -> None:
            with node.limits.acquire(caller.customer, 0):
                await self._reply(await services.run(node, request, call))

        if call.repeatable:
            await self._until_gone(run, deadline_s)
            return
        # A caller that hangs up does not stop an unrepeatable call: its
        # outcome is kept for when the caller asks again.
        with trio.CancelScope() as scope, node.grace.limit(scope):
            await run()
        if scope.cancelled_caught:
            raise _stopping()

    async def _reply(self, reply: services.Reply) -> None:
        self._status = reply.status
        self._verdict = verdicts.Verdict.RAN
        headers = [
            *reply.headers,
            (b'content-length', b'%d' % len(reply.body)),
            (b'x-request-id', self._request_id.encode()),
        ]
        await self._exchange.start(reply.status, headers)
        await self._exchange.end(reply.body)


def _unfinished(kind: str, detail: str) -> errors.RequestError:
    return errors.RequestError(
        504,
        kind,
        detail,
        verdicts.Verdict.MAY_HAVE_RUN,
        retry_after_s=1.0,
    )


def _stopping() -> errors.RequestError:
    return _unfinished(
        'stopping', 'this VM stopped before the answer was complete'
    )


def _internal() -> errors.RequestError:
    return errors.RequestError(
        500,
        'internal-error',
        'the request failed inside this VM',
        verdicts.Verdict.MAY_HAVE_RUN,
        retry_after_s=1.0,
    )
