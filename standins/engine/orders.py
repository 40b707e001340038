"""Carry out orders to an engine: roles, models, draining."""

import typing

import trio

from standins import history
from standins.engine import model

ROLES = ('mixed', 'prefill', 'decode')


class Order(typing.NamedTuple):
    """An order as it came."""

    epoch: int
    order_number: int
    holder: str
    type: str
    argument: str = ''


class OrderBook:
    """The orders an engine was given; one is carried out at a time."""

    def __init__(self, engine: model.Engine, record: history.History) -> None:
        self.engine = engine
        self.history = record
        self.last: Order | None = None
        self.last_state = 'none'
        self._highest_epoch = 0
        self._outcomes: dict[tuple[int, int], tuple[int, dict]] = {}

    async def take(
        self, order: Order, nursery: trio.Nursery
    ) -> tuple[int, dict]:
        """Return status and body of the answer; work goes on in nursery."""
        key = (order.epoch, order.order_number)
        if key in self._outcomes:
            return self._outcomes[key]
        outcome = self._decide(order)
        applied = outcome[0] == 200
        self.history.add('order', applied=applied, **order._asdict())
        if outcome[1].get('reason') == 'busy':
            # A busy engine may take the same order later.
            return outcome
        self._outcomes[key] = outcome
        if applied:
            self.last = order
            self.last_state = 'accepted'
            nursery.start_soon(self._carry_out, order)
        return outcome

    def _decide(self, order: Order) -> tuple[int, dict]:
        checks = self.engine.options.checks_fencing
        if checks and order.epoch < self._highest_epoch:
            body = {'reason': 'stale_epoch', 'epoch': self._highest_epoch}
            return 409, body
        if order.type not in _ACTIONS:
            return 400, {'reason': 'unknown_type'}
        if order.type == 'set_role' and order.argument not in ROLES:
            return 400, {'reason': 'unknown_role'}
        self._highest_epoch = max(self._highest_epoch, order.epoch)
        if self.last_state == 'accepted':
            return 409, {'reason': 'busy'}
        return 200, {'state': 'accepted'}

    async def _carry_out(self, order: Order) -> None:
        await _ACTIONS[order.type](self.engine, order.argument)
        self.last_state = 'done'
        self.history.add(
            'order_done', epoch=order.epoch, order_number=order.order_number
        )


async def _away(engine: model.Engine, duration_s: float) -> None:
    """Finish what the engine holds, then take it away for a time."""
    engine.state = 'draining'
    await engine.wait_idle()
    engine.state = 'changing'
    await trio.sleep(duration_s * engine.options.time_scale)


async def set_role(engine: model.Engine, role: str) -> None:
    """Change the role; running work is finished first."""
    if role == engine.role:
        return
    await _away(engine, engine.costs.role_change_s)
    engine.role = role
    engine.state = 'serving'


async def _load_model(engine: model.Engine, name: str) -> None:
    if name in engine.models:
        return
    await _away(engine, engine.costs.model_load_s)
    engine.models.add(name)
    engine.state = 'serving'


async def _unload_model(engine: model.Engine, name: str) -> None:
    await _away(engine, 0.0)
    engine.models.discard(name)
    engine.cache.clear()
    engine.state = 'serving'


async def _load_adapter(engine: model.Engine, name: str) -> None:
    # Adapters are small: the engine serves on meanwhile.
    scale = engine.options.time_scale
    await trio.sleep(engine.costs.adapter_load_s * scale)
    engine.models.add(name)


async def _drain(engine: model.Engine, _: str) -> None:
    engine.state = 'draining'


async def _undrain(engine: model.Engine, _: str) -> None:
    engine.state = 'serving'


_ACTIONS: dict[
    str, typing.Callable[[model.Engine, str], typing.Awaitable[None]]
] = {
    'set_role': set_role,
    'load_model': _load_model,
    'unload_model': _unload_model,
    'load_adapter': _load_adapter,
    'drain': _drain,
    'undrain': _undrain,
}
