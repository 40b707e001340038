"""Delimit the events of a stream, so that only whole ones are passed on."""

import re

_ID_LINE = re.compile(rb'^id:[ ]?([^\r\n]*)\r?$', re.MULTILINE)
_EVENT_END = b'\n\n'


class EventBuffer:
    """The events of one answer, over as many replicas as it takes.

    A replica may stop in the middle of an event. Whoever goes on begins
    after the last whole one, so a part that was passed on could not be
    taken back.
    """

    def __init__(self) -> None:
        self._partial = b''
        self.complete_events = 0
        # The id of the last whole event, None before the first.
        self.last_id: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that data completes, as bytes.

        >>> buffer = EventBuffer()
        >>> buffer.feed(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
        b'id: 1\\ndata: a\\n\\n'
        >>> buffer.last_id, buffer.at_event_boundary()
        ('1', False)
        """
        self._partial += data
        end = self._partial.rfind(_EVENT_END)
        if end < 0:
            return b''
        end += len(_EVENT_END)
        whole, self._partial = self._partial[:end], self._partial[end:]
        self.complete_events += whole.count(_EVENT_END)
        found = _ID_LINE.findall(whole)
        if found:
            self.last_id = found[-1].decode('latin-1')
        return whole

    def at_event_boundary(self) -> bool:
        """Return whether the stream stands at the end of an event."""
        return not self._partial

    def discard_partial(self) -> None:
        """Drop an unfinished event, which the next replica sends anew."""
        self._partial = b''
