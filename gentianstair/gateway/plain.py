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
        replica = task.node.placement.plain(task.candidates())
        if replica is None:
            break
        last = await _try(task, replica)
        if isinstance(last, forward.Answer):
            return last
        if not task.may_repeat(last):
            break
    if task.failure is not None:
        return task.failure
    raise task.give_up()


def _limit_s(task: tasks.Task) -> float:
    """Return how long to wait for one replica."""
    left_s = task.left_s()
    silence_s = SILENCE_OBJECTIVES * task.route.objective_s
    last = task.ran + 1 >= task.route.max_attempts
    if last or not task.route.repeatable or left_s < 2 * silence_s:
        return left_s
    return silence_s


async def _try(
    task: tasks.Task, replica: replicas.Replica
) -> forward.Answer | verdicts.Verdict:
    """Return the answer of one replica, or what a failed try means."""
    node = task.node
    started_s = task.begin(replica)
    node.work.begin(replica.name, 0)
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    why = 'no answer in time'
    turned_away = False
    try:
        with trio.move_on_after(_limit_s(task)):
            answer = await forward.ask(node, task.call, task.sending(replica))
            if answer.verdict is verdicts.Verdict.RAN:
                node.usage.began(task.customer_name)
            verdict = answer.verdict
            turned_away = verdict is verdicts.Verdict.NOT_RUN
            why = f'it answered {answer.status}'
            if answer.status < 500 and verdict is verdicts.Verdict.RAN:
                task.judge(replica, True, started_s)
                task.note(verdict)
                return answer
            if verdict is verdicts.Verdict.RAN:
                task.failure = answer
    except errors.UpstreamError as error:
        verdict = error.verdict
        why = str(error)
    finally:
        node.work.end(replica.name)
    if not turned_away:
        task.judge(replica, False, started_s)
    task.note(verdict)
    task.tell(
        'try-failed',
        f'a try failed: {why}',
        replica=replica.name,
        verdict=verdict.name,
        took_s=round(node.clock() - started_s, 3),
    )
    return verdict
