"""Test that a caller's disconnect cancels its request."""

import contextlib
import select

import pytest
import trio

from standins.site import site as sites
from test.gateway import gateways

CANCEL_S = 0.5
SETUP_TIMEOUT_S = 5.0


async def send_request(gateway, stream):
    """Send a whole request on a connection."""
    headers = gateway.headers('r1', **gateways.PROMPT)
    lines = [f'{name}: {value}' for name, value in headers.items()]
    head = '\r\n'.join(
        ['POST /ask/rule HTTP/1.1', *lines, 'content-length: 0']
    )
    await stream.send_all(head.encode() + b'\r\n\r\n')


@pytest.mark.parametrize('half', [True, False], ids=['half-close', 'close'])
async def test_close_or_half_close_cancels_the_request(tmp_path, half):
    # Guards against replicas that keep working for a disconnected caller. A
    # half-close can't be told from a close: both send a FIN.
    async with sites.running() as site:
        decode_replicas = [r for r in site.replicas if r.stage == 'decode']
        for replica in decode_replicas:
            replica.events = 1000
        async with gateways.running(site, tmp_path) as (gateway,):
            stream = await trio.open_tcp_stream(
                '127.0.0.1', gateway.values['front']
            )
            with trio.fail_after(SETUP_TIMEOUT_S):
                await send_request(gateway, stream)
                await stream.receive_some()
                if half:
                    await stream.send_eof()
                else:
                    await stream.aclose()
            with trio.fail_after(CANCEL_S):
                while not sum(
                    replica.cancelled for replica in decode_replicas
                ):
                    await trio.sleep(0.01)
            if half:
                with trio.fail_after(SETUP_TIMEOUT_S):
                    while await stream.receive_some():
                        pass


async def test_close_and_half_close_differ_only_after_a_send():
    # Checks the kernel behaviour that the test above relies on: only sending
    # to a caller tells its half-close from its close.
    found = {}
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listeners[0].socket.getsockname()[1]
    for half in (True, False):
        caller = await trio.open_tcp_stream('127.0.0.1', port)
        accepted = await listeners[0].accept()
        if half:
            await caller.send_eof()
        else:
            await caller.aclose()
        assert await accepted.receive_some() == b''
        poller = select.poll()
        poller.register(accepted.socket.fileno(), select.POLLRDHUP)
        first = poller.poll(0)[0][1]
        await accepted.send_all(b'x')
        await trio.sleep(0.05)
        with contextlib.suppress(trio.BrokenResourceError):
            await accepted.send_all(b'x')
        found[half] = first, bool(poller.poll(0)[0][1] & select.POLLHUP)
        await trio.aclose_forcefully(accepted)
        await trio.aclose_forcefully(caller)
    assert found == {
        True: (select.POLLRDHUP, False),
        False: (select.POLLRDHUP, True),
    }
    await listeners[0].aclose()
