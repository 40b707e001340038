"""Test that 408, 421, 429 and 503 are told only of what did not run."""

import collections
import contextlib
import typing

import pytest
import trio

from gentianstair.core import upstream_paths
from standins.site import site as sites
from standins.soak import paths
from standins.soak import record
from test.gateway import gateways
from test.gateway import odd_wire

# Statuses that say: it has not run, and never will.
REFUSALS = (408, 421, 429, 503)
REQUESTS = 6
ONCE, LOOKUP = '/register/2f', '/lookup/a'
STREAM, RESUMABLE = '/draft/one', '/ask/rule'
SIGNATURE = 'x-response-signature'


def refusal(status, headers=b'X-Not-Executed: 1\r\n'):
    """Return an answer without a body, by default one that is a refusal."""
    return b'HTTP/1.1 %d No\r\n%sContent-Length: 0\r\n\r\n' % (status, headers)


OTHERS = b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nothers'


# A VM without paths, and the time in which it finds a peer.
CUT_VM, NOTICE_S = 'front-a-0', 3.0


def carried():
    """Return how many connections peers have carried so far."""
    return upstream_paths.CONNECTS.labels('through a peer')._value.get()


class Seen(typing.NamedTuple):
    """The answers of one play by request, and how often each request ran."""

    answers: dict
    runs: collections.Counter
    told: list
    replicas: list

    def broken(self):
        """Return a line for each request that ran twice, or was refused."""
        return [
            record.line(told, self.replicas)
            for told in self.told
            if self.runs[told.request_id] > 1
            or (self.runs[told.request_id] and told.status in REFUSALS)
        ]

    def statuses(self):
        """Return the statuses in order."""
        return [answer.status_code for answer in self.answers.values()]


async def play(site, tmp_path, path):
    """Send requests one after the other; return what was seen."""
    async with gateways.running(site, tmp_path) as (gateway,):
        return await ask(site, gateway, path)


async def ask(site, gateway, path):
    """Send requests to a gateway; return what was seen."""
    answers, told = {}, []
    for number in range(REQUESTS):
        name, at_s = f'r{number}', trio.current_time()
        answers[name] = await gateway.call(
            'POST', path, name, **gateways.PROMPT
        )
        told.append(
            record.Told(
                name,
                path.split('/')[1],
                path in (LOOKUP, RESUMABLE),
                'POST',
                path,
                gateway.url,
                at_s,
                trio.current_time(),
                answers[name].status_code,
            )
        )
    runs = collections.Counter(
        run.request_id for replica in site.replicas for run in replica.runs
    )
    return Seen(answers, runs, told, site.replicas)


def replicas_of(path, count):
    """Return that many replicas which can answer a request."""
    kept = [r for r in sites.default_replicas() if r.stage != 'prefill']
    stage = '' if path in (ONCE, LOOKUP) else 'decode'
    return [r for r in kept if r.stage == stage][:count]


ODD_ANSWERS = {
    '503': refusal(503),
    '429': refusal(429),
    '421': refusal(421, b''),
    '503-of-no-id': refusal(503, b'X-Not-Executed: 1\r\nX-Request-Id:\r\n'),
    '503-of-another': refusal(
        503, b'X-Not-Executed: 1\r\nX-Request-Id: r99\r\n'
    ),
    '503-of-two': refusal(
        503,
        b'X-Not-Executed: 1\r\nX-Request-Id: r1\r\nX-Request-Id: r2\r\n',
    ),
    '200': OTHERS,
}


@pytest.mark.parametrize('odd', ODD_ANSWERS)
@pytest.mark.parametrize('path', [ONCE, STREAM], ids=['plain', 'stream'])
@pytest.mark.parametrize('adds_from', [0, 1], ids=['fresh', 'kept'])
@pytest.mark.parametrize('count', [1, 2], ids=['one-replica', 'two-replicas'])
async def test_answer_without_the_id_decides_nothing(
    tmp_path, odd, path, adds_from, count
):
    # Guards against requests that run though they are refused, or run twice,
    # by bytes that are no answer to them.
    async with contextlib.AsyncExitStack() as stack:
        site = await stack.enter_async_context(
            sites.running(replicas_of(path, count))
        )
        wires = [
            await stack.enter_async_context(
                odd_wire.before(
                    site,
                    replica,
                    {b'POST ': ODD_ANSWERS[odd]},
                    adds=True,
                    adds_from=adds_from,
                )
            )
            for replica in site.replicas
        ]
        seen = await play(site, tmp_path, path)
    assert sum(wire.sent[b'POST '] for wire in wires)
    assert not seen.broken()
    assert seen.statuses() == [200] * REQUESTS
    assert all(SIGNATURE in answer.headers for answer in seen.answers.values())


@pytest.mark.parametrize('path', [ONCE, STREAM], ids=['plain', 'stream'])
async def test_no_answer_of_another_decides_through_a_peer(tmp_path, path):
    # Guards against the same where a peer carries the connection.
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        site = await enter(sites.running(replicas_of(path, 1)))
        odd = {b'POST ': refusal(503)}
        wire = await enter(
            odd_wire.before(site, site.replicas[0], odd, adds=True)
        )
        nursery = await enter(trio.open_nursery())
        lines = paths.Paths(site)
        await lines.add(CUT_VM, nursery)
        vms = await enter(gateways.running(site, tmp_path, count=2))
        lines.cut(CUT_VM, paths.Cut.REFUSE)
        await trio.sleep(NOTICE_S)
        before = carried()
        seen = await ask(site, vms[0], path)
        assert carried() > before
        nursery.cancel_scope.cancel()
    assert wire.sent[b'POST ']
    assert not seen.broken()
    assert seen.statuses() == [200] * REQUESTS


@pytest.mark.parametrize('odd', ['200', '503-of-another'])
async def test_request_without_an_id_gets_no_answer_of_another(tmp_path, odd):
    # Guards against answers to others on a connection that was used before.
    async with sites.running(replicas_of(LOOKUP, 1)) as site:
        odd_answers = {b'GET ': ODD_ANSWERS[odd]}
        async with odd_wire.before(
            site, site.replicas[0], odd_answers, adds=True, adds_from=1
        ):
            async with gateways.running(site, tmp_path) as (gateway,):
                await gateway.call('GET', LOOKUP, 'r1')
                headers = gateway.headers('')
                del headers['x-request-id']
                answer = await gateway.client.get(LOOKUP, headers=headers)
    assert answer.status_code == 200
    assert answer.text.startswith('done by')


@pytest.mark.parametrize(
    'request_id',
    [b'r1,r2', b'R 1'],
    ids=['comma', 'space'],
)
async def test_any_id_makes_an_answer_its_own(tmp_path, request_id):
    # Guards against answers that are dropped as their id is written otherwise.
    async with sites.running(replicas_of(LOOKUP, 1)) as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            headers = {**gateway.headers(''), 'x-request-id': request_id}
            answer = await gateway.client.get(LOOKUP, headers=headers)
    assert answer.status_code == 200


@pytest.mark.parametrize('path', [ONCE, STREAM], ids=['plain', 'stream'])
async def test_second_try_is_not_refused_by_anothers_answer(tmp_path, path):
    # Guards against a request that runs at its second replica though it is
    # refused.
    async with contextlib.AsyncExitStack() as stack:
        site = await stack.enter_async_context(
            sites.running(replicas_of(path, 2))
        )
        site.replicas[0].faults.full = True
        wire = await stack.enter_async_context(
            odd_wire.before(
                site, site.replicas[1], {b'POST ': refusal(503)}, adds=True
            )
        )
        seen = await play(site, tmp_path, path)
    assert wire.sent[b'POST ']
    assert not seen.broken()
    assert seen.statuses() == [200] * REQUESTS


@pytest.mark.parametrize('status', [408, 429, 503])
@pytest.mark.parametrize(
    'headers', [{}, {'retry-after': '0.2'}], ids=['bare', 'retry-after']
)
@pytest.mark.parametrize(
    'path',
    [ONCE, STREAM, LOOKUP, RESUMABLE],
    ids=['once', 'stream', 'repeatable', 'resumable'],
)
async def test_refusal_of_what_ran_is_told_as_a_failure(
    tmp_path, status, headers, path
):
    # Guards against callers who take what ran for not run.
    found = replicas_of(path, 1)
    async with sites.running(found) as site:
        site.replicas[0].faults.fails_with = status
        site.replicas[0].faults.fails_headers = headers
        seen = await play(site, tmp_path, path)
    assert seen.runs
    assert not seen.broken()
    for name in seen.runs:
        answer = seen.answers[name]
        assert answer.status_code == 502
        assert SIGNATURE not in answer.headers
        assert 'retry-after' not in answer.headers


@pytest.mark.parametrize('status', [408, 429, 503])
@pytest.mark.parametrize(
    'headers',
    [{}, {'retry-after': '0.2'}, {SIGNATURE: 'signed'}],
    ids=['bare', 'retry-after', 'signed'],
)
@pytest.mark.parametrize('path', [ONCE, STREAM], ids=['plain', 'stream'])
async def test_rejection_that_does_not_say_so_is_told_as_a_failure(
    tmp_path, status, headers, path
):
    # Guards against a replica's own refusal that goes on as a promise.
    async with sites.running(replicas_of(path, 1)) as site:
        (replica,) = site.replicas
        replica.faults.rejects_with = status
        replica.faults.rejects_headers = headers
        seen = await play(site, tmp_path, path)
    rejected = {answer.request_id for answer in replica.answers}
    assert rejected and not seen.runs
    for name in rejected:
        assert seen.answers[name].status_code == 502
        assert SIGNATURE not in seen.answers[name].headers


async def test_success_is_one_whatever_else_it_says(tmp_path):
    # Guards against a request that runs again, as its success says that it
    # has not run.
    async with sites.running(replicas_of(ONCE, 2)) as site:
        for replica in site.replicas:
            replica.faults.fails_with = 200
            replica.faults.fails_headers = {'x-not-executed': '1'}
        seen = await play(site, tmp_path, ONCE)
    assert not seen.broken()
    assert seen.statuses() == [200] * REQUESTS


@pytest.mark.parametrize('status', [408, 429, 503])
@pytest.mark.parametrize('path', [LOOKUP, RESUMABLE], ids=['plain', 'stream'])
async def test_what_was_refused_after_a_run_is_tried_elsewhere(
    tmp_path, status, path
):
    # Guards against callers who are told of a failure though another replica
    # can serve what may be repeated.
    has_failed = set()
    async with sites.running(replicas_of(path, 2)) as site:
        for replica in site.replicas:
            replica.faults.fails_with = status
            replica.faults.has_failed = has_failed
        seen = await play(site, tmp_path, path)
    assert len(has_failed) == REQUESTS
    assert seen.statuses() == [200] * REQUESTS


CUT_REFUSAL = (
    b'HTTP/1.1 503 No\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\n'
    b'Content-Length: 80\r\n\r\nthe first by'
)


@pytest.mark.parametrize(
    ('path', 'alone'),
    [(ONCE, 502), (STREAM, 502), (LOOKUP, 503), (RESUMABLE, 503)],
    ids=['plain', 'stream', 'look-up', 'resumable'],
)
@pytest.mark.parametrize('count', [1, 2], ids=['alone', 'beside-another'])
async def test_refusal_whose_body_is_cut_is_one(tmp_path, path, alone, count):
    # Guards against callers who are told of a failure of what did not run.
    told = {200}
    if count == 1:
        # The last of those that may run once are not sent any more.
        told = {alone, 503}
    async with sites.running(replicas_of(path, count)) as site:
        odd = {b'POST ': CUT_REFUSAL}
        async with odd_wire.before(site, site.replicas[0], odd) as wire:
            seen = await play(site, tmp_path, path)
    assert count > 1 or wire.sent[b'POST ']
    assert not seen.broken()
    assert seen.statuses()[0] == (alone if count == 1 else 200)
    assert set(seen.statuses()) == told


@pytest.mark.parametrize('path', [LOOKUP, RESUMABLE], ids=['plain', 'stream'])
async def test_what_did_not_run_is_refused(tmp_path, path):
    # Guards against callers who are told of a failure, and do not come back.
    async with sites.running(replicas_of(path, 2)) as site:
        for replica in site.replicas:
            replica.faults.full = True
        seen = await play(site, tmp_path, path)
    assert not seen.runs
    assert set(seen.statuses()) == {503}


PREFILLED = {
    # Path, and what its caller is told: a stream that may be resumed loses
    # nothing by a refusal.
    'once': (STREAM, 502),
    'resumable': (RESUMABLE, 503),
}


@pytest.mark.parametrize(('path', 'status'), PREFILLED.values(), ids=PREFILLED)
async def test_what_was_read_and_may_run_once_is_not_refused(
    tmp_path, path, status
):
    # Guards against a promise that nothing was done for a request on which a
    # replica has begun to work.
    async with sites.running(sites.default_replicas()) as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            for replica in site.replicas:
                replica.faults.full = replica.stage == 'decode'
            seen = await ask(site, gateway, path)
    read = {name for replica in site.replicas for name in replica.reads}
    assert read
    assert not seen.runs
    told = {name: answer.status_code for name, answer in seen.answers.items()}
    assert {told[name] for name in read} == {status}
    assert {told[name] for name in told if name not in read} <= {503}


async def test_what_no_replica_read_is_refused(tmp_path):
    # Guards against callers who do not come back though nothing was done.
    async with sites.running(sites.default_replicas()) as site:
        for replica in site.replicas:
            replica.faults.full = bool(replica.stage)
        seen = await play(site, tmp_path, RESUMABLE)
    assert not seen.runs
    assert set(seen.statuses()) == {503}
