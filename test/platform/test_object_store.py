"""Test the store client on connections that fail."""

import contextlib

import pytest
import trio

from gentianstair import errors
from gentianstair.platform import object_store

ANSWER = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 73\r\n\r\n'
    b'{"metadata":{"name":"main","revision":5},'
    b'"spec":{"version":7},"status":0}'
)


class StoreServer:
    """A server whose connections can go silent or close.

    A connection that is used while ``silent`` is set never answers again.
    """

    def __init__(self):
        self.silent = False
        # Close each connection instead of answering.
        self.closing = False
        self.connections = 0

    async def serve(self, stream):
        self.connections += 1
        is_dead = False
        while await stream.receive_some(4096):
            if self.closing:
                return
            is_dead = is_dead or self.silent
            if is_dead:
                await trio.sleep_forever()
            await stream.send_all(ANSWER)


async def test_timed_out_call_drops_all_idle_connections(nursery):
    """Guard against one timeout for each idle connection after a partition.

    Connections from before a partition may stay silent after it.
    """
    server = StoreServer()
    listeners = await nursery.start(trio.serve_tcp, server.serve, 0)
    port = listeners[0].socket.getsockname()[1]
    store = object_store.connect(lambda: f'127.0.0.1:{port}', 'vm-1', 0.3)

    async def get():
        return await store.get('config', 'main', purpose='test')

    async with trio.open_nursery() as calls:
        for _ in range(3):
            calls.start_soon(get)
    assert server.connections == 3
    server.silent = True
    try:
        await get()
        raise AssertionError('the silent connection answered')
    except errors.StoreUnavailableError:
        pass
    server.silent = False
    with trio.fail_after(0.2):
        found = await get()
    assert found.version == 5
    assert server.connections == 4


@pytest.mark.parametrize(
    # The version is None for a read, 0 for a creation.
    ('version', 'error'),
    [
        (None, errors.StoreUnavailableError),
        (0, errors.StoreOutcomeUnknownError),
        (5, errors.StoreOutcomeUnknownError),
    ],
)
async def test_call_on_closed_connection_tells_if_it_may_have_run(
    nursery, version, error
):
    # A write reported as failed would be repeated, though it may have run.
    server = StoreServer()
    listeners = await nursery.start(trio.serve_tcp, server.serve, 0)
    port = listeners[0].socket.getsockname()[1]
    store = object_store.connect(lambda: f'127.0.0.1:{port}', 'vm-1', 1.0)
    await store.get('config', 'main', purpose='test')
    server.closing = True
    with pytest.raises(error):
        if version is None:
            await store.get('config', 'main', purpose='test')
        else:
            await store.put('config', 'main', {}, version, purpose='test')
    server.closing = False
    assert (await store.get('config', 'main', purpose='test')).version == 5
    assert server.connections == 2


@pytest.mark.parametrize(
    ('status', 'body', 'error'),
    [
        (429, b'', errors.StoreUnavailableError),
        (503, b'', errors.StoreUnavailableError),
        (400, b'', errors.StoreUnavailableError),
        (204, b'', errors.StoreOutcomeUnknownError),
        (302, b'', errors.StoreOutcomeUnknownError),
        (408, b'', errors.StoreOutcomeUnknownError),
        (500, b'', errors.StoreOutcomeUnknownError),
        (502, b'', errors.StoreOutcomeUnknownError),
        (504, b'', errors.StoreOutcomeUnknownError),
        (201, b'{"metadata":', errors.StoreOutcomeUnknownError),
        (201, b'[]', errors.StoreOutcomeUnknownError),
    ],
)
@pytest.mark.parametrize('version', [0, 5], ids=['create', 'update'])
async def test_write_may_have_taken_effect_unless_the_store_denies_it(
    nursery, status, body, error, version
):
    # Guards against a lease that is taken though its holder thinks it is not.
    head = b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n'

    async def serve(stream):
        while await stream.receive_some(4096):
            await stream.send_all(head % (status, len(body)) + body)

    listeners = await nursery.start(trio.serve_tcp, serve, 0)
    port = listeners[0].socket.getsockname()[1]
    store = object_store.connect(lambda: f'127.0.0.1:{port}', 'vm-1', 1.0)
    with pytest.raises(error):
        await store.put('config', 'main', {}, version, purpose='test')
    nursery.cancel_scope.cancel()


async def test_calls_are_counted_by_kind_and_method(nursery):
    # A priced call that grows with the fleet could not be found otherwise.
    server = StoreServer()
    listeners = await nursery.start(trio.serve_tcp, server.serve, 0)
    port = listeners[0].socket.getsockname()[1]
    store = object_store.connect(lambda: f'127.0.0.1:{port}', 'vm-1', 0.3)

    def counted(metric):
        return metric.labels('config', 'get')._value.get()

    calls = counted(object_store.PLATFORM_CALLS)
    read_bytes = counted(object_store.PLATFORM_BYTES)
    await store.get('config', 'main', purpose='test')
    assert counted(object_store.PLATFORM_CALLS) == calls + 1
    body = ANSWER.partition(b'\r\n\r\n')[2]
    assert counted(object_store.PLATFORM_BYTES) == read_bytes + len(body)


LATE_S = 0.45
USUAL_S = 0.3


async def _read(store, purpose):
    return await store.get('config', 'main', purpose=purpose)


@pytest.mark.parametrize(
    ('purpose', 'late_s', 'reads', 'is_answered'),
    [
        ('follow', LATE_S, 3, True),
        ('hubs', LATE_S, 3, True),
        ('follow', 10.0, 6, False),
        # A lease must not wait for so long.
        ('lease', LATE_S, 3, False),
    ],
    ids=['late', 'late list of hubs', 'much too late', 'under a lease'],
)
async def test_store_that_answers_late_is_read_in_the_end(
    nursery, purpose, late_s, reads, is_answered
):
    # Guards against a store that is asked again and again, and each answer
    # thrown away just before it comes.
    async def serve(stream):
        while await stream.receive_some(4096):
            await trio.sleep(late_s)
            await stream.send_all(ANSWER)

    listeners = await nursery.start(trio.serve_tcp, serve, 0)
    port = listeners[0].socket.getsockname()[1]
    store = object_store.connect(lambda: f'127.0.0.1:{port}', 'vm-1', USUAL_S)
    answers = 0
    started_s = trio.current_time()
    for _ in range(reads):
        with contextlib.suppress(errors.StoreUnavailableError):
            await _read(store, purpose)
            answers += 1
    took_s = trio.current_time() - started_s
    assert bool(answers) == is_answered
    # A read never takes more than twice the usual time.
    assert took_s <= reads * 2 * USUAL_S + 0.5
    nursery.cancel_scope.cancel()


async def test_store_that_was_silent_is_read_as_soon_as_before(nursery):
    # Guards against a read that was sent into an outage, and that keeps the
    # next one from being sent once the outage is over.
    is_silent = True

    async def serve(stream):
        while await stream.receive_some(4096):
            if is_silent:
                await trio.sleep_forever()
            await stream.send_all(ANSWER)

    listeners = await nursery.start(trio.serve_tcp, serve, 0)
    port = listeners[0].socket.getsockname()[1]
    store = object_store.connect(lambda: f'127.0.0.1:{port}', 'vm-1', USUAL_S)
    with pytest.raises(errors.StoreUnavailableError):
        await _read(store, 'follow')

    async def end_outage():
        nonlocal is_silent
        await trio.sleep(0.1)
        is_silent = False

    nursery.start_soon(end_outage)
    started_s = trio.current_time()
    await _read(store, 'follow')
    assert trio.current_time() - started_s < USUAL_S + 0.25
    nursery.cancel_scope.cancel()


DEPTH = 3000
NESTED = b'[' * DEPTH + b']' * DEPTH


def item(name, spec):
    """Return the bytes of one object in a listing."""
    meta = b'{"name":"%s","revision":3}' % name.encode()
    return b'{"metadata":%s,"spec":%s}' % (meta, spec)


@pytest.mark.parametrize(
    'spec',
    [
        b'{"models":' + NESTED + b'}',
        b'{"models":[]},"unknown":' + NESTED,
        NESTED,
        b'{"a":' * DEPTH + b'1' + b'}' * DEPTH,
        b'{"slots":1e999}',
        b'{"slots":' + b'9' * 5000 + b'}',
        b'{"zone":"\xff"}',
        b'{"owner":"\\ud800","sequence":1}',
        b'{"owner":"\\udc00\\ud800","models":' + NESTED + b'}',
    ],
    ids=[
        'field',
        'unknown-field',
        'all',
        'maps',
        'float',
        'digits',
        'text',
        'lone-surrogate',
        'lone-surrogates-and-nested',
    ],
)
@pytest.mark.parametrize('place', [0, 1, 2], ids=['first', 'among', 'last'])
@pytest.mark.parametrize('watches', [False, True], ids=['list', 'watch'])
async def test_odd_object_does_not_hide_the_others(
    nursery, spec, place, watches
):
    # Guards against VMs that learn of no replica any more, as one entry of
    # another writer can't be read.
    found = [item('a', b'{"n":1}'), item('b', b'{"n":2}')]
    found.insert(place, item('odd', spec))
    if watches:
        rows = b','.join(b'{"object":%s,"tombstone":false}' % o for o in found)
        body = b'{"events":[%s],"store_revision":7}' % rows
    else:
        rows = b','.join(found)
        body = b'{"items":[%s],"truncated":false,"store_revision":7}' % rows
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)

    async def serve(stream):
        while await stream.receive_some(4096):
            await stream.send_all(head + body)

    listeners = await nursery.start(trio.serve_tcp, serve, 0)
    port = listeners[0].socket.getsockname()[1]
    store = object_store.connect(lambda: f'127.0.0.1:{port}', 'vm-1', 1.0)
    if watches:
        listing = await store.watch(['servers'], 1, 0.1, purpose='test')
    else:
        listing = await store.list('servers', purpose='test')
    assert [one.name for one in listing.objects] == ['a', 'b']
    nursery.cancel_scope.cancel()
