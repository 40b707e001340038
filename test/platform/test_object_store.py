"""Test the store's client on connections that go silent."""

import pytest
import trio

from gentianstair import errors
from gentianstair.platform import object_store

ANSWER = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 73\r\n\r\n'
    b'{"metadata":{"name":"main","revision":5},'
    b'"spec":{"version":7},"status":0}'
)


class Store:
    """Answers while not silent; what is open then stays silent for good."""

    def __init__(self):
        self.silent = False
        # Closes a connection instead of answering.
        self.closing = False
        self.connections = 0

    async def serve(self, stream):
        self.connections += 1
        dead = False
        while await stream.receive_some(4096):
            if self.closing:
                return
            dead = dead or self.silent
            if dead:
                await trio.sleep_forever()
            await stream.send_all(ANSWER)


async def test_one_silent_call_drops_all_old_connections(nursery):
    """Three connections are kept when the store is cut off for a while.

    All of them stay silent after the cut. If each had to run out of time
    by itself, the VM would be blind for three calls' time.
    """
    server = Store()
    listeners = await nursery.start(trio.serve_tcp, server.serve, 0)
    port = listeners[0].socket.getsockname()[1]
    store = object_store.connect(f'127.0.0.1:{port}', 'vm-1', 0.3)

    async def get():
        return await store.get('config', 'main', purpose='test')

    async with trio.open_nursery() as calls:
        for _ in range(3):
            calls.start_soon(get)
    assert server.connections == 3
    server.silent = True
    try:
        await get()
        raise AssertionError('it answered')
    except errors.StoreUnavailableError:
        pass
    server.silent = False
    with trio.fail_after(0.2):
        found = await get()
    assert found.version == 5
    assert server.connections == 4


@pytest.mark.parametrize(
    ('version', 'error'),
    [
        (None, errors.StoreUnavailableError),
        (0, errors.StoreUnknownError),
        (5, errors.StoreUnknownError),
    ],
)
async def test_a_kept_connection_that_ends_under_a_call(
    nursery, version, error
):
    # A write told as not done would be done twice, a usage report counted so.
    server = Store()
    listeners = await nursery.start(trio.serve_tcp, server.serve, 0)
    port = listeners[0].socket.getsockname()[1]
    store = object_store.connect(f'127.0.0.1:{port}', 'vm-1', 1.0)
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
