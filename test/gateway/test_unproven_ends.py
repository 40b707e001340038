"""Test answers without a length whose replicas report oddly, or not."""

import contextlib

import httpx
import pytest
import trio

from standins.site import site as sites
from test.gateway import gateways
from test.gateway import odd_wire

EVENTS = [b'id: %d\ndata: word%d\n\n' % (n, n) for n in range(1, 6)]
ALL = b''.join(EVENTS)
TRIES = 6


class Server:
    """A replica that answers as its site's script says.

    ``answer`` takes a request's path and the id after which it goes on, and
    returns the bytes after the status line, and whether the process ends
    then.
    """

    def __init__(self, replica):
        self.replica = replica
        self.answer = _whole
        self.report = _own_report
        self.report_delay_s = 0.0
        self.asked = 0
        self.last_ids = []
        self.is_listening = True

    async def serve(self, stream):
        """Answer one request, and end the connection."""
        if not self.is_listening:
            return
        data = b''
        while b'\r\n\r\n' not in data:
            read = await stream.receive_some(65536)
            if not read:
                return
            data += read
        target = data.split(b' ', 2)[1]
        if target == b'/api/report':
            self.asked += 1
            await trio.sleep(self.report_delay_s)
            await stream.send_all(self.report(self))
            return
        if target.startswith(b'/api/'):
            await stream.send_all(_told(404, b''))
            return
        last_id = _last_id(data)
        self.last_ids.append(last_id)
        told, ends = self.answer(target, last_id)
        if ends:
            self.is_listening = False
        await stream.send_all(odd_wire.with_id(told, data))


def _last_id(data):
    for line in data.split(b'\r\n'):
        if line.lower().startswith(b'last-event-id:'):
            return int(line.partition(b':')[2])
    return 0


def _told(status, body):
    return b'HTTP/1.1 %d x\r\ncontent-length: %d\r\n\r\n%s' % (
        status,
        len(body),
        body,
    )


def _own_report(server):
    return _told(200, b'{"born": %d}' % server.replica.born_ms)


def _unbounded(body):
    """Return an answer that ends with its connection."""
    return (
        b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
        b'x-request-id: {id}\r\nx-response-signature: s\r\n\r\n' + body
    )


def _chunked(body):
    """Return an answer in chunks."""
    chunk = b'%x\r\n%s\r\n' % (len(body), body) if body else b''
    return (
        b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
        b'x-request-id: {id}\r\nx-response-signature: s\r\n'
        b'transfer-encoding: chunked\r\n\r\n%s0\r\n\r\n' % chunk
    )


def _whole(target, last_id):
    if target.startswith((b'/ask', b'/draft')):
        return _unbounded(b''.join(EVENTS[last_id:])), False
    return _unbounded(b'done'), False


@contextlib.asynccontextmanager
async def running(tmp_path):
    """Yield a gateway, and the servers of a site without readers."""
    found = [r for r in sites.default_replicas() if r.stage != 'prefill']
    async with sites.running(found) as site, trio.open_nursery() as nursery:
        servers = []
        for replica in site.replicas:
            server = Server(replica)
            (listener,) = await trio.open_tcp_listeners(0, host='127.0.0.1')
            port = listener.socket.getsockname()[1]
            replica.address = f'127.0.0.1:{port}'
            site.register(replica)
            nursery.start_soon(trio.serve_listeners, server.serve, [listener])
            servers.append(server)
        async with gateways.running(site, tmp_path) as (gateway,):
            yield gateway, servers
        nursery.cancel_scope.cancel()


async def ask(gateway, path, number, **headers):
    """Return the status, the body so far, and whether it is whole."""
    body = b''
    try:
        async with gateway.client.stream(
            'POST',
            path,
            headers=gateway.headers(
                f'r{number}', **gateways.PROMPT, **headers
            ),
        ) as answer:
            async for data in answer.aiter_bytes():
                body += data
            return answer.status_code, body, True
    except httpx.TransportError:
        return 0, body, False


def _pausing(target, last_id):
    """Turn a request away, with a pause, in an answer without a length."""
    return (
        b'HTTP/1.1 503 x\r\nx-request-id: {id}\r\nx-not-executed: 1\r\n'
        b'retry-after: 0.3\r\n\r\nlater',
        False,
    )


@pytest.mark.parametrize('path', ['/register/x', '/lookup/x', '/draft/one'])
async def test_answers_count_again_after_a_pause(tmp_path, path):
    # Guards against replicas that serve nobody any more after a pause.
    async with running(tmp_path) as (gateway, servers):
        for server in servers:
            server.answer = _pausing
        for number in range(TRIES):
            await ask(gateway, path, number)
        for server in servers:
            server.answer = _whole
        await trio.sleep(3.0)
        found = [await ask(gateway, path, 100 + n) for n in range(TRIES)]
    assert {(status, whole) for status, _, whole in found} == {(200, True)}


@pytest.mark.parametrize('path', ['/register/x', '/lookup/x', '/draft/one'])
async def test_answers_count_again_after_a_report_that_was_reset(
    tmp_path, path
):
    # Guards against replicas that serve nobody any more after one failure.
    async with running(tmp_path) as (gateway, servers):
        for server in servers:
            server.report = lambda _: b''
        for number in range(TRIES):
            await ask(gateway, path, number)
        for server in servers:
            server.report = _own_report
        await trio.sleep(8.0)
        found = [await ask(gateway, path, 100 + n) for n in range(TRIES)]
    assert {(status, whole) for status, _, whole in found} == {(200, True)}


async def test_stream_that_lost_only_its_end_becomes_whole(tmp_path):
    # Guards against a caller with all events that never gets the end.
    async with running(tmp_path) as (gateway, servers):

        def ends_after_the_last(target, last_id):
            # The first one's process is gone; the others have no more to say.
            if last_id:
                return _chunked(b''.join(EVENTS[last_id:])), False
            return _unbounded(ALL), True

        for server in servers:
            server.answer = ends_after_the_last
        status, body, whole = await ask(gateway, '/ask/rule', 1)
        assert body == ALL
        assert (status, whole) == (200, True)


async def test_part_is_not_whole_while_the_next_start_gives_no_report(
    tmp_path,
):
    # Guards against a part that ends as its replica, which soon listens again.
    async with running(tmp_path) as (gateway, servers):
        for server in servers:
            server.answer = lambda *_: (_unbounded(EVENTS[0]), False)
            # The next start's, while it loads its models.
            server.report = lambda _: _told(503, b'')
        found = [await ask(gateway, '/draft/one', n) for n in range(TRIES)]
    assert not any(whole and status == 200 for status, _, whole in found)


async def test_restarted_replica_serves_before_its_entry_tells(tmp_path):
    # Guards against whole answers of a new start that are thrown away.
    async with running(tmp_path) as (gateway, servers):
        for server in servers:
            server.report = lambda s: _told(
                200, b'{"born": %d}' % (s.replica.born_ms + 1)
            )
        found = [await ask(gateway, '/register/x', n) for n in range(TRIES)]
    assert [one[0] for one in found] == [200] * TRIES


async def test_refusal_without_a_length_waits_for_no_report(tmp_path):
    # Guards against refused requests that wait for replicas that are full.
    def full(target, last_id):
        return (
            b'HTTP/1.1 503 x\r\nx-request-id: {id}\r\n'
            b'x-not-executed: 1\r\n\r\nfull',
            False,
        )

    async with running(tmp_path) as (gateway, servers):
        for server in servers:
            server.answer = full
        told = [
            (await ask(gateway, path, 0))[0]
            for path in 2 * ('/register/x', '/lookup/x')
        ]
        asked = sum(server.asked for server in servers)
    # What may run once is told a failure, as it reached a replica.
    assert told == 2 * [502, 503]
    assert asked == 0


async def test_run_once_request_without_a_proven_end_is_not_refused(tmp_path):
    # Guards against a second run, and a promise that nothing has run.
    async with running(tmp_path) as (gateway, servers):
        for server in servers:
            server.report = lambda _: b''
        found = [await ask(gateway, '/register/x', n) for n in range(TRIES)]
        runs = sum(len(server.last_ids) for server in servers)
    assert {one[0] for one in found} <= {502, 504}
    assert runs == TRIES


@pytest.mark.parametrize('status', [204, 304])
async def test_answer_without_a_body_asks_for_no_proof(tmp_path, status):
    # Guards against answers that can't be cut and count as cut.
    async with running(tmp_path) as (gateway, servers):
        for server in servers:
            server.report = lambda _: b''
            server.answer = lambda *_: (
                b'HTTP/1.1 %d x\r\nx-request-id: {id}\r\n\r\n' % status,
                False,
            )
        found = [await ask(gateway, '/register/x', n) for n in range(TRIES)]
        asked = sum(server.asked for server in servers)
    assert [one[0] for one in found] == [status] * TRIES
    assert asked == 0


async def test_head_asks_for_no_proof(tmp_path):
    # Guards against answers that can't be cut and count as cut.
    async with running(tmp_path) as (gateway, servers):
        for server in servers:
            server.report = lambda _: b''
            server.answer = lambda *_: (_unbounded(b''), False)
        answer = await gateway.call('HEAD', '/lookup/x')
    assert answer.status_code == 200


async def test_events_with_lone_returns_reach_no_caller_twice(tmp_path):
    # Guards against events that count as comments, and come from two runs.
    events = ALL.replace(b'\ndata', b'\rdata')

    async with running(tmp_path) as (gateway, servers):
        for server in servers:
            server.answer = lambda *_: (_chunked(events), False)
        _, body, _ = await ask(gateway, '/ask/rule', 1)
    assert body.count(b'word1') <= 1


@pytest.mark.parametrize('path', ['/lookup/x', '/ask/rule'])
async def test_sound_replicas_are_not_held_for_ended(tmp_path, path):
    # Guards against a request held back as if replicas had ended under it.
    async with running(tmp_path) as (gateway, servers):
        for server in servers:
            server.report = lambda _: b''
        found = [await ask(gateway, path, n) for n in range(12)]
        runs = sum(len(server.last_ids) for server in servers)
    assert 503 not in {one[0] for one in found}, runs


@pytest.mark.parametrize('path', ['/register/x', '/lookup/x', '/ask/rule'])
async def test_whole_answer_of_a_replica_that_reports_late_is_kept(
    tmp_path, path
):
    # Guards against answers that are thrown away as a report takes long.
    async with running(tmp_path) as (gateway, servers):
        for server in servers:
            server.report_delay_s = 1.2
        found = [await ask(gateway, path, n) for n in range(2)]
    assert [one[0] for one in found] == [200] * 2
    assert all(whole for _, _, whole in found)
