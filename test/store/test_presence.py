"""Test the list of live processes that their objects make."""

import pytest
import trio

from gentianstair.store import presence
from gentianstair.util import clock
from standins import memory_store
from standins.platform import objects

KIND = 'candidate'
HEARTBEAT_S = 1.0


@pytest.mark.parametrize(
    'value',
    [{}, {'address': 3}, {'address': None, 'nonce': ''}, [], 'x'],
    ids=str,
)
async def test_odd_object_does_not_hide_the_other_processes(
    autojump_clock, nursery, value
):
    # Guards against one object of another writer that ends the list, and
    # with it whatever goes by who is there.
    table = objects.ObjectTable()
    table.write(KIND, 'odd', value, 0)
    found = [
        presence.make_presence(
            memory_store.MemoryStore(table),
            KIND,
            name,
            f'{name}:1',
            clock.trio_time_s,
            HEARTBEAT_S,
        )
        for name in 'ab'
    ]
    for one in found:
        nursery.start_soon(one.run)
    await trio.sleep(3 * HEARTBEAT_S - 0.5)
    assert [one.addresses for one in found] == [{'a': 'a:1', 'b': 'b:1'}] * 2
    nursery.cancel_scope.cancel()
