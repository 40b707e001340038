"""Hold the state of one caller's request and of its attempts at replicas."""

import typing

import loguru

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import exchange as exchanges
from gentianstair.core import run_verdict
from gentianstair.core import upstream_limits
from gentianstair.gateway import calls
from gentianstair.gateway import catalog
from gentianstair.gateway import event_order
from gentianstair.gateway import event_times
from gentianstair.gateway import forward
from gentianstair.gateway import known_starts
from gentianstair.gateway import node as nodes
from gentianstair.gateway import replicas
from gentianstair.gateway import request_choices
from gentianstair.gateway import request_ends
from gentianstair.gateway import request_errors
from gentianstair.gateway import request_parts
from gentianstair.gateway import request_permits
from gentianstair.gateway import retry_ends
from gentianstair.generated import events

# Attempts beyond the route's maximum. A replica that is full or draining
# answers that it did not run the request, and another may have room.
EXTRA_ATTEMPTS = 1
# Most replicas that one request may fail to connect to. Each failure may take
# the whole connect timeout.
MAX_UNREACHABLE_ATTEMPTS = 4
# Least time without an answer after which the path to a replica is checked.
MIN_SILENCE_S = 0.3
# Share of the time to its objective that the most urgent request waits for its
# turn at a limited replica.
TURN_SHARE = 0.5
# Parts of a prompt in a log line, and characters of each.
MAX_LOGGED_PARTS = 8
MAX_LOGGED_NAME = 32
# No attempt is made with less time than this to the deadline.
MIN_REMAINING_S = 0.03


def _is_sound(error: errors.UpstreamError) -> bool:
    """Return whether an upstream may serve other requests as it should.

    It turned this one away, in order, does not resume streams, has started
    again, or did not prove the end of an answer.
    """
    return isinstance(
        error,
        (
            errors.UpstreamRejectedError,
            errors.UpstreamPauseError,
            errors.NotResumedError,
            errors.OtherStartError,
            errors.UnprovenEndError,
        ),
    )


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
        self.digest = call.digest(body)
        self.route = route
        self.service = service
        self.customer = customer
        self.deadline_s = deadline_s
        self._arrived_s = node.clock()
        self.runs = run_verdict.RunVerdict()
        # Where the latest attempt goes, and its answer if one has come.
        self.replica_name = ''
        self._answer: calls.Answer | None = None
        # Attempts that reached a replica, or may have.
        self.attempts = 0
        self.unreachable_attempts = 0
        self.event_times = event_times.EventTimes(node.clock)
        # The events of a stream that its caller has.
        self.order = event_order.EventOrder(call.last_event_id)
        # Failed prefill attempts, which are counted in ``attempts`` too.
        self.failed_prefills = 0
        # Attempts that ran the request, or may have.
        self.possible_runs = 0
        # Where an attempt is under way, if it was sent.
        self._runs_at: replicas.Replica | None = None
        # The newest start there as the latest attempt, or its answer, began.
        self._begun_at: upstream_limits.UpstreamRun | None = None
        self._next_retry_is_paid = False
        # Why no further attempt follows, once that is decided.
        self._no_retry: retry_ends.NoRetry | None = None
        self.permits = request_permits.RequestPermits(
            node.upstream_permits, call.request_id, node.clock
        )
        self.parts = request_parts.RequestParts(
            node.prompt_faults,
            node.part_trials.ask,
            request_parts.whole_of(service, call, self.digest),
            request_parts.parts_of(service, call),
            node.clock,
        )
        self.choices = request_choices.RequestChoices(
            node, service, route.retryable, self.permits, self.parts
        )
        self.ends = request_ends.RequestEnds(node, self.parts, call.request_id)
        # The latest error response of a replica, for the caller if no other
        # attempt succeeds.
        self.failure_response: forward.ReplicaResponse | None = None

    @property
    def verdict(self) -> verdicts.Verdict:
        """Return whether the request may have run so far."""
        return self.runs.verdict

    @property
    def sent_once(self) -> run_verdict.Sent:
        """Return what was sent of a request that may run once.

        It is nothing for others, whose callers may send them again anyway.
        """
        if self.route.retryable:
            return run_verdict.Sent.NOTHING
        return self.runs.sent

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

        A permit for the replica must have been acquired. A prefill does not
        run the request.
        """
        self.replica_name, self._answer = replica.name, None
        self.record_newest_start(replica)
        run = self.runs.begin()
        is_prefill = options.get('prefill_only', False)

        def check_send() -> None:
            self.parts.check_send()
            self._runs_at = replica

        def record_answer(answer: calls.Answer) -> None:
            self._answer = answer
            run.record_answer(answer.verdict, answer.status)

        return calls.Attempt(
            replica,
            self.permits.use(replica),
            self.customer_name,
            self.remaining_s(),
            self.body,
            silence_s=max(MIN_SILENCE_S, self.route.objective_s),
            ends_with_path=self.route.retryable or is_prefill,
            before_send=check_send,
            record_send=run.record_prefill if is_prefill else run.record_send,
            record_answer=record_answer,
            **options,
        )

    def record_newest_start(self, replica: replicas.Replica) -> None:
        """Record which start of a replica ends if its connection breaks."""
        self._begun_at = self.node.registry.newest_run(replica)

    def outcome_fields(self) -> dict[str, str]:
        """Return how attempts ended and why none follows, for logs."""
        fields = {'outcomes': self.runs.outcomes()}
        if self._no_retry is not None:
            fields['no_retry'] = self._no_retry.value
        return fields

    def answer_fields(self) -> dict[str, typing.Any]:
        """Return what is known of the latest attempt's answer, for logs."""
        answer = self._answer
        if answer is None:
            return {}
        return {
            'replica_status': answer.status,
            'not_executed': answer.verdict is verdicts.Verdict.NOT_RUN,
            'connection': 'kept' if answer.was_kept else 'new',
            'ends_with_connection': answer.ends_with_connection,
        }

    def producer_fields(self) -> dict[str, typing.Any]:
        """Return whose events a stream's caller has, for logs."""
        producer = self.producer
        if producer is None:
            return {}
        return {
            'version': self.node.registry.starts.version_by(producer),
            'started_ms': producer.run and producer.run.started_ms,
        }

    @property
    def producer(self) -> known_starts.Producer | None:
        """Return whose events the caller has, None if any may follow."""
        return self.choices.producer

    def bind(self, producer: known_starts.Producer | None) -> None:
        """Let events come only from starts that may follow a producer.

        With None they come from any.
        """
        self.choices.producer = producer

    def has_unlimited_candidate(self) -> bool:
        """Return whether a candidate can run the request without a limit."""
        return self.permits.any_unlimited(self.choices.candidates())

    async def wait_for_turn(self) -> bool:
        """Wait for a permit of a limited replica; return false without one.

        The more urgent requests wait longer, so that they come first.
        """
        patience_s = TURN_SHARE * self.objective_left_s()
        return await self.permits.wait_for_turn(
            self.choices.untried(), patience_s / (1 + self.priority())
        )

    async def take_prefill_turn(self) -> bool:
        """Get a permit of a limited prefill replica; say whether it came.

        It is for a request that would be late without.
        """
        return await self.permits.take_prefill_turn(self.choices.untried())

    def _ejector_key(self, replica: replicas.Replica) -> str:
        return forward.ejector_key(self.service, replica.name)

    def begin_attempt(self, replica: replicas.Replica) -> float:
        """Record the start of an attempt; return its time."""
        now_s = self.node.clock()
        self.attempts += 1
        self.choices.tried.add(replica.name)
        self.node.ejector.record_start(self._ejector_key(replica), now_s)
        return now_s

    def record_success(
        self, replica: replicas.Replica, started_s: float
    ) -> None:
        """Record a successful attempt."""
        now_s = self.node.clock()
        self.node.recent_rejections.record_served(replica.run, started_s)
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
        self._runs_at = None
        run = self.runs.latest
        if isinstance(error, errors.NotSentError):
            if run.was_sent:
                # Another call failed, which the attempt needed.
                error = errors.UpstreamError(str(error), run.verdict)
            else:
                self.attempts -= 1
        if isinstance(error, errors.NoLongerSendableError):
            self.choices.tried.discard(replica.name)
        elif isinstance(error, errors.UnreachableError):
            self.unreachable_attempts += 1
            self.node.ejector.eject_unreachable(key, now_s)
            loguru.logger.bind(
                event=events.REPLICA_UNREACHABLE, replica=replica.name
            ).info('could not connect to a replica; skipping it for now')
        elif not _is_sound(error):
            self.node.ejector.record_outcome(
                key, False, now_s - started_s, now_s
            )
        if isinstance(error, errors.ConnectionBrokenError):
            self.ends.record_broken(
                replica,
                self._begun_at or replica.run,
                error.verdict is verdicts.Verdict.RAN,
            )
        if isinstance(error, errors.UpstreamRejectedError):
            self.choices.was_rejected = True
            self.node.recent_rejections.record_rejection(replica.run)
        run.raise_to(error.verdict)
        self.record_attempt_end()
        self.log(
            events.TRY_FAILED,
            f'a try failed: {error}',
            replica=replica.name,
            started_ms=replica.started_ms,
            verdict=run.verdict.name,
            **self.outcome_fields(),
            broke=isinstance(error, errors.ConnectionBrokenError),
            digest=self.digest,
            parts=self._logged_parts(),
            took_s=round(now_s - started_s, 3),
            **self.answer_fields(),
            **log_fields,
        )

    def _logged_parts(self) -> list[str]:
        """Return the names of the prompt's first parts, for a log line."""
        names = self.call.shared_part_names[:MAX_LOGGED_PARTS]
        return [name[:MAX_LOGGED_NAME] for name in names]

    def record_attempt_end(self) -> None:
        """Count the latest attempt, which has ended, if it may have run."""
        if self.runs.latest.verdict is not verdicts.Verdict.NOT_RUN:
            self.possible_runs += 1
            self.parts.record_possible_run()

    def may_retry(self, error: errors.UpstreamError) -> bool:
        """Return whether another attempt may follow a failed one."""
        verdict = verdicts.combine(error.verdict, self.runs.latest.verdict)
        found = self._no_retry_after(self.possible_runs)
        if verdict is not verdicts.Verdict.NOT_RUN and not (
            self.route.retryable
        ):
            found = retry_ends.NoRetry.RUN_ONCE
        if found is not None:
            self.record_no_retry(found)
        return found is None

    def record_no_retry(self, reason: retry_ends.NoRetry) -> None:
        """Record why no attempt follows; a request without any has none."""
        if not self.choices.tried:
            return
        self._no_retry = reason
        retry_ends.WITHHELD.labels(reason.value).inc()

    def _no_retry_after(self, runs: int) -> retry_ends.NoRetry | None:
        """Return why no attempt may follow so many possible runs."""
        if self.remaining_s() < MIN_REMAINING_S:
            return retry_ends.NoRetry.NO_TIME
        if self.parts.is_held:
            return retry_ends.NoRetry.HELD
        max_runs = self.route.max_attempts
        if runs >= max_runs or self.attempts >= max_runs + EXTRA_ATTEMPTS:
            return retry_ends.NoRetry.MAX_ATTEMPTS
        if self.unreachable_attempts and self._reaches_no_candidate():
            # The next would most likely fail, too; the caller goes elsewhere.
            return retry_ends.NoRetry.UNREACHABLE
        if self.unreachable_attempts >= MAX_UNREACHABLE_ATTEMPTS:
            return retry_ends.NoRetry.UNREACHABLE
        return None

    def _reaches_no_candidate(self) -> bool:
        """Return whether the last connect to each candidate has failed."""
        return all(
            self.node.paths.is_unreached(replica.address)
            for replica in self.choices.candidates()
        )

    def may_replace_attempt(self) -> bool:
        """Return whether a retry may replace the attempt in flight."""
        return (
            self.route.retryable
            and self._no_retry_after(self.possible_runs + 1) is None
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
        if self.node.retry_budget.try_spend(self.service):
            return True
        self.record_no_retry(retry_ends.NoRetry.NO_BUDGET)
        return False

    def log(self, event: str, message: str, **fields: typing.Any) -> None:
        """Log an event of this request."""
        loguru.logger.bind(
            event=event,
            request_id=self.call.request_id,
            customer=self.customer_name,
            route=self.route.name,
            **fields,
        ).info(message)

    def may_give_up(self) -> bool:
        """Return whether what is under way may be broken off unfinished."""
        return self.route.retryable and not self.exchange.started

    def give_up(self) -> errors.RequestError:
        """Return the error of a request broken off as it is held back.

        Its replica may have ended just then.
        """
        if self._runs_at is not None:
            self.ends.record_broken(
                self._runs_at, self._begun_at or self._runs_at.run
            )
        self.record_attempt_end()
        self.log(events.GIVEN_UP, 'replicas ended under the same request')
        return self.final_error()

    def no_time_error(self, queued_s: float) -> errors.RequestError:
        """Return the error of a request that can't meet its deadline."""
        return request_errors.no_time(self.verdict, queued_s)

    def final_error(self) -> errors.RequestError:
        """Return the error that ends the request, according to its verdict."""
        if self.verdict is verdicts.Verdict.NOT_RUN:
            return self.choices.not_run_error()
        if self.remaining_s() < MIN_REMAINING_S:
            return request_errors.deadline_passed(self.verdict)
        return request_errors.replica_failed(self.verdict)
