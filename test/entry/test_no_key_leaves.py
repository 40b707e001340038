"""Search everything an entry writes and sends for a caller's key."""

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
WRONG = 'sk-foreign-0123456789'
ASK = bad_input.ASK


@pytest.fixture
def written():
    hook, handlers = sys.excepthook, logging.root.handlers[:]
    stream = io.StringIO()
    logs.setup('DEBUG', 'vm-1', 'north', stream)
    yield stream
    loguru.logger.remove()
    sys.excepthook, logging.root.handlers[:] = hook, handlers


def _fail(*args):
    raise RuntimeError(f'cannot read authorization: Bearer {KEY} of {args}')


@pytest.mark.promise
async def test_no_key_is_written_or_sent_on(written, monkeypatch):
    """An upstream's operator, or a reader of logs, uses a caller's key.

    The key came along in a header that was passed on, in a line that was
    logged, in the reasons kept for operators or in a traceback. Requests
    of all kinds and ends are made with a key, and all output is searched.
    """
    bearer = b'authorization: Bearer '
    foreign = bearer + WRONG.encode()
    names = (b'x-api-key', b'cookie', b'proxy-authorization')
    extra = [name + b': ' + KEY.encode() for name in names]
    stock = '/services/stock/a'
    answers = []
    async with bad_input.open_entry() as entry:
        ask = entry.ask
        answers += [await ask(ASK), await ask({**ASK, 'stream': True})]
        answers.append(await ask(ASK, foreign))
        answers.append(await ask(ASK, foreign, bearer + KEY.encode()))
        answers.append(await ask({**ASK, 'model': 'nobody'}, *extra))
        answers.append(await ask(b'{', *extra))
        for method in ('GET', 'POST', 'TRACE'):
            answers.append(await ask(b'', *extra, path=stock, method=method))
        answers.append(await ask(b'', path='/nowhere'))
        with monkeypatch.context() as patched:
            patched.setattr(callers, 'resolve_model', _fail)
            answers.append(await ask(ASK))
        kept = [
            entry.node.explanations.get(name)
            for name in list(entry.node.explanations._requests)
        ]
        sent = b''.join(entry.upstream.requests)
    assert {status for status, _ in answers} >= {200, 400, 401, 404, 500}
    assert len(kept) >= 8 and sent.count(b'HTTP/1.1') >= 4
    lines = written.getvalue()
    assert 'cannot read authorization' in lines
    assert all(json.loads(line)['vm'] == 'vm-1' for line in lines.splitlines())
    outputs = {
        'log': lines,
        'sent': sent.decode('latin-1'),
        'answers': repr(answers),
        'explanations': json.dumps(kept),
        'metrics': prometheus_client.generate_latest().decode(),
    }
    for secret in (KEY, WRONG):
        assert [o for o in outputs if secret in outputs[o]] == []
