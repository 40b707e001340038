"""Measure processor time per routing decision as replicas grow."""

import argparse
import json
import random
import statistics
import time
import typing

from gentianstair.entry import routing
from gentianstair.entry import work as works

SIZES = (10, 1000, 10000)
PROMPT_BLOCKS = 64
DOCUMENTS = 200
BATCH = 200
# Requests that a router holds while it decides.
IN_FLIGHT = 100


def make_router(replicas: int, seed: int) -> routing.Router:
    """Return a router with reports of its subset, as in service."""
    chance = random.Random(f'{replicas}/{seed}')
    router = routing.make_router('vm-0', 'd0', seed)
    router.set_upstreams(
        routing.UpstreamInfo(f'engine-{index}', f'd{index % 10}')
        for index in range(replicas)
    )
    for name in router.subset('m'):
        report = {
            'age_s': 1.0,
            'running': chance.randrange(40),
            'waiting': 0,
            'waiting_prefill_tokens': chance.randrange(4000),
            'kv_used_blocks': chance.randrange(1500),
            'kv_total_blocks': 2000,
        }
        router.on_load(name, report, 0.0)
    return router


def make_work(seed: int, count: int) -> list[works.Work]:
    """Return requests that share documents."""
    chance = random.Random(seed)
    documents = [
        tuple(chance.getrandbits(64) for _ in range(PROMPT_BLOCKS))
        for _ in range(DOCUMENTS)
    ]
    return [
        works.Work(
            f'r{index}',
            'c',
            'm',
            PROMPT_BLOCKS * works.BLOCK_TOKENS + 50,
            100,
            60.0,
            block_hashes=chance.choice(documents),
        )
        for index in range(count)
    ]


class Case(typing.NamedTuple):
    """A router and the requests it holds, oldest first."""

    router: routing.Router
    held: list[tuple[routing.Choice, works.Work]]


def run_batch(case: Case, batch: list[works.Work], now_s: float) -> float:
    """Return the processor seconds of one whole decision.

    Whole: the choice and the counting of its start, first token and end.
    """
    none: frozenset[str] = frozenset()
    router = case.router
    begin_s = time.process_time()
    for work in batch:
        now_s += 0.001
        choice = router.choose(work, now_s, none)
        assert choice is not None
        router.started(choice, work, now_s)
        router.first_token(choice, work, now_s + 0.1)
        case.held.append((choice, work))
        if len(case.held) > IN_FLIGHT:
            old, done = case.held.pop(0)
            router.finished(old, done, now_s, 64, 100, False)
    return (time.process_time() - begin_s) / len(batch)


def main(argv: list[str]) -> int:
    """Time the sizes in turn, so that other load meets all alike."""
    parser = argparse.ArgumentParser(prog='bench decide')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--json', action='store_true')
    parser.add_argument('--rounds', type=int, default=40)
    args = parser.parse_args(argv)
    cases = {size: Case(make_router(size, args.seed), []) for size in SIZES}
    works_ = make_work(args.seed, args.rounds * BATCH)
    times: dict[int, list[float]] = {size: [] for size in SIZES}
    for round_ in range(args.rounds):
        batch = works_[round_ * BATCH : (round_ + 1) * BATCH]
        for size, case in cases.items():
            times[size].append(run_batch(case, batch, float(round_)))
    medians = {size: statistics.median(times[size]) for size in SIZES}
    lines: list[tuple[str, str, typing.Any, str]] = [
        ('decision_processor_time', f'{size} replicas', seconds * 1e6, 'us')
        for size, seconds in medians.items()
    ]
    ratio = max(medians.values()) / medians[SIZES[0]]
    lines.append(('slowest_over_smallest', 'ours', ratio, 'ratio'))
    lines.append(('not_run', '-', [], '-'))
    for measure, arm, value, unit in lines:
        if isinstance(value, float):
            value = round(value, 3)
        line = {'measure': measure, 'arm': arm, 'value': value, 'unit': unit}
        print(json.dumps(line))
    return 0
