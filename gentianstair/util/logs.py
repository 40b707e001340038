"""Write logs as JSON lines to standard error, with secrets redacted."""

import collections.abc
import json
import logging
import re
import sys
import traceback
import types
import typing

import loguru

from gentianstair.util import build_info

# Names of the fields that log lines may bind.
FIELDS = (
    'build',
    'request_id',
    'customer',
    'vm',
    'failure_domain',
    'upstream',
    'verdict',
)
# What tells a line from others, and what a verdict rests on, comes first, as
# whoever collects lines may cut them; what is long or the same on many comes
# last.
FIRST_FIELDS = (
    'event',
    'request_id',
    'status',
    'verdict',
    'outcomes',
    'no_retry',
)
SECOND_FIELDS = ('build',)
LAST_FIELDS = ('vm', 'failure_domain')
REDACTED = '[redacted]'
MAX_TEXT_CHARS = 8000
LIBRARY_LEVEL = logging.WARNING
_SECRET_NAMES = frozenset(
    {'authorization', 'api_key', 'key', 'secret', 'password'}
)
# The keys issued to callers, and PEM private keys.
_SECRET_PATTERN = re.compile(
    r'gst_[A-Za-z0-9_-]{8,}'
    r'|-----BEGIN[A-Z ]*PRIVATE KEY-----.*?(?:-----END|$)',
    re.DOTALL,
)
# A value that follows the name of a secret, or "Bearer" or "Basic". Headers
# appear as ``authorization: x``, ``'authorization', 'x'`` or
# ``b'authorization', b'x'``.
_ASSIGNED_SECRET_PATTERN = re.compile(
    r'''((?:authorization|api[-_]key|password|secret)['"]?\s*[:=,]\s*'''
    r'''(?:b?['"])?|\b(?:bearer|basic)\s)'''
    r'''(?:\s*(?:bearer|basic)\s)?\s*[^\s'",)}\]]+''',
    re.IGNORECASE,
)


def redact(text: str) -> str:
    """Return the text with its secrets replaced.

    >>> redact('sent Authorization: Bearer abc.def-1 to engine-1')
    'sent Authorization: [redacted] to engine-1'
    >>> redact('found gst_0123456789abc')
    'found [redacted]'
    """
    text = _SECRET_PATTERN.sub(REDACTED, text)
    return _ASSIGNED_SECRET_PATTERN.sub(rf'\1{REDACTED}', text)


def _sanitize(value: typing.Any) -> typing.Any:
    """Return a value in JSON types, redacted at every depth."""
    if value is None or isinstance(value, (bool, int, float)):
        return value
    if isinstance(value, dict):
        return {str(key): _sanitize_field(key, value[key]) for key in value}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [_sanitize(item) for item in value]
    text = value if isinstance(value, str) else repr(value)
    # Truncated before the search to bound its cost, and again after it, so
    # that a key that the first cut splits is not logged in part.
    return redact(text[: 2 * MAX_TEXT_CHARS])[:MAX_TEXT_CHARS]


def _sanitize_field(name: typing.Any, value: typing.Any) -> typing.Any:
    """Return a field's value, redacted whole if its name is a secret's."""
    if str(name).lower().replace('-', '_') in _SECRET_NAMES:
        return REDACTED
    return _sanitize(value)


def _add_fields(
    line: dict[str, typing.Any],
    extra: dict[str, typing.Any],
    names: collections.abc.Iterable[str],
) -> None:
    """Add the fields of these names that are there and not yet in a line."""
    for name in names:
        if name in extra and name not in line:
            line[name] = _sanitize_field(name, extra[name])


def to_line(record: typing.Any) -> str:
    """Return a loguru record as one line of JSON."""
    line = {'at': record['time'].isoformat(timespec='milliseconds')}
    extra = record['extra']
    _add_fields(line, extra, FIRST_FIELDS)
    line['level'] = record['level'].name
    _add_fields(line, extra, SECOND_FIELDS)
    line['message'] = _sanitize(record['message'])
    _add_fields(line, extra, (n for n in extra if n not in LAST_FIELDS))
    line.setdefault('module', record['name'])
    _add_fields(line, extra, LAST_FIELDS)
    error = record['exception']
    if error is not None:
        # Formatted here, as loguru's formatter may print the values of
        # variables, which can contain keys.
        text = ''.join(traceback.format_exception(*error))
        line['exception'] = redact(text)[-MAX_TEXT_CHARS:]
    return json.dumps(line, default=str) + '\n'


class Stream(typing.Protocol):
    """A destination of log lines."""

    def write(self, line: str, /) -> typing.Any:
        """Write one line."""

    def flush(self) -> None:
        """Flush the written lines."""


class _JsonSink:
    """Write each loguru record to a stream as a JSON line."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream

    def __call__(self, message: typing.Any) -> None:
        self._stream.write(to_line(message.record))
        self._stream.flush()


class _LibraryLogHandler(logging.Handler):
    """Forward records of the logging module to loguru."""

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
    """Log an uncaught exception as JSON instead of printing it."""
    if issubclass(kind, KeyboardInterrupt):
        return
    loguru.logger.opt(exception=(kind, error, trace)).critical(
        'uncaught exception'
    )


def setup(
    level: str,
    vm_name: str,
    failure_domain: str,
    stream: Stream | None = None,
) -> None:
    """Send the process's logs to a stream, standard error by default.

    Warnings of libraries and uncaught exceptions go there too, so that
    they are redacted as well. Each line names the build that wrote it.

    Call it once at the start of main. Bind further fields of FIELDS where
    they are known: ``loguru.logger.bind(request_id=...).info('...')`` or
    ``with loguru.logger.contextualize(...)``.
    """
    loguru.logger.remove()
    loguru.logger.configure(
        extra={
            'vm': vm_name,
            'failure_domain': failure_domain,
            'build': build_info.build(),
        }
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
