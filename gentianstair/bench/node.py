"""Run the peers' part of one node, without callers, for a bench.

Writes one JSON line for each revision that comes in force, and on SIGUSR1
one with what was used so far. SIGUSR2 cuts the node off from the addresses
of other failure domains and from the store, and a second one heals that.
"""

import argparse
import contextlib
import functools
import json
import random
import resource
import signal
import sys
import typing

import cbor2
import trio

from gentianstair import errors
from gentianstair import settings as settings_module
from gentianstair.config import view as view_module
from gentianstair.generated import settings as generated
from gentianstair.peers import link
from gentianstair.peers import node as node_module
from gentianstair.peers import store_watcher
from gentianstair.store import call_budget
from gentianstair.store import http_store
from gentianstair.store import store
from gentianstair.util import clock

# Time between two looks at a node's freshness, which cost it little.
FRESH_PAUSE_S = 0.25
PAGE_BYTES = resource.getpagesize()


def say(**line: typing.Any) -> None:
    """Write a JSON line at once."""
    sys.stdout.write(json.dumps({'at_s': clock.boottime_s(), **line}) + '\n')
    sys.stdout.flush()


class Cut:
    """Whether this node is cut off, and from which addresses it is not."""

    def __init__(self, near: frozenset[str]) -> None:
        self.near = near
        self.on = False

    def holds(self, address: str) -> bool:
        """Say whether bytes to and from an address are lost now."""
        return self.on and address not in self.near


class CutChannel(link.Channel):
    """A channel whose bytes are lost while the cut holds the peer's.

    The accepting end learns from the peer's hello which address that is.
    """

    def __init__(
        self, inner: link.Channel, cut: Cut, address: str | None
    ) -> None:
        self._inner = inner
        self._cut = cut
        self._address = address

    def _is_held(self) -> bool:
        return self._address is not None and self._cut.holds(self._address)

    async def send(self, data: bytes) -> None:
        """See Channel.send."""
        if not self._is_held():
            await self._inner.send(data)

    async def receive(self) -> bytes:
        """See Channel.receive."""
        while True:
            data = await self._inner.receive()
            if self._address is None:
                self._address = cbor2.loads(data)['member']['address']
            if not self._is_held():
                return data

    async def aclose(self) -> None:
        """See Channel.aclose."""
        await self._inner.aclose()


class CutNetwork(link.Network):
    """The real network, with a cut that the bench switches."""

    def __init__(self, inner: link.Network, cut: Cut) -> None:
        self._inner = inner
        self._cut = cut

    @contextlib.asynccontextmanager
    async def open(self, address: str) -> typing.AsyncIterator[link.Channel]:
        """See Network.open."""
        if self._cut.holds(address):
            await trio.sleep(link.OPEN_TIMEOUT_S)
            raise link.LinkClosedError('cut')
        async with self._inner.open(address) as channel:
            yield CutChannel(channel, self._cut, address)

    async def serve(
        self,
        handler: link.ChannelHandler,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """See Network.serve."""

        async def accept(channel: link.Channel) -> None:
            await handler(CutChannel(channel, self._cut, None))

        await self._inner.serve(accept, task_status)


class CutStore(http_store.HttpStore):
    """The real store, out of reach while the cut is on."""

    def __init__(self, inner: http_store.HttpStore, cut: Cut) -> None:
        super().__init__(inner._client, inner._timeout_s)
        self._cut = cut

    async def _call(
        self, *args: typing.Any, **kwargs: typing.Any
    ) -> typing.Any:
        if self._cut.on:
            raise errors.StoreUnavailableError('cut')
        found = await super()._call(*args, **kwargs)
        if self._cut.on:
            raise errors.StoreUnavailableError('cut')
        return found


def _cpu_s() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def _resident_bytes() -> int:
    with open('/proc/self/statm') as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def _sum(metric: typing.Any, labels: tuple[str, ...]) -> dict[str, float]:
    """Return a counter's samples, added up over all but some labels."""
    sums: dict[str, float] = {}
    for family in metric.collect():
        for sample in family.samples:
            if sample.name.endswith('_total'):
                name = ' '.join(sample.labels[label] for label in labels)
                sums[name] = sums.get(name, 0.0) + sample.value
    return sums


def report(view: view_module.View, node: typing.Any) -> None:
    """Write what this process used since it started."""
    say(
        type='report',
        cpu_s=_cpu_s(),
        resident_bytes=_resident_bytes(),
        bytes=_sum(link.MESSAGE_BYTES, ('direction',)),
        bytes_by_type=_sum(link.MESSAGE_BYTES, ('direction', 'type')),
        calls=_sum(call_budget.CALLS, ('purpose', 'call')),
        revision=view.revision,
        fresh=node.is_fresh() if node else None,
        age_s=node.config_age_s() if node else None,
        members=len(node.members()) if node else 1,
        links=node.link_count() if node else 0,
    )


async def follow_view(view: view_module.View) -> None:
    """Write each revision as it comes in force."""
    while True:
        await view.wait_for_change()
        say(type='revision', revision=view.revision)


async def follow_fresh(node: node_module.Node) -> None:
    """Write when the node becomes fresh or ceases to be."""
    fresh = None
    while True:
        if node.is_fresh() != fresh:
            fresh = node.is_fresh()
            say(type='fresh', fresh=fresh)
        await trio.sleep(FRESH_PAUSE_S)


async def run_baseline(
    view: view_module.View, client: store.Store, watch_s: float
) -> None:
    """Watch the store from this very node, as each node would."""
    watcher = store_watcher.Watcher(
        view, client, clock.boottime_s, watch_s, random.Random()
    )
    fresh = False
    while True:
        _, as_of_s = await watcher.step()
        if as_of_s is not None and not fresh:
            fresh = True
            say(type='fresh', fresh=True)


async def run(
    settings: generated.EntrySettings, arm: str, near: frozenset[str]
) -> None:
    """Run the node until it is told to stop."""
    view = view_module.View()
    cut = Cut(near)
    inner = http_store.connect(settings.platform_url, settings.store_timeout_s)
    client = call_budget.make_budget_store(
        CutStore(inner, cut), settings, clock.boottime_s
    )
    node = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(follow_view, view)
        if arm == 'peers':
            network = CutNetwork(link.make_network(settings), cut)
            node = node_module.make_node(
                settings, view, client, clock.boottime_s, network
            )
            nursery.start_soon(follow_fresh, node)
            await nursery.start(node.run)
        else:
            watch = functools.partial(
                run_baseline, view, client, settings.watch_s
            )
            nursery.start_soon(watch)
        wanted = (signal.SIGUSR1, signal.SIGUSR2, signal.SIGTERM)
        with trio.open_signal_receiver(*wanted) as signals:
            say(type='started')
            async for number in signals:
                if number == signal.SIGTERM:
                    nursery.cancel_scope.cancel()
                elif number == signal.SIGUSR2:
                    cut.on = not cut.on
                else:
                    report(view, node)


def main(argv: list[str]) -> int:
    """Run one bench node; settings come from the environment."""
    parser = argparse.ArgumentParser(prog='bench node')
    parser.add_argument('--name', required=True)
    parser.add_argument('--failure-domain', required=True)
    parser.add_argument('--listen', required=True)
    parser.add_argument('--platform-url', required=True)
    parser.add_argument('--arm', choices=('peers', 'watch'), required=True)
    parser.add_argument('--near', default='', help='addresses not cut off')
    parser.add_argument('--set', action='append', default=[])
    args = parser.parse_args(argv)
    given = {
        'vm_name': args.name,
        'failure_domain': args.failure_domain,
        'peer_listen': args.listen,
        'platform_url': args.platform_url,
        **dict(pair.split('=', 1) for pair in args.set),
    }
    values = settings_module.collect(generated.ENTRY, given, {})
    near = frozenset(args.near.split(','))
    settings = generated.EntrySettings(**values)
    trio.run(run, settings, args.arm, near)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
