"""Decode what the platform's object API answers."""

import collections.abc
import typing

import loguru
import msgspec

from gentianstair import errors
from gentianstair.generated import events
from gentianstair.store import era as store_era
from gentianstair.store import store
from gentianstair.util import json_codec

DONE_STATUSES = (200, 201, 202)
# A write did nothing: bad request, too many requests, unavailable.
NOTHING_DONE_STATUSES = (400, 429, 503)


class _Meta(msgspec.Struct):
    name: str
    revision: int


class _Object(msgspec.Struct):
    metadata: _Meta
    spec: typing.Any = None


class ListPage(msgspec.Struct):
    """One page of a listing; its items are not decoded yet."""

    items: list[msgspec.Raw]
    store_revision: int
    truncated: bool = False


class Event(msgspec.Struct):
    """One change in the answer to a watch."""

    object: msgspec.Raw
    # Whether the object was removed.
    tombstone: bool = False


class EventPage(msgspec.Struct):
    """The answer to a watch."""

    events: list[Event]
    store_revision: int


class Answer(typing.NamedTuple):
    """Status and body of an answer, and the store's era."""

    status: int
    body: bytes
    era: int


def check_read(answer: Answer) -> None:
    """Raise StoreUnavailableError for a read without a result."""
    if answer.status not in DONE_STATUSES:
        raise errors.StoreUnavailableError(_told(answer))


def check_written(answer: Answer) -> None:
    """Raise StoreError for a write that the store does not confirm.

    It is StoreOutcomeUnknownError unless the store says that it did nothing.
    """
    if answer.status in DONE_STATUSES:
        return
    if answer.status in NOTHING_DONE_STATUSES:
        raise errors.StoreUnavailableError(_told(answer))
    raise errors.StoreOutcomeUnknownError(_told(answer))


def _told(answer: Answer) -> str:
    return f'status {answer.status}: {answer.body[:100]!r}'


def written_object(kind: str, answer: Answer) -> store.StoredObject:
    """Return the object in the answer to a write, which took effect.

    Raise StoreOutcomeUnknownError if it can't be read.
    """
    try:
        return decode_object(kind, answer)
    except errors.StoreUnavailableError as error:
        raise errors.StoreOutcomeUnknownError(str(error)) from error


def _decode(
    body: bytes,
    kind: type,
    decode: collections.abc.Callable[[bytes, type], typing.Any] = (
        json_codec.decode
    ),
) -> typing.Any:
    try:
        return decode(body, kind)
    except errors.DecodeError as error:
        raise errors.StoreUnavailableError(
            f'invalid response: {error}'
        ) from error


def decode_list(answer: Answer) -> ListPage:
    """Return a page of a listing; raise StoreUnavailableError.

    One object that can't be read must not hide all others.
    """
    return _decode(answer.body, ListPage, json_codec.decode_cut)


def decode_events(answer: Answer) -> EventPage:
    """Return the events of a watch; raise StoreUnavailableError.

    What holds for decode_list holds here.
    """
    return _decode(answer.body, EventPage, json_codec.decode_cut)


def decode_object(kind: str, answer: Answer) -> store.StoredObject:
    """Return the object in an answer; raise StoreUnavailableError."""
    return _to_stored(kind, _decode(answer.body, _Object), answer.era)


def _to_stored(kind: str, found: _Object, era: int) -> store.StoredObject:
    meta = found.metadata
    version = store_era.join(era, meta.revision)
    return store.StoredObject(kind, meta.name, version, found.spec)


def decode_item(
    kind: str, raw: msgspec.Raw, era: int
) -> store.StoredObject | None:
    """Return one item of a listing, or None if it is not valid.

    An invalid object, which another program may write, must not make the
    whole listing fail.
    """
    try:
        if json_codec.CUT in bytes(raw):
            raise errors.DecodeError('a part of it can not be read')
        found = json_codec.decode(raw, _Object)
    except errors.DecodeError as error:
        loguru.logger.bind(event=events.OBJECT_UNREADABLE, kind=kind).warning(
            'skipped an invalid object: {}', error
        )
        return None
    return _to_stored(kind, found, era)


class _NameOnly(msgspec.Struct):
    metadata: dict[str, typing.Any]


def last_name(page: ListPage) -> str | None:
    """Return the last name on a page, after which the next page begins."""
    for raw in reversed(page.items):
        try:
            meta = json_codec.decode(raw, _NameOnly).metadata
            return str(meta['name'])
        except (errors.DecodeError, KeyError):
            continue
    return None


def conflicting_version(answer: Answer) -> int:
    """Return the current version, or 0 if the response has none."""
    try:
        found = json_codec.decode(answer.body, _Object)
        return store_era.join(answer.era, found.metadata.revision)
    except errors.DecodeError:
        return 0
