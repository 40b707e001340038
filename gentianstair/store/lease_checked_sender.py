"""Post requests to the platform that must not be sent without a lease."""

import typing

from gentianstair import errors
from gentianstair import verdict
from gentianstair.util import leased_call


class Sender(typing.Protocol):
    """Sends request bodies to one endpoint of the platform."""

    async def send(
        self, body: dict[str, typing.Any], check: leased_call.LeaseCheck
    ) -> None:
        """Send a body; raise as leased_call.call does."""


class HttpSender:
    """Posts request bodies to one URL of the platform."""

    def __init__(self, url: str, lifetime_s: float, timeout_s: float) -> None:
        self._url = url
        self._lifetime_s = lifetime_s
        self._timeout_s = timeout_s

    async def send(
        self, body: dict[str, typing.Any], check: leased_call.LeaseCheck
    ) -> None:
        """See Sender.send."""
        response = await leased_call.call(
            self._url,
            'POST',
            body,
            check=check,
            lifetime_s=self._lifetime_s,
            timeout_s=self._timeout_s,
        )
        if response.status != 200:
            may_have_run = verdict.Verdict.MAY_HAVE_RUN
            raise errors.UpstreamError(
                f'{self._url}: status {response.status}', may_have_run
            )
