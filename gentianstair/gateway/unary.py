"""Serve a unary request: one whole response, with retries."""

import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.gateway import forward
from gentianstair.gateway import replicas
from gentianstair.gateway import request_state

# A retryable request is retried elsewhere when a replica takes this many
# times the route's objective, if at least as much time remains for the retry.
ATTEMPT_TIMEOUT_OBJECTIVES = 3.0


async def serve(
    request: request_state.RequestState,
) -> forward.ReplicaResponse:
    """Return a replica's response; raise RequestError if there is none."""
    while True:
        replica = request.node.placement.choose_unary(request.candidates())
        if replica is None or not request.spend_retry():
            break
        started_s = request.begin_attempt(replica)
        try:
            response = await _attempt(request, replica)
            request.record_verdict(response.verdict)
            request.record_success(replica, started_s)
            return response
        except errors.UpstreamError as error:
            request.record_failure(replica, error, started_s)
            if not request.may_retry(error.verdict):
                break
    if request.failure_response is not None:
        return request.failure_response
    raise request.final_error()


def _attempt_timeout_s(request: request_state.RequestState) -> float:
    """Return how long to wait for one replica."""
    remaining_s = request.remaining_s()
    timeout_s = ATTEMPT_TIMEOUT_OBJECTIVES * request.route.objective_s
    is_last = request.possible_runs + 1 >= request.route.max_attempts
    if is_last or not request.route.retryable or remaining_s < 2 * timeout_s:
        return remaining_s
    return timeout_s


async def _attempt(
    request: request_state.RequestState, replica: replicas.Replica
) -> forward.ReplicaResponse:
    """Return the response of one replica; raise UpstreamError on failure."""
    node = request.node
    load = node.load_tracker.begin(replica.name)
    try:
        with trio.move_on_after(_attempt_timeout_s(request)):
            response = await forward.fetch_response(
                node, request.call, request.make_attempt(replica)
            )
            if response.verdict is verdicts.Verdict.RAN:
                node.usage_counter.count_start(request.customer_name)
            return _check_response(request, response)
    finally:
        node.load_tracker.end(load)
    raise errors.UpstreamError(
        'no answer in time', verdicts.Verdict.MAY_HAVE_RUN
    )


def _check_response(
    request: request_state.RequestState, response: forward.ReplicaResponse
) -> forward.ReplicaResponse:
    """Return a response for the caller; raise if it is a failure."""
    if response.verdict is verdicts.Verdict.NOT_RUN:
        raise errors.UpstreamRejectedError(
            f'the replica responded with {response.status}', response.status
        )
    if response.status >= 500:
        request.failure_response = response
        raise errors.UpstreamError(
            f'the replica responded with {response.status}', response.verdict
        )
    return response
