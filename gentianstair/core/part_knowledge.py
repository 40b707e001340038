"""Conclude from the ends of upstreams what of a request ends them.

It may be a part that prompts share, or the request as a whole, which its
caller may repeat.
"""

import hashlib
import math
import typing

KEY_BYTES = 12
# Ends, one after the other, from which on a part is held back. A single one
# is what each request sees that was under way where an upstream ended.
HELD_ENDS = 2
# The same for a part that was answered in the time before: it has most likely
# only been there.
HELD_ENDS_ANSWERED = 4
# The same for a request as a whole: holding it back is no harm to others,
# unless many ask for the same.
HELD_REQUEST_ENDS_ANSWERED = 3
ANSWERED_LATELY_S = 60.0
# How long after an end or a trial the next request may try a part, by the
# ends that are known. After more ends it doubles from trial to trial.
TRIAL_INTERVALS_S = {2: 0.5, 3: 1.0, 4: 2.0}
RARE_TRIAL_ENDS = 5
# The same for a request that was not answered lately.
RARE_REQUEST_TRIAL_ENDS = 3
MIN_RARE_TRIAL_S = 60.0
MAX_RARE_TRIAL_S = 600.0
MAX_DOUBLINGS = 10
# Ends of one part that are remembered, the latest.
MAX_ENDS = 16
# When what is known of a part is forgotten: a single end soon, as it is
# mostly no fault of the part.
FORGET_S = 60.0
FORGET_HELD_S = 3600.0
# Begins the names of whole requests; names of parts are in lower case.
REQUEST_PREFIX = 'Request-'
# Times that differ by less are the same: each VM works out its own from ages.
SAME_TIME_S = 1.0


class Part(typing.NamedTuple):
    """A part of prompts that requests of a service and model share.

    It also stands for a request as a whole.
    """

    service: str
    model: str
    name: str

    @property
    def is_request(self) -> bool:
        """Return whether this is a request as a whole."""
        return self.name.startswith(REQUEST_PREFIX)

    @property
    def key(self) -> bytes:
        """Return a key whose size does not depend on the names."""
        text = '\0'.join(self)
        return hashlib.blake2b(
            text.encode('utf-8', 'surrogateescape'), digest_size=KEY_BYTES
        ).digest()


def whole_request(service: str, model: str, digest: str) -> Part:
    """Return what stands for a request as a whole, by its digest."""
    return Part(service, model, REQUEST_PREFIX + digest)


class End(typing.NamedTuple):
    """The end of one start of an upstream under a request."""

    upstream: str
    started_ms: int
    # When the request was sent there, and when its connection broke.
    sent_s: float
    ended_s: float


class Knowledge(typing.NamedTuple):
    """What is known of a part."""

    part: Part
    # Since the latest answer, in the order in which the upstreams ended.
    ends: tuple[End, ...] = ()
    # When a request with the part was last answered.
    answered_s: float = -math.inf
    # When a trial was last granted, and trials since the latest answer.
    trial_s: float = -math.inf
    trials: int = 0

    @property
    def ends_in_turn(self) -> int:
        """Return how many ends came one after the other.

        Of those under requests that were sent before an earlier end none
        counts, as one cause may end several upstreams at once.
        """
        count, last_s = 0, -math.inf
        for end in self.ends:
            if end.sent_s > last_s:
                count += 1
                last_s = end.ended_s
        return count

    @property
    def is_held(self) -> bool:
        """Return whether requests with the part are held back."""
        if len(self.ends) < HELD_ENDS:
            return False
        if not self._was_answered_lately:
            # Nobody but the callers of one request has to wait.
            return self.part.is_request or self.ends_in_turn >= HELD_ENDS
        needed = HELD_ENDS_ANSWERED
        if self.part.is_request:
            needed = HELD_REQUEST_ENDS_ANSWERED
        return self.ends_in_turn >= needed

    @property
    def _was_answered_lately(self) -> bool:
        first_s = self.ends[0].ended_s
        return first_s - self.answered_s < ANSWERED_LATELY_S

    @property
    def trial_interval_s(self) -> float:
        """Return how long after an end or a trial the next may be."""
        ends, rare_ends = self.ends_in_turn, RARE_TRIAL_ENDS
        if self.part.is_request and not self._was_answered_lately:
            ends, rare_ends = len(self.ends), RARE_REQUEST_TRIAL_ENDS
        level = max(ends, HELD_ENDS + self.trials)
        if level < rare_ends:
            return TRIAL_INTERVALS_S[level]
        doublings = min(level - rare_ends, MAX_DOUBLINGS)
        return min(MAX_RARE_TRIAL_S, MIN_RARE_TRIAL_S * 2.0**doublings)

    def next_trial_s(self, interval_s: float) -> float:
        """Return when the next request may try the part."""
        return max(self.trial_s, self.ends[-1].ended_s) + interval_s

    @property
    def forget_at_s(self) -> float:
        """Return from when on this is too old to matter."""
        latest_s = max(
            self.answered_s, self.trial_s, *(end.ended_s for end in self.ends)
        )
        return latest_s + (FORGET_HELD_S if self.is_held else FORGET_S)


def merge(first: Knowledge, second: Knowledge) -> Knowledge:
    """Return what two VMs know together of one part."""
    answered_s = max(first.answered_s, second.answered_s)
    by_start: dict[tuple[str, int], End] = {}
    for end in sorted(
        first.ends + second.ends, key=lambda end: (end.ended_s, end.sent_s)
    ):
        if end.ended_s > answered_s:
            by_start.setdefault((end.upstream, end.started_ms), end)
    merged = Knowledge(
        first.part, tuple(by_start.values())[-MAX_ENDS:], answered_s
    )
    trial_s = max(first.trial_s, second.trial_s)
    if trial_s <= answered_s or not merged.ends:
        return merged
    trials = max(first.trials, second.trials)
    return merged._replace(trial_s=trial_s, trials=trials)


def is_same(first: Knowledge, second: Knowledge) -> bool:
    """Return whether two differ at most by errors of their times."""
    return (
        [end[:2] for end in first.ends] == [end[:2] for end in second.ends]
        and first.trials == second.trials
        and _is_same_time(first.answered_s, second.answered_s)
        and _is_same_time(first.trial_s, second.trial_s)
    )


def _is_same_time(first_s: float, second_s: float) -> bool:
    return first_s == second_s or abs(first_s - second_s) < SAME_TIME_S
