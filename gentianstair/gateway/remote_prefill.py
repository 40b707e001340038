"""Run the prefill of a request at another replica than its decode.

A prefill alone does not run the request: if it fails, the request has
certainly not run. Its KV cache belongs to this request, and is fetched by one
decode replica or freed.
"""

import typing

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.gateway import calls
from gentianstair.gateway import catalog
from gentianstair.gateway import forward
from gentianstair.gateway import plans
from gentianstair.gateway import replicas
from gentianstair.gateway import request_state
from gentianstair.gateway import run_record
from gentianstair.platform import denials
from gentianstair.platform import http_codec


class _HeldKv(typing.NamedTuple):
    """A KV cache that no decode replica has fetched yet."""

    source: calls.KvSource
    # The name of the prefill replica that holds it.
    replica: str


class RemotePrefill:
    """The prefills of one request, and the KV cache of the last one."""

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
        self._held: _HeldKv | None = None
        # Prefills that reached a replica. All but the first count as retries.
        self._attempts = 0

    @property
    def source(self) -> calls.KvSource | None:
        """Return where the KV cache is, or None if there is none."""
        return self._held.source if self._held else None

    def may_prefill(self) -> bool:
        """Return whether the retry budget allows a prefill now.

        The first prefill costs nothing if it is accepted, but a refused one
        costs a retry. So while this VM spends retries, one must be left.
        Every further prefill is a retry.
        """
        budget, service = self._node.retry_budget, self._request.service
        if self._attempts:
            return budget.try_spend(service)
        return not budget.spent(service) or budget.remaining(service) >= 1

    async def prefill(self, plan: plans.Plan, priority: int) -> None:
        """Run the prefill of a plan; raise UpstreamError."""
        replica = plan.prefill_replica
        assert replica is not None
        request, node = self._request, self._node
        started_s = node.clock()
        active_request = node.load_tracker.begin(
            replica.name,
            plan.work_s,
            started_s + plan.prefill_end_s,
            plan.miss_penalty_s,
        )
        expected = node.prefix_index.expect(
            replica.name, self._prompt, self._engine.kv_tokens
        )
        attempt = request.make_attempt(
            replica,
            prefill_only=True,
            kv_copy_address=plan.copy.address,
            priority=priority,
        )
        response = None
        try:
            response = await forward.fetch_response(
                node, request.call, attempt
            )
            source = http_codec.decode_prefill_response(
                replica.address, response.status, response.body
            )
        except errors.UpstreamError as error:
            node.prefix_index.retract(replica.name, expected)
            prefill_error = _prefill_error(error, response)
            self._record_failure(replica, prefill_error, started_s)
            raise prefill_error from error
        finally:
            node.load_tracker.end(active_request)
        self._attempts += 1
        self._held = _HeldKv(source, replica.name)
        took_s = node.clock() - started_s
        run_record.record_prefill(request, self._prompt, replica, plan, took_s)

    def _record_failure(
        self,
        replica: replicas.Replica,
        error: errors.UpstreamError,
        started_s: float,
    ) -> None:
        """Record a failed prefill, and charge the retry budget for it.

        Only the first prefill that a replica accepts is free of charge.
        """
        request = self._request
        if not isinstance(error, errors.NotSentError):
            request.failed_prefills += 1
            if not self._attempts:
                request.node.retry_budget.spend(request.service)
            self._attempts += 1
        request.choices.tried.add(replica.name)
        request.attempts += 1
        request.record_failure(replica, error, started_s, reads=True)

    def record_fetched(self) -> None:
        """Record that a decode replica fetched the KV cache."""
        self._held = None

    def handle_decode_failure(self, error: errors.UpstreamError) -> None:
        """Keep the KV cache for the next decode replica, or free it.

        A decode replica that could not be reached, that has restarted since
        or that asked for a pause left the KV cache untouched. Keeping it
        saves a retry and the time of another prefill.
        """
        if isinstance(error, errors.NotSentError):
            return
        left_untouched = isinstance(error, errors.UpstreamRejectedError) and (
            error.asked_pause or error.status == denials.HTTP_MISDIRECTED
        )
        if not left_untouched:
            # The failure may be that the KV cache could not be fetched.
            self.free()

    def free(self) -> None:
        """Free the KV cache that no replica will fetch, if there is one."""
        if self._held is None:
            return
        self._node.tasks.start_soon(
            'free-kv',
            forward.release_kv,
            self._node,
            self._held.replica,
            self._held.source,
            request_id=self._request.call.request_id,
            replica=self._held.replica,
        )
        self._held = None


def _prefill_error(
    error: errors.UpstreamError, response: forward.ReplicaResponse | None
) -> errors.UpstreamError:
    """Return the error of a request whose prefill failed."""
    if isinstance(error, errors.NotSentError):
        return error
    if response is not None and response.verdict is verdicts.Verdict.NOT_RUN:
        return errors.UpstreamRejectedError(
            str(error), response.status, response.asks_pause
        )
    if response is not None and response.asks_pause:
        return errors.UpstreamPauseError(str(error), verdicts.Verdict.NOT_RUN)
    return errors.UpstreamError(str(error), verdicts.Verdict.NOT_RUN)
