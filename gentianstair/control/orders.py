"""Give each engine one order at a time, under the authority of a lease."""

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
from gentianstair.store import settled
from gentianstair.store import store as stores
from gentianstair.upstreams import orders_client
from gentianstair.util import audit
from gentianstair.util import checked_call
from gentianstair.util import clock as clocks

KIND = 'engine-order'
PURPOSE = 'order'

ORDERS = prometheus_client.Counter(
    'gentianstair_engine_orders', 'Orders to engines', ['outcome']
)
LEFT_OVER = prometheus_client.Counter(
    'gentianstair_engine_orders_left_over',
    'Orders whose outcome had to be asked of the engine',
    ['found'],
)
FOREIGN = prometheus_client.Counter(
    'gentianstair_engine_orders_foreign',
    'Engines whose last order is not the one in the record',
)


class Engine(typing.NamedTuple):
    """Where an engine is and whether it checks the epoch of orders."""

    name: str
    url: str
    checks_fencing: bool


class OrderClient(typing.Protocol):
    """What Orders needs of an orders_client."""

    async def send(
        self,
        url: str,
        order: orders_client.Order,
        check: checked_call.Check,
    ) -> orders_client.Outcome:
        """See OrdersClient.send."""

    async def last(self, url: str) -> messages.LastOrder:
        """See OrdersClient.last."""


_TAKEN = (orders_client.Outcome.DONE, orders_client.Outcome.ACCEPTED)


class _Record(typing.NamedTuple):
    """The record of an engine's last order, as read from the store."""

    version: int
    value: messages.EngineOrderValue | None


class Orders:
    """The orders of one process.

    The record of an engine is written before an order is sent (the intent)
    and after its outcome is known. Both are conditional updates, so of two
    holders that both believe they are in charge one fails before it sends.
    """

    def __init__(
        self,
        store: stores.Store,
        client: OrderClient,
        clock: clocks.Clock,
        lifetime_s: float,
    ) -> None:
        self._store = store
        self._client = client
        self._clock = clock
        self._lifetime_s = lifetime_s
        self._locks: dict[str, trio.Lock] = collections.defaultdict(trio.Lock)

    async def order(
        self,
        authority: lease.Authority,
        engine: Engine,
        type_: str,
        argument: str,
    ) -> orders_client.Outcome:
        """Give one order and return what the engine answered.

        Raise LeaseLostError when authority lapsed, StoreError when the
        record can't be written (nothing was sent), and UpstreamError when
        the engine did not answer; with verdict MAY_HAVE_RUN the record then
        stays open, and the next order first asks the engine what it did.
        """
        async with self._locks[engine.name]:
            record = await self._read(engine)
            record = await self._resolve(authority, engine, record)
            await self._inspect(engine, record)
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
            change = await audit.record(self._store, entry)
            ended = audit.Outcome.UNKNOWN
            try:
                record = await self._write(
                    engine, record, order, 'intended', change
                )
                outcome = await self._send(authority, engine, record, order)
                ended = audit.Outcome.DONE
                if outcome not in _TAKEN:
                    ended = audit.Outcome.REFUSED
            finally:
                # The order is settled by now; a lost outcome of the trail
                # is settled by the name of its entry in the record.
                with contextlib.suppress(errors.StoreError):
                    await audit.conclude(self._store, change, ended)
        return outcome

    async def last(self, url: str) -> messages.LastOrder:
        """Return the last order of the engine at url; raise UpstreamError."""
        return await self._client.last(url)

    async def _send(
        self,
        authority: lease.Authority,
        engine: Engine,
        record: _Record,
        order: orders_client.Order,
    ) -> orders_client.Outcome:
        # Authority must outlive the order itself, so that it takes effect
        # or is dropped while nobody else can have authority. This is so too
        # on an engine that checks fencing: it takes an old epoch's order
        # until it has seen one of the new epoch.
        def check() -> float:
            return authority.check(self._lifetime_s)

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
            raise errors.LeaseLostError(f'{engine.name}: a newer epoch')
        return outcome

    async def _resolve(
        self,
        authority: lease.Authority,
        engine: Engine,
        record: _Record,
    ) -> _Record:
        """Settle an order that its holder left without an outcome.

        The order may still be on its way: in the kernel of a holder that
        was cut off, in a holder paused between its check and its send, or
        unread in an engine that was itself paused. So the engine must have
        answered first, and must give the same answer again one order
        lifetime later; by then it has read the order, or never will.
        """
        last = record.value
        if last is None or last['state'] != 'intended':
            return record
        authority.check()
        found = await self._client.last(engine.url)
        while not _is_order(found, last):
            await trio.sleep(self._lifetime_s)
            authority.check()
            again = await self._client.last(engine.url)
            if again == found:
                break
            found = again
        applied = _is_order(found, last)
        LEFT_OVER.labels('applied' if applied else 'not_applied').inc()
        loguru.logger.info('left-over order of {}: {}', engine.name, found)
        order = orders_client.Order(
            last['epoch'],
            last['order_number'],
            last['holder'],
            last['type'],
            last['argument'],
        )
        state = 'done' if applied else 'abandoned'
        authority.check()
        return await self._write(engine, record, order, state)

    async def _inspect(self, engine: Engine, record: _Record) -> None:
        """Tell when an engine that ignores epochs took a foreign order."""
        last = record.value
        if engine.checks_fencing or last is None or last['state'] != 'done':
            return
        found = await self._client.last(engine.url)
        if not _is_order(found, last):
            FOREIGN.inc()
            loguru.logger.error(
                '{} took a foreign order: {}', engine.name, found
            )

    async def _read(self, engine: Engine) -> _Record:
        item = await self._store.get(KIND, engine.name, purpose=PURPOSE)
        if item.value is None:
            return _Record(item.version if item.value else 0, None)
        value = msgspec.convert(item.value, messages.EngineOrderValue)
        return _Record(item.version, value)

    async def _write(
        self,
        engine: Engine,
        record: _Record,
        order: orders_client.Order,
        state: str,
        change: str | None = None,
    ) -> _Record:
        value: messages.EngineOrderValue = {
            'epoch': order.epoch,
            'order_number': order.order_number,
            'holder': order.holder,
            'type': order.type,
            'argument': order.argument,
            'state': state,
            'nonce': settled.new_nonce(),
            'change': change or record.value['change'],
        }
        version = await settled.put(
            self._store,
            KIND,
            engine.name,
            typing.cast(stores.Value, value),
            record.version,
            purpose=PURPOSE,
        )
        return _Record(version, value)


def _is_order(
    found: messages.LastOrder, last: messages.EngineOrderValue
) -> bool:
    return (found['epoch'], found['order_number']) == (
        last['epoch'],
        last['order_number'],
    )


def make_orders(
    store: stores.Store,
    client: OrderClient,
    clock: clocks.Clock,
    lifetime_s: float,
) -> Orders:
    """Return the orders of a process.

    lifetime_s bounds how long an order can be on its way once it is sent.
    """
    return Orders(store, client, clock, lifetime_s)
