"""Run one request's attempts until one succeeds or no retry is allowed."""

import collections.abc
import functools
import typing

import loguru
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import run_verdict
from gentianstair.core import upstream_permits
from gentianstair.entry import node as nodes
from gentianstair.entry import request as requests
from gentianstair.entry import routing
from gentianstair.entry import streams
from gentianstair.generated import messages

NO_UPSTREAM_RETRY_AFTER_S = 1.0
UPSTREAM_FAILED_RETRY_AFTER_S = 1.0
# How long a request waits for its turn at an upstream that names a limit.
MAX_TURN_WAIT_S = 0.5
# How long after its first token an attempt may still have ended its upstream.
MIN_PROGRESS_S = 1.0


class Attempt(typing.NamedTuple):
    """One attempt at an upstream; call ``first_token`` at its first token.

    ``prefill_upstream`` runs the prefill if ``upstream`` should not. Call
    ``check_send`` just before the first byte, with the upstream's permit.
    ``run`` is told of that byte and of the upstream's own answer.
    """

    upstream: messages.UpstreamValue
    name: str
    first_token: collections.abc.Callable[[], None]
    prefill_upstream: messages.UpstreamValue | None = None
    check_send: collections.abc.Callable[[], None] | None = None
    run: run_verdict.AttemptRun | None = None


class _PermittedChoice(typing.NamedTuple):
    """Where to send a request, and the permit of the upstream."""

    choice: routing.Choice
    permit: upstream_permits.Permit


RunAttempt = collections.abc.Callable[
    [Attempt], collections.abc.Awaitable[streams.Usage]
]


def _excluded(
    node: nodes.Node, names: list[str], failed: set[str]
) -> frozenset[str]:
    now_s = node.clock()
    ejected = {n for n in names if not node.ejector.is_available(n, now_s)}
    return frozenset(ejected | failed)


def _choose(
    node: nodes.Node,
    request: requests.Request,
    failed: set[str],
    denied: set[str],
) -> routing.Choice | None:
    """Return where to send a request; never to denied upstreams."""
    now_s = node.clock()
    names = node.router.subset(request.work.model)
    denied = denied | node.permits.backed_off(names)
    exclude = _excluded(node, names, failed | denied)
    choice = node.router.choose(request.work, now_s, exclude)
    if choice is None and failed:
        # No other is left, so allow those that already failed.
        exclude = _excluded(node, names, denied)
        choice = node.router.choose(request.work, now_s, exclude)
    return choice


async def _choose_permitted(
    node: nodes.Node, request: requests.Request, failed: set[str]
) -> _PermittedChoice | None:
    """Return where to send a request, with permits for it.

    Raise RequestError if only upstreams with a limit are left, and none of
    them has a permit in time.
    """
    names = node.router.subset(request.work.model)
    denied = node.permits.denied(names)
    while True:
        choice = _choose(node, request, failed, denied)
        if choice is None:
            break
        prefill = choice.prefill_upstream
        permit = await node.permits.acquire(
            choice.upstream, request.request_id
        )
        if permit is None:
            denied.add(choice.upstream)
        elif prefill and not await node.permits.acquire(
            prefill, request.request_id
        ):
            denied.add(prefill)
        else:
            return _PermittedChoice(choice, permit)
    denied -= failed | node.permits.backed_off(names)
    if not denied:
        return None
    return await _wait_for_turn(node, request, denied)


async def _wait_for_turn(
    node: nodes.Node, request: requests.Request, denied: set[str]
) -> _PermittedChoice:
    """Return the choice of a limited upstream once its permit has come.

    Raise RequestError if none comes in time.
    """
    left_s = request.work.deadline_s - node.clock()
    permit = await node.permits.wait_for_turn(
        denied, request.request_id, min(MAX_TURN_WAIT_S, left_s / 2)
    )
    if permit is not None:
        names = set(node.router.subset(request.work.model))
        choice = node.router.choose(
            request.work, node.clock(), frozenset(names - {permit.upstream})
        )
        if choice is not None:
            return _PermittedChoice(choice, permit)
    raise errors.RequestError(
        503,
        'upstream-limits',
        'the upstreams take no more requests for now',
        retry_after_s=max(
            NO_UPSTREAM_RETRY_AFTER_S, node.permits.return_in_s(denied)
        ),
    )


async def _run_attempt(
    node: nodes.Node,
    request: requests.Request,
    permitted: _PermittedChoice,
    run_attempt: RunAttempt,
    run: run_verdict.AttemptRun,
) -> streams.Usage:
    """Run one attempt; report its outcome to the router and the ejector."""
    choice = permitted.choice
    upstream = node.view.upstream(choice.upstream)
    if upstream is None:
        raise errors.UpstreamError('withdrawn', verdicts.Verdict.NOT_RUN)
    started_s = node.clock()
    first_token_s: float | None = None

    def first_token() -> None:
        nonlocal first_token_s
        first_token_s = node.clock()
        node.router.first_token(choice, request.work, first_token_s)

    node.router.started(choice, request.work, started_s)
    node.ejector.record_start(choice.upstream, started_s)
    usage = streams.Usage()
    failed = False
    try:
        reader = None
        if choice.prefill_upstream:
            reader = node.view.upstream(choice.prefill_upstream)
        usage = await run_attempt(
            Attempt(
                upstream,
                choice.upstream,
                first_token,
                reader,
                functools.partial(node.permits.check_usable, permitted.permit),
                run,
            )
        )
    except errors.NoLongerSendableError:
        # Nothing was sent, and nothing is known of the upstream.
        failed = True
        raise
    except errors.UpstreamError as error:
        failed = True
        # The ejector treats timeouts and fast failures differently, so
        # record the real duration.
        now_s = node.clock()
        if not isinstance(error, errors.UpstreamPauseError):
            node.ejector.record_outcome(
                choice.upstream, False, now_s - started_s, now_s
            )
        if first_token_s and now_s - first_token_s >= MIN_PROGRESS_S:
            # An upstream that wrote for so long did not end by this request.
            raise errors.UpstreamError(str(error), error.verdict) from error
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
    latency_s = (first_token_s or node.clock()) - started_s
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


def _no_upstream_error(
    node: nodes.Node, request: requests.Request, verdict: verdicts.Verdict
) -> errors.RequestError:
    back_in_s = 0.0
    names = node.router.subset(request.work.model)
    backed_off = node.permits.backed_off(names)
    if backed_off:
        back_in_s = node.permits.back_in_s(backed_off)
    return errors.RequestError(
        503,
        'no-upstream',
        'no upstream can take the request now',
        verdict,
        max(NO_UPSTREAM_RETRY_AFTER_S, back_in_s),
    )


def _upstream_failed_error(
    error: errors.UpstreamError, verdict: verdicts.Verdict
):
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

    in_use is shared by the hedged copies of a request. It holds the
    upstreams that are running one, so that each copy goes to another.

    Raise RequestError with the combined verdict of all attempts.
    """
    runs = request.runs or run_verdict.RunVerdict()
    failed: set[str] = set()
    customer = request.caller.customer
    in_use = set() if in_use is None else in_use
    attempt_count = ended_upstreams = 0
    while True:
        node.held_requests.check(request, runs.verdict)
        try:
            permitted = await _choose_permitted(node, request, failed | in_use)
        except errors.RequestError as error:
            error.verdict = runs.verdict
            raise
        if permitted is None:
            _explain(node, request, 'no-upstream', failed=sorted(failed))
            raise _no_upstream_error(node, request, runs.verdict)
        choice = permitted.choice
        attempt_count += 1
        if attempt_count == 1:
            node.retries.budget.record_request(customer, choice.upstream)
        _explain(node, request, 'route', **choice._asdict())
        in_use.add(choice.upstream)
        sent_s = node.clock()
        run = runs.begin()
        try:
            usage = await _run_attempt(
                node, request, permitted, run_attempt, run
            )
            node.held_requests.record_answer(request)
            return usage
        except errors.RequestError as error:
            error.verdict = verdicts.combine(error.verdict, runs.verdict)
            raise
        except errors.UpstreamError as error:
            run.raise_to(error.verdict)
            error.verdict = run.verdict
            failed.add(choice.upstream)
            if isinstance(error, errors.ConnectionBrokenError):
                ended_upstreams += 1
                node.held_requests.record_end(request, choice.upstream, sent_s)
            decision = node.retries.decide(
                error,
                customer,
                choice.upstream,
                attempt_count,
                request.work.repeatable,
                request.work.deadline_s - node.clock(),
                ended_upstreams,
            )
            _explain(
                node, request, 'failed', why=str(error), **decision._asdict()
            )
            loguru.logger.bind(
                request_id=request.request_id,
                customer=customer,
                upstream=choice.upstream,
                verdict=runs.verdict.name,
            ).warning('a try failed: {}', error)
            if not decision.retry:
                raise _upstream_failed_error(error, runs.verdict) from error
        finally:
            in_use.discard(choice.upstream)
        await trio.sleep(decision.wait_s)
