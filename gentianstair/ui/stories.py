"""Tell what logs know of a request, or of lost dependencies."""

import collections.abc
import typing

from gentianstair.generated import events
from gentianstair.util import log_lines

# More lines than any request has; a reader of a forged log stays bounded.
MOST_LINES = 10000
# What a process says when what it depends on is lost or comes back.
DEPENDENCY_EVENTS = frozenset(
    {
        events.STORE_LOST,
        events.STORE_BACK,
        events.REPLICA,
        events.REPLICA_GONE,
        events.MEMBERS,
        events.NONE_TO_BE_HAD,
        events.REPORT_FAILED,
        events.SETTINGS_BAD,
        events.CONFIG_UNREADABLE,
        events.DUTY_WON,
        events.DUTY_LOST,
        events.FAULT,
        events.STARTED,
        events.STOPPING,
        events.ENDED,
    }
)
# Shown in columns of their own, or the same in every line.
_SHOWN = frozenset(
    {'at', 'level', 'module', 'message', 'vm', 'failure_domain', 'event'}
)


class Row(typing.NamedTuple):
    """One line of a story."""

    at: str
    vm: str
    event: str
    message: str
    detail: str


def to_row(line: log_lines.Line) -> Row:
    """Return a line as a story shows it."""
    rest = {
        name: value
        for name, value in line.items()
        if name not in _SHOWN and name != 'request_id' and value is not None
    }
    return Row(
        line['at'],
        str(line.get('vm', '')),
        str(line.get('event', '')),
        str(line.get('message', '')),
        ' '.join(f'{name}={value}' for name, value in rest.items()),
    )


def of_request(
    lines: collections.abc.Iterable[log_lines.Line], request_id: str
) -> list[Row]:
    """Return the story of one request over all VMs, in time order."""
    found = []
    for line in lines:
        if line.get('request_id') == request_id:
            found.append(to_row(line))
        if len(found) >= MOST_LINES:
            break
    return sorted(found)


def of_dependencies(
    lines: collections.abc.Iterable[log_lines.Line], since: str
) -> list[Row]:
    """Return what was lost and regained since a time, in time order."""
    found = []
    for line in lines:
        if line['at'] >= since and line.get('event') in DEPENDENCY_EVENTS:
            found.append(to_row(line))
        if len(found) >= MOST_LINES:
            break
    return sorted(found)
