"""Translate polls for changes of a replica's cache, and lists of it."""

import typing

import httpx
import msgspec

from gentianstair import errors
from gentianstair.util import json_codec


class _CacheEventsResponse(msgspec.Struct):
    # Changes when the replica restarts.
    epoch: typing.Any
    # The sequence number of the next event.
    next: json_codec.Int64
    # Whether earlier events are missing.
    lost: typing.Any = False
    events: list[list[typing.Any]] = []


class CacheChange(typing.NamedTuple):
    """A prompt part that was added to or evicted from a replica's cache."""

    part: str
    # Sequence number of the change at its replica.
    sequence: int
    # Tokens cached; 0 after eviction.
    tokens: int


class CacheChanges(typing.NamedTuple):
    """The changes of a replica's cache since the previous poll."""

    # Changes when the replica restarts, which empties its cache.
    epoch: str
    # Where the next poll begins.
    next_sequence: int
    # Whether earlier changes are missing.
    lost: bool
    changes: list[CacheChange]


_ROW_ERRORS = (
    errors.DecodeError,
    msgspec.ValidationError,
    ValueError,
    TypeError,
)


def _to_int(value: typing.Any) -> int:
    """Return a number of a row; raise one of _ROW_ERRORS for none."""
    return msgspec.convert(int(value), json_codec.Int64)


def cache_events_request(
    address: str,
    replica_name: str,
    since: int,
    wait_s: float,
    connect_s: float,
) -> httpx.Request:
    """Return the long poll for changes of a replica's cache."""
    return httpx.Request(
        'GET',
        f'http://{address}/api/kv-events?since={since}',
        headers=[
            (b'wait-ms', str(int(wait_s * 1000)).encode()),
            (b'x-expect-instance', replica_name.encode()),
        ],
        extensions={'connect_s': connect_s},
    )


def decode_cache_events(body: bytes) -> CacheChanges:
    """Return the changes in a response; raise DecodeError."""
    try:
        found = json_codec.decode(body, _CacheEventsResponse)
        changes = []
        for row in found.events:
            number, sign, _, part, tokens = row[:5]
            kept = _to_int(tokens) if sign == '+' else 0
            changes.append(CacheChange(str(part), _to_int(number), kept))
    except _ROW_ERRORS as error:
        raise errors.DecodeError(f'invalid cache events: {error}') from error
    return CacheChanges(
        str(found.epoch), found.next, bool(found.lost), changes
    )


class _CacheListResponse(msgspec.Struct):
    epoch: typing.Any
    # The sequence number of the next event.
    next: json_codec.Int64
    held: list[list[typing.Any]] = []


def cache_list_request(
    address: str, replica_name: str, connect_s: float
) -> httpx.Request:
    """Return the request for a replica's whole cache list.

    The list is costly for the replica.
    """
    return httpx.Request(
        'GET',
        f'http://{address}/api/kv-list',
        headers=[(b'x-expect-instance', replica_name.encode())],
        extensions={'connect_s': connect_s},
    )


def decode_cache_list(body: bytes) -> CacheChanges:
    """Return the cached parts as if all were added by the last change.

    Raise DecodeError.
    """
    try:
        found = json_codec.decode(body, _CacheListResponse)
        changes = []
        for row in found.held:
            _, part, tokens = row[:3]
            kept = _to_int(tokens)
            changes.append(CacheChange(str(part), found.next - 1, kept))
    except _ROW_ERRORS as error:
        raise errors.DecodeError(f'invalid cache list: {error}') from error
    return CacheChanges(str(found.epoch), found.next, False, changes)


__all__ = [
    'CacheChange',
    'CacheChanges',
    'cache_events_request',
    'cache_list_request',
    'decode_cache_events',
    'decode_cache_list',
]
