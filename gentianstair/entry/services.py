"""Relay calls of plain services, the unrepeatable ones at most once."""

import hashlib
import typing
import urllib.parse

import httpx
import prometheus_client
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import exchange as exchanges
from gentianstair.entry import claim_shard
from gentianstair.entry import claims as claimses
from gentianstair.entry import node as nodes
from gentianstair.entry import relay
from gentianstair.entry import request as requests
from gentianstair.entry import streams
from gentianstair.entry import tries

PATH_PREFIX = '/services/'
HEDGES = prometheus_client.Counter(
    'gentianstair_hedges', 'Copies sent of slow look-ups', ['service']
)
IDEMPOTENCY_HEADER = 'idempotency-key'
MAX_IDEMPOTENCY_KEY_LENGTH = 255
REPEATABLE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})
ALLOWED_METHODS = REPEATABLE_METHODS | {'POST', 'PUT', 'PATCH', 'DELETE'}
REPLAYED_HEADER = (b'idempotency-replayed', b'true')
# Headers between two hops (RFC 9110, 7.6.1), those that name the caller's
# key, and those this relay sets itself; none of them goes on.
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
        """Return whether running it twice does no harm."""
        return self.method in REPEATABLE_METHODS


class ServiceResponse(typing.NamedTuple):
    """What a service answered."""

    status: int
    headers: exchanges.Headers
    body: bytes


def _kept_headers(
    headers: exchanges.Headers, dropped: frozenset[bytes]
) -> exchanges.Headers:
    """Return headers that may pass; those Connection names may not."""
    named = set()
    for name, value in headers:
        if name.lower() == b'connection':
            named |= {part.strip().lower() for part in value.split(b',')}
    return [
        (name.lower(), value)
        for name, value in headers
        if name.lower() not in dropped and name.lower() not in named
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
    """Return the name under which routing knows a service.

    >>> routing_name('stock')
    'service:stock'
    """
    return f'service:{service}'


def check_service_exists(node: nodes.Node, service: str) -> None:
    """Raise RequestError with 404 if no upstream serves a service."""
    if not node.router.subset(routing_name(service)):
        raise errors.RequestError(
            404, 'no-such-service', f'there is no service {service!r}'
        )


def _target(path: str, query: bytes) -> str:
    """Return path and query as they go on.

    Dots would leave the part of the upstream that is meant for callers.
    Other characters than printable ASCII in a query cannot come by HTTP/1.1
    and would end the request line early where they are passed on.
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
    """Return the call; raise RequestError with 400, 404 or 405."""
    if exchange.method not in ALLOWED_METHODS:
        raise errors.RequestError(
            405,
            'method-not-allowed',
            f'use one of {", ".join(sorted(ALLOWED_METHODS))}',
        )
    service, _, path = exchange.path[len(PATH_PREFIX) :].partition('/')
    if not service:
        raise errors.RequestError(404, 'no-such-service', 'no service named')
    target = _target(path, exchange.query)
    return ServiceCall(
        service,
        target,
        exchange.method,
        _kept_headers(exchange.raw_headers, DROPPED_HEADERS),
        body,
        _idempotency_key(exchange),
    )


def call_digest(call: ServiceCall) -> str:
    """Return what tells two different calls under one key apart."""
    parts = [call.method.encode(), call.path.encode(), call.body]
    return hashlib.sha256(b'\0'.join(parts)).hexdigest()


class ServiceRelay:
    """One call on its way to a service and back."""

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

    def _outgoing(self, tried: tries.Try) -> httpx.Request:
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
                'before_send': self._check_claim,
            },
        )

    def _check_claim(self) -> None:
        if self._claim is not None:
            self._node.claims.check_sendable(self._claim)

    async def attempt(self, tried: tries.Try) -> streams.Usage:
        """Make the call once."""
        outgoing = self._outgoing(tried)
        left_s = self._request.work.deadline_s - self._node.clock()
        opened = relay.open_response(self._node, outgoing, left_s)
        async with opened as (found, _):
            if self._call.repeatable or found.headers.get(
                relay.NOT_STARTED_HEADER
            ):
                relay.check_status(found)
            body = await relay.read_all(found)
            headers = _kept_headers(
                found.headers.raw, DROPPED_RESPONSE_HEADERS
            )
            self.response = ServiceResponse(found.status_code, headers, body)
        self._node.usage.count(
            self._request.caller.customer,
            tried.upstream['capacity_class'],
            requests=1,
        )
        tried.first_token()
        return streams.Usage()


def _conflict(kind: str, detail: str, verdict: verdicts.Verdict):
    return errors.RequestError(409, kind, detail, verdict)


def _settled(found: claimses.ClaimResult) -> ServiceResponse:
    """Return the first outcome of a claimed call, or raise what is known."""
    state = claim_shard.State
    if found.state is state.MISMATCH:
        raise errors.RequestError(
            422,
            'idempotency-key-reused',
            'this key came first with another request',
        )
    if found.state is state.FINISHED and found.body is not None:
        headers = [
            (name.encode(), value.encode()) for name, value in found.headers
        ]
        return ServiceResponse(
            found.status, [*headers, REPLAYED_HEADER], found.body
        )
    if found.state is state.FINISHED:
        raise _conflict(
            'outcome-not-kept',
            f'the request ran and answered {found.status}; its body was too '
            'long to keep',
            verdicts.Verdict.RAN,
        )
    error = _conflict(
        'may-have-run',
        'a request with this key was sent before and its outcome is not known',
        verdicts.Verdict.MAY_HAVE_RUN,
    )
    if found.state is state.RUNNING_ELSEWHERE:
        error.retry_after_s = 1.0
    raise error


async def _claimed(
    node: nodes.Node, request: requests.Request, call: ServiceCall
) -> ServiceResponse:
    """Make an unrepeatable call under its idempotency key."""
    found = await node.claims.claim(
        request.caller.customer, call.idempotency_key, call_digest(call)
    )
    node.explanations.add(
        request.request_id,
        request.caller.customer,
        'claim',
        state=found.state.value,
    )
    if found.state is not claim_shard.State.GRANTED:
        return _settled(found)
    try:
        reply = await _once(node, request, call, found)
    except errors.RequestError as error:
        if error.verdict is verdicts.Verdict.NOT_RUN:
            await node.claims.release(found)
        raise
    headers = {name: value for name, value in reply.headers}
    content_type = headers.get(b'content-type', b'').decode('latin-1')
    await node.claims.finish(found, reply.status, content_type, reply.body)
    return reply


async def _once(
    node: nodes.Node,
    request: requests.Request,
    call: ServiceCall,
    claim: claimses.ClaimResult | None,
    trying: set[str] | None = None,
) -> ServiceResponse:
    made = ServiceRelay(node, request, call, claim)
    await tries.run(node, request, made.attempt, trying)
    assert made.response is not None
    return made.response


async def _hedged(
    node: nodes.Node, request: requests.Request, call: ServiceCall
) -> ServiceResponse:
    """Make a look-up, and a copy of it elsewhere if it takes long.

    The first answer counts and ends the other copy.
    """
    delay_s = node.retries.hedges.delay_s(call.service, call.repeatable)
    if delay_s is None:
        return await _once(node, request, call, None)
    trying: set[str] = set()
    replies: list[ServiceResponse] = []
    failures: list[errors.RequestError] = []

    async def copy(scope: trio.CancelScope) -> None:
        try:
            reply = await _once(node, request, call, None, trying)
        except errors.RequestError as error:
            failures.append(error)
            return
        replies.append(reply)
        scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(copy, nursery.cancel_scope)
        await trio.sleep(delay_s)
        first = next(iter(trying), '')
        customer = request.caller.customer
        settled = bool(replies or failures)
        if (
            first
            and not settled
            and node.retries.budget.allow(customer, first)
        ):
            HEDGES.labels(call.service).inc()
            nursery.start_soon(copy, nursery.cancel_scope)
    if replies:
        return replies[0]
    raise max(failures, key=lambda error: error.verdict)


async def run(
    node: nodes.Node, request: requests.Request, call: ServiceCall
) -> ServiceResponse:
    """Return the service's answer; raise RequestError with the verdict.

    Without an idempotency key an unrepeatable call is tried once.
    """
    if not call.repeatable and call.idempotency_key is not None:
        return await _claimed(node, request, call)
    if not call.repeatable:
        return await _once(node, request, call, None)
    started_s = node.clock()
    reply = await _hedged(node, request, call)
    node.retries.hedges.report(call.service, node.clock() - started_s)
    return reply
