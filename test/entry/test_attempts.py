"""Test how often a request is sent on after failed attempts."""

import pytest
import trio

from gentianstair import errors
from gentianstair import verdict
from gentianstair.entry import attempts
from gentianstair.entry import callers
from gentianstair.entry import request as requests
from gentianstair.entry import retry_policy
from gentianstair.entry import streams
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


class Repeats:
    """A caller that asks one VM again, each time with another id."""

    def __init__(self):
        self.node = test_hedging.make_node()
        self.tried = []
        self.is_bad = True

    async def ask(self, digest):
        """Ask once; return the status of the answer."""
        item = work.Work('r', 'c', 'stock', 1, 1, 1e6, repeatable=True)
        caller = callers.Caller('c', 'd')
        request = requests.Request('r', caller, item, None, digest=digest)

        async def attempt(found):
            self.tried.append(digest)
            await trio.sleep(0.01)
            if self.is_bad and digest == 'bad':
                raise BROKEN
            return streams.Usage()

        try:
            await attempts.run(self.node, request, attempt)
        except errors.RequestError as error:
            return error.status
        return 200


async def test_request_that_ends_upstreams_is_sent_to_few(autojump_clock):
    # Guards against one request that its caller repeats, with another id
    # each time, ending upstream after upstream.
    play = Repeats()
    statuses = []
    for _ in range(10):
        statuses.append(await play.ask('bad'))
        assert await play.ask('sound') == 200
        await trio.sleep(0.2)
    assert play.tried.count('bad') == 3
    assert statuses == [502, 503, 503, 502, *[503] * 6]


async def test_request_is_served_again_after_a_trial(autojump_clock):
    # Guards against a sound request that is rejected for long as upstreams
    # ended by themselves where it ran.
    play = Repeats()
    assert await play.ask('bad') == 502
    play.is_bad = False
    assert await play.ask('bad') == 503
    await trio.sleep(0.5)
    assert [await play.ask('bad') for _ in range(3)] == [200] * 3


async def test_error_that_ends_a_sent_attempt_says_that_it_may_have_run(
    autojump_clock,
):
    # Guards against a second run under an idempotency key that was released.
    node = test_hedging.make_node()
    item = work.Work('r', 'c', 'stock', 1, 1, 1e6)
    request = requests.Request('r', callers.Caller('c', 'd'), item, None)

    async def attempt(tried):
        tried.run.record_send()
        raise errors.RequestError(503, 'odd', 'odd')

    with pytest.raises(errors.RequestError) as caught:
        await attempts.run(node, request, attempt)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN
