"""Record what a stand-in saw, as JSON lines that checkers read."""

import json
import pathlib
import time
import typing


class Event(typing.NamedTuple):
    """One thing a stand-in saw; ``at_s`` is the VM's boot time clock."""

    at_s: float
    source: str
    type: str
    data: dict[str, typing.Any]


class History:
    """Keep events in memory and, if asked, append them to a file."""

    def __init__(self, source: str, path: pathlib.Path | None = None) -> None:
        self.source = source
        self.events: list[Event] = []
        self._file = path.open('a', buffering=1) if path else None

    def add(self, type_: str, /, **data: typing.Any) -> None:
        """Record an event at once, before the answer to it is sent."""
        now_s = time.clock_gettime(time.CLOCK_BOOTTIME)
        event = Event(now_s, self.source, type_, data)
        self.events.append(event)
        if self._file:
            self._file.write(json.dumps(event._asdict()) + '\n')


def read(paths: typing.Iterable[pathlib.Path]) -> list[Event]:
    """Return the merged events of several files in order of time."""
    events = []
    for path in paths:
        for line in path.read_text().splitlines():
            events.append(Event(**json.loads(line)))
    return sorted(events, key=lambda event: event.at_s)
