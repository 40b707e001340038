"""Find out whether replicas have ended under one request."""

import loguru
import trio

from gentianstair.core import prompt_faults
from gentianstair.core import upstream_limits
from gentianstair.gateway import end_checks
from gentianstair.gateway import node as nodes
from gentianstair.gateway import replicas
from gentianstair.gateway import request_parts
from gentianstair.generated import events

# How long an attempt waits to know whether the replica before it has ended.
# One that has ended mostly refuses a connection at once.
MAX_CHECK_WAIT_S = 0.05
# From so many broken connections on it waits for as long as a check takes, as
# the request may be what ends replicas.
SUSPECT_BREAKS = 2


class RequestEnds:
    """The replicas that one request lost, and whether they have ended."""

    def __init__(
        self,
        node: nodes.Node,
        parts: request_parts.RequestParts,
        request_id: str,
    ) -> None:
        self._node = node
        self._parts = parts
        self._request_id = request_id
        self._breaks = 0
        # Set unless the last replica is being checked.
        self._checked = trio.Event()
        self._checked.set()

    def record_broken(
        self,
        replica: replicas.Replica,
        run: upstream_limits.UpstreamRun,
        has_begun: bool = True,
    ) -> None:
        """Record that the connection to a replica broke during an attempt.

        The start was its newest one as the attempt began; has_begun is false
        if nothing tells that it began to run the request there.

        One that drains or has no entry was stopped. One that turned all away
        did not end under a request that it had not begun.
        """
        listed = self._node.registry.get(replica.name)
        end = self._parts.end_of(replica)
        is_under = has_begun or not (
            self._node.recent_rejections.is_rejecting_all(run)
        )
        if listed is not None and not listed.draining:
            self._breaks += 1
            self._checked = trio.Event()
            self._node.tasks.start_soon(
                'check-end',
                self._check,
                replica,
                run,
                end if is_under else None,
                self._checked,
                request_id=self._request_id,
                replica=replica.name,
            )

    async def _check(
        self,
        replica: replicas.Replica,
        run: upstream_limits.UpstreamRun,
        end: prompt_faults.End | None,
        checked: trio.Event,
    ) -> None:
        """Record an end if there was one; without it, only log that."""
        try:
            has_ended = await self._node.end_checks.has_ended(replica, run)
            if has_ended and end is not None:
                self._parts.record_end(end)
            elif has_ended:
                loguru.logger.bind(
                    event=events.END_NOT_COUNTED, started_ms=run.started_ms
                ).info('a replica that turned all requests away has ended')
        finally:
            # The request waits for this, whatever has become of the check.
            checked.set()

    async def wait_for_check(self) -> None:
        """Wait a moment until it is known whether the last one has ended.

        If so, the next attempt may have to be held back.
        """
        limit_s = MAX_CHECK_WAIT_S
        if self._breaks >= SUSPECT_BREAKS:
            limit_s = end_checks.REPORT_LIMIT_S
        with trio.move_on_after(limit_s):
            await self._checked.wait()
