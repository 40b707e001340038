"""Run a whole small site in one process: store, cloud and replicas."""

import collections.abc
import contextlib
import functools
import socket
import typing

import trio

from gentianstair.util import serving
from standins.platform import objects
from standins.site import cloud as clouds
from standins.site import replica as replicas
from standins.site import replica_app
from standins.site import store as stores

HEARTBEAT_S = 0.3
STOP_S = 0.1
# How long what runs may go on after a start that leaves it alone.
LAST_RUNS_S = 60.0

CONFIG: dict[str, typing.Any] = {
    'version': 7,
    'routes': [
        {
            'name': 'ask',
            'host': 'judging.example',
            'path_prefix': '/ask/',
            'type': 'streaming',
            'timeout_ms': 4000,
            'target_latency_ms': 800,
            'target_gap_ms': 200,
            'priority': 1,
            'service': 'models',
            'max_attempts': 2,
            'public': False,
            'sticky': True,
            'resumable': True,
        },
        {
            'name': 'draft',
            'host': 'judging.example',
            'path_prefix': '/draft/',
            'type': 'streaming',
            'timeout_ms': 4000,
            'target_latency_ms': 800,
            'target_gap_ms': 200,
            'priority': 1,
            'service': 'models',
            'max_attempts': 1,
            'public': False,
            'sticky': True,
            'resumable': False,
        },
        {
            'name': 'register',
            'host': 'judging.example',
            'path_prefix': '/register/',
            'type': 'non_idempotent',
            'timeout_ms': 1500,
            'target_latency_ms': 200,
            'priority': 2,
            'service': 'desk',
            'max_attempts': 1,
            'public': False,
        },
        {
            'name': 'lookup',
            'host': 'judging.example',
            'path_prefix': '/lookup/',
            'type': 'idempotent',
            'timeout_ms': 1500,
            'target_latency_ms': 100,
            'priority': 2,
            'service': 'desk',
            'max_attempts': 2,
            'public': False,
        },
        {
            'name': 'notice',
            'host': 'judging.example',
            'path_prefix': '/notice/',
            'type': 'idempotent',
            'timeout_ms': 1500,
            'priority': 2,
            'service': 'desk',
            'max_attempts': 2,
            'public': True,
        },
    ],
    'services': [
        {
            'name': 'models',
            'health_path': '/health',
            'max_connections': 360,
            'engine': {
                'slots': 64,
                'kv_capacity_tokens': 400000,
                'kv_token_bytes': 18432,
                'link_mbps': 180000.0,
                'kv_hold_s': 5.0,
                'stage_switch_s': 3.0,
                'models': [{'name': 'm'}],
            },
        },
        {'name': 'desk', 'health_path': '/health', 'max_connections': 96},
    ],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 100000,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
    'tenants': [
        {'name': 'club', 'api_keys': ['club-key-1', 'club-key-2']},
        {'name': 'guild', 'api_keys': ['guild-key-1'], 'priority': 0},
    ],
}


def default_replicas() -> list[replicas.Replica]:
    """Return the replicas of a small site."""
    return [
        replicas.Replica('i-reader', 'models', 'a', 'prefill'),
        replicas.Replica('i-maker-1', 'models', 'a', 'decode'),
        replicas.Replica('i-maker-2', 'models', 'b', 'decode'),
        replicas.Replica('i-desk-1', 'desk', 'a'),
        replicas.Replica('i-desk-2', 'desk', 'b'),
    ]


def replicas_of_makers(
    versions: typing.Iterable[str], events: int
) -> list[replicas.Replica]:
    """Return replicas of a small site with a maker for each of versions.

    A maker decodes, and writes so many events in an answer.
    """
    kept = [r for r in default_replicas() if r.stage != 'decode']
    return kept + [
        replicas.Replica(
            f'i-maker-{number}',
            'models',
            'ab'[number % 2],
            'decode',
            events=events,
            version=version,
        )
        for number, version in enumerate(versions)
    ]


class Site:
    """A running site; ports are free ones of the loopback."""

    def __init__(self, found: list[replicas.Replica]) -> None:
        self.table = objects.ObjectTable()
        self.faults = stores.Faults()
        self.cloud = clouds.Cloud()
        self.replicas = found
        # Names of replicas that register no more.
        self._silent: set[str] = set()
        # Entries of earlier starts that stand for those of today, by name.
        self._earlier: dict[str, dict[str, typing.Any]] = {}
        self.store_port = 0
        self.cloud_port = 0

    def replica(self, name: str) -> replicas.Replica:
        """Return a replica by name."""
        return next(r for r in self.replicas if r.name == name)

    def put_config(self, config: dict[str, typing.Any]) -> None:
        """Write a configuration as the operator does."""
        current = self.table.get('config', 'main')
        self.table.write('config', 'main', config, current.version)

    def register(self, replica: replicas.Replica) -> None:
        """Write a replica's entry, which is also its heartbeat."""
        current = self.table.get('servers', replica.name)
        version = current.version if current.value is not None else 0
        entry = self._earlier.get(replica.name) or replica.entry()
        self.table.write('servers', replica.name, entry, version)

    async def show_earlier(
        self,
        replica: replicas.Replica,
        entry: dict[str, typing.Any],
        lasts_s: float,
    ) -> None:
        """Let an entry stand for so long, unless a later start changes it."""
        self._earlier[replica.name] = entry
        self.register(replica)
        await trio.sleep(lasts_s)
        if self._earlier.get(replica.name) is entry:
            del self._earlier[replica.name]
            self.register(replica)

    def remove(self, replica: replicas.Replica) -> None:
        """Take a replica's entry away for good; it answers on."""
        self.keep_entry(replica)
        current = self.table.get('servers', replica.name)
        self.table.write('servers', replica.name, None, current.version)

    def keep_entry(self, replica: replicas.Replica) -> None:
        """Let a replica's entry stay as it is, whatever it does."""
        self._silent.add(replica.name)

    async def beat(self) -> None:
        """Have all replicas register, again and again."""
        while True:
            for replica in self.replicas:
                if replica.name not in self._silent:
                    self.register(replica)
            await trio.sleep(HEARTBEAT_S)


async def _serve_starts(
    replica: replicas.Replica, app: typing.Any, sock: socket.socket
) -> None:
    """Serve each start of a replica on connections of its own.

    A new start closes those of the one before, or lets what runs end.
    """
    # A copy of a blocking one would let the start before wait in accept.
    sock.setblocking(False)
    async with trio.open_nursery() as nursery:
        while True:
            ended, scope = trio.Event(), trio.CancelScope()
            again = trio.Event()

            def end(
                goes_on: bool,
                ended: trio.Event = ended,
                scope: trio.CancelScope = scope,
                again: trio.Event = again,
            ) -> None:
                ended.set()
                if not goes_on:
                    scope.cancel()
                again.set()

            replica.on_start = end
            nursery.start_soon(
                _serve_start, _of_start(replica, app), sock.dup(), ended, scope
            )
            await again.wait()


def _of_start(replica: replicas.Replica, app: typing.Any) -> typing.Any:
    """Return an application that answers for the present start only."""
    born_ms = replica.born_ms

    async def answer(scope: typing.Any, *rest: typing.Any) -> None:
        if scope['type'] == 'lifespan':
            # The application's own is one for all starts.
            await _answer_lifespan(*rest)
            return
        if scope['type'] == 'http' and replica.born_ms != born_ms:
            # Its process is gone; the connection is about to be closed.
            await trio.sleep_forever()
        await app(scope, *rest)

    return answer


async def _answer_lifespan(
    receive: collections.abc.Callable[
        [], collections.abc.Awaitable[dict[str, typing.Any]]
    ],
    send: collections.abc.Callable[
        [dict[str, typing.Any]], collections.abc.Awaitable[None]
    ],
) -> None:
    """Tell a server that its application has started, and has ended."""
    kind = ''
    while kind != 'lifespan.shutdown':
        kind = (await receive())['type']
        await send({'type': f'{kind}.complete'})


async def _serve_start(
    app: typing.Any,
    sock: socket.socket,
    ended: trio.Event,
    scope: trio.CancelScope,
) -> None:
    with scope:
        await serving.serve(app, sock, ended.wait, LAST_RUNS_S)


@contextlib.asynccontextmanager
async def running(
    found: list[replicas.Replica] | None = None,
    config: dict[str, typing.Any] | None = None,
) -> typing.AsyncIterator[Site]:
    """Yield a site that runs until the block is left."""
    site = Site(default_replicas() if found is None else found)
    async with trio.open_nursery() as nursery:

        def start(app: typing.Any) -> int:
            sock = serving.listen('127.0.0.1:0')
            nursery.start_soon(
                functools.partial(
                    serving.serve, app, sock, trio.sleep_forever, STOP_S
                )
            )
            return sock.getsockname()[1]

        site.store_port = start(stores.create_app(site.table, site.faults))
        site.cloud_port = start(clouds.create_app(site.cloud))
        for replica in site.replicas:
            sock = serving.listen('127.0.0.1:0')
            replica.address = f'127.0.0.1:{sock.getsockname()[1]}'
            app = replica_app.create_app(replica, site.replicas)
            nursery.start_soon(_serve_starts, replica, app, sock)
        site.put_config(CONFIG if config is None else config)
        nursery.start_soon(site.beat)
        yield site
        nursery.cancel_scope.cancel()
