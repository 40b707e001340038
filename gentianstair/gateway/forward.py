"""Send a call to one replica and read its response."""

import collections.abc
import contextlib
import functools
import typing

import httpx
import loguru
import prometheus_client
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import byte_account
from gentianstair.core import refusals
from gentianstair.gateway import calls
from gentianstair.gateway import end_proofs
from gentianstair.gateway import node as nodes
from gentianstair.gateway import replica_client
from gentianstair.gateway import replicas
from gentianstair.generated import events
from gentianstair.peers import tunnel
from gentianstair.platform import denials
from gentianstair.platform import http_codec
from gentianstair.upstreams import transport

# A replica that has lost power or is partitioned does not refuse connections,
# so the connect timeout ends the attempt and the request can go elsewhere.
CONNECT_TIMEOUT_S = 0.5
MAX_RESPONSE_BYTES = 8 * 1024 * 1024

UNPROVEN_ENDS = prometheus_client.Counter(
    'gentianstair_unproven_ends',
    'Answers without a length that nothing shows to be whole',
    ['state'],
)


class ReplicaResponse(typing.NamedTuple):
    """A whole response of a replica, as it goes on to the caller."""

    status: int
    headers: calls.Headers
    body: bytes
    verdict: verdicts.Verdict
    # Whether its replica asks for a pause.
    asks_pause: bool = False
    # Whether it says that nothing ran, as proof or not.
    denies: bool = False
    # Whether its body had no length, so that it may be a part.
    ends_with_connection: bool = False

    @property
    def may_be_part(self) -> bool:
        """Return whether its end has to be proven, for its caller."""
        ran = self.verdict is not verdicts.Verdict.NOT_RUN
        return ran and self.ends_with_connection

    @property
    def is_failure(self) -> bool:
        """Return whether another replica may have a better answer."""
        is_odd = self.denies and self.status >= http_codec.MIN_ERROR_STATUS
        return is_odd or refusals.is_failure(self.status)


def ejector_key(service: str, replica: str) -> str:
    """Return the name under which the ejector knows a replica."""
    return f'{service}/{replica}'


@contextlib.asynccontextmanager
async def open_response(
    node: nodes.Node, call: calls.Call, attempt: calls.Attempt
) -> collections.abc.AsyncIterator[httpx.Response]:
    """Yield a response once its headers are there; close it on exit.

    Closing it early cancels the work. Raise UpstreamError with a verdict on
    whether the request may have run.
    """
    attempt = attempt._replace(
        before_send=functools.partial(_check_send, node, attempt)
    )
    request = http_codec.encode_attempt(call, attempt, CONNECT_TIMEOUT_S)
    request.extensions['accepts'] = attempt.accepts_connection
    request.extensions['ask_first'] = attempt.question
    response = await node.replica_client.send(
        attempt.replica.run, request, is_callers=True
    )
    try:
        _log_peer(call, attempt, response)
        denials.record_odd(response, call.request_id, attempt.replica.name)
        if attempt.record_answer is not None:
            attempt.record_answer(_answer_of(response))
        yield response
    finally:
        with trio.CancelScope(shield=True):
            await response.stream.aclose()


def connection_of(response: httpx.Response) -> transport.Connection:
    """Return the connection that a response came on."""
    extensions = response.extensions
    return transport.Connection(
        extensions['connection'], extensions['opened_at']
    )


def _answer_of(response: httpx.Response) -> calls.Answer:
    """Return what a response's headers say of its attempt."""
    return calls.Answer(
        response.status_code,
        denials.verdict_of(response),
        response.extensions['was_kept'],
        ends_with_connection(response),
    )


def _check_send(node: nodes.Node, attempt: calls.Attempt) -> None:
    """Do what comes just before the first byte of an attempt."""
    node.upstream_permits.check_usable(attempt.replica.run, attempt.permit)
    if attempt.before_send is not None:
        attempt.before_send()


def _log_peer(
    call: calls.Call, attempt: calls.Attempt, response: httpx.Response
) -> None:
    """Log the peer that carries the connection, if one does."""
    found = tunnel.tunnel_of(response.extensions['connection'])
    if found is not None:
        loguru.logger.bind(
            event=events.THROUGH_PEER,
            request_id=call.request_id,
            replica=attempt.replica.name,
            peer=found.peer,
        ).info('reached a replica through a peer')


async def read_body(
    response: httpx.Response, holding: byte_account.Holding | None = None
) -> bytes:
    """Return a whole body; raise UpstreamError if it is incomplete.

    Raise RequestError if holding has no room for it.
    """
    if holding is None:
        return await transport.read_all(response, MAX_RESPONSE_BYTES)

    # Room for all of it, so that no two wait for each other's rest.
    reserved_bytes = _length(response)
    if not await holding.wait_to_grow(reserved_bytes):
        raise byte_account.no_room_for_answer()

    def hold(size_bytes: int) -> None:
        nonlocal reserved_bytes
        reserved_bytes -= size_bytes
        if reserved_bytes >= 0:
            return
        if not holding.grow(-reserved_bytes):
            raise byte_account.no_room_for_answer()
        reserved_bytes = 0

    return await transport.read_all(response, MAX_RESPONSE_BYTES, hold)


def ends_with_connection(response: httpx.Response) -> bool:
    """Return whether a response's body has neither a length nor chunks."""
    return response.extensions['ends_with_connection']


async def check_end(
    node: nodes.Node,
    call: calls.Call,
    replica: replicas.Replica,
) -> None:
    """Check that an answer without a length, which has ended, is whole.

    It ends in order, too, if its replica's process is killed. Raise
    UpstreamError unless the replica still runs.
    """
    state = await end_proofs.state_of(
        functools.partial(fetch_report, node.replica_client), replica
    )
    if state is end_proofs.State.RUNS:
        return
    UNPROVEN_ENDS.labels(state.value).inc()
    loguru.logger.bind(
        event=events.END_UNPROVEN,
        request_id=call.request_id,
        replica=replica.name,
        started_ms=replica.started_ms,
        state=state.value,
    ).info('nothing shows that an answer without a length is whole')
    if state is end_proofs.State.ENDED:
        raise errors.ConnectionBrokenError('the replica ended as its answer')
    raise errors.UnprovenEndError('the end of an answer is not proven')


def _length(response: httpx.Response) -> int:
    """Return the bytes to expect by a response's headers, 0 if unknown."""
    text = response.headers.get('content-length', '')
    if not (text.isascii() and text.isdigit()):
        return 0
    return min(int(text), MAX_RESPONSE_BYTES)


async def read_response(
    response: httpx.Response, holding: byte_account.Holding | None = None
) -> ReplicaResponse:
    """Return a response with its body; raise UpstreamError or RequestError.

    That nothing has run is said by the headers, whatever becomes of the body.
    """
    verdict = denials.verdict_of(response)
    try:
        body = await read_body(response, holding)
    except errors.UpstreamError as error:
        if verdict is not verdicts.Verdict.NOT_RUN:
            raise
        raise errors.UpstreamRejectedError(
            f'rejected, then {error}',
            response.status_code,
            http_codec.asks_pause(response),
        ) from error
    return ReplicaResponse(
        response.status_code,
        http_codec.response_headers(response),
        body,
        verdict,
        http_codec.asks_pause(response),
        denials.denies(response),
        ends_with_connection(response),
    )


def failed_error(response: ReplicaResponse) -> errors.UpstreamError:
    """Return the error of an attempt that got this response."""
    message = f'the replica responded with {response.status}'
    if response.verdict is verdicts.Verdict.NOT_RUN:
        return errors.UpstreamRejectedError(
            message, response.status, response.asks_pause
        )
    if response.asks_pause:
        return errors.UpstreamPauseError(message, response.verdict)
    return errors.UpstreamError(message, response.verdict)


async def fetch_response(
    node: nodes.Node,
    call: calls.Call,
    attempt: calls.Attempt,
    holding: byte_account.Holding | None = None,
) -> ReplicaResponse:
    """Send a call and return its whole response; raise UpstreamError."""
    async with open_response(node, call, attempt) as response:
        return await read_response(response, holding)


async def fetch_report(
    client: replica_client.ReplicaClient,
    replica: replicas.Replica,
    limit_s: float,
    fresh: bool = False,
) -> calls.Report:
    """Return what the process at a replica's address reports of itself.

    Raise UpstreamError, or DecodeError if nothing comes in limit_s.
    """
    request = http_codec.report_request(
        replica.address, replica.name, CONNECT_TIMEOUT_S, fresh
    )
    with trio.move_on_after(limit_s):
        response = await client.send(replica.run, request)
        try:
            body = await read_body(response)
        finally:
            await response.stream.aclose()
        return calls.Report(
            response.status_code, body, response.extensions['connection']
        )
    raise errors.DecodeError('no report in time')


async def release_kv(
    node: nodes.Node, replica: str, source: calls.KvSource
) -> None:
    """Free a prefilled KV cache that no replica will fetch."""
    known = node.registry.get(replica)
    if known and not await node.upstream_permits.acquire(known.run):
        _log_not_freed(replica, 'no permit')
        return
    request = http_codec.release_kv_request(replica, source, CONNECT_TIMEOUT_S)
    reason = 'no answer in time'
    with trio.move_on_after(CONNECT_TIMEOUT_S * 2):
        try:
            response = await node.replica_client.send(
                known.run if known else None, request
            )
            try:
                await read_body(response)
                return
            finally:
                await response.stream.aclose()
        except errors.UpstreamError as error:
            reason = str(error)
    _log_not_freed(replica, reason)


def _log_not_freed(replica: str, reason: str) -> None:
    """Log a KV cache that its replica drops when its hold expires."""
    loguru.logger.bind(event=events.KV_NOT_FREED, replica=replica).info(
        'a KV cache was not freed: {}', reason
    )
