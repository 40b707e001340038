"""Hold authority over scopes by leases kept in the platform's store."""

import collections.abc
import typing

import loguru
import msgspec
import prometheus_client
import trio

from gentianstair import errors
from gentianstair.control import preference
from gentianstair.generated import events
from gentianstair.generated import messages
from gentianstair.store import settled
from gentianstair.store import store as stores
from gentianstair.util import clock as clocks

KIND = 'lease'
PURPOSE = 'lease'
# A holder renews, and a candidate looks, this often in a duration.
RENEWALS = 3
NEVER_S = 1e6
# Candidates that a scope does not prefer wait this share of a duration
# longer for each that it prefers to them.
RANK_WAIT = 0.5

HELD = prometheus_client.Gauge(
    'gentianstair_leases_held', 'Scopes this process has authority over'
)
TAKEN = prometheus_client.Counter(
    'gentianstair_leases_taken', 'Scopes this process took authority over'
)
LOST = prometheus_client.Counter(
    'gentianstair_leases_lost', 'Leases that lapsed or were taken over'
)

Role = collections.abc.Callable[['Authority'], collections.abc.Awaitable[None]]


class Terms(typing.NamedTuple):
    """How long leases stand, and the allowance for drift of clocks."""

    duration_s: float
    margin_s: float
    # A process that held a lease does not take it again for so long. Where
    # upstreams ignore epochs, two holders that take turns quickly look to
    # them like two that act at once.
    rest_s: float = 0.0


class Authority:
    """One holder's right to act for a scope, in one epoch."""

    def __init__(
        self, scope: str, holder: str, epoch: int, clock: clocks.Clock
    ) -> None:
        self.scope = scope
        self.holder = holder
        self.epoch = epoch
        self.valid_until_s = float('-inf')
        # The lease object's version that this authority wrote last. Only
        # this one may be overwritten by it, never one seen elsewhere.
        self.version = 0
        self._clock = clock

    def remaining_s(self) -> float:
        """Return how long the authority stands; negative when it lapsed."""
        return self.valid_until_s - self._clock()

    def check(self, outlive_s: float = 0.0) -> float:
        """Return for how long an effect may begin that takes outlive_s.

        Raise LeaseLostError when it may not. The clock is read here, at
        the moment of the effect, for a process that was paused since its
        renewal does not know it otherwise.
        """
        left_s = self.remaining_s() - outlive_s
        if left_s <= 0:
            raise errors.LeaseLostError(
                f'{self.scope}: epoch {self.epoch} does not stand long enough'
            )
        return left_s

    def end(self) -> None:
        """Give up all authority now."""
        self.valid_until_s = float('-inf')


class _Sight(typing.NamedTuple):
    """A lease as this process first saw its present version."""

    item: stores.StoredObject
    value: messages.LeaseValue | None
    since_s: float


class Leases:
    """The leases one process holds and those it watches to take."""

    def __init__(
        self,
        store: stores.Store,
        holder: str,
        clock: clocks.Clock,
        terms: Terms,
    ) -> None:
        self._store = store
        self._holder = holder
        self._clock = clock
        self._terms = terms
        self._sights: dict[str, _Sight] = {}
        self._scopes: dict[str, Role] = {}
        self._highest_epoch = 0
        self._looked_at_s = clock() - NEVER_S
        self._running: dict[str, trio.CancelScope] = {}
        self._rests_until_s: dict[str, float] = {}
        self.candidates: tuple[str, ...] = (holder,)
        self.held: dict[str, Authority] = {}

    def look_age_s(self) -> float:
        """Return how long ago the leases were last seen in the store."""
        return self._clock() - self._looked_at_s

    async def run(
        self, scopes: collections.abc.Callable[[], dict[str, Role]]
    ) -> None:
        """Take and hold leases until cancelled, then release them.

        scopes returns the scopes that exist now and what their holder
        does; it is asked at each look. Releasing at the end lets another
        process take over at once instead of after a lapse.
        """
        async with trio.open_nursery() as nursery:
            while True:
                self._scopes = scopes()
                if self._scopes or self._running:
                    await self._look(nursery)
                await trio.sleep(self._terms.duration_s / RENEWALS)

    async def _look(self, nursery: trio.Nursery) -> None:
        """See what leases there are and start on those worth taking."""
        try:
            listing = await self._store.list(KIND, purpose=PURPOSE)
        except errors.StoreError:
            return
        self._looked_at_s = self._clock()
        found = {item.name: item for item in listing.objects}
        preferred = preference.assign(self._scopes, self.candidates)
        for scope in self._scopes:
            absent = stores.StoredObject(KIND, scope, 0, None)
            sight = self._see(found.get(scope, absent))
            if scope in self._running or not self._may_take(sight):
                continue
            if self._is_my_turn(sight, preferred):
                nursery.start_soon(self._hold, sight, listing.revision)
        self._give_back_excess(preferred)

    def _see(self, item: stores.StoredObject) -> _Sight:
        known = self._sights.get(item.name)
        # A lower version is an answer from the past.
        if known is not None and known.item.version >= item.version:
            return known
        value = None
        if item.value is not None:
            value = msgspec.convert(item.value, messages.LeaseValue)
        # The time is from after the answer, so it is never before the
        # holder sent the renewal that this version is.
        sight = _Sight(item, value, self._clock())
        self._sights[item.name] = sight
        return sight

    def _vacant_since_s(self, sight: _Sight) -> float:
        """Return when the lease is sure to have lapsed for its holder."""
        if sight.value is None or not sight.value['holder']:
            return sight.since_s
        duration_s = max(sight.value['duration_s'], self._terms.duration_s)
        return sight.since_s + duration_s + self._terms.margin_s

    def _may_take(self, sight: _Sight) -> bool:
        if self._clock() < self._rests_until_s.get(sight.item.name, 0.0):
            return False
        return self._clock() >= self._vacant_since_s(sight)

    def _is_my_turn(self, sight: _Sight, preferred: dict[str, str]) -> bool:
        """Leave each scope to those it prefers for some time."""
        scope = sight.item.name
        limit = preference.share(len(self._scopes), len(self.candidates))
        if len(self._running) >= limit:
            return False
        if preferred.get(scope) == self._holder:
            return True
        mine = preference.rank(scope, self._holder)
        ahead = sum(
            preference.rank(scope, other) > mine for other in self.candidates
        )
        wait_s = (1 + ahead) * RANK_WAIT * self._terms.duration_s
        return self._clock() >= self._vacant_since_s(sight) + wait_s

    def _give_back_excess(self, preferred: dict[str, str]) -> None:
        """Stop holding what is above this process's share."""
        limit = preference.share(len(self._scopes), len(self.candidates))
        excess = len(self._running) - limit
        for scope, cancel_scope in list(self._running.items()):
            gone = scope not in self._scopes
            if gone or (excess > 0 and preferred.get(scope) != self._holder):
                cancel_scope.cancel()
                excess -= 1

    async def _hold(self, sight: _Sight, revision: int) -> None:
        """Take one lease and run its role until it is lost or given back."""
        scope = sight.item.name
        role = self._scopes[scope]
        # The epoch is higher also when the last holder was this process:
        # what it ordered before its lapse must not pass for current. It
        # follows the store's revision, so that the epochs of different
        # scopes compare when an engine moves from one to another, and no
        # two epochs of a process are the same.
        last_epoch = 0 if sight.value is None else sight.value['epoch']
        epoch = max(revision, last_epoch, self._highest_epoch) + 1
        self._highest_epoch = epoch
        authority = Authority(scope, self._holder, epoch, self._clock)
        authority.version = sight.item.version
        with trio.CancelScope() as cancel_scope:
            self._running[scope] = cancel_scope
            try:
                if await self._write(authority, self._holder):
                    TAKEN.inc()
                    await self._serve(authority, role)
            finally:
                self._end(authority)
                with trio.CancelScope(shield=True):
                    with trio.move_on_after(self._terms.duration_s):
                        await self._release(authority)
                del self._running[scope]
                rest_s = self._terms.rest_s
                self._rests_until_s[scope] = self._clock() + rest_s

    def _end(self, authority: Authority) -> None:
        self.held.pop(authority.scope, None)
        authority.end()
        HELD.set(len(self.held))

    async def _write(self, authority: Authority, holder: str) -> bool:
        """Write the lease; say whether authority now stands renewed."""
        value: messages.LeaseValue = {
            'holder': holder,
            'epoch': authority.epoch,
            'duration_s': self._terms.duration_s,
            'nonce': settled.new_nonce(),
        }
        # Counted from before the write is sent: a candidate counts from
        # when it saw the result, which is later however slow the answer.
        sent_at_s = self._clock()
        try:
            authority.version = await settled.put(
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
            stands_s = self._terms.duration_s - self._terms.margin_s
            authority.valid_until_s = sent_at_s + stands_s
        return bool(holder)

    async def _serve(self, authority: Authority, role: Role) -> None:
        """Run a role under renewals; stop it when authority lapses."""
        self.held[authority.scope] = authority
        HELD.set(len(self.held))
        self._log(events.DUTY_WON, authority, 'the lease was taken')
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_role, authority, role)
            await self._renew(authority)
            LOST.inc()
            self._log(events.DUTY_LOST, authority, 'the lease lapsed')
            nursery.cancel_scope.cancel()

    def _log(self, event: str, authority: Authority, message: str) -> None:
        loguru.logger.bind(
            event=event, scope=authority.scope, epoch=authority.epoch
        ).info(message)

    async def _run_role(self, authority: Authority, role: Role) -> None:
        try:
            await role(authority)
        except* errors.LeaseLostError as group:
            self._log(events.DUTY_LOST, authority, str(group.exceptions[0]))
        authority.end()

    async def _renew(self, authority: Authority) -> None:
        """Renew until authority has lapsed or another has taken over."""
        every_s = self._terms.duration_s / RENEWALS
        while authority.remaining_s() > 0:
            await trio.sleep(min(every_s, authority.remaining_s()))
            # A store that hangs must not keep the role running past the
            # end; if this write takes effect later, it delays others only.
            with trio.move_on_after(max(0.0, authority.remaining_s())):
                renewed = await self._write(authority, self._holder)
                if not renewed and await self._is_taken(authority):
                    authority.end()

    async def _is_taken(self, authority: Authority) -> bool:
        """After a failed renewal, say whether another holds the scope.

        If it is still ours the version is taken over, as it may be from a
        renewal whose answer came too late to be settled.
        """
        scope = authority.scope
        try:
            item = await self._store.get(KIND, scope, purpose=PURPOSE)
        except errors.StoreError:
            return False
        if item.version <= authority.version or item.value is None:
            return False
        value = msgspec.convert(item.value, messages.LeaseValue)
        mine = (authority.holder, authority.epoch)
        if (value['holder'], value['epoch']) != mine:
            return True
        authority.version = item.version
        return False

    async def _release(self, authority: Authority) -> None:
        """Mark the lease vacant if it is still this authority's."""
        if not await self._is_taken(authority):
            await self._write(authority, '')


def make_leases(
    store: stores.Store,
    holder: str,
    clock: clocks.Clock,
    terms: Terms,
) -> Leases:
    """Return the leases of a process; holder must be new at each start.

    A restarted process must not take its predecessor's lease for its own.
    """
    if terms.margin_s >= terms.duration_s:
        raise errors.SettingsError('--lease-margin-s: below the duration')
    return Leases(store, holder, clock, terms)
