"""Make the errors that end a request without an answer of a replica."""

from gentianstair import errors
from gentianstair import verdict as verdicts

# Least Retry-After when no replica could take a request. By then some
# running requests have ended and the list of replicas is up to date.
MIN_RETRY_AFTER_S = 0.4
_NOT_RUN = verdicts.Verdict.NOT_RUN


def no_time(verdict: verdicts.Verdict, queued_s: float) -> errors.RequestError:
    """Return the error of a request that can't meet its deadline.

    queued_s is the estimated queueing time; an earlier retry would be
    refused too.
    """
    return errors.RequestError(
        503,
        'no-time',
        'the queue is longer than the time to the deadline',
        verdict,
        max(MIN_RETRY_AFTER_S, queued_s),
    )


def no_turn(turn_in_s: float) -> errors.RequestError:
    """Return the error of a request that no limited replica can take."""
    return errors.RequestError(
        503,
        'replica-limits',
        'the replicas take no more requests for now',
        _NOT_RUN,
        max(MIN_RETRY_AFTER_S, turn_in_s),
    )


def all_backed_off(return_in_s: float) -> errors.RequestError:
    """Return the error of a request whose replicas all asked for a pause.

    One of them takes requests again after return_in_s.
    """
    return errors.RequestError(
        503,
        'replica-backoff',
        'the replicas take no requests for now',
        _NOT_RUN,
        max(MIN_RETRY_AFTER_S, return_in_s),
    )


def none_listed() -> errors.RequestError:
    """Return the error of a request that no listed replica can serve."""
    return errors.RequestError(
        503,
        'no-replica',
        'no replica can serve the request',
        _NOT_RUN,
        MIN_RETRY_AFTER_S,
    )


def version_gone() -> errors.RequestError:
    """Return the error of a bound stream, which has nothing to come back for.

    No listed replica has its version.
    """
    return errors.RequestError(
        503, 'version-gone', 'no replica can serve the request', _NOT_RUN
    )


def none_could_take() -> errors.RequestError:
    """Return the error of a request that no replica could take."""
    return errors.RequestError(
        503,
        'no-replica',
        'no replica could take the request',
        _NOT_RUN,
        MIN_RETRY_AFTER_S,
    )


def part_held(names: list[str], wait_s: float) -> errors.RequestError:
    """Return the error of a request with parts that are held back.

    wait_s is the time until one may try them.
    """
    return errors.RequestError(
        503,
        'prompt-part-held',
        f'replicas ended under a part of the prompt: {", ".join(names)}',
        _NOT_RUN,
        max(MIN_RETRY_AFTER_S, wait_s),
    )


def deadline_passed(verdict: verdicts.Verdict) -> errors.RequestError:
    """Return the error of a request without an answer in time."""
    return errors.RequestError(
        504, 'deadline-passed', 'no answer in time', verdict
    )


def replica_failed(verdict: verdicts.Verdict) -> errors.RequestError:
    """Return the error of a request that may have run and got no answer."""
    return errors.RequestError(
        502, 'replica-failed', 'the replica failed', verdict
    )
