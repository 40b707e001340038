"""Serve a request of a plain service: one whole answer."""

import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.gateway import forward
from gentianstair.gateway import replicas
from gentianstair.gateway import request_state

# A repeatable request is tried elsewhere when a replica is silent for this
# many times the objective, if that leaves as much time again.
SILENCE_OBJECTIVES = 3.0


async def serve(
    request: request_state.RequestState,
) -> forward.ReplicaResponse:
    """Return a replica's answer; raise RequestError if there is none."""
    while True:
        replica = request.node.placement.choose_plain(request.candidates())
        if replica is None or not request.spend_retry():
            break
        started_s = request.begin_attempt(replica)
        try:
            answer = await _try(request, replica)
            request.record_verdict(answer.verdict)
            request.record_success(replica, started_s)
            return answer
        except errors.UpstreamError as error:
            request.record_failure(replica, error, started_s)
            if not request.may_retry(error.verdict):
                break
    if request.failure_response is not None:
        return request.failure_response
    raise request.final_error()


def _limit_s(request: request_state.RequestState) -> float:
    """Return how long to wait for one replica."""
    left_s = request.remaining_s()
    silence_s = SILENCE_OBJECTIVES * request.route.objective_s
    last = request.possible_runs + 1 >= request.route.max_attempts
    if last or not request.route.retryable or left_s < 2 * silence_s:
        return left_s
    return silence_s


async def _try(
    request: request_state.RequestState, replica: replicas.Replica
) -> forward.ReplicaResponse:
    """Return the answer of one replica; raise UpstreamError without one."""
    node = request.node
    sent = node.loads.begin(replica.name)
    try:
        with trio.move_on_after(_limit_s(request)):
            answer = await forward.fetch_response(
                node, request.call, request.make_attempt(replica)
            )
            if answer.verdict is verdicts.Verdict.RAN:
                node.usage.count_start(request.customer_name)
            return _checked(request, answer)
    finally:
        node.loads.end(sent)
    raise errors.UpstreamError(
        'no answer in time', verdicts.Verdict.MAY_HAVE_RUN
    )


def _checked(
    request: request_state.RequestState, answer: forward.ReplicaResponse
) -> forward.ReplicaResponse:
    """Return an answer that may go on to the caller at once."""
    if answer.verdict is verdicts.Verdict.NOT_RUN:
        raise errors.TurnedAwayError(
            f'it answered {answer.status}', answer.status
        )
    if answer.status >= 500:
        request.failure_response = answer
        raise errors.UpstreamError(
            f'it answered {answer.status}', answer.verdict
        )
    return answer
