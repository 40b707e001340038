"""Split a server-sent event stream so that only whole events are forwarded."""

import re

from gentianstair import errors
from gentianstair import verdict as verdicts

# An empty line behind another; lines end with a return, a line feed or both.
_EVENT_END = re.compile(rb'\n\r?\n|\r\r')
# An event holds a few tokens.
MAX_EVENT_BYTES = 1024 * 1024


class EventBuffer:
    """Buffer the incomplete event at the end of a stream.

    A replica may fail in the middle of an event. The next replica resumes
    after the last complete one, so incomplete events must not be forwarded.
    """

    def __init__(self) -> None:
        self._partial = b''

    def feed(self, data: bytes) -> list[bytes]:
        """Add data; return the events that it completes.

        Raise UpstreamError for an event that is too long.

        >>> buffer = EventBuffer()
        >>> buffer.feed(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
        [b'id: 1\\ndata: a\\n\\n']
        >>> buffer.at_event_boundary()
        False
        """
        data = self._partial + data
        whole, begin = [], 0
        for end in _EVENT_END.finditer(data):
            whole.append(data[begin : end.end()])
            begin = end.end()
        self._partial = data[begin:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise errors.UpstreamError(
                'an event is too long', verdicts.Verdict.RAN
            )
        return whole

    def at_event_boundary(self) -> bool:
        """Return whether no incomplete event is buffered."""
        return not self._partial

    def discard_partial(self) -> None:
        """Drop an incomplete event, which the next replica sends again."""
        self._partial = b''
