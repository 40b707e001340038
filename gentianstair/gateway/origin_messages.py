"""Encode and decode what VMs tell each other of streams."""

import typing

import msgspec

from gentianstair import errors
from gentianstair.core import stream_origins
from gentianstair.gateway import version_history
from gentianstair.generated import messages
from gentianstair.peers import link

# A longer lifetime in a message means this one.
MAX_LIFETIME_S = 3600.0
# Links that a question passes: from a leaf to its hub, and to other hubs.
MAX_HOPS = 2


class Told(typing.NamedTuple):
    """A stream that is told to another VM."""

    key: bytes
    origin: stream_origins.Origin
    lifetime_s: float


class Question(typing.NamedTuple):
    """What is asked about a stream that is resumed."""

    key: bytes
    service: str
    lifetime_s: float


class Knowledge(typing.NamedTuple):
    """What a VM, or several, know of a stream."""

    origin: stream_origins.Origin | None
    versions: version_history.Versions


class _Row(typing.NamedTuple):
    key: bytes
    service: str
    version: str
    upstream: str
    started_ms: int
    first_event_ms: int
    lifetime_ms: int


def encode_origins(
    found: typing.Iterable[Told], spread: bool
) -> messages.StreamOrigins:
    """Return the message that tells of streams."""
    return {
        'version': link.PROTOCOL_VERSION,
        'type': 'stream_origins',
        'rows': [_encode_row(one) for one in found],
        'spread': spread,
    }


def _encode_row(told: Told) -> list[typing.Any]:
    return [told.key, *told.origin, round(told.lifetime_s * 1000)]


def decode_rows(rows: list[list[typing.Any]]) -> list[Told]:
    """Return the streams in a message; raise DecodeError."""
    try:
        found = msgspec.convert(rows, list[_Row])
    except msgspec.ValidationError as error:
        raise errors.DecodeError(f'bad streams: {error}') from error
    return [
        Told(row.key, stream_origins.Origin(*row[1:-1]), _lifetime_s(row[-1]))
        for row in found
    ]


def _lifetime_s(lifetime_ms: int) -> float:
    return min(MAX_LIFETIME_S, max(0, lifetime_ms) / 1000)


def encode_question(
    number: int, question: Question, hops: int
) -> messages.StreamAsk:
    """Return the message that asks about a stream."""
    return {
        'version': link.PROTOCOL_VERSION,
        'type': 'stream_ask',
        'id': number,
        'key': question.key,
        'service': question.service,
        'lifetime_ms': round(question.lifetime_s * 1000),
        'hops': hops,
    }


def decode_question(message: messages.StreamAsk) -> Question:
    """Return what a message asks."""
    return Question(
        message['key'],
        message['service'],
        _lifetime_s(message['lifetime_ms']),
    )


def encode_answer(
    number: int, key: bytes, knowledge: Knowledge, remaining_s: float
) -> messages.StreamAnswer:
    """Return the answer to the question with this number."""
    row: list[typing.Any] = []
    if knowledge.origin is not None:
        row = _encode_row(Told(key, knowledge.origin, remaining_s))
    return {
        'version': link.PROTOCOL_VERSION,
        'type': 'stream_answer',
        'id': number,
        'row': row,
        'versions': sorted(knowledge.versions.found),
        'complete': knowledge.versions.is_complete,
    }


def decode_answer(message: messages.StreamAnswer) -> Knowledge:
    """Return what an answer says; raise DecodeError."""
    row = message['row']
    found = decode_rows([row]) if row else []
    return Knowledge(
        found[0].origin if found else None,
        version_history.Versions(
            frozenset(message['versions']), message['complete']
        ),
    )
