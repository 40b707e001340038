"""Hold the operator's configuration: routes, services, customers, keys."""

import enum
import typing

import xxhash


class CallKind(enum.Enum):
    """Say what of a route's requests may be repeated."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at most once'
    STREAM = 'stream'


class Route(typing.NamedTuple):
    """One route; requests of its host below its prefix follow it."""

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    # The longest time that a caller may be kept waiting.
    timeout_s: float
    # The time to the answer, or to a stream's first event, that earns all.
    objective_s: float
    # The longest pause between a stream's events that is still on time.
    max_pause_s: float
    # 0 is the most urgent.
    priority: int
    # Services and their weights.
    targets: tuple[tuple[str, float], ...]
    max_attempts: int
    # Needs no key.
    public: bool
    # Carries prompts whose shared parts are worth a known replica.
    shares_prompts: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Return whether a request that may have run may run again."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT


class Engine(typing.NamedTuple):
    """What all model replicas of a service have in common."""

    slots: int
    kv_tokens: int
    kv_token_bytes: int
    link_mbps: float
    kv_hold_s: float
    stage_change_s: float
    models: tuple[str, ...]
    # Calls for changes of its cache that a replica keeps waiting.
    max_cache_calls: int = 12


class Scaling(typing.NamedTuple):
    """How many replicas of a service may be ordered in a failure domain."""

    min_replicas: int
    max_replicas: int
    boot_s: float
    # The price of a replica that may be reclaimed, over that of another.
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
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_s: float = 3.0
    idle_s: float = 15.0


class Customer(typing.NamedTuple):
    """A customer; its priority, if any, goes before a route's."""

    name: str
    priority: int | None


class Catalog(typing.NamedTuple):
    """One version of the configuration, ready for lookups.

    ``raw`` is what the operator wrote, for peers that cannot read it.
    """

    version: int
    # By host, the longest prefix first.
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    # By key.
    customers: dict[str, Customer]
    # Whether keys are asked for at all.
    requires_keys: bool
    limits: Limits
    raw: dict[str, typing.Any]

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of path, or None."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def pick_service(route: Route, request_id: str) -> str:
    """Return the service of one request by the weights of its route.

    The request's id decides, so that a request that is looked at twice
    goes to the same service. A route without a service has none: ''.
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
