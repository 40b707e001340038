"""Test that a denial proves that nothing ran only as the pages have it."""

import collections
import typing

import pytest
import trio

from standins.site import site as sites
from test.gateway import denials
from test.gateway import gateways
from test.gateway import test_refusals

ONCE, LOOKUP = test_refusals.ONCE, test_refusals.LOOKUP
STREAM = test_refusals.STREAM
RESUMABLE = test_refusals.RESUMABLE
REFUSALS = test_refusals.REFUSALS
# At once, so that a play of the table takes seconds.
CALLERS = 8
MAX_SHOWN = 12
# More than a replica reads at once.
BODY = bytes(4 * denials.READ_BYTES)
# Rejections of a replica after which a VM still sends it requests.
FEW = 3
PROOFS = [
    cell
    for cell in denials.table(ran=False, moment='at-once')
    if cell.is_proof
]


class Seen(typing.NamedTuple):
    """What was told of each cell, and how often it came and ran."""

    told: dict[denials.Cell, int]
    came: collections.Counter[str]
    runs: collections.Counter[str]

    def broken(self):
        """Return the cells that ran twice, or ran and were refused."""
        return [
            f'{cell.name} told {status} came {self.came[cell.name]} '
            f'ran {self.runs[cell.name]}'
            for cell, status in self.told.items()
            if self.runs[cell.name] > 1
            or (self.runs[cell.name] and status in REFUSALS)
        ]


async def play(tmp_path, path, cells, count):
    """Send a request for each cell; return what was seen."""
    left, told = list(cells), {}
    async with sites.running(test_refusals.replicas_of(path, count)) as site:
        by_id = {cell.name: cell for cell in cells}
        async with denials.before(site, by_id) as deniers:
            # No cell is left out for want of retries.
            async with gateways.running(
                site, tmp_path, retry_slack=100_000
            ) as (gateway,):

                async def call():
                    while left:
                        cell = left.pop()
                        answer = await gateway.client.post(
                            path,
                            headers=gateway.headers(
                                cell.name, **gateways.PROMPT
                            ),
                            content=BODY if cell.moment == 'early' else b'',
                        )
                        told[cell] = answer.status_code

                async with trio.open_nursery() as nursery:
                    for _ in range(CALLERS):
                        nursery.start_soon(call)
    return Seen(
        told,
        sum((one.came for one in deniers), collections.Counter()),
        sum((one.runs for one in deniers), collections.Counter()),
    )


@pytest.mark.parametrize('path', [ONCE, STREAM], ids=['plain', 'stream'])
@pytest.mark.parametrize('count', [1, 3], ids=['one-replica', 'three'])
@pytest.mark.parametrize('moment', denials.MOMENTS)
async def test_odd_denial_of_what_ran_is_no_proof(
    tmp_path, path, count, moment
):
    # Guards against requests that ran and are refused, or run twice, as their
    # replica denied it in a way that no page has.
    cells = [
        cell
        for cell in denials.table(ran=True, moment=moment)
        if not cell.is_proof
    ]
    seen = await play(tmp_path, path, cells, count)
    assert all(seen.came[cell.name] for cell in cells)
    broken = seen.broken()
    assert not broken, f'{len(broken)} of {len(cells)}: ' + '\n'.join(
        broken[:MAX_SHOWN]
    )


@pytest.mark.parametrize('path', [LOOKUP, RESUMABLE], ids=['plain', 'stream'])
async def test_denial_as_on_the_pages_is_told_at_once(tmp_path, path):
    # Guards against a caller who isn't told what it may send again.
    seen = await play(tmp_path, path, PROOFS, 1)
    assert all(seen.came[cell.name] == 1 for cell in PROOFS)
    assert set(seen.told.values()) <= set(REFUSALS)


@pytest.mark.parametrize('path', [LOOKUP, RESUMABLE], ids=['plain', 'stream'])
async def test_denial_as_on_the_pages_is_tried_elsewhere(tmp_path, path):
    # Guards against requests that no other replica gets to see.
    seen = await play(tmp_path, path, PROOFS, 2)
    assert all(seen.came[cell.name] == 2 for cell in PROOFS)


@pytest.mark.parametrize('path', [ONCE, STREAM], ids=['plain', 'stream'])
async def test_each_denial_of_what_may_run_once_is_tried_elsewhere(
    tmp_path, path
):
    # Guards against run-once requests that no other replica gets to see, at a
    # VM that has not been turned away nearly always.
    for begin in range(0, len(PROOFS), FEW):
        cells = PROOFS[begin : begin + FEW]
        seen = await play(tmp_path, path, cells, 2)
        assert {seen.came[cell.name] for cell in cells} == {2}
        assert set(seen.told.values()) == {502}


@pytest.mark.parametrize('path', [ONCE, STREAM], ids=['plain', 'stream'])
@pytest.mark.parametrize('count', [1, 2])
async def test_what_may_run_once_is_refused_only_if_no_replica_got_it(
    tmp_path, path, count
):
    # Guards against a promise that rests on a denial, and against requests
    # that no other replica gets to see.
    seen = await play(tmp_path, path, PROOFS, count)
    came = [cell for cell in PROOFS if seen.came[cell.name]]
    assert max(seen.came[cell.name] for cell in came) == count
    assert {seen.told[cell] for cell in came} == {502}
    others = {seen.told[cell] for cell in PROOFS if cell not in came}
    assert others <= {503}


@pytest.mark.parametrize('path', [LOOKUP, RESUMABLE], ids=['plain', 'stream'])
async def test_odd_denial_is_tried_elsewhere_where_it_may_be(tmp_path, path):
    # Guards against callers who get an odd denial though others could answer.
    cells = [
        cell
        for cell in denials.table(ran=False, moment='at-once', body='length')
        if cell.mark in ('one', 'zero', 'twice') and cell.status >= 400
    ]
    seen = await play(tmp_path, path, cells, 2)
    assert all(seen.came[cell.name] == 2 for cell in cells)
