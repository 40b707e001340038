"""Write logs as JSON lines to standard error, never with a key in them."""

import json
import logging
import re
import sys
import traceback
import types
import typing

import loguru

# Fields that may be bound; each has few or short values.
FIELDS = (
    'request_id',
    'customer',
    'vm',
    'failure_domain',
    'upstream',
    'verdict',
)
REDACTED = '[redacted]'
MAX_TEXT_CHARS = 8000
LIBRARY_LEVEL = logging.WARNING
_SECRET_NAMES = frozenset(
    {'authorization', 'api_key', 'key', 'secret', 'password'}
)
# A caller key as granted, and a private key.
_SECRET_PATTERN = re.compile(
    r'gst_[A-Za-z0-9_-]{8,}'
    r'|-----BEGIN[A-Z ]*PRIVATE KEY-----.*?(?:-----END|$)',
    re.DOTALL,
)
# What is assigned to a name that promises a secret, or follows "Bearer". A
# header shows as ``authorization: x``, ``'authorization', 'x'`` or
# ``b'authorization', b'x'``.
_ASSIGNED_SECRET_PATTERN = re.compile(
    r'''((?:authorization|api[-_]key|password|secret)['"]?\s*[:=,]\s*'''
    r'''(?:b?['"])?|\b(?:bearer|basic)\s)'''
    r'''(?:\s*(?:bearer|basic)\s)?\s*[^\s'",)}\]]+''',
    re.IGNORECASE,
)


def redact(text: str) -> str:
    """Return text without the secrets in it.

    >>> redact('sent Authorization: Bearer abc.def-1 to engine-1')
    'sent Authorization: [redacted] to engine-1'
    >>> redact('found gst_0123456789abc')
    'found [redacted]'
    """
    text = _SECRET_PATTERN.sub(REDACTED, text)
    return _ASSIGNED_SECRET_PATTERN.sub(rf'\1{REDACTED}', text)


def _sanitize(value: typing.Any) -> typing.Any:
    """Return a value as JSON can carry it, redacted at every depth."""
    if value is None or isinstance(value, (bool, int, float)):
        return value
    if isinstance(value, dict):
        return {str(key): _sanitize_field(key, value[key]) for key in value}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [_sanitize(item) for item in value]
    text = value if isinstance(value, str) else repr(value)
    # Cut twice: first so that a huge text costs little to search, then so
    # that no key is cut in two and slips past the search.
    return redact(text[: 2 * MAX_TEXT_CHARS])[:MAX_TEXT_CHARS]


def _sanitize_field(name: typing.Any, value: typing.Any) -> typing.Any:
    """Return the value of a named field; a secret's name hides it whole."""
    if str(name).lower().replace('-', '_') in _SECRET_NAMES:
        return REDACTED
    return _sanitize(value)


def to_line(record: typing.Any) -> str:
    """Return a loguru record as one line of JSON."""
    line = {
        'at': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name,
        'module': record['name'],
        'message': _sanitize(record['message']),
    }
    for name, value in record['extra'].items():
        line[name] = _sanitize_field(name, value)
    error = record['exception']
    if error is not None:
        # Formatted here, without values of variables: loguru's own
        # formatter may print them, and a key would be among them.
        text = ''.join(traceback.format_exception(*error))
        line['exception'] = redact(text)[-MAX_TEXT_CHARS:]
    return json.dumps(line, default=str) + '\n'


class Stream(typing.Protocol):
    """What lines are written to."""

    def write(self, line: str, /) -> typing.Any:
        """Take one line."""

    def flush(self) -> None:
        """Hand on what was taken."""


class _JsonSink:
    """Write each record as a line to a stream."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream

    def __call__(self, message: typing.Any) -> None:
        self._stream.write(to_line(message.record))
        self._stream.flush()


class _LibraryLogHandler(logging.Handler):
    """Hand what libraries log over to our sink."""

    def emit(self, record: logging.LogRecord) -> None:
        """See logging.Handler."""
        loguru.logger.opt(exception=record.exc_info).log(
            record.levelname, '{}: {}', record.name, record.getMessage()
        )


def _log_crash(
    kind: type[BaseException],
    error: BaseException,
    trace: types.TracebackType | None,
) -> None:
    """Log what ends the process; the interpreter would print it as text."""
    if issubclass(kind, KeyboardInterrupt):
        return
    loguru.logger.opt(exception=(kind, error, trace)).critical('crashed')


def setup(
    level: str,
    vm_name: str,
    failure_domain: str,
    stream: Stream | None = None,
) -> None:
    """Send the process's logs to a stream, standard error by default.

    Warnings of libraries and what ends the process go there too, so that
    nothing is written beside the sink and its redaction.

    Call it once, first in main. Bind further fields of FIELDS where they
    are known: ``loguru.logger.bind(request_id=...).info('...')`` or
    ``with loguru.logger.contextualize(...)``.
    """
    loguru.logger.remove()
    loguru.logger.configure(
        extra={'vm': vm_name, 'failure_domain': failure_domain}
    )
    loguru.logger.add(
        _JsonSink(stream or sys.stderr),
        level=level,
        format='{message}',
        backtrace=False,
        diagnose=False,
        catch=True,
    )
    logging.basicConfig(
        handlers=[_LibraryLogHandler()], level=LIBRARY_LEVEL, force=True
    )
    sys.excepthook = _log_crash
