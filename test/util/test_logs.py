"""Test that logs are JSON lines with all keys redacted."""

import io
import json
import logging
import sys

import loguru
import pytest

from gentianstair import errors
from gentianstair.util import logs

KEY = 'gst_Zm9vYmFyYmF6cXV4MTIzNDU2Nzg5MA'
# A key of a form that this project does not issue.
FOREIGN_KEY = 'sk-legacy.0123456789'


@pytest.fixture
def lines():
    hook, handlers = sys.excepthook, logging.root.handlers[:]
    stream = io.StringIO()
    logs.setup('DEBUG', 'vm-1', 'north', stream)
    yield lambda: [json.loads(x) for x in stream.getvalue().splitlines()]
    loguru.logger.remove()
    sys.excepthook, logging.root.handlers[:] = hook, handlers


def _raise(secret):
    header = f'Bearer {secret}'
    raise errors.DecodeError(f'bad header {header}')


def _log_exception(secret):
    try:
        _raise(secret)
    except errors.DecodeError:
        loguru.logger.exception('failed')


def _crash(secret):
    try:
        _raise(secret)
    except errors.DecodeError as error:
        sys.excepthook(type(error), error, error.__traceback__)


# Log calls that include a key.
# Of a line; a collector may drop what stands behind.
CUT_CHARS = 200
LOG_CALLS = [
    lambda key: loguru.logger.info(f'header Authorization: Bearer {key}'),
    lambda key: loguru.logger.info('sent {}', {'authorization': key}),
    lambda key: loguru.logger.info(f"{[('authorization', key)]}"),
    lambda key: loguru.logger.info(f'{[(b"authorization", key.encode())]}'),
    lambda key: loguru.logger.info(f'api_key={key} x-api-key: {key}'),
    lambda key: loguru.logger.info(json.dumps({'api_key': key})),
    lambda key: loguru.logger.bind(secret=key).info('bound'),
    lambda key: loguru.logger.bind(h={'Api-Key': key}).info('bound'),
    lambda key: loguru.logger.bind(h=[f'bearer  {key}']).info('bound'),
    lambda key: loguru.logger.bind(h=f'Bearer {key}'.encode()).info('bound'),
    _log_exception,
    lambda key: logging.getLogger('library').error('key=%r', f'Bearer {key}'),
    _crash,
]


@pytest.mark.promise
@pytest.mark.parametrize('key', [KEY, FOREIGN_KEY])
@pytest.mark.parametrize('log_call', LOG_CALLS)
def test_logged_keys_are_redacted(lines, log_call, key):
    """Guards against keys in messages, fields and tracebacks."""
    log_call(key)
    written = json.dumps(lines())
    assert key not in written
    assert logs.REDACTED in written


def test_issued_keys_are_redacted_without_a_secret_name(lines):
    loguru.logger.info(f'GET /x?k={KEY}')
    loguru.logger.bind(h=[(1, {'path': f'/{KEY}/x'})]).info('bound')
    assert KEY[4:] not in json.dumps(lines())


def test_line_has_the_bound_fields_and_unchanged_text(lines):
    bound = dict.fromkeys(logs.FIELDS, 'x') | {'vm': 'vm-1', 'n': 3}
    loguru.logger.bind(**bound).warning('a\nb\x1b[2J {not a field}')
    (line,) = lines()
    assert bound.items() <= line.items()
    assert line['level'] == 'WARNING'
    assert line['message'] == 'a\nb\x1b[2J {not a field}'


def test_what_tells_a_line_from_others_survives_a_cut(lines):
    # Guards against lines whose request nobody can name once they are cut.
    loguru.logger.bind(
        event='answer',
        customer='club',
        request_id='r1',
        status=503,
        verdict='NOT_RUN',
        no_retry='no-budget',
        outcomes='503 denied',
    ).info('answered 503')
    (line,) = lines()
    assert list(line) == [
        'at',
        'event',
        'request_id',
        'status',
        'verdict',
        'outcomes',
        'no_retry',
        'level',
        'build',
        'message',
        'customer',
        'module',
        'vm',
        'failure_domain',
    ]


@pytest.mark.parametrize(
    ('verdict', 'outcomes', 'no_retry'),
    [
        ('NOT_RUN', '503 denied, 503 denied', 'max-attempts'),
        ('NOT_RUN', 'prefill-denied, 503 denied', 'no-budget'),
        ('NOT_RUN', 'prefill, not-sent', 'unreachable'),
        ('MAY_HAVE_RUN', '200 failure', 'max-attempts'),
        ('MAY_HAVE_RUN', '503 denied, sent', 'run-once'),
    ],
)
@pytest.mark.parametrize('event', ['answer', 'refusal', 'try-failed'])
def test_what_a_verdict_rests_on_survives_a_cut(
    event, verdict, outcomes, no_retry
):
    # Guards against a record of a case that says not why it is one.
    fields = {
        'event': event,
        'request_id': '0123456789abcdef',
        'status': 503,
        'verdict': verdict,
        'outcomes': outcomes,
        'no_retry': no_retry,
    }
    written = io.StringIO()
    logs.setup('DEBUG', 'vm-1', 'a', written)
    loguru.logger.bind(**fields).info('refused')
    loguru.logger.remove()
    kept = written.getvalue()[:CUT_CHARS]
    missing = [
        name
        for name, value in fields.items()
        if json.dumps({name: value})[1:-1] not in kept
    ]
    assert missing == [], kept
