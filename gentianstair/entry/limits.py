"""Hold customers to their limits across all entry VMs without a write.

Each VM enforces its part of a limit: a small even part, and the rest by the
demand that the VMs told each other. A VM counts a rise of its own demand
only one interval after it told it, a fall at once. So the parts never sum to
more than the whole while summaries arrive within the interval. A silent
peer keeps an even part, which is all that a VM cut off takes.

The stated error, for N VMs: in any window of W seconds at most
``limit * (W + BURST_S) + N`` requests pass; tokens likewise plus one request
a VM; at most ``limit + N - 1`` requests run at once, and more than ``limit``
only when VMs admit within one interval of each other.
"""

import collections.abc
import contextlib
import typing
import uuid

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.entry import fairness
from gentianstair.generated import messages
from gentianstair.util import clock as clocks

SUMMARY_VERSION = 1
# Seconds of the limit that an idle customer may use in one burst.
BURST_S = 1.0
# Part of a limit that is spread evenly, so that a new VM can start.
EVEN_SHARE = 0.1
DEMAND_HALF_LIFE_S = 2.0
# Least time between two summaries, and the lag that they are allowed.
SUMMARY_INTERVAL_S = 0.5
FULL_SUMMARY_INTERVAL_S = 10.0
# A summary is sent at least this often, also without rows, and a peer that
# was silent for three times as long keeps an even part for itself: it may
# be cut off and unable to hear what is asked of others.
HEARTBEAT_S = 2.0
PEER_TIMEOUT_S = 3.0 * HEARTBEAT_S


class CustomerLimits(typing.NamedTuple):
    """A customer's limits on the whole fleet; 0 is no limit."""

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    concurrent: int = 0


LimitsOf = collections.abc.Callable[[str], CustomerLimits]


class _Bucket:
    """A token bucket whose level may fall below zero by one request."""

    def __init__(self, now_s: float) -> None:
        self.level: float | None = None
        self._at_s = now_s

    def refill(self, rate_per_s: float, least: float, now_s: float) -> None:
        most = max(least, rate_per_s * BURST_S)
        if self.level is None:
            self.level = most
        passed_s = max(0.0, now_s - self._at_s)
        self.level = min(most, self.level + passed_s * rate_per_s)
        self._at_s = now_s

    def wait_s(self, needed: float, rate_per_s: float) -> float:
        """Return how long until the level is reached; 0 if it is."""
        assert self.level is not None
        return max(0.0, needed - self.level) / max(rate_per_s, 1e-9)


class _Use:
    """One customer's use on this VM."""

    def __init__(self, now_s: float) -> None:
        self.requests = _Bucket(now_s)
        self.tokens = _Bucket(now_s)
        self.request_rate = fairness.DecayingRate(DEMAND_HALF_LIFE_S, now_s)
        self.token_rate = fairness.DecayingRate(DEMAND_HALF_LIFE_S, now_s)
        self.running = 0
        # Requests and tokens a second: told now, and an interval before.
        self.told = (0.0, 0.0)
        self.told_before = (0.0, 0.0)
        self.sent_s = -1.0

    def demand(self, now_s: float) -> tuple[float, float]:
        return self.request_rate.per_s(now_s), self.token_rate.per_s(now_s)

    def counted(self, now_s: float) -> tuple[float, float]:
        """Return the demand that peers certainly know of, or less."""
        known = zip(
            self.demand(now_s), self.told, self.told_before, strict=True
        )
        requests, tokens = (min(values) for values in known)
        return requests, tokens


class Permit:
    """A request let through; settles what it really used."""

    def __init__(self, use: _Use, tokens: int) -> None:
        self._use = use
        self._tokens = tokens

    def settle(self, tokens: int) -> None:
        """Replace the expected tokens by those the upstream counted."""
        level = self._use.tokens.level
        if level is not None:
            self._use.tokens.level = level + self._tokens - tokens
        self._tokens = tokens


class Limits:
    """This VM's part of every customer's limits."""

    def __init__(
        self, vm: str, limits_of: LimitsOf, clock: clocks.Clock
    ) -> None:
        self._vm = vm
        self._limits_of = limits_of
        self._clock = clock
        self._live = {vm}
        self._incarnation = uuid.uuid4().hex[:12]
        self._uses: dict[str, _Use] = {}
        self._peers: dict[str, dict[str, messages.UseRow]] = {}
        self._peer_incarnation: dict[str, str] = {}
        self._sent: dict[str, messages.UseRow] = {}
        self._heard_s: dict[str, float] = {}
        self._summary_s = -SUMMARY_INTERVAL_S
        self._sent_s = -HEARTBEAT_S
        self._full_s = -FULL_SUMMARY_INTERVAL_S

    def set_vms(self, live: collections.abc.Iterable[str]) -> None:
        """Set the entry VMs; rows of those that left are dropped."""
        self._live = {self._vm, *live}
        for vm in set(self._peers) - self._live:
            del self._peers[vm]
            self._heard_s.pop(vm, None)

    def _share(self, customer: str, use: _Use, kind: int) -> float:
        now_s = self._clock()
        own = use.counted(now_s)[kind]
        total = own
        for rows in self._peers.values():
            row = rows.get(customer)
            if row is not None:
                demand = (
                    row['demand_requests_per_s'],
                    row['demand_tokens_per_s'],
                )
                total += demand[kind]
        even = 1.0 / len(self._live)
        if total <= 1e-6:
            return even
        silent = sum(
            now_s - self._heard_s.get(vm, -PEER_TIMEOUT_S) >= PEER_TIMEOUT_S
            for vm in self._live
            if vm != self._vm
        )
        heard = 1.0 - silent * even
        return EVEN_SHARE * even + (heard - EVEN_SHARE * heard) * own / total

    def _peers_running(self, customer: str) -> int:
        return sum(
            rows[customer]['running']
            for rows in self._peers.values()
            if customer in rows
        )

    @contextlib.contextmanager
    def acquire(
        self, customer: str, tokens: int
    ) -> collections.abc.Iterator[Permit]:
        """Let a request of so many expected tokens through, or refuse it.

        Raise RequestError 429, NOT_RUN, with the time to come back.
        """
        now_s = self._clock()
        use = self._uses.setdefault(customer, _Use(now_s))
        use.request_rate.add(1.0, now_s)
        use.token_rate.add(tokens, now_s)
        self._check(customer, use, self._limits_of(customer), now_s)
        if use.requests.level is not None:
            use.requests.level -= 1.0
        if use.tokens.level is not None:
            use.tokens.level -= tokens
        use.running += 1
        held = Permit(use, tokens)
        try:
            yield held
        except errors.RequestError as error:
            # Refused further on: what did not run must use up no limit.
            if error.verdict is verdicts.Verdict.NOT_RUN:
                held.settle(0)
            raise
        finally:
            use.running -= 1

    def _check(
        self, customer: str, use: _Use, terms: CustomerLimits, now_s: float
    ) -> None:
        requests_share = self._share(customer, use, 0)
        if terms.concurrent > 0:
            part = max(1, int(terms.concurrent * requests_share))
            total = use.running + self._peers_running(customer)
            if use.running >= part or total >= terms.concurrent:
                raise _refusal('concurrent-limit', SUMMARY_INTERVAL_S * 2.0)
        if terms.requests_per_s > 0.0:
            rate = terms.requests_per_s * requests_share
            use.requests.refill(rate, 1.0, now_s)
            wait_s = use.requests.wait_s(1.0, rate)
            if wait_s > 0.0:
                raise _refusal('request-limit', wait_s)
        if terms.tokens_per_s > 0.0:
            rate = terms.tokens_per_s * self._share(customer, use, 1)
            use.tokens.refill(rate, 1.0, now_s)
            wait_s = use.tokens.wait_s(1.0, rate)
            if wait_s > 0.0:
                raise _refusal('token-limit', wait_s)

    def summary(
        self, max_rows: int | None = None
    ) -> messages.LimitsSummary | None:
        """Return the changed rows, or None if no summary is due.

        With max_rows, those sent longest ago go first and the others wait
        for the next call; until then their demand counts as last told.
        """
        now_s = self._clock()
        if now_s - self._summary_s < SUMMARY_INTERVAL_S - 1e-9:
            return None
        self._summary_s = now_s
        if now_s - self._full_s >= FULL_SUMMARY_INTERVAL_S:
            self._full_s = now_s
            self._sent.clear()
        rows = self._changed_rows(now_s)
        if max_rows is not None and len(rows) > max_rows:
            rows.sort(key=lambda row: self._uses[row['customer']].sent_s)
            del rows[max_rows:]
        for row in rows:
            use = self._uses[row['customer']]
            use.sent_s = now_s
            use.told = (
                row['demand_requests_per_s'],
                row['demand_tokens_per_s'],
            )
            self._sent[row['customer']] = row
        if not rows and now_s - self._sent_s < HEARTBEAT_S:
            return None
        self._sent_s = now_s
        return {
            'version': SUMMARY_VERSION,
            'vm': self._vm,
            'incarnation': self._incarnation,
            'rows': rows,
        }

    def _changed_rows(self, now_s: float) -> list[messages.UseRow]:
        rows = []
        for customer, use in self._uses.items():
            use.told_before = use.told
            row = self._row(customer, use, now_s)
            last = self._sent.get(customer)
            if last is None or _moved(row, last):
                rows.append(row)
        return rows

    def _row(self, customer: str, use: _Use, now_s: float) -> messages.UseRow:
        requests_per_s, tokens_per_s = use.demand(now_s)
        return {
            'customer': customer,
            'demand_requests_per_s': requests_per_s,
            'demand_tokens_per_s': tokens_per_s,
            'running': use.running,
        }

    def merge(self, vm: str, summary: messages.LimitsSummary) -> None:
        """Take a peer's summary; rows are absolute, so repeats are safe."""
        if vm == self._vm or summary['version'] != SUMMARY_VERSION:
            return
        if self._peer_incarnation.get(vm) != summary['incarnation']:
            self._peer_incarnation[vm] = summary['incarnation']
            self._peers[vm] = {}
        self._heard_s[vm] = self._clock()
        rows = self._peers.setdefault(vm, {})
        for row in summary['rows']:
            rows[row['customer']] = row


def _moved(row: messages.UseRow, last: messages.UseRow) -> bool:
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
