"""Choose replicas by the estimated cost of serving a request there.

Unary requests go to the least loaded replica. A prompt goes to a replica that
holds its prefix in the KV cache, unless waiting there takes longer than
computing the prefix elsewhere. Either a prefill replica computes the prompt
and its KV cache is transferred to a decode replica, or the decode replica
does both. The replica that runs the prefill first copies cached prefix parts
from another replica where that saves time.

When prompts of several kinds come faster than the prefill replicas can compute
them, these are left to the prompts that no decode replica computes in time.
"""

import random
import typing

from gentianstair.core import upstream_limits
from gentianstair.gateway import calls
from gentianstair.gateway import catalog
from gentianstair.gateway import plans
from gentianstair.gateway import prefill_costs
from gentianstair.gateway import prefill_shortage
from gentianstair.gateway import prefix_homes
from gentianstair.gateway import prefix_index
from gentianstair.gateway import replica_load
from gentianstair.gateway import replicas

# Fixed cost of a KV cache transfer: its setup and one more round trip.
TRANSFER_SETUP_S = 0.015
# Cost of sending a request body to another failure domain, in seconds of
# waiting per byte: 17 KB across domains weigh as much as 80 ms.
CROSS_DOMAIN_S_PER_BYTE = 0.08 / 17000
# Cost of each stream already running at a decode replica: it serves each more
# slowly the more there are, by some hundredth of a second until it is full.
STREAM_COST_S = 0.01
# Additional cost of each stream above 90 % of the replica's slots.
OVERLOAD_COST_S = 0.25
# Share of a prefill's duration by which it slows each stream on its replica.
INTERFERENCE_SHARE = 0.01
# In a large fleet, at most this many replicas of each stage are compared
# besides those that hold a part of the prompt or are its homes. The random
# sample bounds the work per request and spreads requests of different VMs; it
# is about as good as comparing all.
SAMPLE_SIZE = 12
# Of more replicas than this that hold a part of a prompt, or that could decode
# one, a random sample is compared, which bounds the work per request.
MAX_COMPARED = 160
# Random jitter on each cost: VMs with the same view choose different
# replicas.
TIE_BREAK_S = 0.004
# A KV copy must save at least this much time: it is charged, and the index of
# cached parts may be out of date.
MIN_COPY_GAIN_S = 0.03
# Transfers between failure domains take this many times as long.
CROSS_DOMAIN_TRANSFER_FACTOR = 2.0


class Placement:
    """Choose replicas by the load and the cached prefixes known here."""

    def __init__(
        self,
        failure_domain: str,
        load_tracker: replica_load.LoadTracker,
        index: prefix_index.PrefixIndex,
        costs: prefill_costs.PrefillCosts,
        rng: random.Random,
    ) -> None:
        self._failure_domain = failure_domain
        self._load_tracker = load_tracker
        self._index = index
        self._costs = costs
        self._random = rng

    def choose_unary(
        self,
        candidates: list[replicas.Replica],
        rejected_shares: typing.Mapping[upstream_limits.UpstreamRun, float],
    ) -> replicas.Replica | None:
        """Return the least loaded replica for a unary request.

        One that turned all requests away lately counts as full.
        """
        best = None
        for replica in candidates:
            running = self._load_tracker.load_of(replica.name).running
            is_local = replica.failure_domain == self._failure_domain
            used = (running + (0 if is_local else 0.5)) / max(1, replica.slots)
            if rejected_shares:
                used += rejected_shares.get(replica.run, 0.0)
            rank = (used, self._random.random())
            if best is None or rank < best[0]:
                best = (rank, replica)
        return best[1] if best else None

    def plan_stream(
        self,
        candidates: list[replicas.Replica],
        prompt: calls.Prompt,
        engine: catalog.Engine,
        body_bytes: int,
        copy_sources: typing.Sequence[replicas.Replica] = (),
        objective_left_s: float = 0.0,
    ) -> plans.Plan | None:
        """Return the cheapest plan for a prompt, None if none can decode.

        Cached parts may be copied from copy_sources. Draining replicas may
        be among these: their KV cache is lost when they stop. The first
        event is on time if it comes within objective_left_s.
        """
        sources = self._best_sources(copy_sources, prompt)
        homes = self._homes(candidates, prompt)
        request = plans.StreamRequest(
            engine, prompt, body_bytes, sources, homes
        )
        candidates = self._sample(candidates, prompt, homes)
        decoders = [r for r in candidates if r.stage != prefill_costs.PREFILL]
        prefillers = [
            r for r in candidates if r.stage == prefill_costs.PREFILL
        ]
        if not decoders:
            return None
        direct = [self._candidate(r, request) for r in decoders]
        decode_cost_s = {
            c.replica.name: self._decode_cost_s(c.replica) for c in direct
        }
        options = [plans.make_plan(c, c, 0.0) for c in direct]
        costs = [
            c.cost_s + decode_cost_s[c.replica.name] + self._interference_s(c)
            for c in direct
        ]
        remote = [self._candidate(r, request) for r in prefillers]
        if remote and not prefill_shortage.spares_prefill_replicas(
            [candidate.queued_s for candidate in remote],
            min(plan.first_event_s for plan in options),
            objective_left_s,
        ):
            kv_transfer_s = TRANSFER_SETUP_S + transfer_s(
                prompt.tokens, engine
            )
            prefill = self._cheapest(remote)
            decode = min(
                direct,
                key=lambda c: decode_cost_s[c.replica.name] + c.network_cost_s,
            )
            options.append(plans.make_plan(decode, prefill, kv_transfer_s))
            costs.append(
                prefill.cost_s
                + kv_transfer_s
                + decode.network_cost_s
                + decode_cost_s[decode.replica.name]
            )
        jitter = [self._random.uniform(0, TIE_BREAK_S) for _ in costs]
        ranked = [
            cost + extra for cost, extra in zip(costs, jitter, strict=True)
        ]
        return options[ranked.index(min(ranked))]

    def _homes(
        self, candidates: list[replicas.Replica], prompt: calls.Prompt
    ) -> prefix_homes.Homes:
        """Return the homes of the shared part if nobody is known to have it.

        These are prefill replicas if there are any.
        """
        part = prefix_homes.shared_part(prompt)
        if part is None or self._index.is_held(part.name):
            return prefix_homes.NO_HOMES
        prefillers = [
            r for r in candidates if r.stage == prefill_costs.PREFILL
        ]
        return prefix_homes.choose(part, prefillers or candidates)

    def _sample(
        self,
        candidates: list[replicas.Replica],
        prompt: calls.Prompt,
        homes: prefix_homes.Homes,
    ) -> list[replicas.Replica]:
        """Return the replicas to compare."""
        if len(candidates) <= 2 * SAMPLE_SIZE:
            return candidates
        preferred = {*self._index.holders(prompt), *homes.savings}
        always = self._at_most(
            [r for r in candidates if r.name in preferred], MAX_COMPARED
        )
        return always + [
            replica
            for is_prefill in (True, False)
            for replica in self._others(candidates, preferred, is_prefill)
        ]

    def _others(
        self,
        candidates: list[replicas.Replica],
        preferred: set[str],
        is_prefill: bool,
    ) -> list[replicas.Replica]:
        """Return a sample of a stage's replicas that are not preferred."""
        found = [
            r
            for r in candidates
            if (r.stage == prefill_costs.PREFILL) is is_prefill
        ]
        # As many more as may be left out again.
        found = self._at_most(found, SAMPLE_SIZE + len(preferred))
        return [r for r in found if r.name not in preferred][:SAMPLE_SIZE]

    def _at_most(
        self, found: list[replicas.Replica], count: int
    ) -> list[replicas.Replica]:
        """Return all that are found or, of more than count, a sample."""
        return self._random.sample(found, min(len(found), count))

    def _best_sources(
        self,
        copy_sources: typing.Iterable[replicas.Replica],
        prompt: calls.Prompt,
    ) -> list[tuple[replicas.Replica, int]]:
        """Return the best copy source in each failure domain.

        Each comes with the number of tokens that it lacks. Only parts whose
        prefill has ended count, as others can't be copied yet.
        """
        holders = self._index.holders(prompt)
        best: dict[str, tuple[replicas.Replica, int]] = {}
        for replica in copy_sources:
            if replica.name not in holders:
                continue
            uncached = self._index.uncached_tokens(
                replica.name, prompt, confirmed=True
            )
            known = best.get(replica.failure_domain)
            if known is None or uncached < known[1]:
                best[replica.failure_domain] = (replica, uncached)
        return list(best.values())

    def choose_decode_replica(
        self, candidates: list[replicas.Replica], body_bytes: int
    ) -> replicas.Replica | None:
        """Return the decode replica for a prompt already prefilled."""
        decoders = [r for r in candidates if r.stage != prefill_costs.PREFILL]
        return min(
            self._at_most(decoders, MAX_COMPARED),
            key=lambda r: (
                self._decode_cost_s(r)
                + self._network_cost_s(r, body_bytes)
                + self._random.uniform(0, TIE_BREAK_S)
            ),
            default=None,
        )

    def _network_cost_s(
        self, replica: replicas.Replica, body_bytes: int
    ) -> float:
        if replica.failure_domain == self._failure_domain:
            return 0.0
        return CROSS_DOMAIN_S_PER_BYTE * body_bytes

    def _candidate(
        self, replica: replicas.Replica, request: plans.StreamRequest
    ) -> plans.Candidate:
        missing = self._index.uncached_tokens(replica.name, request.prompt)
        copy = self._choose_copy(replica, missing, request)
        uncached = missing - copy.tokens
        cost = self._prefill_cost(replica, uncached, request)
        cold_cost = self._prefill_cost(replica, request.prompt.tokens, request)
        queued_s = (
            self._load_tracker.load_of(replica.name).queued_prefill_ms / 1000
        )
        return plans.Candidate(
            replica,
            uncached,
            copy,
            queued_s,
            cost.work_s,
            cold_cost.work_s - cost.work_s,
            copy.duration_s + queued_s + cost.latency_s + cost.work_s,
            self._network_cost_s(replica, request.body_bytes),
            self._expected_saving_s(replica, uncached, request),
        )

    def _expected_saving_s(
        self,
        replica: replicas.Replica,
        uncached: int,
        request: plans.StreamRequest,
    ) -> float:
        saved = min(uncached, round(request.homes.saved_tokens(replica.name)))
        if not saved:
            return 0.0
        whole = self._prefill_cost(replica, uncached, request)
        rest = self._prefill_cost(replica, uncached - saved, request)
        return whole.work_s - rest.work_s

    def _prefill_cost(
        self,
        replica: replicas.Replica,
        uncached: int,
        request: plans.StreamRequest,
    ) -> prefill_costs.Cost:
        return self._costs.estimate(
            replica.service, replica.stage, uncached, request.prompt.tokens
        )

    def _choose_copy(
        self,
        replica: replicas.Replica,
        missing: int,
        request: plans.StreamRequest,
    ) -> plans.KvCopy:
        """Return the copy to a replica that saves most time, if any does.

        A replica that has just started has an empty cache. Without copies
        it would compute long shared prefixes, which a link carries far
        sooner.
        """
        best, best_gain_s = plans.NO_KV_COPY, MIN_COPY_GAIN_S
        uncopied_s = None
        for source, source_missing in request.copy_sources:
            tokens = missing - source_missing
            if tokens <= 0:
                continue
            duration_s = TRANSFER_SETUP_S + transfer_s(tokens, request.engine)
            if source.failure_domain != replica.failure_domain:
                duration_s *= CROSS_DOMAIN_TRANSFER_FACTOR
            if uncopied_s is None:
                uncopied_s = self._prefill_cost(
                    replica, missing, request
                ).work_s
            rest_s = self._prefill_cost(
                replica, source_missing, request
            ).work_s
            gain_s = uncopied_s - rest_s - duration_s
            if gain_s > best_gain_s:
                best = plans.KvCopy(source.address, tokens, duration_s)
                best_gain_s = gain_s
        return best

    def _cheapest(self, candidates: list[plans.Candidate]) -> plans.Candidate:
        return min(
            candidates,
            key=lambda c: c.cost_s + self._random.uniform(0, TIE_BREAK_S),
        )

    def _decode_cost_s(self, replica: replicas.Replica) -> float:
        running = self._load_tracker.load_of(replica.name).running
        overload = max(0, running - replica.slots * 0.9)
        return STREAM_COST_S * running + OVERLOAD_COST_S * overload

    def _interference_s(self, candidate: plans.Candidate) -> float:
        running = self._load_tracker.load_of(candidate.replica.name).running
        return INTERFERENCE_SHARE * running * candidate.work_s


def transfer_s(tokens: int, engine: catalog.Engine) -> float:
    """Return how long a link carries the KV cache of some tokens."""
    bits = tokens * engine.kv_token_bytes * 8
    return bits / (engine.link_mbps * 1e6)
