"""Call the platform's interface for ordering upstreams."""

import typing

from gentianstair import errors
from gentianstair import verdict
from gentianstair.util import checked_call


class Sender(typing.Protocol):
    """What UpstreamOrders needs of the platform."""

    async def send(
        self, body: dict[str, typing.Any], check: checked_call.Check
    ) -> None:
        """Send an order; raise as checked_call.call does."""


class HttpSender:
    """Orders to the platform over HTTP."""

    def __init__(
        self, base_url: str, lifetime_s: float, timeout_s: float
    ) -> None:
        self._url = f'{base_url}/v1/upstream-orders'
        self._lifetime_s = lifetime_s
        self._timeout_s = timeout_s

    async def send(
        self, body: dict[str, typing.Any], check: checked_call.Check
    ) -> None:
        """See Sender.send."""
        answer = await checked_call.call(
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
