"""Keep the audit trail: who changed what, when, from what to what.

An entry is recorded before its change is tried, and its outcome after. The
other order would lose the entry of a change whose author died in between;
with this one the worst case is an entry without an outcome, which says that
the change was intended. A change also writes its entry's name into the
object (field ``change``), so such an entry can be settled later: the change
took effect if the object, or the ``before`` of a later entry, carries the
name.
"""

import datetime
import enum
import secrets
import typing

from gentianstair import errors
from gentianstair.generated import messages
from gentianstair.platform import store

KIND = 'audit'
OUTCOME_KIND = 'audit-outcome'
CREATE_TRIES = 3


class Outcome(enum.StrEnum):
    """How an intended change ended."""

    DONE = 'done'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


def timestamp(now: datetime.datetime | None = None) -> str:
    """Return a UTC time in ISO 8601 with milliseconds.

    >>> timestamp(datetime.datetime(2026, 1, 2, tzinfo=datetime.UTC))
    '2026-01-02T00:00:00.000Z'
    """
    now = now or datetime.datetime.now(datetime.UTC)
    return now.isoformat(timespec='milliseconds').replace('+00:00', 'Z')


def make_entry(
    actor: str,
    action: str,
    target: str,
    before: store.Value | None,
    after: store.Value | None,
) -> messages.AuditValue:
    """Return an entry for a change that is about to be tried."""
    return {
        'at': timestamp(),
        'actor': actor,
        'action': action,
        'target': target,
        'before': before,
        'after': after,
    }


def make_name(entry: messages.AuditValue) -> str:
    """Return a new name; names sort by time, to the authors' clocks."""
    stamp = entry['at'].replace('-', '').replace(':', '')
    return f'{stamp}-{secrets.token_hex(6)}'


async def _create(
    client: store.Store, kind: str, name: str, value: typing.Any
) -> None:
    """Create an object of the trail, whose name nobody else uses."""
    for attempt in range(CREATE_TRIES):
        try:
            await client.put(kind, name, value, 0, purpose='audit')
            return
        except errors.StoreConflictError:
            # The name is random, so only an earlier try of ours, whose
            # answer was lost, can have created it.
            return
        except errors.StoreUnknownError:
            if attempt == CREATE_TRIES - 1:
                raise


async def record(
    client: store.Store,
    entry: messages.AuditValue,
    name: str | None = None,
) -> str:
    """Record an entry and return its name.

    Raise StoreUnavailableError or StoreUnknownError; the caller must then
    not go on to make the change.
    """
    name = name or make_name(entry)
    await _create(client, KIND, name, entry)
    return name


async def conclude(
    client: store.Store, name: str, outcome: Outcome, version: int = 0
) -> None:
    """Record how the change of an entry ended.

    ``version`` is the store's version after the change, 0 if unknown.
    """
    value: messages.AuditOutcome = {
        'at': timestamp(),
        'outcome': outcome.value,
        'version': version,
    }
    await _create(client, OUTCOME_KIND, name, value)


__all__ = (
    'KIND',
    'OUTCOME_KIND',
    'Outcome',
    'conclude',
    'make_entry',
    'make_name',
    'record',
    'timestamp',
)
