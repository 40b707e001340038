"""Know of each caller's connection why it ended, and who ended it."""

import enum
import time
import typing

import loguru
import prometheus_client

from gentianstair.generated import events

# Under this name a request's ASGI state holds its connection.
STATE_KEY = 'gentianstair.connection'

ENDED = prometheus_client.Counter(
    'gentianstair_connections_ended',
    'Connections of callers by what ended them',
    ['end', 'under_way'],
)


class Side(enum.Enum):
    """Who closed a connection."""

    PROCESS = 'this process'
    CALLER = 'the caller'


class End(enum.Enum):
    """What ended a connection."""

    KEEP_ALIVE_OVER = 'keep-alive-over'
    # A planned stop; the last answer had not said that it would close.
    STOP = 'stop'
    GRACE_OVER = 'grace-over'
    # Cut with all others: the process ended, with no grace left to wait for.
    PROCESS_ENDED = 'process-ended'
    CALLER_ENDED = 'caller-ended'
    CALLER_RESET = 'caller-reset'
    # One request of an HTTP/2 connection, which itself goes on.
    STREAM_RESET = 'stream-reset'
    SEND_STALL = 'send-stall'
    NO_HANDSHAKE = 'no-handshake'
    NO_HTTP = 'no-http'
    # Either side said so in HTTP/2, or it was broken.
    HTTP2_OVER = 'http2-over'
    AS_TOLD = 'as-told'
    # Answered before the request's body had been read.
    BODY_UNREAD = 'body-unread'
    # The application broke its answer off, so that it looks cut.
    ANSWER_CUT = 'answer-cut'
    FAULT = 'fault'

    @property
    def closed_by(self) -> Side:
        """Return who closed the connection."""
        return Side.CALLER if self in _BY_CALLER else Side.PROCESS


_BY_CALLER = frozenset(
    {End.CALLER_ENDED, End.CALLER_RESET, End.STREAM_RESET, End.HTTP2_OVER}
)


class Connection:
    """One connection of a caller, from its first byte to its end."""

    __slots__ = (
        'end',
        'request_id',
        'requests',
        '_began_s',
        '_ended_s',
        '_idle_since_s',
        '_is_cut',
        '_opened_s',
        '_running',
        '_under_way',
    )

    def __init__(self) -> None:
        self.end: End | None = None
        # Of the last request, once it is known.
        self.request_id = ''
        self.requests = 0
        self._opened_s = self._idle_since_s = time.monotonic()
        self._began_s = self._ended_s = self._opened_s
        self._running = 0
        self._under_way = False
        self._is_cut = False

    @property
    def is_under_way(self) -> bool:
        """Return whether a request has no whole answer yet."""
        return self._under_way

    @property
    def is_closed_here(self) -> bool:
        """Return whether this process is known to have closed it."""
        return self.end is not None and self.end.closed_by is Side.PROCESS

    def read(self) -> None:
        """Note that the head of a request has been read."""
        if not self._under_way:
            self._began_s = time.monotonic()

    def begin(self) -> None:
        """Note that the application has been given a request."""
        self.requests += 1
        self.request_id = ''
        self._running += 1
        self._under_way = True

    def leave(self, is_stream: bool) -> None:
        """Note that the application is done with a request.

        The protocol tells of whole answers, but not of a stream of HTTP/2
        that its caller has reset.
        """
        self._running -= 1
        if is_stream and self.end is None and not self._running:
            self.answered()

    def answered(self) -> None:
        """Note that all requests so far have their whole answers."""
        if self._under_way and not self._is_cut:
            self._under_way = False
            self._idle_since_s = time.monotonic()

    def note(self, end: End) -> None:
        """Note what ends the connection; what is noted first stands."""
        if self.end is None:
            self.end = end
            self._ended_s = time.monotonic()

    def cut(self, end: End) -> None:
        """Note an end after which no answer can become whole."""
        self.note(end)
        self._is_cut = True

    def fail(self, end: End) -> None:
        """Note what the connection's own task ended with.

        A fault cancels the connection's requests first, and they note that
        they were cut as if by a fault elsewhere.
        """
        if end is End.FAULT and self.end is End.PROCESS_ENDED:
            self.end = end
        self.note(end)

    def tell(self) -> None:
        """Count the end, and log it if a request was under way."""
        # Each way out of a connection's task notes an end.
        end = self.end or End.FAULT
        ENDED.labels(end.value, 'yes' if self._under_way else 'no').inc()
        if not self._under_way:
            return
        # The time under way is negative where the end was decided before
        # the request was read.
        loguru.logger.bind(
            event=events.CONNECTION_CUT,
            request_id=self.request_id,
            end=end.value,
            closed_by=end.closed_by.value,
            requests=self.requests,
            age_s=round(self._ended_s - self._opened_s, 3),
            idle_s=round(self._began_s - self._idle_since_s, 3),
            under_way_s=round(self._ended_s - self._began_s, 6),
        ).info('a connection ended under a request: {}', end.value)


def of_scope(scope: typing.Mapping[str, typing.Any]) -> Connection:
    """Return the connection of a request's ASGI scope."""
    found = scope.get('state', {}).get(STATE_KEY)
    return found if found is not None else Connection()


def requests_cut(end: End) -> int:
    """Return how many connections ended so under a request."""
    labels = {'end': end.value, 'under_way': 'yes'}
    name = 'gentianstair_connections_ended_total'
    found = prometheus_client.REGISTRY.get_sample_value(name, labels)
    return int(found or 0)
