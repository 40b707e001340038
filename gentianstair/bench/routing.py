"""Measure routing against its naive twins, with late load reports."""

import argparse
import json
import random
import typing

from gentianstair.bench import baselines
from gentianstair.bench import fleet
from gentianstair.entry import routing
from gentianstair.entry import work as works
from standins.engine import model

ARMS: dict[str, typing.Callable[[str, str, int], fleet.AnyRouter]] = {
    'random': lambda vm, _, seed: baselines.RandomRouter(vm, seed),
    'round_robin': lambda vm, _, seed: baselines.RoundRobinRouter(vm, seed),
    'least_loaded': lambda vm, _, seed: baselines.LeastLoadedRouter(vm, seed),
    'least_outstanding': lambda vm, _, seed: baselines.LeastOutstandingRouter(
        vm, seed
    ),
    'ours': routing.make_router,
}
DOMAINS = ('d0', 'd1', 'd2')
ENTRIES = 8
# Caches start empty; by then each common document was read once.
WARM_AFTER_S = 20.0


class Load(typing.NamedTuple):
    """What arrives: documents shared by many requests, questions on them.

    The documents together are more than the cache of one engine and less
    than that of all, which is where placing matters.
    """

    replicas: int = 5
    documents: int = 80
    document_tokens: tuple[int, int] = (2000, 6000)
    question_tokens: tuple[int, int] = (32, 256)
    output_tokens: tuple[int, int] = (32, 160)
    requests_per_s: float = 10.0
    duration_s: float = 120.0
    # Share of requests with a prompt nobody else has.
    lone_share: float = 0.1
    # So many replicas are so many times as slow as the others.
    slow_replicas: int = 0
    slow: float = 3.0


def _hashes(chance: random.Random, count: int) -> tuple[int, ...]:
    return tuple(chance.getrandbits(64) for _ in range(count))


def make_arrivals(load: Load, seed: int) -> list[fleet.Arrival]:
    """Return the same arrivals for the same seed."""
    chance = random.Random(f'routing/{seed}')
    documents = []
    for _ in range(load.documents):
        tokens = chance.randint(*load.document_tokens)
        documents.append(_hashes(chance, tokens // works.BLOCK_TOKENS))
    # Popularity falls as 1/rank.
    weights = [1.0 / rank for rank in range(1, load.documents + 1)]
    arrivals = []
    at_s = 0.0
    while True:
        at_s += chance.expovariate(load.requests_per_s)
        if at_s > load.duration_s:
            return arrivals
        (document,) = chance.choices(documents, weights)
        if chance.random() < load.lone_share:
            document = _hashes(chance, len(document))
        question = chance.randint(*load.question_tokens)
        tokens = len(document) * works.BLOCK_TOKENS + question
        own = _hashes(chance, question // works.BLOCK_TOKENS)
        work = works.Work(
            f'r{len(arrivals)}',
            f'c{chance.randrange(8)}',
            'm',
            tokens,
            chance.randint(*load.output_tokens),
            at_s + 60.0,
            block_hashes=document + own,
        )
        entry = chance.randrange(ENTRIES)
        arrivals.append(fleet.Arrival(at_s, entry, work))


async def run_arm(arm: str, load: Load, seed: int) -> fleet.Fleet:
    """Replay the arrivals of a seed with one arm's routers."""
    network = fleet.Network()
    engines = []
    infos = []
    for index in range(load.replicas):
        name = f'engine-{index}'
        options = model.Options(
            name=name,
            slow=load.slow if index < load.slow_replicas else 1.0,
            load_lag_s=network.load_lag_s,
            event_delay_s=network.event_delay_s,
            event_loss=network.event_loss,
            seed=seed,
        )
        engines.append(model.Engine(options))
        domain = DOMAINS[index % len(DOMAINS)]
        infos.append(routing.UpstreamInfo(name, domain))
    routers = []
    for index in range(ENTRIES):
        domain = DOMAINS[index % len(DOMAINS)]
        router = ARMS[arm](f'vm-{index}', domain, seed)
        router.set_upstreams(infos)
        routers.append(router)
    run = fleet.Fleet(engines, routers, network)
    await run.replay(make_arrivals(load, seed))
    return run


def measure(run: fleet.Fleet) -> dict[str, tuple[float, str]]:
    """Return the measures of a replay, with their units."""
    served = [item for item in run.outcomes if item.first_s is not None]
    first = [typing.cast(float, item.first_s) for item in served]
    warm = [
        typing.cast(float, item.first_s)
        for item in served
        if item.at_s > WARM_AFTER_S
    ]
    cached = sum(item.cached_tokens for item in served)
    prompt = sum(item.work.prompt_tokens for item in served)
    return {
        'first_token_p50': (fleet.percentile(first, 0.5), 's'),
        'first_token_p99': (fleet.percentile(first, 0.99), 's'),
        'first_token_p99_warm': (fleet.percentile(warm, 0.99), 's'),
        'cache_hits': (cached / max(prompt, 1), 'share of prompt tokens'),
        'not_served': (len(run.outcomes) - len(served), 'requests'),
    }


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='bench routing')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--json', action='store_true')
    parser.add_argument('--arms', default=','.join(ARMS))
    parser.add_argument('--replicas', type=int, default=5)
    parser.add_argument('--rate', type=float, default=10.0)
    parser.add_argument('--duration-s', type=float, default=120.0)
    parser.add_argument('--documents', type=int, default=80)
    parser.add_argument('--slow-replicas', type=int, default=0)
    return parser


def main(argv: list[str]) -> int:
    """Run the arms asked for and print a line for each measure."""
    args = _parser().parse_args(argv)
    load = Load(
        replicas=args.replicas,
        requests_per_s=args.rate,
        duration_s=args.duration_s,
        documents=args.documents,
        slow_replicas=args.slow_replicas,
    )
    for arm in args.arms.split(','):
        run = fleet.run_simulated(args.seed, run_arm, arm, load, args.seed)
        for name, (value, unit) in measure(run).items():
            line = {'measure': name, 'arm': arm, 'value': round(value, 4)}
            print(json.dumps({**line, 'unit': unit}), flush=True)
    missing = [arm for arm in ARMS if arm not in args.arms.split(',')]
    last = {'measure': 'not_run', 'arm': '-', 'value': missing, 'unit': '-'}
    print(json.dumps(last))
    return 0
