"""Know of each caller's connection why it ended, and who ended it."""

import enum
import time
import typing

import loguru
import prometheus_client

from gentianstair.generated import events

# Under this name a request's ASGI state holds its connection.
STATE_KEY = 'gentianstair.connection'

CONNECTIONS_ENDED = prometheus_client.Counter(
    'gentianstair_connections_ended',
    'Connections of callers by what ended them',
    ['end', 'under_way'],
)


class Side(enum.Enum):
    """Who closed a connection."""

    PROCESS = 'this process'
    CALLER = 'the caller'


class EndReason(enum.Enum):
    """What ended a connection."""

    KEEP_ALIVE_EXPIRED = 'keep-alive-over'
    # A planned stop; the last answer had not said that it would close.
    STOP = 'stop'
    GRACE_EXPIRED = 'grace-over'
    # Cut with all others: the process ended, with no grace left to wait for.
    PROCESS_ENDED = 'process-ended'
    CALLER_CLOSED = 'caller-ended'
    CALLER_RESET = 'caller-reset'
    # One request of an HTTP/2 connection, which itself goes on.
    STREAM_RESET = 'stream-reset'
    SEND_STALL = 'send-stall'
    HANDSHAKE_FAILED = 'no-handshake'
    INVALID_HTTP = 'no-http'
    # Either side said so in HTTP/2, or it was broken.
    HTTP2_CLOSED = 'http2-over'
    CLOSE_ANNOUNCED = 'as-told'
    # Answered before the request's body had been read.
    BODY_UNREAD = 'body-unread'
    # The application broke its answer off, so that it looks cut.
    RESPONSE_ABORTED = 'answer-cut'
    FAULT = 'fault'

    @property
    def closed_by(self) -> Side:
        """Return who closed the connection."""
        return Side.CALLER if self in _BY_CALLER else Side.PROCESS


_BY_CALLER = frozenset(
    {
        EndReason.CALLER_CLOSED,
        EndReason.CALLER_RESET,
        EndReason.STREAM_RESET,
        EndReason.HTTP2_CLOSED,
    }
)


class Connection:
    """One connection of a caller, from its first byte to its end."""

    __slots__ = (
        'end_reason',
        'request_id',
        'request_count',
        '_request_began_s',
        '_ended_s',
        '_idle_since_s',
        '_is_aborted',
        '_opened_s',
        '_active_requests',
        '_in_flight',
    )

    def __init__(self) -> None:
        self.end_reason: EndReason | None = None
        # Of the last request, once it is known.
        self.request_id = ''
        self.request_count = 0
        self._opened_s = self._idle_since_s = time.monotonic()
        self._request_began_s = self._ended_s = self._opened_s
        self._active_requests = 0
        self._in_flight = False
        self._is_aborted = False

    @property
    def has_request_in_flight(self) -> bool:
        """Return whether a request has no whole answer yet."""
        return self._in_flight

    @property
    def is_closed_here(self) -> bool:
        """Return whether this process is known to have closed it."""
        return (
            self.end_reason is not None
            and self.end_reason.closed_by is Side.PROCESS
        )

    def note_head(self) -> None:
        """Note that the head of a request has been read."""
        if not self._in_flight:
            self._request_began_s = time.monotonic()

    def note_request(self) -> None:
        """Note that the application has been given a request."""
        self.request_count += 1
        self.request_id = ''
        self._active_requests += 1
        self._in_flight = True

    def note_handler_exit(self, is_stream: bool) -> None:
        """Note that the application is done with a request.

        The protocol tells of whole answers, but not of a stream of HTTP/2
        that its caller has reset.
        """
        self._active_requests -= 1
        if is_stream and self.end_reason is None and not self._active_requests:
            self.note_responses_sent()

    def note_responses_sent(self) -> None:
        """Note that all requests so far have their whole answers."""
        if self._in_flight and not self._is_aborted:
            self._in_flight = False
            self._idle_since_s = time.monotonic()

    def note_end(self, end: EndReason) -> None:
        """Note what ends the connection; what is noted first stands."""
        if self.end_reason is None:
            self.end_reason = end
            self._ended_s = time.monotonic()

    def note_abort(self, end: EndReason) -> None:
        """Note an end after which no answer can become whole."""
        self.note_end(end)
        self._is_aborted = True

    def note_failure(self, end: EndReason) -> None:
        """Note what the connection's own task ended with.

        A fault cancels the connection's requests first, and they note that
        they were cut as if by a fault elsewhere.
        """
        if (
            end is EndReason.FAULT
            and self.end_reason is EndReason.PROCESS_ENDED
        ):
            self.end_reason = end
        self.note_end(end)

    def report(self) -> None:
        """Count the end, and log it if a request was under way."""
        # Each way out of a connection's task notes an end.
        end = self.end_reason or EndReason.FAULT
        CONNECTIONS_ENDED.labels(
            end.value, 'yes' if self._in_flight else 'no'
        ).inc()
        if not self._in_flight:
            return
        # The time under way is negative where the end was decided before
        # the request was read.
        loguru.logger.bind(
            event=events.CONNECTION_CUT,
            request_id=self.request_id,
            end=end.value,
            closed_by=end.closed_by.value,
            requests=self.request_count,
            age_s=round(self._ended_s - self._opened_s, 3),
            idle_s=round(self._request_began_s - self._idle_since_s, 3),
            under_way_s=round(self._ended_s - self._request_began_s, 6),
        ).info('a connection ended under a request: {}', end.value)


def of_scope(scope: typing.Mapping[str, typing.Any]) -> Connection:
    """Return the connection of a request's ASGI scope."""
    found = scope.get('state', {}).get(STATE_KEY)
    return found if found is not None else Connection()


def count_cut(end: EndReason) -> int:
    """Return how many connections ended so under a request."""
    labels = {'end': end.value, 'under_way': 'yes'}
    name = 'gentianstair_connections_ended_total'
    found = prometheus_client.REGISTRY.get_sample_value(name, labels)
    return int(found or 0)
