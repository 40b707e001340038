"""Test that cut paths behave as cut paths do."""

import contextlib

import pytest
import trio

from standins.soak import paths

SOON_S = 0.3


async def echo(stream):
    with contextlib.suppress(trio.BrokenResourceError):
        while data := await stream.receive_some():
            await stream.send_all(data)


async def outcome(work):
    """Return what some work comes to within a short time."""
    with trio.move_on_after(SOON_S):
        try:
            return await work()
        except ConnectionResetError:
            return 'reset'
        except trio.BrokenResourceError:
            return 'reset'
        except OSError:
            return 'refused'
    return 'hangs'


@pytest.mark.parametrize(
    ('how', 'kept', 'new'),
    [
        (paths.Cut.HANG, 'hangs', 'hangs'),
        (paths.Cut.RESET, 'reset', 'refused'),
        (paths.Cut.REFUSE, b'x', 'refused'),
    ],
)
async def test_cut_path_treats_open_and_new_connections(how, kept, new):
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, echo, 0)
        path = paths.Path(listeners[0].socket.getsockname()[1])
        await nursery.start(path.run)

        async def connect():
            return await trio.open_tcp_stream('127.0.0.1', path.port)

        async def ask(stream):
            await stream.send_all(b'x')
            return await stream.receive_some()

        stream = await connect()
        assert await ask(stream) == b'x'
        path.cut(how)
        await trio.sleep(0.05)
        assert await outcome(connect) == new
        assert await outcome(lambda: ask(stream)) == kept
        path.heal()
        await trio.sleep(0.05)
        with trio.fail_after(5.0):
            assert await ask(await connect()) == b'x'
        nursery.cancel_scope.cancel()
