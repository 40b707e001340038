"""Test operators' changes under races, lost answers and deaths."""

import datetime
import io

import pytest
import trio

from gentianstair import errors
from gentianstair.ui import change
from gentianstair.ui import output
from gentianstair.ui import session as sessions
from gentianstair.util import audit
from standins import memory_store
from standins.platform import objects

LONG_AGO = datetime.datetime.now(datetime.UTC) - datetime.timedelta(days=2)


class ScriptedStore(memory_store.MemoryStore):
    """Lose or stop chosen writes; ``script`` holds one word a write.

    ``lost`` takes effect without an answer, ``dropped`` neither takes
    effect nor answers, ``late`` takes effect after the next write,
    ``down`` refuses the write and ``dies`` ends the process before it.
    """

    def __init__(self, table, kind, script):
        super().__init__(table)
        self.kind = kind
        self.script = list(script)
        self._late = None

    async def put(self, kind, name, value, expect_version, *, purpose):
        """See Store.put."""
        word = ''
        if kind == self.kind and self.script:
            word = self.script.pop(0)
        args = (kind, name, value, expect_version)
        if word == 'down':
            raise errors.StoreUnavailableError('down')
        if word == 'dies':
            raise KeyboardInterrupt
        if word == 'late':
            self._late = args
        if word == 'lost':
            self.table.write(*args)
        if word:
            raise errors.StoreOutcomeUnknownError('no answer')
        late, self._late = self._late, None
        try:
            return await super().put(*args, purpose=purpose)
        finally:
            if late:
                with pytest.raises(errors.StoreConflictError):
                    self.table.write(*late)


def make_session(client, actor='ann'):
    out = output.Output(True, io.StringIO())
    return sessions.Session(client, None, (), actor, out)


async def drain(client, actor='ann'):
    edit = change.update('upstream e', state='draining')
    session = make_session(client, actor)
    return await change.apply(session, 'drain', 'upstream', 'e', edit)


def make_table():
    table = objects.ObjectTable()
    table.write('upstream', 'e', {'state': 'active', 'n': 0}, 0)
    return table


async def outcomes(table):
    client = memory_store.MemoryStore(table)
    return [r.outcome for r in await audit.read(client, LONG_AGO)]


@pytest.mark.promise
async def test_of_two_operators_at_once_one_wins_clearly(autojump_clock):
    """Two operators change one upstream in the same moment.

    Both read it before either has written. A later write that knows
    nothing of the first would undo it unseen; the conditional update lets
    one through and tells the other.
    """
    table = make_table()
    results = {}

    async def operate(actor):
        client = memory_store.MemoryStore(table)
        client.faults.delay_s = 0.1
        try:
            await drain(client, actor)
            results[actor] = 'done'
        except errors.StoreConflictError:
            results[actor] = 'conflict'

    async with trio.open_nursery() as nursery:
        nursery.start_soon(operate, 'ann')
        nursery.start_soon(operate, 'bob')
    assert sorted(results.values()) == ['conflict', 'done']
    assert sorted(await outcomes(table)) == ['done', 'refused']


@pytest.mark.parametrize(
    ('script', 'settled'),
    [
        (['lost'], True),
        (['dropped'], True),
        (['late'], True),
        (['dropped', 'lost'], True),
        (['lost', 'dropped', 'dropped'], True),
        (['lost', 'down'], True),
        (['dropped', 'down'], False),
        (['dropped', 'dropped', 'dropped'], False),
    ],
)
async def test_a_lost_answer_is_settled_by_reading_back(script, settled):
    """The operator sees an error, though the change is in force.

    The store applied the write and its answer was lost, or the write
    itself was lost, or it arrives late. Writing again under the same
    version settles all three.
    """
    table = make_table()
    client = ScriptedStore(table, 'upstream', script)
    if settled:
        made = await drain(client)
        assert table.get('upstream', 'e').version == made.version
        assert await outcomes(table) == ['done']
        return
    with pytest.raises(change.EffectUnknownError):
        await drain(client)
    assert table.get('upstream', 'e').value['state'] == 'active'
    assert await outcomes(table) == ['unknown']


async def test_anothers_equal_change_is_not_taken_for_ours():
    """Two operators drain one upstream; the loser's answer is lost.

    The object then has just the value the loser wanted, but not by its
    hand. Told by the name of the audit entry, it is a conflict to look at
    and not a success.
    """
    table = make_table()
    client = ScriptedStore(table, 'upstream', ['dropped'])
    inner = client.put

    async def put(kind, name, value, expect_version, *, purpose):
        if kind == 'upstream' and client.script:
            await drain(memory_store.MemoryStore(table), 'bob')
        return await inner(kind, name, value, expect_version, purpose=purpose)

    client.put = put
    with pytest.raises(change.EffectUnknownError):
        await drain(client, 'ann')
    assert sorted(await outcomes(table)) == ['done', 'unknown']


@pytest.mark.promise
@pytest.mark.parametrize(
    ('kind', 'outcome'),
    [('audit', None), ('upstream', 'not done'), ('audit-outcome', 'done')],
)
async def test_no_death_leaves_a_change_without_its_entry(
    kind, outcome, monkeypatch
):
    """An upstream is drained and the trail does not say by whom.

    The command was killed between the change and its record. The entry
    goes first, so a death at any write leaves no change unrecorded, and
    an entry without outcome is settled from the object.
    """
    monkeypatch.setattr(audit, 'MAX_WRITE_S', -1.0)
    table = make_table()
    with pytest.raises(KeyboardInterrupt):
        await drain(ScriptedStore(table, kind, ['dies']))
    changed = table.get('upstream', 'e').value['state'] == 'draining'
    assert changed == (outcome == 'done')
    assert await outcomes(table) == ([outcome] if outcome else [])
    # A later change must not hide that the first took effect.
    if outcome:
        await drain(memory_store.MemoryStore(table), 'bob')
        assert await outcomes(table) == [outcome, 'done']


async def test_nothing_is_changed_when_it_cannot_be_recorded():
    table = make_table()
    client = ScriptedStore(table, 'audit', ['dropped'] * audit.CREATE_TRIES)
    with pytest.raises(errors.StoreOutcomeUnknownError):
        await drain(client)
    assert table.get('upstream', 'e').value['state'] == 'active'
