"""Follow the configuration straight from the platform's store."""

import loguru
import trio

from gentianstair import errors
from gentianstair.config import view as views
from gentianstair.platform import store as stores
from gentianstair.util import clock as clocks

PURPOSE = 'config'
RETRY_S = 0.5


class Follower:
    """Watch the store and apply what changes to a view."""

    def __init__(
        self,
        view: views.View,
        store: stores.Store,
        clock: clocks.Clock,
        watch_s: float,
        freshness_s: float,
    ) -> None:
        self._view = view
        self._store = store
        self._clock = clock
        self._watch_s = watch_s
        self._freshness_s = freshness_s
        self._heard_s = float('-inf')

    def is_fresh(self) -> bool:
        """Return whether the store was heard within freshness_s."""
        return self._clock() - self._heard_s <= self._freshness_s

    async def run(self) -> None:
        """Read everything once, then watch, until cancelled."""
        revision = None
        while True:
            try:
                if revision is None:
                    revision = await self._read_all()
                asked_s = self._clock()
                found = await self._store.watch(
                    views.KINDS, revision, self._watch_s, purpose=PURPOSE
                )
                self._view.apply(found.objects)
                revision = max(revision, found.revision)
                # Counted from before the call: what was true when the
                # store answered may have changed since.
                self._heard_s = max(self._heard_s, asked_s)
            except errors.WatchTooOldError:
                revision = None
            except errors.StoreError as error:
                loguru.logger.warning('cannot watch the store: {}', error)
                await trio.sleep(RETRY_S)

    async def _read_all(self) -> int:
        asked_s = self._clock()
        revisions = []
        for kind in views.KINDS:
            found = await self._store.list(kind, purpose=PURPOSE)
            self._view.apply(found.objects)
            revisions.append(found.revision)
        self._heard_s = asked_s
        # What changed while the kinds were read is seen again by the watch.
        return min(revisions)


def make_follower(
    view: views.View,
    store: stores.Store,
    clock: clocks.Clock,
    watch_s: float = 1.0,
    freshness_s: float = 5.0,
) -> Follower:
    """Return a follower that has heard nothing yet."""
    return Follower(view, store, clock, watch_s, freshness_s)
