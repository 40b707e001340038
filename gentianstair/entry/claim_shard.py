"""Apply changes to the entries of one shard of idempotency claims."""

import base64
import enum
import functools
import typing

from gentianstair.generated import messages

# Longer response bodies are not stored with their outcome.
MAX_BODY_BYTES = 4096
# Upper estimate of a shard; the rest of the store's 1 MB is for encoding.
MAX_SHARD_BYTES = 600_000
# Encoded size of an entry without its strings.
ENTRY_OVERHEAD_BYTES = 130
MAX_CONTENT_TYPE_CHARS = 100
# Entries expire after this many whole generations of their shard.
RETENTION_GENERATIONS = 8

Entries = dict[str, messages.ClaimEntry]


class State(enum.Enum):
    """The result of a change to a claim."""

    GRANTED = 'granted'
    # Another request with the key may be running.
    RUNNING_ELSEWHERE = 'running_elsewhere'
    # The request that claimed the key stored no outcome in time.
    MAY_HAVE_RUN = 'may_have_run'
    # The outcome of the request is stored.
    FINISHED = 'finished'
    # The key was claimed for a request with another digest.
    MISMATCH = 'mismatch'
    # The shard has no room for another key; nothing was claimed.
    FULL = 'full'


# The class and field names of the changes are part of the peer protocol.


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


class ChangeResult(typing.NamedTuple):
    """The result of a change; ``entry`` is the claim before it, if any."""

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
    fixed = ENTRY_OVERHEAD_BYTES + sum(len(text) for text in texts)
    return fixed + len(entry['content_type']) + len(entry['body'] or '')


def age_out(entries: Entries, generation: int) -> Entries:
    """Return the entries that have not expired."""
    return {
        name: entry
        for name, entry in entries.items()
        if generation - entry['generation'] <= RETENTION_GENERATIONS
    }


def restore(entries: Entries, lost: Entries) -> Entries:
    """Return the entries of a store that came back, and what it lost.

    A claim that both have keeps its outcome, whoever has it.
    """
    restored = {**lost, **entries}
    for name, entry in lost.items():
        if entry['status'] is not None and restored[name]['status'] is None:
            restored[name] = entry
    return restored


def make_room(entries: Entries, needed_bytes: int) -> bool:
    """Drop the oldest stored bodies to make room; return whether it fits.

    Entries are never dropped: without one, its key could run twice.
    """
    excess = size_bytes(entries) + needed_bytes - MAX_SHARD_BYTES
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
def apply(change: Change, entries: Entries, generation: int) -> ChangeResult:
    """Apply one change to entries in place.

    Changes are idempotent: the nonce shows that a repeated change, such as
    one after a lost response, already took effect.
    """
    raise TypeError(type(change))


@apply.register
def _apply_take(
    change: Take, entries: Entries, generation: int
) -> ChangeResult:
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
        needed_bytes = (
            _entry_bytes(change.name, entry) + MAX_CONTENT_TYPE_CHARS
        )
        if not make_room(entries, needed_bytes):
            return ChangeResult(State.FULL)
        entries[change.name] = entry
        return ChangeResult(State.GRANTED)
    if known['nonce'] == change.nonce:
        return ChangeResult(State.GRANTED, known)
    if known['digest'] != change.digest:
        return ChangeResult(State.MISMATCH, known)
    if known['status'] is not None:
        return ChangeResult(State.FINISHED, known)
    return ChangeResult(State.RUNNING_ELSEWHERE, known)


@apply.register
def _apply_keep(
    change: Keep, entries: Entries, generation: int
) -> ChangeResult:
    known = entries.get(change.name)
    if known is None or known['nonce'] != change.nonce:
        return ChangeResult(State.MAY_HAVE_RUN, known)
    if known['status'] is None:
        body = change.body
        if not make_room(entries, len(body or '')):
            body = None
        entries[change.name] = {
            **entries[change.name],
            'status': change.status,
            'content_type': change.content_type[:MAX_CONTENT_TYPE_CHARS],
            'body': body,
            'generation': generation,
        }
    return ChangeResult(State.FINISHED, known)


@apply.register
def _apply_drop(
    change: Drop, entries: Entries, generation: int
) -> ChangeResult:
    known = entries.get(change.name)
    is_own = known is not None and known['nonce'] == change.nonce
    if is_own and known['status'] is None:
        del entries[change.name]
    return ChangeResult(State.GRANTED, known)
