"""Bound the bytes that a process holds of requests and answers together.

Bytes count as they come. When there is no room, what has made no progress for
longest gives way: a body that is still being sent, or an answer that its
caller does not read. A request that is complete gives way to nothing.
"""

import collections
import collections.abc

import prometheus_client
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts

# More bytes of a body that count as progress; fewer are a trickle.
PROGRESS_BYTES = 16384
# Up to this size a holding may use the last part of the account.
SMALL_BYTES = 65536
LARGE_SHARE = 0.875
RETRY_AFTER_S = 1.0
# How long an answer's caller may take no bytes before it gives way.
ANSWER_PATIENCE_S = 0.2
# How often it is looked again whether there is room.
CHECK_S = 0.1
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503

HELD_BYTES = prometheus_client.Gauge(
    'gentianstair_held_bytes', 'Bytes held of requests and answers'
)
EVICTIONS = prometheus_client.Counter(
    'gentianstair_evictions',
    'What gave way as there was no room, by what it was',
    ['what'],
)

Evict = collections.abc.Callable[[], None]


class Holding:
    """The bytes of one request and its answer."""

    def __init__(self, account: 'ByteAccount') -> None:
        self._account = account
        self._unmarked_bytes = 0
        self.held_bytes = 0
        # Set once it has had to give way.
        self.is_evicted = False
        self.evict: Evict | None = None
        # From when on it gives way, by Trio's clock.
        self.gives_way_s = 0.0
        self._patience_s = 0.0

    def wait_for_caller(self, evict: Evict, patience_s: float = 0.0) -> None:
        """Let it give way after patience_s without progress."""
        self.evict = evict
        self._patience_s = patience_s
        self._record_progress()

    def _record_progress(self) -> None:
        self._unmarked_bytes = 0
        self.gives_way_s = trio.current_time() + self._patience_s
        self._account.record_progress(self)

    def settle(self) -> None:
        """Let it give way no more, as it waits for no caller."""
        self.evict = None
        self._account.forget(self)

    def record_bytes(self, size_bytes: int) -> None:
        """Record that a caller sent or took bytes."""
        self._unmarked_bytes += size_bytes
        if self.evict is not None and self._unmarked_bytes >= PROGRESS_BYTES:
            self._record_progress()

    def grow(self, size_bytes: int) -> bool:
        """Hold more bytes; return False if there is no room for them."""
        return self._account.grow(self, size_bytes)

    async def wait_to_grow(self, size_bytes: int) -> bool:
        """Hold more bytes once there is room; return False if never."""
        return await self._account.wait_to_grow(self, size_bytes)

    def release(self) -> None:
        """Give all back."""
        self._account.release(self)


class ByteAccount:
    """All holdings of a process.

    >>> account = ByteAccount(1000)
    >>> first, second = account.open(), account.open()
    >>> first.grow(600), second.grow(200), account.held_bytes
    (True, True, 800)
    >>> first.release()
    >>> second.release()
    >>> account.held_bytes
    0
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.held_bytes = 0
        self._released = trio.Event()
        # Those that may give way, the longest without progress first.
        self._waiting: collections.OrderedDict[Holding, None] = (
            collections.OrderedDict()
        )

    def open(self) -> Holding:
        """Return a holding of nothing."""
        return Holding(self)

    def record_progress(self, holding: Holding) -> None:
        """Put a holding behind all others that may give way."""
        self._waiting[holding] = None
        self._waiting.move_to_end(holding)

    def forget(self, holding: Holding) -> None:
        """Let a holding give way no more."""
        self._waiting.pop(holding, None)

    def grow(self, holding: Holding, size_bytes: int) -> bool:
        """See Holding.grow."""
        if holding.is_evicted:
            return False
        limit_bytes = self._limit_bytes
        if holding.held_bytes + size_bytes > SMALL_BYTES:
            limit_bytes = int(limit_bytes * LARGE_SHARE)
        while self.held_bytes + size_bytes > limit_bytes:
            if not self._evict_first(holding):
                return False
        holding.held_bytes += size_bytes
        self.held_bytes += size_bytes
        HELD_BYTES.set(self.held_bytes)
        return True

    async def wait_to_grow(self, holding: Holding, size_bytes: int) -> bool:
        """See Holding.wait_to_grow."""
        while not self.grow(holding, size_bytes):
            is_too_large = size_bytes > self._limit_bytes * LARGE_SHARE
            if is_too_large or holding.is_evicted:
                return False
            with trio.move_on_after(CHECK_S):
                await self._released.wait()
        return True

    def _evict_first(self, grower: Holding) -> bool:
        """Evict the first that may give way, unless it is the grower."""
        now_s = trio.current_time()
        first = next(
            (one for one in self._waiting if one.gives_way_s <= now_s), None
        )
        if first is None or first is grower:
            return False
        evict = first.evict
        first.is_evicted = True
        self.release(first)
        EVICTIONS.labels('bytes').inc()
        if evict is not None:
            evict()
        return True

    def release(self, holding: Holding) -> None:
        """See Holding.release."""
        self.forget(holding)
        self.held_bytes -= holding.held_bytes
        holding.held_bytes = 0
        HELD_BYTES.set(self.held_bytes)
        self._released.set()
        self._released = trio.Event()


def no_room_for_body() -> errors.RequestError:
    """Return the error of a request whose body there is no room for."""
    return errors.RequestError(
        HTTP_UNAVAILABLE,
        'no-room',
        'there is no room for the body now',
        retry_after_s=RETRY_AFTER_S,
    )


def no_room_for_answer() -> errors.RequestError:
    """Return the error of a request whose answer there is no room for."""
    return errors.RequestError(
        HTTP_BAD_GATEWAY,
        'no-room',
        'there is no room for the answer now',
        verdicts.Verdict.RAN,
        RETRY_AFTER_S,
    )


__all__ = ['ByteAccount', 'Holding', 'no_room_for_answer', 'no_room_for_body']
