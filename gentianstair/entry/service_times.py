"""Learn how long requests run and how much work a slot does."""

import typing

# Share that the learned figures keep at each finished request.
FORGETTING_FACTOR = 0.98
# A deadline is planned with this many mean errors beyond the expected time:
# at the mean itself every second request would come late under overload.
MARGIN_ERRORS = 2.0
INITIAL_ERROR_SHARE = 0.2
# Until learned: seconds for one prompt token and for one output token.
INITIAL_PROMPT_TOKEN_S = 0.0005
INITIAL_OUTPUT_TOKEN_S = 0.03
# How unsure the first figures are; in the units of the scaled tokens.
INITIAL_VARIANCE = 10.0
MAX_VARIANCE = 1000.0
# Tokens are scaled so that both kinds weigh alike in the fit.
PROMPT_SCALE = 1000.0
OUTPUT_SCALE = 100.0
# Part of max_tokens that answers use, until learned.
INITIAL_OUTPUT_SHARE = 0.7
# What was learned of a customer is too old after this.
OUTPUT_SHARE_MAX_AGE_S = 60.0
# Answers that make a customer's used share certain.
MIN_ANSWERS = 8


class _Used(typing.NamedTuple):
    """What part of max_tokens a customer's answers use."""

    share: float
    answers: int
    at_s: float


class ServiceTimes:
    """Figures of one model, fitted to the requests that finished.

    A request's time is fitted as so much a prompt token and so much an
    output token, by recursive least squares: one figure for both would be
    wrong by far whenever the mix of prompt and output shifts.
    """

    def __init__(self) -> None:
        self._times = [
            INITIAL_PROMPT_TOKEN_S * PROMPT_SCALE,
            INITIAL_OUTPUT_TOKEN_S * OUTPUT_SCALE,
        ]
        self._variance = [[INITIAL_VARIANCE, 0.0], [0.0, INITIAL_VARIANCE]]
        self._cost = 0.0
        self._slot_s = 0.0
        self._first_cost_per_s: float | None = None
        self._used: dict[str, _Used] = {}
        self._used_share = INITIAL_OUTPUT_SHARE
        self._error_share = INITIAL_ERROR_SHARE

    def set_initial_speed(
        self, cost_per_s: float, output_weight: float
    ) -> None:
        """Set a slot's speed until one is learned, in cost units."""
        if self._slot_s == 0.0:
            self._first_cost_per_s = cost_per_s
            self._times = [
                PROMPT_SCALE / cost_per_s,
                OUTPUT_SCALE * output_weight / cost_per_s,
            ]

    def slot_cost_per_s(self, fallback: float) -> float:
        """Return what one slot does in a second, in cost units."""
        if self._slot_s > 0.0:
            return max(self._cost / self._slot_s, 1e-3)
        return self._first_cost_per_s or fallback

    def service_s(self, prompt_tokens: float, output_tokens: float) -> float:
        """Return how long a request of so many tokens is expected to run."""
        prompt_s, output_s = self._times
        return (
            max(0.0, prompt_s) * prompt_tokens / PROMPT_SCALE
            + max(0.0, output_s) * output_tokens / OUTPUT_SCALE
        )

    def safety_factor(self) -> float:
        """Return by how much to stretch an expected time for safety."""
        return 1.0 + MARGIN_ERRORS * self._error_share

    def expected_output_tokens(self, customer: str, max_tokens: int) -> float:
        """Return how many output tokens to expect."""
        used = self._used.get(customer)
        share = used.share if used else self._used_share
        return share * max_tokens

    def knows_output_share(self, customer: str, now_s: float) -> bool:
        """Return whether a customer's answers are well known."""
        used = self._used.get(customer)
        return (
            used is not None
            and used.answers >= MIN_ANSWERS
            and now_s - used.at_s < OUTPUT_SHARE_MAX_AGE_S
        )

    def learn_output_share(
        self, customer: str, share: float, now_s: float
    ) -> None:
        """Take what part of its max_tokens an answer used."""
        used = self._used.get(customer, _Used(self._used_share, 0, now_s))
        answers = used.answers + 1
        newest = max(1.0 - FORGETTING_FACTOR, 1.0 / (answers + 1))
        new = used.share + newest * (share - used.share)
        self._used[customer] = _Used(new, answers, now_s)
        self._used_share += (1.0 - FORGETTING_FACTOR) * (
            share - self._used_share
        )

    def learn(
        self,
        prompt_tokens: float,
        output_tokens: float,
        cost: float,
        took_s: float,
    ) -> None:
        """Take a finished request: its tokens, cost and time on a slot."""
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
        (a, b), (_, d) = self._variance
        gain = [a * prompt + b * output, b * prompt + d * output]
        total = FORGETTING_FACTOR + prompt * gain[0] + output * gain[1]
        error = took_s - prompt * self._times[0] - output * self._times[1]
        self._times[0] += gain[0] / total * error
        self._times[1] += gain[1] / total * error
        a = (a - gain[0] * gain[0] / total) / FORGETTING_FACTOR
        b = (b - gain[0] * gain[1] / total) / FORGETTING_FACTOR
        d = (d - gain[1] * gain[1] / total) / FORGETTING_FACTOR
        # Bounded, or it would grow for ever while only one kind is seen.
        scale = min(1.0, MAX_VARIANCE / max(a, d, 1e-9))
        self._variance = [[a * scale, b * scale], [b * scale, d * scale]]
