"""Find out whether a replica ran after the end of an answer without a length.

Such an answer ends with its connection. The system of a process that was
killed closes its connections in order, too, so the end proves nothing until
the replica has answered a question that was asked after it.
"""

import collections.abc
import enum
import typing

import trio

from gentianstair import errors
from gentianstair.gateway import calls
from gentianstair.gateway import replicas
from gentianstair.platform import denials
from gentianstair.platform import http_codec

# Callers give up a stream after a longer gap.
PROOF_LIMIT_S = 2.0
# Between two questions.
PAUSE_S = 0.1
HTTP_TOO_MANY_REQUESTS = 429


class State(enum.Enum):
    """What is known of a replica after an answer's end."""

    RUNS = 'runs'
    # Nobody listens, or another start does.
    ENDED = 'ended'
    UNKNOWN = 'unknown'


class FetchReport(typing.Protocol):
    """Asks a replica for its report, on a new connection with fresh."""

    def __call__(
        self, replica: replicas.Replica, limit_s: float, *, fresh: bool
    ) -> collections.abc.Awaitable[calls.Report]:
        """Raise UpstreamError, or DecodeError if nothing comes in time."""


async def state_of(
    fetch_report: FetchReport, replica: replicas.Replica
) -> State:
    """Return whether a replica runs; ask again while nothing tells."""
    state = State.UNKNOWN
    with trio.move_on_after(PROOF_LIMIT_S):
        while state is State.UNKNOWN:
            state = await _ask(fetch_report, replica)
            if state is State.UNKNOWN:
                await trio.sleep(PAUSE_S)
    return state


async def _ask(fetch_report: FetchReport, replica: replicas.Replica) -> State:
    """Ask once, and again if a kept connection was closed just then."""
    for fresh in (False, True):
        try:
            report = await fetch_report(replica, PROOF_LIMIT_S, fresh=fresh)
        except errors.UnreachableError:
            return State.ENDED
        except errors.ConnectionBrokenError:
            continue
        except (errors.UpstreamError, errors.DecodeError):
            return State.UNKNOWN
        return _state_in(replica, report)
    return State.UNKNOWN


def _state_in(replica: replicas.Replica, report: calls.Report) -> State:
    """Return what a report tells of a replica."""
    status = report.status
    if status == denials.HTTP_MISDIRECTED:
        return State.ENDED
    if status >= http_codec.MIN_FAILURE_STATUS or (
        status == HTTP_TOO_MANY_REQUESTS
    ):
        # As a start does that is not ready yet.
        return State.UNKNOWN
    try:
        started_ms = http_codec.decode_report(status, report.body)
    except errors.DecodeError:
        # A service may have no report of itself.
        return State.RUNS
    if 0 in (started_ms, replica.started_ms):
        return State.RUNS
    return State.RUNS if started_ms == replica.started_ms else State.ENDED
