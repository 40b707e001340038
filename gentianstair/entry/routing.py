"""Choose the upstream of a request from late and partial knowledge."""

import random
import typing

from gentianstair.entry import loadview
from gentianstair.entry import prefixes
from gentianstair.entry import ring
from gentianstair.entry import work as works

# An entry process samples from at most this many upstreams a model, so that
# it holds few connections and reads few load reports in a large fleet.
SUBSET = 64
# Candidates of one decision.
SAMPLED = 2
HOMES = 2
HOLDERS = 2


class Rates(typing.NamedTuple):
    """What an engine's work is expected to cost, until observed."""

    prefill_token_s: float = 0.0001
    step_s: float = 0.012
    decode_s: float = 0.0005
    # Most prompt tokens a step takes, by role.
    mixed_chunk_tokens: int = 512
    prefill_chunk_tokens: int = 2048
    decode_chunk_tokens: int = 64
    # Way to an upstream in another failure domain and back.
    distance_s: float = 0.002
    # What a request costs in time that then fails.
    failure_s: float = 2.0
    # What running work costs others: each more sequence delays all.
    pressure_s: float = 0.002


class UpstreamInfo(typing.NamedTuple):
    """What the configuration says of an upstream; no models means any."""

    name: str
    failure_domain: str
    models: tuple[str, ...] = ()
    role: str = 'mixed'
    state: str = 'serving'
    concurrent: int = 64


class Choice(typing.NamedTuple):
    """A decision; ``inputs`` are the figures it was made from."""

    upstream: str
    score: float
    inputs: dict[str, float]
    prefill_tokens: int = 0
    # Cached tokens that the index expects, before any distrust.
    indexed_tokens: int = 0


class _Pool(typing.NamedTuple):
    """The upstreams of one model."""

    names: list[str]
    subset: list[str]
    ring: ring.Ring


class _FadingSum:
    """A sum in which old values fade, with a start that fades too."""

    def __init__(self) -> None:
        self.value = 2.0

    def add(self, value: float) -> None:
        """Add a value; all earlier ones count a little less."""
        self.value = self.value * (1.0 - _FADE) + value


class _State:
    """What is known of one upstream."""

    def __init__(self, info: UpstreamInfo) -> None:
        self.info = info
        self.load = loadview.LoadView()
        # Observed times to the first token over the expected ones. Fading
        # sums, not a mean of ratios: one short prompt behind an unseen queue
        # takes 20 times as long as expected and says little.
        self.took_s = _FadingSum()
        self.expected_s = _FadingSum()
        self.slowness = 1.0
        # Share of predicted cached tokens that were found of late.
        self.trust = 1.0
        # Share of tries that failed, as it was at a time.
        self._failing = 0.0
        self._failing_at_s = 0.0
        # Cache events lost, for metrics.
        self.gaps = 0

    def failing(self, now_s: float) -> float:
        """Return the share of tries that fail, as far as known.

        It fades, so that an upstream that is avoided is tried again.
        """
        if not self._failing:
            return 0.0
        age_s = now_s - self._failing_at_s
        return self._failing * 0.5 ** (age_s / _FAILING_HALF_LIFE_S)

    def note_try(self, failed: bool, now_s: float) -> None:
        """Count a try that ended."""
        self._failing = _smooth(
            self.failing(now_s), 1.0 if failed else 0.0, _FAILING_SMOOTHING
        )
        self._failing_at_s = now_s


_SMOOTHING = 0.1
_FAILING_SMOOTHING = 0.3
_FAILING_HALF_LIFE_S = 10.0
_FADE = 0.05
_SLOWNESS_RANGE = (0.25, 20.0)


def _smooth(old: float, new: float, share: float = _SMOOTHING) -> float:
    return old + share * (new - old)


class Router:
    """Choose upstreams; every entry process has one of its own."""

    def __init__(
        self,
        vm_name: str,
        failure_domain: str,
        seed: int,
        rates: Rates,
    ) -> None:
        self.vm_name = vm_name
        self.failure_domain = failure_domain
        self.rates = rates
        self.index = prefixes.PrefixIndex()
        self._random = random.Random(f'{vm_name}/{seed}')
        self._states: dict[str, _State] = {}
        self._pools: dict[str, _Pool] = {}

    def set_upstreams(self, infos: typing.Iterable[UpstreamInfo]) -> None:
        """Take the upstreams in force; keep what is known of old ones."""
        states = {}
        for info in infos:
            state = self._states.get(info.name) or _State(info)
            state.info = info
            states[info.name] = state
        self._states = states
        self._pools = {}

    def _pool(self, model: str) -> _Pool:
        pool = self._pools.get(model)
        if pool is None:
            names = [
                state.info.name
                for state in self._states.values()
                if state.info.state == 'serving'
                and (not state.info.models or model in state.info.models)
            ]
            subset = ring.rendezvous(self.vm_name, names, SUBSET)
            pool = _Pool(names, subset, ring.Ring(names))
            self._pools[model] = pool
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
        samples: prefixes.Samples,
        exclude: frozenset[str],
    ) -> list[str]:
        found = dict.fromkeys(self._sample(pool.subset, exclude))
        hashes = samples.hashes
        if hashes:
            known = self.index.deepest(hashes)
            # Entries agree on the home of a prefix without a message, so
            # they do not each fill another engine's cache with it.
            key = hashes[known - 1] if known else hashes[0]
            found.update(dict.fromkeys(pool.ring.homes(key, HOMES)))
            if known:
                holders = list(self.index.holders(key))
                found.update(dict.fromkeys(holders[-HOLDERS:]))
        return [
            name
            for name in found
            if name not in exclude and self._usable(name)
        ]

    def _usable(self, name: str) -> bool:
        state = self._states.get(name)
        return state is not None and state.info.state == 'serving'

    def choose(
        self, work: works.Work, now_s: float, exclude: frozenset[str]
    ) -> Choice | None:
        """Return where to send a request, or None if nowhere."""
        pool = self._pool(work.model)
        if not pool.names:
            return None
        samples = prefixes.sample(work.block_hashes)
        names = self._candidates(pool, samples, exclude)
        best = None
        for name in names:
            choice = self._score(name, work, samples, now_s)
            if best is None or choice.score < best.score:
                best = choice
        if best is not None:
            best.inputs['considered'] = len(names)
        return best

    def _chunk_tokens(self, role: str) -> int:
        rates = self.rates
        if role == 'mixed':
            return rates.mixed_chunk_tokens
        if role == 'prefill':
            return rates.prefill_chunk_tokens
        return rates.decode_chunk_tokens

    def _score(
        self,
        name: str,
        work: works.Work,
        samples: prefixes.Samples,
        now_s: float,
    ) -> Choice:
        rates = self.rates
        state = self._states[name]
        load = state.load.estimate(now_s)
        indexed = 0
        if samples.hashes:
            depth = self.index.depth_at(samples.hashes, name)
            indexed = samples.blocks(depth) * works.BLOCK_TOKENS
        cached = int(indexed * state.trust)
        unread = max(work.prompt_tokens - cached, 1)
        # A step reads one chunk and serves all sequences besides.
        step_s = rates.step_s + load.requests * rates.decode_s
        token_s = rates.prefill_token_s + step_s / self._chunk_tokens(
            state.info.role
        )
        token_s *= state.slowness
        queue_s = load.prefill_tokens * token_s
        read_s = unread * token_s
        pressure_s = load.requests * rates.pressure_s * state.slowness
        over = load.requests + 1 - state.info.concurrent
        if over > 0:
            # Its turn comes when sequences end: tokens left, shared out.
            pressure_s += (
                over * work.max_tokens * step_s / state.info.concurrent
            )
        far = state.info.failure_domain != self.failure_domain
        distance_s = rates.distance_s if far else 0.0
        # As many tries fail before one succeeds. A fixed cost would be less
        # than the queue of a busy upstream, and all would go to a dead one.
        failing = state.failing(now_s)
        failing_s = rates.failure_s * failing / (1.0 - failing + 0.01)
        score = queue_s + read_s + pressure_s + distance_s + failing_s
        inputs = {
            'queue_s': queue_s,
            'read_s': read_s,
            'pressure_s': pressure_s,
            'distance_s': distance_s,
            'failing_s': failing_s,
            'cached_tokens': cached,
            'slowness': state.slowness,
            'report_age_s': load.report_age_s,
        }
        return Choice(name, score, inputs, unread, indexed)

    def started(self, choice: Choice, work: works.Work, now_s: float) -> None:
        """Count a request that is being sent to the choice."""
        state = self._states.get(choice.upstream)
        if state is None:
            return
        state.load.started(work.request_id, choice.prefill_tokens, now_s)
        # It will be cached by the time that others of its kind arrive; the
        # engine's answer corrects this.
        for hash_ in prefixes.sample(work.block_hashes).hashes:
            self.index.add(hash_, choice.upstream)

    def first_token(
        self, choice: Choice, work: works.Work, now_s: float
    ) -> None:
        """Count the prompt as read."""
        state = self._states.get(choice.upstream)
        if state is None:
            return
        took_s = state.load.first_token(work.request_id, now_s)
        if took_s is None:
            return
        inputs = choice.inputs
        expected_s = inputs['queue_s'] + inputs['read_s']
        state.took_s.add(took_s)
        state.expected_s.add(expected_s / inputs['slowness'])
        low, high = _SLOWNESS_RANGE
        ratio = state.took_s.value / state.expected_s.value
        state.slowness = min(max(ratio, low), high)

    def finished(
        self,
        choice: Choice,
        work: works.Work,
        now_s: float,
        cached_tokens: int,
        output_tokens: int,
        failed: bool,
    ) -> None:
        """Forget a request, and learn from what its upstream returned."""
        state = self._states.get(choice.upstream)
        if state is None:
            return
        state.load.finished(work.request_id, now_s)
        state.note_try(failed, now_s)
        if failed:
            # Whatever was noted at the start may not be cached at all.
            for hash_ in prefixes.sample(work.block_hashes).hashes:
                self.index.remove(hash_, choice.upstream)
            return
        if choice.indexed_tokens:
            found = min(cached_tokens / choice.indexed_tokens, 1.0)
            state.trust = _smooth(state.trust, found)

    def on_load(
        self,
        upstream: str,
        report: typing.Mapping[str, typing.Any],
        now_s: float,
    ) -> None:
        """Take a load report; ``age_s`` in it says how old it is."""
        state = self._states.get(upstream)
        if state is not None:
            state.load.on_report(loadview.parse_report(report, now_s))

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
            state.gaps += 1
        for event in events:
            stored = event['type'] == 'stored'
            for hash_ in event['hashes']:
                if hash_ & prefixes.SAMPLE_MASK:
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
) -> Router:
    """Return a router that knows no upstream yet."""
    return Router(vm_name, failure_domain, seed, rates or Rates())
