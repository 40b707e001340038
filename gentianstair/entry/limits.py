"""Enforce customers' limits across all entry VMs without store writes.

Each VM enforces its share of a limit: a small even share, and the rest in
proportion to the demand that VMs report to each other in summaries. A VM
counts an increase of its own demand one interval after it was reported, and
a decrease at once. So the shares sum to at most the limit as long as
summaries arrive within the interval. An even share is left to each peer that
is silent, and a VM that is cut off from all peers takes only its own.

The error bounds, for N VMs: in any window of W seconds at most
``limit * (W + BURST_S) + N`` requests pass; the same holds for tokens, plus
one request for each VM; at most ``limit + N - 1`` requests run at once, and
more than ``limit`` only if VMs admit within one interval of each other.
"""

import collections.abc
import contextlib
import typing
import uuid

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.entry import fairness
from gentianstair.generated import messages
from gentianstair.limits import token_bucket
from gentianstair.util import clock as clocks
from gentianstair.util import decaying_rate

# Version of the summaries that VMs exchange.
SUMMARY_VERSION = 1
# Capacity of a token bucket, in seconds of its rate.
BURST_S = 1.0
# Least capacity of a token bucket: one request.
MIN_CAPACITY = 1.0
# Part of a limit that is shared evenly, so that a VM without demand so far
# can admit its first requests.
EVEN_SHARE = 0.1
# Half-life of the decaying averages of demand.
DEMAND_HALF_LIFE_S = 2.0
# Shortest time between two summaries, and the longest delivery time for
# which the error bounds hold.
SUMMARY_INTERVAL_S = 0.5
# Unchanged rows are sent again this often, in case a summary was lost.
FULL_SUMMARY_INTERVAL_S = 10.0
# A summary is sent at least this often, even without rows. A peer that was
# silent for PEER_TIMEOUT_S may be cut off, so an even share is left to it.
HEARTBEAT_S = 2.0
PEER_TIMEOUT_S = 3.0 * HEARTBEAT_S


class CustomerLimits(typing.NamedTuple):
    """A customer's limits in the whole fleet; 0 means no limit."""

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    concurrent: int = 0


LimitsOf = collections.abc.Callable[[str], CustomerLimits]


def _refilled(
    bucket: token_bucket.TokenBucket | None, rate_per_s: float, now_s: float
) -> token_bucket.TokenBucket:
    """Return a bucket refilled at a rate; a new one is full."""
    capacity = max(MIN_CAPACITY, rate_per_s * BURST_S)
    bucket = bucket or token_bucket.TokenBucket(capacity, now_s)
    bucket.refill(rate_per_s, capacity, now_s)
    return bucket


class _CustomerUsage:
    """One customer's usage on this VM."""

    def __init__(self, now_s: float) -> None:
        # None until the first request that a limit applies to.
        self.request_bucket: token_bucket.TokenBucket | None = None
        self.token_bucket: token_bucket.TokenBucket | None = None
        half_life_s = DEMAND_HALF_LIFE_S
        self.request_rate = decaying_rate.DecayingRate(half_life_s, now_s)
        self.token_rate = decaying_rate.DecayingRate(half_life_s, now_s)
        self.running = 0
        # Demand in requests and tokens a second, as last reported to peers
        # and as reported an interval before.
        self.reported = (0.0, 0.0)
        self.previously_reported = (0.0, 0.0)
        # When a row of this customer was last sent.
        self.sent_at_s = -1.0

    def demand(self, now_s: float) -> tuple[float, float]:
        return self.request_rate.per_s(now_s), self.token_rate.per_s(now_s)

    def known_demand(self, now_s: float) -> tuple[float, float]:
        """Return a lower bound of the demand that all peers know of."""
        demands = zip(
            self.demand(now_s),
            self.reported,
            self.previously_reported,
            strict=True,
        )
        requests, tokens = (min(values) for values in demands)
        return requests, tokens


class Permit:
    """The right to run a request, with the tokens charged for it."""

    def __init__(self, usage: _CustomerUsage, tokens: int) -> None:
        self._usage = usage
        self._tokens = tokens

    def settle(self, tokens: int) -> None:
        """Charge the tokens that were used in place of the expected ones."""
        if self._usage.token_bucket is not None:
            self._usage.token_bucket.take(tokens - self._tokens)
        self._tokens = tokens


class Limits:
    """This VM's shares of the limits of all customers."""

    def __init__(
        self, vm: str, limits_of: LimitsOf, clock: clocks.Clock
    ) -> None:
        self._vm = vm
        self._limits_of = limits_of
        self._clock = clock
        self._live_vms = {vm}
        self._incarnation = uuid.uuid4().hex[:12]
        self._usages: dict[str, _CustomerUsage] = {}
        self._peer_rows: dict[str, dict[str, messages.UseRow]] = {}
        self._peer_incarnation: dict[str, str] = {}
        self._sent_rows: dict[str, messages.UseRow] = {}
        self._heard_at_s: dict[str, float] = {}
        self._summary_made_at_s = -SUMMARY_INTERVAL_S
        self._summary_sent_at_s = -HEARTBEAT_S
        self._full_summary_at_s = -FULL_SUMMARY_INTERVAL_S

    def set_vms(self, live: collections.abc.Iterable[str]) -> None:
        """Set the live entry VMs; drop the rows of all others."""
        self._live_vms = {self._vm, *live}
        for vm in set(self._peer_rows) - self._live_vms:
            del self._peer_rows[vm]
            self._heard_at_s.pop(vm, None)

    def _share(self, customer: str, usage: _CustomerUsage, kind: int) -> float:
        """Return this VM's share of a limit on requests (0) or tokens (1)."""
        now_s = self._clock()
        own = usage.known_demand(now_s)[kind]
        total = own
        for rows in self._peer_rows.values():
            row = rows.get(customer)
            if row is not None:
                demand = (
                    row['demand_requests_per_s'],
                    row['demand_tokens_per_s'],
                )
                total += demand[kind]
        even_share = 1.0 / len(self._live_vms)
        if total <= 1e-6:
            return even_share
        silent_vms = sum(
            now_s - self._heard_at_s.get(vm, -PEER_TIMEOUT_S) >= PEER_TIMEOUT_S
            for vm in self._live_vms
            if vm != self._vm
        )
        shared = 1.0 - silent_vms * even_share
        return (
            EVEN_SHARE * even_share
            + (shared - EVEN_SHARE * shared) * own / total
        )

    def _peers_running(self, customer: str) -> int:
        return sum(
            rows[customer]['running']
            for rows in self._peer_rows.values()
            if customer in rows
        )

    @contextlib.contextmanager
    def acquire(
        self, customer: str, tokens: int
    ) -> collections.abc.Iterator[Permit]:
        """Charge a request to the customer's limits, or refuse it.

        tokens are those it is expected to use. Raise RequestError (429,
        NOT_RUN) with a Retry-After if a limit is reached.
        """
        now_s = self._clock()
        usage = self._usages.setdefault(customer, _CustomerUsage(now_s))
        usage.request_rate.add(1.0, now_s)
        usage.token_rate.add(tokens, now_s)
        self._check(customer, usage, self._limits_of(customer), now_s)
        if usage.request_bucket is not None:
            usage.request_bucket.take(1.0)
        if usage.token_bucket is not None:
            usage.token_bucket.take(tokens)
        usage.running += 1
        permit = Permit(usage, tokens)
        try:
            yield permit
        except errors.RequestError as error:
            # It was refused later on; requests that did not run use no
            # tokens.
            if error.verdict is verdicts.Verdict.NOT_RUN:
                permit.settle(0)
            raise
        finally:
            usage.running -= 1

    def _check(
        self,
        customer: str,
        usage: _CustomerUsage,
        customer_limits: CustomerLimits,
        now_s: float,
    ) -> None:
        requests_share = self._share(customer, usage, 0)
        if customer_limits.concurrent > 0:
            share = max(1, int(customer_limits.concurrent * requests_share))
            total = usage.running + self._peers_running(customer)
            if usage.running >= share or total >= customer_limits.concurrent:
                raise _refusal('concurrent-limit', SUMMARY_INTERVAL_S * 2.0)
        if customer_limits.requests_per_s > 0.0:
            rate = customer_limits.requests_per_s * requests_share
            usage.request_bucket = _refilled(usage.request_bucket, rate, now_s)
            wait_s = usage.request_bucket.wait_s(1.0, rate)
            if wait_s > 0.0:
                raise _refusal('request-limit', wait_s)
        if customer_limits.tokens_per_s > 0.0:
            rate = customer_limits.tokens_per_s * self._share(
                customer, usage, 1
            )
            usage.token_bucket = _refilled(usage.token_bucket, rate, now_s)
            wait_s = usage.token_bucket.wait_s(1.0, rate)
            if wait_s > 0.0:
                raise _refusal('token-limit', wait_s)

    def summary(
        self, max_rows: int | None = None
    ) -> messages.LimitsSummary | None:
        """Return the changed rows, or None if no summary is due.

        A summary is due after SUMMARY_INTERVAL_S if rows changed, and after
        HEARTBEAT_S in any case. Of more rows than max_rows, those sent
        longest ago are returned; the others count as last reported.
        """
        now_s = self._clock()
        if now_s - self._summary_made_at_s < SUMMARY_INTERVAL_S - 1e-9:
            return None
        self._summary_made_at_s = now_s
        if now_s - self._full_summary_at_s >= FULL_SUMMARY_INTERVAL_S:
            self._full_summary_at_s = now_s
            self._sent_rows.clear()
        rows = self._changed_rows(now_s)
        if max_rows is not None and len(rows) > max_rows:
            rows.sort(key=lambda row: self._usages[row['customer']].sent_at_s)
            del rows[max_rows:]
        for row in rows:
            usage = self._usages[row['customer']]
            usage.sent_at_s = now_s
            usage.reported = (
                row['demand_requests_per_s'],
                row['demand_tokens_per_s'],
            )
            self._sent_rows[row['customer']] = row
        if not rows and now_s - self._summary_sent_at_s < HEARTBEAT_S:
            return None
        self._summary_sent_at_s = now_s
        return {
            'version': SUMMARY_VERSION,
            'vm': self._vm,
            'incarnation': self._incarnation,
            'rows': rows,
        }

    def _changed_rows(self, now_s: float) -> list[messages.UseRow]:
        rows = []
        for customer, usage in self._usages.items():
            usage.previously_reported = usage.reported
            row = self._row(customer, usage, now_s)
            last = self._sent_rows.get(customer)
            if last is None or _has_changed(row, last):
                rows.append(row)
        return rows

    def _row(
        self, customer: str, usage: _CustomerUsage, now_s: float
    ) -> messages.UseRow:
        requests_per_s, tokens_per_s = usage.demand(now_s)
        return {
            'customer': customer,
            'demand_requests_per_s': requests_per_s,
            'demand_tokens_per_s': tokens_per_s,
            'running': usage.running,
        }

    def merge(self, vm: str, summary: messages.LimitsSummary) -> None:
        """Take a peer's summary; a repeated one changes nothing."""
        if vm == self._vm or summary['version'] != SUMMARY_VERSION:
            return
        if self._peer_incarnation.get(vm) != summary['incarnation']:
            self._peer_incarnation[vm] = summary['incarnation']
            self._peer_rows[vm] = {}
        self._heard_at_s[vm] = self._clock()
        rows = self._peer_rows.setdefault(vm, {})
        for row in summary['rows']:
            rows[row['customer']] = row


def _has_changed(row: messages.UseRow, last: messages.UseRow) -> bool:
    if row['running'] != last['running']:
        return True
    return any(
        abs(new - old) > fairness.MIN_CHANGE_SHARE * max(old, 0.1)
        for new, old in (
            (row['demand_requests_per_s'], last['demand_requests_per_s']),
            (row['demand_tokens_per_s'], last['demand_tokens_per_s']),
        )
    )


def _refusal(kind: str, retry_after_s: float) -> errors.RequestError:
    return errors.RequestError(
        429, kind, 'a limit of this customer', retry_after_s=retry_after_s
    )


def make_limits(
    vm: str,
    limits_of: LimitsOf,
    clock: clocks.Clock = clocks.trio_time_s,
) -> Limits:
    """Return the limits of one entry process.

    limits_of gives a customer's limits, for example from the view.
    """
    return Limits(vm, limits_of, clock)
