"""Test that callers that do not behave end no process.

A gateway runs as a process of its own. Peaks and counts are held against its
settings, which grant it less than a deployment does.
"""

import copy
import signal
import typing

import httpx
import pytest
import trio

from standins import crowd
from standins.site import processes
from standins.site import site as sites

pytestmark = [pytest.mark.crowd, pytest.mark.timeout(120)]

MEBIBYTE = 1024 * 1024
# Of the descriptors, those for files.
FILES = 200
ANSWER_S = 20.0
# Far longer than a planned stop may take.
STOP_S = 60.0
# Far longer than the time for a head, and shorter than an idle connection's.
CLOSED_S = 30.0
# Granted in rows about memory, and in those about descriptors.
SCARCE_MEMORY = {'memory_mb': 100, 'max_fds': 4100}
SCARCE_DESCRIPTORS = {'memory_mb': 300, 'max_fds': FILES + 120}


class Row(typing.NamedTuple):
    """A crowd, and what the process is granted."""

    caller: crowd.Caller
    size: int
    grants: dict[str, int]
    # Of the gateway, which it comes to.
    address: str = 'front'
    padding_bytes: int = 0
    # What happens beside it: start, stop, reload or replicas-hang.
    moment: str = ''
    # How often the crowd comes.
    times: int = 1


def scarce_memory(caller, size=120, **more):
    return Row(caller, size, SCARCE_MEMORY, **more)


def scarce_descriptors(caller, size=200, **more):
    return Row(caller, size, SCARCE_DESCRIPTORS, **more)


ROWS = {
    'announced': scarce_memory(crowd.announced(MEBIBYTE)),
    'in-pieces': scarce_memory(crowd.announced(MEBIBYTE, piece_bytes=4096)),
    'one-chunk': scarce_memory(crowd.chunked(MEBIBYTE, MEBIBYTE)),
    'small-chunks': scarce_memory(crowd.chunked(65536, 16), 60),
    'chunks-of-a-byte': scarce_memory(crowd.chunked(8192, 1), 60),
    'sizes-with-zeros': scarce_memory(
        crowd.chunked(MEBIBYTE, 4096, size_line='000000{:x}')
    ),
    'chunk-extensions': scarce_memory(
        crowd.chunked(65536, 1024, size_line='{:x};a=' + 'b' * 1000), 60
    ),
    'whole': scarce_memory(crowd.announced(MEBIBYTE, missing=0)),
    'whole-in-chunks': scarce_memory(
        crowd.chunked(MEBIBYTE, 65536, ends=True)
    ),
    'http-1.0': scarce_memory(crowd.announced(MEBIBYTE, version='1.0')),
    'unknown-route': scarce_memory(
        crowd.announced(MEBIBYTE, path='/nowhere/x')
    ),
    'expecting': scarce_memory(crowd.expecting(MEBIBYTE)),
    'endless': scarce_memory(crowd.endless_chunks(65536, 4 * MEBIBYTE)),
    'far-too-long': scarce_memory(
        crowd.announced(50 * MEBIBYTE, missing=48 * MEBIBYTE)
    ),
    'http-2-bodies': scarce_memory(crowd.http2_bodies(40, MEBIBYTE), 4),
    'http-2-endless-heads': scarce_memory(
        crowd.http2_endless_head(60, 16000), 100
    ),
    'http-2-endless-heads-beside-a-request': scarce_memory(
        crowd.http2_endless_head(60, 16000, beside=True), 100
    ),
    'http-2-resets': scarce_memory(crowd.http2_resets(300), 10),
    'http-2-pings': scarce_memory(crowd.http2_pings(3000), 10),
    'answers-unread': scarce_memory(
        crowd.unread(1), 200, padding_bytes=MEBIBYTE
    ),
    'pipelined-unread': scarce_memory(
        crowd.unread(200), 20, padding_bytes=16384
    ),
    'long-heads': scarce_memory(crowd.endless_head(15000), 1500),
    'silent': scarce_descriptors(crowd.silent),
    'heads-that-drip': scarce_descriptors(crowd.endless_head(20, drips=True)),
    'bodies-begun': scarce_descriptors(crowd.announced(MEBIBYTE, MEBIBYTE)),
    'silent-at-ready': scarce_descriptors(crowd.silent, address='ready'),
    'silent-at-control': scarce_descriptors(crowd.silent, address='control'),
    'silent-at-metrics': scarce_descriptors(crowd.silent, address='metrics'),
    'bodies-at-metrics': scarce_memory(
        crowd.announced(MEBIBYTE), address='metrics'
    ),
    'bodies-again-and-again': scarce_memory(
        crowd.announced(MEBIBYTE), times=5
    ),
    'http-2-bodies-again-and-again': scarce_memory(
        crowd.http2_bodies(40, MEBIBYTE), 4, times=5
    ),
    'bodies-at-ready': scarce_memory(
        crowd.announced(MEBIBYTE), address='ready'
    ),
    'bodies-at-control': scarce_memory(
        crowd.announced(MEBIBYTE), address='control'
    ),
    'at-the-start': scarce_memory(crowd.announced(MEBIBYTE), moment='start'),
    'at-a-reload': scarce_memory(crowd.announced(MEBIBYTE), moment='reload'),
    'whole-without-replicas': scarce_memory(
        crowd.announced(MEBIBYTE, missing=0), moment='replicas-hang'
    ),
    'at-a-stop': scarce_memory(crowd.announced(MEBIBYTE), moment='stop'),
    'silent-at-a-stop': scarce_descriptors(crowd.silent, moment='stop'),
}


async def ask(gateway, name, body=b''):
    """Return the status of one ordinary request, None without an answer."""
    headers = {
        'host': 'judging.example',
        'x-request-id': name,
        'x-request-deadline-ms': '10000',
        'authorization': f'Bearer {crowd.KEY}',
    }
    async with httpx.AsyncClient(trust_env=False, verify=False) as client:
        with trio.move_on_after(ANSWER_S):
            try:
                answer = await client.post(
                    f'{gateway.url}/register/x',
                    headers=headers,
                    content=body,
                    timeout=ANSWER_S,
                )
            except httpx.TransportError:
                return None
            return answer.status_code
    return None


def make_config(**limits):
    """Return a configuration with these limits of callers."""
    config = copy.deepcopy(sites.CONFIG)
    config['limits'].update(max_body_bytes=MEBIBYTE, **limits)
    for route in config['routes']:
        route['timeout_ms'] = 20_000
    return config


async def stop(gateway):
    """Stop the process as planned, and start it again."""
    gateway.signal(signal.SIGTERM)
    with trio.fail_after(STOP_S):
        assert await gateway.wait() == 0
    gateway.start_again()
    await gateway.ready()


class Played(typing.NamedTuple):
    """What a play showed."""

    watch: crowd.Watch
    # Of ordinary requests: while the crowd was there, and afterwards.
    beside: int | None
    afterwards: int | None
    lives: bool


async def play(row, folder):
    """Play a row."""
    found = [r for r in sites.default_replicas() if not r.stage]
    for replica in found:
        replica.padding_bytes = row.padding_bytes
    async with sites.running(found, make_config()) as site:
        gateway = processes.Gateway(folder, 0)
        gateway.memory_mb = row.grants['memory_mb']
        gateway.max_fds = row.grants['max_fds']
        gateway.has_metrics = row.address == 'metrics'
        gateway.start(
            site.store_port, site.cloud_port, gateway.ports['control']
        )
        try:
            if row.moment != 'start':
                await gateway.ready()
            for replica in found:
                replica.faults.silent = row.moment == 'replicas-hang'
            async with trio.open_nursery() as nursery:
                watch = crowd.Watch(lambda: gateway.process)
                nursery.start_soon(watch.run)
                connect = crowd.connector(gateway.ports[row.address])
                present = crowd.Crowd(connect, row.caller)
                if row.moment == 'start':
                    await gateway.ready_to_accept()
                await nursery.start(present.run, row.size)
                for _ in range(row.times - 1):
                    present.leave()
                    present = crowd.Crowd(connect, row.caller)
                    await nursery.start(present.run, row.size)
                if row.moment == 'reload':
                    gateway.signal(signal.SIGHUP)
                if row.moment == 'stop':
                    await stop(gateway)
                beside = await ask(gateway, 'beside')
                present.leave()
                for replica in found:
                    replica.faults.silent = False
                await gateway.ready()
                afterwards = await ask(gateway, 'afterwards')
                lives = watch.look()
                nursery.cancel_scope.cancel()
        finally:
            if gateway.is_running():
                gateway.process.kill()
                await gateway.wait()
    return Played(watch, beside, afterwards, lives)


@pytest.mark.parametrize('row', ROWS.values(), ids=ROWS)
def test_crowd_leaves_the_process_within_its_grants(row, tmp_path):
    # Guards against a process that ends as a crowd takes what it may have.
    played = trio.run(play, row, tmp_path)
    print(played.watch.peak_mb, played.watch.sockets, played[1:])
    assert played.lives
    assert played.watch.peak_mb <= row.grants['memory_mb']
    assert played.watch.sockets <= row.grants['max_fds'] - FILES
    assert played.beside is not None
    assert played.afterwards == 200


LARGE = 'largest-body'


@pytest.mark.parametrize('body_bytes', [0, 65536, MEBIBYTE])
def test_single_request_is_served_in_calm(body_bytes, tmp_path):
    # Guards against a limit that a request within the configuration meets.
    async def play_one():
        found = [r for r in sites.default_replicas() if not r.stage]
        async with sites.running(found, make_config()) as site:
            gateway = processes.Gateway(tmp_path, 0)
            gateway.memory_mb = SCARCE_MEMORY['memory_mb']
            gateway.start(
                site.store_port, site.cloud_port, gateway.ports['control']
            )
            try:
                await gateway.ready()
                return await ask(gateway, LARGE, bytes(body_bytes))
            finally:
                gateway.process.kill()
                await gateway.wait()

    assert trio.run(play_one) == 200


HEADS = {
    'silent-after-a-part': crowd.endless_head(60),
    'a-byte-at-a-time': crowd.endless_head(60, drips=True),
    'http-2': crowd.http2_endless_head(1, 1000),
}


@pytest.mark.parametrize('caller', HEADS.values(), ids=HEADS)
def test_head_that_never_ends_is_given_up(caller, tmp_path):
    # Guards against connections that a few bytes keep open.
    async def play_one():
        config = make_config(header_timeout_ms=500)
        async with sites.running(None, config) as site:
            gateway = processes.Gateway(tmp_path, 0)
            gateway.keep_alive_s = 3600.0
            gateway.start(
                site.store_port, site.cloud_port, gateway.ports['control']
            )
            try:
                await gateway.ready()
                return await closed(gateway, caller)
            finally:
                gateway.process.kill()
                await gateway.wait()

    async def closed(gateway, caller):
        stream = await crowd.connector(gateway.ports['front'])()
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(drip, stream, caller)
            with trio.move_on_after(CLOSED_S):
                try:
                    while await stream.receive_some(65536):
                        pass
                except trio.BrokenResourceError:
                    pass
                nursery.cancel_scope.cancel()
                return True
            nursery.cancel_scope.cancel()
        return False

    async def drip(stream, caller):
        try:
            await caller(stream, 1)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    assert trio.run(play_one)


@pytest.mark.parametrize(
    ('header_bytes', 'status'),
    [(3000, 200), (5000, 431), (30_000, 431)],
)
def test_long_heads_are_refused_by_the_configuration(
    header_bytes, status, tmp_path
):
    # Guards against a limit of the configuration that nothing keeps.
    async def play_one():
        config = make_config(max_header_bytes=4096)
        async with sites.running(None, config) as site:
            gateway = processes.Gateway(tmp_path, 0)
            gateway.start(
                site.store_port, site.cloud_port, gateway.ports['control']
            )
            try:
                await gateway.ready()
                return await answer_to(gateway)
            finally:
                gateway.process.kill()
                await gateway.wait()

    async def answer_to(gateway):
        stream = await crowd.connector(gateway.ports['front'])()
        async with stream:
            filler = f'x-more: {"y" * header_bytes}'
            await stream.send_all(crowd.head(1, filler, 'content-length: 0'))
            with trio.fail_after(ANSWER_S):
                return int((await stream.receive_some(65536))[9:12])

    assert trio.run(play_one) == status
