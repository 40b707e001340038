"""Find out whether replicas have ended under one request."""

import trio

from gentianstair.core import prompt_faults
from gentianstair.core import upstream_limits
from gentianstair.gateway import end_checks
from gentianstair.gateway import node as nodes
from gentianstair.gateway import replicas
from gentianstair.gateway import request_parts

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
        self, replica: replicas.Replica, run: upstream_limits.UpstreamRun
    ) -> None:
        """Record that the connection to a replica broke during an attempt.

        The start was its newest one as the attempt began.

        One that drains or has no entry was stopped.
        """
        listed = self._node.registry.get(replica.name)
        end = self._parts.end_of(replica)
        if listed is not None and not listed.draining:
            self._breaks += 1
            self._checked = trio.Event()
            self._node.tasks.start_soon(
                'check-end',
                self._check,
                replica,
                run,
                end,
                self._checked,
                request_id=self._request_id,
                replica=replica.name,
            )

    async def _check(
        self,
        replica: replicas.Replica,
        run: upstream_limits.UpstreamRun,
        end: prompt_faults.End,
        checked: trio.Event,
    ) -> None:
        try:
            if await self._node.end_checks.has_ended(replica, run):
                self._parts.record_end(end)
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
