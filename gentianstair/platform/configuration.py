"""Decode the operator's configuration object."""

import math
import typing

import loguru
import msgspec

from gentianstair import errors
from gentianstair.gateway import catalog
from gentianstair.generated import events
from gentianstair.limits import rate_limit

# The kind and name of the configuration object in the store.
KIND = 'config'
NAME = 'main'
LOWEST_PRIORITY = 9

_KINDS = {
    'idempotent': catalog.CallKind.IDEMPOTENT,
    'non_idempotent': catalog.CallKind.AT_MOST_ONCE,
    'streaming': catalog.CallKind.STREAM,
}


_REQUEST_UNIT = 'request'
_TOKEN_UNIT = 'token_stream'


class _Target(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    target_gap_ms: float = 0.0
    priority: int = LOWEST_PRIORITY
    service: str | None = None
    traffic_split: list[_Target] | None = None
    max_attempts: int = 1
    # Requests need no API key.
    public: bool = False
    # Requests carry prompts with shared prefixes.
    sticky: bool = False
    resumable: bool = False


class _Model(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct):
    slots: int
    kv_capacity_tokens: int
    kv_token_bytes: int
    link_mbps: float = 100000.0
    models: list[_Model] = []
    # Cache event calls that may wait at a replica at the same time.
    most: int = 12


class _Scaling(msgspec.Struct):
    min: int
    max: int
    boot_s: float
    spot_price: float = 1.0
    zone_prices: dict[str, float] = {}


class _Service(msgspec.Struct):
    name: str
    health_path: str = '/health'
    max_connections: int = 64
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    # What rate and burst count: requests, or tokens.
    unit: str | None = None
    # Tokens of a request that does not state them.
    plain_tokens: int | None = None
    # Neither, or 0, is no limit.
    rate_per_s: float | None = None
    burst: float | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


def _decode_route(raw: _Route) -> catalog.Route:
    targets = tuple((t.service, t.weight) for t in raw.traffic_split or ())
    if raw.service is not None:
        targets = ((raw.service, 1.0),)
    return catalog.Route(
        name=raw.name,
        host=raw.host,
        path_prefix=raw.path_prefix,
        kind=_KINDS.get(raw.type, catalog.CallKind.AT_MOST_ONCE),
        timeout_s=raw.timeout_ms / 1000,
        objective_s=raw.target_latency_ms / 1000,
        max_pause_s=raw.target_gap_ms / 1000,
        priority=raw.priority,
        targets=targets,
        max_attempts=max(1, raw.max_attempts),
        public=raw.public,
        carries_prompts=raw.sticky,
        resumable=raw.resumable,
    )


def _decode_engine(raw: _Engine) -> catalog.Engine:
    return catalog.Engine(
        slots=raw.slots,
        kv_tokens=raw.kv_capacity_tokens,
        kv_token_bytes=raw.kv_token_bytes,
        link_mbps=raw.link_mbps,
        models=tuple(model.name for model in raw.models),
        max_cache_calls=raw.most,
    )


def _decode_service(raw: _Service) -> catalog.Service:
    scaling = raw.scaling
    return catalog.Service(
        name=raw.name,
        health_path=raw.health_path,
        max_connections=raw.max_connections,
        engine=_decode_engine(raw.engine) if raw.engine else None,
        scaling=catalog.Scaling(
            scaling.min,
            scaling.max,
            scaling.boot_s,
            scaling.spot_price,
            scaling.zone_prices,
        )
        if scaling
        else None,
    )


def _decode_routes(
    routes: list[_Route],
) -> dict[str, tuple[catalog.Route, ...]]:
    by_host: dict[str, list[catalog.Route]] = {}
    for raw in routes:
        by_host.setdefault(raw.host.lower(), []).append(_decode_route(raw))
    for found in by_host.values():
        found.sort(key=lambda route: -len(route.path_prefix))
    return {host: tuple(found) for host, found in by_host.items()}


def _decode_rate_limit(raw: _Tenant) -> rate_limit.RateLimit | None:
    """Return a customer's limit, or None if it has none.

    Raise DecodeError for one that can't be kept: the version before stays in
    force then, with its limit.
    """
    rate_per_s, burst = raw.rate_per_s or 0.0, raw.burst or 0.0
    default_tokens = 1 if raw.plain_tokens is None else raw.plain_tokens
    for number in (rate_per_s, burst, default_tokens):
        if not (math.isfinite(number) and number >= 0):
            raise errors.DecodeError(f'limit of {raw.name}: {number}')
    if rate_per_s == 0:
        return None
    if raw.unit not in (None, _REQUEST_UNIT, _TOKEN_UNIT):
        loguru.logger.bind(
            event=events.CONFIG_UNREADABLE, customer=raw.name
        ).error('unit {} of a limit is not known: counting requests', raw.unit)
    return rate_limit.RateLimit(
        rate_per_s, burst, raw.unit == _TOKEN_UNIT, default_tokens
    )


def _decode_rate_limits(
    tenants: list[_Tenant],
) -> dict[str, rate_limit.RateLimit]:
    limits = {tenant.name: _decode_rate_limit(tenant) for tenant in tenants}
    return {name: limit for name, limit in limits.items() if limit}


def decode(spec: typing.Any) -> catalog.Catalog:
    """Return the catalog that a configuration object describes.

    Raise DecodeError if its content is not valid.
    """
    try:
        raw = msgspec.convert(spec, _Config)
    except (msgspec.ValidationError, TypeError) as error:
        raise errors.DecodeError(f'configuration: {error}') from error
    limits = raw.limits
    customers = {
        key: catalog.Customer(tenant.name, tenant.priority)
        for tenant in raw.tenants or ()
        for key in tenant.api_keys
    }
    return catalog.Catalog(
        version=raw.version,
        routes=_decode_routes(raw.routes),
        services={s.name: _decode_service(s) for s in raw.services},
        customers=customers,
        requires_keys=raw.tenants is not None,
        limits=catalog.Limits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
        raw=spec,
        rate_limits=_decode_rate_limits(raw.tenants or []),
    )
