"""Post to the platform what must not leave after authority lapsed."""

import typing

from gentianstair import errors
from gentianstair import verdict
from gentianstair.util import leased_call


class Sender(typing.Protocol):
    """What sends a body to one interface of the platform."""

    async def send(
        self, body: dict[str, typing.Any], check: leased_call.LeaseCheck
    ) -> None:
        """Send a body; raise as leased_call.call does."""


class HttpSender:
    """Posts to one URL of the platform."""

    def __init__(self, url: str, lifetime_s: float, timeout_s: float) -> None:
        self._url = url
        self._lifetime_s = lifetime_s
        self._timeout_s = timeout_s

    async def send(
        self, body: dict[str, typing.Any], check: leased_call.LeaseCheck
    ) -> None:
        """See Sender.send."""
        answer = await leased_call.call(
            self._url,
            'POST',
            body,
            check=check,
            lifetime_s=self._lifetime_s,
            timeout_s=self._timeout_s,
        )
        if answer.status != 200:
            known = verdict.Verdict.MAY_HAVE_RUN
            raise errors.UpstreamError(f'status {answer.status}', known)
