"""Hold the naive twins of routing: random, round robin, least loaded."""

import random
import typing

from gentianstair.entry import routing
from gentianstair.entry import work as works


class _Naive:
    """What the naive routers share: they learn nothing from answers."""

    def __init__(self, vm_name: str, seed: int) -> None:
        self._random = random.Random(f'{vm_name}/{seed}')
        self._infos: list[routing.UpstreamInfo] = []

    def set_upstreams(
        self, infos: typing.Iterable[routing.UpstreamInfo]
    ) -> None:
        """Take the upstreams in force."""
        self._infos = [info for info in infos if info.state == 'serving']

    def choose(
        self, work: works.Work, now_s: float, exclude: frozenset[str]
    ) -> routing.Choice | None:
        """Return where to send a request, or None if nowhere."""
        allowed = [
            info.name
            for info in self._infos
            if info.name not in exclude
            and (not info.models or work.model in info.models)
        ]
        if not allowed:
            return None
        return routing.Choice(self.pick(allowed), 0.0, {})

    def pick(self, allowed: list[str]) -> str:
        """Return one of the allowed upstreams."""
        raise NotImplementedError

    def started(self, *_: typing.Any) -> None:
        """Learn nothing."""

    def first_token(self, *_: typing.Any) -> None:
        """Learn nothing."""

    def finished(self, *_: typing.Any) -> None:
        """Learn nothing."""

    def on_load(
        self,
        upstream: str,
        report: typing.Mapping[str, typing.Any],
        now_s: float,
    ) -> None:
        """Learn nothing."""

    def on_cache_events(self, *_: typing.Any) -> None:
        """Learn nothing."""


class RandomRouter(_Naive):
    """Choose by chance."""

    def pick(self, allowed: list[str]) -> str:
        """Return one of the allowed upstreams."""
        return self._random.choice(allowed)


class RoundRobinRouter(_Naive):
    """Choose in turn."""

    def __init__(self, vm_name: str, seed: int) -> None:
        super().__init__(vm_name, seed)
        self._turn = self._random.randrange(1000)

    def pick(self, allowed: list[str]) -> str:
        """Return the next of the allowed upstreams."""
        self._turn += 1
        return allowed[self._turn % len(allowed)]


class LeastLoadedRouter(_Naive):
    """Choose the least requests by the last report, ties by chance."""

    def __init__(self, vm_name: str, seed: int) -> None:
        super().__init__(vm_name, seed)
        self._requests: dict[str, int] = {}

    def on_load(
        self,
        upstream: str,
        report: typing.Mapping[str, typing.Any],
        now_s: float,
    ) -> None:
        """Take a load report."""
        self._requests[upstream] = report['running'] + report['waiting']

    def pick(self, allowed: list[str]) -> str:
        """Return the least loaded of the allowed upstreams."""
        return min(
            allowed,
            key=lambda name: (
                self._requests.get(name, 0),
                self._random.random(),
            ),
        )


class LeastOutstandingRouter(LeastLoadedRouter):
    """Choose as the least loaded, but count what was sent since too."""

    def started(self, *args: typing.Any) -> None:
        """Count what was sent."""
        name = args[0].upstream
        self._requests[name] = self._requests.get(name, 0) + 1
