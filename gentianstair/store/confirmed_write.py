"""Write objects, and read back whether a write with no response happened."""

import secrets

import trio

from gentianstair import errors
from gentianstair.store import store as stores

MAX_ATTEMPTS = 4
FIRST_BACKOFF_S = 0.05


def new_nonce() -> str:
    """Return a random value that identifies one write."""
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
    """Write a value with a unique ``nonce``; return the new version.

    After a lost response the object is read back. If it has the nonce, the
    write took effect. Otherwise the write is repeated with the same
    expected version, so at most one of the two takes effect. Raise
    StoreConflictError if another process wrote the object,
    StoreUnavailableError if nothing was written, and StoreOutcomeUnknownError
    if the effect is still unknown after MAX_ATTEMPTS.
    """
    may_have_written = False
    for attempt in range(MAX_ATTEMPTS):
        try:
            return await store.put(
                kind, name, value, expect_version, purpose=purpose
            )
        except errors.StoreOutcomeUnknownError:
            may_have_written = True
        except errors.StoreConflictError as error:
            if not may_have_written:
                raise
            found = await _read_back(store, kind, name, purpose)
            if found is not None and not _has_nonce_of(found, value):
                # A stale read may not show our own write yet.
                if found.version > expect_version:
                    raise error
        except errors.StoreUnavailableError:
            if not may_have_written:
                raise
        await trio.sleep(FIRST_BACKOFF_S * 2**attempt)
        found = await _read_back(store, kind, name, purpose)
        if found is not None and _has_nonce_of(found, value):
            return found.version
    raise errors.StoreOutcomeUnknownError(
        f'{kind}/{name}: unknown whether the write took effect'
    )


def _has_nonce_of(found: stores.StoredObject, value: stores.Value) -> bool:
    return found.value is not None and found.value['nonce'] == value['nonce']
