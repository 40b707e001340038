"""Define a caller's request and an attempt to run it at a replica."""

import collections.abc
import typing

import trio

from gentianstair import verdict as verdicts
from gentianstair.core import request_digest
from gentianstair.core import upstream_permits
from gentianstair.gateway import replicas
from gentianstair.upstreams import transport

Headers = list[tuple[bytes, bytes]]


class PromptPart(typing.NamedTuple):
    """A part of a prompt that other requests may share."""

    # Its hash in the ``x-prefix-hash`` header.
    name: str
    tokens: int


class Prompt(typing.NamedTuple):
    """What a caller's headers say of its prompt."""

    model: str
    tokens: int
    output_limit_tokens: int
    # In order; the last one is not shared beyond the session.
    parts: tuple[PromptPart, ...]


class Call(typing.NamedTuple):
    """One decoded request of a caller.

    ``headers`` go to a replica unchanged; they exclude hop-by-hop headers,
    the API key and headers that the gateway sets itself.
    """

    request_id: str
    method: str
    # The raw path and query.
    target: bytes
    host: str
    path: str
    headers: Headers
    api_key: str | None
    # How long the caller waits from arrival; None without a deadline header.
    timeout_s: float | None
    # The id of the last event that the caller received of a stream.
    last_event_id: str | None
    prompt: Prompt | None
    # The id of the request that brought the first event of the stream which
    # this one resumes, None if the caller names none.
    resumed_id: str | None = None
    # The parts of its prompt, in order, also where the prompt cannot be read
    # otherwise.
    part_names: tuple[str, ...] = ()
    # The model that it names, empty without one.
    model: str = ''
    # Tokens of the prompt and at most of the output; None if not stated.
    token_count: int | None = None
    # Whether the statement of tokens could not be read.
    has_bad_token_count: bool = False

    @property
    def shared_part_names(self) -> tuple[str, ...]:
        """Return the parts that others may share: all but the last."""
        return tuple(dict.fromkeys(self.part_names[:-1]))

    def digest(self, body: bytes) -> str:
        """Return the name of what is asked for with this body.

        It is the same when the caller asks again, under another id, with
        another key or for the rest of a stream.
        """
        texts = (self.method, self.host, self.model, *self.part_names)
        return request_digest.of(
            [
                body,
                self.target,
                *(text.encode('utf-8', 'surrogateescape') for text in texts),
            ]
        )


class KvSource(typing.NamedTuple):
    """Where the KV cache of a prefilled prompt is kept."""

    address: str
    handle: str


class Report(typing.NamedTuple):
    """What a replica reports of itself, not decoded."""

    status: int
    body: bytes
    # The connection that it came on.
    stream: trio.abc.Stream | None = None


class Answer(typing.NamedTuple):
    """What the headers of a replica's answer to an attempt say."""

    status: int
    # Whether the replica ran the request, by its own words.
    verdict: verdicts.Verdict
    # Whether the connection had carried another request before.
    was_kept: bool
    # Whether its body has no length, and ends with the connection.
    ends_with_connection: bool


class Attempt(typing.NamedTuple):
    """A call as it goes to one replica."""

    replica: replicas.Replica
    # Nothing is sent to a replica without one.
    permit: upstream_permits.Permit
    customer: str | None
    remaining_s: float
    body: bytes
    # The replica prefills the prompt and keeps its KV cache, without decoding.
    prefill_only: bool = False
    kv_source: KvSource | None = None
    # The address of a replica from which the prefilling one first copies the
    # cached parts of the prompt that it lacks.
    kv_copy_address: str | None = None
    last_event_id: str | None = None
    # From 0, which runs first, to 9; None leaves it to the replica.
    priority: int | None = None
    # After this time without an answer the path to the replica is checked.
    silence_s: float | None = None
    # Whether the attempt is given up when its path is found to be lost; it
    # may be repeated.
    ends_with_path: bool = False
    # Whether a kept connection may be used.
    accepts_connection: transport.Accepts = transport.accept_all
    # Asked on a new one before.
    question: transport.Question | None = None
    # Called just before the first byte is sent.
    before_send: collections.abc.Callable[[], None] | None = None
    # Called as the first byte is written; may not raise.
    record_send: collections.abc.Callable[[], None] | None = None
    # Called with the replica's own answer once its headers are there.
    record_answer: collections.abc.Callable[[Answer], None] | None = None
