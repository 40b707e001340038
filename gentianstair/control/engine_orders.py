"""Send each engine one order at a time, under the authority of a lease."""

import collections
import collections.abc
import contextlib
import typing

import loguru
import msgspec
import prometheus_client
import trio

from gentianstair import errors
from gentianstair import verdict
from gentianstair.control import lease
from gentianstair.generated import messages
from gentianstair.store import confirmed_write
from gentianstair.store import store as stores
from gentianstair.upstreams import orders_client
from gentianstair.util import audit
from gentianstair.util import clock as clocks
from gentianstair.util import leased_call

KIND = 'engine-order'
PURPOSE = 'order'

ORDERS = prometheus_client.Counter(
    'gentianstair_engine_orders', 'Orders to engines', ['outcome']
)
UNSETTLED_ORDERS = prometheus_client.Counter(
    'gentianstair_engine_orders_left_over',
    'Orders whose outcome had to be asked of the engine',
    ['found'],
)
FOREIGN_ORDERS = prometheus_client.Counter(
    'gentianstair_engine_orders_foreign',
    'Engines whose last order is not the one in the record',
)


class EngineTarget(typing.NamedTuple):
    """An engine's address and whether it checks the epoch of orders."""

    name: str
    url: str
    checks_fencing: bool


class OrderClient(typing.Protocol):
    """The part of orders_client.OrdersClient that EngineOrders uses."""

    async def send(
        self,
        url: str,
        order: orders_client.Order,
        check: leased_call.LeaseCheck,
    ) -> orders_client.Outcome:
        """See OrdersClient.send."""

    async def fetch_last(self, url: str) -> messages.LastOrder:
        """See OrdersClient.fetch_last."""


_ACCEPTED_OUTCOMES = (
    orders_client.Outcome.DONE,
    orders_client.Outcome.ACCEPTED,
)


class _Record(typing.NamedTuple):
    """The record of an engine's last order, as read from the store."""

    version: int
    value: messages.EngineOrderValue | None


class EngineOrders:
    """Sends the orders of one process to engines.

    An engine's record is written before an order is sent (as intended) and
    after its outcome is known. Both writes are conditional, so if two
    processes believe that they hold the lease, one fails before it sends.
    """

    def __init__(
        self,
        store: stores.Store,
        client: OrderClient,
        clock: clocks.Clock,
        order_lifetime_s: float,
    ) -> None:
        self._store = store
        self._client = client
        self._clock = clock
        self._order_lifetime_s = order_lifetime_s
        self._locks: dict[str, trio.Lock] = collections.defaultdict(trio.Lock)

    async def order(
        self,
        authority: lease.Authority,
        engine: EngineTarget,
        type_: str,
        argument: str,
    ) -> orders_client.Outcome:
        """Send one order and return the engine's outcome.

        Raise LeaseLostError if the authority lapsed, StoreError if the
        record can't be written (nothing was sent), and UpstreamError if the
        engine did not respond. With verdict MAY_HAVE_RUN the record then
        stays intended, and the next order first settles it with the engine.
        """
        async with self._locks[engine.name]:
            record = await self._read(engine)
            record = await self._settle(authority, engine, record)
            await self._check_foreign(engine, record)
            last = record.value
            order = orders_client.Order(
                authority.epoch,
                1 if last is None else last['order_number'] + 1,
                authority.holder,
                type_,
                argument,
            )
            authority.check()
            entry = audit.make_entry(
                authority.holder,
                f'order {type_}',
                f'{KIND}/{engine.name}',
                typing.cast(stores.Value | None, last),
                order._asdict(),
            )
            entry_name = await audit.record(self._store, entry)
            audit_outcome = audit.Outcome.UNKNOWN
            try:
                record = await self._write(
                    engine, record, order, 'intended', entry_name
                )
                outcome = await self._send(authority, engine, record, order)
                audit_outcome = audit.Outcome.DONE
                if outcome not in _ACCEPTED_OUTCOMES:
                    audit_outcome = audit.Outcome.REFUSED
            finally:
                # If this write fails, the record still names the audit entry.
                with contextlib.suppress(errors.StoreError):
                    await audit.record_outcome(
                        self._store, entry_name, audit_outcome
                    )
        return outcome

    async def fetch_last(self, url: str) -> messages.LastOrder:
        """Return the last order of the engine at url; raise UpstreamError."""
        return await self._client.fetch_last(url)

    async def _send(
        self,
        authority: lease.Authority,
        engine: EngineTarget,
        record: _Record,
        order: orders_client.Order,
    ) -> orders_client.Outcome:
        # The authority must outlive the order, so that the order takes
        # effect or is dropped before another process can get authority. An
        # engine that checks fencing needs this too: it accepts the old epoch
        # until it has seen the new one.
        def check() -> float:
            return authority.check(self._order_lifetime_s)

        try:
            outcome = await self._client.send(engine.url, order, check)
        except errors.UpstreamError as error:
            ORDERS.labels(error.verdict.name.lower()).inc()
            if error.verdict is verdict.Verdict.NOT_RUN:
                await self._write(engine, record, order, 'not_sent')
            raise
        except errors.LeaseLostError:
            ORDERS.labels('lease_lost').inc()
            raise
        ORDERS.labels(outcome.value).inc()
        await self._write(engine, record, order, outcome.value)
        if outcome is orders_client.Outcome.STALE_EPOCH:
            authority.revoke()
            raise errors.LeaseLostError(
                f'{engine.name}: the engine has seen a newer epoch'
            )
        return outcome

    async def _settle(
        self,
        authority: lease.Authority,
        engine: EngineTarget,
        record: _Record,
    ) -> _Record:
        """Settle the last order if it has no outcome.

        The order may still be in flight: in the kernel of a partitioned
        holder, in a holder paused before its send, or unread in a paused
        engine. So the engine must report the same last order twice, one
        order lifetime apart; by then it has read the order or never will.
        """
        last = record.value
        if last is None or last['state'] != 'intended':
            return record
        authority.check()
        found = await self._client.fetch_last(engine.url)
        while not _is_same_order(found, last):
            await trio.sleep(self._order_lifetime_s)
            authority.check()
            again = await self._client.fetch_last(engine.url)
            if again == found:
                break
            found = again
        is_applied = _is_same_order(found, last)
        UNSETTLED_ORDERS.labels(
            'applied' if is_applied else 'not_applied'
        ).inc()
        loguru.logger.info('left-over order of {}: {}', engine.name, found)
        order = orders_client.Order(
            last['epoch'],
            last['order_number'],
            last['holder'],
            last['type'],
            last['argument'],
        )
        state = 'done' if is_applied else 'abandoned'
        authority.check()
        return await self._write(engine, record, order, state)

    async def _check_foreign(
        self, engine: EngineTarget, record: _Record
    ) -> None:
        """Log if an engine that ignores epochs took an unrecorded order."""
        last = record.value
        if engine.checks_fencing or last is None or last['state'] != 'done':
            return
        found = await self._client.fetch_last(engine.url)
        if not _is_same_order(found, last):
            FOREIGN_ORDERS.inc()
            loguru.logger.error(
                '{} took an order that is not in its record: {}',
                engine.name,
                found,
            )

    async def _read(self, engine: EngineTarget) -> _Record:
        item = await self._store.get(KIND, engine.name, purpose=PURPOSE)
        if item.value is None:
            return _Record(item.version if item.value else 0, None)
        value = msgspec.convert(item.value, messages.EngineOrderValue)
        return _Record(item.version, value)

    async def _write(
        self,
        engine: EngineTarget,
        record: _Record,
        order: orders_client.Order,
        state: str,
        entry_name: str | None = None,
    ) -> _Record:
        value: messages.EngineOrderValue = {
            'epoch': order.epoch,
            'order_number': order.order_number,
            'holder': order.holder,
            'type': order.type,
            'argument': order.argument,
            'state': state,
            'nonce': confirmed_write.new_nonce(),
            'change': entry_name or record.value['change'],
        }
        version = await confirmed_write.put(
            self._store,
            KIND,
            engine.name,
            typing.cast(stores.Value, value),
            record.version,
            purpose=PURPOSE,
        )
        return _Record(version, value)


def _is_same_order(
    found: messages.LastOrder, last: messages.EngineOrderValue
) -> bool:
    return (found['epoch'], found['order_number']) == (
        last['epoch'],
        last['order_number'],
    )


def make_engine_orders(
    store: stores.Store,
    client: OrderClient,
    clock: clocks.Clock,
    order_lifetime_s: float,
) -> EngineOrders:
    """Return the sender of engine orders of a process.

    order_lifetime_s bounds how long a sent order can stay in flight.
    """
    return EngineOrders(store, client, clock, order_lifetime_s)
