"""Record the decisions made on recent requests, for operators."""

import collections
import time
import typing

MAX_EXPLAINED_REQUESTS = 5000
MAX_STEPS_PER_REQUEST = 40


class Step(typing.NamedTuple):
    """One decision or event of a request; ``at_s`` is Unix time."""

    at_s: float
    step: str
    detail: dict[str, typing.Any]


class Explanations:
    """Steps of the most recent requests, the oldest request evicted first."""

    def __init__(self, max_requests: int = MAX_EXPLAINED_REQUESTS) -> None:
        self._max_requests = max_requests
        self._requests: collections.OrderedDict[
            str, tuple[str, list[Step]]
        ] = collections.OrderedDict()

    def add(
        self,
        request_id: str,
        customer: str,
        step: str,
        /,
        **detail: typing.Any,
    ) -> None:
        """Record a step; drop it if the request already has too many."""
        _, steps = self._requests.setdefault(request_id, (customer, []))
        if len(steps) < MAX_STEPS_PER_REQUEST:
            steps.append(Step(time.time(), step, detail))
        if len(self._requests) > self._max_requests:
            self._requests.popitem(last=False)

    def get(self, request_id: str) -> dict[str, typing.Any] | None:
        """Return the recorded steps of a request, or None if it is unknown."""
        found = self._requests.get(request_id)
        if found is None:
            return None
        customer, steps = found
        return {
            'request_id': request_id,
            'customer': customer,
            'steps': [step._asdict() for step in steps],
        }


def make_explanations(
    max_requests: int = MAX_EXPLAINED_REQUESTS,
) -> Explanations:
    """Return an empty record."""
    return Explanations(max_requests)
