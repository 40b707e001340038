"""Have one request's prompt read apart from the replica that makes output.

A read runs nothing: its failure never means that the request may have run.
The KV cache that it leaves belongs to this request and is taken once, or
freed.
"""

import typing

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.gateway import calls
from gentianstair.gateway import catalog
from gentianstair.gateway import forward
from gentianstair.gateway import placement
from gentianstair.gateway import replicas
from gentianstair.gateway import request_state
from gentianstair.gateway import run_record
from gentianstair.platform import wire


class _Kept(typing.NamedTuple):
    """A KV cache that nobody has taken yet."""

    source: calls.KvSource
    reader: str


class PromptRead:
    """The reads of one request's prompt, and the KV cache of the last."""

    def __init__(
        self,
        request: request_state.RequestState,
        prompt: calls.Prompt,
        engine: catalog.Engine,
    ) -> None:
        self._request = request
        self._node = request.node
        self._prompt = prompt
        self._engine = engine
        self._kept: _Kept | None = None
        # Reads that reached a reader; the users count all but the first.
        self._reads = 0

    @property
    def source(self) -> calls.KvSource | None:
        """Return where the KV cache lies, None if there is none."""
        return self._kept.source if self._kept else None

    def may_read(self) -> bool:
        """Say whether to have the prompt read.

        The first read is no repeat if a replica accepts it. It may be
        refused, so while replicas refuse or fail the budget must have room
        for one more. All other reads are repeats.
        """
        repeats, service = self._node.repeats, self._request.service
        if self._reads:
            return repeats.take(service)
        return not repeats.spent(service) or repeats.left(service) >= 1

    async def read(self, plan: placement.Plan, urgency: int) -> None:
        """Have the prompt read as planned; raise UpstreamError."""
        reader = plan.reader
        assert reader is not None
        request, node = self._request, self._node
        started_s = node.clock()
        sent = node.loads.begin(
            reader.name,
            plan.work_s,
            started_s + plan.read_s,
            plan.more_s,
        )
        expected = node.cache.expect(
            reader.name, self._prompt, self._engine.kv_tokens
        )
        sending = request.make_attempt(
            reader,
            prefill_only=True,
            kv_copy_address=plan.copy.address,
            priority=urgency,
        )
        answer = None
        try:
            answer = await forward.fetch_response(node, request.call, sending)
            source = wire.decode_handle(
                reader.address, answer.status, answer.body
            )
        except errors.UpstreamError as error:
            node.cache.retract(reader.name, expected)
            failure = _failure(error, answer)
            self._failed(reader, failure, started_s)
            raise failure from error
        finally:
            node.loads.end(sent)
        self._reads += 1
        self._kept = _Kept(source, reader.name)
        took_s = node.clock() - started_s
        run_record.record_prefill(request, self._prompt, reader, plan, took_s)

    def _failed(
        self,
        reader: replicas.Replica,
        error: errors.UpstreamError,
        started_s: float,
    ) -> None:
        """Note a read that failed, and spend what its arrival costs.

        The users let the first read pass that a replica accepts. One that
        is refused is an arrival like others.
        """
        request = self._request
        if not isinstance(error, errors.UnreachableError):
            request.failed_prefills += 1
            if not self._reads:
                request.node.repeats.spend(request.service)
            self._reads += 1
        request.tried_replicas.add(reader.name)
        request.attempts += 1
        request.record_failure(reader, error, started_s, reads=True)

    def taken(self) -> None:
        """Note that a replica took the KV cache."""
        self._kept = None

    def not_taken(self, error: errors.UpstreamError) -> None:
        """Keep the KV cache for the next maker, or free it.

        A maker that could not be reached, or is another replica by now, has
        not touched it. Reading the prompt anew would be one more arrival at
        the service, and its time.
        """
        if isinstance(error, errors.UnreachableError):
            return
        changed = (
            isinstance(error, errors.TurnedAwayError)
            and error.status == wire.HTTP_MISDIRECTED
        )
        if not changed:
            # It may have been the KV cache that could not be had.
            self.free()

    def free(self) -> None:
        """Free a KV cache that nobody will take."""
        if self._kept is None:
            return
        self._node.nursery.start_soon(
            forward.release_kv,
            self._node,
            self._kept.reader,
            self._kept.source,
        )
        self._kept = None


def _failure(
    error: errors.UpstreamError, answer: forward.ReplicaResponse | None
) -> errors.UpstreamError:
    """Return what the failure of a read means for its request."""
    if isinstance(error, errors.UnreachableError):
        return error
    if answer is not None and answer.verdict is verdicts.Verdict.NOT_RUN:
        return errors.TurnedAwayError(str(error), answer.status)
    return errors.UpstreamError(str(error), verdicts.Verdict.NOT_RUN)
