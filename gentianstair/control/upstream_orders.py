"""Order the platform to start and stop upstreams, exactly once."""

import contextlib
import typing

import msgspec
import prometheus_client
import trio

from gentianstair import errors
from gentianstair.control import lease
from gentianstair.generated import messages
from gentianstair.store import confirmed_write
from gentianstair.store import store as stores
from gentianstair.store import upstream_order_sender
from gentianstair.util import audit

KIND = 'upstream-order'
PURPOSE = 'upstream'

ORDERS = prometheus_client.Counter(
    'gentianstair_upstream_orders', 'Orders to the platform', ['outcome']
)


class UpstreamOrder(typing.NamedTuple):
    """An order to ``start`` a count of a class or to ``stop`` upstreams."""

    type: str
    failure_domain: str
    capacity_class: str
    count: int
    upstreams: tuple[str, ...] = ()


class UpstreamOrders:
    """Sends the platform orders of one process, one in flight per scope.

    A scope's record is written before its order is sent and holds the
    order's idempotency token. A holder that finds a record without an
    outcome sends the same order with the same token again; the platform
    accepts each token once. So retries after a lost response, by a successor
    or by a paused holder have no further effect.
    """

    def __init__(
        self,
        store: stores.Store,
        sender: upstream_order_sender.Sender,
        order_lifetime_s: float,
    ) -> None:
        self._store = store
        self._sender = sender
        self._order_lifetime_s = order_lifetime_s
        self._lock = trio.Lock()

    async def order(
        self, authority: lease.Authority, order: UpstreamOrder
    ) -> str:
        """Send one order and return its token.

        Raise LeaseLostError, StoreError (nothing was sent) or
        UpstreamError; after UpstreamError, resume sends the order again.
        """
        async with self._lock:
            version, last = await self._settle_last(authority)
            number = 1 if last is None else last['order_number'] + 1
            value: messages.UpstreamOrderValue = {
                'epoch': authority.epoch,
                'order_number': number,
                'holder': authority.holder,
                'type': order.type,
                'failure_domain': order.failure_domain,
                'capacity_class': order.capacity_class,
                'count': order.count,
                'upstreams': list(order.upstreams),
                'token': self._token(authority.scope, number),
                'state': 'intended',
                'nonce': confirmed_write.new_nonce(),
                'change': '',
            }
            authority.check()
            entry = audit.make_entry(
                authority.holder,
                f'order {order.type}',
                f'{KIND}/{authority.scope}',
                typing.cast(stores.Value | None, last),
                order._asdict(),
            )
            value['change'] = await audit.record(self._store, entry)
            version = await self._write(authority, value, version)
            await self._send(authority, value, version)
            with contextlib.suppress(errors.StoreError):
                await audit.record_outcome(
                    self._store, value['change'], audit.Outcome.DONE
                )
            return value['token']

    def _token(self, scope: str, number: int) -> str:
        """Return a token that no order had, though a copy's numbers repeat."""
        return f'{scope}-{self._store.era}-{number}'

    async def resume(self, authority: lease.Authority) -> None:
        """Send the last order again if it has no outcome."""
        async with self._lock:
            await self._settle_last(authority)

    async def _settle_last(
        self, authority: lease.Authority
    ) -> tuple[int, messages.UpstreamOrderValue | None]:
        item = await self._store.get(KIND, authority.scope, purpose=PURPOSE)
        if item.value is None:
            return 0, None
        last = msgspec.convert(item.value, messages.UpstreamOrderValue)
        version = item.version
        if last['state'] == 'intended':
            version = await self._send(authority, last, version)
        return version, last

    async def _send(
        self,
        authority: lease.Authority,
        value: messages.UpstreamOrderValue,
        version: int,
    ) -> int:
        def check() -> float:
            return authority.check(self._order_lifetime_s)

        body = {key: value[key] for key in _SENT_FIELDS}
        try:
            await self._sender.send(body, check)
        except (errors.UpstreamError, errors.LeaseLostError):
            ORDERS.labels('unknown').inc()
            raise
        ORDERS.labels('taken').inc()
        done: messages.UpstreamOrderValue = {
            **value,
            'state': 'done',
            'nonce': confirmed_write.new_nonce(),
        }
        return await self._write(authority, done, version)

    async def _write(
        self,
        authority: lease.Authority,
        value: messages.UpstreamOrderValue,
        version: int,
    ) -> int:
        return await confirmed_write.put(
            self._store,
            KIND,
            authority.scope,
            typing.cast(stores.Value, value),
            version,
            purpose=PURPOSE,
        )


# The holder and the epoch are for the platform's records; a retry by a
# successor sends those of the first attempt.
_SENT_FIELDS = (
    'token',
    'type',
    'failure_domain',
    'capacity_class',
    'count',
    'upstreams',
    'epoch',
    'holder',
)


def make_upstream_orders(
    store: stores.Store,
    sender: upstream_order_sender.Sender,
    order_lifetime_s: float,
) -> UpstreamOrders:
    """Return the sender of platform orders of a process."""
    return UpstreamOrders(store, sender, order_lifetime_s)
