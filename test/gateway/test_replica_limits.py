"""Test replicas that name a limit, in front of several gateways."""

import collections
import contextlib
import typing

import httpx
import pytest
import trio

from gentianstair import errors
from gentianstair.core import upstream_permits
from gentianstair.gateway import remote_prefill
from standins import limits
from standins.site import site as sites
from test.gateway import gateways

VMS = 3
# Long enough for a window of the users' bound after its beginning.
PLAY_S = 9.0
# The users allow three seconds; a VM hears of it far sooner.
NOTICE_S = 2.0
MIN_USED_SHARE = 0.9
# Nothing that is told at once takes longer, with all VMs in one process.
AT_ONCE_S = 0.6


class Outcome(typing.NamedTuple):
    """How one request ended."""

    status: int
    took_s: float
    retry_after_s: float | None


class Load:
    """Callers that send requests at a rate, to all gateways in turn."""

    def __init__(self, found, paths, rate_per_s):
        self.gateways = found
        self.paths = paths
        self.rate_per_s = rate_per_s
        self.outcomes = []
        self._number = 0

    async def run(self, length_s):
        """Send for length_s, and wait for the answers."""
        end_s = trio.current_time() + length_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end_s:
                nursery.start_soon(self._send, self._number)
                self._number += 1
                await trio.sleep(1 / self.rate_per_s)

    async def _send(self, number):
        gateway = self.gateways[number % len(self.gateways)]
        path = self.paths[number // len(self.gateways) % len(self.paths)]
        headers = gateways.PROMPT if path in STREAMED else {}
        began_s = trio.current_time()
        try:
            answer = await gateway.call('POST', path, f'r{number}', **headers)
        except httpx.TransportError:
            self.outcomes.append(Outcome(0, 0.0, None))
            return
        text = answer.headers.get('retry-after')
        self.outcomes.append(
            Outcome(
                answer.status_code,
                trio.current_time() - began_s,
                float(text) if text else None,
            )
        )

    def statuses(self):
        """Return how many requests ended with each status."""
        return collections.Counter(o.status for o in self.outcomes)


STREAMED = ('/ask/rule', '/draft/one')
LOOKUPS = ('/lookup/x',)
RUN_ONCE = ('/register/x',)
STREAMS = STREAMED


@contextlib.asynccontextmanager
async def running(tmp_path, vms=VMS):
    """Yield a site and gateways in front of it."""
    async with sites.running() as site:
        async with gateways.running(site, tmp_path, count=vms) as found:
            yield site, found


async def play(tmp_path, paths, rate_per_s, named):
    """Return the site and the load of a play with these limits."""
    async with running(tmp_path) as (site, found):
        for name, limit_per_s in named.items():
            site.replica(name).name_limit(limit_per_s)
        load = Load(found, paths, rate_per_s)
        await load.run(PLAY_S)
    return site, load


def most_arrivals(replica):
    """Return the most arrivals of a window, once VMs know the limit."""
    return limits.most_in_window(
        [arrival.at_s for arrival in replica.came],
        replica.limit_named_s + NOTICE_S,
    )


ONE_OF_SEVERAL = [
    pytest.param(LOOKUPS, 18.0, {'i-desk-1': 1.0}, id='lookups'),
    pytest.param(LOOKUPS, 18.0, {'i-desk-1': 0.5}, id='half-a-request'),
    pytest.param(RUN_ONCE, 18.0, {'i-desk-1': 1.0}, id='run-once'),
    pytest.param(LOOKUPS, 18.0, {'i-desk-1': 0.0}, id='none-at-all'),
    pytest.param(STREAMS, 9.0, {'i-maker-1': 1.0}, id='streams'),
    pytest.param(STREAMS, 9.0, {'i-reader': 1.0}, id='prefills'),
]


@pytest.mark.parametrize(('paths', 'rate_per_s', 'named'), ONE_OF_SEVERAL)
async def test_all_vms_keep_the_limit_that_a_replica_names(
    tmp_path, paths, rate_per_s, named
):
    # Guards against a replica in need that gets what each VM sends for
    # itself, while another replica has room.
    site, load = await play(tmp_path, paths, rate_per_s, named)
    for name, limit_per_s in named.items():
        assert most_arrivals(site.replica(name)) <= limits.allowed(limit_per_s)
    assert load.statuses() == {200: len(load.outcomes)}


ALL = [
    pytest.param(
        LOOKUPS, 18.0, {'i-desk-1': 2.0, 'i-desk-2': 2.0}, id='lookups'
    ),
    pytest.param(
        RUN_ONCE, 18.0, {'i-desk-1': 3.0, 'i-desk-2': 3.0}, id='run-once'
    ),
    pytest.param(
        STREAMS, 9.0, {'i-maker-1': 1.5, 'i-maker-2': 1.5}, id='streams'
    ),
]


@pytest.mark.parametrize(('paths', 'rate_per_s', 'named'), ALL)
async def test_limits_of_all_replicas_are_kept_and_used(
    tmp_path, paths, rate_per_s, named
):
    # Guards against limits that are broken, or left unused, where no replica
    # without one is left; what can't be served is told so at once.
    site, load = await play(tmp_path, paths, rate_per_s, named)
    for name, limit_per_s in named.items():
        assert most_arrivals(site.replica(name)) <= limits.allowed(limit_per_s)
    statuses = load.statuses()
    assert set(statuses) <= {200, 503}
    takes = sum(named.values()) * PLAY_S
    assert statuses[200] >= MIN_USED_SHARE * takes
    rejected = [o for o in load.outcomes if o.status == 503]
    assert all(o.retry_after_s for o in rejected)
    ran = {run.request_id for r in site.replicas for run in r.runs}
    assert len(ran) == statuses[200]
    waits_s = sorted(o.took_s for o in rejected)
    assert waits_s[len(waits_s) // 2] < AT_ONCE_S


async def test_limit_holds_for_vms_that_had_no_answer_yet(tmp_path):
    # Guards against callers that move on to VMs which no answer told.
    async with running(tmp_path) as (site, found):
        for name in ('i-desk-1', 'i-desk-2'):
            site.replica(name).name_limit(1.0)
        await Load(found[:1], LOOKUPS, 18.0).run(3.0)
        await Load(found[1:], LOOKUPS, 18.0).run(6.0)
    for name in ('i-desk-1', 'i-desk-2'):
        assert most_arrivals(site.replica(name)) <= limits.allowed(1.0)


async def test_prompt_that_may_not_be_prefilled_elsewhere_is_served(
    tmp_path, monkeypatch
):
    # Guards against a decode replica that is sent a prompt without a permit
    # when the retry budget leaves no prefill elsewhere.
    monkeypatch.setattr(
        remote_prefill.RemotePrefill, 'may_prefill', lambda self: False
    )
    async with running(tmp_path) as (site, found):
        site.replica('i-maker-1').name_limit(1.0)
        load = Load(found, STREAMS, 9.0)
        await load.run(3.0)
    assert load.statuses() == {200: len(load.outcomes)}


@pytest.mark.parametrize('path', [*RUN_ONCE, *STREAMS])
async def test_request_whose_permit_lapsed_asks_for_another(
    tmp_path, monkeypatch, path
):
    # Guards against a VM short of processor time that sends, all at once and
    # seconds late, what it had permits for.
    lapsed = []
    check = upstream_permits.UpstreamPermits.check_usable

    def lapse_once(self, run, permit):
        if not lapsed:
            lapsed.append(run.name)
            raise errors.PermitLapsedError('too old')
        check(self, run, permit)

    monkeypatch.setattr(
        upstream_permits.UpstreamPermits, 'check_usable', lapse_once
    )
    async with running(tmp_path, vms=1) as (site, found):
        load = Load(found, (path,), 9.0)
        await load.run(0.5)
    assert lapsed
    assert load.statuses() == {200: len(load.outcomes)}


async def test_replicas_whose_limit_of_nothing_ended_serve_again_soon(
    tmp_path,
):
    # Guards against replicas that take requests again and get none.
    async with running(tmp_path) as (site, found):
        desks = [site.replica(name) for name in ('i-desk-1', 'i-desk-2')]
        for desk in desks:
            desk.name_limit(0.0)
        await Load(found, LOOKUPS, 18.0).run(3.0)
        for desk in desks:
            desk.name_limit(None)
        await Load(found, LOOKUPS, 18.0).run(limits.CONTACT_S)
        load = Load(found, LOOKUPS, 18.0)
        await load.run(2.0)
    assert load.statuses() == {200: len(load.outcomes)}


async def test_vm_alone_keeps_the_permits_itself(tmp_path):
    # Guards against a VM that finds no keeper and rejects all.
    async with running(tmp_path, vms=1) as (site, found):
        for name in ('i-desk-1', 'i-desk-2'):
            site.replica(name).name_limit(5.0)
        await Load(found, LOOKUPS, 9.0).run(3.0)
        load = Load(found, LOOKUPS, 9.0)
        await load.run(2.0)
    assert load.statuses()[200] >= MIN_USED_SHARE * len(load.outcomes)
