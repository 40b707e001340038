"""Keep the audit trail: who changed what and when, old and new values.

An entry is recorded before its change is attempted, and its outcome after.
If the process dies in between, the entry remains without an outcome. A
change also writes the name of its entry into the object (field ``change``),
so that a missing outcome can be inferred later: the change took effect if
the object, or the ``before`` of a later entry, has that name.
"""

import datetime
import enum
import secrets
import time
import typing

from gentianstair import errors
from gentianstair.generated import messages
from gentianstair.store import store

KIND = 'audit'
OUTCOME_KIND = 'audit-outcome'
# Kinds of objects that record an order; their state gives its outcome.
ORDER_KINDS = frozenset({'engine-order', 'upstream-order'})
NOT_DONE = 'not done'
CREATE_TRIES = 3
# Most list calls by hour prefix; then days are listed, then everything.
MAX_LIST_CALLS = 40
# Upper bound on the time that a write may take to become visible.
MAX_WRITE_S = 60.0


class Outcome(enum.StrEnum):
    """How an intended change ended."""

    DONE = 'done'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


def timestamp(now: datetime.datetime | None = None) -> str:
    """Return a UTC time in ISO 8601 with microseconds.

    >>> timestamp(datetime.datetime(2026, 1, 2, tzinfo=datetime.UTC))
    '2026-01-02T00:00:00.000000Z'
    """
    now = now or datetime.datetime.now(datetime.UTC)
    return now.isoformat(timespec='microseconds').replace('+00:00', 'Z')


def make_entry(
    actor: str,
    action: str,
    target: str,
    before: store.Value | None,
    after: store.Value | None,
) -> messages.AuditValue:
    """Return an entry for a change that is about to be attempted."""
    return {
        'at': timestamp(),
        'actor': actor,
        'action': action,
        'target': target,
        'before': before,
        'after': after,
    }


def make_entry_name(entry: messages.AuditValue) -> str:
    """Return a unique name; names sort by time on the authors' clocks."""
    stamp = entry['at'].replace('-', '').replace(':', '')
    return f'{stamp}-{secrets.token_hex(6)}'


async def _create(
    client: store.Store, kind: str, name: str, value: typing.Any
) -> None:
    """Create an object with a unique name, retrying unknown outcomes."""
    for attempt in range(CREATE_TRIES):
        try:
            await client.put(kind, name, value, 0, purpose='audit')
            return
        except errors.StoreConflictError:
            # The name is random, so an earlier attempt of this call, whose
            # response was lost, has created the object.
            return
        except errors.StoreOutcomeUnknownError:
            if attempt == CREATE_TRIES - 1:
                raise


async def record(
    client: store.Store,
    entry: messages.AuditValue,
    name: str | None = None,
) -> str:
    """Record an entry and return its name.

    Raise StoreUnavailableError or StoreOutcomeUnknownError; the change must
    then not be made.
    """
    name = name or make_entry_name(entry)
    await _create(client, KIND, name, entry)
    return name


async def record_outcome(
    client: store.Store, name: str, outcome: Outcome, version: int = 0
) -> None:
    """Record the outcome of an entry's change.

    ``version`` is the version of the object after the change, 0 if unknown.
    """
    value: messages.AuditOutcome = {
        'at': timestamp(),
        'outcome': outcome.value,
        'version': version,
    }
    await _create(client, OUTCOME_KIND, name, value)


class Record(typing.NamedTuple):
    """An entry with the recorded or inferred outcome of its change.

    ``outcome`` is ``done``, ``refused``, ``not done`` (the author died or
    lost the store before the change) or ``unknown``.
    """

    name: str
    entry: messages.AuditValue
    outcome: str


def _prefixes(since: datetime.datetime) -> list[str]:
    """Return the name prefixes that cover all entries since a time.

    Longer periods use shorter prefixes, which bounds the number of list
    calls. The range ends an hour ahead, as authors' clocks may be fast.
    """
    hour = datetime.timedelta(hours=1)
    first = since.astimezone(datetime.UTC)
    last = datetime.datetime.now(datetime.UTC) + hour
    for unit, form in ((hour, '%Y%m%dT%H'), (24 * hour, '%Y%m%d')):
        count = int((last - first) / unit) + 1
        if count <= MAX_LIST_CALLS:
            times = [first + unit * step for step in range(count)]
            found = [time_.strftime(form) for time_ in (*times, last)]
            return sorted(set(found))
    return ['']


async def _list_objects(
    client: store.Store, kind: str, prefixes: list[str]
) -> dict[str, store.Value]:
    found: dict[str, store.Value] = {}
    for prefix in prefixes:
        listing = await client.list(kind, prefix=prefix, purpose='audit')
        found |= {item.name: item.value or {} for item in listing.objects}
    return found


async def read(client: store.Store, since: datetime.datetime) -> list[Record]:
    """Return the entries since a time, oldest first."""
    prefixes = _prefixes(since)
    entries = await _list_objects(client, KIND, prefixes)
    outcomes = await _list_objects(client, OUTCOME_KIND, prefixes)
    first = timestamp(since)
    records = []
    for name in sorted(entries):
        entry = typing.cast(messages.AuditValue, entries[name])
        if entry['at'] < first:
            continue
        outcome = outcomes.get(name, {}).get('outcome')
        if outcome in (None, Outcome.UNKNOWN):
            outcome = await _infer_outcome(client, name, entry, entries)
        records.append(Record(name, entry, outcome))
    return records


def _entry_name_in(value: store.Value | None) -> str | None:
    return value.get('change') if value else None


async def _infer_outcome(
    client: store.Store,
    name: str,
    entry: messages.AuditValue,
    entries: dict[str, store.Value],
) -> str:
    """Return the outcome of a change for which none was recorded."""
    kind, _, target = entry['target'].partition('/')
    present = await client.get(kind, target, purpose='audit')
    seen = [present.value] + [
        later['before']
        for later in entries.values()
        if later['target'] == entry['target'] and later is not entry
    ]
    ours = [value for value in seen if _entry_name_in(value) == name]
    if ours and kind not in ORDER_KINDS:
        return Outcome.DONE.value
    if ours:
        return _order_outcome({value['state'] for value in ours if value})
    age_s = time.time() - _unix_time_s(entry['at'])
    # The state before the change was seen after it; the new state never was.
    if age_s > MAX_WRITE_S and _entry_name_in(entry['before']) in map(
        _entry_name_in, seen
    ):
        return NOT_DONE
    return Outcome.UNKNOWN.value


def _order_outcome(states: set[str]) -> str:
    """Return the outcome of an order, given the states of its record.

    The record has the entry's name before the order is sent, so the name
    alone does not show that the order took effect.
    """
    if states & {'done', 'accepted'}:
        return Outcome.DONE.value
    return Outcome.UNKNOWN.value if states == {'intended'} else NOT_DONE


def _unix_time_s(text: str) -> float:
    return datetime.datetime.fromisoformat(text).timestamp()


__all__ = (
    'KIND',
    'OUTCOME_KIND',
    'Outcome',
    'Record',
    'record_outcome',
    'make_entry',
    'make_entry_name',
    'read',
    'record',
    'timestamp',
)
