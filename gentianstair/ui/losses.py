"""Say from logs what became of each request, and why some were late.

Each answered request falls into exactly one cause. What a request is worth is
not logged; it counts by its size, as the users weigh it: a part that is the
same for all, and a part that grows with the prompt.
"""

import collections
import datetime
import enum
import typing

from gentianstair.generated import events
from gentianstair.util import log_lines

# Requests under way at once that are remembered; those that were forgotten
# are judged by their last line alone.
MOST_PENDING = 50000
# Of a request's weight, the part that is the same for all of a route.
FIXED_WEIGHT = 0.3
WINDOW_S = 2.0
HTTP_CALLER_GONE = 499
HTTP_CLOSED_HERE = 444
# Events that tell what happened to the fleet beside the requests.
FLEET_EVENTS = frozenset(
    {
        events.STARTED,
        events.STOPPING,
        events.ENDED,
        events.STORE_LOST,
        events.REPLICA_GONE,
        events.REPLICA_UNREACHABLE,
        events.NONE_TO_BE_HAD,
        events.CONFIG,
        events.DUTY_LOST,
        events.FAULT,
    }
)


class Cause(enum.Enum):
    """What became of a request."""

    ON_TIME = 'on time'
    REFUSED = 'refused'
    OVER_LIMIT = 'rejected: beyond the rate limit of the customer'
    DENIED = 'denied: no such route or key'
    FAILED = 'failed'
    REPLICA_FAILED = 'the replica answered with a failure'
    CUT = 'cut in the answer'
    CALLER_GONE = 'the caller left'
    CLOSED_HERE = 'this process closed the connection'
    LATE_TRIES = 'late: tries that failed before'
    LATE_QUEUED = 'late: queued at the replica, as planned'
    LATE_READING = 'late: reading the prompt, as planned'
    LATE_UNPLANNED = 'late: waited or read longer than planned'
    LATE_MOVED = 'late: the move, or the start of the output'
    LATE_REPLICA = 'late: the replica took long'
    LATE_PAUSE = 'late: a pause between events'
    UNEXPLAINED = 'late: not explained by the logs'


_GONE = {
    HTTP_CALLER_GONE: Cause.CALLER_GONE,
    HTTP_CLOSED_HERE: Cause.CLOSED_HERE,
}


class Lost(typing.NamedTuple):
    """One answered request."""

    at_s: float
    route: str
    customer: str
    failure_domain: str
    prompt_tokens: int
    cause: Cause


class _Story:
    """What is remembered of a request until its answer."""

    def __init__(self) -> None:
        self.planned_s: float | None = None
        self.failed_s = 0.0
        self.read: log_lines.Line | None = None
        self.moved_s = 0.0
        self.is_cut = False

    def take(self, line: log_lines.Line) -> None:
        """Take a line on the request that is not its last."""
        event = line.get('event')
        if event == events.TRY_FAILED:
            self.failed_s += _number(line, 'took_s')
        elif event == events.READ:
            self.read = line
        elif event == events.MOVED:
            self.moved_s = _number(line, 'took_s')
        elif event == events.CUT:
            self.is_cut = True


def _number(line: log_lines.Line, name: str) -> float:
    value = line.get(name)
    return float(value) if isinstance(value, (int, float)) else 0.0


def _time_s(line: log_lines.Line) -> float | None:
    try:
        return datetime.datetime.fromisoformat(line['at']).timestamp()
    except ValueError:
        return None


def _cause(line: log_lines.Line, story: _Story) -> Cause:
    status = line.get('status')
    if status in _GONE:
        return Cause.CUT if story.is_cut else _GONE[status]
    if status == 429:
        return Cause.OVER_LIMIT
    if status == 503:
        return Cause.REFUSED
    if status in (400, 401, 404, 408, 413, 431):
        return Cause.DENIED
    if status in (502, 504):
        return Cause.FAILED
    if not isinstance(status, int) or status >= 300:
        return Cause.REPLICA_FAILED
    return _late(line, story)


def _late(line: log_lines.Line, story: _Story) -> Cause:
    """Return whether a success was on time, and if not, why."""
    objective_s = _number(line, 'objective_s')
    if line.get('first_s') is None:
        if _number(line, 'took_s') <= objective_s:
            return Cause.ON_TIME
        failed = story.failed_s > objective_s / 2
        return Cause.LATE_TRIES if failed else Cause.LATE_REPLICA
    if _number(line, 'first_s') > objective_s:
        return _late_first(story)
    pause_s = _number(line, 'pause_s')
    if pause_s and _number(line, 'longest_pause_s') > pause_s:
        return Cause.LATE_PAUSE
    return Cause.ON_TIME


def _late_first(story: _Story) -> Cause:
    """Return what took the most time before the first event."""
    parts = {
        Cause.LATE_TRIES: story.failed_s,
        Cause.LATE_MOVED: story.moved_s,
    }
    read = story.read
    if read is not None:
        queued_s = _number(read, 'queued_s')
        expected_s = _number(read, 'expected_s')
        took_s = _number(read, 'took_s')
        parts[Cause.LATE_QUEUED] = min(took_s, queued_s)
        parts[Cause.LATE_READING] = max(
            0.0, min(took_s, expected_s) - queued_s
        )
        parts[Cause.LATE_UNPLANNED] = max(0.0, took_s - expected_s)
    cause = max(parts, key=lambda one: parts[one])
    return cause if parts[cause] > 0 else Cause.UNEXPLAINED


class Judge:
    """Turns log lines into what became of requests, in bounded memory."""

    def __init__(self) -> None:
        self._stories: collections.OrderedDict[str, _Story] = (
            collections.OrderedDict()
        )
        # Stories that were dropped before their answer.
        self.forgotten = 0

    def take(self, line: log_lines.Line) -> Lost | None:
        """Take a line; return a request if the line is its last."""
        request_id = line.get('request_id')
        if not isinstance(request_id, str) or not request_id:
            return None
        if line.get('event') == events.CONNECTION_CUT:
            # Comes after the answer's line, which knows the cause.
            return None
        if line.get('event') != events.ANSWER:
            self._story(request_id).take(line)
            return None
        story = self._stories.pop(request_id, None) or _Story()
        at_s = _time_s(line)
        if at_s is None or not line.get('route'):
            return None
        return Lost(
            at_s - _number(line, 'took_s'),
            str(line['route']),
            str(line.get('customer') or '-'),
            str(line.get('failure_domain') or '-'),
            int(_number(line, 'prompt_tokens')),
            _cause(line, story),
        )

    def _story(self, request_id: str) -> _Story:
        story = self._stories.get(request_id)
        if story is None:
            story = self._stories[request_id] = _Story()
            if len(self._stories) > MOST_PENDING:
                self._stories.popitem(last=False)
                self.forgotten += 1
        return story


class _Sum:
    """Requests and prompt tokens of one group and cause."""

    def __init__(self) -> None:
        self.requests = 0
        self.tokens = 0


class Row(typing.NamedTuple):
    """What became of a group's requests by one cause."""

    group: str
    cause: str
    requests: int
    # Of the group's requests, and of their weight.
    share: float
    weight: float


class Table:
    """Counts by group, route and cause."""

    def __init__(self) -> None:
        self._sums: dict[tuple[str, str, Cause], _Sum] = {}

    def add(self, group: str, lost: Lost) -> None:
        """Count a request in a group."""
        found = self._sums.setdefault((group, lost.route, lost.cause), _Sum())
        found.requests += 1
        found.tokens += lost.prompt_tokens

    def _mean_tokens(self) -> dict[str, float]:
        """Return the mean size of a prompt by route."""
        requests: collections.Counter[str] = collections.Counter()
        tokens: collections.Counter[str] = collections.Counter()
        for (_, route, _), found in self._sums.items():
            requests[route] += found.requests
            tokens[route] += found.tokens
        return {route: tokens[route] / requests[route] for route in requests}

    def rows(self) -> list[Row]:
        """Return the rows, each group's largest cause first."""
        mean = self._mean_tokens()
        requests: dict[str, dict[Cause, int]] = {}
        weights: dict[str, dict[Cause, float]] = {}
        for (group, route, cause), found in self._sums.items():
            size = found.tokens / mean[route] if mean[route] else 0.0
            grows = 1 - FIXED_WEIGHT
            weight = FIXED_WEIGHT * found.requests + grows * size
            if not mean[route]:
                weight = float(found.requests)
            by_cause = requests.setdefault(group, {})
            by_cause[cause] = by_cause.get(cause, 0) + found.requests
            by_weight = weights.setdefault(group, {})
            by_weight[cause] = by_weight.get(cause, 0.0) + weight
        rows = []
        for group in sorted(requests):
            count = sum(requests[group].values())
            weight = sum(weights[group].values())
            found_rows = [
                Row(
                    group,
                    cause.value,
                    number,
                    round(number / count, 3),
                    round(weights[group][cause] / weight, 3),
                )
                for cause, number in requests[group].items()
            ]
            rows += sorted(found_rows, key=lambda row: -row.weight)
        return rows


class Window(typing.NamedTuple):
    """One of the worst spans of time, and what happened then."""

    at: str
    requests: int
    on_time: int
    cause: str
    happened: str


class Windows:
    """Requests and events of the fleet by spans of time."""

    def __init__(self, window_s: float = WINDOW_S) -> None:
        self._window_s = window_s
        self._causes: dict[int, collections.Counter[Cause]] = {}
        self._events: dict[int, collections.Counter[str]] = {}

    def add(self, lost: Lost) -> None:
        """Count a request where it came."""
        number = int(lost.at_s // self._window_s)
        self._causes.setdefault(number, collections.Counter())[lost.cause] += 1

    def note(self, line: log_lines.Line) -> None:
        """Count an event of the fleet."""
        event, at_s = line.get('event'), _time_s(line)
        if event in FLEET_EVENTS and at_s is not None:
            number = int(at_s // self._window_s)
            self._events.setdefault(number, collections.Counter())[event] += 1

    def worst(self, count: int) -> list[Window]:
        """Return the windows with the smallest share on time."""

        def share(number: int) -> float:
            causes = self._causes[number]
            return causes[Cause.ON_TIME] / causes.total()

        found = []
        for number in sorted(self._causes, key=share)[:count]:
            causes = self._causes[number]
            lost = causes.copy()
            del lost[Cause.ON_TIME]
            worst = lost.most_common(1)
            start = datetime.datetime.fromtimestamp(
                number * self._window_s, datetime.UTC
            )
            happened = self._events.get(number, collections.Counter())
            found.append(
                Window(
                    start.isoformat(timespec='seconds'),
                    causes.total(),
                    causes[Cause.ON_TIME],
                    worst[0][0].value if worst else '-',
                    ' '.join(f'{n}={c}' for n, c in happened.most_common()),
                )
            )
        return found
