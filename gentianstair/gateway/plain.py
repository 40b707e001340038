"""Serve a request of a plain service: one whole answer."""

import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.gateway import forward
from gentianstair.gateway import replicas
from gentianstair.gateway import task as tasks

# A repeatable request is tried elsewhere when a replica is silent for this
# many times the objective, if that leaves as much time again.
SILENCE_OBJECTIVES = 3.0


async def serve(task: tasks.Task) -> forward.Answer:
    """Return a replica's answer; raise RequestError if there is none."""
    while True:
        replica = task.node.placement.choose_plain(task.candidates())
        if replica is None or not task.pay():
            break
        started_s = task.begin(replica)
        try:
            answer = await _try(task, replica)
            task.note(answer.verdict)
            task.succeeded(replica, started_s)
            return answer
        except errors.UpstreamError as error:
            task.failed(replica, error, started_s)
            if not task.may_repeat(error.verdict):
                break
    if task.failure is not None:
        return task.failure
    raise task.give_up()


def _limit_s(task: tasks.Task) -> float:
    """Return how long to wait for one replica."""
    left_s = task.left_s()
    silence_s = SILENCE_OBJECTIVES * task.route.objective_s
    last = task.ran + 1 >= task.route.max_attempts
    if last or not task.route.retryable or left_s < 2 * silence_s:
        return left_s
    return silence_s


async def _try(task: tasks.Task, replica: replicas.Replica) -> forward.Answer:
    """Return the answer of one replica; raise UpstreamError without one."""
    node = task.node
    sent = node.work.begin(replica.name)
    try:
        with trio.move_on_after(_limit_s(task)):
            answer = await forward.ask(node, task.call, task.sending(replica))
            if answer.verdict is verdicts.Verdict.RAN:
                node.usage.count_start(task.customer_name)
            return _checked(task, answer)
    finally:
        node.work.end(sent)
    raise errors.UpstreamError(
        'no answer in time', verdicts.Verdict.MAY_HAVE_RUN
    )


def _checked(task: tasks.Task, answer: forward.Answer) -> forward.Answer:
    """Return an answer that may go on to the caller at once."""
    if answer.verdict is verdicts.Verdict.NOT_RUN:
        raise errors.TurnedAwayError(
            f'it answered {answer.status}', answer.status
        )
    if answer.status >= 500:
        task.failure = answer
        raise errors.UpstreamError(
            f'it answered {answer.status}', answer.verdict
        )
    return answer
