"""Send orders to engines, and read the last order that each accepted."""

import contextlib
import enum
import typing

import httpx

from gentianstair import errors
from gentianstair import verdict
from gentianstair.generated import messages
from gentianstair.util import json_codec
from gentianstair.util import leased_call

# An order that an engine does not take is answered with one of these.
MIN_REFUSAL_STATUS = 400
MIN_FAILURE_STATUS = 500


class Outcome(enum.Enum):
    """An engine's response to an order."""

    DONE = 'done'
    # The engine accepted the order and is still carrying it out.
    ACCEPTED = 'accepted'
    STALE_EPOCH = 'stale_epoch'
    BUSY = 'busy'
    REFUSED = 'refused'


class Order(typing.NamedTuple):
    """One order; epoch and number together identify it.

    ``holder`` is the process that holds the lease; ``epoch`` is the fencing
    number of that lease.
    """

    epoch: int
    order_number: int
    holder: str
    type: str
    argument: str


class OrdersClient:
    """Sends orders to engines over HTTP."""

    def __init__(
        self, client: httpx.AsyncClient, lifetime_s: float, timeout_s: float
    ) -> None:
        self._client = client
        self._lifetime_s = lifetime_s
        self._timeout_s = timeout_s

    async def send(
        self, url: str, order: Order, check: leased_call.LeaseCheck
    ) -> Outcome:
        """Send an order; raise as leased_call.call does.

        Raise UpstreamError with MAY_HAVE_RUN for a response that does not say
        what became of the order.
        """
        response = await leased_call.call(
            f'{url}/orders',
            'POST',
            order._asdict(),
            check=check,
            lifetime_s=self._lifetime_s,
            timeout_s=self._timeout_s,
        )
        return _outcome(response)

    async def fetch_last(self, url: str) -> messages.LastOrder:
        """Return the engine's last order; raise UpstreamError."""
        try:
            response = await self._client.get(
                f'{url}/orders/last', timeout=self._timeout_s
            )
            response.raise_for_status()
            return json_codec.decode(response.content, messages.LastOrder)
        except (httpx.HTTPError, errors.DecodeError) as error:
            not_run = verdict.Verdict.NOT_RUN
            raise errors.UpstreamError(f'{url}: {error!r}', not_run) from error


def _outcome(response: leased_call.Response) -> Outcome:
    """Return what a response says; raise UpstreamError if it does not."""
    body = response.body if isinstance(response.body, dict) else {}
    said = body.get('state') if response.status == 200 else None
    if response.status == 409:
        said = body.get('reason')
    with contextlib.suppress(ValueError):
        return Outcome(said)
    if MIN_REFUSAL_STATUS <= response.status < MIN_FAILURE_STATUS:
        return Outcome.REFUSED
    raise errors.UpstreamError(
        f'order answered with status {response.status}',
        verdict.Verdict.MAY_HAVE_RUN,
    )


def connect(lifetime_s: float, timeout_s: float) -> OrdersClient:
    """Return a client; undelivered orders are dropped after lifetime_s."""
    client = httpx.AsyncClient(trust_env=False)
    return OrdersClient(client, lifetime_s, timeout_s)
