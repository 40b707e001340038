"""Answer as one replica of the small site does.

It reads prompts at a speed, makes handles, streams events, counts runs, and
misbehaves as told.
"""

import collections.abc
import contextlib
import secrets
import typing

import quart
import quart_trio
import trio

from standins.site import replica as states

PLAIN_S = 0.01
WAIT_LIMIT_S = 1.0


def _fetch(replica: states.Replica, replicas: list[states.Replica]) -> None:
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
    replica: states.Replica, body: typing.Any, status: int = 200
) -> quart.Response:
    response = quart.Response(
        body,
        status,
        {
            'x-request-id': quart.request.headers.get('x-request-id', ''),
            'x-response-signature': f'signed-by-{replica.name}',
        },
    )
    if replica.weights is not None:
        response.headers['x-weight-versions'] = str(replica.weights)
    return response


def _note_run(replica: states.Replica, first_event: int) -> None:
    headers = quart.request.headers
    replica.headers.append({k.lower(): v for k, v in headers.items()})
    replica.runs.append(
        states.Run(
            headers.get('x-request-id', ''),
            headers.get('x-tenant'),
            'authorization' in headers,
            first_event,
            replica.version,
            trio.current_time(),
        )
    )


def _take_source(
    replica: states.Replica, replicas: list[states.Replica]
) -> bool:
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


async def _read(replica: states.Replica) -> typing.Any:
    request_id = quart.request.headers['x-request-id']
    replica.reads.append(request_id)
    await trio.sleep(replica.read_s(_parts()))
    handle = secrets.token_hex(6)
    if not replica.faults.loses_handles:
        replica.handles[handle] = request_id
    version = 1 if replica.weights is None else replica.weights
    return {'kv_handle': handle, 'tokens': 1, 'version': version}


def _breaks_at(replica: states.Replica, first: int) -> int | None:
    """Return the event at which a run from the first one breaks off."""
    faults = replica.faults
    if faults.breaks_each_after is not None:
        return first + faults.breaks_each_after
    if first == 1 and faults.breaks_after is not None:
        return 1 + faults.breaks_after
    return None


def _numbers(replica: states.Replica, first: int) -> list[int]:
    """Return the events of a run from the first one, in its order."""
    numbers = list(range(first, replica.events + 1))
    middle, back = len(numbers) // 2, replica.faults.goes_back
    if back is not None and middle > back:
        numbers.insert(middle, numbers[middle - 1 - back])
    swaps = replica.faults.swaps_after
    if swaps is not None and first == 1 and len(numbers) > swaps + 1:
        numbers[swaps : swaps + 2] = reversed(numbers[swaps : swaps + 2])
    return numbers


def _asked_event() -> int:
    """Return the number of the event with which a run is to begin."""
    return int(quart.request.headers.get('last-event-id', 0)) + 1


async def _stream(replica: states.Replica, first: int) -> typing.Any:
    read_s = replica.read_s(_parts())
    breaks, version = replica.breaks, replica.version
    request_id = quart.request.headers.get('x-request-id', '')
    ends_at, weights = None, replica.weights
    word = states.WORD if first == _asked_event() else states.STRAY_WORD
    if replica.faults.ends_under.intersection(_parts()):
        ends_at = first + replica.faults.ends_after_events

    async def events():
        told = weights
        try:
            await trio.sleep(read_s)
            for number in _numbers(replica, first):
                if _breaks_at(replica, first) == number:
                    yield f'id: {number}\nda'.encode()
                    raise ConnectionAbortedError('told to break off')
                if replica.breaks != breaks:
                    raise ConnectionAbortedError('started again')
                if number == ends_at:
                    await trio.sleep(replica.faults.ends_after_s)
                    replica.end(request_id)
                    raise ConnectionAbortedError('ended')
                await trio.sleep(replica.event_s)
                if first == 1 and number == replica.events // 2:
                    await trio.sleep(replica.faults.late_s)
                if replica.weights != told:
                    told = replica.weights
                    yield f'x-weight-versions: {told}\n'.encode()
                yield (
                    f'id: {number}\nevent: {version}\ndata: {word}{number}\n\n'
                ).encode()
        except trio.Cancelled:
            replica.note_cancelled(breaks)
            raise

    response = _signed(replica, events())
    response.content_type = 'text/event-stream'
    response.timeout = None
    return response


async def _answer_whole(replica: states.Replica) -> quart.Response:
    """Answer a request without a prompt, unless the replica ends meanwhile."""
    headers, breaks = quart.request.headers, replica.breaks
    await trio.sleep(PLAIN_S + replica.faults.late_s)
    if quart.request.path in replica.faults.ends_under:
        replica.end(headers.get('x-request-id', ''))
    if replica.breaks == breaks:
        text = f'done by {replica.name}'
        return _signed(replica, text.ljust(replica.padding_bytes))

    async def break_off() -> collections.abc.AsyncIterator[bytes]:
        raise ConnectionAbortedError('ended')
        yield b''

    return _signed(replica, break_off())


async def _answer(
    replica: states.Replica, replicas: list[states.Replica]
) -> typing.Any:
    """Serve a request, and note how it is answered."""
    response = await _serve(replica, replicas)
    headers = quart.request.headers
    status, marks, signed = 200, (), False
    if isinstance(response, quart.Response):
        status = response.status_code
        marks = tuple(response.headers.getlist('x-not-executed'))
        signed = 'x-response-signature' in response.headers
    replica.answers.append(
        states.Answer(
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


async def _serve(
    replica: states.Replica, replicas: list[states.Replica]
) -> typing.Any:
    headers = quart.request.headers
    await quart.request.get_data()
    faults = replica.faults
    request_id = headers.get('x-request-id', '')
    replica.came.append(
        states.Arrival(
            replica.received_s(request_id),
            request_id,
            trio.current_time(),
            replica.born_ms,
            headers.get('x-stage') == 'prefill',
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
    first = _first_event(replica)
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


def _first_event(replica: states.Replica) -> int:
    """Return the number of the event with which a run begins."""
    headers, faults = quart.request.headers, replica.faults
    has_handle = 'x-kv-source' in headers
    if faults.starts_over == 'always' or (faults.starts_over and has_handle):
        return 1
    return max(1, _asked_event() - int(faults.begins_early))


def _rejection(replica: states.Replica) -> quart.Response | None:
    """Return the answer of a replica that takes no request, if it doesn't."""
    faults = replica.faults
    expected = quart.request.headers.get('x-expect-instance')
    weights = quart.request.headers.get('x-expect-version')
    if weights is not None and weights != str(replica.weights):
        return _not_run(421)
    if faults.changed or expected != replica.name:
        return quart.Response('', 421, {'x-instance-id': replica.name})
    if faults.full or trio.current_time() < replica.down_until_s:
        return _not_run(503)
    if faults.busy:
        return _not_run(429)
    if faults.rejects_with:
        return quart.Response('', faults.rejects_with, faults.rejects_headers)
    return None


def _is_to_fail(faults: states.Faults, request_id: str) -> bool:
    if not faults.fails_with or faults.has_failed is None:
        return bool(faults.fails_with)
    is_first = request_id not in faults.has_failed
    faults.has_failed.add(request_id)
    return is_first


def _note_leaving(replica: states.Replica, request_id: str) -> None:
    if replica.leaving_headers == ('1',):
        replica.told_leaving.append(
            states.ToldLeaving(
                request_id, trio.current_time(), replica.born_ms
            )
        )


def _ask_rest(replica: states.Replica, request_id: str) -> quart.Response:
    """Turn a request away, and ask for rest."""
    response = _not_run(503) if replica.says_not_run else quart.Response('')
    response.status_code = 503
    for value in replica.rest_headers:
        response.headers.add('retry-after', value)
        with contextlib.suppress(ValueError):
            replica.told_pauses.append(
                states.ToldPause(request_id, trio.current_time(), float(value))
            )
    replica.rests_s.append(trio.current_time())
    return response


def _report(replica: states.Replica) -> typing.Any:
    replica.report_asks += 1
    if quart.request.headers.get('x-expect-instance') != replica.name:
        return quart.Response('', 421, {'x-instance-id': replica.name})
    found = {'stage': replica.stage, 'sequence': 0}
    if not replica.hides_start:
        found['born'] = replica.born_ms
    return found


def _observe(app: quart_trio.QuartTrio, replica: states.Replica) -> None:
    """Note what comes, and add what the replica says of itself."""

    @app.before_request
    async def note_call() -> None:
        replica.calls.append(
            states.Call(trio.current_time(), quart.request.path)
        )

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
    replica: states.Replica, replicas: list[states.Replica]
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
        await trio.sleep(replica.faults.report_late_s)
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
