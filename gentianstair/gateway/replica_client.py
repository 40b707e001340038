"""Send anything to replicas, and take what their answers say of themselves.

All that this VM sends to a replica goes through here: requests of callers,
polls, reports and frees of KV caches.
"""

import collections.abc
import functools

import httpx
import loguru
import trio

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import draining_upstreams
from gentianstair.core import upstream_backoffs
from gentianstair.core import upstream_limits
from gentianstair.gateway import replicas
from gentianstair.generated import events
from gentianstair.peers import link
from gentianstair.peers import tunnel
from gentianstair.platform import denials
from gentianstair.platform import http_codec
from gentianstair.upstreams import transport as transports
from gentianstair.util import clock as clocks

ANSWER = 'answer'


class ReplicaClient:
    """Sends to replicas over one transport."""

    def __init__(
        self,
        transport: transports.Transport,
        registry: replicas.Registry,
        limits: upstream_limits.UpstreamLimits,
        backoffs: upstream_backoffs.UpstreamBackoffs,
        clock: clocks.Clock,
        drain_limit_s: collections.abc.Callable[[], float],
    ) -> None:
        self._transport = transport
        self._registry = registry
        self._limits = limits
        self._backoffs = backoffs
        self._clock = clock
        self._drain_limit_s = drain_limit_s

    async def send(
        self,
        run: upstream_limits.UpstreamRun | None,
        request: httpx.Request,
        is_callers: bool = False,
    ) -> httpx.Response:
        """Send a request, a caller's or another one, to one start.

        run is None for a replica that is not listed any more. Raise
        UpstreamError with a verdict on whether the request may have run.
        """
        if run is not None:
            check = self._check_callers if is_callers else self._check_own
            request.extensions['before_send'] = functools.partial(
                check, run, request.extensions.get('before_send')
            )
            question = request.extensions.get('ask_first')
            if question is not None:
                request.extensions['ask_first'] = question._replace(
                    check=functools.partial(self._check_own, run)
                )
        sent_s = self._clock()
        response = await self._transport.handle_async_request(request)
        if run is not None:
            self._record(run, response, sent_s, is_callers)
            try:
                await _tell_carrier(response, self._backoffs.pause_s(run))
            except BaseException:
                # Cancelled: nobody else would close the response.
                with trio.CancelScope(shield=True):
                    await response.stream.aclose()
                raise
        return response

    def _check_own(
        self,
        run: upstream_limits.UpstreamRun,
        _: collections.abc.Callable[[], None] | None = None,
    ) -> None:
        """Check that a replica takes anything now, as for a poll."""
        if self._backoffs.pause_s(run) > 0:
            raise errors.UpstreamBackoffError('the replica asked for a pause')

    def _check_callers(
        self,
        run: upstream_limits.UpstreamRun,
        before_send: collections.abc.Callable[[], None] | None,
    ) -> None:
        """Do what comes just before the first byte of a caller's request.

        A replica that was chosen may have told by now that it drains.
        """
        if before_send is not None:
            before_send()
        since_s = self._registry.draining.since_s(run)
        if (
            since_s is not None
            and self._clock() - since_s >= self._drain_limit_s()
        ):
            raise errors.UpstreamDrainsError('the replica drains')
        self._backoffs.begin(run)

    def _record(
        self,
        run: upstream_limits.UpstreamRun,
        response: httpx.Response,
        sent_s: float,
        is_callers: bool,
    ) -> None:
        """Take what an answer says of the replica that gave it."""
        if response.status_code == denials.HTTP_MISDIRECTED:
            # Another replica answered.
            return
        self._record_limit(run, response, sent_s, is_callers)
        self._record_draining(run, response)
        self._record_backoff(run, response, sent_s, is_callers)

    def _record_limit(
        self,
        run: upstream_limits.UpstreamRun,
        response: httpx.Response,
        sent_s: float,
        is_callers: bool,
    ) -> None:
        was_taken = (
            is_callers
            and denials.verdict_of(response) is verdicts.Verdict.RAN
            and response.status_code < http_codec.MIN_FAILURE_STATUS
        )
        try:
            rate_per_s = http_codec.named_limit(response)
        except errors.DecodeError as error:
            upstream_limits.log_odd_limit(run, error)
            return
        self._limits.record(
            run,
            upstream_limits.Answer(
                rate_per_s, sent_s, self._clock(), was_taken
            ),
        )

    def _record_draining(
        self, run: upstream_limits.UpstreamRun, response: httpx.Response
    ) -> None:
        try:
            if http_codec.says_leaving(response):
                self._registry.record_draining(run, ANSWER)
        except errors.DecodeError as error:
            draining_upstreams.log_odd_words(run, error)

    def _record_backoff(
        self,
        run: upstream_limits.UpstreamRun,
        response: httpx.Response,
        sent_s: float,
        is_callers: bool,
    ) -> None:
        try:
            retry_after_s = http_codec.named_pause(response)
        except errors.DecodeError as error:
            upstream_backoffs.log_odd_retry_after(run, error)
            return
        if retry_after_s or is_callers:
            self._backoffs.record_answer(run, retry_after_s, sent_s)


async def _tell_carrier(response: httpx.Response, pause_s: float) -> None:
    """Tell the peer that carried a request of the pause of its replica."""
    found = tunnel.tunnel_of(response.extensions['connection'])
    if found is None or not pause_s:
        return
    try:
        await found.tell_pause(pause_s)
    except link.LinkClosedError as error:
        loguru.logger.bind(event=events.LINK_LOST, peer=found.peer).debug(
            '{}', error
        )


__all__ = ['ReplicaClient']
