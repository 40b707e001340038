"""Delimit the events of a stream, so that only whole ones are passed on."""

import re

_ID = re.compile(rb'^id:[ ]?([^\r\n]*)\r?$', re.MULTILINE)
_END = b'\n\n'


class Events:
    """The events of one answer, over as many replicas as it takes.

    A replica may stop in the middle of an event. Whoever goes on begins
    after the last whole one, so a part that was passed on could not be
    taken back.
    """

    def __init__(self) -> None:
        self._part = b''
        self.delivered = 0
        # The id of the last whole event, None before the first.
        self.last_id: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that data completes, as bytes.

        >>> events = Events()
        >>> events.feed(b'id: 1\\ndata: a\\n\\nid: 2\\nda')
        b'id: 1\\ndata: a\\n\\n'
        >>> events.last_id, events.is_whole()
        ('1', False)
        """
        self._part += data
        end = self._part.rfind(_END)
        if end < 0:
            return b''
        end += len(_END)
        whole, self._part = self._part[:end], self._part[end:]
        self.delivered += whole.count(_END)
        found = _ID.findall(whole)
        if found:
            self.last_id = found[-1].decode('latin-1')
        return whole

    def is_whole(self) -> bool:
        """Return whether the stream stands at the end of an event."""
        return not self._part

    def restart(self) -> None:
        """Drop an unfinished event, which the next replica sends anew."""
        self._part = b''
