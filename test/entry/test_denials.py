"""Test that an engine's denial of a run is believed only where it fits."""

import itertools
import json

import pytest
import trio

from gentianstair.core import refusals
from standins.platform import app as platform_app
from test.entry import test_bad_input
from test.entry import test_refusals

MARK = b'x-not-started: %s\r\n'
MARKS = {
    'one': (b'1',),
    'zero': (b'0',),
    'empty': (b'',),
    'list': (b'1, 1',),
    'twice': (b'1', b'1'),
    'both': (b'0', b'1'),
}
STATUSES = (408, 421, 429, 500, 502, 503, 504)
EVENTS = b'content-type: text/event-stream\r\n'
CARRIES = {'nothing': b'', 'events': EVENTS}


def denial(status, mark, carries):
    """Return an answer that says that nothing started."""
    marks = b''.join(MARK % value for value in MARKS[mark])
    return b'HTTP/1.1 %d No\r\n%s%scontent-length: 2\r\n\r\n{}' % (
        status,
        marks,
        CARRIES[carries],
    )


def is_proof(status, mark, carries):
    """Return whether an entry may tell by it that nothing started."""
    return (
        status in refusals.STATUSES and mark == 'one' and carries == 'nothing'
    )


CELLS = list(itertools.product(STATUSES, MARKS, CARRIES))
ASKS = test_refusals.asks()


async def verdicts_of(ask, cells):
    """Send a request for each cell to a fresh entry; return its verdicts."""
    found = {}
    for cell in cells:
        async with test_bad_input.open_entry() as entry:
            entry.upstream.odd = denial(*cell)
            _, body = await test_refusals.send(entry, ask)
            found[cell] = json.loads(body).get('verdict')
            assert entry.upstream.requests
    return found


@pytest.mark.parametrize('ask', ASKS.values(), ids=ASKS)
@pytest.mark.parametrize('status', STATUSES)
async def test_odd_denial_of_an_engine_is_no_proof(ask, status):
    # Guards against a refusal of what ran, by an answer that only a run has.
    cells = [
        cell for cell in CELLS if cell[0] == status and not is_proof(*cell)
    ]
    found = await verdicts_of(ask, cells)
    untrue = [cell for cell in cells if found[cell] == 'NOT_RUN']
    assert not untrue, f'{len(untrue)} of {len(cells)}'


@pytest.mark.parametrize('ask', ASKS.values(), ids=ASKS)
async def test_denial_of_an_engine_that_fits_is_told_as_one(ask):
    # Guards against callers who are not told what they may send again.
    cells = [cell for cell in CELLS if is_proof(*cell)]
    assert cells
    found = await verdicts_of(ask, cells)
    assert set(found.values()) == {'NOT_RUN'}


@pytest.mark.parametrize(
    ('status', 'released'), [(500, False), (503, True)], ids=['odd', 'fits']
)
async def test_key_is_released_by_a_denial_that_fits_only(
    monkeypatch, status, released
):
    # Guards against a second run under a key by a denial that proves nothing.
    ask = (b'x', [b'idempotency-key: k1'], test_refusals.REGISTER, 'POST')
    async with platform_app.running() as (_, url):
        monkeypatch.setitem(test_bad_input.SETTINGS, 'platform_url', url)
        async with test_bad_input.open_entry() as entry:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(entry.node.claims.run_batches)
                entry.upstream.odd = denial(status, 'one', 'nothing')
                await test_refusals.send(entry, ask)
                before = len(entry.upstream.requests)
                await test_refusals.send(entry, ask)
                assert (len(entry.upstream.requests) > before) == released
                nursery.cancel_scope.cancel()
