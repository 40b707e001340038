"""Choose the upstream of a request by estimated time to serve it."""

import random
import typing

from gentianstair.entry import estimates
from gentianstair.entry import hash_ring
from gentianstair.entry import prefix_index
from gentianstair.entry import upstream_load
from gentianstair.entry import upstream_state
from gentianstair.entry import work as works

__all__ = ['Choice', 'CostModel', 'Router', 'UpstreamInfo', 'make_router']

CostModel = estimates.CostModel
UpstreamInfo = upstream_state.UpstreamInfo

# Upstreams of one model that an entry process uses. It bounds connections
# and load reports in a large fleet.
MAX_SUBSET = 64
# Candidates of one decision: upstreams sampled at random, homes of the
# prompt's prefix on the hash ring, and upstreams known to have it cached.
SAMPLE_SIZE = 2
MAX_HOMES = 2
MAX_HOLDERS = 2
# Uncached prompt tokens from which a separate prefill is considered.
MIN_SPLIT_TOKENS = 256
SERVING = 'serving'


class Choice(typing.NamedTuple):
    """A routing decision; ``inputs`` holds the parts of its score.

    With a ``prefill_upstream`` the prefill runs there; then the KV cache is
    moved to ``upstream``, which decodes from the second token on.
    """

    upstream: str
    # Estimated time in seconds, the lowest of all candidates.
    score: float
    inputs: dict[str, float]
    # Prompt tokens that are expected not to be cached.
    prefill_tokens: int = 0
    # Prompt tokens that the prefix index holds as cached.
    indexed_tokens: int = 0
    prefill_upstream: str | None = None

    @property
    def prefilled_by(self) -> str:
        """Return the upstream that runs the prefill."""
        return self.prefill_upstream or self.upstream


class _Pool(typing.NamedTuple):
    """The upstreams of one model that this process uses."""

    subset: list[str]
    # Upstreams of the subset that decode, and those that only prefill.
    decoders: list[str]
    prefillers: list[str]
    # Hash ring of the decoders.
    ring: hash_ring.HashRing


def _make_pool(vm_name: str, infos: list[UpstreamInfo]) -> _Pool:
    roles = {info.name: info.role for info in infos}
    subset = hash_ring.rendezvous_select(vm_name, roles, MAX_SUBSET)
    prefillers = [name for name in subset if roles[name] == 'prefill']
    decoders = [name for name in subset if roles[name] != 'prefill']
    # With no decoder at all, prefill engines serve whole requests.
    decoders = decoders or prefillers
    return _Pool(subset, decoders, prefillers, hash_ring.HashRing(decoders))


class Router:
    """Chooses upstreams for the requests of one entry process."""

    def __init__(
        self,
        vm_name: str,
        failure_domain: str,
        seed: int,
        cost_model: CostModel,
        split: bool,
    ) -> None:
        self.vm_name = vm_name
        self.failure_domain = failure_domain
        self.cost_model = cost_model
        self.split = split
        self.index = prefix_index.PrefixIndex()
        self._random = random.Random(f'{vm_name}/{seed}')
        self._states: dict[str, upstream_state.UpstreamState] = {}
        self._pools: dict[str, _Pool] = {}
        # Upstreams that report that they accept no work, such as those that
        # drain or change their role. They are idle, so the score alone would
        # send them every request.
        self._unavailable: frozenset[str] = frozenset()

    def set_upstreams(self, infos: typing.Iterable[UpstreamInfo]) -> None:
        """Replace the upstreams; keep the state of those that remain."""
        states = {}
        for info in infos:
            state = self._states.get(
                info.name
            ) or upstream_state.UpstreamState(info)
            state.info = info._replace(role=state.reported_role or info.role)
            states[info.name] = state
        self._states = states
        self._pools = {}
        self._unavailable &= states.keys()

    def _pool(self, model: str) -> _Pool:
        pool = self._pools.get(model)
        if pool is None:
            infos = [
                state.info
                for state in self._states.values()
                if state.info.state == SERVING
                and (not state.info.models or model in state.info.models)
            ]
            pool = self._pools[model] = _make_pool(self.vm_name, infos)
        return pool

    def subset(self, model: str) -> list[str]:
        """Return the upstreams of a model that this process uses."""
        return self._pool(model).subset

    def _sample(self, names: list[str], exclude: frozenset[str]) -> list[str]:
        """Return up to SAMPLE_SIZE random names that are not excluded.

        If every entry process chose the best upstream of the same stale
        report, all would send to that one until the next report.
        """
        if len(names) > SAMPLE_SIZE:
            sampled = self._random.sample(names, SAMPLE_SIZE)
            if exclude.isdisjoint(sampled):
                return sampled
        allowed = [name for name in names if name not in exclude]
        if len(allowed) <= SAMPLE_SIZE:
            return allowed
        return self._random.sample(allowed, SAMPLE_SIZE)

    def _candidates(
        self,
        pool: _Pool,
        samples: prefix_index.SampledHashes,
        exclude: frozenset[str],
    ) -> list[str]:
        names = dict.fromkeys(self._sample(pool.decoders, exclude))
        hashes = samples.hashes
        if hashes:
            depth = self.index.known_depth(hashes)
            # All entry processes compute the same homes of a prefix, so it
            # is cached on few engines without any coordination.
            key = hashes[depth - 1] if depth else hashes[0]
            names.update(dict.fromkeys(pool.ring.lookup(key, MAX_HOMES)))
            if depth:
                holders = list(self.index.holders(key))[-MAX_HOLDERS:]
                names.update(
                    (name, None) for name in holders if name in pool.decoders
                )
        return [name for name in names if name not in exclude]

    def choose(
        self, work: works.Work, now_s: float, exclude: frozenset[str]
    ) -> Choice | None:
        """Return where to send a request, or None if no upstream is left."""
        pool = self._pool(work.model)
        exclude = exclude | self._unavailable
        samples = prefix_index.sample_hashes(work.block_hashes)
        names = self._candidates(pool, samples, exclude)
        cheapest = self._best(names, work, samples, now_s)
        if cheapest is None:
            return None
        name, best = cheapest
        choice = Choice(
            name,
            best.total_s,
            {**best._asdict(), 'considered': len(names)},
            best.unread_tokens,
            best.indexed_tokens,
        )
        if not self.split or best.unread_tokens < MIN_SPLIT_TOKENS:
            return choice
        split = self._choose_split(pool, work, samples, now_s, exclude)
        if split is not None and split.score < choice.score:
            return split
        return choice

    def _choose_split(
        self,
        pool: _Pool,
        work: works.Work,
        samples: prefix_index.SampledHashes,
        now_s: float,
        exclude: frozenset[str],
    ) -> Choice | None:
        """Return the best choice with a separate prefill upstream, if any.

        It pays off if the KV transfer takes less time than a prefill beside
        running sequences, which it would also delay.
        """
        names = self._sample(pool.prefillers, exclude)
        prefiller = self._best(names, work, samples, now_s)
        names = self._sample(pool.decoders, exclude)
        decoder = self._least_pressure(names, work, now_s)
        if prefiller is None or decoder is None or prefiller[0] == decoder[0]:
            return None
        transfer_s = estimates.kv_transfer_s(
            self.cost_model, work.prompt_tokens
        )
        prefill = prefiller[1]
        score = prefill.before_decode_s + transfer_s + decoder[1].pressure_s
        inputs = {
            **prefill._asdict(),
            'pressure_s': decoder[1].pressure_s,
            'interference_s': 0.0,
            'transfer_s': transfer_s,
            'considered': 2 * SAMPLE_SIZE,
        }
        return Choice(
            decoder[0],
            score,
            inputs,
            prefill.unread_tokens,
            prefill.indexed_tokens,
            prefiller[0],
        )

    def _best(
        self,
        names: typing.Iterable[str],
        work: works.Work,
        samples: prefix_index.SampledHashes,
        now_s: float,
    ) -> tuple[str, estimates.Estimate] | None:
        best = None
        for name in names:
            tokens = estimates.indexed_tokens(self.index, samples, name)
            estimate = self._estimate(name, work, tokens, now_s)
            if best is None or estimate.total_s < best[1].total_s:
                best = (name, estimate)
        return best

    def _least_pressure(
        self, names: typing.Iterable[str], work: works.Work, now_s: float
    ) -> tuple[str, estimates.Estimate] | None:
        best = None
        for name in names:
            estimate = self._estimate(name, work, work.prompt_tokens, now_s)
            if best is None or estimate.pressure_s < best[1].pressure_s:
                best = (name, estimate)
        return best

    def _estimate(
        self, name: str, work: works.Work, indexed_tokens: int, now_s: float
    ) -> estimates.Estimate:
        state = self._states[name]
        cross_domain = state.info.failure_domain != self.failure_domain
        return estimates.estimate(
            self.cost_model, state, work, indexed_tokens, cross_domain, now_s
        )

    def started(self, choice: Choice, work: works.Work, now_s: float) -> None:
        """Count a request that is being sent to the chosen upstream."""
        prefiller = self._states.get(choice.prefilled_by)
        if prefiller is not None:
            prefiller.load.started(
                work.request_id, choice.prefill_tokens, now_s
            )
        decoder = self._states.get(choice.upstream)
        if choice.prefill_upstream and decoder is not None:
            decoder.load.started(work.request_id, 0, now_s)
        # The prompt counts as cached from now on, so that requests with the
        # same prefix follow it; a failed attempt takes this back.
        for hash_ in prefix_index.sample_hashes(work.block_hashes).hashes:
            self.index.add(hash_, choice.prefilled_by)

    def first_token(
        self, choice: Choice, work: works.Work, now_s: float
    ) -> None:
        """Count the prefill as done."""
        state = self._states.get(choice.prefilled_by)
        if state is None:
            return
        took_s = state.load.first_token(work.request_id, now_s)
        if choice.prefill_upstream:
            state.load.finished(work.request_id, now_s)
        if took_s is not None:
            inputs = choice.inputs
            expected_s = inputs['queue_s'] + inputs['read_s']
            state.record_first_token(took_s, expected_s / inputs['slowness'])

    def finished(
        self,
        choice: Choice,
        work: works.Work,
        now_s: float,
        cached_tokens: int,
        output_tokens: int,
        failed: bool,
    ) -> None:
        """Forget a request, and learn from what its upstream returned.

        After a separate prefill, cached_tokens are those of that upstream.
        """
        for name in {choice.upstream, choice.prefilled_by}:
            state = self._states.get(name)
            if state is not None:
                state.load.finished(work.request_id, now_s)
                state.record_attempt(failed, now_s)
        if failed:
            # The prefixes added at the start may not be cached.
            for hash_ in prefix_index.sample_hashes(work.block_hashes).hashes:
                self.index.remove(hash_, choice.prefilled_by)
            return
        prefiller = self._states.get(choice.prefilled_by)
        if prefiller is not None:
            prefiller.record_cache_hits(cached_tokens, choice.indexed_tokens)

    def on_load(
        self,
        upstream: str,
        report: typing.Mapping[str, typing.Any],
        now_s: float,
    ) -> None:
        """Take a load report; its ``age_s`` is its age when received."""
        state = self._states.get(upstream)
        if state is None:
            return
        state.load.on_report(upstream_load.parse_report(report, now_s))
        role = report.get('role')
        if role and role != state.info.role:
            state.reported_role = role
            state.info = state.info._replace(role=role)
            self._pools = {}
        serving = report.get('state', SERVING) == SERVING
        if serving and upstream in self._unavailable:
            self._unavailable -= {upstream}
        elif not serving:
            self._unavailable |= {upstream}

    def on_cache_events(
        self,
        upstream: str,
        events: typing.Iterable[typing.Mapping[str, typing.Any]],
        gap: bool,
    ) -> None:
        """Take cache events; gap says that some before them were lost.

        A gap is only counted. A lost removal lowers the measured accuracy
        of the index, and a lost addition costs at most a cache hit.
        """
        state = self._states.get(upstream)
        if state is None:
            return
        if gap:
            state.event_gaps += 1
        for event in events:
            stored = event['type'] == 'stored'
            for hash_ in event['hashes']:
                if hash_ & prefix_index.SAMPLE_MASK:
                    continue
                if stored:
                    self.index.add(hash_, upstream)
                else:
                    self.index.remove(hash_, upstream)


def make_router(
    vm_name: str,
    failure_domain: str,
    seed: int = 0,
    cost_model: CostModel | None = None,
    split: bool = False,
) -> Router:
    """Return a router without upstreams.

    With split it may choose separate upstreams for prefill and decode, so
    the caller must be able to transfer the KV cache between them.
    """
    cost_model = cost_model or CostModel()
    return Router(vm_name, failure_domain, seed, cost_model, split)
