"""Follow the store on the few VMs of a failure domain that watch it."""

import random
import typing

import prometheus_client
import trio

from gentianstair import errors
from gentianstair.config import view as view_module
from gentianstair.store import store as store_module
from gentianstair.util import clock as clock_module

# Pause after a watch that found changes, so that a burst of changes costs
# a few calls and not one for each.
COALESCE_PAUSE_S = 0.05
# Share of a watch's time after which the store's clock may call it over.
FULL_WAIT_SHARE = 0.98
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
    """Bring the store's changes into a view, and learn how fresh it is."""

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
        # The store revision up to which this watcher saw all changes; None
        # until it listed, or knows that peers gave it a whole view.
        self._cursor: int | None = None
        self._highest_revision = 0
        self._pause_s = 0.0

    def resume_from_view(self) -> None:
        """Skip the listing: the view came whole from a peer."""
        if self._cursor is None and self._view.revision:
            self._cursor = self._view.revision

    async def step(
        self,
    ) -> tuple[list[store_module.StoredObject], float | None]:
        """List or watch once.

        Return the objects that were news here, and the time up to which
        the view is now known to be the store's; None when not known.
        """
        try:
            if self._cursor is None:
                found = await self._list()
            else:
                found = await self._watch(self._cursor)
        except errors.WatchTooOldError:
            self._cursor = None
            return [], None
        except errors.StoreError:
            WATCH_ERRORS.inc()
            # Jittered, so that the fleet's watchers do not return to a
            # store that has just come back all at the same instant.
            await trio.sleep(self._retry_s * self._rng.uniform(0.5, 1.0))
            self._retry_s = min(2 * self._retry_s, MAX_RETRY_S)
            return [], None
        self._retry_s = MIN_RETRY_S
        return found

    async def _list(
        self,
    ) -> tuple[list[store_module.StoredObject], float | None]:
        sent_s = self._clock()
        applied = []
        revisions = []
        for kind in view_module.KINDS:
            found = await self._store.list(kind, purpose='config')
            revisions.append(found.revision)
            applied += self._view.apply(found.objects)
            applied += self._view.apply(self._find_deleted(kind, found))
        self._cursor = min(revisions)
        return applied, self._as_of_unless_stale(self._cursor, sent_s)

    def _find_deleted(
        self, kind: str, found: store_module.Listing
    ) -> list[store_module.StoredObject]:
        """Return deletions that a listing shows by leaving objects out."""
        listed_names = {item.name for item in found.objects}
        return [
            store_module.StoredObject(kind, item.name, found.revision, None)
            for item in self._view.live(kind)
            if item.name not in listed_names and item.version < found.revision
        ]

    async def _watch(
        self, cursor: int
    ) -> tuple[list[store_module.StoredObject], float | None]:
        await trio.sleep(self._pause_s)
        sent_s = self._clock()
        found = await self._store.watch(
            view_module.KINDS, cursor, self._watch_s, purpose='config-watch'
        )
        as_of_s = sent_s
        waited_s = FULL_WAIT_SHARE * self._watch_s
        if not found.objects and self._clock() - sent_s >= waited_s:
            # The store waited the whole time before it said that nothing
            # changed, so that is when it was true.
            as_of_s = sent_s + waited_s
        confirmed_s = self._as_of_unless_stale(found.revision, as_of_s)
        self._cursor = max(cursor, found.revision)
        applied = self._view.apply(found.objects)
        self._pause_s = COALESCE_PAUSE_S if found.objects else 0.0
        return applied, confirmed_s

    def _as_of_unless_stale(
        self, revision: int, as_of_s: float
    ) -> float | None:
        """Return as_of_s unless the store answered from the past.

        A replica that lags shows a revision below one that we, or a peer,
        have seen. What it says is old news and must not count as fresh, or
        a revoked key would work for as long as the replica lags.
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
    found: typing.Iterable[typing.Mapping[str, typing.Any]],
) -> list[store_module.StoredObject]:
    """Return the objects that a message carries."""
    return [
        store_module.StoredObject(
            item['kind'], item['name'], item['version'], item['value']
        )
        for item in found
    ]
