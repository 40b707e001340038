"""Estimate how long the replicas of a service take to prefill prompts.

A prefill takes a fixed latency, a time for each computed token and a time for
each pair of tokens in attention. Only the latter two occupy the replica; the
latency overlaps with other prefills. The coefficients are fitted to observed
durations, less the work that was queued ahead.
"""

import typing

PREFILL = 'prefill'
DECODE = 'decode'
# Decode replicas compute prompts this many times slower than prefill ones.
DECODE_SLOWDOWN = 2.0
# Coefficients before any observation: seconds of latency, for a thousand
# tokens and for a million pairs. High estimates spread work evenly.
DEFAULT_COEFFICIENTS = (0.05, 0.04, 0.001)
# Weight of each default coefficient in the fit, in observations.
DEFAULT_WEIGHTS = (1.0, 10.0, 2000.0)
# Weight of an observation relative to the one after it. A change of speed
# shows after some hundred prefills.
DECAY = 0.997
# Observations further than this from the estimate have less weight. Their
# cause is often a stale prefix index, or queued work that is not known here.
ERROR_TOLERANCE_S = 0.03
ERROR_TOLERANCE_SHARE = 0.1
# How fast the weight falls as the error grows.
OUTLIER_EXPONENT = 2.0
# Lower bound of coefficients and of errors that are divided by.
EPSILON_S = 1e-5

# A value for each term: the latency, the tokens and the pairs.
Vector = tuple[float, float, float]


class Cost(typing.NamedTuple):
    """The expected cost of one prefill."""

    # Time to the first token besides the work.
    latency_s: float
    # How long the replica is occupied.
    work_s: float


class FittedCosts(typing.NamedTuple):
    """The fitted coefficients of one service and stage."""

    service: str
    stage: str
    samples: int
    coefficients: Vector


def features(uncached_tokens: int, prompt_tokens: int) -> Vector:
    """Return the factors of the coefficients for one prefill.

    These are 1, thousands of computed tokens, and millions of pairs: each
    computed token attends to all tokens before it.

    >>> features(2000, 10000)
    (1.0, 2.0, 18.0)
    """
    mean_context = max(uncached_tokens, prompt_tokens) - uncached_tokens / 2
    return 1.0, uncached_tokens / 1e3, uncached_tokens * mean_context / 1e6


class _Fit:
    """Weighted least squares over prefills, regularised to the defaults."""

    def __init__(self) -> None:
        # The normal equations: the sums of feature products, and of features
        # times durations.
        self.products = [[0.0] * 3 for _ in range(3)]
        self.sums = [0.0] * 3
        self.samples = 0

    def add(self, observed: Vector, duration_s: float, weight: float) -> None:
        """Add an observation; the weight of older ones decays."""
        self.samples += 1
        for row in range(3):
            self.sums[row] *= DECAY
            self.sums[row] += weight * observed[row] * duration_s
            for column in range(3):
                self.products[row][column] *= DECAY
                self.products[row][column] += (
                    weight * observed[row] * observed[column]
                )

    def solve(self, default: Vector) -> Vector:
        """Return the best non-negative coefficients."""
        rows = [list(row) for row in self.products]
        sums = list(self.sums)
        for place, weight in enumerate(DEFAULT_WEIGHTS):
            rows[place][place] += weight
            sums[place] += weight * default[place]
        latency_s, token_s, pair_s = _solve(rows, sums)
        return (
            max(EPSILON_S, latency_s),
            max(EPSILON_S, token_s),
            max(0.0, pair_s),
        )


def _solve(rows: list[list[float]], sums: list[float]) -> list[float]:
    """Solve three positive definite equations by Gaussian elimination."""
    for pivot in range(3):
        for row in range(pivot + 1, 3):
            factor = rows[row][pivot] / rows[pivot][pivot]
            for column in range(pivot, 3):
                rows[row][column] -= factor * rows[pivot][column]
            sums[row] -= factor * sums[pivot]
    solution = [0.0] * 3
    for row in (2, 1, 0):
        rest = sum(rows[row][k] * solution[k] for k in range(row + 1, 3))
        solution[row] = (sums[row] - rest) / rows[row][row]
    return solution


class PrefillCosts:
    """Cost estimates by service and stage."""

    def __init__(self) -> None:
        self._fits: dict[tuple[str, str], _Fit] = {}
        self._coefficients: dict[tuple[str, str], Vector] = {}
        # Coefficients fitted by other processes, used as defaults.
        self._seeds: dict[tuple[str, str], Vector] = {}

    def export(self) -> list[FittedCosts]:
        """Return the local fits, for processes that start later."""
        return [
            FittedCosts(
                service, stage, fit.samples, self.coefficients(service, stage)
            )
            for (service, stage), fit in self._fits.items()
        ]

    def seed(self, fits: typing.Iterable[FittedCosts]) -> None:
        """Use fits of other processes as defaults.

        Of several fits, the one with the most samples is used.
        """
        for fitted in sorted(fits, key=lambda one: one.samples):
            self._seeds[fitted.service, fitted.stage] = fitted.coefficients
        self._coefficients.clear()

    def coefficients(self, service: str, stage: str) -> Vector:
        """Return the fitted coefficients of a service and stage."""
        key = (service, stage)
        known = self._coefficients.get(key)
        if known is None:
            fit = self._fits.get(key)
            default = self._default(service, stage)
            known = default if fit is None else fit.solve(default)
            self._coefficients[key] = known
        return known

    def _default(self, service: str, stage: str) -> Vector:
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
        """Return the expected cost of a prefill."""
        latency_s, token_s, pair_s = self.coefficients(service, stage)
        _, thousands, pairs = features(uncached_tokens, prompt_tokens)
        return Cost(latency_s, thousands * token_s + pairs * pair_s)

    def record(
        self,
        service: str,
        stage: str,
        uncached_tokens: int,
        prompt_tokens: int,
        duration_s: float,
    ) -> None:
        """Record how long a prefill took, without its time in the queue."""
        observed = features(uncached_tokens, prompt_tokens)
        duration_s = max(0.0, duration_s)
        expected = self.estimate(
            service, stage, uncached_tokens, prompt_tokens
        )
        error_s = abs(duration_s - expected.latency_s - expected.work_s)
        tolerance_s = ERROR_TOLERANCE_S + ERROR_TOLERANCE_SHARE * duration_s
        weight = (
            min(1.0, tolerance_s / max(error_s, EPSILON_S)) ** OUTLIER_EXPONENT
        )
        fit = self._fits.setdefault((service, stage), _Fit())
        fit.add(observed, duration_s, weight)
        self._coefficients.pop((service, stage), None)
        if stage == PREFILL:
            self._coefficients.pop((service, DECODE), None)
