"""Plan which upstreams to start and stop, ahead of demand and cheaply.

The planner only decides. The holder of the lease sends its orders, tells it
what came of them, and drains an upstream before it is stopped.
"""

import collections
import math
import typing

# Share of the fleet's capacity that the forecast should use, and the share
# that is still served in time right after a failure domain's loss.
TARGET_USE = 0.8
MOST_USE = 1.0
# Part of what must survive a loss that is not of the cheap kind, since the
# cheap kind may be reclaimed in a second failure domain before the first
# loss is made good.
LEAST_STEADY = 0.15
# The forecast's level and trend forget with these half-lives.
LEVEL_HALF_LIFE_S = 30.0
TREND_HALF_LIFE_S = 120.0
# Demand stays counted this long after a peak, so that a dip does not stop
# what the next minute needs again.
PEAK_KEPT_S = 300.0
# Weight of the newest arrival in the measured delay, and errors added.
NEWEST = 0.2
DELAY_ERRORS = 2.0
FIRST_DELAY_S = 120.0
# A kind that the platform could not give is not asked for again until then;
# doubled at each refusal, so that a long lack does not make the mix swing.
UNAVAILABLE_S = 120.0
LONGEST_UNAVAILABLE_S = 960.0
# A stop is ordered this long before the billing window ends, for draining.
RELEASE_LEAD_S = 45.0
# A kind's stops wait this long after its last start, and after a loss.
SETTLE_S = 180.0


class Kind(typing.NamedTuple):
    """A kind of upstream that the platform sells."""

    name: str
    price_per_window: float
    window_s: float
    reclaimable: bool


class Upstream(typing.NamedTuple):
    """One upstream as the planner sees it; state is ordered or ready.

    ``billed_from_s`` is when its first billing window began.
    """

    name: str
    kind: str
    failure_domain: str
    state: str
    billed_from_s: float


class Order(typing.NamedTuple):
    """One upstream to start, or to drain and then stop."""

    action: str
    kind: str
    failure_domain: str
    name: str
    reason: str


class Plan(typing.NamedTuple):
    """Orders with all they were decided on, kept for ``explain``."""

    orders: tuple[Order, ...]
    demand: float
    trend_per_s: float
    horizon_s: float
    forecast: float
    wanted_total: int
    wanted_after_loss: int
    wanted_steady: int
    wanted_cheap: int
    domains: tuple[str, ...]


class Mix(typing.NamedTuple):
    """How many upstreams of each kind to have."""

    steady: int
    cheap: int


def choose_mix(
    total: int, after_loss: int, domains: int, steady: Kind, cheap: Kind | None
) -> Mix:
    """Return the cheapest mix that survives the loss of a failure domain.

    The cheap kind is spread evenly over the domains that have it.

    >>> steady = Kind('on-demand', 1.0, 60.0, False)
    >>> cheap = Kind('spot', 0.3, 60.0, True)
    >>> choose_mix(10, 8, 3, steady, cheap)
    Mix(steady=2, cheap=9)
    >>> choose_mix(10, 8, 0, steady, cheap)
    Mix(steady=10, cheap=0)
    """
    best = Mix(total, 0)
    if cheap is None or domains == 0:
        return best
    price = cheap.price_per_window / cheap.window_s
    steady_price = steady.price_per_window / steady.window_s
    best_cost = total * steady_price
    for kept in range(math.ceil(LEAST_STEADY * after_loss), total):
        count = max(0, total - kept)
        while kept + count - math.ceil(count / domains) < after_loss:
            count += 1
            if count > 4 * total:
                break
        else:
            cost = kept * steady_price + count * price
            if cost < best_cost - 1e-9:
                best, best_cost = Mix(kept, count), cost
    return best


class _Delay:
    """The measured time from order to ready, with its spread."""

    def __init__(self) -> None:
        self.mean_s = FIRST_DELAY_S
        self.error_s = 0.0

    def add(self, delay_s: float) -> None:
        error_s = abs(delay_s - self.mean_s)
        self.mean_s += NEWEST * (delay_s - self.mean_s)
        self.error_s += NEWEST * (error_s - self.error_s)

    @property
    def safe_s(self) -> float:
        return self.mean_s + DELAY_ERRORS * self.error_s


class Planner:
    """Forecast demand and plan the fleet for when orders arrive.

    Demand is in upstreams: what one upstream can do is 1.
    """

    def __init__(
        self, steady: Kind, cheap: Kind | None, domains: tuple[str, ...]
    ) -> None:
        self._steady = steady
        self._cheap = cheap
        self._domains = domains
        self._level: float | None = None
        self._trend = 0.0
        self._at_s = 0.0
        self._forecasts: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._delays = {steady.name: _Delay()}
        if cheap is not None:
            self._delays[cheap.name] = _Delay()
        self._unavailable: dict[tuple[str, str], float] = {}
        self._refusals: dict[tuple[str, str], int] = {}
        self._settled_s: dict[str, float] = {}

    def observe(self, now_s: float, demand: float) -> None:
        """Take the demand measured since the last call."""
        if self._level is None:
            self._level, self._at_s = demand, now_s
        passed_s = max(1e-9, now_s - self._at_s)
        self._at_s = now_s
        before = self._level
        kept = 0.5 ** (passed_s / LEVEL_HALF_LIFE_S)
        ahead = self._level + self._trend * passed_s
        self._level = kept * ahead + (1.0 - kept) * demand
        kept = 0.5 ** (passed_s / TREND_HALF_LIFE_S)
        slope = (self._level - before) / passed_s
        self._trend = kept * self._trend + (1.0 - kept) * slope

    def arrived(self, kind: str, failure_domain: str, delay_s: float) -> None:
        """Take how long an order of a kind took until it was ready."""
        self._delays[kind].add(delay_s)
        self._refusals.pop((kind, failure_domain), None)

    def refused(self, kind: str, failure_domain: str, now_s: float) -> None:
        """Note that the platform has no upstream of a kind in a domain."""
        key = (kind, failure_domain)
        if self._unavailable.get(key, 0.0) > now_s:
            return
        times = self._refusals.get(key, 0)
        self._refusals[key] = times + 1
        wait_s = min(UNAVAILABLE_S * 2.0**times, LONGEST_UNAVAILABLE_S)
        self._unavailable[key] = now_s + wait_s

    def lost(self, failure_domain: str, now_s: float) -> None:
        """Note that the cheap kind was reclaimed in a domain."""
        for kind in (self._steady, self._cheap):
            if kind is not None:
                self._settled_s[kind.name] = now_s + SETTLE_S
        if self._cheap is not None:
            self.refused(self._cheap.name, failure_domain, now_s)

    def _open(self, kind: Kind | None, now_s: float) -> tuple[str, ...]:
        if kind is None:
            return ()
        return tuple(
            domain
            for domain in self._domains
            if self._unavailable.get((kind.name, domain), 0.0) <= now_s
        )

    def _forecast(self) -> tuple[float, float]:
        """Return the horizon and the demand expected at its end or now."""
        horizon_s = max(delay.safe_s for delay in self._delays.values())
        level = self._level or 0.0
        ahead = level + max(0.0, self._trend) * horizon_s
        return horizon_s, ahead

    def plan(self, now_s: float, fleet: typing.Iterable[Upstream]) -> Plan:
        """Return the orders that lead from the fleet to what is wanted."""
        fleet = list(fleet)
        horizon_s, forecast = self._forecast()
        total, after_loss = _needed(forecast)
        domains = self._open(self._cheap, now_s)
        mix = choose_mix(
            total, after_loss, len(domains), self._steady, self._cheap
        )
        orders = self._starts(mix, fleet, domains, now_s)
        for order in orders:
            settled_s = self._settled_s.get(order.kind, 0.0)
            self._settled_s[order.kind] = max(settled_s, now_s + SETTLE_S)
        orders += self._stops(fleet, now_s, len(domains), forecast)
        return Plan(
            tuple(orders),
            self._level or 0.0,
            self._trend,
            horizon_s,
            forecast,
            total,
            after_loss,
            mix.steady,
            mix.cheap,
            domains,
        )

    def _starts(
        self,
        mix: Mix,
        fleet: list[Upstream],
        domains: tuple[str, ...],
        now_s: float,
    ) -> list[Order]:
        orders: list[Order] = []
        counts = _count(fleet)
        if self._cheap is not None and domains:
            name = self._cheap.name
            have = sum(counts[(name, domain)] for domain in domains)
            for _ in range(max(0, mix.cheap - have)):
                orders.append(_start(name, domains, counts, 'cheap-share'))
        steady = self._steady.name
        open_domains = self._open(self._steady, now_s) or self._domains
        have = sum(n for (kind, _), n in counts.items() if kind == steady)
        for _ in range(max(0, mix.steady - have)):
            orders.append(_start(steady, open_domains, counts, 'forecast'))
        return orders

    def _stops(
        self,
        fleet: list[Upstream],
        now_s: float,
        domains: int,
        forecast: float,
    ) -> list[Order]:
        """Stop what is too much, each at the end of what is paid for.

        Too much is what no forecast of the last minutes wanted: a demand
        that swings would else be followed down each time.
        """
        self._forecasts.append((now_s, forecast))
        while self._forecasts[0][0] < now_s - PEAK_KEPT_S:
            self._forecasts.popleft()
        needed = _needed(max(most for _, most in self._forecasts))
        mix = choose_mix(*needed, domains, self._steady, self._cheap)
        orders = []
        ready = [item for item in fleet if item.state == 'ready']
        wanted = {self._steady.name: (self._steady, mix.steady)}
        if self._cheap is not None:
            wanted[self._cheap.name] = (self._cheap, mix.cheap)
        for name, (kind, count) in wanted.items():
            if now_s < self._settled_s.get(name, 0.0):
                continue
            extra = sum(item.kind == name for item in fleet) - count
            for item in self._ending(kind, ready, now_s)[: max(0, extra)]:
                left = [other for other in ready if other != item]
                # What was ordered may never come: only ready ones count.
                if self._safe(left, needed):
                    ready = left
                    orders.append(_stop(item))
        return orders

    def _ending(
        self, kind: Kind, ready: list[Upstream], now_s: float
    ) -> list[Upstream]:
        """Return those whose window ends, from the fullest domain first."""
        counts = _count(ready)
        ending = [
            item
            for item in ready
            if item.kind == kind.name and _window_ends(item, kind, now_s)
        ]
        ending.sort(key=lambda item: -counts[(kind.name, item.failure_domain)])
        return ending

    def _safe(self, ready: list[Upstream], needed: tuple[int, int]) -> bool:
        total, after_loss = needed
        lost = 0
        if self._cheap is not None:
            counts = _count(ready)
            lost = max(
                counts[(self._cheap.name, domain)] for domain in self._domains
            )
        return len(ready) >= total and len(ready) - lost >= after_loss


def _needed(forecast: float) -> tuple[int, int]:
    """Return how many to have, and how many right after a loss."""
    total = max(1, math.ceil(forecast / TARGET_USE))
    return total, max(1, math.ceil(forecast / MOST_USE))


def _count(fleet: list[Upstream]) -> collections.Counter[tuple[str, str]]:
    return collections.Counter(
        (item.kind, item.failure_domain) for item in fleet
    )


def _start(
    kind: str,
    domains: tuple[str, ...],
    counts: collections.Counter[tuple[str, str]],
    reason: str,
) -> Order:
    domain = min(domains, key=lambda name: (counts[(kind, name)], name))
    counts[(kind, domain)] += 1
    return Order('start', kind, domain, '', reason)


def _stop(item: Upstream) -> Order:
    return Order(
        'stop', item.kind, item.failure_domain, item.name, 'window-ends'
    )


def _window_ends(item: Upstream, kind: Kind, now_s: float) -> bool:
    used_s = (now_s - item.billed_from_s) % kind.window_s
    return used_s >= kind.window_s - RELEASE_LEAD_S


def make_planner(
    steady: Kind, cheap: Kind | None, domains: tuple[str, ...]
) -> Planner:
    """Return a planner; cheap is None to use the steady kind only."""
    return Planner(steady, cheap, domains)
