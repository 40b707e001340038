"""Test what VMs think a replica caches whose entry is out of date."""

import json
import types

import httpx
import pytest
import trio

from gentianstair.gateway import cache_updates
from gentianstair.gateway import cache_watch
from gentianstair.gateway import calls
from gentianstair.gateway import prefix_index

NAME = 'i-1'
PART = calls.PromptPart('c0de', 9000)
PROMPT = calls.Prompt('m', 9100, 10, (PART,))
HELD, LACKING = 100, 9100
# How often linked VMs tell each other what is new.
LINK_S = 0.1
# Until what was told is with all VMs, and they have looked for starts.
SETTLED_S = 3.0
# Between the moments at which two VMs look for new starts.
APART_S = 0.5 * cache_watch.ASSIGNMENT_CHECK_S
BEFORE_LOOK_S = 0.7 * cache_watch.ASSIGNMENT_CHECK_S


class Replica:
    """A replica whose cache holds one part, or not."""

    def __init__(self):
        self.born_ms = 1
        self.changes = []

    def start_again(self):
        """Start again with an empty cache."""
        self.born_ms += 1
        self.changes = []

    def add(self):
        """Have the part in the cache."""
        self._change('+', PART.tokens)

    def evict(self):
        """Drop the part."""
        self._change('-', 0)

    def _change(self, sign, tokens):
        number = len(self.changes) + 1
        self.changes.append([number, sign, '', PART.name, tokens, 'm'])

    async def send(self, run, request):
        """Answer a poll, after a moment if there is no news."""
        since = int(request.url.params['since'])
        with trio.move_on_after(1.0):
            while len(self.changes) <= since:
                await trio.sleep(0.02)
        body = {
            'epoch': str(self.born_ms),
            'next': len(self.changes),
            'lost': False,
            'events': self.changes[since:],
        }
        return httpx.Response(200, text=json.dumps(body))


class Vm:
    """What one VM knows; one that follows nothing is told by another."""

    def __init__(self, replica, followed):
        self.index = prefix_index.PrefixIndex()
        self.updates = cache_updates.CacheUpdates(self.index)
        self.entry_ms = replica.born_ms
        loaded = trio.Event()
        loaded.set()
        self.node = types.SimpleNamespace(
            cache_updates=self.updates,
            replica_client=replica,
            registry=types.SimpleNamespace(loaded=loaded, all=self.entries),
            roster=types.SimpleNamespace(
                shares_cache_updates=lambda: False,
                lists_cache=lambda _: False,
                followed_replicas=lambda: followed,
            ),
        )

    def entries(self):
        """Return the replicas that are listed."""
        return [
            types.SimpleNamespace(
                name=NAME,
                started_ms=self.entry_ms,
                stage='decode',
                address='127.0.0.1:1',
                run=None,
            )
        ]

    def lacking(self):
        """Return how much of the prompt it thinks the replica lacks."""
        return self.index.uncached_tokens(NAME, PROMPT)

    async def tell(self, other):
        """Tell a linked VM what is new, for ever."""
        position = 0
        while True:
            log = self.updates.leaf_log
            rows = [list(change) for _, change in log.since(position)]
            position = log.position
            other.updates.apply_rows(rows, to_hubs=False)
            await trio.sleep(LINK_S)


def begin(nursery, replica, apart_s):
    """Return a VM that polls a replica and one that it tells.

    The second one looks for new starts so much later than the first.
    """
    polling, told = Vm(replica, {NAME}), Vm(replica, set())
    nursery.start_soon(cache_watch.run, polling.node)
    nursery.start_soon(polling.tell, told)

    async def run_later():
        await trio.sleep(apart_s)
        await cache_watch.run(told.node)

    nursery.start_soon(run_later)
    return polling, told


def hold(replica):
    replica.add()


def hold_and_drop(replica):
    replica.add()
    replica.evict()


def hold_nothing(replica):
    pass


def listed(vms, replica):
    """Let VMs know the entry of the present start."""
    for vm in vms:
        vm.entry_ms = replica.born_ms


ROWS = {
    'dropped-by-the-start': (hold, hold_nothing),
    'held-by-both': (hold, hold),
    'held-again-with-a-lower-number': (hold_and_drop, hold),
}
PARAMS = pytest.mark.parametrize(('before', 'after'), ROWS.values(), ids=ROWS)


async def play(before, after, is_listed, apart_s=APART_S):
    """Return what the VMs think that a replica lacks, and what it does."""
    replica = Replica()
    before(replica)
    async with trio.open_nursery() as nursery:
        vms = begin(nursery, replica, apart_s)
        await trio.sleep(SETTLED_S)
        replica.start_again()
        after(replica)
        await trio.sleep(SETTLED_S)
        if is_listed:
            # The first VM is the next one to look.
            await trio.sleep(BEFORE_LOOK_S)
            listed(vms, replica)
            await trio.sleep(SETTLED_S)
        nursery.cancel_scope.cancel()
    truth = LACKING if after is hold_nothing else HELD
    return [vm.lacking() for vm in vms], truth


@PARAMS
async def test_vm_that_polls_knows_a_start_before_its_entry(
    autojump_clock, before, after
):
    # Guards against a cache of the start before in the place of the next.
    (polling, _), truth = await play(before, after, False)
    assert polling == truth


@PARAMS
async def test_vm_that_is_told_knows_a_start_before_its_entry(
    autojump_clock, before, after
):
    # Guards against VMs that mix the changes of two starts.
    (_, told), truth = await play(before, after, False)
    assert told == truth


@pytest.mark.parametrize(
    'apart_s', [0.0, APART_S], ids=['at-once', 'a-moment-later']
)
@PARAMS
async def test_all_vms_know_the_cache_once_the_entry_came(
    autojump_clock, before, after, apart_s
):
    # Guards against changes of the new start that are forgotten with those
    # of the one before, by a VM that looks for starts a moment later.
    found, truth = await play(before, after, True, apart_s)
    assert found == [truth, truth]
