"""Send the caller API what no honest caller sends, and check all is well."""

import contextlib
import json

import h2.config
import h2.connection
import h2.events
import hypothesis
from hypothesis import strategies
import pytest
import trio

from gentianstair import errors
from gentianstair import settings
from gentianstair.core import exchange as exchanges
from gentianstair.entry import app as apps
from gentianstair.entry import callers
from gentianstair.entry import completions
from gentianstair.entry import main
from gentianstair.entry import services
from gentianstair.entry import upstream_monitor
from gentianstair.generated import settings as generated
from gentianstair.store import store
from gentianstair.util import serving

KEY = 'gst_ours0123456789'
CHAT = '/v1/chat/completions'
MAX_BODY = 2048
SETTINGS = {
    'vm_name': 'vm-1',
    'failure_domain': 'north',
    'platform_url': 'http://127.0.0.1:9',
    'max_body_bytes': str(MAX_BODY),
    'body_timeout_s': '0.3',
    'caller_stall_s': '0.3',
    'listen': '127.0.0.1:0',
}
CUSTOMER = {
    'weight': 1.0,
    'requests_per_s': 1e6,
    'tokens_per_s': 1e9,
    'concurrent': 1000,
    'enabled': True,
}
ASK = {'model': 'judge', 'messages': [{'role': 'user', 'content': 'hello'}]}
ANSWER = json.dumps(
    {'usage': {'prompt_tokens': 1, 'completion_tokens': 1}}
).encode()


class Upstream:
    """Answer every request and keep its bytes as they came.

    While ``held`` it sends a head and one part of a stream, then nothing.
    """

    def __init__(self):
        self.requests = []
        self.held = False
        self.flooding = False
        self.cut = trio.Event()

    async def serve(self, stream):
        """Serve one connection, a request at a time."""
        with contextlib.suppress(trio.BrokenResourceError):
            while head := await self._read(stream):
                self.requests.append(head)
                await self._answer(stream, head)

    async def _read(self, stream):
        data = b''
        while b'\r\n\r\n' not in data:
            part = await stream.receive_some(65536)
            if not part:
                return b''
            data += part
        return data

    async def _answer(self, stream, head):
        if self.held or self.flooding:
            lines = b'content-type: text/event-stream\r\n\r\n'
            await stream.send_all(b'HTTP/1.1 200 OK\r\n' + lines)
            part = b'data: {"choices": [{"text": "x"}]}\n\n'
            await stream.send_all(part)
            try:
                while self.flooding:
                    await stream.send_all(part * 1000)
                await stream.receive_some(1)
            finally:
                self.cut.set()
            return
        length = b'content-length: %d\r\n\r\n' % len(ANSWER)
        body = b'' if head.startswith(b'HEAD') else ANSWER
        await stream.send_all(b'HTTP/1.1 200 OK\r\n' + length + body)


class Fresh:
    """Be always fresh."""

    def is_fresh(self):
        """Return True."""
        return True


def objects(url):
    """Return a configuration with two customers, a model of each."""
    entry = {'adapter': None, 'share_prefixes': False}
    models = {
        'judge': {**entry, 'engine_model': 'base', 'customers': ['ours']},
        'theirs': {**entry, 'engine_model': 'base', 'customers': ['other']},
    }
    bundle = {
        'number': 1,
        'models': models,
        'settings': {},
        'note': '',
        'signature': '',
    }
    upstream = {
        'url': url,
        'failure_domain': 'north',
        'capacity_class': 'on-demand',
        'state': 'active',
        'role': 'mixed',
        'checks_fencing': True,
        'concurrent': 8,
    }
    key = {'customer': 'ours', 'label': '', 'revoked': False}
    values = {
        ('customer', 'ours'): CUSTOMER,
        ('customer', 'off'): {**CUSTOMER, 'enabled': False},
        ('key', callers.digest_key(KEY)): key,
        ('key', callers.digest_key('gst_gone')): {**key, 'revoked': True},
        ('key', callers.digest_key('gst_off')): {**key, 'customer': 'off'},
        ('bundle', '1'): bundle,
        ('accepted', 'current'): {'number': 1},
        ('upstream', 'e'): {**upstream, 'type': 'engine', 'models': ['base']},
        ('upstream', 's'): {
            **upstream,
            'url': url + '/prefix',
            'type': 'service',
            'models': ['stock'],
        },
    }
    return [
        store.StoredObject(*place, version, values[place])
        for version, place in enumerate(values, 1)
    ]


class Entry:
    """An entry in this process, served on a real socket."""

    def __init__(self, node, port, upstream):
        self.node = node
        self.port = port
        self.upstream = upstream

    async def connect(self):
        """Return a connection to it."""
        return await trio.open_tcp_stream('127.0.0.1', self.port)

    async def send(self, data, end=False):
        """Send bytes and return all that comes back until it closes."""
        stream = await self.connect()
        async with stream:
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.send_all(data)
                if end:
                    await stream.send_eof()
            return await read_end(stream)

    async def ask(self, body, *headers, path=CHAT, method='POST'):
        """Send one request and return status and body of the answer."""
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        lines = [f'{method} {path} HTTP/1.1'.encode(), b'host: x']
        names = {line.split(b':')[0].strip().lower() for line in headers}
        if b'authorization' not in names:
            lines.append(b'authorization: Bearer ' + KEY.encode())
        if not names & {b'content-length', b'transfer-encoding'}:
            lines.append(b'content-length: %d' % len(body))
        lines += [*headers, b'connection: close']
        head = b'\r\n'.join(lines) + b'\r\n\r\n'
        return split(await self.send(head + body))

    def idle(self):
        """Say whether nothing is held by any request."""
        queue = self.node.queue
        return queue.waiting_count('base') + queue.running_count('base') == 0

    async def wait_idle(self):
        """Return once nothing is held; fail if it is not let go."""
        with trio.fail_after(3):
            while not self.idle():
                await trio.sleep(0.01)


async def read_end(stream):
    """Return everything until the other side closes."""
    data = b''
    with trio.fail_after(5):
        with contextlib.suppress(trio.BrokenResourceError):
            while part := await stream.receive_some(65536):
                data += part
    return data


def split(answer):
    """Return status and body of one answer."""
    head, _, body = answer.partition(b'\r\n\r\n')
    return int(head.split()[1]), body


def check_refusal(answer, status, kind=None):
    """Check that an answer is a problem that says not run."""
    assert answer[0] == status, answer
    problem = json.loads(answer[1])
    assert problem['verdict'] == 'NOT_RUN'
    assert problem['status'] == status
    if kind:
        assert problem['type'].endswith(':' + kind), problem


@contextlib.asynccontextmanager
async def open_entry():
    """Yield an entry with one engine and one service behind it."""
    values = settings.collect(generated.ENTRY, SETTINGS, {})
    node, _ = main.make_node(generated.EntrySettings(**values))
    node = node._replace(freshness=Fresh())
    upstream = Upstream()
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, upstream.serve, listeners)
        node.view.apply(objects(f'http://127.0.0.1:{port}'))
        upstream_monitor.apply_upstreams(node)
        sock = serving.listen('127.0.0.1:0')
        port = sock.getsockname()[1]
        app = apps.create_app(node, trio.Event())
        limits = (trio.sleep_forever, 0.1, None, 0.3)
        nursery.start_soon(serving.serve, app, sock, *limits)
        yield Entry(node, port, upstream)
        nursery.cancel_scope.cancel()


AUTH = b'authorization: '
JUNK = b'Bearer gst_wrong0123456789'


@pytest.mark.promise
@pytest.mark.parametrize(
    ('body', 'headers', 'status', 'kind'),
    [
        (ASK, [AUTH + JUNK], 401, 'bad-key'),
        (ASK, [AUTH], 401, 'bad-key'),
        (ASK, [AUTH + b'Bearer'], 401, 'bad-key'),
        (ASK, [AUTH + b'Basic ' + KEY.encode()], 401, 'bad-key'),
        (ASK, [AUTH + b'Bearer gst_gone'], 401, 'bad-key'),
        (ASK, [AUTH + b'Bearer gst_off'], 401, 'bad-key'),
        (ASK, [AUTH + b'Bearer \xff\xfe'], 401, 'bad-key'),
        (ASK, [AUTH + JUNK, AUTH + b'Bearer x'], 400, 'duplicate-header'),
        ({**ASK, 'model': 'theirs'}, [], 404, 'no-such-model'),
        ({**ASK, 'model': 'nobody'}, [], 404, 'no-such-model'),
        ({**ASK, 'model': 'base'}, [], 404, 'no-such-model'),
        ({**ASK, 'model': '\ud800'}, [], 400, 'bad-request'),
        ({**ASK, 'model': None}, [], 400, 'bad-request'),
        ({**ASK, 'messages': []}, [], 400, 'bad-request'),
        ({**ASK, 'messages': 'x'}, [], 400, 'bad-request'),
        ({**ASK, 'messages': [1]}, [], 400, 'bad-request'),
        ({**ASK, 'max_tokens': 0}, [], 400, 'bad-request'),
        ({**ASK, 'max_tokens': True}, [], 400, 'bad-request'),
        ({**ASK, 'stream': 'yes'}, [], 400, 'bad-request'),
        ({**ASK, 'stream_options': 1}, [], 400, 'bad-request'),
        ({**ASK, 'priority': 99}, [], 400, 'bad-request'),
        (b'', [], 400, 'bad-request'),
        (b'{', [], 400, 'bad-request'),
        (b'[]', [], 400, 'bad-request'),
        (b'\xff\xfe', [], 400, 'bad-request'),
        (b'[' * 2000, [], 400, 'bad-request'),
        (b'{"x": %s}' % (b'9' * 1900), [], 400, 'bad-request'),
        (b'{"a": ' * 40 + b'1' + b'}' * 40, [], 400, 'bad-request'),
        (b' ' * (MAX_BODY + 1), [], 413, 'body-too-long'),
        (ASK, [b'x-request-timeout-s: 0'], 400, 'impossible-deadline'),
        (ASK, [b'x-request-timeout-s: -1'], 400, 'impossible-deadline'),
        (ASK, [b'x-request-timeout-s: nan'], 400, 'impossible-deadline'),
        (ASK, [b'x-request-timeout-s: inf'], 400, 'impossible-deadline'),
        (ASK, [b'x-request-timeout-s: soon'], 400, 'impossible-deadline'),
        (ASK, [b'x-request-timeout-s: 9999'], 400, 'impossible-deadline'),
    ],
)
async def test_bad_requests_are_refused_and_do_not_run(
    body, headers, status, kind
):
    async with open_entry() as entry:
        check_refusal(await entry.ask(body, *headers), status, kind)
        assert entry.upstream.requests == []
        assert entry.idle()
        assert (await entry.ask(ASK))[0] == 200


async def test_a_request_without_any_key_is_refused():
    async with open_entry() as entry:
        head = f'POST {CHAT} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n'
        answer = await entry.send(head.encode() + b'\r\n')
        check_refusal(split(answer), 401, 'bad-key')
        assert b'www-authenticate: Bearer' in answer


async def test_an_unknown_field_goes_through_and_the_key_does_not():
    async with open_entry() as entry:
        body = {**ASK, 'logit_bias': {'7': -1}, 'x_new': [None, 1.5]}
        assert (await entry.ask(body, b'x-api-key: ' + KEY.encode()))[0] == 200
        (seen,) = entry.upstream.requests
        sent = json.loads(seen.partition(b'\r\n\r\n')[2])
        assert sent['logit_bias'] == {'7': -1}
        assert sent['x_new'] == [None, 1.5]
        assert KEY.encode() not in seen


SURROGATE = '\ud800 x' * 70


@pytest.mark.parametrize(
    ('body', 'status'),
    [
        ({**ASK, 'messages': [{'content': SURROGATE}]}, 400),
        ({**ASK, 'messages': [{'content': '\0 \x1b[2J\r'}]}, 200),
        ({**ASK, 'messages': [{'content': None}]}, 200),
        (b'{"model": "judge", "messages": [{}], "t": NaN}', 400),
        (b'{"model": "theirs", "model": "judge", "messages": [{}]}', 200),
    ],
)
async def test_what_reaches_the_engine_is_strict_json(body, status):
    """A strange character in a prompt ends in an internal error.

    Half a surrogate pair can be escaped in JSON, but is no text and has no
    bytes; NaN is taken by lenient readers and refused by strict engines.
    """
    async with open_entry() as entry:
        answer = await entry.ask(body)
        if status == 400:
            check_refusal(answer, 400, 'bad-request')
            return
        assert answer[0] == 200
        (seen,) = entry.upstream.requests
        sent = seen.partition(b'\r\n\r\n')[2]
        json.loads(sent, parse_constant=pytest.fail)


@pytest.mark.parametrize(
    'data',
    [
        # An answer that only comes once the whole body was read is late.
        b'content-length: 99999999\r\n\r\n',
        b'transfer-encoding: chunked\r\n\r\n'
        + b'400\r\n%s\r\n' % (b'x' * 1024) * 3,
    ],
)
async def test_an_over_long_body_is_refused_before_it_is_read(data):
    async with open_entry() as entry:
        head = f'POST {CHAT} HTTP/1.1\r\nhost: x\r\n'.encode()
        head += AUTH + b'Bearer ' + KEY.encode() + b'\r\n'
        stream = await entry.connect()
        async with stream:
            await stream.send_all(head + data)
            answer = await read_end(stream)
        check_refusal(split(answer), 413, 'body-too-long')


@pytest.mark.promise
@pytest.mark.parametrize(
    ('path', 'status'),
    [
        ('/services/base/v1/completions', 404),
        ('/services/nobody/x', 404),
        ('/services/stock/../../load', 400),
        ('/services/stock/%2e%2e/%2e%2e/load', 400),
        ('/services/stock/a/..%2f..%2f..%2fload', 400),
        ('/services/', 404),
    ],
)
async def test_a_caller_reaches_only_services_and_their_own_paths(
    path, status
):
    """A caller runs another customer's model, or reads an upstream's load.

    Services are chosen by name like models, so the name of an engine's
    model reaches the engine past the check of customers; dots in a path
    leave the part of the upstream that is meant for callers.
    """
    async with open_entry() as entry:
        check_refusal(await entry.ask(b'', path=path, method='GET'), status)
        assert entry.upstream.requests == []


async def test_headers_of_one_hop_and_of_identity_stay_here():
    """A service takes a caller for another customer.

    The caller sends the header by which we tell the service whose request
    it is, or names headers of ours in Connection.
    """
    async with open_entry() as entry:
        answer = await entry.ask(
            b'',
            b'x-customer: other',
            b'X-Customer: other',
            b'x-hop: 1',
            b'connection: x-hop, close',
            b'te: trailers',
            b'keep-alive: 5',
            b'cookie: a=b',
            b'proxy-authorization: x',
            b'x-kept: yes',
            path='/services/stock/a?b=c%20d',
            method='GET',
        )
        assert answer[0] == 200
        (seen,) = entry.upstream.requests
        lines = seen.lower().split(b'\r\n')
        assert lines[0] == b'get /prefix/a?b=c%20d http/1.1'
        names = [line.partition(b':')[0] for line in lines[1:] if line]
        assert len(names) == len(set(names))
        assert b'x-customer: ours' in lines
        assert b'x-kept: yes' in lines
        gone = {b'x-hop', b'te', b'keep-alive', b'cookie', b'connection'}
        assert not (gone | {b'proxy-authorization'}) & set(names)


@pytest.mark.parametrize(
    'smuggle',
    [
        b'content-length: 4\r\ntransfer-encoding: chunked\r\n',
        b'transfer-encoding: chunked\r\ncontent-length: 4\r\n',
        b'content-length: 4\r\ncontent-length: 40\r\n',
        b'content-length: 4, 40\r\n',
        b'content-length: +4\r\n',
        b'content-length: 0x4\r\n',
        b'content-length: -4\r\n',
        b'transfer-encoding: xchunked\r\n',
        b'transfer-encoding: chunked, identity\r\n',
        b'transfer-encoding : chunked\r\n',
        b'transfer-encoding: chunked\r\ntransfer-encoding: identity\r\n',
        b'x: a\r\n folded\r\ncontent-length : 4\r\n',
        b'x: a\0b\r\n',
        b'x\0: b\r\n',
        b'bad name: b\r\n',
        b'x: \x1b[2J\x07\r\n',
    ],
)
async def test_no_shape_of_one_request_becomes_two(smuggle):
    """A caller's request carries a second one inside it.

    We and the upstream disagree where the first ends, and the second runs
    as somebody else's. At most one request may leave, whole and framed by
    us, and a second answer is never given.
    """
    hidden = b'POST /services/stock/evil HTTP/1.1\r\nhost: x\r\n\r\n'
    async with open_entry() as entry:
        head = b'POST /services/stock/one HTTP/1.1\r\nhost: x\r\n'
        head += AUTH + b'Bearer ' + KEY.encode() + b'\r\n' + smuggle
        body = b'0\r\n\r\n' + hidden
        answer = await entry.send(head + b'\r\n' + body, end=True)
        seen = entry.upstream.requests
        assert len(seen) <= 1
        for request in seen:
            names = request.partition(b'\r\n\r\n')[0].lower()
            assert names.count(b'content-length') <= 1
            assert b'transfer-encoding' not in names
            assert b'evil' not in names
        assert answer.count(b'HTTP/1.1 200') <= 1


@pytest.mark.parametrize(
    'head',
    [
        b'x: ' + b'a' * 70000,
        b'\r\n'.join(b'x%d: y' % n for n in range(9000)),
        b'cookie: ' + b'b' * 40000,
    ],
)
async def test_huge_headers_are_refused(head):
    async with open_entry() as entry:
        answer = await entry.ask(ASK, head)
        assert answer[0] in (400, 431)
        assert entry.upstream.requests == []


@pytest.mark.parametrize('method', ['TRACE', 'CONNECT', 'PROPFIND', 'X' * 200])
async def test_odd_methods_do_not_reach_a_service(method):
    async with open_entry() as entry:
        path = '/services/stock/a'
        status, _ = await entry.ask(b'', path=path, method=method)
        assert 400 <= status < 500
        assert entry.upstream.requests == []


async def test_an_answer_to_head_has_no_body_and_is_not_waited_for():
    """A look-up by HEAD hangs until its deadline.

    The service's answer names the length of a body that it does not send.
    """
    async with open_entry() as entry:
        with trio.fail_after(2):
            path = '/services/stock/a'
            status, body = await entry.ask(b'', path=path, method='HEAD')
        assert (status, body) == (200, b'')


async def test_a_store_that_is_down_refuses_unrepeatable_calls():
    async with open_entry() as entry:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(entry.node.claims.run_batches)
            answer = await entry.ask(
                b'{}', b'idempotency-key: k', path='/services/stock/a'
            )
            nursery.cancel_scope.cancel()
        check_refusal(answer, 503)
        assert entry.upstream.requests == []


@pytest.mark.parametrize('sent', [b'', b'{"model"'])
async def test_a_caller_that_falls_silent_holds_nothing(sent):
    async with open_entry() as entry:
        body = b'content-length: 40\r\n\r\n' + sent
        head = f'POST {CHAT} HTTP/1.1\r\nhost: x\r\n'.encode()
        head += AUTH + b'Bearer ' + KEY.encode() + b'\r\n'
        stream = await entry.connect()
        async with stream:
            await stream.send_all(head + body)
            await trio.sleep(0.1)
            assert entry.idle()
            check_refusal(split(await read_end(stream)), 408)


@pytest.mark.parametrize('stream', [True, False])
async def test_a_caller_that_hangs_up_cancels_the_engine(stream):
    async with open_entry() as entry:
        entry.upstream.held = True
        body = json.dumps({**ASK, 'stream': stream}).encode()
        head = f'POST {CHAT} HTTP/1.1\r\nhost: x\r\n'.encode()
        head += AUTH + b'Bearer ' + KEY.encode() + b'\r\n'
        head += b'content-length: %d\r\n\r\n' % len(body)
        caller = await entry.connect()
        await caller.send_all(head + body)
        with trio.fail_after(3):
            while not entry.upstream.requests:
                await trio.sleep(0.01)
            assert not entry.idle()
            await trio.aclose_forcefully(caller)
            await entry.upstream.cut.wait()
        await entry.wait_idle()


async def test_a_caller_that_stops_reading_frees_its_engine():
    """A few callers that read nothing hold all engines.

    Their streams fill every buffer on the way and then stand still.
    """
    async with open_entry() as entry:
        entry.upstream.flooding = True
        body = json.dumps({**ASK, 'stream': True}).encode()
        head = f'POST {CHAT} HTTP/1.1\r\nhost: x\r\n'.encode()
        head += AUTH + b'Bearer ' + KEY.encode() + b'\r\n'
        head += b'content-length: %d\r\n\r\n' % len(body)
        caller = await entry.connect()
        async with caller:
            await caller.send_all(head + body)
            with trio.fail_after(5):
                await entry.upstream.cut.wait()
            await entry.wait_idle()


async def test_a_websocket_is_refused():
    async with open_entry() as entry:
        for path in ('/services/stock/a', CHAT, '/'):
            lines = [f'GET {path} HTTP/1.1', 'host: x', 'upgrade: websocket']
            lines += ['connection: upgrade', 'sec-websocket-version: 13']
            lines += ['sec-websocket-key: MDEyMzQ1Njc4OTAxMjM0NQ==']
            lines += [f'authorization: Bearer {KEY}', '', '']
            answer = await entry.send('\r\n'.join(lines).encode())
            assert 400 <= split(answer)[0] < 500
        assert entry.upstream.requests == []


async def ask_http2(entry, headers):
    """Send one request by HTTP/2 and return the status, None if cut."""
    config = h2.config.H2Configuration(
        validate_outbound_headers=False, normalize_outbound_headers=False
    )
    connection = h2.connection.H2Connection(config)
    connection.initiate_connection()
    connection.send_headers(1, headers, end_stream=True)
    stream = await entry.connect()
    async with stream:
        await stream.send_all(connection.data_to_send())
        with trio.fail_after(5):
            while data := await stream.receive_some(65536):
                for event in connection.receive_data(data):
                    if isinstance(event, h2.events.ResponseReceived):
                        return int(dict(event.headers)[b':status'])
                    if isinstance(event, h2.events.StreamReset):
                        return None
                await stream.send_all(connection.data_to_send())
    return None


@pytest.mark.parametrize(
    ('changes', 'statuses'),
    [
        ({}, {200}),
        ({'authorization': 'Bearer x'}, {401}),
        ({':method': 'GET /evil HTTP/1.1'}, {None, 400, 405}),
        ({':method': 'GET /evil HTTP/1.1\r\nx: y'}, {None, 400, 405}),
        ({':path': '/services/stock/a b'}, {None, 200, 400}),
        ({':path': '/services/stock/a?b c'}, {None, 400}),
        ({':path': '/services/stock/a?b\r\nx: y'}, {None, 400}),
        ({'x': 'a\r\nx-customer: other'}, {None, 400}),
        ({'x\r\nx-customer': 'other'}, {None, 400}),
        ({'transfer-encoding': 'chunked'}, {None, 200, 400}),
    ],
)
async def test_http2_cannot_carry_what_http1_could_not(changes, statuses):
    """A service takes a caller for another customer.

    HTTP/2 has no line ends, so names and values may hold them, and they
    come out as lines of their own where the request is sent on by HTTP/1.
    """
    headers = {
        ':method': 'GET',
        ':scheme': 'http',
        ':authority': 'x',
        ':path': '/services/stock/a',
        'authorization': f'Bearer {KEY}',
    }
    async with open_entry() as entry:
        status = await ask_http2(entry, list({**headers, **changes}.items()))
        assert status in statuses
        for seen in entry.upstream.requests:
            lines = seen.lower().split(b'\r\n')
            assert lines[0].startswith(b'get /prefix/a')
            assert lines[0].count(b' ') == 2
            assert b'x-customer: other' not in lines
            assert b'transfer-encoding: chunked' not in lines
        assert (await entry.ask(ASK))[0] == 200


JSON_VALUE = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=8,
)
FIELDS = (
    'model',
    'messages',
    'prompt',
    'max_tokens',
    'max_completion_tokens',
    'stream',
    'stream_options',
    'priority',
    'resume_text',
    'n',
)
BODY = strategies.dictionaries(
    strategies.sampled_from(FIELDS), JSON_VALUE
).map(lambda body: json.dumps({**ASK, 'prompt': 'x', **body}).encode())


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    path=strategies.sampled_from(completions.PATHS),
    data=BODY | strategies.binary(max_size=64),
)
def test_any_body_is_read_or_refused_with_a_reason(path, data):
    try:
        found = completions.parse(path, data)
    except errors.RequestError as error:
        assert error.status == 400
        assert error.to_problem()['verdict'] == 'NOT_RUN'
        return
    model = callers.Model('m', 'base', None, 'salt', 1)
    sent = json.loads(completions.engine_body(found, model))
    assert sent['model'] == 'base'
    assert sent['cache_salt'] == 'salt'
    assert 'resume_text' not in sent


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    path=strategies.text(),
    query=strategies.binary(max_size=20),
    headers=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                [b'connection', b'x-customer', b'idempotency-key', b'x']
            ),
            strategies.binary(max_size=10),
        ),
        max_size=4,
    ),
)
def test_any_service_path_is_carried_or_refused(path, query, headers):
    scope = {
        'path': services.PATH_PREFIX + path,
        'method': 'POST',
        'query_string': query,
        'headers': headers,
    }
    exchange = exchanges.Exchange(scope, None, None)
    try:
        call = services.parse(exchange, b'')
    except errors.RequestError as error:
        assert error.status in (400, 404)
        return
    assert call.path.startswith('/')
    assert call.path.isascii() and call.path.isprintable()
    assert ' ' not in call.path
    assert '..' not in call.path.partition('?')[0].split('/')
    names = {name for name, _ in call.headers}
    assert not names & {b'connection', b'x-customer'}
