"""Test what callers of an entry get when it is being stopped."""

import json

import pytest
import trio

from test.entry import test_bad_input

GRACE_S = 0.3
LIMIT_S = 5.0


@pytest.mark.parametrize(
    ('method', 'path', 'body'),
    [
        ('POST', test_bad_input.CHAT, test_bad_input.ASK),
        ('GET', '/services/stock/a', b''),
        ('POST', '/services/stock/a', b''),
    ],
)
@pytest.mark.parametrize('begun', [True, False])
async def test_what_outlasts_the_grace_gets_a_final_answer(
    method, path, body, begun
):
    # A bare 500, of which callers and logs could tell nothing.
    async with test_bad_input.open_entry() as entry:
        entry.upstream.held = True

        async def stop():
            if begun:
                while not entry.upstream.requests:
                    await trio.sleep(0.01)
            entry.node.grace.expire_in(GRACE_S)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop)
            with trio.fail_after(LIMIT_S):
                status, text = await entry.ask(body, path=path, method=method)
    problem = json.loads(text)
    assert status == 504
    assert problem['type'].endswith(':stopping')
    assert problem['verdict'] == 'MAY_HAVE_RUN'
