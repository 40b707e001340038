"""Test entry VMs that lose their path to an upstream."""

import contextlib

import httpx
import pytest
import trio

from gentianstair import errors
from gentianstair import settings as settings_module
from gentianstair.entry import upstream_parts
from gentianstair.generated import settings as generated
from gentianstair.peers import tunnel
from gentianstair.upstreams import connector
from gentianstair.util import tasks
from standins import memory_network
from test.peers import fleet as fleets

ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
LINKED_S = 10.0
CONNECT_S = 0.5


class CutConnector(connector.DirectConnector):
    """The paths of a VM that reaches no upstream itself."""

    def __init__(self, hangs):
        super().__init__()
        self.hangs = hangs

    async def open(self, url):
        if self.hangs:
            await trio.sleep_forever()
        await trio.lowlevel.checkpoint()
        raise errors.UnreachableError('refused')


async def serve_upstream(stream):
    with contextlib.suppress(trio.BrokenResourceError):
        while await stream.receive_some():
            await stream.send_all(ANSWER)


class Entries:
    """Entry VMs that link to each other, before one upstream."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.fleet = fleets.Fleet(nursery)
        self.parts = {}

    def add(self, name, domain):
        self.fleet.start(name, domain)
        running = self.fleet.running[name]
        flags = {
            'vm_name': name,
            'failure_domain': domain,
            'platform_url': 'http://127.0.0.1:1',
            'peer_listen': f'{name}:1',
        }
        values = settings_module.collect(generated.ENTRY, flags, {})
        parts = upstream_parts.make_upstream_parts(
            generated.EntrySettings(**values),
            running.view,
            running.node,
            tasks.Tasks(self.nursery),
            trio.Event(),
            memory_network.MemoryNetwork(self.fleet.hub, f'{name}:1'),
        )
        running.node.tunnel_server = parts.tunnel_server
        self.nursery.start_soon(parts.path_keeper.run)
        self.parts[name] = parts

    async def know(self, url):
        """Return once all VMs know the upstream and each other."""
        value = {
            'url': url,
            'type': 'service',
            'failure_domain': 'a',
            'capacity_class': 'standard',
            'state': 'active',
            'role': 'serve',
            'models': ['desk'],
            'checks_fencing': False,
            'concurrent': 4,
        }
        self.fleet.table.write('upstream', 'desk', value, 0)
        with trio.fail_after(LINKED_S):
            for running in self.fleet.running.values():
                while running.view.upstream('desk') is None:
                    await trio.sleep(0.02)
                while len(running.node.members()) < len(self.parts):
                    await trio.sleep(0.02)


async def ask(parts, url, fresh):
    """Return the body of an answer and whether it came through a peer."""
    request = httpx.Request(
        'GET', url, extensions={'connect_s': CONNECT_S, 'fresh': fresh}
    )
    response = await parts.transport.handle_async_request(request)
    connection = response.extensions['connection']
    through_peer = tunnel.tunnel_of(connection) is not None
    try:
        body = b''.join([part async for part in response.stream])
    finally:
        await response.stream.aclose()
    return body, through_peer


@contextlib.asynccontextmanager
async def entries():
    async with trio.open_nursery() as nursery:
        found = Entries(nursery)
        listeners = await nursery.start(trio.serve_tcp, serve_upstream, 0)
        port = listeners[0].socket.getsockname()[1]
        url = f'http://127.0.0.1:{port}/'
        for name, domain in (('x', 'a'), ('y', 'a'), ('z', 'b')):
            found.add(name, domain)
        await found.know(url)
        yield found, url
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('fresh', [True, False], ids=['once', 'repeatable'])
@pytest.mark.parametrize('hangs', [True, False], ids=['hang', 'refuse'])
async def test_entry_reaches_an_upstream_through_a_peer(hangs, fresh):
    # Guards against an entry VM whose callers are not served though the
    # other entry VMs reach every upstream.
    async with entries() as (found, url):
        parts = found.parts['x']
        assert await ask(parts, url, fresh) == (b'ok', False)
        parts.connector._direct = CutConnector(hangs)
        parts.transport.close_idle_where(lambda *idle: True)
        for _ in range(3):
            assert await ask(parts, url, fresh) == (b'ok', True)


async def test_entry_goes_back_to_its_own_path():
    async with entries() as (found, url):
        parts = found.parts['x']
        own = parts.connector._direct
        parts.connector._direct = CutConnector(hangs=False)
        assert await ask(parts, url, False) == (b'ok', True)
        parts.connector._direct = own
        await trio.sleep(1.5)
        assert await ask(parts, url, False) == (b'ok', False)


async def test_upstream_that_is_down_for_all_is_unreachable():
    # Guards against a peer that is taken for a way to an upstream which it
    # does not reach either.
    async with entries() as (found, url):
        for parts in found.parts.values():
            parts.connector._direct = CutConnector(hangs=False)
        with pytest.raises(errors.UnreachableError):
            await ask(found.parts['x'], url, True)
        assert found.parts['x'].connector.paths.lost() == []
