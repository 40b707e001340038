"""Keep the configuration of a control process current by a store watch."""

import loguru
import trio

from gentianstair import errors
from gentianstair.config import view as views
from gentianstair.store import store as stores

KINDS = ('upstream', 'bundle', 'accepted', 'customer')
PURPOSE = 'config'
WATCH_TIMEOUT_S = 20.0
RETRY_PAUSE_S = 0.5


async def _list_all(store: stores.Store, view: views.View) -> int:
    """Load all objects; return the revision to watch from."""
    revisions = []
    for kind in KINDS:
        listing = await store.list(kind, purpose=PURPOSE)
        view.apply(listing.objects)
        revisions.append(listing.revision)
    return min(revisions)


async def run(store: stores.Store, view: views.View) -> None:
    """Keep the view current until cancelled."""
    revision = -1
    while True:
        try:
            if revision < 0:
                revision = await _list_all(store, view)
            changes = await store.watch(
                KINDS, revision, WATCH_TIMEOUT_S, purpose=PURPOSE
            )
            view.apply(changes.objects)
            revision = max(revision, changes.revision)
        except errors.WatchTooOldError:
            revision = -1
        except errors.StoreError as error:
            loguru.logger.warning('watching the configuration: {}', error)
            await trio.sleep(RETRY_PAUSE_S)
