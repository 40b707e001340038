"""Apply claims, outcomes and releases to the entries of one shard."""

import base64
import enum
import functools
import typing

from gentianstair.generated import messages

# An outcome whose body is longer is kept without its body.
MAX_BODY_BYTES = 4096
# The store takes a megabyte; the rest is room for encoding.
SHARD_LIMIT_BYTES = 600_000
# What an entry takes besides its texts.
ENTRY_BYTES = 130
MAX_CONTENT_TYPE = 100
# Entries leave after this many whole generations of their shard.
GENERATIONS = 8

Entries = dict[str, messages.ClaimEntry]


class State(enum.Enum):
    """What a claim of a key came to."""

    GRANTED = 'granted'
    # Another request with the key may be running now.
    RUNNING_ELSEWHERE = 'running_elsewhere'
    # Whoever claimed the key left no outcome in reasonable time.
    MAY_HAVE_RUN = 'may_have_run'
    FINISHED = 'finished'
    MISMATCH = 'mismatch'
    # The shard has no room for another key; nothing was claimed.
    FULL = 'full'


class Take(typing.NamedTuple):
    """Claim a key for a request with this digest."""

    name: str
    digest: str
    nonce: str
    vm: str


class Keep(typing.NamedTuple):
    """Store the outcome of a claim."""

    name: str
    nonce: str
    status: int
    content_type: str
    body: str | None


class Drop(typing.NamedTuple):
    """Free a key whose request is proved not to have run."""

    name: str
    nonce: str


Change = Take | Keep | Drop


class Found(typing.NamedTuple):
    """What a change met; ``entry`` is the claim that was there before."""

    state: State
    entry: messages.ClaimEntry | None = None


def encode_body(body: bytes) -> str | None:
    """Return the stored form, or None when the body is too long to keep.

    >>> encode_body(b'ok')
    'b2s='
    """
    if len(body) > MAX_BODY_BYTES:
        return None
    return base64.b64encode(body).decode('ascii')


def size_bytes(entries: Entries) -> int:
    """Return an upper estimate of the stored size."""
    return sum(_entry_bytes(name, item) for name, item in entries.items())


def _entry_bytes(name: str, entry: messages.ClaimEntry) -> int:
    texts = (name, entry['digest'], entry['nonce'], entry['vm'])
    fixed = ENTRY_BYTES + sum(len(text) for text in texts)
    return fixed + len(entry['content_type']) + len(entry['body'] or '')


def age_out(entries: Entries, generation: int) -> Entries:
    """Return the entries whose retention has not passed."""
    return {
        name: entry
        for name, entry in entries.items()
        if generation - entry['generation'] <= GENERATIONS
    }


def make_room(entries: Entries, needed_bytes: int) -> bool:
    """Drop the oldest kept bodies until there is room; say if there is.

    Only bodies go: without its entry a key could run a second time.
    """
    excess = size_bytes(entries) + needed_bytes - SHARD_LIMIT_BYTES
    if excess <= 0:
        return True
    by_age = sorted(entries.items(), key=lambda item: item[1]['generation'])
    for name, entry in by_age:
        if excess <= 0:
            break
        if entry['body']:
            excess -= len(entry['body'])
            entries[name] = {**entry, 'body': None}
    return excess <= 0


@functools.singledispatch
def apply(change: Change, entries: Entries, generation: int) -> Found:
    """Make one change to entries.

    A change made a second time, after a lost answer, changes nothing and
    finds the same: the nonce tells the claim's own entry from another's.
    """
    raise TypeError(type(change))


@apply.register
def _take(change: Take, entries: Entries, generation: int) -> Found:
    known = entries.get(change.name)
    if known is None:
        entry: messages.ClaimEntry = {
            'digest': change.digest,
            'nonce': change.nonce,
            'vm': change.vm,
            'generation': generation,
            'status': None,
            'content_type': '',
            'body': None,
        }
        needed_bytes = _entry_bytes(change.name, entry) + MAX_CONTENT_TYPE
        if not make_room(entries, needed_bytes):
            return Found(State.FULL)
        entries[change.name] = entry
        return Found(State.GRANTED)
    if known['nonce'] == change.nonce:
        return Found(State.GRANTED, known)
    if known['digest'] != change.digest:
        return Found(State.MISMATCH, known)
    if known['status'] is not None:
        return Found(State.FINISHED, known)
    return Found(State.RUNNING_ELSEWHERE, known)


@apply.register
def _keep(change: Keep, entries: Entries, generation: int) -> Found:
    known = entries.get(change.name)
    if known is None or known['nonce'] != change.nonce:
        return Found(State.MAY_HAVE_RUN, known)
    if known['status'] is None:
        body = change.body
        if not make_room(entries, len(body or '')):
            body = None
        entries[change.name] = {
            **entries[change.name],
            'status': change.status,
            'content_type': change.content_type[:MAX_CONTENT_TYPE],
            'body': body,
            'generation': generation,
        }
    return Found(State.FINISHED, known)


@apply.register
def _drop(change: Drop, entries: Entries, generation: int) -> Found:
    known = entries.get(change.name)
    mine = known is not None and known['nonce'] == change.nonce
    if mine and known['status'] is None:
        del entries[change.name]
    return Found(State.GRANTED, known)
