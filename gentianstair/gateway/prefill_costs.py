"""Learn what it costs a service's replicas to read prompts.

A read takes a fixed time to its default token, some for each token, and some
for each pair of tokens that are compared. Only the latter two keep the
replica busy; the fixed part overlaps with other reads. The coefficients are
fitted to reads as they took, less what was queued before them.
"""

import typing

PREFILL = 'prefill'
DECODE = 'decode'
# A replica that makes output reads prompts at half the speed of one that
# does nothing else, by the platform's description of its engines.
DECODE_SLOWDOWN = 2.0
# The estimate before anything was read: seconds to the default token, a
# thousand tokens and a million pairs. Too slow a guess spreads work evenly.
DEFAULT_COEFFICIENTS = (0.05, 0.04, 0.001)
# How many reads each figure of the default guess is worth.
DEFAULT_WEIGHTS = (1.0, 10.0, 2000.0)
# What a read counts for after the next one: a change of the replicas' speed
# shows after some hundred reads.
DECAY = 0.997
# Reads that took much longer or shorter than estimated count less: a part
# that was believed kept and was not, a wait that was not seen.
ERROR_TOLERANCE_S = 0.03
ERROR_TOLERANCE_SHARE = 0.1
# How fast the weight of a read falls as its error grows.
OUTLIER_EXPONENT = 2.0
EPSILON_S = 1e-5

Coefficients = tuple[float, float, float]


class Cost(typing.NamedTuple):
    """What one read is expected to cost."""

    # From its start to its default token, beside the work.
    latency_s: float
    # For how long the replica is busy with it.
    work_s: float


class FittedCosts(typing.NamedTuple):
    """The fit of one service and stage."""

    service: str
    stage: str
    samples: int
    coefficients: Coefficients


def features(uncached_tokens: int, prompt_tokens: int) -> Coefficients:
    """Return what a read is made of: one, thousands of tokens, M of pairs.

    Each unread token is compared with all tokens before it.

    >>> features(2000, 10000)
    (1.0, 2.0, 18.0)
    """
    before = max(uncached_tokens, prompt_tokens) - uncached_tokens / 2
    return 1.0, uncached_tokens / 1e3, uncached_tokens * before / 1e6


class _Fit:
    """Weighted least squares of one stage's reads, with a default guess."""

    def __init__(self) -> None:
        self.products = [[0.0] * 3 for _ in range(3)]
        self.sums = [0.0] * 3
        self.samples = 0

    def add(self, found: Coefficients, took_s: float, weight: float) -> None:
        """Take a read; older ones count less than before."""
        self.samples += 1
        for row in range(3):
            self.sums[row] *= DECAY
            self.sums[row] += weight * found[row] * took_s
            for column in range(3):
                self.products[row][column] *= DECAY
                self.products[row][column] += (
                    weight * found[row] * found[column]
                )

    def solve(self, default: Coefficients) -> Coefficients:
        """Return the coefficients that fit best, none of them negative."""
        rows = [list(row) for row in self.products]
        sums = list(self.sums)
        for place, weight in enumerate(DEFAULT_WEIGHTS):
            rows[place][place] += weight
            sums[place] += weight * default[place]
        a, b, c = _solve(rows, sums)
        return max(EPSILON_S, a), max(EPSILON_S, b), max(0.0, c)


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


class PrefillCosts:
    """The cost of reads, by service and stage."""

    def __init__(self) -> None:
        self._fits: dict[tuple[str, str], _Fit] = {}
        self._coefficients: dict[tuple[str, str], Coefficients] = {}
        # What others learned, in place of the default guess.
        self._seeds: dict[tuple[str, str], Coefficients] = {}

    def export(self) -> list[FittedCosts]:
        """Return what was learned here, for processes that start later."""
        return [
            FittedCosts(
                service, stage, fit.samples, self.coefficients(service, stage)
            )
            for (service, stage), fit in self._fits.items()
        ]

    def seed(self, found: typing.Iterable[FittedCosts]) -> None:
        """Take what others fitted; most samples win."""
        for learned in sorted(found, key=lambda one: one.samples):
            self._seeds[learned.service, learned.stage] = learned.coefficients
        self._coefficients.clear()

    def coefficients(self, service: str, stage: str) -> Coefficients:
        """Return the fitted coefficients of a service and stage."""
        key = (service, stage)
        known = self._coefficients.get(key)
        if known is None:
            fit = self._fits.get(key)
            default = self._default(service, stage)
            known = default if fit is None else fit.solve(default)
            self._coefficients[key] = known
        return known

    def _default(self, service: str, stage: str) -> Coefficients:
        seed = self._seeds.get((service, stage))
        if seed is not None:
            return seed
        if stage != DECODE:
            return DEFAULT_COEFFICIENTS
        latency_s, token_s, pair_s = self.coefficients(service, PREFILL)
        return latency_s, DECODE_SLOWDOWN * token_s, DECODE_SLOWDOWN * pair_s

    def estimate(
        self,
        service: str,
        stage: str,
        uncached_tokens: int,
        prompt_tokens: int,
    ) -> Cost:
        """Return what a read is expected to cost."""
        latency_s, token_s, pair_s = self.coefficients(service, stage)
        _, thousands, pairs = features(uncached_tokens, prompt_tokens)
        return Cost(latency_s, thousands * token_s + pairs * pair_s)

    def record(
        self,
        service: str,
        stage: str,
        uncached_tokens: int,
        prompt_tokens: int,
        took_s: float,
    ) -> None:
        """Take how long a read took, less what was queued before it."""
        found = features(uncached_tokens, prompt_tokens)
        took_s = max(0.0, took_s)
        guess = self.estimate(service, stage, uncached_tokens, prompt_tokens)
        error_s = abs(took_s - guess.latency_s - guess.work_s)
        usual_s = ERROR_TOLERANCE_S + ERROR_TOLERANCE_SHARE * took_s
        weight = (
            min(1.0, usual_s / max(error_s, EPSILON_S)) ** OUTLIER_EXPONENT
        )
        fit = self._fits.setdefault((service, stage), _Fit())
        fit.add(found, took_s, weight)
        self._coefficients.pop((service, stage), None)
        if stage == PREFILL:
            self._coefficients.pop((service, DECODE), None)
