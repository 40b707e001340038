"""Read JSON log lines in constant memory, skipping malformed ones."""

import collections.abc
import json
import typing

# Longer lines are counted as unreadable and skipped.
MAX_LINE_BYTES = 65536

Line = dict[str, typing.Any]


class Reader:
    """Iterates over the log lines of several streams in turn.

    ``line_count`` and ``unreadable_count`` count the lines so far. A line
    is unreadable if it is not a JSON object with a timestamp, for example
    because it is truncated or mixed with other text.
    """

    def __init__(
        self, streams: collections.abc.Iterable[typing.BinaryIO]
    ) -> None:
        self._streams = streams
        self.line_count = 0
        self.unreadable_count = 0

    def __iter__(self) -> collections.abc.Iterator[Line]:
        for stream in self._streams:
            for data in _split(stream):
                self.line_count += 1
                line = parse(data) if data is not None else None
                if line is None:
                    self.unreadable_count += 1
                else:
                    yield line


def _split(
    stream: typing.BinaryIO,
) -> collections.abc.Iterator[bytes | None]:
    """Yield lines, or None for a line that is too long."""
    while data := stream.readline(MAX_LINE_BYTES):
        if len(data) < MAX_LINE_BYTES or data.endswith(b'\n'):
            yield data
            continue
        while data and not data.endswith(b'\n'):
            data = stream.readline(MAX_LINE_BYTES)
        yield None


def parse(data: bytes) -> Line | None:
    """Return the JSON object in a line, or None if there is none.

    Text before the object, such as a collector's timestamp, is ignored.

    >>> parse(b'x 1 {"at": "2026", "event": "answer"}')['event']
    'answer'
    >>> parse(b'{"at": "2026", "eve') is None
    True
    """
    start = data.find(b'{')
    if start < 0:
        return None
    try:
        line = json.loads(data[start:])
    except ValueError:
        return None
    if not isinstance(line, dict) or not isinstance(line.get('at'), str):
        return None
    return line
