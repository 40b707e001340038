"""Remember at which software version streams began.

What two versions produce does not fit together, so a stream that breaks may
go on only at the version that produced its first event.
"""

import collections
import hashlib
import typing

import prometheus_client

from gentianstair.core import upstream_limits
from gentianstair.util import clock as clocks

# Streams that one VM remembers; the oldest are dropped first.
MAX_ORIGINS = 50000
KEY_BYTES = 12
# The version of a stream that can't be known, which no replica has.
UNKNOWN_VERSION = ''
# The version of a start that no entry has told yet.
UNTOLD_VERSION = '\0'
WITHOUT_VERSION = (UNKNOWN_VERSION, UNTOLD_VERSION)

KNOWN = prometheus_client.Gauge(
    'gentianstair_known_streams', 'Streams whose first version is remembered'
)


class Origin(typing.NamedTuple):
    """Where the first event of a stream came from."""

    service: str
    # Of the upstream's software.
    version: str
    upstream: str
    # Unix time of the upstream's start, as its process tells.
    started_ms: int
    # Unix time of the event; VMs of an earlier release read it.
    first_event_ms: int

    @property
    def run(self) -> upstream_limits.UpstreamRun:
        """Return the start that sent the event."""
        return upstream_limits.UpstreamRun(self.upstream, self.started_ms)


def joined(known: Origin, told: Origin) -> Origin:
    """Return what two records of one stream say together."""
    if known.version == told.version and known.version != UNTOLD_VERSION:
        return told
    if known.run == told.run:
        if known.version == UNTOLD_VERSION:
            return told
        if told.version == UNTOLD_VERSION:
            return known
    return told._replace(version=UNKNOWN_VERSION)


class Kept(typing.NamedTuple):
    """An origin, and until when its stream may go on."""

    origin: Origin
    until_s: float


def stream_key(customer: str | None, request_id: str) -> bytes:
    """Return the key of the stream that a customer's request began.

    Its size does not depend on the id, which a caller chooses.
    """
    text = f'{customer or ""}\0{request_id}'
    return hashlib.blake2b(
        text.encode('utf-8', 'surrogateescape'), digest_size=KEY_BYTES
    ).digest()


class StreamOrigins:
    """The origins that one VM remembers, each for the life of its stream."""

    def __init__(
        self, clock: clocks.Clock, max_origins: int = MAX_ORIGINS
    ) -> None:
        self._clock = clock
        self._max_origins = max_origins
        # The newest last.
        self._kept: collections.OrderedDict[bytes, Kept] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._kept)

    def put(self, key: bytes, origin: Origin, lifetime_s: float) -> None:
        """Remember an origin for lifetime_s.

        A caller that uses an id again begins another stream. If that is at
        another version, nobody can tell which one is resumed.
        """
        known = self.get(key)
        until_s = self._clock() + lifetime_s
        if known is not None:
            origin = joined(known, origin)
            until_s = max(until_s, self._kept.pop(key).until_s)
        self._kept.pop(key, None)
        self._kept[key] = Kept(origin, until_s)
        self._drop_old()

    def get(self, key: bytes) -> Origin | None:
        """Return the origin of a stream, None if it is not known."""
        kept = self._kept.get(key)
        if kept is None or kept.until_s < self._clock():
            return None
        return kept.origin

    def remaining_s(self, key: bytes) -> float:
        """Return for how much longer a stream is remembered."""
        kept = self._kept.get(key)
        return max(0.0, kept.until_s - self._clock()) if kept else 0.0

    def _drop_old(self) -> None:
        now_s = self._clock()
        while self._kept:
            oldest = next(iter(self._kept.values()))
            if (
                oldest.until_s >= now_s
                and len(self._kept) <= self._max_origins
            ):
                break
            self._kept.popitem(last=False)
        KNOWN.set(len(self._kept))
