"""Make an operator's change: audited, conditional, settled if in doubt."""

import collections.abc
import contextlib
import typing

from gentianstair import errors
from gentianstair.store import store
from gentianstair.ui import session as sessions
from gentianstair.util import audit

PUT_TRIES = 3

# Returns the wanted value of an object from its present one, None if absent;
# raises UserError to refuse.
Edit = collections.abc.Callable[[store.Value | None], store.Value]


class EffectUnknownError(errors.StoreOutcomeUnknownError):
    """Report a change that may or may not be in force."""


async def _put(
    client: store.Store, item: store.StoredObject, value: store.Value
) -> int:
    """Write over item and return the new version.

    A write whose answer is lost may have taken effect, or may yet. It is
    repeated under the same expected version: if the first one took effect,
    the store refuses the second, and the object then carries the name of
    our audit entry, which no other change carries.
    """
    kind, name = item.kind, item.name
    expected = item.version if item.value is not None else 0
    lost = False
    for _ in range(PUT_TRIES):
        try:
            return await client.put(
                kind, name, value, expected, purpose='operator'
            )
        except errors.StoreOutcomeUnknownError:
            lost = True
        except (errors.StoreConflictError, errors.StoreUnavailableError):
            # After a lost answer neither says that nothing was changed.
            if not lost:
                raise
            break
    with contextlib.suppress(errors.StoreUnavailableError):
        found = await client.get(kind, name, purpose='operator')
        if found.value and found.value.get('change') == value['change']:
            return found.version
    raise EffectUnknownError(
        f'{kind}/{name}: the answer was lost and the change may be in force;'
        f' see: gentianstair audit --target {kind}/{name}'
    )


async def apply(
    session: sessions.Session,
    action: str,
    kind: str,
    name: str,
    edit: Edit,
) -> store.StoredObject:
    """Change one object and return it as it now stands.

    Raise UserError when edit refuses, StoreConflictError when somebody else
    changed the object meanwhile, EffectUnknownError when an answer was lost
    and reading back did not settle it, StoreUnavailableError when nothing
    was changed because the store is down.
    """
    client = session.store
    item = await client.get(kind, name, purpose='operator')
    wanted = edit(item.value)
    entry = audit.make_entry(
        session.actor, action, f'{kind}/{name}', item.value, wanted
    )
    entry_name = audit.make_entry_name(entry)
    value = {**wanted, 'change': entry_name}
    await audit.record(client, entry, entry_name)
    try:
        version = await _put(client, item, value)
    except errors.StoreConflictError:
        await _conclude(client, entry_name, audit.Outcome.REFUSED)
        raise
    except EffectUnknownError:
        await _conclude(client, entry_name, audit.Outcome.UNKNOWN)
        raise
    await _conclude(client, entry_name, audit.Outcome.DONE, version)
    return store.StoredObject(kind, name, version, value)


async def _conclude(
    client: store.Store,
    entry_name: str,
    outcome: audit.Outcome,
    version: int = 0,
) -> None:
    # The change itself is settled by now. A store that went down since must
    # not turn it into a failure; the entry stays open and is settled by its
    # name in the object when the trail is read.
    with contextlib.suppress(errors.StoreError):
        await audit.record_outcome(client, entry_name, outcome, version)


def create(value: store.Value, what: str) -> Edit:
    """Return an edit that makes a new object and refuses an existing one."""

    def edit(present: store.Value | None) -> store.Value:
        if present is not None:
            raise errors.UserError(f'{what} exists already')
        return value

    return edit


def update(what: str, **fields: typing.Any) -> Edit:
    """Return an edit that sets some fields of an object that must exist."""

    def edit(present: store.Value | None) -> store.Value:
        if present is None:
            raise errors.UserError(f'{what} does not exist')
        return {**present, **fields}

    return edit
