"""Test that a restore brings back what is lost and takes back nothing."""

import io
import json

import pytest

from gentianstair import errors
from gentianstair.config import bundles
from gentianstair.config import snapshots
from gentianstair.config import view as views
from gentianstair.ui import main
from gentianstair.ui import output
from gentianstair.ui import session as sessions
from gentianstair.ui.commands import snapshot
from standins import memory_store

KEY = {'customer': 'a', 'label': '', 'revoked': False}
REVOKED = {**KEY, 'revoked': True}
CUSTOMER = {
    'weight': 1.0,
    'requests_per_s': 1.0,
    'tokens_per_s': 1.0,
    'concurrent': 1,
    'enabled': True,
}


async def run(store, *argv):
    stream = io.StringIO()
    out = output.Output(True, stream)
    session = sessions.Session(store, None, (), 'ann', out)
    await sessions.run(main.parse(list(argv)).command, session)
    return json.loads(stream.getvalue())


def make_store(number=1):
    store = memory_store.MemoryStore()
    write = store.table.write
    write('customer', 'a', CUSTOMER, 0)
    write('key', 'k', KEY, 0)
    write('bundle', str(number), bundles.build('', number), 0)
    write('accepted', 'current', {'number': number}, 0)
    return store


async def test_an_empty_store_gets_all_of_it_back(tmp_path):
    path = str(tmp_path / 's')
    await run(make_store(), 'snapshot', 'save', path)
    empty = memory_store.MemoryStore()
    rows = await run(empty, 'snapshot', 'restore', path)
    assert {row['result'] for row in rows} == {'created'}
    # The number comes in force only when its bundle is there.
    assert [row['kind'] for row in rows][-2:] == ['bundle', 'accepted']
    rows = await run(empty, 'snapshot', 'restore', path)
    assert {row['result'] for row in rows} == {'same'}
    with pytest.raises(errors.UserError, match='exists'):
        await run(empty, 'snapshot', 'save', path)


@pytest.mark.promise
@pytest.mark.parametrize(
    ('kind', 'saved', 'present', 'result', 'value'),
    [
        ('key', KEY, None, 'created', KEY),
        ('key', KEY, REVOKED, 'kept', REVOKED),
        ('key', REVOKED, KEY, 'raised', REVOKED),
        ('key', {**KEY, 'change': '1'}, KEY, 'same', KEY),
        (
            'key',
            REVOKED,
            {**KEY, 'label': 'n'},
            'raised',
            {**REVOKED, 'label': 'n'},
        ),
        ('accepted', {'number': 3}, {'number': 4}, 'kept', {'number': 4}),
        ('accepted', {'number': 4}, {'number': 3}, 'raised', {'number': 4}),
        ('customer', {'weight': 1}, {'weight': 2}, 'kept', {'weight': 2}),
    ],
)
def test_nothing_is_taken_back(kind, saved, present, result, value):
    """A key that was revoked works again after a restore.

    The file is older than what the store has. Only what is missing comes
    from it, and what is on the safe side: a revocation, a higher number.
    """
    assert snapshot.wanted(kind, saved, present) == (result, value)


def test_every_kind_of_configuration_is_saved():
    assert set(snapshot.ORDER) == set(views.WATCHED_KINDS)


@pytest.mark.parametrize('damage', ['cut', 'changed', 'kind', 'value'])
async def test_a_damaged_file_changes_nothing(tmp_path, damage):
    path = tmp_path / 's'
    await run(make_store(), 'snapshot', 'save', str(path))
    data = path.read_bytes()
    if damage == 'cut':
        path.write_bytes(data[:-20])
    elif damage == 'changed':
        path.write_bytes(data.replace(b'false', b'true'))
    else:
        rows = snapshots.decode(data)['objects']
        rows[0] = {**rows[0], damage: 'lease' if damage == 'kind' else {}}
        items = [type('Item', (), row) for row in rows]
        path.write_bytes(snapshots.encode('now', items))
    empty = memory_store.MemoryStore()
    with pytest.raises(errors.UserError):
        await run(empty, 'snapshot', 'restore', str(path))
    assert empty.table.revision == 0
