"""Hold the permits of one request at replicas that name a limit."""

import typing

from gentianstair.core import upstream_limits
from gentianstair.core import upstream_permits
from gentianstair.gateway import prefill_costs
from gentianstair.gateway import replicas
from gentianstair.util import clock as clocks

# A permit that is older is not used, as many such might come together.
MAX_PERMIT_AGE_S = 0.5
# Limited replicas that are asked for a turn.
MAX_TURN_ASKS = 3


class RequestPermits:
    """The permits that a request holds, and those that it was denied."""

    def __init__(
        self,
        permits: upstream_permits.UpstreamPermits,
        request_id: str,
        clock: clocks.Clock,
    ) -> None:
        self._permits = permits
        self._request_id = request_id
        self._clock = clock
        # Those that no attempt has used yet, by replica.
        self._held: dict[str, upstream_permits.Permit] = {}
        # Replicas whose keeper denied this request a permit.
        self._denied: set[str] = set()
        # For what a turn was asked: to run, or to prefill.
        self._turns_asked: set[str] = set()
        # After how long there may be a turn at a limited replica; None if
        # none was asked for.
        self.turn_in_s: float | None = None

    def choices(self, found: list[replicas.Replica]) -> list[replicas.Replica]:
        """Return the replicas of which there is a permit, or may be one.

        Only the reserved one decodes, if there is one.
        """
        if self._denied or self._permits.any_denied():
            found = [r for r in found if not self._is_denied(r)]
        if not self._held or not any(map(self._is_reserved, found)):
            return found
        return [
            replica
            for replica in found
            if replica.stage == prefill_costs.PREFILL
            or self._is_reserved(replica)
        ]

    def _is_denied(self, replica: replicas.Replica) -> bool:
        if replica.name in self._held:
            return False
        return replica.name in self._denied or self._permits.is_denied(
            replica.run
        )

    async def acquire(
        self,
        replica: replicas.Replica,
        last_resort_s: float | None = None,
    ) -> bool:
        """Acquire a permit of a replica; return false if it is denied.

        Then the replica is no choice any more. last_resort_s is how long a
        request waits that has no other replica.
        """
        held = self._held.pop(replica.name, None)
        if held is None or self._is_stale(held):
            held = await self._permits.acquire(
                replica.run, self._request_id, last_resort_s
            )
        if held is None:
            self._denied.add(replica.name)
            return False
        self._held[replica.name] = held
        return True

    def use(self, replica: replicas.Replica) -> upstream_permits.Permit:
        """Return the permit that acquire got, for one attempt."""
        return self._held.pop(replica.name)

    def _is_stale(self, permit: upstream_permits.Permit) -> bool:
        """Return whether a permit is not to be kept any longer."""
        age_s = self._clock() - permit.granted_s
        return not permit.is_limited or age_s > MAX_PERMIT_AGE_S

    def reserved(
        self, found: list[replicas.Replica]
    ) -> replicas.Replica | None:
        """Return a limited decode replica of which a permit is held."""
        return next(filter(self._is_reserved, found), None)

    def _is_reserved(self, replica: replicas.Replica) -> bool:
        permit = self._held.get(replica.name)
        return (
            permit is not None
            and replica.stage != prefill_costs.PREFILL
            and not self._is_stale(permit)
        )

    def any_unlimited(self, found: typing.Iterable[replicas.Replica]) -> bool:
        """Return whether one of them runs requests and names no limit."""
        return any(
            replica.stage != prefill_costs.PREFILL
            and not self._permits.is_limited(replica.run)
            for replica in found
        )

    async def wait_for_turn(
        self, found: typing.Iterable[replicas.Replica], patience_s: float
    ) -> bool:
        """Get a permit to run at one of them as a last resort, once.

        Return false if there is none in time, or none was denied.
        """
        limited = self._denied_runs(
            r for r in found if r.stage != prefill_costs.PREFILL
        )
        if await self._take_turn('run', limited, patience_s):
            return True
        if limited:
            self.turn_in_s = self._permits.return_in_s(limited)
        return False

    async def take_prefill_turn(
        self, found: typing.Iterable[replicas.Replica]
    ) -> bool:
        """Get a permit to prefill at one of them as a last resort, once."""
        limited = self._denied_runs(
            r for r in found if r.stage == prefill_costs.PREFILL
        )
        return await self._take_turn('prefill', limited, 0.0)

    def _denied_runs(
        self, found: typing.Iterable[replicas.Replica]
    ) -> dict[upstream_limits.UpstreamRun, replicas.Replica]:
        return {r.run: r for r in found if self._is_denied(r)}

    async def _take_turn(
        self,
        what: str,
        limited: dict[upstream_limits.UpstreamRun, replicas.Replica],
        patience_s: float,
    ) -> bool:
        """Ask some of them, once for each purpose."""
        if what in self._turns_asked:
            return False
        self._turns_asked.add(what)
        for run in self._permits.soonest(list(limited), MAX_TURN_ASKS):
            if self._permits.wait_s(run) > patience_s:
                break
            if await self.acquire(limited[run], patience_s):
                return True
        return False
