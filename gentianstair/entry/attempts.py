"""Try upstreams for one request until one completes it or none may."""

import collections.abc
import typing

import loguru
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.entry import node as nodes
from gentianstair.entry import request as requests
from gentianstair.entry import routing
from gentianstair.entry import streams
from gentianstair.generated import messages

NO_UPSTREAM_RETRY_AFTER_S = 1.0
UPSTREAM_FAILED_RETRY_AFTER_S = 1.0


class Attempt(typing.NamedTuple):
    """One try at an upstream, and how it tells its progress.

    ``reader`` is the engine that is to read the prompt first, if another
    one is.
    """

    upstream: messages.UpstreamValue
    name: str
    first_token: collections.abc.Callable[[], None]
    prefill_upstream: messages.UpstreamValue | None = None


RunAttempt = collections.abc.Callable[
    [Attempt], collections.abc.Awaitable[streams.Usage]
]


def _excluded(
    node: nodes.Node, names: list[str], failed: set[str]
) -> frozenset[str]:
    now_s = node.clock()
    out = {n for n in names if not node.ejector.is_available(n, now_s)}
    return frozenset(out | failed)


def _choose(
    node: nodes.Node, request: requests.Request, failed: set[str]
) -> routing.Choice | None:
    now_s = node.clock()
    names = node.router.subset(request.work.model)
    exclude = _excluded(node, names, failed)
    choice = node.router.choose(request.work, now_s, exclude)
    if choice is None and failed:
        # All others failed too; one that failed may be the only one left.
        exclude = _excluded(node, names, set())
        choice = node.router.choose(request.work, now_s, exclude)
    return choice


async def _one(
    node: nodes.Node,
    request: requests.Request,
    choice: routing.Choice,
    run_attempt: RunAttempt,
) -> streams.Usage:
    """Make one try and tell router and ejector how it went."""
    upstream = node.view.upstream(choice.upstream)
    if upstream is None:
        raise errors.UpstreamError('withdrawn', verdicts.Verdict.NOT_RUN)
    started_s = node.clock()
    first_s: float | None = None

    def first_token() -> None:
        nonlocal first_s
        first_s = node.clock()
        node.router.first_token(choice, request.work, first_s)

    node.router.started(choice, request.work, started_s)
    node.ejector.record_start(choice.upstream, started_s)
    usage = streams.Usage()
    failed = False
    try:
        reader = None
        if choice.prefill_upstream:
            reader = node.view.upstream(choice.prefill_upstream)
        usage = await run_attempt(
            Attempt(upstream, choice.upstream, first_token, reader)
        )
    except errors.UpstreamError:
        failed = True
        # The true time: a time-out counted as a fast failure would let
        # slow upstreams be ejected like dead ones.
        now_s = node.clock()
        node.ejector.record_outcome(
            choice.upstream, False, now_s - started_s, now_s
        )
        raise
    finally:
        node.router.finished(
            choice,
            request.work,
            node.clock(),
            usage.cached_tokens,
            usage.output_tokens,
            failed,
        )
    latency_s = (first_s or node.clock()) - started_s
    node.ejector.record_outcome(choice.upstream, True, latency_s, node.clock())
    return usage


def _explain(
    node: nodes.Node,
    request: requests.Request,
    step: str,
    /,
    **detail: typing.Any,
) -> None:
    node.explanations.add(
        request.request_id, request.caller.customer, step, **detail
    )


def _none_left(verdict: verdicts.Verdict) -> errors.RequestError:
    return errors.RequestError(
        503,
        'no-upstream',
        'no upstream can take the request now',
        verdict,
        NO_UPSTREAM_RETRY_AFTER_S,
    )


def _final(error: errors.UpstreamError, verdict: verdicts.Verdict):
    return errors.RequestError(
        502,
        'upstream-failed',
        str(error),
        verdict,
        UPSTREAM_FAILED_RETRY_AFTER_S,
    )


async def run(
    node: nodes.Node,
    request: requests.Request,
    run_attempt: RunAttempt,
    in_use: set[str] | None = None,
) -> streams.Usage:
    """Return the usage once an upstream has completed the request.

    in_use holds the upstreams that a hedge of this request is at; a copy
    goes to another one.

    Raise RequestError with the verdict of all tries together.
    """
    verdict = verdicts.Verdict.NOT_RUN
    failed: set[str] = set()
    customer = request.caller.customer
    in_use = set() if in_use is None else in_use
    made = 0
    while True:
        choice = _choose(node, request, failed | in_use)
        if choice is None:
            _explain(node, request, 'no-upstream', failed=sorted(failed))
            raise _none_left(verdict)
        made += 1
        if made == 1:
            node.retries.budget.record_request(customer, choice.upstream)
        _explain(node, request, 'route', **choice._asdict())
        in_use.add(choice.upstream)
        try:
            return await _one(node, request, choice, run_attempt)
        except errors.UpstreamError as error:
            verdict = verdicts.combine(verdict, error.verdict)
            failed.add(choice.upstream)
            again = node.retries.decide(
                error,
                customer,
                choice.upstream,
                made,
                request.work.repeatable,
                request.work.deadline_s - node.clock(),
            )
            _explain(
                node, request, 'failed', why=str(error), **again._asdict()
            )
            loguru.logger.bind(
                request_id=request.request_id,
                customer=customer,
                upstream=choice.upstream,
                verdict=verdict.name,
            ).warning('a try failed: {}', error)
            if not again.retry:
                raise _final(error, verdict) from error
        finally:
            in_use.discard(choice.upstream)
        await trio.sleep(again.wait_s)
