"""Test what a caller's closing does to its request."""

import contextlib
import select

import pytest
import trio

from standins.site import site as sites
from test.gateway import gateways

SOON_S = 0.5
PROMPT_S = 5.0


async def ask(gateway, stream):
    """Send a whole request on a connection."""
    headers = gateway.headers('r1', **gateways.PROMPT)
    lines = [f'{name}: {value}' for name, value in headers.items()]
    head = '\r\n'.join(
        ['POST /ask/rule HTTP/1.1', *lines, 'content-length: 0']
    )
    await stream.send_all(head.encode() + b'\r\n\r\n')


@pytest.mark.parametrize('half', [True, False])
async def test_a_caller_that_closes_its_side_has_gone(tmp_path, half):
    # A close and a half-close are one FIN; a replica that worked on for half
    # a second for callers that have gone would break the users' rule.
    async with sites.running() as site:
        makers = [r for r in site.replicas if r.stage == 'decode']
        for maker in makers:
            maker.events = 1000
        async with gateways.running(site, tmp_path) as (gateway,):
            stream = await trio.open_tcp_stream(
                '127.0.0.1', gateway.values['front']
            )
            with trio.fail_after(PROMPT_S):
                await ask(gateway, stream)
                await stream.receive_some()
                if half:
                    await stream.send_eof()
                else:
                    await stream.aclose()
            with trio.fail_after(SOON_S):
                while not sum(maker.cancelled for maker in makers):
                    await trio.sleep(0.01)
            if half:
                with trio.fail_after(PROMPT_S):
                    while await stream.receive_some():
                        pass


async def test_a_close_looks_as_a_half_close_until_something_is_sent():
    # Told apart, a half-close could be answered; only a sending tells it.
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
