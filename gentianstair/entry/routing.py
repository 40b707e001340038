"""Choose the upstream of a request from late and partial knowledge."""

import random
import typing

from gentianstair.entry import estimates
from gentianstair.entry import prefix_index
from gentianstair.entry import ring
from gentianstair.entry import upstream_load
from gentianstair.entry import upstream_state
from gentianstair.entry import work as works

__all__ = ['Choice', 'Rates', 'Router', 'UpstreamInfo', 'make_router']

Rates = estimates.Rates
UpstreamInfo = upstream_state.UpstreamInfo

# An entry process samples from at most this many upstreams a model, so that
# it holds few connections and reads few load reports in a large fleet.
SUBSET = 64
# Candidates of one decision.
SAMPLED = 2
HOMES = 2
HOLDERS = 2
# Shorter prompts are read where their output is made.
SPLIT_MIN_TOKENS = 256
SERVING = 'serving'


class Choice(typing.NamedTuple):
    """A decision; ``inputs`` are the figures it was made from.

    With a ``prefill_upstream`` the prompt is to be read there, and its KV
    moved to ``upstream``, which makes the output after the first token.
    """

    upstream: str
    score: float
    inputs: dict[str, float]
    prefill_tokens: int = 0
    # Cached tokens that the index expects, before any distrust.
    indexed_tokens: int = 0
    prefill_upstream: str | None = None

    @property
    def reader(self) -> str:
        """Return the upstream that reads the prompt."""
        return self.prefill_upstream or self.upstream


class _Pool(typing.NamedTuple):
    """The upstreams of one model that this process uses."""

    subset: list[str]
    # Those that make output, and those that only read prompts.
    direct: list[str]
    readers: list[str]
    ring: ring.Ring


def _make_pool(vm_name: str, infos: list[UpstreamInfo]) -> _Pool:
    roles = {info.name: info.role for info in infos}
    subset = ring.rendezvous(vm_name, roles, SUBSET)
    readers = [name for name in subset if roles[name] == 'prefill']
    direct = [name for name in subset if roles[name] != 'prefill']
    # Engines with the wrong role are better than none.
    direct = direct or readers
    return _Pool(subset, direct, readers, ring.Ring(direct))


class Router:
    """Choose upstreams; every entry process has one of its own."""

    def __init__(
        self,
        vm_name: str,
        failure_domain: str,
        seed: int,
        rates: Rates,
        split: bool,
    ) -> None:
        self.vm_name = vm_name
        self.failure_domain = failure_domain
        self.rates = rates
        self.split = split
        self.index = prefix_index.PrefixIndex()
        self._random = random.Random(f'{vm_name}/{seed}')
        self._states: dict[str, upstream_state.UpstreamState] = {}
        self._pools: dict[str, _Pool] = {}
        # Upstreams that say they take no work. One that changes its role or
        # drains has nothing running: by its load it is the best of all, and
        # every request to it would first be refused.
        self._away: frozenset[str] = frozenset()

    def set_upstreams(self, infos: typing.Iterable[UpstreamInfo]) -> None:
        """Take the upstreams in force; keep what is known of old ones."""
        states = {}
        for info in infos:
            state = self._states.get(
                info.name
            ) or upstream_state.UpstreamState(info)
            state.info = info._replace(role=state.reported_role or info.role)
            states[info.name] = state
        self._states = states
        self._pools = {}
        self._away &= states.keys()

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
        """Return the upstreams whose load reports are worth reading."""
        return self._pool(model).subset

    def _sample(self, names: list[str], exclude: frozenset[str]) -> list[str]:
        """Return two names by chance, which keeps entries from herding.

        Eight entries that each took the best of the same late report would
        all send to one upstream until the next report.
        """
        if len(names) > SAMPLED:
            found = self._random.sample(names, SAMPLED)
            if exclude.isdisjoint(found):
                return found
        allowed = [name for name in names if name not in exclude]
        if len(allowed) <= SAMPLED:
            return allowed
        return self._random.sample(allowed, SAMPLED)

    def _candidates(
        self,
        pool: _Pool,
        samples: prefix_index.SampledHashes,
        exclude: frozenset[str],
    ) -> list[str]:
        found = dict.fromkeys(self._sample(pool.direct, exclude))
        hashes = samples.hashes
        if hashes:
            known = self.index.known_depth(hashes)
            # Entries agree on the home of a prefix without a message, so
            # they do not each fill another engine's cache with it.
            key = hashes[known - 1] if known else hashes[0]
            found.update(dict.fromkeys(pool.ring.homes(key, HOMES)))
            if known:
                holders = list(self.index.holders(key))[-HOLDERS:]
                found.update(
                    (name, None) for name in holders if name in pool.direct
                )
        return [name for name in found if name not in exclude]

    def choose(
        self, work: works.Work, now_s: float, exclude: frozenset[str]
    ) -> Choice | None:
        """Return where to send a request, or None if nowhere."""
        pool = self._pool(work.model)
        exclude = exclude | self._away
        samples = prefix_index.sample_hashes(work.block_hashes)
        names = self._candidates(pool, samples, exclude)
        found = self._best(names, work, samples, now_s)
        if found is None:
            return None
        name, best = found
        choice = Choice(
            name,
            best.total_s,
            {**best._asdict(), 'considered': len(names)},
            best.unread_tokens,
            best.indexed_tokens,
        )
        if not self.split or best.unread_tokens < SPLIT_MIN_TOKENS:
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
        """Return the best way with a KV transfer, if there is one.

        It pays when reading elsewhere and moving the KV is quicker than
        reading at the side of other sequences and delaying them.
        """
        names = self._sample(pool.readers, exclude)
        reader = self._best(names, work, samples, now_s)
        names = self._sample(pool.direct, exclude)
        maker = self._least_pressure(names, work, now_s)
        if reader is None or maker is None or reader[0] == maker[0]:
            return None
        moved_s = estimates.transfer_s(self.rates, work.prompt_tokens)
        read = reader[1]
        score = read.before_decode_s + moved_s + maker[1].pressure_s
        inputs = {
            **read._asdict(),
            'pressure_s': maker[1].pressure_s,
            'interference_s': 0.0,
            'transfer_s': moved_s,
            'considered': 2 * SAMPLED,
        }
        return Choice(
            maker[0],
            score,
            inputs,
            read.unread_tokens,
            read.indexed_tokens,
            reader[0],
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
            found = self._estimate(name, work, tokens, now_s)
            if best is None or found.total_s < best[1].total_s:
                best = (name, found)
        return best

    def _least_pressure(
        self, names: typing.Iterable[str], work: works.Work, now_s: float
    ) -> tuple[str, estimates.Estimate] | None:
        best = None
        for name in names:
            found = self._estimate(name, work, work.prompt_tokens, now_s)
            if best is None or found.pressure_s < best[1].pressure_s:
                best = (name, found)
        return best

    def _estimate(
        self, name: str, work: works.Work, indexed: int, now_s: float
    ) -> estimates.Estimate:
        state = self._states[name]
        far = state.info.failure_domain != self.failure_domain
        return estimates.estimate(self.rates, state, work, indexed, far, now_s)

    def started(self, choice: Choice, work: works.Work, now_s: float) -> None:
        """Count a request that is being sent to the choice."""
        reader = self._states.get(choice.reader)
        if reader is not None:
            reader.load.started(work.request_id, choice.prefill_tokens, now_s)
        maker = self._states.get(choice.upstream)
        if choice.prefill_upstream and maker is not None:
            maker.load.started(work.request_id, 0, now_s)
        # It will be cached by the time that others of its kind arrive; the
        # engine's answer corrects this.
        for hash_ in prefix_index.sample_hashes(work.block_hashes).hashes:
            self.index.add(hash_, choice.reader)

    def first_token(
        self, choice: Choice, work: works.Work, now_s: float
    ) -> None:
        """Count the prompt as read."""
        state = self._states.get(choice.reader)
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

        After a split, cached_tokens are those that its reader found.
        """
        for name in {choice.upstream, choice.reader}:
            state = self._states.get(name)
            if state is not None:
                state.load.finished(work.request_id, now_s)
                state.record_attempt(failed, now_s)
        if failed:
            # Whatever was noted at the start may not be cached at all.
            for hash_ in prefix_index.sample_hashes(work.block_hashes).hashes:
                self.index.remove(hash_, choice.reader)
            return
        reader = self._states.get(choice.reader)
        if reader is not None:
            reader.record_cache_hits(cached_tokens, choice.indexed_tokens)

    def on_load(
        self,
        upstream: str,
        report: typing.Mapping[str, typing.Any],
        now_s: float,
    ) -> None:
        """Take a load report; ``age_s`` in it says how old it is."""
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
        if serving and upstream in self._away:
            self._away -= {upstream}
        elif not serving:
            self._away |= {upstream}

    def on_cache_events(
        self,
        upstream: str,
        events: typing.Iterable[typing.Mapping[str, typing.Any]],
        gap: bool,
    ) -> None:
        """Take cache events; gap says that some were lost.

        Lost removals show in what the upstream then returns, which sets how
        far it is trusted; lost additions only cost a hit. So a gap itself
        changes nothing: distrust at each gap was tried and cost hits.
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
    rates: Rates | None = None,
    split: bool = False,
) -> Router:
    """Return a router that knows no upstream yet.

    With split it may choose a prefill upstream besides, so its caller must
    be able to move KV.
    """
    rates = rates or Rates()
    return Router(vm_name, failure_domain, seed, rates, split)
