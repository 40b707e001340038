"""Test how the trail's open entries are settled."""

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
async def test_an_order_is_done_only_if_its_record_says_so(
    kind, state, outcome, overwritten
):
    """The trail says that an engine was drained, and it was not.

    The holder died between writing the order's record and sending it. The
    record carries the entry's name all the same, so its state must tell,
    also when the next order has overwritten it.
    """
    client = memory_store.MemoryStore()
    entry = audit.make_entry('vm-1', 'order drain', f'{kind}/e', None, {})
    name = await audit.record(client, entry)
    value = {'state': state, 'change': name}
    version = await client.put(kind, 'e', value, 0, purpose='test')
    if overwritten:
        later = audit.make_entry('vm-2', 'x', f'{kind}/e', value, {})
        mark = await audit.record(client, later)
        next_ = {'state': 'done', 'change': mark}
        await client.put(kind, 'e', next_, version, purpose='test')
    found = await audit.read(client, SINCE)
    assert found[0].outcome == outcome


@pytest.mark.parametrize('hours', [0.5, 1, 5, 39, 41, 300, 30000])
async def test_all_entries_since_then_are_read_in_order(hours):
    client = memory_store.MemoryStore()
    now = datetime.datetime.now(datetime.UTC)
    second = datetime.timedelta(seconds=2)
    since = now - datetime.timedelta(hours=hours)
    times = [since - second, since + second, since + (now - since) / 2]
    # An author's clock may be ahead.
    times += [now, now + datetime.timedelta(minutes=50)]
    names = []
    for at in times:
        entry = audit.make_entry('a', 'b', 'c/d', None, {})
        entry['at'] = audit.timestamp(at)
        names.append(await audit.record(client, entry))
    client.calls.clear()
    found = await audit.read(client, since)
    assert [record.name for record in found] == names[1:]
    settled = len(found)
    assert client.calls['audit'] - settled <= 2 * (audit.MAX_LIST_CALLS + 1)
