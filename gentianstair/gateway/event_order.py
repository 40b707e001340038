"""Decide which events of a replica may follow those that a caller has.

The ids of a stream's events are numbers that increase, not always by one. A
stream may go on at another replica only after the last event that its caller
has, and replicas do not always honour that.
"""

import enum
import re
import typing

import prometheus_client

# Lines may end with a return, a line feed or both.
_ID_LINE = re.compile(rb'(?:^|[\r\n])id:[ ]?([^\r\n]*)')
_DATA_LINE = re.compile(rb'(?:^|[\r\n])data(?:[:\r\n]|$)')
_NUMBER = re.compile(r'[0-9]{1,40}')

# Of an id in a log line.
MAX_LOGGED_BYTES = 64

DISORDERED = prometheus_client.Counter(
    'gentianstair_disordered_events',
    'Events of replicas that may not follow those that a caller has',
    ['flaw'],
)


class Flaw(enum.Enum):
    """Why an event may not follow."""

    # The caller has this event, or a later one.
    NOT_LATER = 'not-later'
    # It is the first of a resumed part, and its place is not known.
    NO_PLACE = 'no-place'


def _number(text: str) -> int | None:
    """Return the number that an event's id is, None if it is none."""
    return int(text) if _NUMBER.fullmatch(text) else None


def first_id(event: bytes) -> str | None:
    """Return an event's first id, for log lines."""
    match = _ID_LINE.search(event)
    return match and match[1][:MAX_LOGGED_BYTES].decode('latin-1')


class EventOrder:
    """The events that a caller has of one stream.

    >>> order = EventOrder('6')
    >>> order.admit(b'id: 6\\ndata: a\\n\\n')
    <Flaw.NOT_LATER: 'not-later'>
    >>> order.admit(b'id: 9\\ndata: a\\n\\n'), order.last_id
    (None, '9')
    """

    def __init__(self, last_event_id: str | None) -> None:
        # The id of the last event that the caller has, None before the first.
        self.last_id = last_event_id or None
        self.first_part_id: str | None = None
        # Events that went to the caller, and those of the present part.
        self.event_count = 0
        self.part_count = 0
        # The largest number of an event that the caller has.
        self._number = _number(self.last_id) if self.last_id else None
        # Whether the last event's place among others is known.
        self._has_place = not self.last_id or self._number is not None

    @property
    def has_events(self) -> bool:
        """Return whether the caller has events of this stream."""
        return self.last_id is not None or self.event_count > 0

    @property
    def may_resume(self) -> bool:
        """Return whether it is known after which event a part may follow."""
        return not self.has_events or self._has_place

    def log_fields(self) -> dict[str, typing.Any]:
        """Return which events the caller has, for log lines."""
        return {
            'events': self.event_count,
            'first_id': self.first_part_id,
            'last_id': self.last_id,
        }

    def begin_part(self) -> None:
        """Begin what one replica sends."""
        self.part_count = 0
        self.first_part_id = None

    def admit(self, event: bytes) -> Flaw | None:
        """Record a whole event, or return why it may not follow."""
        ids = [one.decode('latin-1') for one in _ID_LINE.findall(event)]
        if not ids and not _DATA_LINE.search(event):
            # A comment is no event.
            return None
        known, has_place = self._number, False
        for text in ids:
            number = _number(text)
            has_place = number is not None
            if number is None:
                continue
            if known is not None and number <= known:
                return Flaw.NOT_LATER
            known = number
        if self.resumes and not (has_place and self._has_place):
            return Flaw.NO_PLACE
        if ids:
            self.last_id = ids[-1]
            self.first_part_id = self.first_part_id or ids[0]
        self._number, self._has_place = known, has_place
        self.event_count += 1
        self.part_count += 1
        return None

    @property
    def resumes(self) -> bool:
        """Return whether the next event is the first of a resumed part."""
        return self.has_events and not self.part_count
