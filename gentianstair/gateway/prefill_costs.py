"""Learn what it costs a service's replicas to read prompts.

A read takes a fixed time to its first token, some for each token, and some
for each pair of tokens that are compared. Only the latter two keep the
replica busy; the fixed part overlaps with other reads. The figures are
fitted to reads as they took, less what was queued before them.
"""

import typing

READS = 'prefill'
MAKES = 'decode'
# A replica that makes output reads prompts at half the speed of one that
# does nothing else, by the platform's description of its engines.
MAKER_TIMES = 2.0
# The estimate before anything was read: seconds to the first token, a
# thousand tokens and a million pairs. Too slow a guess spreads work evenly.
FIRST = (0.05, 0.04, 0.001)
# How many reads each figure of the first guess is worth.
FIRST_WEIGHTS = (1.0, 10.0, 2000.0)
# What a read counts for after the next one: a change of the replicas' speed
# shows after some hundred reads.
KEPT = 0.997
# Reads that took much longer or shorter than estimated count less: a part
# that was believed kept and was not, a wait that was not seen.
USUAL_ERROR_S = 0.03
USUAL_ERROR_SHARE = 0.1
# How fast the weight of a read falls as its error grows.
DISTRUST = 2.0
LEAST_S = 1e-5

Figures = tuple[float, float, float]


class Cost(typing.NamedTuple):
    """What one read is expected to cost."""

    # From its start to its first token, beside the work.
    latency_s: float
    # For how long the replica is busy with it.
    work_s: float


class Learned(typing.NamedTuple):
    """The figures of a service's replicas of a stage, from so many reads."""

    service: str
    stage: str
    reads: int
    figures: Figures


def terms(unread_tokens: int, prompt_tokens: int) -> Figures:
    """Return what a read is made of: one, thousands of tokens, M of pairs.

    Each unread token is compared with all tokens before it.

    >>> terms(2000, 10000)
    (1.0, 2.0, 18.0)
    """
    before = max(unread_tokens, prompt_tokens) - unread_tokens / 2
    return 1.0, unread_tokens / 1e3, unread_tokens * before / 1e6


class _Fit:
    """Weighted least squares of one stage's reads, with a first guess."""

    def __init__(self) -> None:
        self.products = [[0.0] * 3 for _ in range(3)]
        self.sums = [0.0] * 3
        self.reads = 0

    def add(self, found: Figures, took_s: float, weight: float) -> None:
        """Take a read; older ones count less than before."""
        self.reads += 1
        for row in range(3):
            self.sums[row] *= KEPT
            self.sums[row] += weight * found[row] * took_s
            for column in range(3):
                self.products[row][column] *= KEPT
                self.products[row][column] += (
                    weight * found[row] * found[column]
                )

    def solve(self, first: Figures) -> Figures:
        """Return the figures that fit best, none of them negative."""
        rows = [list(row) for row in self.products]
        sums = list(self.sums)
        for place, weight in enumerate(FIRST_WEIGHTS):
            rows[place][place] += weight
            sums[place] += weight * first[place]
        a, b, c = _solve(rows, sums)
        return max(LEAST_S, a), max(LEAST_S, b), max(0.0, c)


def _solve(rows: list[list[float]], sums: list[float]) -> list[float]:
    """Solve three equations by elimination; rows are positive definite."""
    for pivot in range(3):
        for row in range(pivot + 1, 3):
            times = rows[row][pivot] / rows[pivot][pivot]
            for column in range(pivot, 3):
                rows[row][column] -= times * rows[pivot][column]
            sums[row] -= times * sums[pivot]
    found = [0.0] * 3
    for row in (2, 1, 0):
        rest = sum(rows[row][k] * found[k] for k in range(row + 1, 3))
        found[row] = (sums[row] - rest) / rows[row][row]
    return found


class ReadCosts:
    """The cost of reads, by service and stage."""

    def __init__(self) -> None:
        self._fits: dict[tuple[str, str], _Fit] = {}
        self._figures: dict[tuple[str, str], Figures] = {}
        # What others learned, in place of the first guess.
        self._taken: dict[tuple[str, str], Figures] = {}

    def told(self) -> list[Learned]:
        """Return what was learned here, for processes that start later."""
        return [
            Learned(service, stage, fit.reads, self.figures(service, stage))
            for (service, stage), fit in self._fits.items()
        ]

    def take(self, found: typing.Iterable[Learned]) -> None:
        """Take what others learned; the figures of most reads go first."""
        for learned in sorted(found, key=lambda one: one.reads):
            self._taken[learned.service, learned.stage] = learned.figures
        self._figures.clear()

    def figures(self, service: str, stage: str) -> Figures:
        """Return the fitted figures of a service's replicas of a stage."""
        key = (service, stage)
        known = self._figures.get(key)
        if known is None:
            fit = self._fits.get(key)
            first = self._first(service, stage)
            known = first if fit is None else fit.solve(first)
            self._figures[key] = known
        return known

    def _first(self, service: str, stage: str) -> Figures:
        taken = self._taken.get((service, stage))
        if taken is not None:
            return taken
        if stage != MAKES:
            return FIRST
        latency_s, token_s, pair_s = self.figures(service, READS)
        return latency_s, MAKER_TIMES * token_s, MAKER_TIMES * pair_s

    def expect(
        self, service: str, stage: str, unread_tokens: int, prompt_tokens: int
    ) -> Cost:
        """Return what a read is expected to cost."""
        latency_s, token_s, pair_s = self.figures(service, stage)
        _, thousands, pairs = terms(unread_tokens, prompt_tokens)
        return Cost(latency_s, thousands * token_s + pairs * pair_s)

    def note(
        self,
        service: str,
        stage: str,
        unread_tokens: int,
        prompt_tokens: int,
        took_s: float,
    ) -> None:
        """Take how long a read took, less what was queued before it."""
        found = terms(unread_tokens, prompt_tokens)
        took_s = max(0.0, took_s)
        guess = self.expect(service, stage, unread_tokens, prompt_tokens)
        error_s = abs(took_s - guess.latency_s - guess.work_s)
        usual_s = USUAL_ERROR_S + USUAL_ERROR_SHARE * took_s
        weight = min(1.0, usual_s / max(error_s, LEAST_S)) ** DISTRUST
        fit = self._fits.setdefault((service, stage), _Fit())
        fit.add(found, took_s, weight)
        self._figures.pop((service, stage), None)
        if stage == READS:
            self._figures.pop((service, MAKES), None)
