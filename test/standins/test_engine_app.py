"""Test the engine stand-in's HTTP protocol."""

import json

import pytest
import trio

from standins.engine import app
from standins.engine import model
from standins.engine import words


def start(nursery, **options):
    service = app.make_service(model.Options(**options))
    nursery.start_soon(service.engine.run)
    return service, app.create_app(service, nursery).test_client()


async def read_stream(client, path, body):
    answer = await client.post(
        path, json={**body, 'stream': True}, headers={'x-request-id': 'r'}
    )
    assert answer.headers['x-request-id'] == 'r'
    lines = (await answer.get_data()).decode().split('\n\n')
    assert lines[-2:] == ['data: [DONE]', '']
    return [json.loads(line.removeprefix('data: ')) for line in lines[:-2]]


@pytest.mark.parametrize(
    ('delivered', 'prompt', 'reason'),
    [(0, 'say it', 'length'), (4, 'say it', 'length'), (2, '[words=5]', '')],
)
async def test_resumed_stream_joins_without_gap_or_repeat(
    autojump_clock, delivered, prompt, reason
):
    async with trio.open_nursery() as nursery:
        _, client = start(nursery)
        whole = words.answer('m', prompt, 7 if reason else 5)
        before = words.answer('m', prompt, delivered)
        body = {
            'model': 'm',
            'prompt': prompt,
            'max_tokens': 7,
            'resume_text': before,
            'stream_options': {'include_usage': True},
        }
        chunks = await read_stream(client, '/v1/completions', body)
        text = ''.join(c['choices'][0]['text'] for c in chunks[:-1])
        assert before + text == whole
        last = chunks[-2]['choices'][0]['finish_reason']
        assert last == (reason or 'stop')
        used = chunks[-1]['usage']['completion_tokens']
        assert used == len(whole.split()) - delivered
        assert {chunk['id'] for chunk in chunks} == {'cmpl-r'}
        nursery.cancel_scope.cancel()


async def test_chat_and_plain_answers_are_the_same_text(autojump_clock):
    async with trio.open_nursery() as nursery:
        service, client = start(nursery)
        body = {
            'model': 'm',
            'messages': [{'role': 'user', 'content': 'say it'}],
            'max_tokens': 3,
        }
        chunks = await read_stream(client, '/v1/chat/completions', body)
        text = ''.join(c['choices'][0]['delta']['content'] for c in chunks)
        answer = await client.post('/v1/chat/completions', json=body)
        found = (await answer.get_json())['choices'][0]['message']['content']
        assert found == text == words.answer('m', 'say it', 3)
        types = [event.type for event in service.history.events]
        assert types == ['request_started', 'request_finished'] * 2
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('state', 'waiting', 'status'),
    [('draining', 256, 503), ('serving', 0, 429)],
)
async def test_refusal_proves_that_nothing_started(
    autojump_clock, state, waiting, status
):
    async with trio.open_nursery() as nursery:
        costs = model.Options().costs._replace(max_waiting=waiting)
        service, client = start(nursery, costs=costs)
        service.engine.state = state
        answer = await client.post('/v1/completions', json={'prompt': 'a'})
        assert answer.status_code == status
        assert answer.headers['x-not-started'] == '1'
        assert float(answer.headers['retry-after']) > 0
        assert service.history.events == []
        nursery.cancel_scope.cancel()


async def test_exported_kv_is_a_cached_prefix_elsewhere(autojump_clock):
    async with trio.open_nursery() as nursery:
        source, _ = start(nursery)
        target, _ = start(nursery)
        body = {'model': 'm', 'prompt': 'word ' * 200, 'max_tokens': 1}
        job = app.start_job(source, 'a', body)
        await job.sequence.wait_end()
        hashes = job.sequence.request.hashes
        found = source.engine.export_kv(hashes)
        assert found == hashes
        # 3 blocks of 8 MiB at 10 GB/s and 4 ms.
        before_s = trio.current_time()
        await target.engine.import_kv(found)
        assert trio.current_time() - before_s == pytest.approx(
            0.004 + 3 * 64 * 131072 / 10e9
        )
        job = app.start_job(target, 'b', body)
        await job.sequence.wait_end()
        assert job.sequence.cached_tokens == 192
        nursery.cancel_scope.cancel()
