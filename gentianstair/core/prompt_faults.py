"""Know the parts of prompts under which upstreams end, over all VMs.

A fault that travels with a request looks like the fault of each upstream at
which it runs. What tells them apart: an upstream that ends by itself leaves
other requests with the same parts that get their answers elsewhere; a part
that ends upstreams never gets one. So a part is held back once several
upstreams, one after the other, have ended under requests with it and no such
request has been answered since. One request at a time, ever more rarely, then
tries whether that is still so.

Each VM merges what it sees with what others tell; the order of the merges
does not matter.
"""

import collections
import collections.abc
import hashlib
import math
import typing

import loguru
import prometheus_client

from gentianstair.generated import events
from gentianstair.util import change_log
from gentianstair.util import clock as clocks

KEY_BYTES = 12
# Ends, one after the other, from which on a part is held back. A single one
# is what each request sees that was under way where an upstream ended.
HELD_ENDS = 2
# The same for a part that was answered in the time before: it has most likely
# only been there.
HELD_ENDS_ANSWERED = 4
ANSWERED_LATELY_S = 60.0
# How long after an end or a trial the next request may try a part, by the
# ends that are known. After more ends it doubles from trial to trial.
TRIAL_INTERVALS_S = {2: 0.5, 3: 1.0, 4: 2.0}
RARE_TRIAL_ENDS = 5
MIN_RARE_TRIAL_S = 60.0
MAX_RARE_TRIAL_S = 600.0
MAX_DOUBLINGS = 10
# Ends of one part that are remembered, the latest.
MAX_ENDS = 16
# When what is known of a part is forgotten: a single end soon, as it is
# mostly no fault of the part.
FORGET_S = 60.0
FORGET_HELD_S = 3600.0
# Parts with ends that are remembered, and parts of which the latest answer is.
MAX_PARTS = 4096
MAX_ANSWERED = 20000
# Parts of one prompt that are taken into account when an upstream ends.
MAX_PARTS_OF_END = 64
# Times that differ by less are the same: each VM works out its own from ages.
SAME_TIME_S = 1.0
# Characters of names that are kept for operators; callers choose them.
MAX_NAME = 64

HELD = prometheus_client.Gauge(
    'gentianstair_held_prompt_parts',
    'Parts of prompts that are held back, as upstreams ended under them',
)
CHANGES = prometheus_client.Counter(
    'gentianstair_prompt_part_changes',
    'What was learned of parts of prompts under which upstreams end',
    ['what'],
)


class Part(typing.NamedTuple):
    """A part of prompts that requests of a service and model share."""

    service: str
    model: str
    name: str

    @property
    def key(self) -> bytes:
        """Return a key whose size does not depend on the names."""
        text = '\0'.join(self)
        return hashlib.blake2b(
            text.encode('utf-8', 'surrogateescape'), digest_size=KEY_BYTES
        ).digest()


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
        was_answered = (
            self.ends[0].ended_s - self.answered_s < ANSWERED_LATELY_S
        )
        needed = HELD_ENDS_ANSWERED if was_answered else HELD_ENDS
        return self.ends_in_turn >= needed

    @property
    def trial_interval_s(self) -> float:
        """Return how long after an end or a trial the next may be."""
        level = max(self.ends_in_turn, HELD_ENDS + self.trials)
        interval_s = TRIAL_INTERVALS_S.get(level)
        if interval_s is not None:
            return interval_s
        doublings = min(level - RARE_TRIAL_ENDS, MAX_DOUBLINGS)
        return min(MAX_RARE_TRIAL_S, MIN_RARE_TRIAL_S * 2.0**doublings)

    def next_trial_s(self, interval_s: float) -> float:
        """Return when the next request may try the part."""
        return max(self.trial_s, self.ends[-1].ended_s) + interval_s

    @property
    def is_forgotten_s(self) -> float:
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


def _is_same(first: Knowledge, second: Knowledge) -> bool:
    """Return whether two differ at most by errors of their times."""
    return (
        [end[:2] for end in first.ends] == [end[:2] for end in second.ends]
        and first.trials == second.trials
        and _is_same_time(first.answered_s, second.answered_s)
        and _is_same_time(first.trial_s, second.trial_s)
    )


def _is_same_time(first_s: float, second_s: float) -> bool:
    return first_s == second_s or abs(first_s - second_s) < SAME_TIME_S


class Hold(typing.NamedTuple):
    """Why a request is held back, and until when at least."""

    key: bytes
    part: Part
    # How long after the latest end or trial the next trial may be.
    interval_s: float
    next_trial_s: float


def _make_hold(key: bytes, known: Knowledge, others: list[Knowledge]) -> Hold:
    """Return the hold of a part of a request that lacks some others.

    Those with as many ends explain the ends that they share: one that only
    stood beside them is tried soon.
    """
    explained = {
        end[:2]
        for other in others
        if other.ends_in_turn >= known.ends_in_turn
        for end in other.ends
    }
    left = tuple(end for end in known.ends if end[:2] not in explained)
    unexplained = known._replace(ends=left)
    interval_s = TRIAL_INTERVALS_S[HELD_ENDS]
    if unexplained.is_held:
        interval_s = unexplained.trial_interval_s
    return Hold(key, known.part, interval_s, known.next_trial_s(interval_s))


class Grant(typing.NamedTuple):
    """Whether a request may try a part, and else when to come back."""

    is_granted: bool
    wait_s: float = 0.0


_Log = change_log.ChangeLog[bytes, None]


class PromptFaults:
    """The parts under which upstreams ended, as this VM knows them."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        # By key, those that changed longest ago first.
        self._known: collections.OrderedDict[bytes, Knowledge] = (
            collections.OrderedDict()
        )
        self._held: set[bytes] = set()
        # When this VM last saw an answer, by key, the latest last.
        self._answered_s: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        # What has changed, for the leaves of this hub.
        self.log: _Log = change_log.ChangeLog(MAX_PARTS)
        # What the other hubs may not know; on a leaf, its hub.
        self.hub_log: _Log = change_log.ChangeLog(MAX_PARTS)
        # Called when others may not know of something.
        self.listeners: list[collections.abc.Callable[[], None]] = []

    def __len__(self) -> int:
        return len(self._known)

    def get(self, key: bytes) -> Knowledge | None:
        """Return what is known of a part with ends, or was."""
        return self._known.get(key)

    def is_any_held(self, keys: typing.Iterable[bytes]) -> bool:
        """Return whether any of some parts is held back."""
        return bool(self._held) and not self._held.isdisjoint(keys)

    def holds(self, keys: typing.Collection[bytes]) -> list[Hold]:
        """Return the holds of a request with these parts."""
        if not self.is_any_held(keys):
            return []
        others = [
            known for key, known in self.all_held().items() if key not in keys
        ]
        return [
            _make_hold(key, self._known[key], others)
            for key in keys
            if key in self._held
        ]

    def all_held(self) -> dict[bytes, Knowledge]:
        """Return what is known of all parts that are held back, by key."""
        return {key: self._known[key] for key in self._held}

    def record_end(self, parts: typing.Sequence[Part], end: End) -> None:
        """Record the end of an upstream under a request with these parts."""
        CHANGES.labels('end').inc()
        for part in parts[:MAX_PARTS_OF_END]:
            shown = part._replace(name=part.name[:MAX_NAME])
            self.learn(part.key, Knowledge(shown, (end,)))

    def record_answer(self, parts: typing.Iterable[Part]) -> None:
        """Record that a request with these parts got its answer."""
        now_s = self._clock()
        for part in parts:
            key = part.key
            self._answered_s.pop(key, None)
            self._answered_s[key] = now_s
            if key in self._known:
                self.learn(key, Knowledge(part, answered_s=now_s))
        while len(self._answered_s) > MAX_ANSWERED:
            self._answered_s.popitem(last=False)

    def lift(self, name: str) -> int:
        """Let requests with a part of this name pass, at all VMs.

        Return how many parts were held back under the name.
        """
        found = {
            key: Knowledge(known.part, answered_s=self._clock())
            for key, known in self.all_held().items()
            if known.part.name == name
        }
        for key, lifted in found.items():
            self.learn(key, lifted, 'operator')
        return len(found)

    def grant_trial(self, key: bytes, interval_s: float) -> Grant:
        """Let one request try a part if it is time; for its keeper."""
        known = self._known.get(key)
        if known is None or key not in self._held:
            return Grant(True)
        now_s = self._clock()
        wait_s = known.next_trial_s(interval_s) - now_s
        if wait_s > 0:
            return Grant(False, wait_s)
        self.learn(
            key,
            known._replace(trial_s=now_s, trials=known.trials + 1),
            'trial',
        )
        return Grant(True)

    def learn(
        self,
        key: bytes,
        new: Knowledge,
        source: str = 'request',
        to_hubs: bool = True,
    ) -> None:
        """Take what this VM has seen of a part, or what another tells."""
        before = self._known.get(key)
        if not new.ends and (before is None or not before.ends):
            return
        # A VM that has answers of a part tells those that know of none.
        seen_s = self._answered_s.get(key, -math.inf)
        knows_better = seen_s > new.answered_s
        known = before or Knowledge(new.part)
        known = known._replace(answered_s=max(known.answered_s, seen_s))
        after = merge(known, new)
        if before is not None and _is_same(before, after):
            return
        was_held = key in self._held
        self._keep(key, after)
        matters = was_held or after.is_held
        if matters:
            self.log.put(key, None)
            self._report(after, was_held, source)
        # What matters is passed on by each hub, as some may lack links.
        if to_hubs or matters or knows_better:
            self.hub_log.put(key, None)
        for tell in self.listeners:
            tell()

    def _keep(self, key: bytes, known: Knowledge) -> None:
        self._known[key] = known
        self._known.move_to_end(key)
        self._set_held(key, known.is_held)
        while len(self._known) > MAX_PARTS:
            self._forget(self._least_needed())
        oldest_key, oldest = next(iter(self._known.items()))
        if oldest.is_forgotten_s <= self._clock():
            self._forget(oldest_key)

    def _least_needed(self) -> bytes:
        """Return the part that changed longest ago, one not held if any."""
        not_held = (key for key in self._known if key not in self._held)
        return next(not_held, next(iter(self._known)))

    def _forget(self, key: bytes) -> None:
        del self._known[key]
        self._set_held(key, False)
        self.log.drop(key)
        self.hub_log.drop(key)

    def _set_held(self, key: bytes, is_held: bool) -> None:
        if is_held:
            self._held.add(key)
        else:
            self._held.discard(key)
        HELD.set(len(self._held))

    def _report(self, known: Knowledge, was_held: bool, source: str) -> None:
        what = 'held' if known.is_held else 'lifted'
        if known.is_held and was_held:
            what = 'changed'
        CHANGES.labels(what).inc()
        now_s = self._clock()
        loguru.logger.bind(
            event=events.PROMPT_PART,
            what=what,
            part=known.part.name[:MAX_NAME],
            service=known.part.service,
            model=known.part.model,
            replicas=[end.upstream for end in known.ends],
            ends_in_turn=known.ends_in_turn,
            trials=known.trials,
            next_trial_s=(
                round(known.next_trial_s(known.trial_interval_s) - now_s, 3)
                if known.is_held
                else None
            ),
            source=source,
        ).info('part {} of prompts: {}', known.part.name[:MAX_NAME], what)
