"""Hold the state of one caller's request and of its attempts at replicas."""

import typing

import loguru

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import exchange as exchanges
from gentianstair.core import upstream_permits
from gentianstair.gateway import calls
from gentianstair.gateway import catalog
from gentianstair.gateway import forward
from gentianstair.gateway import node as nodes
from gentianstair.gateway import prefill_costs
from gentianstair.gateway import replicas
from gentianstair.generated import events

# Attempts beyond the route's maximum. A replica that is full or draining
# answers that it did not run the request, and another may have room.
EXTRA_ATTEMPTS = 1
# Most replicas that one request may fail to connect to. Each failure may take
# the whole connect timeout.
MAX_UNREACHABLE_ATTEMPTS = 4
# Least Retry-After when no replica could take a request. By then some
# running requests have ended and the list of replicas is up to date.
MIN_RETRY_AFTER_S = 0.4
# How long a replica may have been draining before this VM learns of it, plus
# the time to copy KV cache from it.
DRAIN_NOTICE_DELAY_S = 0.8
# Least time without an answer after which the path to a replica is checked.
MIN_SILENCE_S = 0.3
# A permit that is older is not used, as many such might come together.
MAX_PERMIT_AGE_S = 0.5
# Limited replicas that are asked for a turn.
MAX_TURN_ASKS = 3
# Share of the time to its objective that a request waits for its turn at a
# limited replica; the more urgent ones wait longer, so that they come first.
TURN_SHARE = 0.5
# No attempt is made with less time than this to the deadline.
MIN_REMAINING_S = 0.03


class RequestState:
    """A request, its deadline, and the outcome of its attempts so far."""

    def __init__(
        self,
        node: nodes.Node,
        exchange: exchanges.Exchange,
        call: calls.Call,
        body: bytes,
        route: catalog.Route,
        service: str,
        customer: catalog.Customer | None,
        deadline_s: float,
    ) -> None:
        self.node = node
        self.exchange = exchange
        self.call = call
        self.body = body
        self.route = route
        self.service = service
        self.customer = customer
        self.deadline_s = deadline_s
        self._arrived_s = node.clock()
        self.verdict = verdicts.Verdict.NOT_RUN
        # Attempts that reached a replica, or may have.
        self.attempts = 0
        self.unreachable_attempts = 0
        # Times at which the first and the latest event went to the caller.
        self.first_event_s: float | None = None
        self.last_event_s: float | None = None
        self.longest_pause_s = 0.0
        # Failed prefill attempts, which are counted in ``attempts`` too.
        self.failed_prefills = 0
        # Attempts that ran the request, or may have.
        self.possible_runs = 0
        self.tried_replicas: set[str] = set()
        self._next_retry_is_paid = False
        # Permits that no attempt has used yet, by replica.
        self._permits: dict[str, upstream_permits.Permit] = {}
        # Replicas whose keeper denied this request a permit.
        self._denied_replicas: set[str] = set()
        # Whether this request has asked for a turn at a limited replica, and
        # after how long there may be one.
        self._has_asked_for_turn = False
        self._turn_in_s: float | None = None
        # The latest error response of a replica, for the caller if no other
        # attempt succeeds.
        self.failure_response: forward.ReplicaResponse | None = None

    @property
    def customer_name(self) -> str | None:
        """Return the customer's name, None on a public route."""
        return self.customer.name if self.customer else None

    def remaining_s(self) -> float:
        """Return the time to the deadline or the end of the grace period."""
        left_s = max(0.0, self.deadline_s - self.node.clock())
        return min(left_s, self.node.grace_period.remaining_s())

    def objective_left_s(self) -> float:
        """Return the time to the route's latency objective, at least 0."""
        waited_s = self.node.clock() - self._arrived_s
        return max(0.0, self.route.objective_s - waited_s)

    def priority(self) -> int:
        """Return the customer's priority, or else the route's."""
        if self.customer and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    def make_attempt(
        self, replica: replicas.Replica, **options: typing.Any
    ) -> calls.Attempt:
        """Return an attempt at a replica with the time that remains.

        has_permit must have returned true for the replica.
        """
        return calls.Attempt(
            replica,
            self._permits.pop(replica.name),
            self.customer_name,
            self.remaining_s(),
            self.body,
            silence_s=max(MIN_SILENCE_S, self.route.objective_s),
            ends_with_path=self.route.retryable
            or options.get('prefill_only', False),
            **options,
        )

    def candidates(self) -> list[replicas.Replica]:
        """Return the replicas that this request has not tried yet.

        Ejected replicas are left out while there are others, and always
        those of which there is no permit. Only the reserved one decodes, if
        there is one.
        """
        found = self._untried()
        if not self._permits or not any(map(self._is_reserved, found)):
            return found
        return [
            replica
            for replica in found
            if replica.stage == prefill_costs.PREFILL
            or self._is_reserved(replica)
        ]

    def _untried(self) -> list[replicas.Replica]:
        usable = self._permitted(self.node.registry.usable(self.service))
        excluded = self._ejected() | self.tried_replicas
        if not excluded:
            return usable
        untried = [r for r in usable if r.name not in excluded]
        return untried or [
            r for r in usable if r.name not in self.tried_replicas
        ]

    def _permitted(
        self, found: list[replicas.Replica]
    ) -> list[replicas.Replica]:
        """Return the replicas of which there may be a permit."""
        if not (self._denied_replicas or self._node_denies()):
            return found
        return [r for r in found if not self._is_denied(r)]

    def _node_denies(self) -> bool:
        return self.node.upstream_permits.any_denied()

    def _is_denied(self, replica: replicas.Replica) -> bool:
        if replica.name in self._permits:
            return False
        return (
            replica.name in self._denied_replicas
            or self.node.upstream_permits.is_denied(replica.run)
        )

    async def has_permit(
        self,
        replica: replicas.Replica,
        last_resort_s: float | None = None,
    ) -> bool:
        """Acquire a permit of a replica; return false if it is denied.

        Then the replica is no candidate any more. last_resort_s is how long
        a request waits that has no other replica.
        """
        held = self._permits.pop(replica.name, None)
        if held is None or self._is_stale(held):
            held = await self.node.upstream_permits.acquire(
                replica.run, self.call.request_id, last_resort_s
            )
        if held is None:
            self._denied_replicas.add(replica.name)
            return False
        self._permits[replica.name] = held
        return True

    def _is_stale(self, permit: upstream_permits.Permit) -> bool:
        """Return whether a permit is not to be kept any longer."""
        age_s = self.node.clock() - permit.granted_s
        return not permit.is_limited or age_s > MAX_PERMIT_AGE_S

    def reserved_replica(self) -> replicas.Replica | None:
        """Return a limited decode replica of which a permit is held."""
        if not self._permits:
            return None
        return next(filter(self._is_reserved, self.candidates()), None)

    def _is_reserved(self, replica: replicas.Replica) -> bool:
        permit = self._permits.get(replica.name)
        return (
            permit is not None
            and replica.stage != prefill_costs.PREFILL
            and not self._is_stale(permit)
        )

    def has_unlimited_candidate(self) -> bool:
        """Return whether a candidate can run the request without a limit."""
        return any(self._is_unlimited(r) for r in self.candidates())

    def _is_unlimited(self, replica: replicas.Replica) -> bool:
        if replica.stage == prefill_costs.PREFILL:
            return False
        return not self.node.upstream_permits.is_limited(replica.run)

    async def wait_for_turn(self) -> bool:
        """Get a permit of a limited replica as a last resort, once.

        Return false if there is none in time, or no replica is limited.
        """
        if self._has_asked_for_turn:
            return False
        self._has_asked_for_turn = True
        limited = {
            replica.run: replica
            for replica in self.node.registry.usable(self.service)
            if replica.stage != prefill_costs.PREFILL
            and replica.name not in self.tried_replicas
            and self._is_denied(replica)
        }
        if not limited:
            return False
        permits = self.node.upstream_permits
        patience_s = TURN_SHARE * self.objective_left_s()
        patience_s /= 1 + self.priority()
        for run in permits.soonest(list(limited), MAX_TURN_ASKS):
            if permits.wait_s(run) > patience_s:
                break
            if await self.has_permit(limited[run], patience_s):
                return True
        self._turn_in_s = permits.return_in_s(limited)
        return False

    def kv_copy_sources(self) -> list[replicas.Replica]:
        """Return the replicas from which KV cache may be copied.

        Replicas that may be gone before the copy ends are left out: the
        prefill would start over and delay what is queued behind it.
        """
        drain_limit_s = (
            self.node.deployment.bounds.drain_s - DRAIN_NOTICE_DELAY_S
        )
        sources = self.node.registry.copy_sources(self.service, drain_limit_s)
        ejected = self._ejected()
        if not ejected:
            return sources
        return [r for r in sources if r.name not in ejected]

    def _ejected(self) -> set[str]:
        """Return the names of the service's replicas that are ejected."""
        prefix = forward.ejector_key(self.service, '')
        return {
            key.removeprefix(prefix)
            for key in self.node.ejector.unavailable(self.node.clock())
            if key.startswith(prefix)
        }

    def _ejector_key(self, replica: replicas.Replica) -> str:
        return forward.ejector_key(self.service, replica.name)

    def begin_attempt(self, replica: replicas.Replica) -> float:
        """Record the start of an attempt; return its time."""
        now_s = self.node.clock()
        self.attempts += 1
        self.tried_replicas.add(replica.name)
        self.node.ejector.record_start(self._ejector_key(replica), now_s)
        return now_s

    def record_success(
        self, replica: replicas.Replica, started_s: float
    ) -> None:
        """Report a successful attempt to the ejector."""
        now_s = self.node.clock()
        self.node.ejector.record_outcome(
            self._ejector_key(replica), True, now_s - started_s, now_s
        )

    def record_late(self, replica: replicas.Replica, started_s: float) -> None:
        """Report a late attempt, which goes on, to the ejector."""
        now_s = self.node.clock()
        self.node.ejector.record_outcome(
            self._ejector_key(replica), False, now_s - started_s, now_s
        )

    def record_failure(
        self,
        replica: replicas.Replica,
        error: errors.UpstreamError,
        started_s: float,
        **log_fields: typing.Any,
    ) -> None:
        """Record and log a failed attempt; log_fields are added to the log.

        A replica that turned the request away is full or has restarted; the
        ejector does not count that as a fault.
        """
        now_s = self.node.clock()
        key = self._ejector_key(replica)
        if isinstance(error, errors.UnreachableError):
            self.attempts -= 1
            self.unreachable_attempts += 1
            self.node.ejector.eject_unreachable(key, now_s)
            loguru.logger.bind(
                event=events.REPLICA_UNREACHABLE, replica=replica.name
            ).info('could not connect to a replica; skipping it for now')
        elif not isinstance(error, errors.UpstreamRejectedError):
            self.node.ejector.record_outcome(
                key, False, now_s - started_s, now_s
            )
        self.record_verdict(error.verdict)
        self.log(
            events.TRY_FAILED,
            f'a try failed: {error}',
            replica=replica.name,
            verdict=error.verdict.name,
            took_s=round(now_s - started_s, 3),
            **log_fields,
        )

    def record_verdict(self, verdict: verdicts.Verdict) -> None:
        """Combine an attempt's verdict with that of earlier ones."""
        self.verdict = verdicts.combine(self.verdict, verdict)
        if verdict is not verdicts.Verdict.NOT_RUN:
            self.possible_runs += 1

    def may_retry(self, last_verdict: verdicts.Verdict) -> bool:
        """Return whether another attempt may follow a failed one."""
        if (
            last_verdict is not verdicts.Verdict.NOT_RUN
            and not self.route.retryable
        ):
            return False
        return self._may_retry_after(self.possible_runs)

    def _may_retry_after(self, runs: int) -> bool:
        """Return whether an attempt may follow so many possible runs."""
        if self.remaining_s() < MIN_REMAINING_S:
            return False
        max_runs = self.route.max_attempts
        if runs >= max_runs or self.attempts >= max_runs + EXTRA_ATTEMPTS:
            return False
        if self.unreachable_attempts and self._reaches_no_candidate():
            # The next would most likely fail, too; the caller goes elsewhere.
            return False
        return self.unreachable_attempts < MAX_UNREACHABLE_ATTEMPTS

    def _reaches_no_candidate(self) -> bool:
        """Return whether the last connect to each candidate has failed."""
        return all(
            self.node.paths.is_unreached(replica.address)
            for replica in self.candidates()
        )

    def may_replace_attempt(self) -> bool:
        """Return whether a retry may replace the attempt in flight."""
        return self.route.retryable and self._may_retry_after(
            self.possible_runs + 1
        )

    def reserve_retry(self) -> bool:
        """Pay for a retry in place of the attempt in flight.

        Return False if none may follow, no other replica is left or the
        retry budget is spent.
        """
        if not self.may_replace_attempt():
            return False
        if not self.has_unlimited_candidate():
            # A denied permit would turn an answer into a failure.
            return False
        self._next_retry_is_paid = self.node.retry_budget.try_spend(
            self.service
        )
        return self._next_retry_is_paid

    def record_event_sent(self) -> None:
        """Record that an event of a stream goes to the caller now."""
        now_s = self.node.clock()
        if self.last_event_s is not None:
            pause_s = now_s - self.last_event_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_event_s = now_s

    def spend_retry(self) -> bool:
        """Charge the retry budget; return whether the next attempt may go.

        The first attempt of a request is free. Failed prefills do not count
        as first attempts.
        """
        if self.attempts == self.failed_prefills:
            return True
        if self._next_retry_is_paid:
            self._next_retry_is_paid = False
            return True
        return self.node.retry_budget.try_spend(self.service)

    def log(self, event: str, message: str, **fields: typing.Any) -> None:
        """Log an event of this request."""
        loguru.logger.bind(
            event=event,
            request_id=self.call.request_id,
            customer=self.customer_name,
            route=self.route.name,
            **fields,
        ).info(message)

    def no_time_error(self, queued_s: float) -> errors.RequestError:
        """Return the error of a request that can't meet its deadline.

        queued_s is the estimated queueing time; an earlier retry would be
        refused too.
        """
        return errors.RequestError(
            503,
            'no-time',
            'the queue is longer than the time to the deadline',
            self.verdict,
            max(MIN_RETRY_AFTER_S, queued_s),
        )

    def _no_turn_error(self, turn_in_s: float) -> errors.RequestError:
        """Return the error of a request that no limited replica can take."""
        return errors.RequestError(
            503,
            'replica-limits',
            'the replicas take no more requests for now',
            self.verdict,
            max(MIN_RETRY_AFTER_S, turn_in_s),
        )

    def final_error(self) -> errors.RequestError:
        """Return the error that ends the request, according to its verdict."""
        if self.verdict is verdicts.Verdict.NOT_RUN:
            if self._turn_in_s is not None:
                return self._no_turn_error(self._turn_in_s)
            return errors.RequestError(
                503,
                'no-replica',
                'no replica could take the request',
                self.verdict,
                MIN_RETRY_AFTER_S,
            )
        if self.remaining_s() < MIN_REMAINING_S:
            return errors.RequestError(
                504, 'deadline-passed', 'no answer in time', self.verdict
            )
        return errors.RequestError(
            502, 'replica-failed', 'the replica failed', self.verdict
        )
