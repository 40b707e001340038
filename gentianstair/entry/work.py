"""Describe one request to the decisions that admit, queue and route it."""

import typing

# Tokens in one piece of an engine's prefix cache.
BLOCK_TOKENS = 64


class Work(typing.NamedTuple):
    """What the decisions know of one request.

    ``deadline_s`` is on the node's own clock, as all times of decisions.
    ``block_hashes`` name the whole blocks of the prompt from its start, each
    hash covering all before it, salted with the customer unless the bundle
    shares prefixes. ``priority`` is higher for more urgent work.
    """

    request_id: str
    customer: str
    model: str
    prompt_tokens: int
    max_tokens: int
    deadline_s: float
    priority: int = 0
    block_hashes: tuple[int, ...] = ()
    repeatable: bool = True


class CostWeights(typing.NamedTuple):
    """What a token costs an engine, in units of one prompt token."""

    prompt_token: float = 1.0
    output_token: float = 4.0


DEFAULT_WEIGHTS = CostWeights()


def cost(work: Work, weights: CostWeights = DEFAULT_WEIGHTS) -> float:
    """Return the work's expected cost in prompt-token units.

    >>> cost(Work('r', 'c', 'm', 100, 10, 1.0))
    140.0
    """
    return (
        work.prompt_tokens * weights.prompt_token
        + work.max_tokens * weights.output_token
    )
