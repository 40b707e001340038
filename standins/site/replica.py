"""Stand in for one replica: a model replica of a stage, or a plain one.

It reads prompts at a speed, keeps their parts, makes handles, streams
events, counts runs, and misbehaves as told.
"""

import collections.abc
import contextlib
import secrets
import time
import typing

import quart
import quart_trio
import trio

EVENT_S = 0.005
PLAIN_S = 0.01
WAIT_LIMIT_S = 1.0
# How long a replica that has ended turns requests away.
DOWN_S = 2.0


class Run(typing.NamedTuple):
    """A request that the replica began to work on."""

    request_id: str
    customer: str | None
    key_shown: bool
    first_event: int
    # Of the replica's software.
    version: str = 'v1'
    at_s: float = 0.0


class Answer(typing.NamedTuple):
    """How the replica answered a request, by its headers."""

    at_s: float
    request_id: str
    status: int
    # Whether it says that it did not run the request.
    says_not_run: bool
    is_prefill: bool = False
    # The values with which it says so.
    marks: tuple[str, ...] = ()
    signed: bool = False

    @property
    def is_unsaid(self) -> bool:
        """Return whether its request counts as run, begun or not."""
        return not self.says_not_run and not self.is_prefill


class Arrival(typing.NamedTuple):
    """A request that came."""

    at_s: float
    request_id: str
    # When a replica that is late read it.
    read_s: float
    # The start of the replica that it reached.
    born_ms: int = 0


class ToldLeaving(typing.NamedTuple):
    """A request whose answer said that the replica leaves."""

    request_id: str
    at_s: float
    born_ms: int


class ToldPause(typing.NamedTuple):
    """A request that was turned away with a pause."""

    request_id: str
    at_s: float
    pause_s: float


class Call(typing.NamedTuple):
    """Anything that came, also what is no request of a caller."""

    at_s: float
    path: str


class End(typing.NamedTuple):
    """An end of the replica, and the request that caused it, if any."""

    at_s: float
    request_id: str


# When a request came, by its id.
ArrivalTime = collections.abc.Callable[[str], float]


def _now_s(_: str) -> float:
    return trio.current_time()


class Faults:
    """What the replica does wrong; all off at first."""

    def __init__(self, ends_under: set[str] | None = None) -> None:
        # Answers with this status, and these headers, though it ran.
        self.fails_with = 0
        self.fails_headers: dict[str, str] = {}
        # Requests that failed already, here or at replicas that share it;
        # their next run does not fail.
        self.has_failed: set[str] | None = None
        # Answers at once with this status, and these headers; it begins
        # nothing, and does not say so.
        self.rejects_with = 0
        self.rejects_headers: dict[str, str] = {}
        # Says that it is full, or has too much to do.
        self.full = False
        self.busy = False
        # Says that it is another one, as after a start under a new name.
        self.changed = False
        # Runs the request and never answers.
        self.silent = False
        # Answers so much later, a stream in the middle.
        self.late_s = 0.0
        # Breaks a stream off in the middle of the event after this many,
        # unless it is a resumed one.
        self.breaks_after: int | None = None
        # The same for each run, also a resumed one.
        self.breaks_each_after: int | None = None
        # Reads prompts but then has lost what it read.
        self.loses_handles = False
        # Ends as it begins to write an answer to a prompt with one of these
        # parts, or after so many events of it; without prompts, to a request
        # with one of these paths.
        self.ends_under = set() if ends_under is None else ends_under
        self.ends_after_events = 0
        # How long it takes to end.
        self.ends_after_s = 0.0


class Replica:
    """One start of a replica and what it saw."""

    def __init__(
        self,
        name: str,
        service: str,
        failure_domain: str,
        stage: str = '',
        events: int = 5,
        tokens_per_s: float = 100000.0,
        version: str = 'v1',
    ) -> None:
        self.name = name
        self.service = service
        self.failure_domain = failure_domain
        self.stage = stage
        self.events = events
        self.tokens_per_s = tokens_per_s
        # Of its software; its events say it.
        self.version = version
        # Unix time of its start, in ms; the first one is long ago.
        self.born_ms = 1
        # How often what ran was broken off by a new start.
        self.breaks = 0
        # Whether its report of itself leaves that out.
        self.hides_start = False
        # How often a VM asked for its report.
        self.report_asks = 0
        self.faults = Faults()
        self.address = ''
        # Addresses at which single VMs find it.
        self.aliases: set[str] = set()
        self.draining = False
        self.runs: list[Run] = []
        self.reads: list[str] = []
        self.handles: dict[str, str] = {}
        self.kept: dict[str, int] = {}
        self.changes: list[list[typing.Any]] = []
        self.cancelled = 0
        # Callers that wait for changes of the cache now, and the most so far.
        self.cache_calls = 0
        # Calls for changes of the cache so far.
        self.cache_asks = 0
        self.most_cache_calls = 0
        # Changes of the cache that it no longer tells, and reads of its list.
        self.forgotten = 0
        self.lists_read = 0
        self.headers: list[dict[str, str]] = []
        # Requests that came, also those that it refused.
        self.came: list[Arrival] = []
        self.answers: list[Answer] = []
        # When a request that is read now came, by its id.
        self.received_s: ArrivalTime = _now_s
        # The limit that it names in its answers, if any, and the header for
        # it, which may be odd or given twice.
        self.limit_per_s: float | None = None
        self.limit_headers: tuple[str, ...] = ()
        self.limit_named_s: float | None = None
        # What it says in its answers of leaving; may be odd or given twice.
        self.leaving_headers: tuple[str, ...] = ()
        # The rest that it asks for as it turns requests away, likewise; it
        # turns none away without one.
        self.rest_headers: tuple[str, ...] = ()
        # Whether it also says then that it did not run the request.
        self.says_not_run = True
        # When it asked for rest.
        self.rests_s: list[float] = []
        # Which requests' answers said so.
        self.told_leaving: list[ToldLeaving] = []
        self.told_pauses: list[ToldPause] = []
        # When anything at all came, and what.
        self.calls: list[Call] = []
        # Parts of prompts that came from other replicas' memories.
        self.copied: list[str] = []
        # When it ended, and until when it turns requests away since.
        self.ends: list[End] = []
        self.down_until_s = 0.0

    @property
    def arrivals(self) -> int:
        """Return how many requests came."""
        return len(self.came)

    def name_limit(self, limit_per_s: float | None) -> None:
        """Name a limit from the next answer on, or no longer any."""
        self.limit_per_s = limit_per_s
        self.limit_headers = () if limit_per_s is None else (f'{limit_per_s}',)
        self.limit_named_s = None

    def restart(self, version: str) -> None:
        """Start again under the same name; what runs is broken off."""
        self.version = version
        self.breaks += 1
        self._begin()

    def start_again(self) -> None:
        """Start again after it drained, under the same name.

        What runs goes on to its end, as if another process had it.
        """
        self.draining = False
        self.leaving_headers = ()
        self._begin()

    def _begin(self) -> None:
        self.born_ms = max(self.born_ms + 1, round(time.time() * 1000))
        self.handles.clear()
        self.kept.clear()
        self.changes.clear()
        self.leaving_headers = self.rest_headers = ()

    def calls_between(self, from_s: float, to_s: float) -> list[Call]:
        """Return what came between two moments."""
        return [call for call in self.calls if from_s < call.at_s < to_s]

    def end(self, request_id: str = '') -> None:
        """End, and be back with nothing of before after DOWN_S."""
        now_s = trio.current_time()
        self.ends.append(End(now_s, request_id))
        self.down_until_s = now_s + DOWN_S
        self.restart(self.version)

    def entry(self) -> dict[str, typing.Any]:
        """Return what the replica registers of itself."""
        entry: dict[str, typing.Any] = {
            'service': self.service,
            'address': self.address,
            'zone': self.failure_domain,
            'version': self.version,
            'slots': 64 if self.stage else 6,
            'state': 'draining' if self.draining else 'ready',
            'cold_remaining_ms': 0,
            'sequence': 0,
            'born': self.born_ms,
        }
        if self.stage:
            entry['stage'] = self.stage
            entry['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        return entry

    def is_at(self, address: str) -> bool:
        """Return whether an address is the replica's, for any VM."""
        return address == self.address or address in self.aliases

    def taken(self) -> set[str]:
        """Return the ids of requests that it began to read or to run."""
        return {run.request_id for run in self.runs} | set(self.reads)

    def read_s(self) -> float:
        """Read the prompt of this request; return how long that takes."""
        unread = 0
        for name, tokens in _parts().items():
            if self.kept.get(name, 0) >= tokens:
                continue
            unread += tokens
            self.kept[name] = tokens
            number = len(self.changes) + 1
            self.changes.append([number, '+', '', name, tokens, 'm'])
        return unread / self.tokens_per_s


def _fetch(replica: Replica, replicas: list[Replica]) -> None:
    """Copy what another replica keeps, if the request names one."""
    address = quart.request.headers.get('kv-fetch')
    for other in replicas:
        if address is not None and other.is_at(address):
            for part in _parts():
                if part in other.kept and part not in replica.kept:
                    replica.kept[part] = other.kept[part]
                    replica.copied.append(part)


def _parts() -> dict[str, int]:
    """Return the tokens of each part of this request's prompt, by name."""
    text = quart.request.headers.get('x-prefix-hash', '')
    pairs = [part.partition(':') for part in text.split(',')]
    return {name: int(tokens) for name, _, tokens in pairs if tokens}


def _not_run(status: int) -> quart.Response:
    return quart.Response('', status, {'x-not-executed': '1'})


def _signed(
    replica: Replica, body: typing.Any, status: int = 200
) -> quart.Response:
    return quart.Response(
        body,
        status,
        {
            'x-request-id': quart.request.headers.get('x-request-id', ''),
            'x-response-signature': f'signed-by-{replica.name}',
        },
    )


def _note_run(replica: Replica, first_event: int) -> None:
    headers = quart.request.headers
    replica.headers.append({k.lower(): v for k, v in headers.items()})
    replica.runs.append(
        Run(
            headers.get('x-request-id', ''),
            headers.get('x-tenant'),
            'authorization' in headers,
            first_event,
            replica.version,
            trio.current_time(),
        )
    )


def _take_source(replica: Replica, replicas: list[Replica]) -> bool:
    """Take the KV cache that the request names; say whether it is there."""
    source = quart.request.headers.get('x-kv-source')
    if source is None:
        return True
    address, _, handle = source.partition('/')
    for other in replicas:
        if other.is_at(address) and handle in other.handles:
            replica.kept.update(_parts())
            found = other.handles.pop(handle)
            return found == quart.request.headers['x-request-id']
    return False


async def _read(replica: Replica) -> typing.Any:
    request_id = quart.request.headers['x-request-id']
    replica.reads.append(request_id)
    await trio.sleep(replica.read_s())
    handle = secrets.token_hex(6)
    if not replica.faults.loses_handles:
        replica.handles[handle] = request_id
    return {'kv_handle': handle, 'tokens': 1, 'version': 1}


def _breaks_at(replica: Replica, first: int) -> int | None:
    """Return the event at which a run from the first one breaks off."""
    faults = replica.faults
    if faults.breaks_each_after is not None:
        return first + faults.breaks_each_after
    if first == 1 and faults.breaks_after is not None:
        return 1 + faults.breaks_after
    return None


async def _stream(replica: Replica, first: int) -> typing.Any:
    read_s = replica.read_s()
    breaks, version = replica.breaks, replica.version
    request_id = quart.request.headers.get('x-request-id', '')
    ends_at = None
    if replica.faults.ends_under.intersection(_parts()):
        ends_at = first + replica.faults.ends_after_events

    async def events():
        try:
            await trio.sleep(read_s)
            for number in range(first, replica.events + 1):
                if _breaks_at(replica, first) == number:
                    yield f'id: {number}\nda'.encode()
                    raise ConnectionAbortedError('told to break off')
                if replica.breaks != breaks:
                    raise ConnectionAbortedError('started again')
                if number == ends_at:
                    await trio.sleep(replica.faults.ends_after_s)
                    replica.end(request_id)
                    raise ConnectionAbortedError('ended')
                await trio.sleep(EVENT_S)
                if first == 1 and number == replica.events // 2:
                    await trio.sleep(replica.faults.late_s)
                yield (
                    f'id: {number}\nevent: {version}\ndata: word{number}\n\n'
                ).encode()
        except trio.Cancelled:
            replica.cancelled += 1
            raise

    response = _signed(replica, events())
    response.content_type = 'text/event-stream'
    response.timeout = None
    return response


async def _answer_whole(replica: Replica) -> quart.Response:
    """Answer a request without a prompt, unless the replica ends meanwhile."""
    headers, breaks = quart.request.headers, replica.breaks
    await trio.sleep(PLAIN_S + replica.faults.late_s)
    if quart.request.path in replica.faults.ends_under:
        replica.end(headers.get('x-request-id', ''))
    if replica.breaks == breaks:
        return _signed(replica, f'done by {replica.name}')

    async def break_off() -> collections.abc.AsyncIterator[bytes]:
        raise ConnectionAbortedError('ended')
        yield b''

    return _signed(replica, break_off())


async def _answer(replica: Replica, replicas: list[Replica]) -> typing.Any:
    """Serve a request, and note how it is answered."""
    response = await _serve(replica, replicas)
    headers = quart.request.headers
    status, marks, signed = 200, (), False
    if isinstance(response, quart.Response):
        status = response.status_code
        marks = tuple(response.headers.getlist('x-not-executed'))
        signed = 'x-response-signature' in response.headers
    replica.answers.append(
        Answer(
            trio.current_time(),
            headers.get('x-request-id', ''),
            status,
            status == 421 or bool(marks),
            headers.get('x-stage') == 'prefill',
            marks,
            signed,
        )
    )
    return response


async def _serve(replica: Replica, replicas: list[Replica]) -> typing.Any:
    headers = quart.request.headers
    await quart.request.get_data()
    faults = replica.faults
    request_id = headers.get('x-request-id', '')
    replica.came.append(
        Arrival(
            replica.received_s(request_id),
            request_id,
            trio.current_time(),
            replica.born_ms,
        )
    )
    rejection = _rejection(replica)
    if rejection is not None:
        return rejection
    _note_leaving(replica, request_id)
    if replica.rest_headers:
        return _ask_rest(replica, request_id)
    _fetch(replica, replicas)
    if headers.get('x-stage') == 'prefill':
        return await _read(replica)
    if replica.stage == 'prefill':
        return _not_run(421)
    if not _take_source(replica, replicas):
        return _not_run(503)
    first = int(headers.get('last-event-id', 0)) + 1
    _note_run(replica, first)
    if faults.silent:
        await trio.sleep_forever()
    if _is_to_fail(faults, request_id):
        response = _signed(replica, 'failed', faults.fails_with)
        response.headers.update(faults.fails_headers)
        return response
    if replica.stage:
        return await _stream(replica, first)
    return await _answer_whole(replica)


def _rejection(replica: Replica) -> quart.Response | None:
    """Return the answer of a replica that takes no request, if it doesn't."""
    faults = replica.faults
    expected = quart.request.headers.get('x-expect-instance')
    if faults.changed or expected != replica.name:
        return quart.Response('', 421, {'x-instance-id': replica.name})
    if faults.full or trio.current_time() < replica.down_until_s:
        return _not_run(503)
    if faults.busy:
        return _not_run(429)
    if faults.rejects_with:
        return quart.Response('', faults.rejects_with, faults.rejects_headers)
    return None


def _is_to_fail(faults: Faults, request_id: str) -> bool:
    if not faults.fails_with or faults.has_failed is None:
        return bool(faults.fails_with)
    is_first = request_id not in faults.has_failed
    faults.has_failed.add(request_id)
    return is_first


def _note_leaving(replica: Replica, request_id: str) -> None:
    if replica.leaving_headers == ('1',):
        replica.told_leaving.append(
            ToldLeaving(request_id, trio.current_time(), replica.born_ms)
        )


def _ask_rest(replica: Replica, request_id: str) -> quart.Response:
    """Turn a request away, and ask for rest."""
    response = _not_run(503) if replica.says_not_run else quart.Response('')
    response.status_code = 503
    for value in replica.rest_headers:
        response.headers.add('retry-after', value)
        with contextlib.suppress(ValueError):
            replica.told_pauses.append(
                ToldPause(request_id, trio.current_time(), float(value))
            )
    replica.rests_s.append(trio.current_time())
    return response


def _report(replica: Replica) -> typing.Any:
    replica.report_asks += 1
    if quart.request.headers.get('x-expect-instance') != replica.name:
        return quart.Response('', 421, {'x-instance-id': replica.name})
    found = {'stage': replica.stage, 'sequence': 0}
    if not replica.hides_start:
        found['born'] = replica.born_ms
    return found


def _observe(app: quart_trio.QuartTrio, replica: Replica) -> None:
    """Note what comes, and add what the replica says of itself."""

    @app.before_request
    async def note_call() -> None:
        replica.calls.append(Call(trio.current_time(), quart.request.path))

    @app.after_request
    async def add_headers(response: quart.Response) -> quart.Response:
        request_id = quart.request.headers.get('x-request-id')
        if request_id is not None:
            response.headers['x-request-id'] = request_id
        for value in replica.leaving_headers:
            response.headers.add('server-leaving', value)
        for value in replica.limit_headers:
            response.headers.add('server-limit', value)
            if replica.limit_named_s is None:
                replica.limit_named_s = trio.current_time()
        return response


def create_app(
    replica: Replica, replicas: list[Replica]
) -> quart_trio.QuartTrio:
    """Return the application of a replica; the others hold KV caches."""
    app = quart_trio.QuartTrio(f'standins.site.{replica.name}')

    _observe(app, replica)

    @app.get('/api/kv-events')
    async def kv_events():
        since = int(quart.request.args['since'])
        wait_s = int(quart.request.headers.get('wait-ms', 0)) / 1000
        replica.cache_asks += 1
        replica.cache_calls += 1
        replica.most_cache_calls = max(
            replica.most_cache_calls, replica.cache_calls
        )
        try:
            with trio.move_on_after(min(wait_s, WAIT_LIMIT_S)):
                while len(replica.changes) <= since:
                    await trio.sleep(0.02)
        finally:
            replica.cache_calls -= 1
        return {
            'epoch': f'{replica.name}/{replica.born_ms}',
            'next': len(replica.changes),
            'lost': int(since < replica.forgotten),
            'events': replica.changes[max(since, replica.forgotten) :],
        }

    @app.get('/api/report')
    async def report():
        return _report(replica)

    @app.get('/api/kv-list')
    async def kv_list():
        replica.lists_read += 1
        return {
            'epoch': f'{replica.name}/{replica.born_ms}',
            'next': len(replica.changes),
            'held': [['', p, t, 'm'] for p, t in replica.kept.items()],
        }

    @app.delete('/api/kv-handle/<handle>')
    async def release(handle: str):
        replica.handles.pop(handle, None)
        return {}

    @app.route(
        '/<path:_>', methods=['GET', 'POST', 'PUT'], strict_slashes=False
    )
    async def anything(_: str):
        return await _answer(replica, replicas)

    return app
