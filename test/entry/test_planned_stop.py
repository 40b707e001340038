"""Test the responses of an entry to its callers at a planned stop."""

import json

import pytest
import trio

from test.entry import test_bad_input

GRACE_S = 0.3
TIMEOUT_S = 5.0


@pytest.mark.parametrize(
    ('method', 'path', 'body'),
    [
        ('POST', test_bad_input.CHAT_PATH, test_bad_input.COMPLETION),
        ('GET', '/services/stock/a', b''),
        ('POST', '/services/stock/a', b''),
    ],
)
@pytest.mark.parametrize(
    'is_started', [True, False], ids=['in_flight', 'at_shutdown']
)
async def test_requests_beyond_the_grace_period_get_a_problem_response(
    method, path, body, is_started
):
    # Guards against a bare 500 without a verdict.
    async with test_bad_input.open_entry() as entry:
        entry.upstream.stalled = True

        async def stop():
            if is_started:
                while not entry.upstream.requests:
                    await trio.sleep(0.01)
            entry.node.grace.expire_in(GRACE_S)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop)
            with trio.fail_after(TIMEOUT_S):
                status, text = await entry.ask(body, path=path, method=method)
    problem = json.loads(text)
    assert status == 504
    assert problem['type'].endswith(':stopping')
    assert problem['verdict'] == 'MAY_HAVE_RUN'
