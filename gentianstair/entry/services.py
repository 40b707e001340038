"""Relay calls of plain services; run unrepeatable ones at most once."""

import functools
import hashlib
import typing
import urllib.parse

import httpx
import prometheus_client
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import exchange as exchanges
from gentianstair.core import refusals
from gentianstair.entry import attempts
from gentianstair.entry import claim_shard
from gentianstair.entry import claims as claimses
from gentianstair.entry import node as nodes
from gentianstair.entry import relay
from gentianstair.entry import request as requests
from gentianstair.entry import streams

PATH_PREFIX = '/services/'
# Limit on the connection that tells whether an upstream lives.
END_CHECK_S = 0.5
HEDGES = prometheus_client.Counter(
    'gentianstair_hedges', 'Copies sent of slow look-ups', ['service']
)
IDEMPOTENCY_HEADER = 'idempotency-key'
MAX_IDEMPOTENCY_KEY_LENGTH = 255
REPEATABLE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})
ALLOWED_METHODS = REPEATABLE_METHODS | {'POST', 'PUT', 'PATCH', 'DELETE'}
REPLAYED_HEADER = (b'idempotency-replayed', b'true')
# Headers that are not forwarded: hop-by-hop headers (RFC 9110, 7.6.1),
# headers with credentials, and headers that this relay sets itself.
DROPPED_HEADERS = frozenset(
    {
        b'authorization',
        b'connection',
        b'content-length',
        b'cookie',
        b'expect',
        b'host',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'x-api-key',
        b'x-customer',
        b'x-request-id',
        b'x-request-timeout-s',
    }
)
DROPPED_RESPONSE_HEADERS = DROPPED_HEADERS | {b'date', b'server'}


class ServiceCall(typing.NamedTuple):
    """A call of a plain service."""

    service: str
    path: str
    method: str
    headers: exchanges.Headers
    body: bytes
    idempotency_key: str | None

    @property
    def repeatable(self) -> bool:
        """Return whether the call may safely run more than once."""
        return self.method in REPEATABLE_METHODS


class ServiceResponse(typing.NamedTuple):
    """The response of a service."""

    status: int
    headers: exchanges.Headers
    body: bytes


def _forwarded_headers(
    headers: exchanges.Headers, dropped: frozenset[bytes]
) -> exchanges.Headers:
    """Return headers without dropped ones and those Connection names."""
    connection_names = set()
    for name, value in headers:
        if name.lower() == b'connection':
            connection_names |= {
                part.strip().lower() for part in value.split(b',')
            }
    return [
        (name.lower(), value)
        for name, value in headers
        if name.lower() not in dropped and name.lower() not in connection_names
    ]


def _idempotency_key(exchange: exchanges.Exchange) -> str | None:
    key = exchange.header(IDEMPOTENCY_HEADER)
    if key is not None and not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_LENGTH:
        raise errors.RequestError(
            400,
            'bad-idempotency-key',
            'an idempotency key has 1 to '
            f'{MAX_IDEMPOTENCY_KEY_LENGTH} characters',
        )
    return key


def routing_name(service: str) -> str:
    """Return the name of a service in routing, apart from models.

    >>> routing_name('stock')
    'service:stock'
    """
    return f'service:{service}'


def check_service_exists(node: nodes.Node, service: str) -> None:
    """Raise RequestError 404 if no upstream serves a service."""
    if not node.router.subset(routing_name(service)):
        raise errors.RequestError(
            404, 'no-such-service', f'there is no service {service!r}'
        )


def _upstream_target(path: str, query: bytes) -> str:
    """Return path and query for the upstream; raise RequestError 400.

    Dot segments could lead out of the path that the upstream offers to
    callers. Spaces and control characters in a query, which HTTP/2 allows,
    would end the HTTP/1.1 request line early.
    """
    if {'.', '..'} & set(path.split('/')):
        raise errors.RequestError(400, 'bad-path', 'no dots in a path')
    target = '/' + urllib.parse.quote(path, errors='replace')
    if not query:
        return target
    text = query.decode('latin-1')
    if not text.isascii() or not text.isprintable() or ' ' in text:
        raise errors.RequestError(400, 'bad-path', 'the query is not a query')
    return f'{target}?{text}'


def parse(exchange: exchanges.Exchange, body: bytes) -> ServiceCall:
    """Return the call; raise RequestError 400, 404 or 405."""
    if exchange.method not in ALLOWED_METHODS:
        raise errors.RequestError(
            405,
            'method-not-allowed',
            f'use one of {", ".join(sorted(ALLOWED_METHODS))}',
        )
    service, _, path = exchange.path[len(PATH_PREFIX) :].partition('/')
    if not service:
        raise errors.RequestError(404, 'no-such-service', 'no service named')
    target = _upstream_target(path, exchange.query)
    return ServiceCall(
        service,
        target,
        exchange.method,
        _forwarded_headers(exchange.raw_headers, DROPPED_HEADERS),
        body,
        _idempotency_key(exchange),
    )


def call_digest(call: ServiceCall) -> str:
    """Return a digest to detect another call under the same key."""
    parts = [call.method.encode(), call.path.encode(), call.body]
    return hashlib.sha256(b'\0'.join(parts)).hexdigest()


class ServiceRelay:
    """Relay one call; ``response`` is set once the service responded."""

    def __init__(
        self,
        node: nodes.Node,
        request: requests.Request,
        call: ServiceCall,
        claim: claimses.ClaimResult | None,
    ) -> None:
        self._node = node
        self._request = request
        self._call = call
        self._claim = claim
        self.response: ServiceResponse | None = None

    def _build_request(self, tried: attempts.Attempt) -> httpx.Request:
        call = self._call
        headers = [
            *call.headers,
            (b'x-request-id', self._request.request_id.encode()),
            (b'x-customer', self._request.caller.customer.encode()),
        ]
        return httpx.Request(
            call.method,
            tried.upstream['url'] + call.path,
            headers=headers,
            content=call.body,
            extensions={
                'fresh': not call.repeatable,
                **relay.send_extensions(
                    tried, functools.partial(self._check_send, tried)
                ),
            },
        )

    def _check_send(self, tried: attempts.Attempt) -> None:
        if tried.check_send is not None:
            tried.check_send()
        if self._claim is not None:
            self._node.claims.check_sendable(self._claim)

    async def attempt(self, tried: attempts.Attempt) -> streams.Usage:
        """Send the call to one upstream and read its response."""
        upstream_request = self._build_request(tried)
        remaining_s = self._request.work.deadline_s - self._node.clock()
        response_context = relay.open_response(
            self._node, upstream_request, remaining_s
        )
        async with response_context as (upstream_response, _):
            if (
                self._call.repeatable
                or relay.denies_run(upstream_response)
                or upstream_response.status_code in refusals.STATUSES
            ):
                relay.check_status(upstream_response)
            body = await relay.read_all(upstream_response)
            if upstream_response.extensions['ends_with_connection']:
                await self._check_end(upstream_request.url)
            headers = _forwarded_headers(
                upstream_response.headers.raw, DROPPED_RESPONSE_HEADERS
            )
            self.response = ServiceResponse(
                upstream_response.status_code, headers, body
            )
        self._node.usage.count(
            self._request.caller.customer,
            tried.upstream['capacity_class'],
            requests=1,
        )
        tried.first_token()
        return streams.Usage()

    async def _check_end(self, url: httpx.URL) -> None:
        """Raise UpstreamError unless the upstream lives on after its answer.

        The system of a killed process closes its connections in order, which
        ends an answer without a length, too.
        """
        if self._call.method == 'HEAD':
            return
        try:
            await self._node.transport.check_reachable(url, END_CHECK_S)
        except errors.UnreachableError as error:
            raise errors.ConnectionBrokenError(
                'the upstream ended with its answer'
            ) from error


def _conflict(kind: str, detail: str, verdict: verdicts.Verdict):
    return errors.RequestError(409, kind, detail, verdict)


def _claimed_outcome(claim: claimses.ClaimResult) -> ServiceResponse:
    """Return the stored response of a claimed call.

    Raise RequestError 409 or 422 if there is none.
    """
    state = claim_shard.State
    if claim.state is state.MISMATCH:
        raise errors.RequestError(
            422,
            'idempotency-key-reused',
            'this key came first with another request',
        )
    if claim.state is state.FINISHED and claim.body is not None:
        headers = [
            (name.encode(), value.encode()) for name, value in claim.headers
        ]
        return ServiceResponse(
            claim.status, [*headers, REPLAYED_HEADER], claim.body
        )
    if claim.state is state.FINISHED:
        raise _conflict(
            'outcome-not-kept',
            f'the request ran and answered {claim.status}; its body was too '
            'long to keep',
            verdicts.Verdict.RAN,
        )
    error = _conflict(
        'may-have-run',
        'a request with this key was sent before and its outcome is not known',
        verdicts.Verdict.MAY_HAVE_RUN,
    )
    if claim.state is state.RUNNING_ELSEWHERE:
        error.retry_after_s = 1.0
    raise error


async def _run_claimed(
    node: nodes.Node, request: requests.Request, call: ServiceCall
) -> ServiceResponse:
    """Run an unrepeatable call under its idempotency key."""
    claim = await node.claims.claim(
        request.caller.customer, call.idempotency_key, call_digest(call)
    )
    node.explanations.add(
        request.request_id,
        request.caller.customer,
        'claim',
        state=claim.state.value,
    )
    if claim.state is not claim_shard.State.GRANTED:
        return _claimed_outcome(claim)
    try:
        response = await _run_once(node, request, call, claim)
    except errors.RequestError as error:
        if error.verdict is verdicts.Verdict.NOT_RUN:
            await node.claims.release(claim)
        raise
    headers = {name: value for name, value in response.headers}
    content_type = headers.get(b'content-type', b'').decode('latin-1')
    await node.claims.finish(
        claim, response.status, content_type, response.body
    )
    return response


async def _run_once(
    node: nodes.Node,
    request: requests.Request,
    call: ServiceCall,
    claim: claimses.ClaimResult | None,
    trying: set[str] | None = None,
) -> ServiceResponse:
    service_relay = ServiceRelay(node, request, call, claim)
    await attempts.run(node, request, service_relay.attempt, trying)
    assert service_relay.response is not None
    return service_relay.response


async def _run_hedged(
    node: nodes.Node, request: requests.Request, call: ServiceCall
) -> ServiceResponse:
    """Run a repeatable call; hedge it on another upstream if it is slow.

    The first response is returned and the other copy is cancelled.
    """
    delay_s = node.retries.hedge_delays.delay_s(call.service, call.repeatable)
    if delay_s is None:
        return await _run_once(node, request, call, None)
    trying: set[str] = set()
    responses: list[ServiceResponse] = []
    failures: list[errors.RequestError] = []

    async def send_copy(scope: trio.CancelScope) -> None:
        try:
            response = await _run_once(node, request, call, None, trying)
        except errors.RequestError as error:
            failures.append(error)
            return
        responses.append(response)
        scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_copy, nursery.cancel_scope)
        await trio.sleep(delay_s)
        first_upstream = next(iter(trying), '')
        customer = request.caller.customer
        has_ended = bool(responses or failures)
        if (
            first_upstream
            and not has_ended
            and node.retries.budget.try_spend(customer, first_upstream)
        ):
            HEDGES.labels(call.service).inc()
            nursery.start_soon(send_copy, nursery.cancel_scope)
    if responses:
        return responses[0]
    raise max(failures, key=lambda error: error.verdict)


async def run(
    node: nodes.Node, request: requests.Request, call: ServiceCall
) -> ServiceResponse:
    """Return the response; raise RequestError with the verdict.

    An unrepeatable call without an idempotency key is sent once.
    """
    if not call.repeatable and call.idempotency_key is not None:
        return await _run_claimed(node, request, call)
    if not call.repeatable:
        return await _run_once(node, request, call, None)
    started_s = node.clock()
    response = await _run_hedged(node, request, call)
    node.retries.hedge_delays.record_latency(
        call.service, node.clock() - started_s
    )
    return response
