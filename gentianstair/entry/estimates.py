"""Estimate what a request would take at an upstream."""

import typing

from gentianstair.entry import prefix_index
from gentianstair.entry import upstream_load
from gentianstair.entry import upstream_state
from gentianstair.entry import work as works


class Rates(typing.NamedTuple):
    """What an engine's work is expected to cost, until observed."""

    prefill_token_s: float = 0.0001
    step_s: float = 0.012
    decode_s: float = 0.0005
    # Most prompt tokens a step takes, by role.
    mixed_chunk_tokens: int = 512
    prefill_chunk_tokens: int = 2048
    decode_chunk_tokens: int = 64
    # Way to an upstream in another failure domain and back.
    distance_s: float = 0.002
    # What a request costs in time that then fails.
    failure_s: float = 2.0
    # What running work costs others: each more sequence delays all.
    pressure_s: float = 0.006
    # Moving the KV of a prompt to another engine.
    transfer_s: float = 0.006
    transfer_token_s: float = 0.0000135
    # How much a second of another's delayed output weighs against a second
    # of this request's own wait.
    interference: float = 0.2


class Estimate(typing.NamedTuple):
    """What a request would meet at an upstream; see ``total_s``.

    ``interference_s`` is what its prompt would cost the outputs of others.
    """

    queue_s: float
    read_s: float
    pressure_s: float
    distance_s: float
    failing_s: float
    interference_s: float
    unread_tokens: int
    cached_tokens: int
    indexed_tokens: int
    slowness: float
    report_age_s: float

    @property
    def total_s(self) -> float:
        """Return the score of sending the request there, in seconds."""
        return (
            self.queue_s
            + self.read_s
            + self.pressure_s
            + self.distance_s
            + self.failing_s
            + self.interference_s
        )

    @property
    def before_decode_s(self) -> float:
        """Return the score of only reading the prompt there."""
        return self.queue_s + self.read_s + self.distance_s + self.failing_s


def _chunk_tokens(rates: Rates, role: str) -> int:
    if role == 'mixed':
        return rates.mixed_chunk_tokens
    if role == 'prefill':
        return rates.prefill_chunk_tokens
    return rates.decode_chunk_tokens


def _pressure_s(
    rates: Rates,
    state: upstream_state.UpstreamState,
    load: upstream_load.Estimate,
    max_tokens: int,
) -> float:
    pressure_s = load.requests * rates.pressure_s * state.slowness
    slots = min(load.slots, state.info.concurrent)
    over = load.requests + 1 - slots
    if over > 0:
        # Its turn comes when sequences end: tokens left, shared out.
        step_s = rates.step_s + load.requests * rates.decode_s
        pressure_s += over * max_tokens * step_s / slots
    return pressure_s


def estimate(
    rates: Rates,
    state: upstream_state.UpstreamState,
    work: works.Work,
    indexed_tokens: int,
    far: bool,
    now_s: float,
) -> Estimate:
    """Return what a request would meet at an upstream."""
    load = state.load.estimate(now_s)
    cached = int(indexed_tokens * state.index_accuracy)
    unread = max(work.prompt_tokens - cached, 1)
    # A step reads one chunk and serves all sequences besides.
    step_s = rates.step_s + load.requests * rates.decode_s
    chunk = _chunk_tokens(rates, state.info.role)
    token_s = (rates.prefill_token_s + step_s / chunk) * state.slowness
    # As many tries fail before one succeeds. A fixed cost would be less
    # than the queue of a busy upstream, and all would go to a dead one.
    failing = state.failure_rate(now_s)
    delayed_s = unread * rates.prefill_token_s * load.requests
    return Estimate(
        load.prefill_tokens * token_s,
        unread * token_s,
        _pressure_s(rates, state, load, work.max_tokens),
        rates.distance_s if far else 0.0,
        rates.failure_s * failing / (1.0 - failing + 0.01),
        delayed_s * rates.interference,
        unread,
        cached,
        indexed_tokens,
        state.slowness,
        load.report_age_s,
    )


def transfer_s(rates: Rates, tokens: int) -> float:
    """Return how long the KV of so many tokens takes to another engine."""
    return rates.transfer_s + tokens * rates.transfer_token_s


def indexed_tokens(
    index: prefix_index.PrefixIndex,
    samples: prefix_index.SampledHashes,
    name: str,
) -> int:
    """Return the tokens of a prompt that the index expects cached."""
    if not samples.hashes:
        return 0
    depth = index.cached_depth(samples.hashes, name)
    return samples.covered_blocks(depth) * works.BLOCK_TOKENS
