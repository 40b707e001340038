"""Test hedged look-ups of plain services."""

import collections
import typing

import pytest
import trio

from gentianstair import errors
from gentianstair import verdict
from gentianstair.core import ejection
from gentianstair.entry import callers
from gentianstair.entry import explain
from gentianstair.entry import request as requests
from gentianstair.entry import retries
from gentianstair.entry import routing
from gentianstair.entry import services
from gentianstair.entry import work

NAMES = ('s1', 's2')
USUAL_S = 0.05
QUICK_S = 0.04


class View:
    """Two replicas of a service."""

    def upstream(self, name):
        return {'url': f'http://{name}'}


class FakeNode(typing.NamedTuple):
    """The parts of a node that a look-up uses."""

    view: View
    router: routing.Router
    retries: retries.Retries
    explanations: explain.Explanations
    clock: typing.Callable[[], float] = trio.current_time

    @property
    def ejector(self) -> ejection.Ejector:
        return self.retries.ejector


def make_node():
    router = routing.make_router('vm-1', 'north')
    router.set_upstreams(
        [routing.UpstreamInfo(n, 'north', ('stock',)) for n in NAMES]
    )
    found = retries.make_retries()
    for _ in range(50):
        found.hedges.report('stock', USUAL_S)
        found.budget.fresh('c', 's1')
        found.budget.fresh('c', 's2')
    return FakeNode(View(), router, found, explain.make_explanations())


@pytest.mark.parametrize(
    ('method', 'slow', 'copies', 'most_s'),
    [
        # The usual look-up is not copied.
        ('GET', 0, 1, USUAL_S),
        # A slow one is, at another replica, and the first answer counts.
        ('GET', 1, 2, 3 * USUAL_S),
        # A call that may not be repeated never is, however slow.
        ('POST', 1, 1, 60.0),
    ],
)
async def test_only_slow_look_ups_are_copied(
    method, slow, copies, most_s, autojump_clock, monkeypatch
):
    node = make_node()
    asked = []

    async def attempt(self, tried):
        asked.append(tried.name)
        late = len(asked) <= slow
        await trio.sleep(30.0 if late else QUICK_S)
        self.response = services.ServiceResponse(200, [], tried.name.encode())
        return services.streams.Usage()

    monkeypatch.setattr(services.ServiceRelay, 'attempt', attempt)
    call = services.ServiceCall('stock', '/a', method, [], b'', None)
    caller = callers.Caller('c', 'digest')
    item = work.Work('r', 'c', 'stock', 1, 1, 1e6, repeatable=call.repeatable)
    request = requests.Request('r', caller, item, None)
    started_s = trio.current_time()
    reply = await services.run(node, request, call)
    assert reply.body.decode() == asked[-1]
    assert trio.current_time() - started_s <= most_s
    assert len(asked) == copies
    assert max(collections.Counter(asked).values()) == 1


async def test_a_hedge_that_fails_everywhere_tells_the_worst_verdict(
    autojump_clock, monkeypatch
):
    # Both copies of a look-up fail, one after it may have run. The answer
    # must not say "not run" because the other copy never started.
    node = make_node()
    verdicts = [verdict.Verdict.NOT_RUN, verdict.Verdict.MAY_HAVE_RUN]

    async def attempt(self, tried):
        await trio.sleep(1.0)
        raise errors.UpstreamError('lost', verdicts[tried.name == 's2'])

    monkeypatch.setattr(services.ServiceRelay, 'attempt', attempt)
    monkeypatch.setattr(retries, 'MOST_ATTEMPTS', 1)
    call = services.ServiceCall('stock', '/a', 'GET', [], b'', None)
    caller = callers.Caller('c', 'digest')
    item = work.Work('r', 'c', 'stock', 1, 1, 1e6)
    request = requests.Request('r', caller, item, None)
    with pytest.raises(errors.RequestError) as caught:
        await services.run(node, request, call)
    assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN
