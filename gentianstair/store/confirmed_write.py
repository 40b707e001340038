"""Write objects so that a lost answer is settled by reading back."""

import secrets

import trio

from gentianstair import errors
from gentianstair.store import store as stores

MAX_ATTEMPTS = 4
FIRST_BACKOFF_S = 0.05


def new_nonce() -> str:
    """Return a value that tells one write from all others."""
    return secrets.token_hex(8)


async def _read_back(
    store: stores.Store, kind: str, name: str, purpose: str
) -> stores.StoredObject | None:
    try:
        return await store.get(kind, name, purpose=purpose)
    except errors.StoreUnavailableError:
        return None


async def put(
    store: stores.Store,
    kind: str,
    name: str,
    value: stores.Value,
    expect_version: int,
    *,
    purpose: str,
) -> int:
    """Write a value that holds a ``nonce`` of its own; return its version.

    After a lost answer the object shows the nonce, so the write took
    effect, or it has the version expected, so writing again is right: if
    the first write still arrives before the second, the second conflicts
    and finds the nonce; if after, the first conflicts. Raise
    StoreConflictError when another wrote, StoreUnavailableError when
    nothing was written, and StoreUnknownError when it can't be settled.
    """
    unknown = False
    for attempt in range(MAX_ATTEMPTS):
        try:
            return await store.put(
                kind, name, value, expect_version, purpose=purpose
            )
        except errors.StoreUnknownError:
            unknown = True
        except errors.StoreConflictError as error:
            if not unknown:
                raise
            found = await _read_back(store, kind, name, purpose)
            if found is not None and not _is_ours(found, value):
                # An answer from the past may hide our own write.
                if found.version > expect_version:
                    raise error
        except errors.StoreUnavailableError:
            if not unknown:
                raise
        await trio.sleep(FIRST_BACKOFF_S * 2**attempt)
        found = await _read_back(store, kind, name, purpose)
        if found is not None and _is_ours(found, value):
            return found.version
    raise errors.StoreUnknownError(f'{kind}/{name}')


def _is_ours(found: stores.StoredObject, value: stores.Value) -> bool:
    return found.value is not None and found.value['nonce'] == value['nonce']
