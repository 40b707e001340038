"""Describe a request to the code that admits, queues and routes it."""

import typing

# Tokens of one block of an engine's prefix cache.
BLOCK_TOKENS = 64


class Work(typing.NamedTuple):
    """A request as admission and routing see it.

    ``deadline_s`` is on the node's clock. ``block_hashes`` has a hash for
    each full block of the prompt, computed over that block and all before
    it, and salted with the customer unless the bundle shares prefixes. A
    higher ``priority`` is more urgent.
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
    """The cost of a token by its kind, in units of one prompt token."""

    prompt_token: float = 1.0
    output_token: float = 4.0


DEFAULT_WEIGHTS = CostWeights()


def cost(work: Work, weights: CostWeights = DEFAULT_WEIGHTS) -> float:
    """Return the cost of a request that uses all of its max_tokens.

    It is in prompt-token units.

    >>> cost(Work('r', 'c', 'm', 100, 10, 1.0))
    140.0
    """
    return (
        work.prompt_tokens * weights.prompt_token
        + work.max_tokens * weights.output_token
    )
