"""Predict how hard a number of prefill and mixed engines would work.

A mixed engine's time is shared: with u the part that its prompt tokens and
the own cost of its sequences take, a step of fixed cost s stretches to
s / (1 - u), and that is the time between tokens. A prefill engine only
queues. Both are told as strain: 1 means the target is just met.
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


DEFAULT = Rates()


class Plan(typing.NamedTuple):
    """Numbers of engines by role."""

    prefill: int
    mixed: int


class Strain(typing.NamedTuple):
    """Strain of a plan's prefill engines, steps and KV memory."""

    prefill: float
    step: float
    kv: float

    @property
    def worst(self) -> float:
        """Return the greatest of the three."""
        return max(self)


IMPOSSIBLE = Strain(10.0, 10.0, 10.0)


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
    prefill = read / limit if limit else 0.0
    # Prefill engines that are full are no fault while mixed ones have room.
    if rest == 0.0:
        prefill *= 0.9
    else:
        prefill = min(busy / allowed, 1.0)
    return Strain(prefill, busy / allowed, held / room)


def best(
    rates: Rates, demand: demands.Demand, engines: int
) -> tuple[Plan, Strain]:
    """Return the plan that works least hard, with fewest prefill engines."""
    plans = [Plan(count, engines - count) for count in range(engines)]
    found = [(plan, strain(rates, demand, plan)) for plan in plans]
    return min(found, key=lambda item: round(item[1].worst, 2))
