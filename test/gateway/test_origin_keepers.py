"""Test who knows at which version a stream began, over links in memory."""

import contextlib
import itertools

import pytest
import trio

from gentianstair import errors
from gentianstair.core import stream_origins
from gentianstair.gateway import origin_keepers
from gentianstair.gateway import origin_messages
from gentianstair.gateway import version_history
from gentianstair.peers import link
from gentianstair.util import clock as clocks

LIFETIME_S = 9.0
# One version that has served for so long is the only one for all streams.
SETTLED_S = LIFETIME_S + version_history.LATE_RESUME_S + 1.0
HUBS = 9
STREAMS = 40
ORIGIN = stream_origins.Origin('models', 'v1', 'i-1', 17, 1000)
TWO = {'models': frozenset({'v1', 'v2'})}
ONE = {'models': frozenset({'v1'})}


class Channel(link.Channel):
    """A link over which a VM is told and asked."""

    def __init__(self, asker, answerer, nursery):
        self._asker = asker
        self._answerer = answerer
        self._nursery = nursery
        self.is_silent = False
        self.is_closed = False
        self.sent = []

    async def send(self, data):
        if self.is_closed:
            raise link.LinkClosedError('closed')
        self.sent.append(link.decode(data))
        if not self.is_silent:
            self._nursery.start_soon(self._deliver, link.decode(data))

    async def _deliver(self, message):
        await trio.sleep(0.001)
        if message['type'] == 'stream_origins':
            await self._answerer.keepers.handle_origins(message)
            return
        answer = await self._answerer.keepers.answer(message)
        self._asker.keepers.handle_answer(link.decode(link.encode(answer)))

    async def receive(self):
        await trio.sleep_forever()

    async def aclose(self):
        self.is_closed = True


class Vm:
    """A VM, its links and what it knows."""

    def __init__(self, address, domains):
        self.address = address
        self.hub_links = {}
        self.link_to_hub = None
        self.history = version_history.VersionHistory(clocks.trio_time_s)
        self.history.begin()
        self.keepers = origin_keepers.OriginKeepers(
            self, self.history, clocks.trio_time_s, lambda: domains
        )

    async def ask(self, key):
        question = origin_messages.Question(key, 'models', LIFETIME_S)
        return await self.keepers.ask(question)

    def record(self, key, origin=ORIGIN):
        self.keepers.record(key, origin, LIFETIME_S)


class Fleet:
    """Hubs that are linked with each other, and a leaf of the first."""

    def __init__(self, nursery, versions):
        addresses = [f'hub-{n}:1' for n in range(HUBS)]
        domains = {a: 'abc'[n % 3] for n, a in enumerate(addresses)}
        self.hubs = [Vm(address, domains) for address in addresses]
        self.leaf = Vm('leaf:1', domains)
        for one, other in itertools.permutations(self.hubs, 2):
            one.hub_links[other.address] = Channel(one, other, nursery)
        self.leaf.link_to_hub = Channel(self.leaf, self.hubs[0], nursery)
        for vm in (*self.hubs, self.leaf):
            vm.history.record(versions)
            nursery.start_soon(vm.keepers.run)

    def stop(self, gone):
        """Cut a VM from all others."""
        for vm in self.hubs:
            vm.hub_links.pop(gone.address, None)
        gone.hub_links.clear()

    def messages(self):
        """Return all messages that hubs and the leaf have sent."""
        channels = [self.leaf.link_to_hub]
        for vm in self.hubs:
            channels += vm.hub_links.values()
        return [m for channel in channels for m in channel.sent]


@contextlib.asynccontextmanager
async def running(versions=TWO):
    async with trio.open_nursery() as nursery:
        yield Fleet(nursery, versions)
        nursery.cancel_scope.cancel()


def keys(count=STREAMS):
    return [b'stream %d' % number for number in range(count)]


async def test_each_vm_learns_where_a_stream_began(autojump_clock):
    async with running() as fleet:
        for key in keys():
            fleet.hubs[0].record(key)
        await trio.sleep(0.1)
        for key in keys():
            for vm in (*fleet.hubs, fleet.leaf):
                assert (await vm.ask(key)).origin == ORIGIN


async def test_streams_of_a_vm_that_is_gone_are_known(autojump_clock):
    # Guards against streams that end with the VM that began them.
    async with running() as fleet:
        gone = fleet.hubs[4]
        for key in keys():
            gone.record(key)
        await trio.sleep(0.1)
        fleet.stop(gone)
        for key in keys():
            for vm in (fleet.hubs[0], fleet.hubs[8], fleet.leaf):
                assert (await vm.ask(key)).origin == ORIGIN


async def test_streams_outlive_the_loss_of_a_failure_domain(autojump_clock):
    # Guards against keepers that all fail with the VM that told them.
    async with running() as fleet:
        for key in keys():
            fleet.hubs[0].record(key)
        await trio.sleep(0.1)
        for gone in fleet.hubs[::3]:
            fleet.stop(gone)
        for key in keys():
            assert (await fleet.hubs[1].ask(key)).origin == ORIGIN


async def test_a_leafs_streams_are_told_through_its_hub(autojump_clock):
    async with running() as fleet:
        for key in keys():
            fleet.leaf.record(key)
        await trio.sleep(0.1)
        fleet.stop(fleet.hubs[0])
        for key in keys():
            assert (await fleet.hubs[5].ask(key)).origin == ORIGIN


async def test_vm_that_has_just_started_asks_others(autojump_clock):
    async with running() as fleet:
        fleet.hubs[3].record(b'x')
        await trio.sleep(0.1)
        fresh = Vm('fresh:1', {})
        async with trio.open_nursery() as nursery:
            for vm in fleet.hubs:
                channel = Channel(fresh, vm, nursery)
                fresh.hub_links[vm.address] = channel
            assert (await fresh.ask(b'x')).origin == ORIGIN


async def test_nothing_is_told_while_one_version_serves(autojump_clock):
    async with running(ONE) as fleet:
        await trio.sleep(SETTLED_S)
        for key in keys():
            fleet.hubs[0].record(key)
        await trio.sleep(0.5)
        assert fleet.messages() == []


async def test_streams_are_told_when_a_second_version_comes(autojump_clock):
    # Guards against streams that began just before a release.
    async with running(ONE) as fleet:
        await trio.sleep(SETTLED_S)
        for key in keys():
            fleet.hubs[0].record(key)
        await trio.sleep(1.0)
        for vm in fleet.hubs:
            vm.history.record(TWO)
        await trio.sleep(0.1)
        fleet.stop(fleet.hubs[0])
        for key in keys():
            assert (await fleet.hubs[5].ask(key)).origin == ORIGIN


async def test_second_version_that_another_vm_sees_counts(autojump_clock):
    # Guards against a VM that has not heard of a second version yet.
    async with running(ONE) as fleet:
        await trio.sleep(SETTLED_S)
        fleet.hubs[0].history.record(TWO)
        fleet.hubs[0].record(b'x', ORIGIN._replace(version='v2'))
        await trio.sleep(0.1)
        for vm in fleet.hubs[1:]:
            assert (await vm.ask(b'x')).origin.version == 'v2'


async def test_what_could_not_be_told_is_told_again(autojump_clock):
    async with running() as fleet:
        teller = fleet.hubs[0]
        links = dict(teller.hub_links)
        teller.hub_links.clear()
        teller.record(b'x')
        await trio.sleep(1.0)
        teller.hub_links.update(links)
        await trio.sleep(1.0)
        assert (await fleet.hubs[5].ask(b'x')).origin == ORIGIN


async def test_silent_vms_delay_an_answer_by_little(autojump_clock):
    async with running() as fleet:
        for channel in fleet.hubs[0].hub_links.values():
            channel.is_silent = True
        began_s = trio.current_time()
        knowledge = await fleet.hubs[0].ask(b'x')
        assert knowledge.origin is None
        assert trio.current_time() - began_s == pytest.approx(0.5, abs=0.01)


async def test_ids_that_callers_invent_do_not_fill_the_links(autojump_clock):
    # Guards against callers that resume streams which never were.
    async with running() as fleet:
        asker = fleet.hubs[0]
        for channel in asker.hub_links.values():
            channel.is_silent = True
        async with trio.open_nursery() as nursery:
            for key in keys(1000):
                nursery.start_soon(asker.ask, key)
        sent = sum(len(c.sent) for c in asker.hub_links.values())
        assert sent <= origin_keepers.MAX_QUESTIONS
        assert (await asker.ask(b'x')).origin is None


async def test_vms_that_name_two_versions_leave_a_stream_unknown(
    autojump_clock,
):
    async with running() as fleet:
        for number, version in ((1, 'v1'), (2, 'v2')):
            message = origin_messages.encode_origins(
                [
                    origin_messages.Told(
                        b'x', ORIGIN._replace(version=version), LIFETIME_S
                    )
                ],
                spread=False,
            )
            await fleet.hubs[number].keepers.handle_origins(message)
        found = [
            origin_messages.decode_answer(
                await fleet.hubs[number].keepers.answer(
                    origin_messages.encode_question(
                        1,
                        origin_messages.Question(b'x', 'models', LIFETIME_S),
                        0,
                    )
                )
            )
            for number in (1, 2)
        ]
        combined = origin_keepers.combine(found)
        assert combined.origin.version == stream_origins.UNKNOWN_VERSION


@pytest.mark.parametrize(
    'row',
    [[], [b'k'], [b'k', 'models', 3, 'i-1', 1, 1, 1], 'row'],
    ids=['empty', 'short', 'no version', 'text'],
)
def test_unreadable_row_is_a_decode_error(row):
    with pytest.raises(errors.DecodeError):
        origin_messages.decode_rows([row])


@pytest.mark.parametrize('lifetime_ms', [-5, 10**12])
def test_lifetime_of_a_message_is_bounded(lifetime_ms):
    row = [b'k', *ORIGIN, lifetime_ms]
    (told,) = origin_messages.decode_rows([row])
    assert 0 <= told.lifetime_s <= origin_messages.MAX_LIFETIME_S
