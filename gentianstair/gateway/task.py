"""Hold one caller's request while it is served, and its story so far."""

import typing

import loguru

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import exchange as exchanges
from gentianstair.gateway import calls
from gentianstair.gateway import catalog
from gentianstair.gateway import forward
from gentianstair.gateway import node as nodes
from gentianstair.gateway import replicas
from gentianstair.generated import events

# A request may be sent once more than it may run: a replica that is full or
# has left says that it did not run it, and another may have room.
EXTRA_SENDINGS = 1
# Replicas without a connection that one request is tried at; it may take half
# a second to find out, and callers wait some seconds.
MOST_UNREACHED = 4
# Told to callers when a replica was full or has just left: some answers end
# in that time, and the next look at the store shows who is there.
SOON_S = 0.4
# How long after the store a VM may learn that a replica drains, with what a
# copy from it takes.
LEARNED_S = 0.8
# An attempt with less time left than this is not worth a replica's work.
LEAST_LEFT_S = 0.03


class Task:
    """One request: what it asks, where it went, what is known of it."""

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
        self.verdict = verdicts.Verdict.NOT_RUN
        # Sendings that reached a replica, or may have.
        self.sent = 0
        self.unreached = 0
        # When a stream's first event and its newest were passed on.
        self.first_s: float | None = None
        self.event_s: float | None = None
        self.longest_pause_s = 0.0
        # Of those sent, the reads of the prompt that failed.
        self.failed_reads = 0
        self.ran = 0
        self.tried: set[str] = set()
        # The newest failure that a replica itself answered with.
        self.failure: forward.Answer | None = None

    @property
    def customer_name(self) -> str | None:
        """Return the customer's name, None on a public route."""
        return self.customer.name if self.customer else None

    def left_s(self) -> float:
        """Return how long the caller waits and this process serves."""
        left_s = max(0.0, self.deadline_s - self.node.clock())
        return min(left_s, self.node.grace.remaining_s())

    def urgency(self) -> int:
        """Return the rank for replicas; a customer's goes first."""
        if self.customer and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    def sending(
        self, replica: replicas.Replica, **more: typing.Any
    ) -> calls.Sending:
        """Return this call as it goes to a replica now."""
        return calls.Sending(
            replica, self.customer_name, self.left_s(), self.body, **more
        )

    def candidates(self) -> list[replicas.Replica]:
        """Return the replicas to choose from, the untried ones first.

        Replicas that fail are left out while others are there.
        """
        now_s = self.node.clock()
        found = self.node.registry.usable(self.service)
        good = [
            replica
            for replica in found
            if self.node.ejector.is_available(self._key(replica), now_s)
        ]
        fresh = [r for r in good or found if r.name not in self.tried]
        return fresh or [r for r in found if r.name not in self.tried]

    def keepers(self) -> list[replicas.Replica]:
        """Return the replicas from whose memory parts may be copied.

        A copy from one that has gone has all of it read anew, beside which
        everything that is queued there waits.
        """
        now_s = self.node.clock()
        leaving_s = self.node.deployment.bounds.drain_s - LEARNED_S
        return [
            replica
            for replica in self.node.registry.keeping(self.service, leaving_s)
            if self.node.ejector.is_available(self._key(replica), now_s)
        ]

    def _key(self, replica: replicas.Replica) -> str:
        return forward.ejector_key(self.service, replica.name)

    def begin(self, replica: replicas.Replica) -> float:
        """Note a sending; return its time."""
        now_s = self.node.clock()
        self.sent += 1
        self.tried.add(replica.name)
        self.node.ejector.record_start(self._key(replica), now_s)
        return now_s

    def succeeded(self, replica: replicas.Replica, started_s: float) -> None:
        """Tell the ejector that a sending went well."""
        now_s = self.node.clock()
        self.node.ejector.record_outcome(
            self._key(replica), True, now_s - started_s, now_s
        )

    def failed(
        self,
        replica: replicas.Replica,
        error: errors.UpstreamError,
        started_s: float,
        **told: typing.Any,
    ) -> None:
        """Take the failure of a sending to a replica; told goes to the log.

        A replica that turned it away is full or has changed, not faulty.
        """
        now_s = self.node.clock()
        key = self._key(replica)
        if isinstance(error, errors.UnreachableError):
            self.sent -= 1
            self.unreached += 1
            self.node.ejector.eject_unreachable(key, now_s)
            loguru.logger.bind(
                event=events.REPLICA_UNREACHABLE, replica=replica.name
            ).info('no connection to a replica; it is passed over')
        elif not isinstance(error, errors.TurnedAwayError):
            self.node.ejector.record_outcome(
                key, False, now_s - started_s, now_s
            )
        self.note(error.verdict)
        self.tell(
            events.TRY_FAILED,
            f'a try failed: {error}',
            replica=replica.name,
            verdict=error.verdict.name,
            took_s=round(now_s - started_s, 3),
            **told,
        )

    def note(self, verdict: verdicts.Verdict) -> None:
        """Take what a sending says of the request's effect."""
        self.verdict = verdicts.combine(self.verdict, verdict)
        if verdict is not verdicts.Verdict.NOT_RUN:
            self.ran += 1

    def may_repeat(self, last: verdicts.Verdict) -> bool:
        """Say whether a request may be sent once more after a failure."""
        if self.left_s() < LEAST_LEFT_S:
            return False
        if last is not verdicts.Verdict.NOT_RUN and not self.route.repeatable:
            return False
        most = self.route.max_attempts
        if self.ran >= most or self.sent >= most + EXTRA_SENDINGS:
            return False
        return self.unreached < MOST_UNREACHED

    def passed_on(self) -> None:
        """Note that an event of a stream goes to the caller now."""
        now_s = self.node.clock()
        if self.event_s is not None:
            pause_s = now_s - self.event_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.event_s = now_s

    def pay(self) -> bool:
        """Spend a repeat if the next sending is one; say whether it may go.

        The users count what arrives at a service beyond the first of each
        request, so the first arrival is none.
        """
        if self.sent == self.failed_reads:
            return True
        return self.node.repeats.take(self.service)

    def tell(self, event: str, message: str, **fields: typing.Any) -> None:
        """Log one decision on this request."""
        loguru.logger.bind(
            event=event,
            request_id=self.call.request_id,
            customer=self.customer_name,
            route=self.route.name,
            **fields,
        ).info(message)

    def hopeless(self, wait_s: float) -> errors.RequestError:
        """Return the error of a request that can't be served in its time.

        wait_s is how long what is queued before it takes; until then a
        request like it fares no better.
        """
        return errors.RequestError(
            503,
            'no-time',
            'what is queued takes longer than the caller waits',
            self.verdict,
            max(SOON_S, wait_s),
        )

    def give_up(self) -> errors.RequestError:
        """Return the final error, true to what is known of the effect."""
        if self.verdict is verdicts.Verdict.NOT_RUN:
            return errors.RequestError(
                503,
                'no-replica',
                'no replica could take the request',
                self.verdict,
                SOON_S,
            )
        if self.left_s() < LEAST_LEFT_S:
            return errors.RequestError(
                504, 'deadline-passed', 'no answer in time', self.verdict
            )
        return errors.RequestError(
            502, 'replica-failed', 'the replica failed', self.verdict
        )
