"""Define the exception tree; every error of this package is in it."""

import typing

from gentianstair import verdict as verdicts


class GentianstairError(Exception):
    """Be the root of all errors this package raises."""


class UserError(GentianstairError):
    """Report a user's mistake; shown as one line, never a traceback."""


class SettingsError(UserError):
    """Report every bad setting of a start at once, a line each."""


class DecodeError(GentianstairError):
    """Report bytes or an object that does not match the schema."""


class StoreError(GentianstairError):
    """Report a failed call of the platform's object store."""


class StoreUnavailableError(StoreError):
    """Report a call that certainly had no effect."""


class StoreUnknownError(StoreError):
    """Report a write whose answer was lost; it may have taken effect."""


class StoreConflictError(StoreError):
    """Report a conditional write whose expected version is not current."""

    def __init__(self, kind: str, name: str, current_version: int) -> None:
        super().__init__(f'{kind}/{name} is at version {current_version}')
        self.kind = kind
        self.name = name
        self.current_version = current_version


class WatchTooOldError(StoreError):
    """Report a watch from a revision the store no longer keeps."""


class BudgetError(StoreUnavailableError):
    """Report a call refused by our own limiter; it was never sent."""


class LeaseLostError(GentianstairError):
    """Report that authority over a scope lapsed before an effect."""


class UpstreamError(GentianstairError):
    """Report a failed try at an upstream, with what is known of it."""

    def __init__(self, message: str, verdict: verdicts.Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


class UnreachableError(UpstreamError):
    """Report an upstream to which no connection could be opened."""

    def __init__(self, message: str) -> None:
        super().__init__(message, verdicts.Verdict.NOT_RUN)


class TurnedAwayError(UpstreamError):
    """Report an upstream that answered that it did not run the request.

    A full one does so; it is no sign of a fault. ``status`` is what it
    answered with.
    """

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message, verdicts.Verdict.NOT_RUN)
        self.status = status


class RequestError(GentianstairError):
    """Refuse or fail a caller's request with a problem body (RFC 9457).

    ``retry_after_s`` is set whenever coming back later can help.
    """

    def __init__(
        self,
        status: int,
        kind: str,
        detail: str,
        verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.kind = kind
        self.detail = detail
        self.verdict = verdict
        self.retry_after_s = retry_after_s

    def to_problem(self) -> dict[str, typing.Any]:
        """Return the body of the answer, without its headers."""
        problem: dict[str, typing.Any] = {
            'type': f'urn:gentianstair:problem:{self.kind}',
            'title': self.kind.replace('-', ' '),
            'status': self.status,
            'detail': self.detail,
            'verdict': self.verdict.name,
        }
        if self.retry_after_s is not None:
            problem['retry_after_s'] = self.retry_after_s
        return problem
