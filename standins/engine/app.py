"""Serve an engine's protocol over HTTP.

Bodies are OpenAI-style, with these fields besides: ``priority``,
``cache_salt`` and ``resume_text``. A resumed request carries the original
``prompt`` and ``max_tokens``: the whole answer ends at the same word, and
the run makes only those that are missing.
"""

import json
import typing
import uuid

import httpx
import quart
import quart_trio
import trio
import xxhash

from gentianstair.util import prefix_hashing
from standins import history
from standins.engine import model
from standins.engine import orders
from standins.engine import words

NOT_STARTED = 'x-not-started'
DEFAULT_MAX_TOKENS = 16
EVENTS_WAIT_S = 30.0
EVENTS_POLL_S = 0.05


class Service(typing.NamedTuple):
    """An engine with what serves it."""

    engine: model.Engine
    book: orders.OrderBook
    history: history.History
    # Hashes of the blocks of each export, by transfer.
    transfers: dict[str, tuple[int, ...]]


class Job(typing.NamedTuple):
    """A request being answered."""

    request_id: str
    model: str
    prompt: str
    prompt_tokens: int
    start: int
    end: int
    reason: str
    chat: bool
    include_usage: bool
    sequence: model.Sequence


def make_service(
    options: model.Options, record: history.History | None = None
) -> Service:
    """Return a service with a new engine."""
    record = record or history.History(options.name)
    engine = model.Engine(options)
    return Service(engine, orders.OrderBook(engine, record), record, {})


def _model_name(service: Service, body: dict) -> str:
    return str(body.get('model', ''))


def start_job(service: Service, request_id: str, body: dict) -> Job:
    """Give a request to the engine; raise model.RefusedError if refused."""
    name = _model_name(service, body)
    prompt = words.prompt_of(body)
    tokens = prompt.split()
    resumed = body.get('resume_text', '').split()
    limit = body.get('max_completion_tokens') or body.get('max_tokens')
    end, reason = words.wanted(prompt, int(limit or DEFAULT_MAX_TOKENS))
    salt = str(body.get('cache_salt', ''))
    request = model.Request(
        request_id,
        max(len(tokens) + len(resumed), 1),
        max(end - len(resumed), 1),
        prefix_hashing.block_hashes(tokens + resumed, f'{name}\0{salt}'),
        int(body.get('priority', 0)),
        name,
    )
    sequence = service.engine.submit(request)
    chat = 'messages' in body
    options = body.get('stream_options') or {}
    return Job(
        request_id,
        name,
        prompt,
        len(tokens),
        len(resumed),
        max(end, len(resumed) + 1),
        reason,
        chat,
        bool(options.get('include_usage')),
        sequence,
    )


def _usage(job: Job) -> dict:
    made = job.sequence.produced
    return {
        'prompt_tokens': job.prompt_tokens,
        'completion_tokens': made,
        'total_tokens': job.prompt_tokens + made,
        'prompt_tokens_details': {'cached_tokens': job.sequence.cached_tokens},
    }


def _head(job: Job, kind: str) -> dict:
    return {
        'id': f'cmpl-{job.request_id}',
        'object': kind,
        'created': 0,
        'model': job.model,
    }


def _body(job: Job) -> dict:
    text = words.answer(job.model, job.prompt, job.end, job.start)
    choice: dict[str, typing.Any] = {
        'index': 0,
        'finish_reason': job.reason,
    }
    if job.chat:
        choice['message'] = {'role': 'assistant', 'content': text}
    else:
        choice['text'] = text
    kind = 'chat.completion' if job.chat else 'text_completion'
    return {**_head(job, kind), 'choices': [choice], 'usage': _usage(job)}


def _chunk_parts(job: Job) -> tuple[bytes, bytes, bytes]:
    """Return what stands before a word, after it and after the last one.

    A stream of a hundred words would build a hundred nearly equal JSON
    texts; only the word and the finish reason differ, and neither needs
    escaping.
    """
    choice: dict[str, typing.Any] = {'index': 0}
    if job.chat:
        choice['delta'] = {'content': '@'}
    else:
        choice['text'] = '@'
    choice['finish_reason'] = None
    kind = 'chat.completion.chunk' if job.chat else 'text_completion'
    text = json.dumps({**_head(job, kind), 'choices': [choice]})
    before, _, after = text.rpartition('@')
    last = after.replace('null', json.dumps(job.reason))
    return (
        b'data: ' + before.encode(),
        after.encode() + b'\n\n',
        last.encode() + b'\n\n',
    )


async def _stream(
    service: Service, job: Job
) -> typing.AsyncGenerator[bytes, None]:
    before, after, last = _chunk_parts(job)
    sent = 0
    try:
        while job.start + sent < job.end:
            made = await job.sequence.wait_past(sent)
            if made == sent:
                # Cancelled here: the caller must see a broken stream, not
                # one that looks whole.
                raise ConnectionAbortedError(job.request_id)
            parts = []
            for index in range(job.start + sent, job.start + made):
                word = words.word(job.model, job.prompt, index)
                end = last if index == job.end - 1 else after
                parts.append(before + word.encode() + end)
            sent = made
            yield b''.join(parts)
        if job.include_usage:
            kind = 'chat.completion.chunk' if job.chat else 'text_completion'
            tail = {**_head(job, kind), 'choices': [], 'usage': _usage(job)}
            yield b'data: ' + json.dumps(tail).encode() + b'\n\n'
        yield b'data: [DONE]\n\n'
    finally:
        _note_end(service, job)


def _note_end(service: Service, job: Job) -> None:
    cancelled = service.engine.cancel(job.request_id)
    if cancelled or job.sequence.state == 'cancelled':
        kind = 'request_cancelled'
    else:
        kind = 'request_finished'
    service.history.add(
        kind,
        request_id=job.request_id,
        completion_tokens=job.sequence.produced,
    )


async def _complete(service: Service) -> typing.Any:
    request_id = quart.request.headers.get('x-request-id') or uuid.uuid4().hex
    raw = await quart.request.get_data()
    body = json.loads(raw)
    try:
        job = start_job(service, request_id, body)
    except model.RefusedError as error:
        headers = {
            NOT_STARTED: '1',
            'retry-after': str(error.retry_after_s),
            'x-request-id': request_id,
        }
        return {'error': str(error)}, error.status, headers
    service.history.add(
        'request_started',
        request_id=request_id,
        salt=body.get('cache_salt', ''),
        headers=dict(quart.request.headers),
        body_digest=xxhash.xxh64_hexdigest(raw),
    )
    headers = {'x-request-id': request_id}
    if body.get('stream'):
        headers['content-type'] = 'text/event-stream'
        response = await quart.make_response(_stream(service, job), headers)
        response.timeout = None
        return response
    try:
        await job.sequence.wait_end()
    finally:
        _note_end(service, job)
    if job.sequence.state == 'cancelled':
        return {'error': 'cancelled'}, 500, headers
    return _body(job), 200, headers


def add_completions(app: quart_trio.QuartTrio, service: Service) -> None:
    """Add completions and their cancelling."""

    @app.post('/v1/completions')
    async def completions():
        return await _complete(service)

    @app.post('/v1/chat/completions')
    async def chat():
        return await _complete(service)

    @app.post('/cancel/<request_id>')
    async def cancel(request_id: str):
        return {'cancelled': service.engine.cancel(request_id)}


def load_report(service: Service) -> dict:
    """Return the load report; ``age_s`` says how old its figures are."""
    engine = service.engine
    last = service.book.last
    load = engine.load()._asdict()
    return {
        **load,
        'age_s': engine.options.load_lag_s * engine.options.time_scale,
        'role': engine.role,
        'models': sorted(engine.models),
        'epoch': last.epoch if last else 0,
        'order_number': last.order_number if last else 0,
        'state': engine.state,
    }


def add_reports(app: quart_trio.QuartTrio, service: Service) -> None:
    """Add load reports and cache events."""

    @app.get('/load')
    async def load():
        return load_report(service)

    @app.get('/cache-events')
    async def cache_events():
        after = int(quart.request.args.get('after', 0))
        wait_s = float(quart.request.args.get('wait_s', 0.0))
        cache = service.engine.cache
        found, last = cache.events(after)
        with trio.move_on_after(min(wait_s, EVENTS_WAIT_S)):
            while not found:
                await trio.sleep(EVENTS_POLL_S)
                found, last = cache.events(after)
        return {'events': [item._asdict() for item in found], 'next': last}


def add_orders(
    app: quart_trio.QuartTrio, service: Service, nursery: trio.Nursery
) -> None:
    """Add orders, which go on in nursery."""

    @app.post('/orders')
    async def order():
        body = await quart.request.get_json()
        wanted = orders.Order(
            int(body['epoch']),
            int(body['order_number']),
            str(body['holder']),
            str(body['type']),
            str(body.get('argument') or ''),
        )
        status, answer = await service.book.take(wanted, nursery)
        return answer, status

    @app.get('/orders/last')
    async def last_order():
        book = service.book
        if book.last is None:
            return {'state': 'none', 'epoch': 0, 'order_number': 0}
        return {**book.last._asdict(), 'state': book.last_state}


def add_transfers(app: quart_trio.QuartTrio, service: Service) -> None:
    """Add the export and import of KV cache."""

    @app.post('/kv/export')
    async def export():
        body = await quart.request.get_json()
        found = service.engine.export_kv(body['hashes'])
        transfer_id = uuid.uuid4().hex
        service.transfers[transfer_id] = found
        costs = service.engine.costs
        size = len(found) * costs.block_tokens * costs.kv_token_bytes
        duration_s = costs.kv_setup_s + size / costs.kv_bytes_per_s
        return {
            'transfer_id': transfer_id,
            'bytes': size,
            'duration_s': duration_s,
        }

    @app.get('/kv/transfers/<transfer_id>')
    async def transfer(transfer_id: str):
        if transfer_id not in service.transfers:
            return {}, 404
        return {'hashes': service.transfers[transfer_id]}

    @app.post('/kv/import')
    async def import_():
        body = await quart.request.get_json()
        async with httpx.AsyncClient() as client:
            url = f'{body["source_url"]}/kv/transfers/{body["transfer_id"]}'
            answer = await client.get(url)
        if answer.status_code != 200:
            return {'error': 'no such transfer'}, 404
        hashes = answer.json()['hashes']
        try:
            await service.engine.import_kv(hashes)
        except model.RefusedError as error:
            headers = {'retry-after': str(error.retry_after_s)}
            return {'error': str(error)}, error.status, headers
        return {'blocks': len(hashes)}


def create_app(
    service: Service, nursery: trio.Nursery
) -> quart_trio.QuartTrio:
    """Return the application; orders go on in nursery."""
    app = quart_trio.QuartTrio(__name__)
    add_completions(app, service)
    add_reports(app, service)
    add_orders(app, service, nursery)
    add_transfers(app, service)

    @app.get('/switch/history')
    async def get_history():
        events = [event._asdict() for event in service.history.events]
        return {'events': events}

    return app
