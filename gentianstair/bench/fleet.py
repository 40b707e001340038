"""Replay arrivals on in-process engines, through a router an entry."""

import collections.abc
import contextlib
import math
import typing

import trio
import trio.testing

from gentianstair.entry import routing
from gentianstair.entry import work as works
from standins.engine import model

TRIES = 3


class Network(typing.NamedTuple):
    """How late everything is that entries know."""

    one_way_s: float = 0.001
    load_poll_s: float = 0.25
    load_lag_s: float = 1.0
    events_poll_s: float = 0.5
    event_delay_s: float = 1.0
    event_loss: float = 0.05


class Arrival(typing.NamedTuple):
    """A request at an entry."""

    at_s: float
    entry: int
    work: works.Work


class Outcome(typing.NamedTuple):
    """What became of a request; times count from its arrival."""

    work: works.Work
    at_s: float
    first_s: float | None
    end_s: float | None
    cached_tokens: int
    upstream: str

    @property
    def token_s(self) -> float:
        """Return the mean time between output tokens."""
        if self.first_s is None or self.end_s is None:
            return 0.0
        gaps = max(self.work.max_tokens - 1, 1)
        return (self.end_s - self.first_s) / gaps


# Anything with the methods of routing.Router.
AnyRouter = typing.Any
Send = collections.abc.Callable[..., collections.abc.Awaitable[Outcome]]


class Fleet:
    """Engines and entries, for the length of one replay."""

    def __init__(
        self,
        engines: list[model.Engine],
        routers: list[AnyRouter],
        network: Network,
        give_up_s: float = math.inf,
    ) -> None:
        self.engines = {engine.options.name: engine for engine in engines}
        self.routers = routers
        self.network = network
        # Callers that have no first token by then go away.
        self.give_up_s = give_up_s
        self.outcomes: list[Outcome] = []
        self.retries = 0
        self.transfers = 0
        # What arrived since a planner last looked, and when.
        self.arrived: list[tuple[float, works.Work]] = []

    async def poll_load(self, entry: int) -> None:
        """Tell a router the load reports, for ever."""
        router = self.routers[entry]
        lag_s = self.network.load_lag_s
        # Entries do not poll in step.
        await trio.sleep(self.network.load_poll_s * entry / len(self.routers))
        while True:
            for name, engine in self.engines.items():
                report = {**engine.load()._asdict(), 'age_s': lag_s}
                router.on_load(name, report, trio.current_time())
            await trio.sleep(self.network.load_poll_s)

    async def poll_events(self, entry: int) -> None:
        """Tell a router the cache events, for ever."""
        router = self.routers[entry]
        seen = dict.fromkeys(self.engines, 0)
        while True:
            await trio.sleep(self.network.events_poll_s)
            for name, engine in self.engines.items():
                events, last = engine.cache.events(seen[name])
                gap = last - seen[name] > len(events)
                seen[name] = last
                found = [event._asdict() for event in events]
                if found:
                    router.on_cache_events(name, found, gap)

    async def send(self, arrival: Arrival) -> None:
        """Run one request through the router of its entry."""
        router = self.routers[arrival.entry]
        self.arrived.append((trio.current_time(), arrival.work))
        exclude: set[str] = set()
        for _ in range(TRIES):
            now_s = trio.current_time()
            choice = router.choose(arrival.work, now_s, frozenset(exclude))
            if choice is None:
                break
            router.started(choice, arrival.work, now_s)
            with contextlib.suppress(model.RefusedError):
                await self._run(arrival, router, choice)
                return
            router.finished(
                choice, arrival.work, trio.current_time(), 0, 0, True
            )
            exclude.add(choice.upstream)
            self.retries += 1
        work = arrival.work
        self.outcomes.append(Outcome(work, arrival.at_s, None, None, 0, ''))

    async def _run(
        self, arrival: Arrival, router: AnyRouter, choice: routing.Choice
    ) -> None:
        work = arrival.work
        await trio.sleep(self.network.one_way_s)
        first = request = model.Request(
            work.request_id,
            work.prompt_tokens,
            work.max_tokens,
            work.block_hashes,
            work.priority,
            work.model,
        )
        if choice.prefill_upstream:
            first = request._replace(max_tokens=1)
        sequence = self.engines[choice.prefilled_by].submit(first)
        with trio.move_on_after(self.give_up_s):
            await sequence.wait_past(0)
        if not sequence.produced:
            self._give_up(arrival, router, choice)
            return
        await trio.sleep(self.network.one_way_s)
        first_s = trio.current_time()
        router.first_token(choice, work, first_s)
        cached_tokens = sequence.cached_tokens
        done = False
        with trio.move_on_at(work.deadline_s):
            if choice.prefill_upstream:
                sequence = await self._move(choice, request)
            await sequence.wait_end()
            done = True
        if not done:
            self._give_up(arrival, router, choice)
            return
        await trio.sleep(self.network.one_way_s)
        now_s = trio.current_time()
        router.finished(
            choice,
            work,
            now_s,
            cached_tokens,
            sequence.produced,
            False,
        )
        outcome = Outcome(
            work,
            arrival.at_s,
            first_s - arrival.at_s,
            now_s - arrival.at_s,
            cached_tokens,
            choice.upstream,
        )
        self.outcomes.append(outcome)

    def _give_up(
        self, arrival: Arrival, router: AnyRouter, choice: routing.Choice
    ) -> None:
        """Cancel a request whose caller waited too long."""
        work = arrival.work
        for engine in self.engines.values():
            engine.cancel(work.request_id)
        now_s = trio.current_time()
        indexed = choice.indexed_tokens
        router.finished(choice, work, now_s, indexed, 0, False)
        self.outcomes.append(Outcome(work, arrival.at_s, None, None, 0, ''))

    async def _move(
        self, choice: routing.Choice, request: model.Request
    ) -> model.Sequence:
        """Move the KV of a prompt that was read, and go on with output."""
        source = self.engines[choice.prefilled_by]
        target = self.engines[choice.upstream]
        # The first token is made already; the rest goes on from it.
        rest = request._replace(
            prompt_tokens=request.prompt_tokens + 1,
            max_tokens=max(request.max_tokens - 1, 1),
        )
        while True:
            try:
                # Moved when the target has room, not before: KV that waits
                # there is evicted, and the prompt is then read twice.
                await target.import_kv(source.export_kv(request.hashes))
                self.transfers += 1
                return target.submit(rest)
            except model.RefusedError:
                target = self._other(target)
                await trio.sleep(model.IMPORT_RETRY_S)

    def _other(self, target: model.Engine) -> model.Engine:
        """Return the next engine that makes output, after a refusal."""
        makers = [
            engine
            for engine in self.engines.values()
            if engine.state == 'serving' and engine.role != 'prefill'
        ]
        if target not in makers:
            return min(makers, key=lambda item: len(item.sequences))
        return makers[(makers.index(target) + 1) % len(makers)]

    async def replay(
        self,
        arrivals: list[Arrival],
        besides: typing.Sequence[typing.Callable] = (),
    ) -> None:
        """Run all arrivals to their ends, with other tasks besides."""
        async with trio.open_nursery() as outer:
            for engine in self.engines.values():
                outer.start_soon(engine.run)
            for entry in range(len(self.routers)):
                outer.start_soon(self.poll_load, entry)
                outer.start_soon(self.poll_events, entry)
            for task in besides:
                outer.start_soon(task)
            start_s = trio.current_time()
            async with trio.open_nursery() as requests:
                for arrival in arrivals:
                    await trio.sleep_until(start_s + arrival.at_s)
                    moved = arrival._replace(at_s=trio.current_time())
                    requests.start_soon(self.send, moved)
            outer.cancel_scope.cancel()


def run_simulated(
    seed: int, main: typing.Callable, *args: typing.Any
) -> typing.Any:
    """Run main on a clock that jumps over all waiting.

    Trio shuffles the tasks that are ready; without its generator seeded the
    same seed gave figures that differed by a tenth.
    """
    scheduler = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore
    scheduler._r.seed(seed)  # type: ignore
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, *args, clock=clock)


def percentile(values: typing.Iterable[float], share: float) -> float:
    """Return the value below which a share of values lies.

    >>> percentile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    if not ordered:
        return float('nan')
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]
