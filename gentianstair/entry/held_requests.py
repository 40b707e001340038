"""Hold a request back under which upstreams ended, by what it asks for.

Its caller may repeat it under other ids. What one VM knows here stays there.
"""

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import part_knowledge
from gentianstair.core import prompt_faults
from gentianstair.entry import request as requests
from gentianstair.util import clock as clocks

# The start of an upstream is not known here: its ends count as one.
UNKNOWN_START_MS = 0


def _whole(request: requests.Request) -> prompt_faults.Part:
    return part_knowledge.whole_request('', request.work.model, request.digest)


class HeldRequests:
    """The requests under which upstreams ended, as this VM saw it."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._faults = prompt_faults.PromptFaults(clock)
        self._clock = clock

    def check(
        self, request: requests.Request, verdict: verdicts.Verdict
    ) -> None:
        """Let an attempt of a request pass; raise RequestError if it is held.

        verdict is that of the attempts before.
        """
        key = _whole(request).key
        for hold in self._faults.holds([key]):
            grant = self._faults.grant_trial(key, hold.interval_s)
            if not grant.is_granted:
                raise _held_error(grant.wait_s, verdict)

    def record_end(
        self, request: requests.Request, upstream: str, sent_s: float
    ) -> None:
        """Record that an upstream has most likely ended under a request."""
        end = prompt_faults.End(
            upstream, UNKNOWN_START_MS, sent_s, self._clock()
        )
        self._faults.record_end([_whole(request)], end)

    def record_answer(self, request: requests.Request) -> None:
        """Record that a request got its whole answer."""
        self._faults.record_answer([_whole(request)])


def _held_error(
    wait_s: float, verdict: verdicts.Verdict
) -> errors.RequestError:
    is_not_run = verdict is verdicts.Verdict.NOT_RUN
    return errors.RequestError(
        503 if is_not_run else 502,
        'request-held',
        'upstreams ended under the same request',
        verdict,
        wait_s,
    )
