"""Test that entries tell 408, 421, 429 and 503 only of what did not run."""

import functools
import json

import pytest

from gentianstair import errors
from gentianstair import verdict
from gentianstair.core import refusals
from gentianstair.entry import services
from gentianstair.entry import upstream_permits
from test.entry import test_bad_input

REGISTER, STOCK = '/services/stock/register', '/services/stock/7'


def refusal(status):
    """Return an upstream's answer that doesn't say that nothing started."""
    return b'HTTP/1.1 %d No\r\ncontent-length: 2\r\n\r\nno' % status


def asks():
    """Return what is asked, by the name of its row."""
    completion = test_bad_input.COMPLETION
    return {
        'once': (b'x', [], REGISTER, 'POST'),
        'repeatable': (b'', [], STOCK, 'GET'),
        'whole': (completion, [], test_bad_input.CHAT_PATH, 'POST'),
        'stream': (
            {**completion, 'stream': True},
            [],
            test_bad_input.CHAT_PATH,
            'POST',
        ),
    }


async def send(entry, ask):
    """Send one request; return status and body."""
    body, headers, path, method = ask
    return await entry.ask(body, *headers, path=path, method=method)


@pytest.mark.parametrize('status', sorted(refusals.STATUSES))
@pytest.mark.parametrize('ask', asks().values(), ids=asks())
async def test_refusal_of_what_may_have_run_is_told_as_a_failure(ask, status):
    # Guards against callers who take what may have run for not run.
    async with test_bad_input.open_entry() as entry:
        entry.upstream.odd = refusal(status)
        told, body = await send(entry, ask)
        assert entry.upstream.requests
    assert told == refusals.TOLD_STATUS
    problem = json.loads(body)
    assert problem['verdict'] == 'MAY_HAVE_RUN'
    assert problem['status'] == told


def kept_outcome():
    """Return a refusal that was kept as the outcome of a call that ran."""
    return services.ServiceResponse(503, [], b'no')


def no_upstream_left():
    """Raise what ends a request after an attempt that may have run."""
    raise errors.RequestError(
        503, 'no-upstream', 'none left', verdict.Verdict.MAY_HAVE_RUN
    )


@pytest.mark.parametrize(
    'outcome', [kept_outcome, no_upstream_left], ids=['kept', 'none-left']
)
async def test_each_outcome_passes_the_check(monkeypatch, outcome):
    # Guards against ways to a caller that refuse what may have run.
    async def run(*_):
        return outcome()

    monkeypatch.setattr(services, 'run', run)
    async with test_bad_input.open_entry() as entry:
        told, _ = await send(entry, asks()['once'])
    assert told == refusals.TOLD_STATUS


@pytest.mark.parametrize(
    ('ask', 'told'),
    [
        (asks()['once'], 502),
        ((b'x', [b'idempotency-key: k1'], REGISTER, 'POST'), 503),
        (asks()['repeatable'], 503),
    ],
    ids=['once', 'keyed', 'repeatable'],
)
async def test_promise_of_what_may_run_once_rests_on_nothing_sent(
    monkeypatch, ask, told
):
    # Guards against a promise that rests on the word of an upstream alone.
    async def run(_, request, __):
        attempt = request.runs.begin()
        attempt.record_send()
        attempt.record_answer(verdict.Verdict.NOT_RUN, 503)
        raise errors.RequestError(503, 'no-upstream', 'none left')

    monkeypatch.setattr(services, 'run', run)
    async with test_bad_input.open_entry() as entry:
        status, _ = await send(entry, ask)
    assert status == told


async def test_what_may_not_run_at_all_is_refused(monkeypatch):
    # Guards against callers who are told of a failure, and do not come back.
    async def run(*_):
        raise errors.RequestError(503, 'no-upstream', 'none')

    monkeypatch.setattr(services, 'run', run)
    async with test_bad_input.open_entry() as entry:
        test_bad_input.check_refusal(await send(entry, asks()['once']), 503)


ERRORS = {
    'refusal': functools.partial(errors.RequestError, 503, 'odd', 'odd'),
    'over-limit': functools.partial(errors.RequestError, 429, 'odd', 'odd'),
    'not-run': functools.partial(
        errors.UpstreamError, 'odd', verdict.Verdict.NOT_RUN
    ),
    'unreachable': functools.partial(errors.UnreachableError, 'odd'),
}


@pytest.mark.parametrize('error', ERRORS)
@pytest.mark.parametrize('ask', asks().values(), ids=asks())
async def test_error_after_the_send_is_no_proof_of_no_run(
    monkeypatch, ask, error
):
    # Guards against a refusal, or a second run, of what was sent already.
    def fail(*_):
        raise ERRORS[error]()

    monkeypatch.setattr(upstream_permits.EntryPermits, 'record', fail)
    async with test_bad_input.open_entry() as entry:
        told, body = await send(entry, ask)
        assert entry.upstream.requests
    assert told == refusals.TOLD_STATUS
    assert json.loads(body)['verdict'] == 'MAY_HAVE_RUN'
