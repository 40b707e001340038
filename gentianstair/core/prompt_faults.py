"""Know the parts of prompts under which upstreams end, over all VMs.

A fault that travels with a request looks like the fault of each upstream at
which it runs. What tells them apart: an upstream that ends by itself leaves
other requests with the same parts that get their answers elsewhere; a part
that ends upstreams never gets one. So a part is held back once several
upstreams, one after the other, have ended under requests with it and no such
request has been answered since. One request at a time, ever more rarely, then
tries whether that is still so.

A request as a whole is known like a part, by its digest: its caller may
repeat it, and then it is what ends upstreams. Under one request alone no part
that it shares with others is held back.

Each VM merges what it sees with what others tell; the order of the merges
does not matter.
"""

import collections
import collections.abc
import contextlib
import math
import typing

import loguru
import prometheus_client

from gentianstair.core import part_knowledge
from gentianstair.generated import events
from gentianstair.util import change_log
from gentianstair.util import clock as clocks

# Parts with ends that are remembered, and parts of which the latest answer is.
MAX_PARTS = 4096
MAX_ANSWERED = 20000
# The same of whole requests, most of which are never asked for again.
MAX_ANSWERED_REQUESTS = 4096
# Parts of one prompt that are taken into account when an upstream ends.
MAX_PARTS_OF_END = 64
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

End = part_knowledge.End
Knowledge = part_knowledge.Knowledge
Part = part_knowledge.Part


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
        if _explains(other, known)
        for end in other.ends
    }
    left = tuple(end for end in known.ends if end[:2] not in explained)
    unexplained = known._replace(ends=left)
    interval_s = part_knowledge.TRIAL_INTERVALS_S[part_knowledge.HELD_ENDS]
    if unexplained.is_held:
        interval_s = unexplained.trial_interval_s
    return Hold(key, known.part, interval_s, known.next_trial_s(interval_s))


def _explains(other: Knowledge, known: Knowledge) -> bool:
    """Return whether the ends of another may be the reason for those here."""
    if other.part.is_request:
        return len(other.ends) >= part_knowledge.RARE_REQUEST_TRIAL_ENDS
    return other.ends_in_turn >= known.ends_in_turn


class Grant(typing.NamedTuple):
    """Whether a request may try a part, and else when to come back."""

    is_granted: bool
    wait_s: float = 0.0


_Log = change_log.ChangeLog[bytes, None]
_UpstreamStart = tuple[str, int]
_Notify = collections.abc.Callable[[], None]


class _Answered:
    """When this VM last saw an answer, by key; the oldest are forgotten."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._at_s: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    def record(self, key: bytes, now_s: float) -> None:
        """Record an answer."""
        self._at_s[key] = now_s
        self._at_s.move_to_end(key)
        if len(self._at_s) > self._most:
            self._at_s.popitem(last=False)

    def at_s(self, key: bytes) -> float:
        """Return the time of the latest answer."""
        return self._at_s.get(key, -math.inf)


class PromptFaults:
    """The parts under which upstreams ended, as this VM knows them."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        # By key, those that changed longest ago first.
        self._known: collections.OrderedDict[bytes, Knowledge] = (
            collections.OrderedDict()
        )
        self._held: set[bytes] = set()
        # The keys under which a start of an upstream has ended.
        self._keys_by_end: dict[_UpstreamStart, set[bytes]] = {}
        self._answered = _Answered(MAX_ANSWERED)
        self._answered_requests = _Answered(MAX_ANSWERED_REQUESTS)
        # What has changed, for the leaves of this hub.
        self.log: _Log = change_log.ChangeLog(MAX_PARTS)
        # What the other hubs may not know; on a leaf, its hub.
        self.hub_log: _Log = change_log.ChangeLog(MAX_PARTS)
        # Called when other hubs, or this leaf's, have to be told of something.
        self.listeners: list[collections.abc.Callable[[], None]] = []
        # Called when something is held back from now on, by key.
        self._watchers: dict[bytes, list[_Notify]] = {}

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

    @contextlib.contextmanager
    def watching(
        self, key: bytes, notify: _Notify
    ) -> collections.abc.Iterator[None]:
        """Have a function called in this context once a key is held back."""
        watchers = self._watchers.setdefault(key, [])
        watchers.append(notify)
        try:
            yield
        finally:
            watchers.remove(notify)
            if not watchers:
                del self._watchers[key]

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
            self._answers_of(part).record(key, now_s)
            if key in self._known:
                self.learn(key, Knowledge(part, answered_s=now_s))

    def _answers_of(self, part: Part) -> _Answered:
        return self._answered_requests if part.is_request else self._answered

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
        if known.part.is_request:
            # The asker may not know of the latest end yet.
            (own,) = self.holds([key])
            interval_s = max(interval_s, own.interval_s)
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
        seen_s = self._answers_of(new.part).at_s(key)
        knows_better = seen_s > new.answered_s
        known = before or Knowledge(new.part)
        known = known._replace(answered_s=max(known.answered_s, seen_s))
        after = part_knowledge.merge(known, new)
        if before is not None and part_knowledge.is_same(before, after):
            return
        was_held = key in self._held
        self._keep(key, after)
        matters = was_held or key in self._held
        if matters:
            self.log.put(key, None)
            self._report(key, was_held, source)
        is_own_news = to_hubs or knows_better
        # What matters is passed on by each hub, as some may lack links.
        if is_own_news or matters:
            self.hub_log.put(key, None)
        if is_own_news:
            for tell in self.listeners:
                tell()

    def _keep(self, key: bytes, known: Knowledge) -> None:
        before = self._known.get(key)
        if before is not None:
            self._drop_ends(key, before.ends)
        self._known[key] = known
        self._known.move_to_end(key)
        for end in known.ends:
            self._keys_by_end.setdefault(end[:2], set()).add(key)
        self._set_held(key, self._is_held(known))
        if known.part.is_request:
            self._reconsider(known)
        while len(self._known) > MAX_PARTS:
            self._forget(self._least_needed())
        oldest_key, oldest = next(iter(self._known.items()))
        if oldest.forget_at_s <= self._clock():
            self._forget(oldest_key)

    def _is_held(self, known: Knowledge) -> bool:
        if not known.is_held:
            return False
        return known.part.is_request or not self._is_of_one_request(known)

    def _is_of_one_request(self, known: Knowledge) -> bool:
        """Return whether all ends under a part came under one request."""
        found = [
            {key for key in self._keys_under(end) if self._is_request(key)}
            for end in known.ends
        ]
        return bool(set.intersection(*found))

    def _keys_under(self, end: End) -> set[bytes]:
        return self._keys_by_end.get(end[:2], set())

    def _is_request(self, key: bytes) -> bool:
        return self._known[key].part.is_request

    def _reconsider(self, request: Knowledge) -> None:
        """Let parts go that were held back for what one request has done."""
        keys = set().union(*map(self._keys_under, request.ends))
        for key in keys & self._held:
            if not self._is_held(self._known[key]):
                self._set_held(key, False)
                self.log.put(key, None)
                self._report(key, True, 'request')

    def _least_needed(self) -> bytes:
        """Return the part that changed longest ago, one not held if any."""
        not_held = (key for key in self._known if key not in self._held)
        return next(not_held, next(iter(self._known)))

    def _forget(self, key: bytes) -> None:
        self._drop_ends(key, self._known.pop(key).ends)
        self._set_held(key, False)
        self.log.drop(key)
        self.hub_log.drop(key)

    def _drop_ends(self, key: bytes, ends: tuple[End, ...]) -> None:
        for end in ends:
            keys = self._keys_under(end)
            keys.discard(key)
            if not keys:
                self._keys_by_end.pop(end[:2], None)

    def _set_held(self, key: bytes, is_held: bool) -> None:
        was_held = key in self._held
        if is_held:
            self._held.add(key)
        else:
            self._held.discard(key)
        HELD.set(len(self._held))
        if is_held and not was_held:
            for notify in tuple(self._watchers.get(key, ())):
                notify()

    def _report(self, key: bytes, was_held: bool, source: str) -> None:
        known, is_held = self._known[key], key in self._held
        what = 'held' if is_held else 'lifted'
        if is_held and was_held:
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
                if is_held
                else None
            ),
            source=source,
        ).info('part {} of prompts: {}', known.part.name[:MAX_NAME], what)


__all__ = [
    'MAX_NAME',
    'MAX_PARTS',
    'End',
    'Grant',
    'Hold',
    'Knowledge',
    'Part',
    'PromptFaults',
]
