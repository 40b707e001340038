"""Search all output of an entry for callers' keys."""

import io
import json
import logging
import sys

import loguru
import prometheus_client
import pytest

from gentianstair.entry import callers
from gentianstair.util import logs
from test.entry import test_bad_input as bad_input

KEY = bad_input.KEY
UNKNOWN_KEY = 'sk-foreign-0123456789'
COMPLETION = bad_input.COMPLETION


@pytest.fixture
def log_output():
    hook, handlers = sys.excepthook, logging.root.handlers[:]
    stream = io.StringIO()
    logs.setup('DEBUG', 'vm-1', 'north', stream)
    yield stream
    loguru.logger.remove()
    sys.excepthook, logging.root.handlers[:] = hook, handlers


def _raise_with_key(*args):
    raise RuntimeError(f'cannot read authorization: Bearer {KEY} of {args}')


@pytest.mark.promise
async def test_keys_do_not_appear_in_logs_upstream_requests_or_metrics(
    log_output, monkeypatch
):
    """Guard against leaks of callers' keys to upstreams or operators.

    A key could leak in a forwarded header, a log line, an explanation or a
    traceback.
    """
    bearer = b'authorization: Bearer '
    unknown_key_header = bearer + UNKNOWN_KEY.encode()
    names = (b'x-api-key', b'cookie', b'proxy-authorization')
    extra = [name + b': ' + KEY.encode() for name in names]
    stock = '/services/stock/a'
    answers = []
    async with bad_input.open_entry() as entry:
        ask = entry.ask
        answers += [
            await ask(COMPLETION),
            await ask({**COMPLETION, 'stream': True}),
        ]
        answers.append(await ask(COMPLETION, unknown_key_header))
        answers.append(
            await ask(COMPLETION, unknown_key_header, bearer + KEY.encode())
        )
        answers.append(await ask({**COMPLETION, 'model': 'nobody'}, *extra))
        answers.append(await ask(b'{', *extra))
        for method in ('GET', 'POST', 'TRACE'):
            answers.append(await ask(b'', *extra, path=stock, method=method))
        answers.append(await ask(b'', path='/nowhere'))
        with monkeypatch.context() as patched:
            patched.setattr(callers, 'resolve_model', _raise_with_key)
            answers.append(await ask(COMPLETION))
        explanations = [
            entry.node.explanations.get(name)
            for name in list(entry.node.explanations._requests)
        ]
        sent = b''.join(entry.upstream.requests)
    assert {status for status, _ in answers} >= {200, 400, 401, 404, 500}
    assert len(explanations) >= 8 and sent.count(b'HTTP/1.1') >= 4
    lines = log_output.getvalue()
    assert 'cannot read authorization' in lines
    assert all(json.loads(line)['vm'] == 'vm-1' for line in lines.splitlines())
    outputs = {
        'log': lines,
        'sent': sent.decode('latin-1'),
        'answers': repr(answers),
        'explanations': json.dumps(explanations),
        'metrics': prometheus_client.generate_latest().decode(),
    }
    for secret in (KEY, UNKNOWN_KEY):
        assert [o for o in outputs if secret in outputs[o]] == []
