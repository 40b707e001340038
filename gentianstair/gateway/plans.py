"""Describe the replicas that serve a prompt, and the places compared."""

import typing

from gentianstair.gateway import calls
from gentianstair.gateway import catalog
from gentianstair.gateway import prefix_homes
from gentianstair.gateway import replicas


class KvCopy(typing.NamedTuple):
    """A copy of cached prompt parts from one replica to another."""

    # The source, or None if nothing is copied.
    address: str | None
    tokens: int
    duration_s: float


NO_KV_COPY = KvCopy(None, 0, 0.0)


class Plan(typing.NamedTuple):
    """The replicas that serve a prompt, and the expected times."""

    decode_replica: replicas.Replica
    # None if the decode replica runs the prefill itself.
    prefill_replica: replicas.Replica | None
    # Tokens left to compute after the copy.
    uncached_tokens: int
    # To the replica that runs the prefill.
    copy: KvCopy
    # Work queued at the prefill's replica ahead of it.
    queued_s: float
    # How long the prefill occupies its replica.
    work_s: float
    # How much longer the prefill takes if no part is cached or copied.
    miss_penalty_s: float
    # Time from now to the end of the prefill.
    prefill_end_s: float
    # Time from now to the first event of the stream.
    first_event_s: float


class Candidate(typing.NamedTuple):
    """A place for a prefill; Plan describes the fields that both have."""

    replica: replicas.Replica
    uncached_tokens: int
    copy: KvCopy
    queued_s: float
    work_s: float
    miss_penalty_s: float
    prefill_end_s: float
    # Cost of sending the request body there.
    network_cost_s: float
    # How much sooner the prefill is expected to end because another VM has
    # the shared part computed there.
    expected_saving_s: float

    @property
    def cost_s(self) -> float:
        """Return the cost by which the places for a prefill compare."""
        return (
            self.prefill_end_s + self.network_cost_s - self.expected_saving_s
        )


class StreamRequest(typing.NamedTuple):
    """The request that replicas are compared for."""

    engine: catalog.Engine
    prompt: calls.Prompt
    body_bytes: int
    # In each failure domain the replica that holds most of the prompt, with
    # the number of tokens it lacks.
    copy_sources: list[tuple[replicas.Replica, int]]
    homes: prefix_homes.Homes


def make_plan(
    decode: Candidate, prefill: Candidate, transfer_duration_s: float
) -> Plan:
    """Return the plan with these replicas; both may be the same."""
    return Plan(
        decode.replica,
        None if decode is prefill else prefill.replica,
        prefill.uncached_tokens,
        prefill.copy,
        prefill.queued_s,
        prefill.work_s,
        prefill.miss_penalty_s,
        prefill.prefill_end_s,
        prefill.prefill_end_s + transfer_duration_s,
    )
