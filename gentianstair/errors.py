"""Exception hierarchy of this package."""

import typing

from gentianstair import verdict as verdicts


class GentianstairError(Exception):
    """Base class of all errors that this package raises."""


class UserError(GentianstairError):
    """Invalid user input; printed without a traceback."""


class SettingsError(UserError):
    """One or more invalid settings, listed one per line."""


class DecodeError(GentianstairError):
    """Encoded data or an object that does not match the schema."""


class NestingError(DecodeError):
    """Encoded data that is nested deeper than can be read."""


class StoreError(GentianstairError):
    """Failed call to the platform's object store."""


class StoreUnavailableError(StoreError):
    """Store call that failed and is known to have had no effect."""


class StoreOutcomeUnknownError(StoreError):
    """Write whose response was lost; it may have taken effect."""


class StoreConflictError(StoreError):
    """Conditional write whose expected version is not the current one."""

    def __init__(self, kind: str, name: str, current_version: int) -> None:
        super().__init__(f'{kind}/{name} is at version {current_version}')
        self.kind = kind
        self.name = name
        self.current_version = current_version


class PastEraError(StoreError):
    """Answer of a store from before it came back from a copy."""


class WatchTooOldError(StoreError):
    """Watch from a revision that the store has already compacted."""


class StoreRateLimitError(StoreUnavailableError):
    """Store call rejected by the local rate limiter before being sent."""


class LeaseLostError(GentianstairError):
    """Lease on a scope that expired before an operation took effect."""


class UpstreamError(GentianstairError):
    """Failed attempt at an upstream.

    ``verdict`` says whether the upstream may have run the request.
    """

    def __init__(self, message: str, verdict: verdicts.Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


class NotSentError(UpstreamError):
    """Attempt of which nothing reached an upstream."""

    def __init__(self, message: str) -> None:
        super().__init__(message, verdicts.Verdict.NOT_RUN)


class UnreachableError(NotSentError):
    """Upstream to which no connection could be opened."""


class NoLongerSendableError(NotSentError):
    """Upstream that was not sent to, for what became known since the choice.

    Nothing is known of how it works.
    """


class PermitLapsedError(NoLongerSendableError):
    """Permit of a limited upstream that came too early to be used now."""


class UpstreamBackoffError(NoLongerSendableError):
    """Upstream that has asked for a pause since it was chosen."""


class UpstreamDrainsError(NoLongerSendableError):
    """Upstream that was found to drain since it was chosen."""


class ConnectionBrokenError(UpstreamError):
    """Connection that an upstream ended before its whole answer.

    The upstream may have ended, or only the connection.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, verdicts.Verdict.MAY_HAVE_RUN)


class InvalidResponseError(UpstreamError):
    """Bytes of an upstream that are no response to what it was sent.

    The upstream, or whoever has its address, runs.
    """

    def __init__(self, message: str) -> None:
        super().__init__(message, verdicts.Verdict.MAY_HAVE_RUN)


class NotResumedError(UpstreamError):
    """Stream that an upstream did not go on with where it should have.

    It may serve other requests as it should.
    """


class OtherStartError(UpstreamError):
    """Answer of a start that may not go on with its stream, or may not be.

    It may serve other requests as it should.
    """


class UnprovenEndError(UpstreamError):
    """Answer of which nothing shows that it is whole, nor that it isn't."""

    def __init__(self, message: str) -> None:
        super().__init__(message, verdicts.Verdict.MAY_HAVE_RUN)


class UpstreamRejectedError(UpstreamError):
    """Upstream that responded without running the request.

    An upstream at capacity does this, so it doesn't count as a failure of
    the upstream. ``status`` is the HTTP status of the response, and
    ``asked_pause`` says whether it wants nothing for a while.
    """

    def __init__(
        self, message: str, status: int, asked_pause: bool = False
    ) -> None:
        super().__init__(message, verdicts.Verdict.NOT_RUN)
        self.status = status
        self.asked_pause = asked_pause


class UpstreamPauseError(UpstreamError):
    """Upstream that asked for a pause and did not say that it ran nothing."""


class RequestError(GentianstairError):
    """Request rejected or failed with a problem body (RFC 9457).

    ``retry_after_s`` is set if a later retry may succeed.
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
        """Return the problem details for the response body."""
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
