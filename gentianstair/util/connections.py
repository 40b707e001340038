"""Track each caller's connection, why it ended and who closed it."""

import collections.abc
import enum
import time
import typing

import loguru
import prometheus_client

from gentianstair.generated import events

# Keys of the connection, and of one request's progress, in the state of a
# request's ASGI scope.
STATE_KEY = 'gentianstair.connection'
PROGRESS_KEY = 'gentianstair.progress'

CONNECTIONS_ENDED = prometheus_client.Counter(
    'gentianstair_connections_ended',
    'Connections of callers by what ended them',
    ['end', 'under_way'],
)


class Side(enum.Enum):
    """Which side closed a connection."""

    PROCESS = 'this process'
    CALLER = 'the caller'


class EndReason(enum.Enum):
    """Why a connection ended; the values are logged and counted."""

    KEEP_ALIVE_EXPIRED = 'keep-alive-over'
    # Shutdown; the last response did not announce ``Connection: close``.
    STOP = 'stop'
    GRACE_EXPIRED = 'grace-over'
    # The process exited without waiting for the grace period.
    PROCESS_ENDED = 'process-ended'
    CALLER_CLOSED = 'caller-ended'
    CALLER_RESET = 'caller-reset'
    # One HTTP/2 stream was reset; its connection stays open.
    STREAM_RESET = 'stream-reset'
    SEND_STALL = 'send-stall'
    HANDSHAKE_FAILED = 'no-handshake'
    INVALID_HTTP = 'no-http'
    # Closed by either side, or after a protocol error.
    HTTP2_CLOSED = 'http2-over'
    CLOSE_ANNOUNCED = 'as-told'
    # The response was complete before the request body had been read.
    BODY_UNREAD = 'body-unread'
    # The application aborted a response that had not been completed.
    RESPONSE_ABORTED = 'answer-cut'
    FAULT = 'fault'
    # It gave way to another connection, or to another request's bytes.
    GAVE_WAY = 'gave-way'
    # The head of a request took too long.
    HEAD_TIMEOUT = 'head-too-slow'

    @property
    def closed_by(self) -> Side:
        """Return which side closed the connection."""
        return Side.CALLER if self in _BY_CALLER else Side.PROCESS


_BY_CALLER = frozenset(
    {
        EndReason.CALLER_CLOSED,
        EndReason.CALLER_RESET,
        EndReason.STREAM_RESET,
        EndReason.HTTP2_CLOSED,
    }
)


class Phase(enum.Enum):
    """What a caller's connection is used for now."""

    # No whole head of a request has come.
    NEW = 'new'
    IDLE = 'idle'
    # A request is being sent.
    READING = 'reading'
    # A whole request is being served.
    SERVING = 'serving'


class Connection:
    """The state of one caller's connection, for logs and metrics."""

    __slots__ = (
        'abort',
        'end_reason',
        'on_phase',
        'phase',
        'request_id',
        'request_count',
        '_request_began_s',
        '_ended_s',
        '_idle_since_s',
        '_is_aborted',
        '_opened_s',
        '_active_requests',
        '_in_flight',
        '_reading',
        '_serving',
    )

    def __init__(self) -> None:
        self.end_reason: EndReason | None = None
        # Of the latest request; empty until it is known.
        self.request_id = ''
        self.request_count = 0
        self._opened_s = self._idle_since_s = time.monotonic()
        self._request_began_s = self._ended_s = self._opened_s
        self._active_requests = 0
        self._in_flight = False
        self._is_aborted = False
        # Closes the connection at once, whatever is under way.
        self.abort: collections.abc.Callable[[], None] | None = None
        self.phase = Phase.NEW
        # Called with the connection and its phase before, as that changes.
        self.on_phase: (
            collections.abc.Callable[[Connection, Phase], None] | None
        ) = None
        self._reading = self._serving = 0

    def count_requests(self, reading: int, serving: int) -> None:
        """Count so many more requests that are sent, and served."""
        self._reading += reading
        self._serving += serving
        before, self.phase = self.phase, Phase.IDLE
        if self._serving:
            self.phase = Phase.SERVING
        elif self._reading:
            self.phase = Phase.READING
        if self.phase is not before and self.on_phase is not None:
            self.on_phase(self, before)

    @property
    def has_request_in_flight(self) -> bool:
        """Return whether a request has no complete response yet."""
        return self._in_flight

    @property
    def is_closed_here(self) -> bool:
        """Return whether this process closed the connection."""
        return (
            self.end_reason is not None
            and self.end_reason.closed_by is Side.PROCESS
        )

    def note_head(self) -> None:
        """Note that the head of a request has been read."""
        if not self._in_flight:
            self._request_began_s = time.monotonic()

    def note_request(self) -> None:
        """Note that a request has been passed to the application."""
        self.request_count += 1
        self.request_id = ''
        self._active_requests += 1
        self._in_flight = True

    def note_handler_exit(self, is_stream: bool) -> None:
        """Note that the application has finished handling a request.

        The protocol reports complete responses, but not HTTP/2 streams
        that the caller has reset.
        """
        self._active_requests -= 1
        if is_stream and self.end_reason is None and not self._active_requests:
            self.note_responses_sent()

    def note_responses_sent(self) -> None:
        """Note that all requests so far have complete responses."""
        if self._in_flight and not self._is_aborted:
            self._in_flight = False
            self._idle_since_s = time.monotonic()

    def note_end(self, end: EndReason) -> None:
        """Note why the connection ends; the first reason noted is kept."""
        if self.end_reason is None:
            self.end_reason = end
            self._ended_s = time.monotonic()

    def note_abort(self, end: EndReason) -> None:
        """Note an end after which no response can be completed."""
        self.note_end(end)
        self._is_aborted = True

    def note_failure(self, end: EndReason) -> None:
        """Note why the connection's task failed.

        A fault in the task first cancels its requests, which then note
        PROCESS_ENDED; the fault replaces that reason.
        """
        if (
            end is EndReason.FAULT
            and self.end_reason is EndReason.PROCESS_ENDED
        ):
            self.end_reason = end
        self.note_end(end)

    def report(self) -> None:
        """Count the end, and log it if a request was in flight."""
        # Every exit path notes a reason; FAULT covers a missing one.
        end = self.end_reason or EndReason.FAULT
        CONNECTIONS_ENDED.labels(
            end.value, 'yes' if self._in_flight else 'no'
        ).inc()
        if not self._in_flight:
            return
        # ``under_way_s`` is the time from the request to the end; it is
        # negative if the end was decided before the request was read.
        loguru.logger.bind(
            event=events.CONNECTION_CUT,
            request_id=self.request_id,
            end=end.value,
            closed_by=end.closed_by.value,
            requests=self.request_count,
            age_s=round(self._ended_s - self._opened_s, 3),
            idle_s=round(self._request_began_s - self._idle_since_s, 3),
            under_way_s=round(self._ended_s - self._request_began_s, 6),
        ).info('connection ended with a request in flight: {}', end.value)


class RequestProgress:
    """Whether one request on a connection is all there."""

    def __init__(self, connection: Connection) -> None:
        self._connection = connection
        self._is_whole = False
        connection.count_requests(reading=1, serving=0)

    def note_whole(self) -> None:
        """Note that the whole request has been read."""
        if not self._is_whole:
            self._is_whole = True
            self._connection.count_requests(reading=-1, serving=1)

    def note_end(self) -> None:
        """Note that nothing is done for the request any more."""
        whole = int(self._is_whole)
        self._connection.count_requests(reading=whole - 1, serving=-whole)


def progress_of_scope(
    scope: typing.Mapping[str, typing.Any],
) -> RequestProgress:
    """Return the progress of a request by its ASGI scope."""
    found = scope.get('state', {}).get(PROGRESS_KEY)
    return found if found is not None else RequestProgress(of_scope(scope))


def of_scope(scope: typing.Mapping[str, typing.Any]) -> Connection:
    """Return the connection of a request's ASGI scope."""
    found = scope.get('state', {}).get(STATE_KEY)
    return found if found is not None else Connection()


def count_cut(end: EndReason) -> int:
    """Count connections that ended for a reason with a request in flight."""
    labels = {'end': end.value, 'under_way': 'yes'}
    name = 'gentianstair_connections_ended_total'
    found = prometheus_client.REGISTRY.get_sample_value(name, labels)
    return int(found or 0)
