"""Serve a unary request: one whole response, with retries."""

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.gateway import forward
from gentianstair.gateway import late_attempt
from gentianstair.gateway import replicas
from gentianstair.gateway import request_state
from gentianstair.gateway import retry_ends

# An attempt is late after this many times the route's objective. It is then
# retried elsewhere, if a retry is possible and had as much time at the start.
LATE_OBJECTIVES = 3.0
MIN_FAILURE_STATUS = 400


async def serve(
    request: request_state.RequestState,
) -> forward.ReplicaResponse:
    """Return a replica's response; raise RequestError if there is none."""
    while True:
        replica = await _choose(request)
        if replica is None:
            request.record_no_retry(retry_ends.NoRetry.NO_REPLICA)
            break
        if not request.spend_retry():
            break
        started_s = request.begin_attempt(replica)
        try:
            response = await _attempt(request, replica, started_s)
            request.record_attempt_end()
            request.record_success(replica, started_s)
            return response
        except errors.UpstreamError as error:
            request.record_failure(replica, error, started_s)
            await request.ends.wait_for_check()
            if not request.may_retry(error):
                break
    if request.failure_response is not None:
        return request.failure_response
    raise request.final_error()


async def _choose(
    request: request_state.RequestState,
) -> replicas.Replica | None:
    """Return a replica of which there is a permit, None if there is none."""
    node = request.node
    while True:
        replica = node.placement.choose_unary(
            request.choices.candidates(), node.recent_rejections.shares()
        )
        if replica is None:
            if not await request.wait_for_turn():
                return None
        elif await request.permits.acquire(replica):
            return replica


def _reserve_retry(request: request_state.RequestState, late_s: float) -> bool:
    """Pay for a retry if it has as much time as the late attempt had."""
    return request.remaining_s() >= late_s and request.reserve_retry()


def _is_worth_replacing(
    request: request_state.RequestState, late_s: float
) -> bool:
    """Return whether a retry has as much time as the late attempt had."""
    return (
        request.may_replace_attempt() and request.remaining_s() >= 2 * late_s
    )


async def _attempt(
    request: request_state.RequestState,
    replica: replicas.Replica,
    started_s: float,
) -> forward.ReplicaResponse:
    """Return the response of one replica; raise UpstreamError on failure."""
    node = request.node
    late_s = LATE_OBJECTIVES * request.route.objective_s
    attempt = late_attempt.Attempt(
        lambda: started_s + late_s - node.clock(),
        lambda: _reserve_retry(request, late_s),
        lambda: request.record_late(replica, started_s),
    )
    found: list[forward.ReplicaResponse] = []

    async def fetch() -> None:
        call = request.make_attempt(replica)
        found.append(
            await forward.fetch_response(
                node, request.call, call, request.exchange.holding
            )
        )

    load = node.load_tracker.begin(replica.name)
    try:
        if not _is_worth_replacing(request, late_s):
            await fetch()
        elif not await late_attempt.run_unless_replaced(fetch, attempt):
            if not request.runs.latest.was_sent:
                raise errors.UnreachableError('no connection in time')
            raise errors.UpstreamError(
                'no answer in time', verdicts.Verdict.MAY_HAVE_RUN
            )
    finally:
        node.load_tracker.end(load)
    (response,) = found
    if response.may_be_part:
        await forward.check_end(node, request.call, replica)
    if response.verdict is verdicts.Verdict.RAN:
        node.usage_counter.count_start(request.customer_name)
        if response.status < MIN_FAILURE_STATUS:
            request.parts.record_answer()
    return _check_response(request, response)


def _check_response(
    request: request_state.RequestState, response: forward.ReplicaResponse
) -> forward.ReplicaResponse:
    """Return a response for the caller; raise if it is a failure."""
    if response.verdict is verdicts.Verdict.NOT_RUN:
        raise forward.failed_error(response)
    if response.is_failure:
        request.failure_response = response
        raise forward.failed_error(response)
    return response
