"""Predict how hard a number of prefill and mixed engines would work.

A mixed engine's time is shared: with u the part that its prompt tokens and
the own cost of its sequences take, a step of fixed cost s stretches to
s / (1 - u), and that is the time between tokens. A prefill engine takes
prompts until its queue would grow; mixed engines read the rest. Strain is
told against targets: 1 means one is just met.
"""

import typing

from gentianstair.control import demand as demands


class Rates(typing.NamedTuple):
    """What engines are expected to do, and the targets to hold."""

    step_s: float = 0.012
    prompt_token_s: float = 0.000103
    # Own cost of a sequence in a step, and of a token of its context.
    sequence_s: float = 0.0001
    context_token_s: float = 0.000000087
    prefill_chunk_tokens: int = 2048
    kv_tokens: int = 128000
    # Time between tokens that is to be held on average.
    token_target_s: float = 0.028
    # Part of a prefill engine's time past which queues grow too long.
    prefill_busy: float = 0.75
    kv_busy: float = 0.9
    # Engine time of an output token with its part of the fixed step cost, at
    # a usual batch of 30 sequences.
    output_token_s: float = 0.0005


DEFAULT = Rates()


class Plan(typing.NamedTuple):
    """Numbers of engines by role."""

    prefill: int
    mixed: int


class Strain(typing.NamedTuple):
    """Strain of a plan's mixed engines: their steps and KV memory.

    Prefill engines show in what they leave for mixed ones to read.
    """

    step: float
    kv: float

    @property
    def worst(self) -> float:
        """Return the greater of the two."""
        return max(self)


IMPOSSIBLE = Strain(10.0, 10.0)


def prefill_tokens_per_s(rates: Rates) -> float:
    """Return the prompt tokens that a prefill engine reads at most.

    >>> round(prefill_tokens_per_s(DEFAULT))
    9186
    """
    chunk = rates.prefill_chunk_tokens
    return chunk / (rates.step_s + chunk * rates.prompt_token_s)


def output_busy(rates: Rates, demand: demands.Demand) -> float:
    """Return the engine seconds a second that sequences' own cost takes."""
    token_s = rates.sequence_s
    token_s += demand.context_tokens * rates.context_token_s
    return demand.output_tokens_per_s * token_s


def strain(rates: Rates, demand: demands.Demand, plan: Plan) -> Strain:
    """Return how hard a plan would work.

    >>> light = demands.Demand(5000.0, 1000.0, 1000.0)
    >>> strain(DEFAULT, light, Plan(0, 5)).worst < 0.5
    True
    """
    if plan.mixed < 1:
        return IMPOSSIBLE
    limit = plan.prefill * prefill_tokens_per_s(rates) * rates.prefill_busy
    read = min(demand.prompt_tokens_per_s, limit)
    rest = demand.prompt_tokens_per_s - read
    busy = output_busy(rates, demand) + rest * rates.prompt_token_s
    busy /= plan.mixed
    allowed = 1.0 - rates.step_s / rates.token_target_s
    step_s = rates.step_s / max(1.0 - busy, 0.05)
    # By Little's law so many tokens of context are held at once.
    held = demand.output_tokens_per_s * step_s * demand.context_tokens
    room = plan.mixed * rates.kv_tokens * rates.kv_busy
    return Strain(busy / allowed, held / room)


def shifted(
    rates: Rates, demand: demands.Demand, points: float
) -> demands.Demand:
    """Return as much work with another share of it in prompts.

    >>> now = demands.Demand(2000.0, 1600.0, 500.0)
    >>> then = shifted(DEFAULT, now, 0.3)
    >>> then.prompt_tokens_per_s > 2000.0 > 1600.0 > then.output_tokens_per_s
    True
    """
    prompt = demand.prompt_tokens_per_s * rates.prompt_token_s
    output = demand.output_tokens_per_s * rates.output_token_s
    total = prompt + output
    if not total:
        return demand
    share = min(max(prompt / total + points, 0.05), 0.95)
    return demands.Demand(
        total * share / rates.prompt_token_s,
        total * (1.0 - share) / rates.output_token_s,
        demand.context_tokens,
    )


def best(
    rates: Rates, demand: demands.Demand, engines: int
) -> tuple[Plan, Strain]:
    """Return the plan that works least hard, with fewest prefill engines."""
    plans = [Plan(count, engines - count) for count in range(engines)]
    found = [(plan, strain(rates, demand, plan)) for plan in plans]
    return min(found, key=lambda item: round(item[1].worst, 2))
