"""Test that each place that may send a refusal is one of those known."""

import ast
import contextlib
import pathlib

import pytest
import trio

from gentianstair import gateway as package
from gentianstair import verdict as verdicts
from gentianstair.core import refusals
from gentianstair.core import run_verdict
from standins.site import site as sites
from test.gateway import gateways

SOURCES = pathlib.Path(package.__file__).parent.parent
SENDS = ('start', 'respond', 'send_error')
# Where a status goes to a caller, and why it can't refuse what may have run.
DOORS = {
    ('core/exchange.py', 'respond'): 'its callers are listed',
    ('core/exchange.py', 'send_error'): 'its callers are listed',
    (
        'gateway/handler.py',
        '_respond',
    ): 'asks for the verdict, and what was sent',
    ('gateway/streaming.py', '_start_response'): 'sends 200 only',
    ('gateway/monitoring.py', '_not_found'): 'no request of a caller',
    ('gateway/monitoring.py', 'serve'): 'no request of a caller',
    ('gateway/operator_parts.py', '_respond'): 'no request of a caller',
    (
        'entry/handler.py',
        '_send_failure',
    ): 'asks for the verdict, and what was sent',
    ('entry/handler.py', '_send_response'): 'asks for the verdict',
    ('entry/handler.py', '_relay_completion'): 'no status of a refusal',
    ('entry/relay.py', '_start_response'): 'sends 200 only',
    ('entry/relay.py', '_forward_refusal'): 'no status of a refusal',
}
# What makes a promise by itself, and what that rests on: that nothing was sent
# yet, or the last place before the caller, which asks what was.
UNSENT, ASKED = 'nothing was sent', 'the last place asks'
PROMISES = {
    ('core/byte_account.py', 'no-room'): UNSENT,
    ('core/exchange.py', 'body-timeout'): UNSENT,
    ('core/places.py', 'no-place'): UNSENT,
    ('entry/admission.py', 'decision.reason'): UNSENT,
    ('entry/attempts.py', 'no-upstream'): ASKED,
    ('entry/attempts.py', 'upstream-limits'): ASKED,
    ('entry/callers.py', 'no-bundle'): UNSENT,
    ('entry/claims.py', 'claim-unavailable'): UNSENT,
    ('entry/handler.py', 'not-fresh'): UNSENT,
    ('entry/held_requests.py', 'request-held'): ASKED,
    ('entry/limits.py', 'kind'): UNSENT,
    ('gateway/handler.py', 'no-configuration'): UNSENT,
    ('gateway/request_errors.py', 'no-replica'): ASKED,
    ('gateway/request_errors.py', 'no-time'): ASKED,
    ('gateway/request_errors.py', 'prompt-part-held'): ASKED,
    ('gateway/request_errors.py', 'replica-backoff'): ASKED,
    ('gateway/request_errors.py', 'replica-limits'): ASKED,
    ('gateway/request_errors.py', 'version-gone'): ASKED,
    ('gateway/stream_version.py', 'stream-version-unknown'): UNSENT,
    ('limits/limiter.py', 'rate-limit'): UNSENT,
}
# Statuses of errors that are no numbers in the code.
NAMED_STATUSES = {'HTTP_UNAVAILABLE': 503, 'HTTP_TIMEOUT': 408}
HEAD = (
    b'POST /register/2f HTTP/1.1\r\nhost: judging.example\r\n'
    b'x-request-id: %s\r\nx-request-deadline-ms: 600\r\n'
    b'authorization: Bearer club-key-1\r\ncontent-length: 2\r\n\r\n'
)
LIMIT_S = 4.0


def _sends(node):
    """Return whether a call sends a status on an exchange."""
    if not isinstance(node, ast.Call):
        return False
    called = node.func
    if not isinstance(called, ast.Attribute) or called.attr not in SENDS:
        return False
    owner = ast.unparse(called.value)
    return owner.endswith('exchange') or owner == 'self'


def _doors():
    """Return the file and function of each call that sends a status."""
    found = set()
    for folder in ('core', 'gateway', 'entry', 'control', 'util'):
        for file in sorted((SOURCES / folder).glob('*.py')):
            for function in ast.walk(ast.parse(file.read_text())):
                if not isinstance(
                    function, ast.FunctionDef | ast.AsyncFunctionDef
                ):
                    continue
                if any(map(_sends, ast.walk(function))):
                    name = str(file.relative_to(SOURCES))
                    found.add((name, function.name))
    return found


def test_each_place_that_sends_a_status_is_known():
    # Guards against a new way out for refusals that asks for no verdict.
    outer = {('gateway/monitoring.py', 'make_readiness_app')}
    outer.add(('gateway/monitoring.py', 'make_metrics_app'))
    assert _doors() - outer == set(DOORS)


def _promise(node):
    """Return the kind of an error that promises, None of other nodes."""
    if not isinstance(node, ast.Call) or len(node.args) < 2:
        return None
    if not ast.unparse(node.func).endswith('RequestError'):
        return None
    status, kind = node.args[:2]
    parts = list(ast.walk(status))
    numbers = {p.value for p in parts if isinstance(p, ast.Constant)}
    numbers |= {
        NAMED_STATUSES.get(part.id)
        for part in parts
        if isinstance(part, ast.Name)
    }
    if not refusals.STATUSES & numbers:
        return None
    if isinstance(kind, ast.Constant):
        return kind.value
    return ast.unparse(kind)


def test_each_promise_names_what_it_rests_on():
    # Guards against a new promise that rests on the word of another.
    found = set()
    for folder in ('core', 'gateway', 'entry', 'control', 'limits'):
        for file in sorted((SOURCES / folder).glob('*.py')):
            tree = ast.parse(file.read_text())
            kinds = set(filter(None, map(_promise, ast.walk(tree))))
            found |= {(str(file.relative_to(SOURCES)), k) for k in kinds}
    assert found == set(PROMISES)


@pytest.mark.parametrize('sent', run_verdict.Sent)
@pytest.mark.parametrize('status', sorted(refusals.STATUSES | {404, 502}))
@pytest.mark.parametrize('verdict', verdicts.Verdict)
def test_last_place_promises_only_what_was_never_sent(status, sent, verdict):
    # Guards against a door that lets a promise pass by the verdict alone.
    told = refusals.told_status(status, verdict, 'r1', sent)
    is_true = (
        sent is run_verdict.Sent.NOTHING
        and verdict is verdicts.Verdict.NOT_RUN
    )
    if status in refusals.STATUSES and not is_true:
        assert told == refusals.TOLD_STATUS
    else:
        assert told == status


async def _statuses(port, parts):
    """Send parts on one connection; return the statuses that come back."""
    stream = await trio.open_tcp_stream('127.0.0.1', port)
    told = b''
    async with stream:
        # The other side may end the connection behind any part.
        with contextlib.suppress(trio.BrokenResourceError):
            for part in parts:
                if part is None:
                    await stream.send_eof()
                else:
                    await stream.send_all(part)
                await trio.sleep(0.1)
        with trio.move_on_after(LIMIT_S):
            try:
                while data := await stream.receive_some(65536):
                    told += data
            except trio.BrokenResourceError:
                pass
    lines = told.split(b'\r\n')
    return [int(line[9:12]) for line in lines if line.startswith(b'HTTP/1.')]


@pytest.mark.parametrize(
    'after',
    [
        [],
        [b'GARBAGE\r\n\r\n'],
        [b'GET / HTTP/9.9\r\n\r\n'],
        [b'GET /x HTTP/1.1\r\nx: ' + b'y' * 70_000],
        [b'POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: odd\r\n\r\n'],
        [HEAD % b'q2'],
        [None],
        [b'x' * 100_000, None],
    ],
    ids=[
        'nothing',
        'garbage',
        'version',
        'endless-head',
        'odd-coding',
        'half-a-request',
        'half-closed',
        'bytes-and-half-closed',
    ],
)
@pytest.mark.parametrize('stops', [False, True], ids=['', 'stopped'])
async def test_nothing_refuses_a_request_that_runs(tmp_path, after, stops):
    # Guards against a refusal by the HTTP library behind a request that ran.
    replica = [r for r in sites.default_replicas() if not r.stage][0]
    replica.faults.silent = True
    async with sites.running([replica]) as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            parts = [HEAD % b'q1' + b'ab', *after]
            async with trio.open_nursery() as nursery:
                if stops:
                    nursery.start_soon(_stop_soon, gateway)
                found = await _statuses(gateway.values['front'], parts)
                nursery.cancel_scope.cancel()
    ran = [run.request_id for run in replica.runs]
    assert ran[:1] == ['q1']
    assert not refusals.STATUSES.intersection(found[:1]), found


async def _stop_soon(gateway):
    await trio.sleep(0.3)
    gateway.scope.cancel()
