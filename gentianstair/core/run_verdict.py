"""Keep whether a request may have run, by its attempts at upstreams.

From its first byte on an attempt may have run, whatever ends it. Only its own
answer may say that it has not.
"""

import enum

from gentianstair import verdict as verdicts

MAX_LOGGED_ATTEMPTS = 8


class Reason(enum.Enum):
    """What set the verdict on an attempt last."""

    NOT_SENT = 'not-sent'
    SENT = 'sent'
    # Its prompt was sent to be prefilled only, which runs nothing.
    PREFILL = 'prefill'
    # The same, and the upstream's answer denies that it was.
    PREFILL_DENIED = 'prefill-denied'
    # The upstream's own answer.
    ANSWER = 'answer'
    # A failure of what was sent.
    FAILURE = 'failure'


class Sent(enum.Enum):
    """What of a request was sent to any upstream."""

    NOTHING = 'nothing'
    # Its prompt, to be read apart from the run.
    PROMPT = 'prompt'
    REQUEST = 'request'


_NOTHING_RUNS = (Reason.NOT_SENT, Reason.PREFILL, Reason.PREFILL_DENIED)


class AttemptRun:
    """Whether one attempt may have run.

    >>> attempt = AttemptRun()
    >>> attempt.record_send()
    >>> attempt.verdict.name, attempt.reason.value
    ('MAY_HAVE_RUN', 'sent')
    >>> attempt.record_answer(verdicts.Verdict.NOT_RUN)
    >>> attempt.verdict.name, attempt.reason.value
    ('NOT_RUN', 'answer')
    """

    def __init__(self) -> None:
        self.verdict = verdicts.Verdict.NOT_RUN
        self.reason = Reason.NOT_SENT
        # Of its own answer, if one has come.
        self._answer = ''

    @property
    def was_sent(self) -> bool:
        """Return whether its first byte was written, or was about to be."""
        return self.reason not in _NOTHING_RUNS

    def record_send(self) -> None:
        """Record that the first byte is written now."""
        self.verdict = verdicts.Verdict.MAY_HAVE_RUN
        self.reason = Reason.SENT

    def record_prefill(self) -> None:
        """Record that the first byte of a prefill is written now."""
        self.reason = Reason.PREFILL

    def record_answer(
        self, verdict: verdicts.Verdict, status: int | None = None
    ) -> None:
        """Record what the attempt's own answer says; it may lower."""
        is_denied = verdict is verdicts.Verdict.NOT_RUN
        if status is not None:
            self._answer = f'{status} denied' if is_denied else str(status)
        if self.reason is Reason.PREFILL and is_denied:
            self.reason = Reason.PREFILL_DENIED
        if self.was_sent:
            self.verdict = verdict
            self.reason = Reason.ANSWER

    def outcome(self) -> str:
        """Return its answer's status and what set the verdict, for logs.

        >>> attempt = AttemptRun()
        >>> attempt.outcome()
        'not-sent'
        >>> attempt.record_send()
        >>> attempt.record_answer(verdicts.Verdict.NOT_RUN, 503)
        >>> attempt.outcome()
        '503 denied'
        >>> attempt.raise_to(verdicts.Verdict.MAY_HAVE_RUN)
        >>> attempt.outcome()
        '503 denied failure'
        """
        if self._answer and self.reason is Reason.ANSWER:
            return self._answer
        return f'{self._answer} {self.reason.value}'.strip()

    def raise_to(self, verdict: verdicts.Verdict) -> None:
        """Take a failure's verdict if it is higher."""
        if verdict > self.verdict:
            self.verdict = verdict
            self.reason = Reason.FAILURE


class RunVerdict:
    """Whether a request may have run at any of its attempts.

    >>> runs = RunVerdict()
    >>> runs.begin().record_send()
    >>> runs.begin().was_sent, runs.verdict.name
    (False, 'MAY_HAVE_RUN')
    >>> runs.decisive.reason.value
    'sent'
    """

    def __init__(self) -> None:
        self.latest = AttemptRun()
        # The first stands for a request without an attempt.
        self._attempts = [self.latest]

    @property
    def verdict(self) -> verdicts.Verdict:
        """Return the verdict on all attempts so far."""
        return self.decisive.verdict

    @property
    def decisive(self) -> AttemptRun:
        """Return the latest attempt of those with the highest verdict."""
        return max(
            reversed(self._attempts), key=lambda attempt: attempt.verdict
        )

    @property
    def sent(self) -> Sent:
        """Return what was sent, whatever was answered.

        >>> runs = RunVerdict()
        >>> runs.begin().record_prefill()
        >>> runs.verdict.name, runs.sent.name
        ('NOT_RUN', 'PROMPT')
        >>> runs.latest.record_answer(verdicts.Verdict.NOT_RUN)
        >>> runs.verdict.name, runs.sent.name
        ('NOT_RUN', 'REQUEST')
        """
        reasons = {attempt.reason for attempt in self._attempts}
        if Reason.PREFILL in reasons:
            return Sent.PROMPT
        if reasons == {Reason.NOT_SENT}:
            return Sent.NOTHING
        return Sent.REQUEST

    def reasons(self) -> list[Reason]:
        """Return what set the verdict on each attempt, in order.

        >>> runs = RunVerdict()
        >>> runs.begin().record_prefill()
        >>> runs.begin().record_send()
        >>> [reason.value for reason in runs.reasons()]
        ['prefill', 'sent']
        """
        return [attempt.reason for attempt in self._attempts[1:]]

    def outcomes(self) -> str:
        """Return the outcomes of the first attempts in order, for logs.

        >>> runs = RunVerdict()
        >>> runs.begin().record_prefill()
        >>> runs.begin().record_send()
        >>> runs.outcomes()
        'prefill, sent'
        """
        first = self._attempts[1 : 1 + MAX_LOGGED_ATTEMPTS]
        return ', '.join(attempt.outcome() for attempt in first)

    def begin(self) -> AttemptRun:
        """Return the next attempt, of which nothing has been sent."""
        self.latest = AttemptRun()
        self._attempts.append(self.latest)
        return self.latest


__all__ = ['AttemptRun', 'Reason', 'RunVerdict']
