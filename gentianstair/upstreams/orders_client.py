"""Give orders to engines, and ask them for the last one they took."""

import enum
import typing

import httpx
import msgspec

from gentianstair import errors
from gentianstair import verdict
from gentianstair.generated import messages
from gentianstair.util import leased_call


class Outcome(enum.Enum):
    """What an engine answered to an order."""

    DONE = 'done'
    # Taken on; the change is under way.
    ACCEPTED = 'accepted'
    STALE_EPOCH = 'stale_epoch'
    BUSY = 'busy'
    REFUSED = 'refused'


class Order(typing.NamedTuple):
    """One order; epoch and number together name it."""

    epoch: int
    order_number: int
    holder: str
    type: str
    argument: str


class OrdersClient:
    """Orders to engines over HTTP."""

    def __init__(
        self, client: httpx.AsyncClient, lifetime_s: float, timeout_s: float
    ) -> None:
        self._client = client
        self._lifetime_s = lifetime_s
        self._timeout_s = timeout_s

    async def send(
        self, url: str, order: Order, check: leased_call.LeaseCheck
    ) -> Outcome:
        """Send an order; raise as leased_call.call does."""
        answer = await leased_call.call(
            f'{url}/orders',
            'POST',
            order._asdict(),
            check=check,
            lifetime_s=self._lifetime_s,
            timeout_s=self._timeout_s,
        )
        body = answer.body if isinstance(answer.body, dict) else {}
        word = body.get('state') if answer.status == 200 else None
        if answer.status == 409:
            word = body.get('reason')
        try:
            return Outcome(word)
        except ValueError:
            return Outcome.REFUSED

    async def last(self, url: str) -> messages.LastOrder:
        """Return the engine's last order; raise UpstreamError."""
        try:
            response = await self._client.get(
                f'{url}/orders/last', timeout=self._timeout_s
            )
            response.raise_for_status()
            return msgspec.json.decode(
                response.content, type=messages.LastOrder
            )
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            known = verdict.Verdict.NOT_RUN
            raise errors.UpstreamError(f'{url}: {error!r}', known) from error


def connect(lifetime_s: float, timeout_s: float) -> OrdersClient:
    """Return a client; undelivered orders die after lifetime_s."""
    client = httpx.AsyncClient(trust_env=False)
    return OrdersClient(client, lifetime_s, timeout_s)
