"""Read JSON log lines of any size and state in constant memory."""

import collections.abc
import json
import typing

# A longer line is no line of ours; it is counted as unreadable and skipped.
MAX_LINE_BYTES = 65536

Line = dict[str, typing.Any]


class Reader:
    """Lines of several streams, one after the other.

    ``read`` and ``unreadable`` count the lines so far. Lines may be cut,
    mixed with other text, or of another version: what is no JSON object
    with a time is counted and passed over.
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
    """Yield lines, None for one that is too long."""
    while data := stream.readline(MAX_LINE_BYTES):
        if len(data) < MAX_LINE_BYTES or data.endswith(b'\n'):
            yield data
            continue
        while data and not data.endswith(b'\n'):
            data = stream.readline(MAX_LINE_BYTES)
        yield None


def parse(data: bytes) -> Line | None:
    """Return the object in a line, or None.

    Text before it, such as a time that a collector adds, is passed over.

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
