"""Define one caller's request, and one sending of it to a replica."""

import typing

from gentianstair.gateway import replicas

Headers = list[tuple[bytes, bytes]]


class PromptPart(typing.NamedTuple):
    """A piece of a prompt that other requests may share."""

    name: str
    tokens: int


class Prompt(typing.NamedTuple):
    """What a caller says of its prompt."""

    model: str
    tokens: int
    output_limit_tokens: int
    # In order; the last belongs to the request itself or to its session.
    parts: tuple[PromptPart, ...]


class Call(typing.NamedTuple):
    """One request of a caller, decoded.

    ``headers`` are those that go on to a replica unchanged; what the system
    sets itself, the key and what concerns one connection are not in it.
    """

    request_id: str
    method: str
    # As it came, with the query.
    target: bytes
    host: str
    path: str
    headers: Headers
    api_key: str | None
    # How long the caller waits, from its arrival; None if it does not say.
    timeout_s: float | None
    # The last event of the stream that the caller has.
    last_event_id: str | None
    prompt: Prompt | None


class KvSource(typing.NamedTuple):
    """Where a replica finds the KV cache of a prompt already read."""

    address: str
    handle: str


class Attempt(typing.NamedTuple):
    """How a call goes to one replica."""

    replica: replicas.Replica
    customer: str | None
    remaining_s: float
    body: bytes
    # The replica is to read the prompt and keep its KV cache, no more.
    prefill_only: bool = False
    kv_source: KvSource | None = None
    # The address of a replica from whose memory the one that reads the
    # prompt first copies what it lacks itself.
    kv_copy_address: str | None = None
    last_event_id: str | None = None
    # 0 first to 9 last; None leaves it to the replica.
    priority: int | None = None
