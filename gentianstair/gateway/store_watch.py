"""Follow the store: the configuration and the replicas' entries."""

import collections
import collections.abc
import typing

import loguru
import trio

from gentianstair import errors
from gentianstair.gateway import catalog
from gentianstair.gateway import replicas
from gentianstair.generated import events
from gentianstair.store import store as stores
from gentianstair.util import clock as clocks

# A watch waits at the store for this long when nothing changes. Its
# connection may go silent for good: then the change that it should have told
# is seen after this, the call's grace and a new listing. Together they must
# stay below the two seconds in which a leaving replica may get new work.
WATCH_TIMEOUT_S = 0.8
# A watch of the replicas, which beat all the time, hardly ever waits longer;
# what a hub learns on the way to its leaves adds to its time.
REPLICA_WATCH_TIMEOUT_S = 0.5
# Pause after a failed call. The store may be down for seconds, and all VMs
# come back at once.
RETRY_PAUSE_S = 0.25
# Answers to other VMs that are remembered: peers tell one or two a second.
MAX_PEER_ANSWERS = 64
# What another VM says of the store counts if it was answered so much after
# this one lost it: the last answers before an outage may come as late.
PEER_ANSWER_MARGIN_S = 0.5
# With more VMs than this each of them pauses longer.
FULL_RETRY_RATE_VMS = 15
# How soon a process notices that it is no longer told of changes.
FEED_CHECK_S = 0.2
# Replicas beat every second or so and each beat is an event; the changes of
# this long are fetched with one call. It is far below the time within which
# a leaving replica must get no more work.
REPLICA_BATCH_S = 0.5
# Pause after a watch that came too late for the history kept. A store that
# keeps none answers each watch so at once; listing and watching without a
# pause would spend what the whole fleet may read. Changes still show well
# within the time in which a leaving replica may get new work.
RELIST_PAUSE_S = 0.1


class Source(typing.NamedTuple):
    """One kind of object to follow, and what to do with it."""

    kind: str
    # Takes all objects; the flag says that the store was away before.
    replace: collections.abc.Callable[[list[stores.StoredObject], bool], None]
    change: collections.abc.Callable[[stores.StoredObject], None]
    batch_s: float
    # How long a watch waits when nothing changes.
    watch_timeout_s: float = WATCH_TIMEOUT_S
    # Whether other VMs, told of its changes, must see them within the time
    # in which a leaving replica may get new work.
    is_urgent: bool = False


class StoreHealth:
    """When the store last answered; dependents look at its age."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._answered_s = clock()
        self._lost_s: float | None = None
        # When the store last told what is urgent, and whether its last call
        # for it failed.
        self._urgent_answer_s = self._answered_s
        self._urgent_failed = False
        # When it answered other VMs, as these told lately.
        self._peer_answers_s: collections.deque[float] = collections.deque(
            maxlen=MAX_PEER_ANSWERS
        )

    def now_s(self) -> float:
        """Return the time by the same clock."""
        return self._clock()

    @property
    def age_s(self) -> float:
        """Return how long ago the store last answered."""
        return self._clock() - self._answered_s

    @property
    def reported_age_s(self) -> float:
        """Return the age of what this VM can tell others.

        A store that turns this VM away still answers the watch of another
        kind that it held before; that says nothing of what is urgent.
        """
        if self._urgent_failed:
            return max(self.age_s, self._clock() - self._urgent_answer_s)
        return self.age_s

    def record_answer(self, is_urgent: bool) -> None:
        """Note an answer; tell if the store is back."""
        now_s = self._clock()
        if is_urgent:
            self._urgent_answer_s = now_s
            self._urgent_failed = False
        if self._lost_s is not None:
            loguru.logger.bind(
                event=events.STORE_BACK, away_s=round(now_s - self._lost_s, 2)
            ).info('the store answers again')
            self._lost_s = None
        self._answered_s = now_s

    def record_hub_answer(self, age_s: float) -> None:
        """Take from the hub of this VM that the store answered it."""
        self._answered_s = max(self._answered_s, self._clock() - age_s)
        self.record_peer_answer(age_s)

    def record_peer_answer(self, age_s: float) -> None:
        """Note that the store answered another VM age_s ago."""
        self._peer_answers_s.append(self._clock() - age_s)

    def was_down(self, since_s: float) -> bool:
        """Return whether the store itself may have been away since then.

        One that has served other VMs for as long as entries take to come
        back has let none of the living lapse; only this VM was cut off.
        """
        from_s = since_s + PEER_ANSWER_MARGIN_S
        until_s = self._clock() - replicas.RETURN_S
        return not any(
            from_s <= at_s <= until_s for at_s in self._peer_answers_s
        )

    def record_failure(
        self, error: errors.StoreError, is_urgent: bool
    ) -> None:
        """Note a failed call; tell if it is the first."""
        self._urgent_failed |= is_urgent
        if self._lost_s is None:
            self._lost_s = self._answered_s
            loguru.logger.bind(
                event=events.STORE_LOST, why=str(error)[:200]
            ).info('the store does not answer')


class ReadPolicy(typing.NamedTuple):
    """Whether this process has to read the store, and how soon again."""

    # Whether another VM keeps this one up to date.
    has_hub_feed: collections.abc.Callable[[], bool]
    # How many VMs may come back to the store at once.
    vm_count: collections.abc.Callable[[], int]

    def retry_pause_s(self) -> float:
        """Return the pause after a failed call.

        The whole fleet may ask at once while the store is away, and each
        call is priced.
        """
        return RETRY_PAUSE_S * max(1.0, self.vm_count() / FULL_RETRY_RATE_VMS)


ALWAYS_READ = ReadPolicy(lambda: False, lambda: 1)


async def follow(
    store: stores.Store,
    source: Source,
    store_health: StoreHealth,
    policy: ReadPolicy = ALWAYS_READ,
) -> None:
    """Keep what source describes up to date, until cancelled.

    A process that is told of changes by another does not read the store.

    Changes are taken by watches. When the store has dropped the history
    asked for, or a watch failed, a whole listing is read again, and no
    answer older than the newest seen is taken.

    The store counts as having been away only if a listing failed. A watch
    that fails may have been on a connection that a cut left silent: what
    the listing after it lacks was removed by a store that was well, and
    taking it for lapsed would send work to replicas that have left. The same
    holds where the store served other VMs all the while.
    """
    revision: int | None = None
    highest = 0
    # When the store was last well before a listing failed.
    away_s: float | None = None
    while True:
        if policy.has_hub_feed():
            revision, away_s = None, None
            await trio.sleep(FEED_CHECK_S)
            continue
        listed = revision is None
        try:
            if revision is None:
                listing = await store.list(source.kind, purpose='follow')
                if listing.revision < highest:
                    # A read from the past would undo what is known.
                    await trio.sleep(RETRY_PAUSE_S)
                    continue
                away = away_s is not None and store_health.was_down(away_s)
                source.replace(listing.objects, away)
                away_s = None
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
            revision = max(highest, listing.revision)
            highest = revision
            await trio.sleep(source.batch_s)
        except errors.WatchTooOldError:
            revision = None
            await trio.sleep(RELIST_PAUSE_S)
        except errors.StoreError as error:
            store_health.record_failure(error, source.is_urgent)
            # What lapsed meanwhile is told by events, but whether an entry
            # lapsed because of the outage only a listing shows.
            revision = None
            if away_s is None and listed:
                away_s = store_health.now_s() - store_health.age_s
            await trio.sleep(policy.retry_pause_s())


def config_source(
    decode: collections.abc.Callable[[typing.Any], catalog.Catalog],
    name: str,
    kind: str,
    take: collections.abc.Callable[[catalog.Catalog], None],
) -> Source:
    """Return the source of the configuration object called name."""

    def change(item: stores.StoredObject) -> None:
        if item.name != name or item.value is None:
            return
        try:
            take(decode(item.value))
        except errors.DecodeError as error:
            # The version before stays in force.
            loguru.logger.bind(event=events.CONFIG_UNREADABLE).error(
                '{}', error
            )

    def replace(items: list[stores.StoredObject], _: bool) -> None:
        for item in items:
            change(item)

    return Source(kind, replace, change, 0.0)


def replica_source(
    decode: collections.abc.Callable[
        [stores.StoredObject], replicas.Replica | None
    ],
    kind: str,
    registry: replicas.Registry,
) -> Source:
    """Return the source of the replicas' entries."""

    def change(item: stores.StoredObject) -> None:
        if item.value is None:
            registry.remove(item.name)
            return
        replica = decode(item)
        if replica is None:
            registry.remove(item.name)
        else:
            registry.put(replica)

    def replace(items: list[stores.StoredObject], away: bool) -> None:
        found = [decode(item) for item in items if item.value is not None]
        registry.replace([r for r in found if r is not None], away)

    return Source(
        kind, replace, change, REPLICA_BATCH_S, REPLICA_WATCH_TIMEOUT_S, True
    )
