"""Tell of responses that don't bear the id of the request that waits."""

import enum
import typing

import loguru
import prometheus_client
import trio

from gentianstair.generated import events

# Ids of other requests that a log line holds, and characters of each.
MAX_LOGGED_IDS = 2
MAX_LOGGED_ID = 64


class Owner(enum.Enum):
    """Whose a response is, by the ids of requests that it bears."""

    OURS = 'ours'
    # It bears no id.
    NOBODY = 'none'
    OTHERS = 'another'


FOREIGN_RESPONSES = prometheus_client.Counter(
    'gentianstair_upstream_foreign_responses',
    "Responses that don't bear the id of the request that waits",
    ['id', 'connection'],
)


class ForeignResponse(typing.NamedTuple):
    """A final response's status and the ids of requests that it bears."""

    owner: Owner
    status: int
    ids: tuple[bytes, ...]


def owner_of(ids: tuple[bytes, ...], request_id: bytes) -> Owner:
    """Return whose a response is to a request with an id.

    >>> owner_of((b'r1',), b'r1'), owner_of((b'r1', b'r2'), b'r1')
    (<Owner.OURS: 'ours'>, <Owner.OTHERS: 'another'>)
    >>> owner_of((), b'r1')
    <Owner.NOBODY: 'none'>
    """
    if not ids:
        return Owner.NOBODY
    return Owner.OURS if set(ids) == {request_id} else Owner.OTHERS


class Watch:
    """Counts the foreign responses to one request, and logs the first."""

    def __init__(self, request_id: bytes, was_kept: bool) -> None:
        self._request_id = request_id
        self._connection = 'kept' if was_kept else 'new'
        self._sent_s = trio.current_time()
        self._is_logged = False

    def record(self, response: ForeignResponse) -> None:
        """Count a response; log it if it is the first."""
        owner = response.owner.value
        FOREIGN_RESPONSES.labels(owner, self._connection).inc()
        if self._is_logged:
            return
        self._is_logged = True
        loguru.logger.bind(
            event=events.FOREIGN_RESPONSE,
            request_id=self._request_id.decode('latin-1'),
            ids=[
                found.decode('latin-1')[:MAX_LOGGED_ID]
                for found in response.ids[:MAX_LOGGED_IDS]
            ],
            status=response.status,
            connection=self._connection,
            after_s=round(trio.current_time() - self._sent_s, 3),
        ).info('a response bears the id of {}', owner)


__all__ = [
    'ForeignResponse',
    'Owner',
    'Watch',
    'owner_of',
]
