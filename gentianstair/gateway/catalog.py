"""Define the operator's configuration: routes, services, customers."""

import enum
import typing

import xxhash

from gentianstair.limits import rate_limit


class CallKind(enum.Enum):
    """Whether and how a route's requests may be retried."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at most once'
    STREAM = 'stream'


class Route(typing.NamedTuple):
    """A route of the requests with a host and a path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    # The deadline of a request, from its arrival.
    timeout_s: float
    # The latency objective: to the response, or to a stream's first event.
    objective_s: float
    # The latency objective between two events of a stream.
    max_pause_s: float
    # 0 is the most urgent.
    priority: int
    # Services and their weights.
    targets: tuple[tuple[str, float], ...]
    max_attempts: int
    # Whether requests need no key.
    public: bool
    # Whether requests carry prompts with shared prefixes.
    carries_prompts: bool
    # Whether streams may be resumed at another replica.
    resumable: bool

    @property
    def retryable(self) -> bool:
        """Return whether a request that may have run may be retried."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT


class Engine(typing.NamedTuple):
    """The properties that all model replicas of a service share."""

    # Streams that a replica runs at the same time.
    slots: int
    # Capacity of the KV cache.
    kv_tokens: int
    kv_token_bytes: int
    link_mbps: float
    models: tuple[str, ...]
    # Cache event calls that may wait at a replica at the same time.
    max_cache_calls: int = 12


class Scaling(typing.NamedTuple):
    """The bounds and prices of ordering replicas of a service."""

    # In each failure domain.
    min_replicas: int
    max_replicas: int
    boot_s: float
    # The price of a reclaimable replica relative to an on-demand one.
    reclaimable_price: float
    # The price of a replica by failure domain.
    prices: dict[str, float]


class Service(typing.NamedTuple):
    """A service that replicas offer."""

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None
    scaling: Scaling | None


class Limits(typing.NamedTuple):
    """The limits of a caller's requests and connections."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Customer(typing.NamedTuple):
    """A customer; its priority, if any, overrides the route's."""

    name: str
    priority: int | None


class Catalog(typing.NamedTuple):
    """One version of the configuration, indexed for lookups.

    ``raw`` is the operator's object, for peers that can't read the store.
    """

    version: int
    # By host, the longest path prefix first.
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    # By API key.
    customers: dict[str, Customer]
    # Whether routes that are not public require a key.
    requires_keys: bool
    limits: Limits
    raw: dict[str, typing.Any]
    # By the customer's name; without an entry it has no limit.
    rate_limits: dict[str, rate_limit.RateLimit] = {}

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of path, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def pick_service(route: Route, request_id: str) -> str:
    """Return the service of a request by the weights of its route.

    It depends only on the request's id, so that a repeated lookup gives the
    same service. It is empty for a route without services.
    """
    if not route.targets:
        return ''
    total = sum(weight for _, weight in route.targets)
    digest = xxhash.xxh32_intdigest(request_id.encode('latin-1', 'replace'))
    point = digest / 2**32 * total
    for service, weight in route.targets:
        point -= weight
        if point < 0:
            return service
    return route.targets[-1][0]
