"""Keep the state of one replica: a model replica of a stage, or a plain one.

It keeps what it saw, the parts of prompts and handles, and what it does wrong.
"""

import collections.abc
import time
import typing

import trio

# How long a replica that has ended turns requests away.
DOWN_S = 2.0
EVENT_S = 0.005
# What events say, and those of a run that begins elsewhere than it was asked.
WORD = 'word'
STRAY_WORD = 'stray'


class Run(typing.NamedTuple):
    """A request that the replica began to work on."""

    request_id: str
    customer: str | None
    key_shown: bool
    first_event: int
    # Of the replica's software.
    version: str = 'v1'
    at_s: float = 0.0


class Answer(typing.NamedTuple):
    """How the replica answered a request, by its headers."""

    at_s: float
    request_id: str
    status: int
    # Whether it says that it did not run the request.
    says_not_run: bool
    is_prefill: bool = False
    # The values with which it says so.
    marks: tuple[str, ...] = ()
    signed: bool = False

    @property
    def is_unsaid(self) -> bool:
        """Return whether its request counts as run, begun or not."""
        return not self.says_not_run and not self.is_prefill


class Arrival(typing.NamedTuple):
    """A request that came."""

    at_s: float
    request_id: str
    # When a replica that is late read it.
    read_s: float
    # The start of the replica that it reached.
    born_ms: int = 0
    # It asks for its prompt to be read, and is no run.
    is_prefill: bool = False


class ToldLeaving(typing.NamedTuple):
    """A request whose answer said that the replica leaves."""

    request_id: str
    at_s: float
    born_ms: int


class ToldPause(typing.NamedTuple):
    """A request that was turned away with a pause."""

    request_id: str
    at_s: float
    pause_s: float


class Call(typing.NamedTuple):
    """Anything that came, also what is no request of a caller."""

    at_s: float
    path: str


class End(typing.NamedTuple):
    """An end of the replica, and the request that caused it, if any."""

    at_s: float
    request_id: str


# When a request came, by its id.
ArrivalTime = collections.abc.Callable[[str], float]


def _ignore(_: bool) -> None:
    pass


def _now_s(_: str) -> float:
    return trio.current_time()


class Faults:
    """What the replica does wrong; all off at first."""

    def __init__(
        self, ends_under: set[str] | None = None, starts_over: str = ''
    ) -> None:
        # Answers with this status, and these headers, though it ran.
        self.fails_with = 0
        self.fails_headers: dict[str, str] = {}
        # Requests that failed already, here or at replicas that share it;
        # their next run does not fail.
        self.has_failed: set[str] | None = None
        # Answers at once with this status, and these headers; it begins
        # nothing, and does not say so.
        self.rejects_with = 0
        self.rejects_headers: dict[str, str] = {}
        # Says that it is full, or has too much to do.
        self.full = False
        self.busy = False
        # Says that it is another one, as after a start under a new name.
        self.changed = False
        # Runs the request and never answers.
        self.silent = False
        # Answers so much later, a stream in the middle.
        self.late_s = 0.0
        # Tells its report of itself so much later.
        self.report_late_s = 0.0
        # Breaks a stream off in the middle of the event after this many,
        # unless it is a resumed one.
        self.breaks_after: int | None = None
        # The same for each run, also a resumed one.
        self.breaks_each_after: int | None = None
        # Begins a resumed run with the first event: 'always', or only when
        # it has a handle to go on from.
        self.starts_over = starts_over
        # Begins a resumed run with the last event that its caller has.
        self.begins_early = False
        # How far before it an event is that comes again after the middle
        # one, None if none does.
        self.goes_back: int | None = None
        # Swaps the two events after this many of a run that is not resumed,
        # None if it doesn't.
        self.swaps_after: int | None = None
        # Reads prompts but then has lost what it read.
        self.loses_handles = False
        # Ends as it begins to write an answer to a prompt with one of these
        # parts, or after so many events of it; without prompts, to a request
        # with one of these paths.
        self.ends_under = set() if ends_under is None else ends_under
        self.ends_after_events = 0
        # How long it takes to end.
        self.ends_after_s = 0.0


class Replica:
    """One start of a replica and what it saw."""

    def __init__(
        self,
        name: str,
        service: str,
        failure_domain: str,
        stage: str = '',
        events: int = 5,
        tokens_per_s: float = 100000.0,
        version: str = 'v1',
        event_s: float = EVENT_S,
    ) -> None:
        self.name = name
        self.service = service
        self.failure_domain = failure_domain
        self.stage = stage
        self.events = events
        self.tokens_per_s = tokens_per_s
        # Bytes that fill up its answers to requests without a prompt.
        self.padding_bytes = 0
        # How long it works on an event.
        self.event_s = event_s
        # Of its software; its events say it.
        self.version = version
        # Of its model's weights, None while its answers do not say it.
        self.weights: int | None = None
        # Unix time of its start, in ms; the first one is long ago.
        self.born_ms = 1
        # How far its clock is ahead of the VMs'.
        self.clock_ahead_s = 0.0
        # How often what ran was broken off by a new start.
        self.breaks = 0
        # Called at each new start, with whether what runs goes on.
        self.on_start: collections.abc.Callable[[bool], None] = _ignore
        # Whether its report of itself leaves that out.
        self.hides_start = False
        # How often a VM asked for its report.
        self.report_asks = 0
        self.faults = Faults()
        self.address = ''
        # Addresses at which single VMs find it.
        self.aliases: set[str] = set()
        self.draining = False
        self.runs: list[Run] = []
        self.reads: list[str] = []
        self.handles: dict[str, str] = {}
        self.kept: dict[str, int] = {}
        self.changes: list[list[typing.Any]] = []
        self.cancelled = 0
        # Callers that wait for changes of the cache now, and the most so far.
        self.cache_calls = 0
        # Calls for changes of the cache so far.
        self.cache_asks = 0
        self.most_cache_calls = 0
        # Changes of the cache that it no longer tells, and reads of its list.
        self.forgotten = 0
        self.lists_read = 0
        self.headers: list[dict[str, str]] = []
        # Requests that came, also those that it refused.
        self.came: list[Arrival] = []
        self.answers: list[Answer] = []
        # When a request that is read now came, by its id.
        self.received_s: ArrivalTime = _now_s
        # The limit that it names in its answers, if any, and the header for
        # it, which may be odd or given twice.
        self.limit_per_s: float | None = None
        self.limit_headers: tuple[str, ...] = ()
        self.limit_named_s: float | None = None
        # What it says in its answers of leaving; may be odd or given twice.
        self.leaving_headers: tuple[str, ...] = ()
        # The rest that it asks for as it turns requests away, likewise; it
        # turns none away without one.
        self.rest_headers: tuple[str, ...] = ()
        # Whether it also says then that it did not run the request.
        self.says_not_run = True
        # When it asked for rest.
        self.rests_s: list[float] = []
        # Which requests' answers said so.
        self.told_leaving: list[ToldLeaving] = []
        self.told_pauses: list[ToldPause] = []
        # When anything at all came, and what.
        self.calls: list[Call] = []
        # Parts of prompts that came from other replicas' memories.
        self.copied: list[str] = []
        # When it ended, and until when it turns requests away since.
        self.ends: list[End] = []
        self.down_until_s = 0.0

    @property
    def arrivals(self) -> int:
        """Return how many requests came."""
        return len(self.came)

    def name_limit(self, limit_per_s: float | None) -> None:
        """Name a limit from the next answer on, or no longer any."""
        self.limit_per_s = limit_per_s
        self.limit_headers = () if limit_per_s is None else (f'{limit_per_s}',)
        self.limit_named_s = None

    def restart(self, version: str) -> None:
        """Start again under the same name; what runs is broken off."""
        self.version = version
        self.breaks += 1
        self._begin(goes_on=False)

    def start_again(self) -> None:
        """Start again after it drained, under the same name.

        What runs goes on to its end, as if another process had it.
        """
        self.draining = False
        self.leaving_headers = ()
        self._begin(goes_on=True)

    def _begin(self, goes_on: bool) -> None:
        self.on_start(goes_on)
        now_s = time.time() + self.clock_ahead_s
        self.born_ms = max(self.born_ms + 1, round(now_s * 1000))
        self.handles.clear()
        self.kept.clear()
        self.changes.clear()
        self.leaving_headers = self.rest_headers = ()

    def note_cancelled(self, breaks: int) -> None:
        """Count a run that its caller left, of the start with these breaks."""
        if breaks == self.breaks:
            self.cancelled += 1

    def calls_between(self, from_s: float, to_s: float) -> list[Call]:
        """Return what came between two moments."""
        return [call for call in self.calls if from_s < call.at_s < to_s]

    def end(self, request_id: str = '') -> None:
        """End, and be back with nothing of before after DOWN_S."""
        now_s = trio.current_time()
        self.ends.append(End(now_s, request_id))
        self.down_until_s = now_s + DOWN_S
        self.restart(self.version)

    def entry(self) -> dict[str, typing.Any]:
        """Return what the replica registers of itself."""
        entry: dict[str, typing.Any] = {
            'service': self.service,
            'address': self.address,
            'zone': self.failure_domain,
            'version': self.version,
            'slots': 64 if self.stage else 6,
            'state': 'draining' if self.draining else 'ready',
            'cold_remaining_ms': 0,
            'sequence': 0,
            'born': self.born_ms,
        }
        if self.stage:
            entry['stage'] = self.stage
            weights = 1 if self.weights is None else self.weights
            entry['models'] = [
                {'name': 'm', 'version': weights, 'adapters': []}
            ]
        return entry

    def is_at(self, address: str) -> bool:
        """Return whether an address is the replica's, for any VM."""
        return address == self.address or address in self.aliases

    def taken(self) -> set[str]:
        """Return the ids of requests that it began to read or to run."""
        return {run.request_id for run in self.runs} | set(self.reads)

    def read_s(self, parts: dict[str, int]) -> float:
        """Read the parts of a prompt, tokens by name; return how long."""
        unread = 0
        for name, tokens in parts.items():
            if self.kept.get(name, 0) >= tokens:
                continue
            unread += tokens
            self.kept[name] = tokens
            number = len(self.changes) + 1
            self.changes.append([number, '+', '', name, tokens, 'm'])
        return unread / self.tokens_per_s
