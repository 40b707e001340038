"""Hold authority over scopes by leases in the platform's store."""

import collections.abc
import typing

import loguru
import msgspec
import prometheus_client
import trio

from gentianstair import errors
from gentianstair.control import rendezvous
from gentianstair.generated import events
from gentianstair.generated import messages
from gentianstair.store import confirmed_write
from gentianstair.store import era as eras
from gentianstair.store import store as stores
from gentianstair.util import clock as clocks
from gentianstair.util import tasks

KIND = 'lease'
PURPOSE = 'lease'
# A holder renews, and a candidate lists the leases, this often in a duration.
RENEWALS_PER_DURATION = 3
# Age reported for a listing before the first one.
NEVER_LISTED_AGE_S = 1e6
# A candidate that is not the preferred holder waits this share of a duration
# longer, and once more for each candidate with a higher score.
DELAY_SHARE_PER_RANK = 0.5

LEASES_HELD = prometheus_client.Gauge(
    'gentianstair_leases_held', 'Scopes this process has authority over'
)
LEASES_ACQUIRED = prometheus_client.Counter(
    'gentianstair_leases_taken', 'Scopes this process took authority over'
)
LEASES_LOST = prometheus_client.Counter(
    'gentianstair_leases_lost', 'Leases that lapsed or were taken over'
)

HolderTask = collections.abc.Callable[
    ['Authority'], collections.abc.Awaitable[None]
]


class LeaseTiming(typing.NamedTuple):
    """Duration of a lease, allowance for clock drift, and cooldown."""

    duration_s: float
    margin_s: float
    # A process does not acquire a lease again for this long after it held it.
    # An upstream that ignores epochs can't tell two holders that alternate
    # quickly from two that act at once.
    cooldown_s: float = 0.0


class Authority:
    """One holder's right to act for a scope, in one epoch."""

    def __init__(
        self,
        scope: str,
        holder: str,
        epoch: int,
        clock: clocks.Clock,
        follows_past_era: bool = False,
    ) -> None:
        # Whether nobody held it since the store came back from a copy.
        self.follows_past_era = follows_past_era
        self.scope = scope
        self.holder = holder
        self.epoch = epoch
        self.valid_until_s = float('-inf')
        # Version of the lease object that this authority wrote last; the
        # only version that it may overwrite.
        self.version = 0
        self._clock = clock

    def remaining_s(self) -> float:
        """Return how long the authority is valid; negative once lapsed."""
        return self.valid_until_s - self._clock()

    def check(self, required_s: float = 0.0) -> float:
        """Return how long an operation that takes required_s may still begin.

        Raise LeaseLostError if it no longer may. Call this right before the
        operation: the process may have been paused since the renewal.
        """
        remaining_s = self.remaining_s() - required_s
        if remaining_s <= 0:
            raise errors.LeaseLostError(
                f'{self.scope}: the lease of epoch {self.epoch} has lapsed'
                ' or ends too soon'
            )
        return remaining_s

    def revoke(self) -> None:
        """End the authority now."""
        self.valid_until_s = float('-inf')


class _ObservedLease(typing.NamedTuple):
    """A lease's latest version and when this process first saw it."""

    item: stores.StoredObject
    value: messages.LeaseValue | None
    first_seen_s: float
    # Of the listing that showed it.
    revision: int
    # Whether an earlier era had it. Its holder there may act for a while,
    # whoever the copy says holds it.
    was_in_past_era: bool = False


class LeaseManager:
    """Acquires, renews and releases the leases of one process."""

    def __init__(
        self,
        store: stores.Store,
        holder: str,
        clock: clocks.Clock,
        timing: LeaseTiming,
    ) -> None:
        self._store = store
        self._holder = holder
        self._clock = clock
        self._timing = timing
        self._observed: dict[str, _ObservedLease] = {}
        self._tasks: dict[str, HolderTask] = {}
        self._highest_epoch = 0
        self._listed_at_s = clock() - NEVER_LISTED_AGE_S
        self._cancel_scopes: dict[str, trio.CancelScope] = {}
        self._cooldown_until_s: dict[str, float] = {}
        self.candidates: tuple[str, ...] = (holder,)
        self.held: dict[str, Authority] = {}

    def listing_age_s(self) -> float:
        """Return how long ago the leases were last listed from the store."""
        return self._clock() - self._listed_at_s

    async def run(
        self, get_tasks: collections.abc.Callable[[], dict[str, HolderTask]]
    ) -> None:
        """Acquire and hold leases until cancelled, then release them.

        get_tasks returns the current scopes with the task of each one's
        holder; it is called before each listing. The release at the end lets
        another process take over at once instead of after the lease lapses.
        """
        async with trio.open_nursery() as nursery:
            while True:
                self._tasks = get_tasks()
                if self._tasks or self._cancel_scopes:
                    await self._poll_leases(tasks.Tasks(nursery))
                await trio.sleep(
                    self._timing.duration_s / RENEWALS_PER_DURATION
                )

    async def _poll_leases(self, running: tasks.Tasks) -> None:
        """List the leases, acquire vacant ones and release excess ones."""
        try:
            listing = await self._store.list(KIND, purpose=PURPOSE)
        except errors.StoreError:
            return
        self._listed_at_s = self._clock()
        found = {item.name: item for item in listing.objects}
        preferred = rendezvous.assign(self._tasks, self.candidates)
        for scope in self._tasks:
            absent = stores.StoredObject(KIND, scope, 0, None)
            observed = self._observe(
                found.get(scope, absent), listing.revision
            )
            if scope in self._cancel_scopes or not self._is_available(
                observed
            ):
                continue
            if self._may_acquire(observed, preferred):
                running.start_soon(
                    'hold-lease',
                    self._acquire_and_hold,
                    observed,
                    listing.revision,
                    scope=scope,
                )
        self._release_excess(preferred)

    def _observe(
        self, item: stores.StoredObject, revision: int
    ) -> _ObservedLease:
        """Return what is known of a lease after a listing at a revision."""
        known = self._observed.get(item.name)
        is_new_era = known is not None and (
            eras.era_of(known.revision) < eras.era_of(revision)
        )
        # A response with a lower version is stale.
        if (
            known is not None
            and not is_new_era
            and known.item.version >= item.version
        ):
            return known
        value = _decode(item)
        # Read after the response, so it is never earlier than the holder's
        # renewal of this version.
        observed = _ObservedLease(
            item, value, self._clock(), revision, is_new_era
        )
        self._observed[item.name] = observed
        return observed

    def _vacant_from_s(self, observed: _ObservedLease) -> float:
        """Return when the lease has certainly lapsed for its holder."""
        is_free = observed.item.value is None or (
            observed.value is not None and not observed.value['holder']
        )
        if is_free and not observed.was_in_past_era:
            return observed.first_seen_s
        duration_s = self._timing.duration_s
        if observed.value is not None:
            duration_s = max(observed.value['duration_s'], duration_s)
        return observed.first_seen_s + duration_s + self._timing.margin_s

    def _is_available(self, observed: _ObservedLease) -> bool:
        if self._clock() < self._cooldown_until_s.get(observed.item.name, 0.0):
            return False
        return self._clock() >= self._vacant_from_s(observed)

    def _may_acquire(
        self, observed: _ObservedLease, preferred: dict[str, str]
    ) -> bool:
        """Return whether this process may acquire a vacant scope now.

        Candidates with a higher score get some time to acquire it first.
        """
        scope = observed.item.name
        limit = rendezvous.max_scopes(len(self._tasks), len(self.candidates))
        if len(self._cancel_scopes) >= limit:
            return False
        if preferred.get(scope) == self._holder:
            return True
        own_score = rendezvous.score(scope, self._holder)
        higher_scored = sum(
            rendezvous.score(scope, other) > own_score
            for other in self.candidates
        )
        wait_s = (
            (1 + higher_scored)
            * DELAY_SHARE_PER_RANK
            * self._timing.duration_s
        )
        return self._clock() >= self._vacant_from_s(observed) + wait_s

    def _release_excess(self, preferred: dict[str, str]) -> None:
        """Release scopes that no longer exist or exceed the limit."""
        limit = rendezvous.max_scopes(len(self._tasks), len(self.candidates))
        excess = len(self._cancel_scopes) - limit
        for scope, cancel_scope in list(self._cancel_scopes.items()):
            removed = scope not in self._tasks
            if removed or (
                excess > 0 and preferred.get(scope) != self._holder
            ):
                cancel_scope.cancel()
                excess -= 1

    async def _acquire_and_hold(
        self, observed: _ObservedLease, revision: int
    ) -> None:
        """Acquire one lease and run its task until it is lost or released."""
        scope = observed.item.name
        task = self._tasks[scope]
        # The epoch rises even if this process was the last holder, so that
        # its orders from before the lapse count as stale. It is above the
        # store's revision, so that epochs of different scopes compare when
        # an engine moves between scopes.
        last_epoch = 0 if observed.value is None else observed.value['epoch']
        epoch = max(revision, last_epoch, self._highest_epoch) + 1
        self._highest_epoch = epoch
        follows_past_era = bool(last_epoch) and (
            eras.era_of(last_epoch) < eras.era_of(revision)
        )
        authority = Authority(
            scope, self._holder, epoch, self._clock, follows_past_era
        )
        authority.version = observed.item.version
        with trio.CancelScope() as cancel_scope:
            self._cancel_scopes[scope] = cancel_scope
            try:
                if await self._write(authority, self._holder):
                    LEASES_ACQUIRED.inc()
                    await self._run_while_held(authority, task)
            finally:
                self._stop_holding(authority)
                with trio.CancelScope(shield=True):
                    with trio.move_on_after(self._timing.duration_s):
                        await self._release(authority)
                del self._cancel_scopes[scope]
                cooldown_s = self._timing.cooldown_s
                self._cooldown_until_s[scope] = self._clock() + cooldown_s

    def _stop_holding(self, authority: Authority) -> None:
        self.held.pop(authority.scope, None)
        authority.revoke()
        LEASES_HELD.set(len(self.held))

    async def _write(self, authority: Authority, holder: str) -> bool:
        """Write the lease; return whether the authority was renewed."""
        value: messages.LeaseValue = {
            'holder': holder,
            'epoch': authority.epoch,
            'duration_s': self._timing.duration_s,
            'nonce': confirmed_write.new_nonce(),
        }
        # Validity counts from before the write is sent: a candidate counts
        # from when it saw the result, which is later.
        sent_at_s = self._clock()
        try:
            authority.version = await confirmed_write.put(
                self._store,
                KIND,
                authority.scope,
                typing.cast(stores.Value, value),
                authority.version,
                purpose=PURPOSE,
            )
        except errors.StoreError:
            return False
        if holder:
            valid_s = self._timing.duration_s - self._timing.margin_s
            authority.valid_until_s = sent_at_s + valid_s
        return bool(holder)

    async def _run_while_held(
        self, authority: Authority, task: HolderTask
    ) -> None:
        """Run a task while renewing; stop it when the authority lapses."""
        self.held[authority.scope] = authority
        LEASES_HELD.set(len(self.held))
        self._log(events.DUTY_WON, authority, 'the lease was taken')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_task, authority, task)
            await self._renew(authority)
            LEASES_LOST.inc()
            self._log(events.DUTY_LOST, authority, 'the lease lapsed')
            nursery.cancel_scope.cancel()

    def _log(self, event: str, authority: Authority, message: str) -> None:
        loguru.logger.bind(
            event=event, scope=authority.scope, epoch=authority.epoch
        ).info(message)

    async def _run_task(self, authority: Authority, task: HolderTask) -> None:
        try:
            await task(authority)
        except* errors.LeaseLostError as group:
            self._log(events.DUTY_LOST, authority, str(group.exceptions[0]))
        authority.revoke()

    async def _renew(self, authority: Authority) -> None:
        """Renew until the authority lapses or another holder takes over."""
        interval_s = self._timing.duration_s / RENEWALS_PER_DURATION
        while authority.remaining_s() > 0:
            await trio.sleep(min(interval_s, authority.remaining_s()))
            # A hanging store must not keep the task running after the lease
            # lapsed. A write that takes effect later only delays others.
            with trio.move_on_after(max(0.0, authority.remaining_s())):
                renewed = await self._write(authority, self._holder)
                if not renewed and await self._is_held_by_another(authority):
                    authority.revoke()

    async def _is_held_by_another(self, authority: Authority) -> bool:
        """Return whether another holder has acquired the scope.

        If not, adopt the stored version: it may be from a renewal of this
        authority whose response was lost.
        """
        scope = authority.scope
        try:
            item = await self._store.get(KIND, scope, purpose=PURPOSE)
        except errors.StoreError:
            return False
        if item.value is None and self._is_past(authority.version):
            # The copy is from before there was a lease.
            authority.version = 0
            return False
        if item.version <= authority.version or item.value is None:
            return False
        value = _decode(item)
        own = (authority.holder, authority.epoch)
        if value is None or (value['holder'], value['epoch']) != own:
            return True
        authority.version = item.version
        return False

    def _is_past(self, version: int) -> bool:
        return eras.era_of(version) < self._store.era

    async def _release(self, authority: Authority) -> None:
        """Mark the lease vacant if this authority still holds it."""
        if not await self._is_held_by_another(authority):
            await self._write(authority, '')


def _decode(item: stores.StoredObject) -> messages.LeaseValue | None:
    """Return the lease in an object, None if it holds none that is valid."""
    if item.value is None:
        return None
    try:
        return msgspec.convert(item.value, messages.LeaseValue)
    except (msgspec.ValidationError, TypeError) as error:
        loguru.logger.bind(
            event=events.OBJECT_UNREADABLE, kind=item.kind
        ).warning('skipped the invalid lease {}: {}', item.name, error)
        return None


def make_lease_manager(
    store: stores.Store,
    holder: str,
    clock: clocks.Clock,
    timing: LeaseTiming,
) -> LeaseManager:
    """Return a lease manager; holder must be a new name at each start.

    Otherwise a restarted process would mistake its predecessor's lease for
    its own.
    """
    if timing.margin_s >= timing.duration_s:
        raise errors.SettingsError(
            '--lease-margin-s: must be below --lease-duration-s'
        )
    return LeaseManager(store, holder, clock, timing)
