"""State what an engine's work costs; every figure with its source."""

import typing


class Costs(typing.NamedTuple):
    """Cost figures of one engine.

    They describe an 8-billion-parameter model in 16 bits on one accelerator
    with 312 TFLOP/s and 1.5 TB/s (data sheet values of a common 80 GB card).
    Assumptions are marked so; nothing here was measured on an accelerator.
    """

    # Reading the weights once a step: 16 GB / 1.5 TB/s = 10.7 ms, and about
    # 1.3 ms to schedule and launch (assumption).
    step_s: float = 0.012
    # Sampling and the projections of one more sequence in a step: assumption,
    # small beside the weights that all sequences share.
    decode_token_s: float = 0.0001
    # Reading the cache of one token of context in a step:
    # kv_token_bytes / 1.5 TB/s = 0.087 us.
    context_token_s: float = 0.000000087
    # 2 x 8e9 FLOP a token at half of 312 TFLOP/s = 0.103 ms.
    prefill_token_s: float = 0.000103
    # Most prompt tokens one step takes, by role. Mixed and decode engines
    # trade prefill speed for short steps; 512 is a usual chunk size
    # (assumption: the others follow from the role's purpose).
    mixed_chunk_tokens: int = 512
    prefill_chunk_tokens: int = 2048
    decode_chunk_tokens: int = 64
    # 32 layers x 8 heads x 128 wide x key and value x 2 bytes.
    kv_token_bytes: int = 131072
    # 100 Gbit/s network at 80 % (assumption).
    kv_bytes_per_s: float = 10e9
    # Agreeing on a transfer between two engines (assumption).
    kv_setup_s: float = 0.004
    # The brief: capacity in pieces of about two thousand.
    blocks: int = 2000
    # Usual size of one piece; gentianstair.entry.work.BLOCK_TOKENS.
    block_tokens: int = 64
    # Sequences in one batch, and requests that may wait (assumptions).
    max_running: int = 64
    max_waiting: int = 256
    # The brief: a role change takes an engine away for seconds.
    role_change_s: float = 4.0
    # 16 GB from a weight store limited to 2 GB/s a replica (assumption).
    model_load_s: float = 8.0
    adapter_load_s: float = 0.5


DEFAULT = Costs()


def chunk_tokens(costs: Costs, role: str) -> int:
    """Return the most prompt tokens a step takes in a role.

    >>> chunk_tokens(DEFAULT, 'mixed')
    512
    """
    chunks = {
        'mixed': costs.mixed_chunk_tokens,
        'prefill': costs.prefill_chunk_tokens,
        'decode': costs.decode_chunk_tokens,
    }
    return chunks[role]


def step_s(
    costs: Costs, prompt_tokens: int, sequences: int, context_tokens: int
) -> float:
    """Return how long a step takes.

    Prefill in a step delays the output of every sequence in it: that is the
    interference between the two kinds of work.

    >>> round(step_s(DEFAULT, 0, 10, 10000), 5)
    0.01387
    >>> round(step_s(DEFAULT, 512, 10, 10000), 5)
    0.06661
    """
    return (
        costs.step_s
        + sequences * costs.decode_token_s
        + context_tokens * costs.context_token_s
        + prompt_tokens * costs.prefill_token_s
    )


def transfer_s(costs: Costs, blocks: int) -> float:
    """Return how long it takes to move blocks to another engine.

    >>> round(transfer_s(DEFAULT, 64), 4)
    0.0577
    """
    size_bytes = blocks * costs.block_tokens * costs.kv_token_bytes
    return costs.kv_setup_s + size_bytes / costs.kv_bytes_per_s
