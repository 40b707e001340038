"""Make the arrivals of a mix of prompt and output work that shifts."""

import random
import typing

from gentianstair.bench import fleet
from gentianstair.entry import work as works

ENTRIES = 8
DOMAINS = ('d0', 'd1', 'd2')


class Kind(typing.NamedTuple):
    """One kind of request; tokens vary by a third around the means."""

    prompt_tokens: int
    output_tokens: int


class Phase(typing.NamedTuple):
    """A stretch with one mix; the rate is for one replica."""

    duration_s: float
    prompt_share: float
    requests_per_s: float


# Long rulebooks and catalogues with an answer, and drafts from short notes.
READING = Kind(3600, 160)
DRAFTING = Kind(300, 320)
# Processor time of a token when an engine is full: a prompt token of 0.103
# ms and its part of the step; an output token with 40 sequences a step.
PROMPT_TOKEN_S = 0.000126
OUTPUT_TOKEN_S = 0.00050
# When a draft or reading is good: the letter's 33 ms between tokens, and a
# first token within the time that the longest prompts take twice over.
FIRST_TOKEN_S = 1.5
TOKEN_S = 0.033
# A caller without a first token goes away after twice its deadline; without
# this, a backlog of lost work would decide all that follows.
GIVE_UP_S = 3.0


def engine_s(kind: Kind) -> tuple[float, float]:
    """Return the engine seconds that a request's prompt and output take."""
    return (
        kind.prompt_tokens * PROMPT_TOKEN_S,
        kind.output_tokens * OUTPUT_TOKEN_S,
    )


def reading_part(prompt_share: float) -> float:
    """Return the part of requests that read, for a share of prompt work.

    >>> round(reading_part(0.7), 2)
    0.56
    """
    read_prompt, read_output = engine_s(READING)
    draft_prompt, draft_output = engine_s(DRAFTING)
    low, high = 0.0, 1.0
    for _ in range(40):
        part = (low + high) / 2
        prompt = part * read_prompt + (1 - part) * draft_prompt
        output = part * read_output + (1 - part) * draft_output
        if prompt / (prompt + output) < prompt_share:
            low = part
        else:
            high = part
    return (low + high) / 2


def requests_per_s(prompt_share: float, load: float) -> float:
    """Return the rate that fills a replica to a load, for a mix."""
    part = reading_part(prompt_share)
    mean_s = part * sum(engine_s(READING))
    mean_s += (1 - part) * sum(engine_s(DRAFTING))
    return load / mean_s


def make_arrivals(
    phases: typing.Sequence[Phase], replicas: int, seed: int
) -> list[fleet.Arrival]:
    """Return the same arrivals for the same seed."""
    chance = random.Random(f'shift/{seed}')
    arrivals: list[fleet.Arrival] = []
    at_s = 0.0
    end_s = 0.0
    for phase in phases:
        end_s += phase.duration_s
        part = reading_part(phase.prompt_share)
        while True:
            at_s += chance.expovariate(phase.requests_per_s * replicas)
            if at_s > end_s:
                at_s = end_s
                break
            kind = READING if chance.random() < part else DRAFTING
            arrivals.append(_arrival(chance, kind, at_s, len(arrivals)))
    return arrivals


def _arrival(
    chance: random.Random, kind: Kind, at_s: float, number: int
) -> fleet.Arrival:
    prompt = int(kind.prompt_tokens * chance.uniform(0.67, 1.33))
    output = int(kind.output_tokens * chance.uniform(0.67, 1.33))
    blocks = prompt // works.BLOCK_TOKENS
    work = works.Work(
        f'r{number}',
        f'c{chance.randrange(8)}',
        'm',
        prompt,
        output,
        at_s + 30.0,
        # Prompts of their own: caching is what the routing bench measures.
        block_hashes=tuple(chance.getrandbits(64) for _ in range(blocks)),
    )
    return fleet.Arrival(at_s, chance.randrange(ENTRIES), work)


def is_good(outcome: fleet.Outcome) -> bool:
    """Return whether a request was answered within its deadlines."""
    return (
        outcome.first_s is not None
        and outcome.first_s <= FIRST_TOKEN_S
        and outcome.token_s <= TOKEN_S
    )
