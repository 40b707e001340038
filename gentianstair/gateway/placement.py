"""Choose the replicas of a request by what it costs to serve it there.

Plain calls go to the replica with the least work. A prompt is read where its
shared parts lie in memory, unless the wait there is longer than reading them
anew elsewhere; it is read either by a replica that only reads, and its KV
cache then moved, or by the replica that makes the output. Whoever reads it
first copies what another replica keeps of it, where that is sooner.
"""

import random
import typing

from gentianstair.gateway import calls
from gentianstair.gateway import catalog
from gentianstair.gateway import prefill_costs
from gentianstair.gateway import prefix_index
from gentianstair.gateway import replica_load
from gentianstair.gateway import replicas

# What a move of KV costs besides its bytes, in seconds: setting it up and
# one more exchange with a replica.
MOVE_SETUP_S = 0.015
# Seconds of waiting that are as bad as sending a byte to another failure
# domain: bytes between domains are dear, and a request of 17 KB sent across
# costs about as much as 80 ms more wait for it and for those behind it.
FAR_S_PER_BYTE = 0.08 / 17000
# A replica that makes output serves each stream more slowly the more there
# are, by some hundredth of a second until its slots are full.
RUNNING_S = 0.01
FULL_S = 0.25
# A prompt that is read beside running streams slows each of them for as long
# as the read takes; this share of it counts against the choice.
INTERFERENCE = 0.01
# Where there are many replicas a choice compares those that keep parts of
# the prompt and so many others of each stage, drawn by chance: about as good
# as all of them, and VMs that know the same do not all choose the same.
DRAWN = 12
# Differences below this are decided by chance, so that VMs which know the
# same do not all choose the same replica.
TIE_S = 0.004
# Parts that another replica keeps are copied from its memory if that saves so
# much time. A copy is priced, and what is believed of memories is not sure.
LEAST_COPY_GAIN_S = 0.03
# Moves between failure domains take so many times as long.
FAR_MOVE_TIMES = 2.0


class Copy(typing.NamedTuple):
    """Parts of a prompt that are copied between replicas' memories."""

    # None if nothing is worth copying.
    address: str | None
    tokens: int
    takes_s: float


NO_COPY = Copy(None, 0, 0.0)


class Plan(typing.NamedTuple):
    """Where a prompt is read and its output made."""

    maker: replicas.Replica
    # None if the maker reads the prompt itself.
    reader: replicas.Replica | None
    # Left to read once the copy has been made.
    unread_tokens: int
    # To whoever reads.
    copy: Copy
    # What is queued before the read, and for how long the read itself keeps
    # its replica busy.
    queued_s: float
    work_s: float
    # How much longer it takes if nothing of the prompt is kept or copied.
    more_s: float
    # Time to the end of the read, and to the first event.
    read_s: float
    expected_s: float


class _Candidate(typing.NamedTuple):
    replica: replicas.Replica
    unread_tokens: int
    copy: Copy
    queued_s: float
    work_s: float
    more_s: float
    # Time to the end of the read, and what it costs besides.
    read_s: float
    cost_s: float


class _Need(typing.NamedTuple):
    """What one choice is about."""

    engine: catalog.Engine
    prompt: calls.Prompt
    body_bytes: int
    # The replica of each failure domain that keeps the most of the prompt,
    # with the tokens that it lacks.
    sources: list[tuple[replicas.Replica, int]]


class Placement:
    """Choose replicas from what this VM knows of them."""

    def __init__(
        self,
        failure_domain: str,
        work: replica_load.Loads,
        cache: prefix_index.PrefixCache,
        costs: prefill_costs.ReadCosts,
        chance: random.Random,
    ) -> None:
        self._failure_domain = failure_domain
        self._work = work
        self._cache = cache
        self._costs = costs
        self._random = chance

    def plain(self, found: list[replicas.Replica]) -> replicas.Replica | None:
        """Return the replica of a plain service with the least work."""
        best = None
        for replica in found:
            running = self._work.at(replica.name).running
            near = replica.failure_domain == self._failure_domain
            share = (running + (0 if near else 0.5)) / max(1, replica.slots)
            rank = (share, self._random.random())
            if best is None or rank < best[0]:
                best = (rank, replica)
        return best[1] if best else None

    def stream(
        self,
        found: list[replicas.Replica],
        prompt: calls.Prompt,
        engine: catalog.Engine,
        body_bytes: int,
        keepers: typing.Sequence[replicas.Replica] = (),
    ) -> Plan | None:
        """Return where to read a prompt and make its output.

        keepers are the replicas from whose memory parts may be copied; one
        that is leaving is among them, for what it keeps goes with it.
        """
        sources = self._sources(keepers, prompt)
        need = _Need(engine, prompt, body_bytes, sources)
        found = self._draw(found, prompt)
        makers = [r for r in found if r.stage != prefill_costs.READS]
        readers = [r for r in found if r.stage == prefill_costs.READS]
        if not makers:
            return None
        direct = [self._reading(r, need) for r in makers]
        pressed = {c.replica.name: self._pressure_s(c.replica) for c in direct}
        options = [_plan(c, c, 0.0) for c in direct]
        costs = [
            c.read_s
            + c.cost_s
            + pressed[c.replica.name]
            + self._interference_s(c)
            for c in direct
        ]
        if readers:
            moved_s = MOVE_SETUP_S + move_s(prompt.tokens, engine)
            read = self._least([self._reading(r, need) for r in readers])
            maker = min(
                direct, key=lambda c: pressed[c.replica.name] + c.cost_s
            )
            options.append(_plan(maker, read, moved_s))
            costs.append(
                read.read_s
                + read.cost_s
                + moved_s
                + maker.cost_s
                + pressed[maker.replica.name]
            )
        ties = [self._random.uniform(0, TIE_S) for _ in costs]
        ranked = [cost + tie for cost, tie in zip(costs, ties, strict=True)]
        return options[ranked.index(min(ranked))]

    def _draw(
        self, found: list[replicas.Replica], prompt: calls.Prompt
    ) -> list[replicas.Replica]:
        """Return the replicas to compare."""
        if len(found) <= 2 * DRAWN:
            return found
        holders = self._cache.holders(prompt)
        drawn = [replica for replica in found if replica.name in holders]
        rest = [replica for replica in found if replica.name not in holders]
        self._random.shuffle(rest)
        readers = [r for r in rest if r.stage == prefill_costs.READS]
        makers = [r for r in rest if r.stage != prefill_costs.READS]
        return drawn + readers[:DRAWN] + makers[:DRAWN]

    def _sources(
        self,
        keepers: typing.Iterable[replicas.Replica],
        prompt: calls.Prompt,
    ) -> list[tuple[replicas.Replica, int]]:
        """Return the replica of each failure domain with the least to read.

        What is only being read by now can't be copied: a replica that was
        sent there would read it all itself.
        """
        holders = self._cache.holders(prompt)
        best: dict[str, tuple[replicas.Replica, int]] = {}
        for replica in keepers:
            if replica.name not in holders:
                continue
            unread = self._cache.unread_tokens(replica.name, prompt, sure=True)
            known = best.get(replica.failure_domain)
            if known is None or unread < known[1]:
                best[replica.failure_domain] = (replica, unread)
        return list(best.values())

    def maker(
        self, found: list[replicas.Replica], body_bytes: int
    ) -> replicas.Replica | None:
        """Return where to make the output of a prompt that has been read."""
        makers = [r for r in found if r.stage != prefill_costs.READS]
        return min(
            makers,
            key=lambda r: (
                self._pressure_s(r)
                + self._far_s(r, body_bytes)
                + self._random.uniform(0, TIE_S)
            ),
            default=None,
        )

    def _far_s(self, replica: replicas.Replica, body_bytes: int) -> float:
        if replica.failure_domain == self._failure_domain:
            return 0.0
        return FAR_S_PER_BYTE * body_bytes

    def _reading(self, replica: replicas.Replica, need: _Need) -> _Candidate:
        lacks = self._cache.unread_tokens(replica.name, need.prompt)
        copy = self._copy(replica, lacks, need)
        unread = lacks - copy.tokens
        cost = self._cost(replica, unread, need)
        whole = self._cost(replica, need.prompt.tokens, need)
        queued_s = self._work.at(replica.name).unread_ms / 1000
        return _Candidate(
            replica,
            unread,
            copy,
            queued_s,
            cost.work_s,
            whole.work_s - cost.work_s,
            copy.takes_s + queued_s + cost.latency_s + cost.work_s,
            self._far_s(replica, need.body_bytes),
        )

    def _cost(
        self, replica: replicas.Replica, unread: int, need: _Need
    ) -> prefill_costs.Cost:
        return self._costs.expect(
            replica.service, replica.stage, unread, need.prompt.tokens
        )

    def _copy(
        self, replica: replicas.Replica, lacks: int, need: _Need
    ) -> Copy:
        """Return what to copy to a replica from another one's memory.

        A replica that has just started keeps nothing, and its share of the
        prompts asked for would be read anew: some 0.4 s for a long shared
        part that a link carries in 0.01 s.
        """
        best, best_gain_s = NO_COPY, LEAST_COPY_GAIN_S
        whole_s = None
        for source, source_lacks in need.sources:
            tokens = lacks - source_lacks
            if tokens <= 0:
                continue
            takes_s = MOVE_SETUP_S + move_s(tokens, need.engine)
            if source.failure_domain != replica.failure_domain:
                takes_s *= FAR_MOVE_TIMES
            if whole_s is None:
                whole_s = self._cost(replica, lacks, need).work_s
            rest_s = self._cost(replica, source_lacks, need).work_s
            gain_s = whole_s - rest_s - takes_s
            if gain_s > best_gain_s:
                best = Copy(source.address, tokens, takes_s)
                best_gain_s = gain_s
        return best

    def _least(self, found: list[_Candidate]) -> _Candidate:
        return min(
            found,
            key=lambda c: c.read_s + c.cost_s + self._random.uniform(0, TIE_S),
        )

    def _pressure_s(self, replica: replicas.Replica) -> float:
        running = self._work.at(replica.name).running
        over = max(0, running - replica.slots * 0.9)
        return RUNNING_S * running + FULL_S * over

    def _interference_s(self, candidate: _Candidate) -> float:
        running = self._work.at(candidate.replica.name).running
        return INTERFERENCE * running * candidate.work_s


def _plan(maker: _Candidate, read: _Candidate, moved_s: float) -> Plan:
    """Return the plan by which one replica reads and one makes output."""
    return Plan(
        maker.replica,
        None if maker is read else read.replica,
        read.unread_tokens,
        read.copy,
        read.queued_s,
        read.work_s,
        read.more_s,
        read.read_s,
        read.read_s + moved_s,
    )


def move_s(tokens: int, engine: catalog.Engine) -> float:
    """Return how long the KV cache of some tokens takes over a link."""
    bits = tokens * engine.kv_token_bytes * 8
    return bits / (engine.link_mbps * 1e6)
