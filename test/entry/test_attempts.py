"""Test how often a request is sent on after failed attempts."""

import pytest
import trio

from gentianstair import errors
from gentianstair import verdict
from gentianstair.entry import attempts
from gentianstair.entry import callers
from gentianstair.entry import request as requests
from gentianstair.entry import retry_policy
from gentianstair.entry import work
from test.entry import test_hedging

FAILED = errors.UpstreamError('no answer', verdict.Verdict.MAY_HAVE_RUN)
BROKEN = errors.ConnectionBrokenError('closed')


async def play(failures, written_s=0.0):
    """Return the attempts of a request that all fail."""
    node = test_hedging.make_node()
    item = work.Work('r', 'c', 'stock', 1, 1, 1e6, repeatable=True)
    request = requests.Request('r', callers.Caller('c', 'd'), item, None)
    tried = []

    async def attempt(found):
        tried.append(found.name)
        found.first_token()
        await trio.sleep(written_s)
        raise failures[len(tried) - 1]

    with pytest.raises(errors.RequestError) as caught:
        await attempts.run(node, request, attempt)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN
    return tried


@pytest.mark.parametrize(
    ('failures', 'expected'),
    [
        ([BROKEN] * 9, 2),
        ([FAILED] * 9, retry_policy.MAX_ATTEMPTS),
        ([FAILED, BROKEN, FAILED, BROKEN], 4),
        ([BROKEN, FAILED, BROKEN, FAILED], 3),
    ],
    ids=['broken', 'failed', 'broken-last', 'broken-between'],
)
async def test_request_under_which_upstreams_end_is_not_sent_to_a_third(
    autojump_clock, failures, expected
):
    # Guards against one request that ends upstream after upstream.
    assert len(await play(failures)) == expected


async def test_answer_that_loses_its_upstreams_late_goes_on(autojump_clock):
    # Guards against long answers that are given up for what others ended.
    tried = await play([BROKEN] * 9, written_s=1.5)
    assert len(tried) == retry_policy.MAX_ATTEMPTS
