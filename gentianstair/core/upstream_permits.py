"""Acquire permits for requests at upstreams that name a limit."""

import random
import typing

import loguru
import prometheus_client
import trio

from gentianstair import errors
from gentianstair.core import permit_keeper
from gentianstair.core import upstream_limits
from gentianstair.generated import events
from gentianstair.peers import permit_questions
from gentianstair.util import clock as clocks

# VMs that were denied together ask again at different times.
RETRY_SPREAD = 0.3
# A permit is held for half a second at most, and connecting takes its time.
MAX_AGE_AT_SEND_S = 0.7
# From so many denials on, those that are over are forgotten.
MAX_DENIALS = 100

PERMITS = prometheus_client.Counter(
    'gentianstair_replica_permits',
    'Permits asked for at upstreams that name a limit, by what was decided',
    ['outcome'],
)


class Permit(typing.NamedTuple):
    """Allows one request at an upstream."""

    upstream: str
    granted_s: float
    # Whether the upstream names a limit, so that this permit is one of few.
    is_limited: bool


class _Denial(typing.NamedTuple):
    # Until when the keeper is not asked, but as a last resort.
    until_s: float
    # When there may be a permit for a last resort.
    available_s: float


class Keepers(typing.Protocol):
    """The VMs that keep permits."""

    async def ask(self, ask: permit_keeper.Ask) -> permit_keeper.Grant:
        """Ask the keeper of an upstream for a permit."""


class UpstreamPermits:
    """The permits of this VM's requests."""

    def __init__(
        self,
        known: upstream_limits.UpstreamLimits,
        keepers: Keepers,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._known = known
        self._keepers = keepers
        self._clock = clock
        self._random = rng
        self._denials: dict[upstream_limits.UpstreamRun, _Denial] = {}

    def is_limited(self, run: upstream_limits.UpstreamRun) -> bool:
        """Return whether an upstream names a limit."""
        return self._known.rate_per_s(run) is not None

    def any_denied(self) -> bool:
        """Return whether a permit was denied lately."""
        return bool(self._denials)

    def is_denied(self, run: upstream_limits.UpstreamRun) -> bool:
        """Return whether an upstream's keeper is not to be asked yet."""
        denial = self._denials.get(run)
        if denial is None:
            return False
        if self._clock() < denial.until_s and self.is_limited(run):
            return True
        del self._denials[run]
        return False

    def wait_s(self, run: upstream_limits.UpstreamRun) -> float:
        """Return how long there is no permit for a last resort, at least."""
        denial = self._denials.get(run)
        if denial is None:
            return 0.0
        return max(0.0, denial.available_s - self._clock())

    def soonest(
        self, found: list[upstream_limits.UpstreamRun], count: int
    ) -> list[upstream_limits.UpstreamRun]:
        """Return those that may have a permit first, at most count."""
        shuffled = self._random.sample(found, len(found))
        return sorted(shuffled, key=self.wait_s)[:count]

    def return_in_s(
        self, found: typing.Iterable[upstream_limits.UpstreamRun]
    ) -> float:
        """Return after how long a caller may return for a permit."""
        spread = 1.0 + RETRY_SPREAD * self._random.random()
        return spread * min(self.wait_s(run) for run in found)

    def check_usable(
        self, run: upstream_limits.UpstreamRun, permit: Permit
    ) -> None:
        """Raise PermitLapsedError if a permit is not to be used any more.

        Call it directly before the send, without an await between them. A
        process that is short of processor time may send seconds after it
        acquired a permit, together with others.
        """
        age_s = self._clock() - permit.granted_s
        if permit.is_limited and age_s > MAX_AGE_AT_SEND_S:
            raise errors.PermitLapsedError('the permit is too old to send')
        if not permit.is_limited and self.is_limited(run):
            raise errors.PermitLapsedError('the upstream names a limit now')

    async def acquire(
        self,
        run: upstream_limits.UpstreamRun,
        request_id: str = '',
        last_resort_s: float | None = None,
    ) -> Permit | None:
        """Return a permit, None if it is denied.

        If the request is rejected without one, last_resort_s says how long
        it waits for it.
        """
        rate_per_s = self._known.rate_per_s(run)
        if rate_per_s is None:
            return Permit(run.name, self._clock(), False)
        grant = await self._keepers.ask(
            permit_keeper.Ask(
                run,
                rate_per_s,
                last_resort_s or 0.0,
                last_resort_s is not None,
            )
        )
        self._log(run, rate_per_s, grant, request_id)
        if not grant.is_granted:
            self._record_denial(run, grant)
            return None
        if grant.wait_s > 0:
            await trio.sleep(grant.wait_s)
        return Permit(run.name, self._clock(), True)

    def _record_denial(
        self, run: upstream_limits.UpstreamRun, grant: permit_keeper.Grant
    ) -> None:
        now_s = self._clock()
        spread = 1.0 + RETRY_SPREAD * self._random.random()
        if len(self._denials) >= MAX_DENIALS:
            self._denials = {
                one: denial
                for one, denial in self._denials.items()
                if now_s < denial.until_s
            }
        self._denials[run] = _Denial(
            now_s + grant.retry_s * spread,
            now_s + min(grant.wait_s, grant.spare_wait_s),
        )

    def _log(
        self,
        run: upstream_limits.UpstreamRun,
        rate_per_s: float,
        grant: permit_keeper.Grant,
        request_id: str,
    ) -> None:
        outcome = 'granted' if grant.is_granted else 'denied'
        if grant is permit_questions.UNANSWERED:
            outcome = 'unanswered'
        PERMITS.labels(outcome).inc()
        loguru.logger.bind(
            event=events.REPLICA_PERMIT,
            request_id=request_id,
            replica=run.name,
            outcome=outcome,
            rate_per_s=rate_per_s,
            wait_s=round(grant.wait_s, 3),
            retry_s=round(grant.retry_s, 3),
        ).info('permit for a limited upstream: {}', outcome)
