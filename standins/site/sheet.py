"""Read a description of a site: VMs, services, kinds of request, troubles."""

import copy
import itertools
import pathlib
import tomllib
import typing

from standins.site import replica as replicas
from standins.site import site as sites

DOMAINS = 'abc'
HOST = 'judging.example'
# Of the events of a stream.
MAX_EVENTS = 12
DEFAULT_TOKENS_PER_MS = 100.0
# A replica that writes answers reads prompts at this share of the speed.
DECODER_SPEED = 0.5
DEFAULT_PROMPT_TOKENS = 100


class PromptPart(typing.NamedTuple):
    """A part of a kind's prompts: its length and how many there are."""

    tokens: int
    things: int


class Kind(typing.NamedTuple):
    """A kind of request and how often it comes, over all domains."""

    name: str
    service: str
    method: str
    is_stream: bool
    # Whether it may run more than once.
    may_repeat: bool
    deadline_s: float
    per_s: float
    route: dict[str, typing.Any]
    # Of a stream's prompt: shared parts in order, and the rest's tokens.
    shared: tuple[PromptPart, ...] = ()
    own_tokens: int = 0


class Service(typing.NamedTuple):
    """A service and how many replicas it has in each domain."""

    name: str
    is_model: bool
    replicas: tuple[int, ...]
    # How many of a model's replicas only read prompts, and how fast the
    # others do.
    readers: int
    tokens_per_s: float
    event_s: float


class Sheet(typing.NamedTuple):
    """What a description says, as far as it can be played here."""

    vms: int
    services: tuple[Service, ...]
    kinds: tuple[Kind, ...]
    # Kinds of trouble with how, as the description names them.
    troubles: tuple[tuple[str, str], ...]


def read(file: pathlib.Path) -> Sheet:
    """Return the sheet in a file."""
    told = tomllib.loads(file.read_text())
    domains = [zone['name'] for zone in told['zones']]
    per_s = _rates(told['traffic'])
    return Sheet(
        sum(machine['count'] for machine in told['machines']),
        tuple(_service(one, domains) for one in told['services']),
        tuple(_kind(one, per_s[one['name']]) for one in told['classes']),
        tuple((one['kind'], one.get('how', '')) for one in told['troubles']),
    )


def _rates(traffic: list[dict[str, typing.Any]]) -> dict[str, float]:
    """Return the requests a second of each kind."""
    found: dict[str, float] = {}
    for one in traffic:
        whole = sum(one['mix'].values())
        for name, weight in one['mix'].items():
            part_per_s = one['per_s'] * weight / whole
            found[name] = found.get(name, 0.0) + part_per_s
    return found


def _service(told: dict[str, typing.Any], domains: list[str]) -> Service:
    counts = {one['zone']: one['count'] for one in told['servers']}
    engine = told.get('llm', {})
    per_ms = engine.get('prefill_tokens_per_ms', DEFAULT_TOKENS_PER_MS)
    return Service(
        told['name'],
        told.get('model') == 'llm',
        tuple(counts.get(domain, 0) for domain in domains),
        max(1, int(engine.get('prefill', 0) * sum(counts.values()))),
        per_ms * 1000 * DECODER_SPEED,
        _event_s(engine),
    )


def _event_s(engine: dict[str, typing.Any]) -> float:
    if not engine:
        return replicas.EVENT_S
    return engine['stride'] * engine['step_ms'] / 1000


def _kind(told: dict[str, typing.Any], per_s: float) -> Kind:
    is_stream = told['kind'] == 'stream'
    resumable = is_stream and told['stream']['resume']
    may_repeat = resumable or told['kind'] == 'safe'
    kind = 'non_idempotent' if told['kind'] == 'unsafe' else 'idempotent'
    route = {
        'name': told['name'],
        'host': HOST,
        'path_prefix': f'/{told["name"]}/',
        'type': 'streaming' if is_stream else kind,
        'timeout_ms': told.get('timeout_ms', told['deadline_ms']),
        'target_latency_ms': told['aim_ms'],
        'priority': told['priority'],
        'service': told['service'],
        'max_attempts': told['attempts'],
        'public': False,
        'sticky': is_stream,
        'resumable': resumable,
    }
    if is_stream:
        route['target_gap_ms'] = told['stream']['gap_aim_ms']
    stream = told.get('stream', {})
    return Kind(
        told['name'],
        told['service'],
        told['method'],
        is_stream,
        may_repeat,
        told['deadline_ms'] / 1000,
        per_s,
        route,
        tuple(
            PromptPart(int(part['tokens']['mean']), part['things'])
            for part in stream.get('chain', ())
        ),
        int(stream.get('prompt_tokens', {}).get('mean', 0))
        or DEFAULT_PROMPT_TOKENS,
    )


def config(sheet: Sheet) -> dict[str, typing.Any]:
    """Return the first configuration of a site that the sheet describes."""
    found = copy.deepcopy(sites.CONFIG)
    model, plain = found['services']
    found['routes'] = [kind.route for kind in sheet.kinds]
    found['services'] = [
        {**(model if service.is_model else plain), 'name': service.name}
        for service in sheet.services
    ]
    return found


def make_replicas(sheet: Sheet) -> list[replicas.Replica]:
    """Return the replicas; the first of each model read prompts."""
    return [
        replica
        for service in sheet.services
        for replica in _replicas_of(service)
    ]


def _replicas_of(service: Service) -> typing.Iterator[replicas.Replica]:
    stages = itertools.chain(
        itertools.repeat('prefill', service.readers),
        itertools.repeat('decode'),
    )
    for domain, count in zip(DOMAINS, service.replicas, strict=False):
        for number in range(count):
            stage = next(stages) if service.is_model else ''
            tokens_per_s = service.tokens_per_s
            if stage == 'prefill':
                tokens_per_s /= DECODER_SPEED
            yield replicas.Replica(
                f'i-{service.name}-{domain}{number}',
                service.name,
                domain,
                stage,
                events=MAX_EVENTS,
                tokens_per_s=tokens_per_s,
                event_s=service.event_s,
            )
