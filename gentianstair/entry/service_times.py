"""Estimate how long requests of one model run, from those that finished."""

import typing

# Weight that earlier requests keep with each newly finished one.
FORGETTING_FACTOR = 0.98
# Safety margin of an expected time, in mean relative errors. Without it,
# about half of the requests would miss their deadlines under overload.
MARGIN_ERRORS = 2.0
# Mean relative error of the expected times before any request finished.
INITIAL_ERROR_SHARE = 0.2
# Time for each prompt token and each output token before any finished.
INITIAL_PROMPT_TOKEN_S = 0.0005
INITIAL_OUTPUT_TOKEN_S = 0.03
# Variance of the fitted times, in scaled tokens: at first and at most.
INITIAL_VARIANCE = 10.0
MAX_VARIANCE = 1000.0
# Tokens are divided by these, so that both kinds weigh alike in the fit.
PROMPT_SCALE = 1000.0
OUTPUT_SCALE = 100.0
# Part of max_tokens that an answer uses, before any request finished.
INITIAL_OUTPUT_SHARE = 0.7
# A customer's output share counts as known from this many answers, the
# newest of them not older than this age.
OUTPUT_SHARE_MAX_AGE_S = 60.0
MIN_ANSWERS = 8


class _OutputShare(typing.NamedTuple):
    """The mean part of max_tokens that a customer's answers use."""

    share: float
    answers: int
    updated_at_s: float


class ServiceTimes:
    """Estimates of service time and output length for one model.

    The service time is fitted as a time for each prompt token plus a time
    for each output token, by recursive least squares with forgetting. A
    single time for both kinds would be far off when their mix changes.
    """

    def __init__(self) -> None:
        # Fitted seconds for each scaled prompt token and output token.
        self._token_times_s = [
            INITIAL_PROMPT_TOKEN_S * PROMPT_SCALE,
            INITIAL_OUTPUT_TOKEN_S * OUTPUT_SCALE,
        ]
        self._covariance = [[INITIAL_VARIANCE, 0.0], [0.0, INITIAL_VARIANCE]]
        # Decaying sums over finished requests: their cost, and their time on
        # a slot.
        self._cost = 0.0
        self._slot_s = 0.0
        self._initial_cost_per_s: float | None = None
        self._output_shares: dict[str, _OutputShare] = {}
        # Mean over all customers, for those without answers.
        self._mean_output_share = INITIAL_OUTPUT_SHARE
        # Mean relative error of the expected times.
        self._error_share = INITIAL_ERROR_SHARE

    def set_initial_speed(
        self, cost_per_s: float, output_weight: float
    ) -> None:
        """Set a slot's throughput to assume until a request has finished.

        cost_per_s is in cost units; output_weight is an output token's cost.
        """
        if self._slot_s == 0.0:
            self._initial_cost_per_s = cost_per_s
            self._token_times_s = [
                PROMPT_SCALE / cost_per_s,
                OUTPUT_SCALE * output_weight / cost_per_s,
            ]

    def slot_cost_per_s(self, fallback: float) -> float:
        """Return the throughput of one slot, in cost units a second."""
        if self._slot_s > 0.0:
            return max(self._cost / self._slot_s, 1e-3)
        return self._initial_cost_per_s or fallback

    def service_s(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return how long a request of so many tokens is expected to run."""
        prompt_s, output_s = self._token_times_s
        return (
            max(0.0, prompt_s) * prompt_tokens / PROMPT_SCALE
            + max(0.0, output_s) * output_tokens / OUTPUT_SCALE
        )

    def safety_factor(self) -> float:
        """Return the factor that adds a safety margin to expected times."""
        return 1.0 + MARGIN_ERRORS * self._error_share

    def expected_output_tokens(self, customer: str, max_tokens: int) -> float:
        """Return how many of max_tokens an answer is expected to use."""
        known = self._output_shares.get(customer)
        share = known.share if known else self._mean_output_share
        return share * max_tokens

    def knows_output_share(self, customer: str, now_s: float) -> bool:
        """Return whether enough recent answers of a customer were seen."""
        known = self._output_shares.get(customer)
        return (
            known is not None
            and known.answers >= MIN_ANSWERS
            and now_s - known.updated_at_s < OUTPUT_SHARE_MAX_AGE_S
        )

    def learn_output_share(
        self, customer: str, share: float, now_s: float
    ) -> None:
        """Update the means by the part of max_tokens that an answer used."""
        old = self._output_shares.get(
            customer, _OutputShare(self._mean_output_share, 0, now_s)
        )
        answers = old.answers + 1
        weight = max(1.0 - FORGETTING_FACTOR, 1.0 / (answers + 1))
        mean = old.share + weight * (share - old.share)
        self._output_shares[customer] = _OutputShare(mean, answers, now_s)
        self._mean_output_share += (1.0 - FORGETTING_FACTOR) * (
            share - self._mean_output_share
        )

    def learn(
        self,
        prompt_tokens: float,
        output_tokens: float,
        cost: float,
        took_s: float,
    ) -> None:
        """Update the fit by a request: its tokens, cost and time on a slot."""
        expected_s = self.service_s(prompt_tokens, output_tokens)
        error = min(1.0, abs(took_s - expected_s) / max(expected_s, 1e-9))
        self._error_share += (1.0 - FORGETTING_FACTOR) * (
            error - self._error_share
        )
        self._cost = FORGETTING_FACTOR * self._cost + cost
        self._slot_s = FORGETTING_FACTOR * self._slot_s + took_s
        self._fit(
            prompt_tokens / PROMPT_SCALE, output_tokens / OUTPUT_SCALE, took_s
        )

    def _fit(self, prompt: float, output: float, took_s: float) -> None:
        """Make one step of recursive least squares, in scaled tokens."""
        (a, b), (_, d) = self._covariance
        gain = [a * prompt + b * output, b * prompt + d * output]
        total = FORGETTING_FACTOR + prompt * gain[0] + output * gain[1]
        error_s = (
            took_s
            - prompt * self._token_times_s[0]
            - output * self._token_times_s[1]
        )
        self._token_times_s[0] += gain[0] / total * error_s
        self._token_times_s[1] += gain[1] / total * error_s
        a = (a - gain[0] * gain[0] / total) / FORGETTING_FACTOR
        b = (b - gain[0] * gain[1] / total) / FORGETTING_FACTOR
        d = (d - gain[1] * gain[1] / total) / FORGETTING_FACTOR
        # Without a bound, the variance of a kind of token that does not occur
        # grows exponentially.
        scale = min(1.0, MAX_VARIANCE / max(a, d, 1e-9))
        self._covariance = [[a * scale, b * scale], [b * scale, d * scale]]
