"""Hold a request back under which, or under a part of which, replicas end.

Each attempt of a request passes ``check_send``, whatever chose its replica.
"""

import collections.abc
import contextlib

import trio

from gentianstair import errors
from gentianstair.core import part_knowledge
from gentianstair.core import prompt_faults
from gentianstair.gateway import calls
from gentianstair.gateway import part_trials
from gentianstair.gateway import replicas
from gentianstair.gateway import request_errors
from gentianstair.util import clock as clocks

# A run that goes on for so long after its first event counts as answered.
ANSWERED_AFTER_S = 1.0

_Part = prompt_faults.Part


def whole_of(service: str, call: calls.Call, digest: str) -> _Part:
    """Return what stands for a call as a whole."""
    return part_knowledge.whole_request(service, call.model, digest)


def parts_of(service: str, call: calls.Call) -> list[_Part]:
    """Return the parts of a call's prompt that other requests may share."""
    return [
        _Part(service, call.model, name) for name in call.shared_part_names
    ]


class RequestParts:
    """One request, the parts of its prompt, and what its runs say of them."""

    def __init__(
        self,
        faults: prompt_faults.PromptFaults,
        ask_trial: part_trials.AskTrial,
        whole: _Part,
        parts: list[_Part],
        clock: clocks.Clock,
    ) -> None:
        self._faults = faults
        self._ask_trial = ask_trial
        self._whole = whole
        self._parts = parts
        self._keys = [part.key for part in (whole, *parts)]
        self._clock = clock
        # Whether this request tries a part that is held back, which it may
        # do with one run.
        self.is_trial = False
        self._sent_s = 0.0
        # Whether the parts of its prompt are not to blame, as much came.
        self._has_progress = False

    @property
    def is_held(self) -> bool:
        """Return whether no further attempt may be made."""
        return not self.is_trial and self._faults.is_any_held(self._keys)

    async def enter(self) -> None:
        """Let the request pass; raise RequestError if it is held back.

        One whose turn it is tries the part.
        """
        holds = self._faults.holds(self._keys)
        if not holds:
            return
        last = _last(holds)
        wait_s = last.next_trial_s - self._clock()
        if wait_s <= 0:
            grant = await self._ask_trial(last.key, last.interval_s)
            self.is_trial, wait_s = grant.is_granted, grant.wait_s
        if not self.is_trial:
            raise _held_error(holds, wait_s)

    @contextlib.contextmanager
    def until_held(
        self, may_give_up: collections.abc.Callable[[], bool]
    ) -> collections.abc.Iterator[trio.CancelScope]:
        """Cancel what is done here once the request as a whole is held back.

        The same request is then under way at replicas that would end, too.
        """
        scope = trio.CancelScope()

        def give_up() -> None:
            if not self.is_trial and may_give_up():
                scope.cancel()

        with self._faults.watching(self._whole.key, give_up), scope:
            yield scope

    def held_error(self) -> errors.RequestError:
        """Return the error of a request that is held back by now."""
        holds = self._faults.holds(self._keys)
        return _held_error(holds, _last(holds).next_trial_s - self._clock())

    def check_send(self) -> None:
        """Record that an attempt is sent now; raise NotSentError if held."""
        if self.is_held:
            raise errors.NotSentError('a part of the prompt is held back')
        self._sent_s = self._clock()

    def record_possible_run(self) -> None:
        """Record that a replica may have run the request."""
        self.is_trial = False

    def end_of(self, replica: replicas.Replica) -> prompt_faults.End:
        """Return the end of a replica whose connection broke now."""
        return prompt_faults.End(
            replica.name, replica.started_ms, self._sent_s, self._clock()
        )

    def record_end(self, end: prompt_faults.End) -> None:
        """Record that a replica has ended under this request."""
        parts = [] if self._has_progress else self._parts
        self._faults.record_end([self._whole, *parts], end)

    def record_progress(self, since_first_event_s: float) -> None:
        """Record for how long a run has gone on since its first event."""
        if since_first_event_s >= ANSWERED_AFTER_S:
            self._record_progress()

    def _record_progress(self) -> None:
        if not self._has_progress:
            self._has_progress = True
            self._faults.record_answer(self._parts)

    def record_answer(self) -> None:
        """Record that the request got its whole answer."""
        self._record_progress()
        self._faults.record_answer([self._whole])


def _last(holds: list[prompt_faults.Hold]) -> prompt_faults.Hold:
    """Return the hold that ends last."""
    return max(holds, key=lambda hold: hold.next_trial_s)


def _held_error(
    holds: list[prompt_faults.Hold], wait_s: float
) -> errors.RequestError:
    return request_errors.part_held([hold.part.name for hold in holds], wait_s)
