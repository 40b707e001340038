"""Predict the utilization of given numbers of prefill and mixed engines.

If prompt tokens and the per-sequence cost take the share u of a mixed
engine's time, a step of base cost s takes s / (1 - u), which is the time
between tokens. Prefill engines take prompts up to a busy share, mixed engines
prefill the rest. A utilization of 1 means that a target is just met.
"""

import typing

from gentianstair.control import demand as demands


class EngineCosts(typing.NamedTuple):
    """Expected costs and capacity of an engine, and the targets to meet."""

    step_base_s: float = 0.012
    prompt_token_s: float = 0.000103
    # Cost per step of a sequence, and of each token of its context.
    sequence_step_s: float = 0.0001
    context_token_s: float = 0.000000087
    prefill_chunk_tokens: int = 2048
    kv_capacity_tokens: int = 128000
    # Greatest mean time between output tokens.
    inter_token_target_s: float = 0.028
    # Busy share of a prefill engine above which its queue grows too long.
    max_prefill_busy_share: float = 0.75
    # Share of the KV cache that may be in use.
    max_kv_share: float = 0.9
    # Engine time per output token, including its part of the base step cost
    # in a batch of 30 sequences.
    output_token_s: float = 0.0005


DEFAULT_COSTS = EngineCosts()


class RoleCounts(typing.NamedTuple):
    """Number of engines in each role."""

    prefill: int
    mixed: int


class Utilization(typing.NamedTuple):
    """Utilization of the mixed engines: time between tokens and KV cache.

    Prefill engines count by the prompts that they leave to the mixed ones.
    """

    step_time: float
    kv_memory: float

    @property
    def highest(self) -> float:
        """Return the greater of the two utilizations."""
        return max(self)


# Returned for counts without a mixed engine, which can't decode.
OVERLOADED = Utilization(10.0, 10.0)


def prefill_tokens_per_s(costs: EngineCosts) -> float:
    """Return the greatest prefill throughput of one engine.

    >>> round(prefill_tokens_per_s(DEFAULT_COSTS))
    9186
    """
    chunk = costs.prefill_chunk_tokens
    return chunk / (costs.step_base_s + chunk * costs.prompt_token_s)


def sequence_engine_time(costs: EngineCosts, demand: demands.Demand) -> float:
    """Return the engine seconds per second spent on per-sequence costs."""
    sequence_s = costs.sequence_step_s
    sequence_s += demand.context_tokens * costs.context_token_s
    return demand.output_tokens_per_s * sequence_s


def predict_utilization(
    costs: EngineCosts, demand: demands.Demand, counts: RoleCounts
) -> Utilization:
    """Return the utilization of the engines under a demand.

    >>> low = demands.Demand(5000.0, 1000.0, 1000.0)
    >>> predict_utilization(DEFAULT_COSTS, low, RoleCounts(0, 5)).highest < 0.5
    True
    """
    if counts.mixed < 1:
        return OVERLOADED
    prefill_limit = (
        counts.prefill
        * prefill_tokens_per_s(costs)
        * costs.max_prefill_busy_share
    )
    prefilled = min(demand.prompt_tokens_per_s, prefill_limit)
    remaining = demand.prompt_tokens_per_s - prefilled
    busy_share = (
        sequence_engine_time(costs, demand) + remaining * costs.prompt_token_s
    )
    busy_share /= counts.mixed
    allowed_share = 1.0 - costs.step_base_s / costs.inter_token_target_s
    step_s = costs.step_base_s / max(1.0 - busy_share, 0.05)
    # Context tokens in the KV cache, by Little's law.
    context_tokens = (
        demand.output_tokens_per_s * step_s * demand.context_tokens
    )
    kv_limit_tokens = (
        counts.mixed * costs.kv_capacity_tokens * costs.max_kv_share
    )
    return Utilization(
        busy_share / allowed_share, context_tokens / kv_limit_tokens
    )


def shift_prompt_share(
    costs: EngineCosts, demand: demands.Demand, share_change: float
) -> demands.Demand:
    """Return the same amount of work with another share of it in prompts.

    >>> before = demands.Demand(2000.0, 1600.0, 500.0)
    >>> after = shift_prompt_share(DEFAULT_COSTS, before, 0.3)
    >>> after.prompt_tokens_per_s > 2000.0 > 1600.0 > after.output_tokens_per_s
    True
    """
    prompt_s = demand.prompt_tokens_per_s * costs.prompt_token_s
    output_s = demand.output_tokens_per_s * costs.output_token_s
    total_s = prompt_s + output_s
    if not total_s:
        return demand
    share = min(max(prompt_s / total_s + share_change, 0.05), 0.95)
    return demands.Demand(
        total_s * share / costs.prompt_token_s,
        total_s * (1.0 - share) / costs.output_token_s,
        demand.context_tokens,
    )


def find_best_counts(
    costs: EngineCosts, demand: demands.Demand, engines: int
) -> tuple[RoleCounts, Utilization]:
    """Return the counts of lowest utilization, then fewest prefill engines."""
    candidates = [
        RoleCounts(prefill, engines - prefill) for prefill in range(engines)
    ]
    predictions = [
        (counts, predict_utilization(costs, demand, counts))
        for counts in candidates
    ]
    return min(predictions, key=lambda item: round(item[1].highest, 2))
