"""Watch the store for changes of the configuration."""

import random
import typing

import prometheus_client
import trio

from gentianstair import errors
from gentianstair.config import view as view_module
from gentianstair.store import store as store_module
from gentianstair.util import clock as clock_module

# Pause after a watch that found changes, so that a burst of changes takes
# few calls.
COALESCE_PAUSE_S = 0.05
# Share of watch_s after which a watch counts as waited to its end; less than
# 1 since the store's clock may run faster.
FULL_WAIT_SHARE = 0.98
# Bounds of the backoff after failed calls of the store.
MIN_RETRY_S = 0.25
MAX_RETRY_S = 4.0

WATCH_ERRORS = prometheus_client.Counter(
    'gentianstair_watch_errors', 'Watches of the store that failed.'
)
STALE_ANSWERS = prometheus_client.Counter(
    'gentianstair_watch_past_answers',
    'Answers of the store from before a revision already seen.',
)


class Watcher:
    """Apply the store's changes to a view and track its freshness."""

    def __init__(
        self,
        view: view_module.View,
        store: store_module.Store,
        clock: clock_module.Clock,
        watch_s: float,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._store = store
        self._clock = clock
        self._watch_s = watch_s
        self._rng = rng
        self._retry_s = MIN_RETRY_S
        # The store revision up to which all changes were applied; None until
        # a listing, or until peers have sent the whole view.
        self._cursor: int | None = None
        self._highest_revision = 0
        self._pause_s = 0.0

    def resume_from_view(self) -> None:
        """Skip the initial listing, as a peer has sent the whole view."""
        if self._cursor is None and self._view.revision:
            self._cursor = self._view.revision

    async def step(
        self,
    ) -> tuple[list[store_module.StoredObject], float | None]:
        """List or watch once.

        Return the objects that changed the view, and the time at which the
        view is known to have matched the store, or None.
        """
        try:
            if self._cursor is None:
                result = await self._list()
            else:
                result = await self._watch(self._cursor)
        except errors.WatchTooOldError:
            self._cursor = None
            return [], None
        except errors.StoreError:
            WATCH_ERRORS.inc()
            # Jittered, so that the watchers of the fleet do not all retry
            # at the same instant.
            await trio.sleep(self._retry_s * self._rng.uniform(0.5, 1.0))
            self._retry_s = min(2 * self._retry_s, MAX_RETRY_S)
            return [], None
        self._retry_s = MIN_RETRY_S
        return result

    async def _list(
        self,
    ) -> tuple[list[store_module.StoredObject], float | None]:
        sent_s = self._clock()
        applied = []
        revisions = []
        for kind in view_module.WATCHED_KINDS:
            listing = await self._store.list(kind, purpose='config')
            revisions.append(listing.revision)
            applied += self._view.apply(listing.objects)
            applied += self._view.apply(self._find_deleted(kind, listing))
        self._cursor = min(revisions)
        return applied, self._as_of_unless_stale(self._cursor, sent_s)

    def _find_deleted(
        self, kind: str, listing: store_module.Listing
    ) -> list[store_module.StoredObject]:
        """Return deletions of live objects that a listing lacks."""
        listed_names = {item.name for item in listing.objects}
        return [
            store_module.StoredObject(kind, item.name, listing.revision, None)
            for item in self._view.live_objects(kind)
            if item.name not in listed_names
            and item.version < listing.revision
        ]

    async def _watch(
        self, cursor: int
    ) -> tuple[list[store_module.StoredObject], float | None]:
        await trio.sleep(self._pause_s)
        sent_s = self._clock()
        changes = await self._store.watch(
            view_module.WATCHED_KINDS,
            cursor,
            self._watch_s,
            purpose='config-watch',
        )
        as_of_s = sent_s
        waited_s = FULL_WAIT_SHARE * self._watch_s
        if not changes.objects and self._clock() - sent_s >= waited_s:
            # The store waited to the end of the watch before it reported no
            # change.
            as_of_s = sent_s + waited_s
        confirmed_s = self._as_of_unless_stale(changes.revision, as_of_s)
        self._cursor = max(cursor, changes.revision)
        applied = self._view.apply(changes.objects)
        self._pause_s = COALESCE_PAUSE_S if changes.objects else 0.0
        return applied, confirmed_s

    def _as_of_unless_stale(
        self, revision: int, as_of_s: float
    ) -> float | None:
        """Return as_of_s, or None for an answer of a lagging replica.

        Such an answer has a lower revision than this node or a peer has
        seen. If it counted as fresh, a revoked key would work for as long
        as the replica lags.
        """
        self._highest_revision = max(
            self._highest_revision, self._view.revision
        )
        if revision < self._highest_revision:
            STALE_ANSWERS.inc()
            return None
        self._highest_revision = revision
        return as_of_s


def to_stored_objects(
    items: typing.Iterable[typing.Mapping[str, typing.Any]],
) -> list[store_module.StoredObject]:
    """Return the objects of a message as the store's type."""
    return [
        store_module.StoredObject(
            item['kind'], item['name'], item['version'], item['value']
        )
        for item in items
    ]
