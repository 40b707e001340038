"""Test which connection gives way when there are too many."""

import pytest

from gentianstair.util import connection_table
from gentianstair.util import connections


def in_phase(table, phase, closed):
    """Add a connection and bring it to a phase."""
    connection = connections.Connection()
    assert table.admit(connection, lambda: closed.append(connection))
    if phase is not connections.Phase.NEW:
        progress = connections.RequestProgress(connection)
        if phase is not connections.Phase.READING:
            progress.note_whole()
        if phase is connections.Phase.IDLE:
            progress.note_end()
    assert connection.phase is phase
    return connection


NEW, IDLE, READING, SERVING = connections.Phase


@pytest.mark.parametrize(
    ('phases', 'first'),
    [
        ([SERVING, READING, IDLE, NEW], 3),
        ([SERVING, READING, IDLE], 2),
        ([SERVING, READING], 1),
        ([IDLE, NEW, NEW], 1),
        ([IDLE, IDLE], 0),
    ],
)
def test_least_useful_gives_way(phases, first):
    # Guards against a sound connection that is closed for an idle one.
    table, closed = connection_table.ConnectionTable(len(phases)), []
    found = [in_phase(table, phase, closed) for phase in phases]
    assert table.admit(connections.Connection(), lambda: None)
    assert closed == [found[first]]
    assert len(table) == len(phases)


def test_requests_under_way_give_way_to_nothing():
    # Guards against a request that is cut for a new connection.
    table, closed = connection_table.ConnectionTable(2), []
    found = [in_phase(table, SERVING, closed) for _ in range(2)]
    assert not table.admit(connections.Connection(), lambda: None)
    assert not closed
    table.remove(found[0])
    assert table.admit(connections.Connection(), lambda: None)


def test_several_requests_on_a_connection_count_together():
    # Guards against an HTTP/2 connection taken for idle beside a request.
    connection = connections.Connection()
    first = connections.RequestProgress(connection)
    second = connections.RequestProgress(connection)
    first.note_whole()
    second.note_end()
    assert connection.phase is SERVING
    first.note_end()
    assert connection.phase is IDLE
