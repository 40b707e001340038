"""Test the audit trail and the outcomes inferred for its entries."""

import datetime

import pytest

from gentianstair.util import audit
from standins import memory_store

SINCE = datetime.datetime.now(datetime.UTC) - datetime.timedelta(hours=1)


@pytest.mark.parametrize(
    ('kind', 'state', 'outcome'),
    [
        ('upstream', 'draining', 'done'),
        ('engine-order', 'done', 'done'),
        ('engine-order', 'accepted', 'done'),
        ('engine-order', 'intended', 'unknown'),
        ('engine-order', 'abandoned', 'not done'),
        ('engine-order', 'stale_epoch', 'not done'),
        ('upstream-order', 'intended', 'unknown'),
        ('upstream-order', 'done', 'done'),
    ],
)
@pytest.mark.parametrize('overwritten', [False, True])
async def test_outcome_of_an_order_is_inferred_from_its_state(
    kind, state, outcome, overwritten
):
    """Guards against reporting orders as done that were never sent.

    The record has the entry's name before the order is sent, and may have
    been overwritten by the next order.
    """
    client = memory_store.MemoryStore()
    entry = audit.make_entry('vm-1', 'order drain', f'{kind}/e', None, {})
    name = await audit.record(client, entry)
    value = {'state': state, 'change': name}
    version = await client.put(kind, 'e', value, 0, purpose='test')
    if overwritten:
        later = audit.make_entry('vm-2', 'x', f'{kind}/e', value, {})
        later_name = await audit.record(client, later)
        next_ = {'state': 'done', 'change': later_name}
        await client.put(kind, 'e', next_, version, purpose='test')
    found = await audit.read(client, SINCE)
    assert found[0].outcome == outcome


@pytest.mark.parametrize('hours', [0.5, 1, 5, 39, 41, 300, 30000])
async def test_read_returns_all_entries_in_order_with_few_calls(hours):
    client = memory_store.MemoryStore()
    now = datetime.datetime.now(datetime.UTC)
    margin = datetime.timedelta(seconds=2)
    since = now - datetime.timedelta(hours=hours)
    times = [since - margin, since + margin, since + (now - since) / 2]
    # The author's clock may be ahead.
    times += [now, now + datetime.timedelta(minutes=50)]
    names = []
    for at in times:
        entry = audit.make_entry('a', 'b', 'c/d', None, {})
        entry['at'] = audit.timestamp(at)
        names.append(await audit.record(client, entry))
    client.calls.clear()
    found = await audit.read(client, since)
    assert [record.name for record in found] == names[1:]
    inferred = len(found)
    assert client.calls['audit'] - inferred <= 2 * (audit.MAX_LIST_CALLS + 1)
