"""List and watch the configuration and the replicas in the store."""

import collections
import collections.abc
import typing

import loguru
import trio

from gentianstair import errors
from gentianstair.gateway import catalog
from gentianstair.gateway import replicas
from gentianstair.generated import events
from gentianstair.store import era
from gentianstair.store import store as stores
from gentianstair.util import clock as clocks

# Timeout of a watch on which nothing changes, as a share of the time in which
# a configuration must be in force. If its connection fails silently, a change
# is only seen after this timeout, the call's grace and a new listing.
CONFIG_WATCH_SHARE = 0.4
# The same for replicas, as a share of the time within which a draining one
# may still get new work. Their heartbeats end most watches sooner. It is
# shorter because a hub's leaves see the changes later than the hub, and leave
# a hub that has not read the store again soon after a silent watch.
REPLICA_WATCH_SHARE = 0.15
# Times that are allowed beyond this are not used.
MAX_USED_BOUND_S = 4.0
# Pause after a failed call, if up to FULL_RETRY_RATE_VMS read the store.
RETRY_PAUSE_S = 0.25
# Age of the data of a process that the store has refused since its start.
NEVER_ANSWERED_AGE_S = 3600.0
# How many store answers reported by peers are remembered.
MAX_PEER_ANSWERS = 64
# An answer to a peer shows that the store stayed up only if it came this
# long after this VM lost the store; earlier ones may precede an outage.
PEER_ANSWER_MARGIN_S = 0.5
# If more VMs than this read the store, the pause after a failed call grows
# in proportion to their number.
FULL_RETRY_RATE_VMS = 15
# How often a process with a hub's feed checks that it still has one.
FEED_CHECK_S = 0.2
# Pause between watches of the replicas, so that one call returns several
# heartbeats.
REPLICA_BATCH_S = 0.5
# Pause before a new listing after a watch that failed, or whose history the
# store has dropped. It bounds the reads of a store that keeps no history.
RELIST_PAUSE_S = 0.1


class Source(typing.NamedTuple):
    """A kind of object to follow, and the callbacks for its changes."""

    kind: str
    # Takes a whole listing, and what may be missing from it.
    replace: collections.abc.Callable[
        [list[stores.StoredObject], replicas.Listed], None
    ]
    change: collections.abc.Callable[[stores.StoredObject], None]
    # Pause after each read, so that one watch returns several changes.
    batch_s: float
    watch_timeout_s: float
    # Whether its changes stop new work to draining replicas, so that peers
    # must know how old they are.
    is_urgent: bool = False


class StoreHealth:
    """When the store last answered this VM and its peers."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._answered_at_s = clock()
        self._was_answered = False
        self._lost_at_s: float | None = None
        # When the store last answered a call for an urgent source, and
        # whether the latest such call failed.
        self._urgent_answer_at_s = self._answered_at_s
        self._urgent_failed = False
        # When it answered other VMs, as these reported.
        self._peer_answers_s: collections.deque[float] = collections.deque(
            maxlen=MAX_PEER_ANSWERS
        )

    def now_s(self) -> float:
        """Return the current time."""
        return self._clock()

    @property
    def age_s(self) -> float:
        """Return how long ago the store last answered.

        A process that starts counts as answered until a call fails.
        """
        if self._lost_at_s is not None and not self._was_answered:
            return NEVER_ANSWERED_AGE_S
        return self._clock() - self._answered_at_s

    @property
    def reported_age_s(self) -> float:
        """Return the age of this VM's data, as reported to peers.

        A store that refuses new calls may still answer a pending watch of
        another kind. That answer does not make the urgent data current.
        """
        if self._urgent_failed:
            return max(self.age_s, self._clock() - self._urgent_answer_at_s)
        return self.age_s

    def record_answer(self, is_urgent: bool) -> None:
        """Record an answer; log it if it ends an outage."""
        now_s = self._clock()
        if is_urgent:
            self._urgent_answer_at_s = now_s
            self._urgent_failed = False
        if self._lost_at_s is not None:
            loguru.logger.bind(
                event=events.STORE_BACK,
                away_s=round(now_s - self._lost_at_s, 2),
            ).info('the store answers again')
            self._lost_at_s = None
        self._answered_at_s = now_s
        self._was_answered = True

    def record_hub_answer(self, age_s: float) -> None:
        """Record that the store answered this VM's hub age_s ago."""
        self._answered_at_s = max(self._answered_at_s, self._clock() - age_s)
        self._was_answered = True
        self.record_peer_answer(age_s)

    def record_peer_answer(self, age_s: float) -> None:
        """Record that the store answered another VM age_s ago."""
        self._peer_answers_s.append(self._clock() - age_s)

    def may_have_been_down(self, since_s: float) -> bool:
        """Return whether the store itself may have been down since since_s.

        It was not if another VM got an answer after since_s and at least
        replicas.REREGISTER_S ago: then only this VM was cut off, and no entry
        of a live replica has lapsed.
        """
        from_s = since_s + PEER_ANSWER_MARGIN_S
        until_s = self._clock() - replicas.REREGISTER_S
        return not any(
            from_s <= at_s <= until_s for at_s in self._peer_answers_s
        )

    def record_failure(
        self, error: errors.StoreError, is_urgent: bool
    ) -> None:
        """Record a failed call; log the first of an outage."""
        self._urgent_failed |= is_urgent
        if self._lost_at_s is None:
            self._lost_at_s = self._answered_at_s
            loguru.logger.bind(
                event=events.STORE_LOST, why=str(error)[:200]
            ).info('the store does not answer')


class ReadPolicy(typing.NamedTuple):
    """Whether this process reads the store, and how often it retries."""

    # Whether this VM has a hub's current feed and need not read the store.
    has_hub_feed: collections.abc.Callable[[], bool]
    # How many VMs may retry at the same time: the hubs, or without a hub
    # all VMs.
    reader_count: collections.abc.Callable[[], int]

    def retry_pause_s(self) -> float:
        """Return the pause after a failed listing.

        It grows with the number of readers, as all may retry at once while
        the store is down and each call is charged.
        """
        return RETRY_PAUSE_S * max(
            1.0, self.reader_count() / FULL_RETRY_RATE_VMS
        )


ALWAYS_READ = ReadPolicy(lambda: False, lambda: 1)


def _listed(
    known_revision: int, revision: int, was_down: bool
) -> replicas.Listed:
    """Return what may be missing from a listing."""
    if known_revision and era.era_of(known_revision) < era.era_of(revision):
        return replicas.Listed.FROM_COPY
    return replicas.Listed.AFTER_OUTAGE if was_down else replicas.Listed.ALL


async def follow(
    store: stores.Store,
    source: Source,
    store_health: StoreHealth,
    policy: ReadPolicy = ALWAYS_READ,
) -> None:
    """List and watch the objects of source until cancelled.

    A process that has a hub's feed does not read the store.

    After a failed watch, or when the store has dropped the history asked
    for, the whole kind is listed again. Listings older than the newest
    revision seen are ignored.

    The store counts as having been down only if a listing failed and no
    peer was served meanwhile. A failed watch alone may be due to a broken
    connection: entries missing from the next listing were removed by a
    working store, and keeping them would send work to replicas that left.
    """
    revision: int | None = None
    newest_revision = 0
    # When the store last answered before a listing failed.
    down_since_s: float | None = None
    while True:
        if policy.has_hub_feed():
            revision, down_since_s = None, None
            await trio.sleep(FEED_CHECK_S)
            continue
        was_listing = revision is None
        try:
            if revision is None:
                listing = await store.list(source.kind, purpose='follow')
                if listing.revision < newest_revision:
                    # A stale listing would undo newer changes. One of a
                    # later era is never below.
                    await trio.sleep(RETRY_PAUSE_S)
                    continue
                was_down = (
                    down_since_s is not None
                    and store_health.may_have_been_down(down_since_s)
                )
                source.replace(
                    listing.objects,
                    _listed(newest_revision, listing.revision, was_down),
                )
                down_since_s = None
            else:
                listing = await store.watch(
                    [source.kind],
                    revision,
                    source.watch_timeout_s,
                    purpose='follow',
                )
                for item in listing.objects:
                    source.change(item)
            store_health.record_answer(source.is_urgent)
            revision = max(newest_revision, listing.revision)
            newest_revision = revision
            await trio.sleep(source.batch_s)
        except errors.WatchTooOldError:
            revision = None
            await trio.sleep(RELIST_PAUSE_S)
        except errors.StoreError as error:
            store_health.record_failure(error, source.is_urgent)
            # Only a new listing shows which entries went missing during
            # the outage; a watch reports each of them as removed.
            revision = None
            if not was_listing:
                await trio.sleep(RELIST_PAUSE_S)
                continue
            if down_since_s is None:
                down_since_s = store_health.now_s() - store_health.age_s
            await trio.sleep(policy.retry_pause_s())


def config_watch_timeout_s(apply_limit_s: float) -> float:
    """Return the timeout of a watch of the configuration.

    >>> config_watch_timeout_s(2.0), config_watch_timeout_s(60.0)
    (0.8, 1.6)
    """
    return CONFIG_WATCH_SHARE * min(apply_limit_s, MAX_USED_BOUND_S)


def replica_watch_timeout_s(drain_s: float) -> float:
    """Return the timeout of a watch of the replicas.

    >>> replica_watch_timeout_s(2.0), replica_watch_timeout_s(4.0)
    (0.3, 0.6)
    """
    return REPLICA_WATCH_SHARE * min(drain_s, MAX_USED_BOUND_S)


def config_source(
    decode: collections.abc.Callable[[typing.Any], catalog.Catalog],
    name: str,
    kind: str,
    apply: collections.abc.Callable[[catalog.Catalog], None],
    apply_limit_s: float,
) -> Source:
    """Return a source that applies the configuration object name.

    A version has to be in force within apply_limit_s.
    """

    def change(item: stores.StoredObject) -> None:
        if item.name != name or item.value is None:
            return
        try:
            apply(decode(item.value))
        except errors.DecodeError as error:
            # The previous version stays in force.
            loguru.logger.bind(event=events.CONFIG_UNREADABLE).error(
                '{}', error
            )

    def replace(items: list[stores.StoredObject], _: replicas.Listed) -> None:
        for item in items:
            change(item)

    timeout_s = config_watch_timeout_s(apply_limit_s)
    return Source(kind, replace, change, 0.0, timeout_s)


def replica_source(
    decode: collections.abc.Callable[
        [stores.StoredObject], replicas.Replica | None
    ],
    kind: str,
    registry: replicas.Registry,
    drain_s: float,
) -> Source:
    """Return a source that updates the registry.

    A draining replica may get new work for drain_s.
    """

    def change(item: stores.StoredObject) -> None:
        if item.value is None:
            registry.remove(item.name)
            return
        replica = decode(item)
        if replica is None:
            registry.remove(item.name)
        else:
            registry.put(replica)

    def replace(
        items: list[stores.StoredObject], listed: replicas.Listed
    ) -> None:
        found = [decode(item) for item in items if item.value is not None]
        registry.replace([r for r in found if r is not None], listed)

    timeout_s = replica_watch_timeout_s(drain_s)
    return Source(kind, replace, change, REPLICA_BATCH_S, timeout_s, True)
