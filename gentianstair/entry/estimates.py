"""Estimate what serving a request at an upstream would cost in time."""

import typing

from gentianstair.entry import prefix_index
from gentianstair.entry import upstream_load
from gentianstair.entry import upstream_state
from gentianstair.entry import work as works


class CostModel(typing.NamedTuple):
    """The times that an engine of normal speed is expected to take.

    A step of the engine takes ``base_step_s``, ``sequence_step_s`` for each
    running sequence and ``prefill_token_s`` for each prompt token in it.
    """

    prefill_token_s: float = 0.0001
    base_step_s: float = 0.012
    sequence_step_s: float = 0.0005
    # Largest prefill chunk in one step, by role.
    mixed_chunk_tokens: int = 512
    prefill_chunk_tokens: int = 2048
    decode_chunk_tokens: int = 64
    # Round trip to an upstream in another failure domain.
    cross_domain_s: float = 0.002
    # Time lost on an attempt that fails.
    failed_attempt_s: float = 2.0
    # Delay of a new request for each sequence that already runs.
    sequence_delay_s: float = 0.006
    # Transfer of a prompt's KV cache to another engine: fixed part and part
    # for each token.
    kv_transfer_s: float = 0.006
    kv_transfer_token_s: float = 0.0000135
    # Weight of a second by which other requests are delayed, against a
    # second that this request waits.
    interference_weight: float = 0.2


class Estimate(typing.NamedTuple):
    """What a request would take at an upstream; see ``total_s``."""

    # Prefill of the prompts that are queued there already.
    queue_s: float
    # Prefill of the request's own prompt.
    read_s: float
    # Delay by the sequences that run there, or that wait for KV memory.
    pressure_s: float
    # Round trip, if the upstream is in another failure domain.
    distance_s: float
    # Expected loss by attempts that fail.
    failing_s: float
    # Weighted delay of other requests' output by this prefill.
    interference_s: float
    # Prompt tokens to prefill: those not in ``cached_tokens``.
    unread_tokens: int
    # Prompt tokens expected in the cache, by how accurate the index was.
    cached_tokens: int
    # Prompt tokens that the index holds as cached.
    indexed_tokens: int
    # Observed time to first token over the expected one.
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
        """Return the score of running only the prefill there."""
        return self.queue_s + self.read_s + self.distance_s + self.failing_s


def _chunk_tokens(costs: CostModel, role: str) -> int:
    if role == 'mixed':
        return costs.mixed_chunk_tokens
    if role == 'prefill':
        return costs.prefill_chunk_tokens
    return costs.decode_chunk_tokens


def _pressure_s(
    costs: CostModel,
    state: upstream_state.UpstreamState,
    load: upstream_load.Estimate,
    max_tokens: int,
) -> float:
    pressure_s = load.requests * costs.sequence_delay_s * state.slowness
    slots = min(load.slots, state.info.concurrent)
    excess = load.requests + 1 - slots
    if excess > 0:
        # The request waits for running sequences to end and free a slot.
        step_s = costs.base_step_s + load.requests * costs.sequence_step_s
        pressure_s += excess * max_tokens * step_s / slots
    return pressure_s


def estimate(
    costs: CostModel,
    state: upstream_state.UpstreamState,
    work: works.Work,
    indexed_tokens: int,
    cross_domain: bool,
    now_s: float,
) -> Estimate:
    """Return what a request would take at an upstream."""
    load = state.load.estimate(now_s)
    cached = int(indexed_tokens * state.index_accuracy)
    uncached = max(work.prompt_tokens - cached, 1)
    # Each step prefills one chunk and decodes a token of every sequence.
    step_s = costs.base_step_s + load.requests * costs.sequence_step_s
    chunk = _chunk_tokens(costs, state.info.role)
    token_s = (costs.prefill_token_s + step_s / chunk) * state.slowness
    # The expected number of failures before a success is p / (1 - p). With a
    # fixed penalty, a dead upstream would score better than a busy one.
    failure_rate = state.failure_rate(now_s)
    delayed_s = uncached * costs.prefill_token_s * load.requests
    return Estimate(
        load.prefill_tokens * token_s,
        uncached * token_s,
        _pressure_s(costs, state, load, work.max_tokens),
        costs.cross_domain_s if cross_domain else 0.0,
        costs.failed_attempt_s * failure_rate / (1.0 - failure_rate + 0.01),
        delayed_s * costs.interference_weight,
        uncached,
        cached,
        indexed_tokens,
        state.slowness,
        load.report_age_s,
    )


def kv_transfer_s(costs: CostModel, tokens: int) -> float:
    """Return how long it takes to move the KV cache of a prompt."""
    return costs.kv_transfer_s + tokens * costs.kv_transfer_token_s


def indexed_tokens(
    index: prefix_index.PrefixIndex,
    samples: prefix_index.SampledHashes,
    name: str,
) -> int:
    """Return the prompt tokens that the index holds as cached there."""
    if not samples.hashes:
        return 0
    depth = index.cached_depth(samples.hashes, name)
    return samples.covered_blocks(depth) * works.BLOCK_TOKENS
