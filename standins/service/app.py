"""Register entries, each call a new one, and look up stock."""

import random
import typing
import uuid

import quart
import quart_trio
import trio
import xxhash

from standins import history


class Options(typing.NamedTuple):
    """How one service differs, and its faults."""

    name: str = 'service'
    # Share of stock look-ups that are slow, and how slow.
    slow_share: float = 0.0
    slow_s: float = 2.0
    delay_s: float = 0.0
    seed: int = 0


def create_app(
    options: Options, record: history.History
) -> quart_trio.QuartTrio:
    """Return the service's application."""
    app = quart_trio.QuartTrio(__name__)
    entries: list[str] = []
    chance = random.Random(options.seed)

    async def note_run(path: str) -> str:
        headers = quart.request.headers
        request_id = headers.get('x-request-id') or uuid.uuid4().hex
        record.add(
            'run',
            path=path,
            request_id=request_id,
            idempotency_key=headers.get('idempotency-key'),
            headers=dict(headers),
            body_digest=xxhash.xxh64_hexdigest(await quart.request.get_data()),
        )
        return request_id

    @app.post('/register')
    async def register():
        request_id = await note_run('/register')
        # The entry stands before the answer: a caller that does not get the
        # answer may still be registered.
        entries.append(request_id)
        number = len(entries)
        await trio.sleep(options.delay_s)
        answer = {'number': number, 'request_id': request_id}
        return answer, 200, {'x-request-id': request_id}

    @app.get('/stock/<path:item>')
    async def stock(item: str):
        request_id = await note_run(f'/stock/{item}')
        slow = chance.random() < options.slow_share
        await trio.sleep(options.slow_s if slow else options.delay_s)
        count = xxhash.xxh64_intdigest(item.encode()) % 100
        answer = {'item': item, 'count': count}
        return answer, 200, {'x-request-id': request_id}

    @app.get('/healthz')
    async def healthz():
        return {'state': 'serving'}

    @app.get('/switch/history')
    async def get_history():
        return {'events': [event._asdict() for event in record.events]}

    return app
