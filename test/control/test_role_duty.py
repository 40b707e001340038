"""Test that the role duty derives demand and orders role changes."""

import types

import httpx
import trio

from gentianstair.config import view as views
from gentianstair.control import lease
from gentianstair.control import role_duty
from gentianstair.entry import usage
from gentianstair.store import store as stores
from standins import memory_store

ENGINES = 6


class RecordedOrders:
    def __init__(self):
        self.sent = []

    async def order(self, authority, engine, type_, argument):
        self.sent.append((engine.name, type_, argument))


def engine_response(request):
    body = {'role': 'mixed', 'state': 'serving', 'running': 1}
    return httpx.Response(200, json=body)


def make_context(store, orders):
    view = views.View()
    for number in range(ENGINES):
        value = {
            'url': f'http://engine-{number}',
            'type': 'engine',
            'failure_domain': 'north',
            'capacity_class': 'reserved',
            'state': 'active',
            'role': 'mixed',
            'models': ['m'],
            'checks_fencing': True,
            'concurrent': 4,
        }
        item = stores.StoredObject('upstream', f'e-{number}', 1, value)
        view.apply([item])
    transport = httpx.MockTransport(engine_response)
    return types.SimpleNamespace(
        clock=trio.current_time,
        store=store,
        view=view,
        orders=orders,
        client=httpx.AsyncClient(transport=transport),
    )


async def test_shift_to_long_prompts_orders_a_prefill_engine(autojump_clock):
    store = memory_store.MemoryStore()
    orders = RecordedOrders()
    context = make_context(store, orders)
    counts = usage.make_usage_recorder(
        store, 'vm', trio.current_time, usage.UsageSettings(60.0, 1.0, 10**9)
    )
    authority = lease.Authority('engines-north', 'me', 1, context.clock)
    duty = role_duty.RoleDuty()
    for _ in range(40):
        counts.count(
            'c',
            'reserved',
            requests=20,
            prompt_tokens=70000,
            output_tokens=2000,
        )
        await counts.flush()
        await duty.run_once(context, authority)
        await trio.sleep(role_duty.PLAN_INTERVAL_S)
    assert orders.sent
    assert orders.sent[0][1:] == ('set_role', 'prefill')
